//! Turns for starting gateways, beside the slots of all, in simulated time.

use cold_start::{Poll, PollOutcome, PollSchedule, SlotSchedule, StartBatches, StartTurn};
use proptest::prelude::*;

/// Capacity of the service as operators state it, calls a second.
const BEARS: f64 = 50.0;
/// Starts at an hour that no round begins with.
const BEGIN_MS: f64 = 1_764_000_123_457.0;
/// How far the simulated clock steps, ms.
const STEP_MS: f64 = 5.0;

struct Gateway {
    name: String,
    calls: PollSchedule,
    /// Its next poll by slots, and when the poll in flight is answered.
    call: Poll,
    answered_ms: Option<f64>,
    /// When it asks the agent next; none if it does not ask again.
    asks_ms: Option<f64>,
    turn: Option<f64>,
    told_ms: Option<f64>,
    first: bool,
}

/// When calls were made and when each starting gateway got the list, ms from the start on.
struct Played {
    calls: Vec<f64>,
    told: Vec<f64>,
    turned_away: usize,
    fetched: usize,
}

impl Played {
    fn most_in(&self, ms: f64) -> usize {
        let within = |i: usize| self.calls[i..].iter().take_while(|t| **t < self.calls[i] + ms).count();
        (0..self.calls.len()).map(within).max().unwrap_or(0)
    }

    fn last(&self) -> f64 {
        self.told.iter().copied().fold(0.0, f64::max)
    }
}

/// A running fleet, of which `starts` gateways restart together, spread over its slots; the service handles
/// one call after another, `bears` a second, with a queue of 50.
fn play(gateways: u32, starts: u32, bears: f64, with_agent: bool, seconds: f64) -> Played {
    let mut batches = StartBatches::new(BEARS);
    let anew = |place: u32| place * starts / gateways != (place + 1) * starts / gateways;
    let mut all: Vec<Gateway> = (0..gateways)
        .map(|place| {
            let mut calls = PollSchedule::new(SlotSchedule::new(place, gateways, BEARS));
            let mut from = BEGIN_MS;
            // Running gateways got the list in the round before, as after a start of all.
            if !anew(place) {
                let before = calls.next_poll(BEGIN_MS - round_ms_of(gateways));
                calls.poll_ended(before.at_ms + 20.0, PollOutcome::Unchanged);
                from = before.at_ms + 21.0;
            }
            let call = calls.next_poll(from);
            let asks_ms = (with_agent && anew(place)).then_some(BEGIN_MS);
            let (name, answered_ms, turn, told_ms) = (format!("n{place}"), None, None, None);
            Gateway { name, calls, call, answered_ms, asks_ms, turn, told_ms, first: anew(place) }
        })
        .collect();
    let mut played = Played { calls: Vec::new(), told: Vec::new(), turned_away: 0, fetched: 0 };
    let (mut now, mut free_ms) = (BEGIN_MS, 0.0f64);
    while now < BEGIN_MS + seconds * 1_000.0 {
        for g in &mut all {
            if g.asks_ms.is_some_and(|at| at <= now) {
                match batches.request_turn(now, &g.name, 1, gateways) {
                    StartTurn::Call { at_ms, fetch } => {
                        (g.turn, g.asks_ms) = (Some(at_ms), None);
                        played.fetched += usize::from(fetch);
                    }
                    StartTurn::AskAgain { after_ms } => g.asks_ms = Some(now + after_ms),
                    StartTurn::UseSlots => g.asks_ms = None,
                }
            }
            if g.turn.is_some_and(|at| at <= now) && g.answered_ms.is_none() {
                g.turn = None;
                g.call = g.calls.start_now(now).unwrap_or(g.call);
            }
            if g.answered_ms.is_none() && g.call.at_ms <= now {
                played.calls.push(now - BEGIN_MS);
                // The queue is for calls that are to be answered, not for watches.
                if free_ms - now > 50.0 * 1_000.0 / bears {
                    played.turned_away += 1;
                    g.calls.poll_ended(now, PollOutcome::Rejected(None));
                    if std::mem::take(&mut g.first) {
                        batches.call_ended(now, &g.name, 1, PollOutcome::Rejected(None), 0.0, false);
                        g.first = true;
                    }
                    g.call = g.calls.next_poll(now);
                } else {
                    free_ms = free_ms.max(now) + 1_000.0 / bears;
                    g.answered_ms = Some(free_ms + g.call.wait.as_secs_f64() * 1_000.0);
                }
            }
            if g.answered_ms.is_some_and(|at| at <= now) {
                g.answered_ms = None;
                g.calls.poll_ended(now, PollOutcome::Unchanged);
                if std::mem::take(&mut g.first) {
                    g.told_ms = Some(now - BEGIN_MS);
                    (g.asks_ms, g.turn) = (None, None);
                    batches.call_ended(now, &g.name, 1, PollOutcome::Unchanged, now - g.call.at_ms, false);
                }
                g.call = g.calls.next_poll(now);
            }
        }
        now += STEP_MS;
    }
    let told = (0..).zip(&all).filter(|(place, _)| anew(*place)).map(|(_, g)| g.told_ms);
    played.told = told.map(|told| told.unwrap_or(f64::INFINITY)).collect();
    played
}

