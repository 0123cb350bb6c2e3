//! First connections of fleets of 1 to 1,000 gateways to backends that are healthy, dead or restart, in
//! simulated time.

use cold_start::{ConnectionRamp, RampStage};
use proptest::prelude::*;
use routing::Subset;

/// Starts at an hour that no round begins with.
const BEGIN_MS: f64 = 1_764_000_123_457.0;
/// Capacity of a backend, first connections a second, and the slot that follows from it.
const PER_S: f64 = 50.0;
const SLOT_MS: f64 = 1_000.0 / (0.9 * PER_S);

fn key(backend: u32) -> u64 {
    u64::from(backend).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7
}

fn round_ms(gateways: u32) -> f64 {
    SLOT_MS * f64::from(gateways)
}

/// Subsets as gateways have them by default.
fn home(place: u32, gateways: u32) -> Subset {
    Subset::new(place, gateways, 5, 3)
}

/// A gateway in simulated time, and when it tried each backend.
struct Gateway {
    ramp: ConnectionRamp,
    tried: Vec<(f64, u32)>,
    /// Backends that were opened without a first connection.
    released: Vec<u32>,
}

impl Gateway {
    fn new(place: u32, gateways: u32, backends: u32, now: f64) -> Gateway {
        let mut ramp = ConnectionRamp::new(place, gateways, home(place, gateways), PER_S, now);
        for id in 0..backends {
            assert!(!ramp.add(id, key(id), 0.0), "open before its turn");
        }
        Gateway { ramp, tried: Vec::new(), released: Vec::new() }
    }

    fn confirmed(mut self, now: f64) -> Gateway {
        self.ramp.confirm(now);
        self
    }

    /// Runs until a moment; each timer is late by `late` ms.
    fn run(&mut self, from: f64, until: f64, late: f64, answers: impl Fn(u32, f64) -> bool) {
        let mut now = from;
        loop {
            self.ramp.choose(now, 0);
            self.released.extend(self.ramp.release(now));
            let Some(next) = self.ramp.next_wakeup_ms(now).map(|at| at.max(now) + late) else { return };
            if next >= until {
                return;
            }
            now = next;
            while let Some(id) = self.ramp.due(now) {
                self.tried.push((now, id));
                let _ = self.ramp.first_connection_ended(now + 1.0, id, 0.0, answers(id, now));
            }
            now += 0.001;
        }
    }
}

