//! First connections of fleets of 1 to 1,000 gateways to backends that are healthy, unreachable or
//! restarting, in simulated time.

use cold_start::{ConnectionRamp, RampStage};
use proptest::prelude::*;
use routing::Subset;

/// Start of the simulation, which is not the beginning of a round.
const START_MS: f64 = 1_764_000_123_457.0;
/// Capacity of a backend, first connections per second.
const CONNECTIONS_PER_S: f64 = 50.0;
/// Length of a slot, ms.
const SLOT_MS: f64 = 1_000.0 / (0.9 * CONNECTIONS_PER_S);

fn key(backend: u32) -> u64 {
    u64::from(backend).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7
}

fn round_ms(gateways: u32) -> f64 {
    SLOT_MS * f64::from(gateways)
}

/// Returns a gateway's subset with the default settings.
fn subset(index: u32, gateways: u32) -> Subset {
    Subset::new(index, gateways, 5, 3)
}

/// A gateway in simulated time.
struct Gateway {
    ramp: ConnectionRamp,
    /// Time and backend of each first connection, including failed ones.
    first_connections: Vec<(f64, u32)>,
    /// Backends that were opened without a first connection.
    released: Vec<u32>,
}

impl Gateway {
    fn new(index: u32, gateways: u32, backends: u32, now: f64) -> Gateway {
        let mut ramp = ConnectionRamp::new(index, gateways, subset(index, gateways), CONNECTIONS_PER_S, now);
        for id in 0..backends {
            assert!(!ramp.add(id, key(id), 0.0), "open before its slot");
        }
        Gateway { ramp, first_connections: Vec::new(), released: Vec::new() }
    }

    fn confirmed(mut self, now: f64) -> Gateway {
        self.ramp.confirm(now);
        self
    }

    /// Runs until `until`; each timer is late by `lateness_ms`.
    fn run(&mut self, from: f64, until: f64, lateness_ms: f64, succeeds: impl Fn(u32, f64) -> bool) {
        let mut now = from;
        loop {
            self.ramp.choose(now, 0);
            self.released.extend(self.ramp.release(now));
            let Some(next) = self.ramp.next_wakeup_ms(now).map(|at| at.max(now) + lateness_ms) else {
                return;
            };
            if next >= until {
                return;
            }
            now = next;
            while let Some(id) = self.ramp.due(now) {
                self.first_connections.push((now, id));
                let _ = self.ramp.first_connection_ended(now + 1.0, id, 0.0, succeeds(id, now));
            }
            now += 0.001;
        }
    }
}

