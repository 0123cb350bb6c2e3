//! Fleets of 1 to 1,000 gateways before a list service of any speed, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cold_start::{Poll, PollOutcome, PollSchedule, SlotSchedule};
use proptest::prelude::*;

/// Capacity of the service as operators state it, calls a second.
const TOLD: f64 = 50.0;
/// Length of the service's queue, calls.
const PLACES: usize = 50;
/// Starts at an hour that no round begins with.
const BEGIN_MS: f64 = 1_764_000_123_457.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Away {
    Refuses,
    Busy,
    /// Accepts calls and loses them.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Service {
    /// Calls that it answers a second, one after another.
    bears: f64,
    /// How much later an answer comes, ms.
    delay_ms: f64,
    /// Away for this time at first, ms.
    away: Option<(Away, f64)>,
}

#[derive(Default)]
struct Played {
    /// Moments of all calls, and by gateway; from the start on, ms.
    calls: Vec<f64>,
    by_gateway: Vec<Vec<f64>>,
    /// When each gateway got the list.
    confirmed: Vec<Option<f64>>,
    turned_away: Vec<f64>,
}

impl Played {
    fn most_in(&self, ms: f64) -> usize {
        let mut at = self.calls.clone();
        at.sort_by(f64::total_cmp);
        let within = |i: usize| at[i..].iter().take_while(|t| **t < at[i] + ms).count();
        (0..at.len()).map(within).max().unwrap_or(0)
    }

    fn last(&self) -> f64 {
        self.confirmed.iter().map(|c| c.unwrap_or(f64::INFINITY)).fold(0.0, f64::max)
    }

    fn mean(&self) -> f64 {
        self.confirmed.iter().flatten().sum::<f64>() / self.confirmed.len() as f64
    }

    fn after(all: &[f64], from: f64) -> usize {
        all.iter().filter(|at| **at >= from).count()
    }
}

/// All gateways start at once; runs for `seconds`.
fn play(gateways: u32, service: Service, lasts_ms: f64, shift_ms: f64) -> Played {
    let mut played = Played {
        by_gateway: vec![Vec::new(); gateways as usize],
        confirmed: vec![None; gateways as usize],
        ..Played::default()
    };
    let slots = |g| SlotSchedule::new(g, gateways, TOLD);
    let mut fleet: Vec<PollSchedule> = (0..gateways).map(|g| PollSchedule::new(slots(g))).collect();
    // Moments in us, whether a call is made or ends, whose, and what it came to.
    let mut heap: BinaryHeap<Reverse<(u64, u8, u32)>> = BinaryHeap::new();
    let mut ends: Vec<(PollOutcome, Poll)> = Vec::new();
    let us = |ms: f64| ((ms - BEGIN_MS) * 1_000.0).round() as u64;
    let begin = BEGIN_MS + shift_ms;
    let mut out: Vec<Option<Poll>> = vec![None; gateways as usize];
    for (g, calls) in (0..gateways).zip(&mut fleet) {
        let call = calls.next_poll(begin);
        out[g as usize] = Some(call);
        heap.push(Reverse((us(call.at_ms), 0, g)));
    }
    let mut free = 0.0;
    // Queued calls, by when they are answered.
    let mut standing: std::collections::VecDeque<f64> = std::collections::VecDeque::new();
    let mut ended: Vec<PollOutcome> = vec![PollOutcome::Unchanged; gateways as usize];
    ends.clear();
    while let Some(Reverse((at_us, what, g))) = heap.pop() {
        let now = BEGIN_MS + at_us as f64 / 1_000.0;
        if now - begin > lasts_ms {
            break;
        }
        if what == 1 {
            let came = ended[g as usize];
            fleet[g as usize].poll_ended(now, came);
            if matches!(came, PollOutcome::Updated | PollOutcome::Unchanged) {
                played.confirmed[g as usize].get_or_insert(now - begin);
            }
            let call = fleet[g as usize].next_poll(now);
            out[g as usize] = Some(call);
            heap.push(Reverse((us(call.at_ms.max(now)), 0, g)));
            continue;
        }
        let call = out[g as usize].expect("it is to be made");
        played.calls.push(now - begin);
        played.by_gateway[g as usize].push(now - begin);
        let away = service.away.filter(|(_, for_ms)| now - begin < *for_ms).map(|(how, _)| how);
        while standing.front().is_some_and(|done| *done <= now) {
            standing.pop_front();
        }
        let (came, at) = match away {
            Some(Away::Refuses) => (PollOutcome::Failed, now + 1.0),
            Some(Away::Busy) => (PollOutcome::Rejected(None), now + service.delay_ms),
            Some(Away::Silent) => (PollOutcome::TimedOut, f64::INFINITY),
            None if standing.len() >= PLACES => (PollOutcome::Rejected(None), now + service.delay_ms),
            None => {
                free = f64::max(free, now) + 1_000.0 / service.bears;
                standing.push_back(free);
                let waited = now + call.wait.as_secs_f64() * 1_000.0;
                (PollOutcome::Unchanged, f64::max(free, waited) + service.delay_ms)
            }
        };
        if matches!(came, PollOutcome::Rejected(_)) {
            played.turned_away.push(now - begin);
        }
        let (came, at) =
            if at > call.timeout_at_ms { (PollOutcome::TimedOut, call.timeout_at_ms) } else { (came, at) };
        ended[g as usize] = came;
        heap.push(Reverse((us(at), 1, g)));
    }
    played
}

