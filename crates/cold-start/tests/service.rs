//! Polls of fleets of 1 to 1,000 gateways to a discovery service of any speed, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cold_start::{Poll, PollOutcome, PollSchedule, SlotSchedule};
use proptest::prelude::*;

/// Capacity of the service as configured by the operator, calls per second.
const STATED_CAPACITY_PER_S: f64 = 50.0;
/// Length of the service's queue, calls.
const QUEUE_LENGTH: usize = 50;
/// Earliest start of a simulation, which is not the beginning of a round.
const BASE_MS: f64 = 1_764_000_123_457.0;

/// How the service fails during an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    /// Refuses connections.
    Refuses,
    /// Rejects calls.
    Busy,
    /// Accepts calls and never responds.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Service {
    /// Calls handled per second, one after another.
    capacity_per_s: f64,
    /// Delay that is added to each response, ms.
    delay_ms: f64,
    /// Outage at the start, and its length, ms.
    outage: Option<(Outage, f64)>,
}

#[derive(Default)]
struct RunResult {
    /// Times of all calls, ms since the start.
    calls: Vec<f64>,
    /// Times of the calls of each gateway, ms since the start.
    by_gateway: Vec<Vec<f64>>,
    /// When each gateway got the list, ms since the start.
    confirmed: Vec<Option<f64>>,
    /// Times of the rejected calls, ms since the start.
    rejected: Vec<f64>,
}

impl RunResult {
    fn max_calls_in(&self, ms: f64) -> usize {
        let mut at = self.calls.clone();
        at.sort_by(f64::total_cmp);
        let within = |i: usize| at[i..].iter().take_while(|t| **t < at[i] + ms).count();
        (0..at.len()).map(within).max().unwrap_or(0)
    }

    fn last_list_ms(&self) -> f64 {
        self.confirmed.iter().map(|c| c.unwrap_or(f64::INFINITY)).fold(0.0, f64::max)
    }

    fn mean_list_ms(&self) -> f64 {
        self.confirmed.iter().flatten().sum::<f64>() / self.confirmed.len() as f64
    }

    fn count_from(all: &[f64], from: f64) -> usize {
        all.iter().filter(|at| **at >= from).count()
    }
}

