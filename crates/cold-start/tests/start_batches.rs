//! Turns for starting gateways, in addition to the slots of the whole fleet, in simulated time.

use cold_start::{Poll, PollOutcome, PollSchedule, SlotSchedule, StartBatches, StartTurn};
use proptest::prelude::*;

/// Capacity of the service as configured by the operator, calls per second.
const CAPACITY_PER_S: f64 = 50.0;
/// Start of the simulation, which is not the beginning of a round.
const START_MS: f64 = 1_764_000_123_457.0;
/// Step of the simulated clock, ms.
const STEP_MS: f64 = 5.0;

struct Gateway {
    name: String,
    schedule: PollSchedule,
    /// Next poll or the poll in flight, and when the poll in flight is answered.
    poll: Poll,
    answered_ms: Option<f64>,
    /// When the gateway asks the agent for a turn next; none if it does not ask again.
    next_request_ms: Option<f64>,
    /// Time of its turn.
    turn: Option<f64>,
    /// When it got the list, ms since the start.
    list_ms: Option<f64>,
    /// Whether its first call has not succeeded yet.
    first_call: bool,
}

/// Results of a run: when calls were made and when each starting gateway got the list, ms since the start.
struct RunResult {
    calls: Vec<f64>,
    list_ms: Vec<f64>,
    rejected: usize,
    fetches: usize,
}

impl RunResult {
    fn max_calls_in(&self, ms: f64) -> usize {
        let within = |i: usize| self.calls[i..].iter().take_while(|t| **t < self.calls[i] + ms).count();
        (0..self.calls.len()).map(within).max().unwrap_or(0)
    }

    fn last_list_ms(&self) -> f64 {
        self.list_ms.iter().copied().fold(0.0, f64::max)
    }
}

/// Simulates a running fleet of which `starts` gateways, spread over its slots, restart at the same time. The
/// service handles one call after another, `service_per_s` per second, with a queue of 50.
fn simulate(gateways: u32, starts: u32, service_per_s: f64, with_agent: bool, seconds: f64) -> RunResult {
    let mut batches = StartBatches::new(CAPACITY_PER_S);
    let restarts = |index: u32| index * starts / gateways != (index + 1) * starts / gateways;
    let mut all: Vec<Gateway> = (0..gateways)
        .map(|index| {
            let mut schedule = PollSchedule::new(SlotSchedule::new(index, gateways, CAPACITY_PER_S));
            let mut from = START_MS;
            // Running gateways got the list in the previous round, as after a start of the whole fleet.
            if !restarts(index) {
                let before = schedule.next_poll(START_MS - round_ms(gateways));
                schedule.poll_ended(before.at_ms + 20.0, PollOutcome::Unchanged);
                from = before.at_ms + 21.0;
            }
            let poll = schedule.next_poll(from);
            let next_request_ms = (with_agent && restarts(index)).then_some(START_MS);
            let (name, answered_ms, turn, list_ms) = (format!("n{index}"), None, None, None);
            Gateway {
                name,
                schedule,
                poll,
                answered_ms,
                next_request_ms,
                turn,
                list_ms,
                first_call: restarts(index),
            }
        })
        .collect();
    let mut result = RunResult { calls: Vec::new(), list_ms: Vec::new(), rejected: 0, fetches: 0 };
    let (mut now, mut service_free_ms) = (START_MS, 0.0f64);
    while now < START_MS + seconds * 1_000.0 {
        for g in &mut all {
            if g.next_request_ms.is_some_and(|at| at <= now) {
                match batches.request_turn(now, &g.name, 1, gateways) {
                    StartTurn::Call { at_ms, fetch } => {
                        (g.turn, g.next_request_ms) = (Some(at_ms), None);
                        result.fetches += usize::from(fetch);
                    }
                    StartTurn::AskAgain { after_ms } => g.next_request_ms = Some(now + after_ms),
                    StartTurn::UseSlots => g.next_request_ms = None,
                }
            }
            if g.turn.is_some_and(|at| at <= now) && g.answered_ms.is_none() {
                g.turn = None;
                g.poll = g.schedule.start_now(now).unwrap_or(g.poll);
            }
            if g.answered_ms.is_none() && g.poll.at_ms <= now {
                result.calls.push(now - START_MS);
                // A call takes up the queue until it is handled, not while its watch waits.
                if service_free_ms - now > 50.0 * 1_000.0 / service_per_s {
                    result.rejected += 1;
                    g.schedule.poll_ended(now, PollOutcome::Rejected(None));
                    if std::mem::take(&mut g.first_call) {
                        batches.call_ended(now, &g.name, 1, PollOutcome::Rejected(None), 0.0, false);
                        g.first_call = true;
                    }
                    g.poll = g.schedule.next_poll(now);
                } else {
                    service_free_ms = service_free_ms.max(now) + 1_000.0 / service_per_s;
                    g.answered_ms = Some(service_free_ms + g.poll.wait.as_secs_f64() * 1_000.0);
                }
            }
            if g.answered_ms.is_some_and(|at| at <= now) {
                g.answered_ms = None;
                g.schedule.poll_ended(now, PollOutcome::Unchanged);
                if std::mem::take(&mut g.first_call) {
                    g.list_ms = Some(now - START_MS);
                    (g.next_request_ms, g.turn) = (None, None);
                    batches.call_ended(now, &g.name, 1, PollOutcome::Unchanged, now - g.poll.at_ms, false);
                }
                g.poll = g.schedule.next_poll(now);
            }
        }
        now += STEP_MS;
    }
    let list_ms = (0..).zip(&all).filter(|(index, _)| restarts(*index)).map(|(_, g)| g.list_ms);
    result.list_ms = list_ms.map(|list_ms| list_ms.unwrap_or(f64::INFINITY)).collect();
    result
}