const WELL: Service = Service { bears: TOLD, delay_ms: 1.0, away: None };

fn round_ms(gateways: u32) -> f64 {
    SlotSchedule::new(0, gateways, TOLD).round().as_secs_f64() * 1_000.0
}

/// Few cases that are the same in every run; `PROPTEST_CASES` and `PROPTEST_RNG_SEED` ask for others.
fn config() -> ProptestConfig {
    let asked = |name| std::env::var_os(name).is_some();
    let mut config = ProptestConfig { failure_persistence: None, ..ProptestConfig::default() };
    if !asked("PROPTEST_CASES") {
        config.cases = 24;
    }
    if !asked("PROPTEST_RNG_SEED") {
        config.rng_seed = proptest::test_runner::RngSeed::Fixed(41);
    }
    config
}

proptest! {
    #![proptest_config(config())]

    /// For any starts and any service: one call after another, and each gateway makes
    /// one a round at most.
    #[test]
    fn polls_stay_within_the_slots(
        gateways in 1u32..=1_000, bears in 1.0f64..200.0, delay_ms in 0.0f64..5_000.0,
        shift_ms in 0.0f64..60_000.0, how in 0usize..4, away_ms in 0.0f64..30_000.0,
    ) {
        let away = [None, Some(Away::Refuses), Some(Away::Busy), Some(Away::Silent)][how];
        let service = Service { bears, delay_ms, away: away.map(|how| (how, away_ms)) };
        let played = play(gateways, service, 60_000.0, shift_ms);
        // Slots of 22 ms; a call that ended late in one is made up to 0.1 s later.
        prop_assert!(played.most_in(1_000.0) <= 46 + 2 + 6, "{} in a second", played.most_in(1_000.0));
        prop_assert!(played.most_in(100.0) <= 5 + 2 + 6, "{} in 100 ms", played.most_in(100.0));
        for calls in &played.by_gateway {
            let close = calls.windows(3).filter(|w| w[2] - w[0] < round_ms(gateways) - 122.3).count();
            prop_assert_eq!(close, 0, "three calls within a round");
        }
    }

    /// A service with its stated capacity: all have the list within a round, by one call each, and use
    /// half of the capacity from then on.
    #[test]
    fn healthy_service_answers_all_within_a_round(
        gateways in 1u32..=1_000, delay_ms in 0.0f64..500.0, shift_ms in 0.0f64..60_000.0,
    ) {
        let service = Service { delay_ms, ..WELL };
        let lasts = 6.0 * round_ms(gateways) + 10_000.0 + delay_ms + 60_000.0;
        let played = play(gateways, service, lasts, shift_ms);
        let limit = round_ms(gateways) + delay_ms + 1_000.0;
        prop_assert!(played.last() < limit, "the last after {} ms", played.last());
        let until = played.calls.iter().filter(|at| **at <= played.last()).count();
        prop_assert!(until as f64 <= 1.3 * f64::from(gateways) + 2.0 + 0.05 * delay_ms, "{until} calls");
        prop_assert_eq!(played.turned_away.len(), 0);
        let from = 2.0 * round_ms(gateways) + 10_000.0 + delay_ms;
        let rest = Played::after(&played.calls, from) as f64 / (lasts - from) * 1_000.0;
        prop_assert!(rest <= 0.5 * TOLD + 1.0, "{rest} a second at rest");
    }

    /// A service that was away: the last gateway has the list a round after, or as long after as it was away.
    #[test]
    fn all_have_the_list_within_a_round_after_an_outage_or_as_long(
        gateways in 1u32..=1_000, how in 0usize..3, away_ms in 500.0f64..20_000.0,
        shift_ms in 0.0f64..60_000.0,
    ) {
        let how = [Away::Refuses, Away::Busy, Away::Silent][how];
        let service = Service { away: Some((how, away_ms)), ..WELL };
        let played = play(gateways, service, 200_000.0, shift_ms);
        // A lost call times out in a slot; its timeout doubles.
        let patience = if how == Away::Silent { 2.0 * away_ms + 10_000.0 } else { 0.0 };
        let limit = away_ms + round_ms(gateways) + patience + 2_000.0;
        prop_assert!(played.last() < limit, "the last after {} ms of {limit}", played.last());
    }

    /// A service with less than its stated capacity, down to a tenth: all have the list in the end, none long
    /// after the others, and the sum of calls settles where few are rejected.
    #[test]
    fn adapts_to_a_service_with_less_capacity(
        gateways in 20u32..=1_000, bears in 5.0f64..50.0, delay_ms in 0.0f64..5_000.0,
        shift_ms in 0.0f64..60_000.0,
    ) {
        let service = Service { bears, delay_ms, away: None };
        let lasts = 600_000.0;
        let played = play(gateways, service, lasts, shift_ms);
        let ideal = f64::from(gateways) / bears * 1_000.0;
        let limit = 4.0 * ideal + 3.0 * (round_ms(gateways) + delay_ms) + 20_000.0;
        prop_assert!(played.last() < limit, "{} of {ideal}", played.last());
        let mean = played.mean() + round_ms(gateways) + delay_ms + 1_000.0;
        prop_assert!(played.last() < 2.0 * mean + 10_000.0, "the last {}, the mean {mean}", played.last());
        let from = 400_000.0;
        let calls = Played::after(&played.calls, from) as f64;
        let refused = Played::after(&played.turned_away, from) as f64;
        prop_assert!(refused <= 0.25 * calls, "{refused} of {calls} turned away at rest");
    }
}