/// Asserts that no backend gets more first connections than the slots allow, in time spans of several
/// lengths.
fn assert_one_connection_per_slot(gateways: &[Gateway], backends: u32, lateness_ms: f64) {
    for id in 0..backends {
        let of = |g: &Gateway| {
            g.first_connections.iter().filter(|(_, b)| *b == id).map(|(at, _)| *at).collect::<Vec<_>>()
        };
        let mut at: Vec<f64> = gateways.iter().flat_map(of).collect();
        at.sort_by(f64::total_cmp);
        for time in [100.0, 1_000.0, 10_000.0] {
            let limit = (time + lateness_ms) / SLOT_MS + 2.0;
            for i in 0..at.len() {
                let within = at[i..].iter().take_while(|t| **t < at[i] + time).count();
                assert!(within as f64 <= limit, "{within} in {time} ms at backend {id}, {limit} are allowed");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// For any starts, crashes and late timers, a backend gets one first connection per slot, and finally all
    /// backends are open at all gateways. `PROPTEST_RNG_SEED` sets the seed.
    #[test]
    fn fleets_make_one_first_connection_per_slot(
        gateways in 1u32..=1_000,
        backends in 1u32..=20,
        spread_ms in 0.0..20_000.0f64,
        lateness_ms in 0.0..90.0f64,
        crashes in 0usize..2,
    ) {
        let round = round_ms(gateways).max(200.0);
        let mut fleet = Vec::new();
        for index in 0..gateways {
            let mut now = START_MS + spread_ms * f64::from(index * 7 % gateways) / f64::from(gateways);
            for _ in 0..crashes {
                // A crashed gateway loses its state and starts again.
                let mut gateway = Gateway::new(index, gateways, backends, now).confirmed(now);
                gateway.run(now, now + round / 2.0, lateness_ms, |_, _| true);
                fleet.push(gateway);
                now += round / 2.0;
            }
            let mut gateway = Gateway::new(index, gateways, backends, now).confirmed(now);
            gateway.run(now, now + 2.0 * round + 200.0, lateness_ms, |_, _| true);
            prop_assert_eq!(gateway.ramp.stage(), RampStage::Warm);
            prop_assert_eq!(gateway.ramp.open_count(), backends as usize);
            // It used slots for its subset, which has four backends or more if there are as many.
            let degree = subset(index, gateways).degree(backends as usize);
            let in_subset = |id: &u32| subset(index, gateways).threshold(key(*id)) < degree;
            prop_assert!(!gateway.released.iter().any(in_subset));
            prop_assert!(gateway.first_connections.len() >= backends.min(4) as usize);
            fleet.push(gateway);
        }
        assert_one_connection_per_slot(&fleet, backends, lateness_ms);
    }
}

#[test]
fn gateway_with_unconfirmed_list_tries_few_backends() {
    let (gateways, backends) = (300, 40);
    let is_alive = |id: u32, _| id.is_multiple_of(2);
    let mut fleet: Vec<Gateway> =
        (0..gateways).map(|index| Gateway::new(index, gateways, backends, START_MS)).collect();
    for gateway in &mut fleet {
        gateway.run(START_MS, START_MS + 0.99 * round_ms(gateways), 0.0, is_alive);
        // A failed backend is replaced by another one, which has its own slot.
        assert!((1..=4).contains(&gateway.ramp.open_count()), "{}", gateway.ramp.open_count());
        assert_eq!((gateway.ramp.stage(), gateway.released.len()), (RampStage::Known, 0));
    }
    assert_one_connection_per_slot(&fleet, backends, 0.0);
    let open: usize = fleet.iter().map(|g| g.ramp.open_count()).sum();
    assert!(open >= 300 * 3, "{open} open at 300 gateways");
    let to_dead = fleet.iter().flat_map(|g| &g.first_connections).filter(|(_, id)| id % 2 == 1).count();
    // Trying all would make 300 connections to each of the 20; finding four live ones takes about four
    // failures.
    assert!(to_dead < 300 * 6, "{to_dead} connections to 20 unreachable backends");
    // If the list is never confirmed, the number of open backends doubles until all are open.
    let gateway = &mut fleet[7];
    let from = START_MS + round_ms(gateways);
    gateway.run(from, from + 8.0 * round_ms(gateways), 0.0, |_, _| true);
    assert_eq!(gateway.ramp.open_count(), backends as usize);
    assert_eq!(gateway.ramp.stage(), RampStage::Known);
}

#[test]
fn load_failures_and_confirmation_open_more_backends() {
    let gateways = 300;
    // Returns how many backends get a slot.
    let chosen = |gateway: &mut Gateway, in_flight: usize| {
        gateway.ramp.choose(START_MS, in_flight);
        let mut first_connections = 0;
        let mut ramp = gateway.ramp.clone();
        let mut now = START_MS;
        while let Some(at) = ramp.next_wakeup_ms(now).filter(|at| *at < START_MS + 0.99 * round_ms(gateways))
        {
            now = at;
            while ramp.due(now).is_some() {
                first_connections += 1;
            }
            now += 0.001;
        }
        first_connections
    };
    let mut gateway = Gateway::new(3, gateways, 40, START_MS);
    let few = chosen(&mut gateway, 1);
    assert!((3..=4).contains(&few), "{few}");
    let busy = chosen(&mut gateway, 8);
    assert!(busy >= few + 3, "{busy} with 8 attempts in flight, {few} before");
    for _ in 0..6 {
        gateway.ramp.record_failure();
    }
    let failing = chosen(&mut gateway, 8);
    assert!(failing >= busy + 4, "{failing} after 6 failures, {busy} before");
    let mut gateway = Gateway::new(3, gateways, 400, START_MS).confirmed(START_MS);
    let degree = subset(3, gateways).degree(400);
    let in_subset = (0..400).filter(|id| subset(3, gateways).threshold(key(*id)) < degree).count();
    let all = chosen(&mut gateway, 0);
    assert!(in_subset > 4 && all + 2 >= in_subset && all <= in_subset, "{all} of a subset of {in_subset}");
}

#[test]
fn releases_deferred_backends_after_the_subset_or_two_rounds() {
    let gateways = 300;
    let mut gateway = Gateway::new(3, gateways, 40, START_MS);
    gateway.ramp.choose(START_MS, 0);
    assert_eq!(
        gateway.ramp.release(START_MS + 9.0 * round_ms(gateways)),
        [],
        "released though the list is not confirmed"
    );
    let mut gateway = gateway.confirmed(START_MS);
    gateway.ramp.choose(START_MS, 0);
    // Once the list is confirmed no more are chosen as time passes, or one would always be pending.
    gateway.ramp.choose(START_MS + 5.0 * round_ms(gateways), 0);
    assert_eq!(
        gateway.ramp.release(START_MS + 1.9 * round_ms(gateways)),
        [],
        "released before the subset was tried"
    );
    let released_ids = gateway.ramp.release(START_MS + 2.1 * round_ms(gateways));
    assert!(released_ids.len() > 25, "{released_ids:?}");
    // Removed backends of the subset are not waited for.
    let mut without_subset = Gateway::new(3, gateways, 40, START_MS).confirmed(START_MS);
    without_subset.ramp.choose(START_MS, 0);
    (0..40).filter(|id| !released_ids.contains(id)).for_each(|id| without_subset.ramp.remove(id));
    assert_eq!(without_subset.ramp.release(START_MS).len(), released_ids.len());
    // From then on a backend outside the subset is released immediately.
    let outside = (40..)
        .find(|id| subset(3, gateways).threshold(key(*id)) > 200.0)
        .expect("a backend outside the subset");
    assert!(!gateway.ramp.add(outside, key(outside), 0.0));
    gateway.ramp.choose(START_MS, 0);
    assert_eq!(gateway.ramp.release(START_MS), [outside]);
    assert!(gateway.ramp.add(outside, key(outside), 0.0));
}

#[test]
fn backs_off_from_an_unreachable_backend_until_it_returns() {
    let gateways = 300;
    let mut fleet: Vec<Gateway> =
        (0..gateways).map(|index| Gateway::new(index, gateways, 1, START_MS).confirmed(START_MS)).collect();
    let return_ms = START_MS + 120_000.0;
    for gateway in &mut fleet {
        gateway.run(START_MS, return_ms + 30_000.0, 0.0, |_, now| now >= return_ms);
        assert_eq!(gateway.ramp.open_count(), 1);
        let last = gateway.first_connections.last().map_or(0.0, |(at, _)| *at);
        assert!(
            last < return_ms + 20_000.0 + 2.0 * round_ms(gateways),
            "found after {} ms",
            last - return_ms
        );
    }
    let in_last_minute = |(at, _): &&(f64, u32)| (return_ms - 60_000.0..return_ms).contains(at);
    let connections = fleet.iter().flat_map(|g| &g.first_connections).filter(in_last_minute).count();
    assert!(connections <= 60 * 17, "{connections} connections in a minute by 300 gateways");
    // In a fleet of one, whose round is short, only the backoff applies, which doubles up to 20 s.
    let mut alone = Gateway::new(0, 1, 1, START_MS).confirmed(START_MS);
    alone.run(START_MS, START_MS + 60_000.0, 0.0, |_, _| false);
    assert!((5..=12).contains(&alone.first_connections.len()), "{:?}", alone.first_connections);
}

#[test]
fn restarted_drained_or_removed_backend_waits_for_a_slot() {
    let mut ramp = ConnectionRamp::new(1, 30, subset(1, 30), CONNECTIONS_PER_S, START_MS);
    ramp.confirm(START_MS);
    // Returns the time of the next slot, and the backend.
    let due = |ramp: &mut ConnectionRamp, from: f64| {
        ramp.choose(from, 0);
        let at = ramp.next_wakeup_ms(from).expect("a backend has a slot");
        assert_eq!(ramp.due(at - 0.5), None, "before its slot");
        (at, ramp.due(at))
    };
    assert!(!ramp.add(5, 77, 0.0));
    let (at, id) = due(&mut ramp, START_MS);
    assert_eq!((id, ramp.stage()), (Some(5), RampStage::Confirmed));
    assert!(ramp.first_connection_ended(at + 1.0, 5, 0.0, true) && ramp.add(5, 77, 0.0));
    assert_eq!((ramp.release(at), ramp.stage()), (vec![], RampStage::Warm));
    // It restarts, and again during its first connection, whose result is then ignored.
    assert!(!ramp.add(5, 77, 10.0));
    let (at, id) = due(&mut ramp, at);
    assert_eq!(id, Some(5));
    assert!(!ramp.add(5, 77, 20.0), "a later incarnation waits for its slot");
    assert!(!ramp.first_connection_ended(at + 1.0, 5, 10.0, true), "a result for an earlier incarnation");
    assert_eq!((ramp.open_count(), ramp.waiting_count()), (0, 1));
    let (at, id) = due(&mut ramp, at);
    assert_eq!(id, Some(5));
    assert!(ramp.first_connection_ended(at, 5, 20.0, true));
    assert!(ramp.add(5, 77, 10.0), "an entry for an earlier incarnation is ignored");
    // The same during the first connection to the later incarnation.
    assert!(!ramp.add(5, 77, 30.0));
    let (at, id) = due(&mut ramp, at);
    assert_eq!(id, Some(5));
    assert!(!ramp.first_connection_ended(at, 5, 20.0, true), "a late result for an earlier incarnation");
    assert!(ramp.first_connection_ended(at, 5, 30.0, true));
    // It is drained and undrained.
    ramp.remove(5);
    assert_eq!((ramp.stage(), ramp.next_wakeup_ms(at)), (RampStage::Empty, None));
    assert!(!ramp.add(5, 77, 30.0));
    let (at, id) = due(&mut ramp, at);
    assert_eq!(id, Some(5));
    assert!(ramp.first_connection_ended(at, 5, 30.0, true));
    // It is missing from a snapshot, and listed again.
    ramp.retain(|id| id != 5);
    assert!(!ramp.add(5, 77, 30.0));
    assert_eq!(ramp.waiting_count(), 1);
}

#[test]
fn resumed_gateways_wait_for_their_next_slots() {
    let gateways = 100;
    let mut fleet: Vec<Gateway> =
        (0..gateways).map(|index| Gateway::new(index, gateways, 4, START_MS).confirmed(START_MS)).collect();
    // All gateways are suspended for ten rounds before their first slot.
    let resumed_ms = START_MS + 10.0 * round_ms(gateways) + 3.0;
    for gateway in &mut fleet {
        gateway.ramp.choose(START_MS, 0);
        gateway.run(resumed_ms, resumed_ms + 2.1 * round_ms(gateways), 0.0, |_, _| true);
        assert_eq!(gateway.ramp.open_count(), 4);
    }
    assert_one_connection_per_slot(&fleet, 4, 100.0);
}