fn round_ms(gateways: u32) -> f64 {
    SlotSchedule::new(0, gateways, CAPACITY_PER_S).round().as_secs_f64() * 1_000.0
}

#[test]
fn turns_halve_the_start_time_of_few_gateways() {
    let (slots, turns) = (simulate(300, 30, 50.0, false, 14.0), simulate(300, 30, 50.0, true, 14.0));
    assert!(
        turns.last_list_ms() <= 0.5 * slots.last_list_ms(),
        "{} {}",
        slots.last_list_ms(),
        turns.last_list_ms()
    );
    let mean = |result: &RunResult| result.list_ms.iter().sum::<f64>() / 30.0;
    assert!(mean(&turns) <= 0.5 * mean(&slots), "{} {}", mean(&slots), mean(&turns));
    assert_eq!((slots.rejected, turns.rejected), (0, 0));
    assert!(turns.max_calls_in(1_000.0) <= 75, "{}", turns.max_calls_in(1_000.0));
}

#[test]
fn whole_fleet_start_gets_almost_no_turns() {
    let result = simulate(300, 300, 50.0, true, 14.0);
    assert!(result.last_list_ms() <= round_ms(300) + 100.0, "{}", result.last_list_ms());
    // The calls in slots, and one or two turns of gateways that asked before the others.
    assert!(result.max_calls_in(1_000.0) <= 52, "{}", result.max_calls_in(1_000.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// In any fleet, no gateway gets the list later than by its slots, and the rate of calls stays within
    /// 1.35 times the stated capacity, apart from a constant.
    #[test]
    fn turns_delay_no_gateway_and_stay_within_capacity(
        gateways in 1u32..400, started_fraction in 0.0..1.0f64, capacity_factor in 0.5..2.0f64
    ) {
        let starts = ((f64::from(gateways) * started_fraction) as u32).max(1);
        let (service_per_s, round) = (CAPACITY_PER_S * capacity_factor, round_ms(gateways));
        let result = simulate(gateways, starts, service_per_s, true, 3.0 * round / 1_000.0 + 4.0);
        if capacity_factor >= 1.0 {
            // One slot in each round, and the time for a response.
            prop_assert!(result.last_list_ms() <= round + 1_200.0, "{} of {round}", result.last_list_ms());
        }
        for ms in [200.0, 1_000.0, 5_000.0] {
            let max_calls =
                1.35 * CAPACITY_PER_S * ms / 1_000.0 + 3.0 + (100.0 + STEP_MS) * CAPACITY_PER_S / 1_000.0;
            prop_assert!(
                result.max_calls_in(ms) as f64 <= max_calls,
                "{} in {ms} ms, {max_calls} allowed",
                result.max_calls_in(ms)
            );
        }
    }
}

/// Asks until a turn is given. Returns its time and whether the gateway is to fetch the list; none if the
/// gateway is to use its slots.
fn turn(batches: &mut StartBatches, mut now: f64, name: &str, incarnation: u64) -> Option<(f64, bool)> {
    for _ in 0..1_000 {
        match batches.request_turn(now, name, incarnation, 300) {
            StartTurn::Call { at_ms, fetch } => return Some((at_ms, fetch)),
            StartTurn::AskAgain { after_ms } => now += after_ms,
            StartTurn::UseSlots => return None,
        }
    }
    panic!("no turn after 1,000 requests");
}

/// A gateway in a crash loop must not be the first in the queue at every start.
#[test]
fn gateway_gets_one_turn_per_round() {
    let mut batches = StartBatches::new(CAPACITY_PER_S);
    assert!(turn(&mut batches, START_MS, "n0", 1).is_some());
    assert_eq!(turn(&mut batches, START_MS + 500.0, "n0", 2), None);
    assert!(turn(&mut batches, START_MS + round_ms(300) + 1.0, "n0", 3).is_some());
    // A gateway that crashes while it waits keeps its position and is counted once.
    for incarnation in 0..20 {
        batches.request_turn(START_MS + 50_000.0, "n1", incarnation, 300);
        batches.request_turn(START_MS + 50_000.0, "n2", incarnation, 300);
    }
    assert!(batches.waiting_count() <= 2);
}

#[test]
fn silent_and_finished_gateways_leave_the_queue() {
    let mut batches = StartBatches::new(CAPACITY_PER_S);
    for i in 0..40 {
        batches.request_turn(START_MS, &format!("n{i}"), 1, 300);
    }
    assert!(batches.waiting_count() >= 39);
    for i in 0..20 {
        batches.call_ended(START_MS + 10.0, &format!("n{i}"), 1, PollOutcome::Unchanged, 20.0, false);
        // The result of another incarnation is ignored.
        batches.call_ended(START_MS + 10.0, &format!("n{}", i + 20), 7, PollOutcome::Unchanged, 20.0, false);
    }
    assert_eq!(batches.waiting_count(), 20);
    batches.request_turn(START_MS + 4_000.0, "late", 1, 300);
    assert!(batches.waiting_count() <= 1, "{}", batches.waiting_count());
}

#[test]
fn at_most_ten_thousand_gateways_are_tracked() {
    let mut batches = StartBatches::new(CAPACITY_PER_S);
    for i in 0..12_000 {
        batches.request_turn(START_MS, &format!("n{i}"), 1, 20_000);
    }
    assert!(batches.waiting_count() <= 10_000, "{}", batches.waiting_count());
    assert_eq!(batches.request_turn(START_MS, "one more", 1, 20_000), StartTurn::UseSlots);
}

/// Returns the turns in five seconds if each first call has the same outcome.
fn turns_in_5_s(outcome: PollOutcome, response_ms: f64) -> usize {
    let (mut batches, mut now, mut turns, mut next) = (StartBatches::new(CAPACITY_PER_S), START_MS, 0, 0);
    while now < START_MS + 5_000.0 {
        // There is always a gateway waiting.
        match batches.request_turn(now, &format!("n{next}"), 1, 10_000) {
            StartTurn::Call { .. } => {
                batches.call_ended(now, &format!("n{next}"), 1, outcome, response_ms, false);
                (turns, next) = (turns + 1, next + 1);
            }
            StartTurn::AskAgain { after_ms } => now += after_ms,
            StartTurn::UseSlots => unreachable!("each gateway gets one turn"),
        }
    }
    turns
}

#[test]
fn turn_rate_grows_with_responses_and_drops_with_rejections() {
    let [fast, slow, rejected, timed_out, failed] = [
        turns_in_5_s(PollOutcome::Unchanged, 20.0),
        // Over a second slower than the fastest response, which the first one sets.
        turns_in_5_s(PollOutcome::Unchanged, 500.0),
        turns_in_5_s(PollOutcome::Rejected(None), 0.0),
        turns_in_5_s(PollOutcome::TimedOut, 5_000.0),
        turns_in_5_s(PollOutcome::Failed, 0.0),
    ];
    // At most 0.45 of 50 turns a second; the initial rate is about a fifth of that.
    assert!((100..=114).contains(&fast), "{fast}");
    assert!(rejected <= 12 && timed_out <= 12, "{rejected} {timed_out}");
    assert!((20..=30).contains(&failed) && slow > failed, "{failed} {slow}");
}

#[test]
fn list_is_fetched_again_when_stale_or_timed_out() {
    let mut batches = StartBatches::new(CAPACITY_PER_S);
    let fetch = |batches: &mut StartBatches, at: f64, name: &str| {
        turn(batches, START_MS + at, name, 1).map(|(_, f)| f)
    };
    assert_eq!(fetch(&mut batches, 0.0, "n0"), Some(true));
    assert_eq!(fetch(&mut batches, 1_000.0, "n1"), Some(false), "another gateway is fetching it");
    // n0 never reports the list.
    assert_eq!(fetch(&mut batches, 6_500.0, "n2"), Some(true));
    batches.call_ended(START_MS + 7_000.0, "n2", 1, PollOutcome::Updated, 20.0, true);
    assert_eq!(fetch(&mut batches, 8_000.0, "n3"), Some(false), "the list is fresh");
    assert_eq!(fetch(&mut batches, 13_000.0, "n4"), Some(true));
}