/// Simulates a fleet whose gateways all start at `shift_ms`, for `duration_ms`.
fn simulate(gateways: u32, service: Service, duration_ms: f64, shift_ms: f64) -> RunResult {
    let mut result = RunResult {
        by_gateway: vec![Vec::new(); gateways as usize],
        confirmed: vec![None; gateways as usize],
        ..RunResult::default()
    };
    let slots = |g| SlotSchedule::new(g, gateways, STATED_CAPACITY_PER_S);
    let mut fleet: Vec<PollSchedule> = (0..gateways).map(|g| PollSchedule::new(slots(g))).collect();
    // Time in µs, 0 if a poll is made or 1 if it ends, and the gateway.
    let mut events: BinaryHeap<Reverse<(u64, u8, u32)>> = BinaryHeap::new();
    let mut ends: Vec<(PollOutcome, Poll)> = Vec::new();
    let us = |ms: f64| ((ms - BASE_MS) * 1_000.0).round() as u64;
    let start_ms = BASE_MS + shift_ms;
    let mut polls: Vec<Option<Poll>> = vec![None; gateways as usize];
    for (g, schedule) in (0..gateways).zip(&mut fleet) {
        let poll = schedule.next_poll(start_ms);
        polls[g as usize] = Some(poll);
        events.push(Reverse((us(poll.at_ms), 0, g)));
    }
    let mut service_free_ms = 0.0;
    // When each queued call is handled.
    let mut queue: std::collections::VecDeque<f64> = std::collections::VecDeque::new();
    let mut ended: Vec<PollOutcome> = vec![PollOutcome::Unchanged; gateways as usize];
    ends.clear();
    while let Some(Reverse((at_us, kind, g))) = events.pop() {
        let now = BASE_MS + at_us as f64 / 1_000.0;
        if now - start_ms > duration_ms {
            break;
        }
        if kind == 1 {
            let outcome = ended[g as usize];
            fleet[g as usize].poll_ended(now, outcome);
            if matches!(outcome, PollOutcome::Updated | PollOutcome::Unchanged) {
                result.confirmed[g as usize].get_or_insert(now - start_ms);
            }
            let poll = fleet[g as usize].next_poll(now);
            polls[g as usize] = Some(poll);
            events.push(Reverse((us(poll.at_ms.max(now)), 0, g)));
            continue;
        }
        let poll = polls[g as usize].expect("the gateway has a poll to make");
        result.calls.push(now - start_ms);
        result.by_gateway[g as usize].push(now - start_ms);
        let outage = service.outage.filter(|(_, for_ms)| now - start_ms < *for_ms).map(|(how, _)| how);
        while queue.front().is_some_and(|done| *done <= now) {
            queue.pop_front();
        }
        let (outcome, at) = match outage {
            Some(Outage::Refuses) => (PollOutcome::Failed, now + 1.0),
            Some(Outage::Busy) => (PollOutcome::Rejected(None), now + service.delay_ms),
            Some(Outage::Silent) => (PollOutcome::TimedOut, f64::INFINITY),
            None if queue.len() >= QUEUE_LENGTH => (PollOutcome::Rejected(None), now + service.delay_ms),
            None => {
                service_free_ms = f64::max(service_free_ms, now) + 1_000.0 / service.capacity_per_s;
                queue.push_back(service_free_ms);
                let waited = now + poll.wait.as_secs_f64() * 1_000.0;
                (PollOutcome::Unchanged, f64::max(service_free_ms, waited) + service.delay_ms)
            }
        };
        if matches!(outcome, PollOutcome::Rejected(_)) {
            result.rejected.push(now - start_ms);
        }
        let (outcome, at) =
            if at > poll.timeout_at_ms { (PollOutcome::TimedOut, poll.timeout_at_ms) } else { (outcome, at) };
        ended[g as usize] = outcome;
        events.push(Reverse((us(at), 1, g)));
    }
    result
}

const HEALTHY: Service = Service { capacity_per_s: STATED_CAPACITY_PER_S, delay_ms: 1.0, outage: None };

fn round_ms(gateways: u32) -> f64 {
    SlotSchedule::new(0, gateways, STATED_CAPACITY_PER_S).round().as_secs_f64() * 1_000.0
}

/// Returns a configuration with few cases, the same in every run; `PROPTEST_CASES` and `PROPTEST_RNG_SEED`
/// change them.
fn config() -> ProptestConfig {
    let is_set = |name| std::env::var_os(name).is_some();
    let mut config = ProptestConfig { failure_persistence: None, ..ProptestConfig::default() };
    if !is_set("PROPTEST_CASES") {
        config.cases = 24;
    }
    if !is_set("PROPTEST_RNG_SEED") {
        config.rng_seed = proptest::test_runner::RngSeed::Fixed(41);
    }
    config
}