fn round_ms_of(gateways: u32) -> f64 {
    SlotSchedule::new(0, gateways, BEARS).round().as_secs_f64() * 1_000.0
}

#[test]
fn a_tenth_of_the_fleet_starts_in_half_the_time_within_capacity() {
    let (slots, turns) = (play(300, 30, 50.0, false, 14.0), play(300, 30, 50.0, true, 14.0));
    assert!(turns.last() <= 0.5 * slots.last(), "{} {}", slots.last(), turns.last());
    let mean = |played: &Played| played.told.iter().sum::<f64>() / 30.0;
    assert!(mean(&turns) <= 0.5 * mean(&slots), "{} {}", mean(&slots), mean(&turns));
    assert_eq!((slots.turned_away, turns.turned_away), (0, 0));
    assert!(turns.most_in(1_000.0) <= 75, "{}", turns.most_in(1_000.0));
}

#[test]
fn no_turns_when_the_whole_fleet_starts() {
    let played = play(300, 300, 50.0, true, 14.0);
    assert!(played.last() <= round_ms_of(300) + 100.0, "{}", played.last());
    // Those of the slots, and a turn or two of gateways that asked before the others.
    assert!(played.most_in(1_000.0) <= 52, "{}", played.most_in(1_000.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// No later than by slots, and no more calls than the invariant has, in any fleet.
    #[test]
    fn turns_delay_nobody_and_keep_to_the_capacity(
        gateways in 1u32..400, part in 0.0..1.0f64, slow in 0.5..2.0f64
    ) {
        let starts = ((f64::from(gateways) * part) as u32).max(1);
        let (bears, round) = (BEARS * slow, round_ms_of(gateways));
        let played = play(gateways, starts, bears, true, 3.0 * round / 1_000.0 + 4.0);
        if slow >= 1.0 {
            // A slot of its own in each round, and the time of an answer.
            prop_assert!(played.last() <= round + 1_200.0, "{} of {round}", played.last());
        }
        for ms in [200.0, 1_000.0, 5_000.0] {
            let most = 1.35 * BEARS * ms / 1_000.0 + 3.0 + (100.0 + STEP_MS) * BEARS / 1_000.0;
            prop_assert!(played.most_in(ms) as f64 <= most, "{} in {ms} ms, {most}", played.most_in(ms));
        }
    }
}

/// Asks until there is a turn. Returns when it is, and whether the gateway is to fetch the list.
fn turn(batches: &mut StartBatches, mut now: f64, name: &str, boot: u64) -> Option<(f64, bool)> {
    for _ in 0..1_000 {
        match batches.request_turn(now, name, boot, 300) {
            StartTurn::Call { at_ms, fetch } => return Some((at_ms, fetch)),
            StartTurn::AskAgain { after_ms } => now += after_ms,
            StartTurn::UseSlots => return None,
        }
    }
    panic!("asked a thousand times");
}

/// A gateway that crashes in a loop must not be the first in the queue at each start.
#[test]
fn one_turn_per_name_and_round() {
    let mut batches = StartBatches::new(BEARS);
    assert!(turn(&mut batches, BEGIN_MS, "n0", 1).is_some());
    assert_eq!(turn(&mut batches, BEGIN_MS + 500.0, "n0", 2), None);
    assert!(turn(&mut batches, BEGIN_MS + round_ms_of(300) + 1.0, "n0", 3).is_some());
    // A gateway that crashes while it waits keeps its position and is not counted twice.
    for boot in 0..20 {
        batches.request_turn(BEGIN_MS + 50_000.0, "n1", boot, 300);
        batches.request_turn(BEGIN_MS + 50_000.0, "n2", boot, 300);
    }
    assert!(batches.waiting_count() <= 2);
}

#[test]
fn silent_and_answered_gateways_leave_the_queue() {
    let mut batches = StartBatches::new(BEARS);
    for i in 0..40 {
        batches.request_turn(BEGIN_MS, &format!("n{i}"), 1, 300);
    }
    assert!(batches.waiting_count() >= 39);
    for i in 0..20 {
        batches.call_ended(BEGIN_MS + 10.0, &format!("n{i}"), 1, PollOutcome::Unchanged, 20.0, false);
        // The result of another incarnation is ignored.
        batches.call_ended(BEGIN_MS + 10.0, &format!("n{}", i + 20), 7, PollOutcome::Unchanged, 20.0, false);
    }
    assert_eq!(batches.waiting_count(), 20);
    batches.request_turn(BEGIN_MS + 4_000.0, "late", 1, 300);
    assert!(batches.waiting_count() <= 1, "{}", batches.waiting_count());
}

#[test]
fn remembers_at_most_ten_thousand_gateways() {
    let mut batches = StartBatches::new(BEARS);
    for i in 0..12_000 {
        batches.request_turn(BEGIN_MS, &format!("n{i}"), 1, 20_000);
    }
    assert!(batches.waiting_count() <= 10_000, "{}", batches.waiting_count());
    assert_eq!(batches.request_turn(BEGIN_MS, "one more", 1, 20_000), StartTurn::UseSlots);
}

/// Turns in five seconds where each first call has the same outcome.
fn wave(came: PollOutcome, took_ms: f64) -> usize {
    let (mut batches, mut now, mut turns, mut next) = (StartBatches::new(BEARS), BEGIN_MS, 0, 0);
    while now < BEGIN_MS + 5_000.0 {
        // The queue is never empty.
        match batches.request_turn(now, &format!("n{next}"), 1, 10_000) {
            StartTurn::Call { .. } => {
                batches.call_ended(now, &format!("n{next}"), 1, came, took_ms, false);
                (turns, next) = (turns + 1, next + 1);
            }
            StartTurn::AskAgain { after_ms } => now += after_ms,
            StartTurn::UseSlots => unreachable!("each asks once"),
        }
    }
    turns
}

#[test]
fn turns_grow_with_responses_and_shrink_with_rejections() {
    let [quick, slow, busy, silent, broken] = [
        wave(PollOutcome::Unchanged, 20.0),
        // Over a second slower than the fastest response, which the first one sets.
        wave(PollOutcome::Unchanged, 500.0),
        wave(PollOutcome::Rejected(None), 0.0),
        wave(PollOutcome::TimedOut, 5_000.0),
        wave(PollOutcome::Failed, 0.0),
    ];
    // 0.45 of 50 a second, and as they begin: a fifth of that.
    assert!((100..=114).contains(&quick), "{quick}");
    assert!(busy <= 12 && silent <= 12, "{busy} {silent}");
    assert!((20..=30).contains(&broken) && slow > broken, "{broken} {slow}");
}

#[test]
fn one_gateway_fetches_the_list_until_it_is_old_or_the_fetch_times_out() {
    let mut batches = StartBatches::new(BEARS);
    let fetch = |batches: &mut StartBatches, at: f64, name: &str| {
        turn(batches, BEGIN_MS + at, name, 1).map(|(_, f)| f)
    };
    assert_eq!(fetch(&mut batches, 0.0, "n0"), Some(true));
    assert_eq!(fetch(&mut batches, 1_000.0, "n1"), Some(false), "one fetches it already");
    // It never reports.
    assert_eq!(fetch(&mut batches, 6_500.0, "n2"), Some(true));
    batches.call_ended(BEGIN_MS + 7_000.0, "n2", 1, PollOutcome::Updated, 20.0, true);
    assert_eq!(fetch(&mut batches, 8_000.0, "n3"), Some(false), "it is fresh");
    assert_eq!(fetch(&mut batches, 13_000.0, "n4"), Some(true));
}