/// No backend gets more first connections than the slots allow, in spans of several lengths.
fn slots_hold(gateways: &[Gateway], backends: u32, late: f64) {
    for id in 0..backends {
        let of =
            |g: &Gateway| g.tried.iter().filter(|(_, b)| *b == id).map(|(at, _)| *at).collect::<Vec<_>>();
        let mut at: Vec<f64> = gateways.iter().flat_map(of).collect();
        at.sort_by(f64::total_cmp);
        for time in [100.0, 1_000.0, 10_000.0] {
            let most = (time + late) / SLOT_MS + 2.0;
            for i in 0..at.len() {
                let within = at[i..].iter().take_while(|t| **t < at[i] + time).count();
                assert!(within as f64 <= most, "{within} in {time} ms at backend {id}, {most} are borne");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Seeds: `PROPTEST_RNG_SEED`. For any starts, crashes and late timers a backend gets one first
    /// connection a slot, and in the end all backends are open at all gateways.
    #[test]
    fn one_first_connection_per_slot_from_fleets_of_any_size(
        n in 1u32..=1_000,
        backends in 1u32..=20,
        spread_ms in 0.0..20_000.0f64,
        late in 0.0..90.0f64,
        crashes in 0usize..2,
    ) {
        let round = round_ms(n).max(200.0);
        let mut fleet = Vec::new();
        for place in 0..n {
            let mut now = BEGIN_MS + spread_ms * f64::from(place * 7 % n) / f64::from(n);
            for _ in 0..crashes {
                // A crashed gateway forgets everything and starts again.
                let mut gateway = Gateway::new(place, n, backends, now).confirmed(now);
                gateway.run(now, now + round / 2.0, late, |_, _| true);
                fleet.push(gateway);
                now += round / 2.0;
            }
            let mut gateway = Gateway::new(place, n, backends, now).confirmed(now);
            gateway.run(now, now + 2.0 * round + 200.0, late, |_, _| true);
            prop_assert_eq!(gateway.ramp.stage(), RampStage::Warm);
            prop_assert_eq!(gateway.ramp.open_count(), backends as usize);
            // It tried its subset in slots, at least four backends.
            let degree = home(place, n).degree(backends as usize);
            let of_home = |id: &u32| home(place, n).threshold(key(*id)) < degree;
            prop_assert!(!gateway.released.iter().any(of_home));
            prop_assert!(gateway.tried.len() >= backends.min(4) as usize);
            fleet.push(gateway);
        }
        slots_hold(&fleet, backends, late);
    }
}

#[test]
fn unconfirmed_list_tries_few_backends() {
    let (n, backends) = (300, 40);
    let half = |id: u32, _| id.is_multiple_of(2);
    let mut fleet: Vec<Gateway> = (0..n).map(|place| Gateway::new(place, n, backends, BEGIN_MS)).collect();
    for gateway in &mut fleet {
        gateway.run(BEGIN_MS, BEGIN_MS + 0.99 * round_ms(n), 0.0, half);
        // Others follow those that failed, each in a slot of its own.
        assert!((1..=4).contains(&gateway.ramp.open_count()), "{}", gateway.ramp.open_count());
        assert_eq!((gateway.ramp.stage(), gateway.released.len()), (RampStage::Known, 0));
    }
    slots_hold(&fleet, backends, 0.0);
    let open: usize = fleet.iter().map(|g| g.ramp.open_count()).sum();
    assert!(open >= 300 * 3, "{open} open at 300 gateways");
    let at_dead = fleet.iter().flat_map(|g| &g.tried).filter(|(_, id)| id % 2 == 1).count();
    // All of them would be 300 at each of 20; four that answer are found by about four that do not.
    assert!(at_dead < 300 * 6, "{at_dead} tries at 20 dead backends");
    // No gateway keeps few backends for good: a list that is never confirmed is opened by doubling.
    let gateway = &mut fleet[7];
    let from = BEGIN_MS + round_ms(n);
    gateway.run(from, from + 8.0 * round_ms(n), 0.0, |_, _| true);
    assert_eq!(gateway.ramp.open_count(), backends as usize);
    assert_eq!(gateway.ramp.stage(), RampStage::Known);
}

#[test]
fn load_failures_and_confirmation_open_more_backends() {
    let n = 300;
    // How many have a slot or are open.
    let chosen = |gateway: &mut Gateway, out: usize| {
        gateway.ramp.choose(BEGIN_MS, out);
        let mut tried = 0;
        let mut ramp = gateway.ramp.clone();
        let mut now = BEGIN_MS;
        while let Some(at) = ramp.next_wakeup_ms(now).filter(|at| *at < BEGIN_MS + 0.99 * round_ms(n)) {
            now = at;
            while ramp.due(now).is_some() {
                tried += 1;
            }
            now += 0.001;
        }
        tried
    };
    let mut gateway = Gateway::new(3, n, 40, BEGIN_MS);
    let few = chosen(&mut gateway, 1);
    assert!((3..=4).contains(&few), "{few}");
    let busy = chosen(&mut gateway, 8);
    assert!(busy >= few + 3, "{busy} with 8 attempts out, {few} before");
    for _ in 0..6 {
        gateway.ramp.record_failure();
    }
    let failing = chosen(&mut gateway, 8);
    assert!(failing >= busy + 4, "{failing} after 6 that failed, {busy} before");
    let mut gateway = Gateway::new(3, n, 400, BEGIN_MS).confirmed(BEGIN_MS);
    let degree = home(3, n).degree(400);
    let of_home = (0..400).filter(|id| home(3, n).threshold(key(*id)) < degree).count();
    let all = chosen(&mut gateway, 0);
    assert!(of_home > 4 && all + 2 >= of_home && all <= of_home, "{all} of a home of {of_home}");
}

#[test]
fn releases_deferred_backends_after_the_subset_or_two_rounds() {
    let n = 300;
    let mut gateway = Gateway::new(3, n, 40, BEGIN_MS);
    gateway.ramp.choose(BEGIN_MS, 0);
    assert_eq!(gateway.ramp.release(BEGIN_MS + 9.0 * round_ms(n)), [], "told though nobody confirmed it");
    let mut gateway = gateway.confirmed(BEGIN_MS);
    gateway.ramp.choose(BEGIN_MS, 0);
    // Once the list is confirmed no more are chosen as time passes, or one would always be untried.
    gateway.ramp.choose(BEGIN_MS + 5.0 * round_ms(n), 0);
    assert_eq!(gateway.ramp.release(BEGIN_MS + 1.9 * round_ms(n)), [], "before the home was tried");
    let told = gateway.ramp.release(BEGIN_MS + 2.1 * round_ms(n));
    assert!(told.len() > 25, "{told:?}");
    // Removed backends of the subset are not waited for.
    let mut gone = Gateway::new(3, n, 40, BEGIN_MS).confirmed(BEGIN_MS);
    gone.ramp.choose(BEGIN_MS, 0);
    (0..40).filter(|id| !told.contains(id)).for_each(|id| gone.ramp.remove(id));
    assert_eq!(gone.ramp.release(BEGIN_MS).len(), told.len());
    // From then on a backend outside the subset waits for nothing.
    let far = (40..).find(|id| home(3, n).threshold(key(*id)) > 200.0).expect("one of many");
    assert!(!gateway.ramp.add(far, key(far), 0.0));
    gateway.ramp.choose(BEGIN_MS, 0);
    assert_eq!(gateway.ramp.release(BEGIN_MS), [far]);
    assert!(gateway.ramp.add(far, key(far), 0.0));
}

#[test]
fn backs_off_from_a_dead_backend_and_finds_its_return() {
    let n = 300;
    let mut fleet: Vec<Gateway> =
        (0..n).map(|place| Gateway::new(place, n, 1, BEGIN_MS).confirmed(BEGIN_MS)).collect();
    let back = BEGIN_MS + 120_000.0;
    for gateway in &mut fleet {
        gateway.run(BEGIN_MS, back + 30_000.0, 0.0, |_, now| now >= back);
        assert_eq!(gateway.ramp.open_count(), 1);
        let last = gateway.tried.last().map_or(0.0, |(at, _)| *at);
        assert!(last < back + 20_000.0 + 2.0 * round_ms(n), "found {} ms late", last - back);
    }
    let late = |(at, _): &&(f64, u32)| (back - 60_000.0..back).contains(at);
    let tries = fleet.iter().flat_map(|g| &g.tried).filter(late).count();
    assert!(tries <= 60 * 17, "{tries} tries in a minute by 300 gateways");
    // A fleet of one is not bound by its slots: pauses double up to 20 s.
    let mut alone = Gateway::new(0, 1, 1, BEGIN_MS).confirmed(BEGIN_MS);
    alone.run(BEGIN_MS, BEGIN_MS + 60_000.0, 0.0, |_, _| false);
    assert!((5..=12).contains(&alone.tried.len()), "{:?}", alone.tried);
}

#[test]
fn restart_drain_and_removal_close_a_backend_until_its_slot() {
    let mut ramp = ConnectionRamp::new(1, 30, home(1, 30), PER_S, BEGIN_MS);
    ramp.confirm(BEGIN_MS);
    // Its moment, and its id.
    let due = |ramp: &mut ConnectionRamp, from: f64| {
        ramp.choose(from, 0);
        let at = ramp.next_wakeup_ms(from).expect("it waits");
        assert_eq!(ramp.due(at - 0.5), None, "before its turn");
        (at, ramp.due(at))
    };
    assert!(!ramp.add(5, 77, 0.0));
    let (at, id) = due(&mut ramp, BEGIN_MS);
    assert_eq!((id, ramp.stage()), (Some(5), RampStage::Confirmed));
    assert!(ramp.first_connection_ended(at + 1.0, 5, 0.0, true) && ramp.add(5, 77, 0.0));
    assert_eq!((ramp.release(at), ramp.stage()), (vec![], RampStage::Warm));
    // It restarts, and once more during its first connection, whose result then counts for nothing.
    assert!(!ramp.add(5, 77, 10.0));
    let (at, id) = due(&mut ramp, at);
    assert_eq!(id, Some(5));
    assert!(!ramp.add(5, 77, 20.0), "another life");
    assert!(!ramp.first_connection_ended(at + 1.0, 5, 10.0, true), "an answer of the life before");
    assert_eq!((ramp.open_count(), ramp.waiting_count()), (0, 1));
    let (at, id) = due(&mut ramp, at);
    assert_eq!(id, Some(5));
    assert!(ramp.first_connection_ended(at, 5, 20.0, true));
    assert!(ramp.add(5, 77, 10.0), "an older line is none of another life");
    // The same during the first connection to the later incarnation.
    assert!(!ramp.add(5, 77, 30.0));
    let (at, id) = due(&mut ramp, at);
    assert_eq!(id, Some(5));
    assert!(!ramp.first_connection_ended(at, 5, 20.0, true), "a late answer of the life before");
    assert!(ramp.first_connection_ended(at, 5, 30.0, true));
    // Drained and undrained.
    ramp.remove(5);
    assert_eq!((ramp.stage(), ramp.next_wakeup_ms(at)), (RampStage::Empty, None));
    assert!(!ramp.add(5, 77, 30.0));
    let (at, id) = due(&mut ramp, at);
    assert_eq!(id, Some(5));
    assert!(ramp.first_connection_ended(at, 5, 30.0, true));
    // Missing on a whole list and listed again.
    ramp.retain(|id| id != 5);
    assert!(!ramp.add(5, 77, 30.0));
    assert_eq!(ramp.waiting_count(), 1);
}

#[test]
fn resumed_gateways_wait_for_their_next_slots() {
    let n = 100;
    let mut fleet: Vec<Gateway> =
        (0..n).map(|place| Gateway::new(place, n, 4, BEGIN_MS).confirmed(BEGIN_MS)).collect();
    // All are stopped before their first slot, for ten rounds.
    let on = BEGIN_MS + 10.0 * round_ms(n) + 3.0;
    for gateway in &mut fleet {
        gateway.ramp.choose(BEGIN_MS, 0);
        gateway.run(on, on + 2.1 * round_ms(n), 0.0, |_, _| true);
        assert_eq!(gateway.ramp.open_count(), 4);
    }
    slots_hold(&fleet, 4, 100.0);
}