proptest! {
    #![proptest_config(config())]

    /// For any start and any service, calls come one after another, and each gateway makes at most one per
    /// round.
    #[test]
    fn polls_stay_within_the_slots(
        gateways in 1u32..=1_000, capacity_per_s in 1.0f64..200.0, delay_ms in 0.0f64..5_000.0,
        shift_ms in 0.0f64..60_000.0, how in 0usize..4, outage_ms in 0.0f64..30_000.0,
    ) {
        let outage = [None, Some(Outage::Refuses), Some(Outage::Busy), Some(Outage::Silent)][how];
        let service = Service { capacity_per_s, delay_ms, outage: outage.map(|how| (how, outage_ms)) };
        let result = simulate(gateways, service, 60_000.0, shift_ms);
        // Slots of 22 ms; a poll after one that ended late is made up to 0.1 s after the start of its slot.
        prop_assert!(result.max_calls_in(1_000.0) <= 46 + 2 + 6, "{} in 1 s", result.max_calls_in(1_000.0));
        prop_assert!(result.max_calls_in(100.0) <= 5 + 2 + 6, "{} in 100 ms", result.max_calls_in(100.0));
        for calls in &result.by_gateway {
            let too_close = calls.windows(3).filter(|w| w[2] - w[0] < round_ms(gateways) - 122.3).count();
            prop_assert_eq!(too_close, 0, "three calls within a round");
        }
    }

    /// With a service that has its stated capacity, all gateways have the list within a round, by one call
    /// each, and use half of the capacity from then on.
    #[test]
    fn healthy_service_answers_all_within_a_round(
        gateways in 1u32..=1_000, delay_ms in 0.0f64..500.0, shift_ms in 0.0f64..60_000.0,
    ) {
        let service = Service { delay_ms, ..HEALTHY };
        let duration_ms = 6.0 * round_ms(gateways) + 10_000.0 + delay_ms + 60_000.0;
        let result = simulate(gateways, service, duration_ms, shift_ms);
        let limit = round_ms(gateways) + delay_ms + 1_000.0;
        prop_assert!(result.last_list_ms() < limit, "last after {} ms", result.last_list_ms());
        let until = result.calls.iter().filter(|at| **at <= result.last_list_ms()).count();
        prop_assert!(until as f64 <= 1.3 * f64::from(gateways) + 2.0 + 0.05 * delay_ms, "{until} calls");
        prop_assert_eq!(result.rejected.len(), 0);
        let from = 2.0 * round_ms(gateways) + 10_000.0 + delay_ms;
        let rest = RunResult::count_from(&result.calls, from) as f64 / (duration_ms - from) * 1_000.0;
        prop_assert!(rest <= 0.5 * STATED_CAPACITY_PER_S + 1.0, "{rest} calls per second in steady state");
    }

    /// The last gateway has the list within a round after an outage, or, if calls were lost, after a time
    /// proportional to the outage.
    #[test]
    fn every_gateway_gets_the_list_after_an_outage(
        gateways in 1u32..=1_000, how in 0usize..3, outage_ms in 500.0f64..20_000.0,
        shift_ms in 0.0f64..60_000.0,
    ) {
        let how = [Outage::Refuses, Outage::Busy, Outage::Silent][how];
        let service = Service { outage: Some((how, outage_ms)), ..HEALTHY };
        let result = simulate(gateways, service, 200_000.0, shift_ms);
        // A lost call times out in a slot, and the timeout doubles each time.
        let timeouts_ms = if how == Outage::Silent { 2.0 * outage_ms + 10_000.0 } else { 0.0 };
        let limit = outage_ms + round_ms(gateways) + timeouts_ms + 2_000.0;
        prop_assert!(result.last_list_ms() < limit, "last after {} ms of {limit}", result.last_list_ms());
    }

    /// With a service that has less than its stated capacity, down to a tenth, all gateways get the list,
    /// none long after the others, and the total rate of calls converges to one at which few are rejected.
    #[test]
    fn adapts_to_a_service_with_less_capacity(
        gateways in 20u32..=1_000, capacity_per_s in 5.0f64..50.0, delay_ms in 0.0f64..5_000.0,
        shift_ms in 0.0f64..60_000.0,
    ) {
        let service = Service { capacity_per_s, delay_ms, outage: None };
        let duration_ms = 600_000.0;
        let result = simulate(gateways, service, duration_ms, shift_ms);
        let ideal = f64::from(gateways) / capacity_per_s * 1_000.0;
        let limit = 4.0 * ideal + 3.0 * (round_ms(gateways) + delay_ms) + 20_000.0;
        prop_assert!(result.last_list_ms() < limit, "{} of {ideal}", result.last_list_ms());
        let mean_list_ms = result.mean_list_ms() + round_ms(gateways) + delay_ms + 1_000.0;
        prop_assert!(
            result.last_list_ms() < 2.0 * mean_list_ms + 10_000.0,
            "the last {}, the mean {mean_list_ms}",
            result.last_list_ms()
        );
        let from = 400_000.0;
        let calls = RunResult::count_from(&result.calls, from) as f64;
        let rejected = RunResult::count_from(&result.rejected, from) as f64;
        prop_assert!(rejected <= 0.25 * calls, "{rejected} of {calls} rejected in steady state");
    }
}
