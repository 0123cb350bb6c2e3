//! Compares the slots, polls, budgets, turns and first connections of given gateways with recorded traces.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cold_start::{
    CallBudget, ConnectionRamp, Poll, PollOutcome, PollSchedule, RampStage, Slot, SlotSchedule, StartBatches,
    StartTurn,
};
use routing::Subset;

const START_MS: f64 = 1_764_000_123_457.0;

fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

macro_rules! record {
    ($trace:expr, $($text:tt)*) => { writeln!($trace, $($text)*).expect("writing to a string succeeds") };
}

fn slot_schedules() -> String {
    let mut trace = String::new();
    for (index, gateways, per_s) in [(0, 0, 50.0), (7, 300, 50.0), (1_000, 300, 0.0), (2, 3, 1e6)] {
        let slots = SlotSchedule::new(index, gateways, per_s);
        record!(
            trace,
            "{index} {gateways} {per_s}: {:?} {:?} {}",
            slots.round(),
            slots.slot(),
            slots.slot_index()
        );
        let (mut from, mut after) = (START_MS, None);
        for _ in 0..5 {
            let Slot { round, start_ms: at_ms } = slots.next_slot(from, after);
            let position = (slots.round_at(at_ms), slots.slot_index_at(at_ms));
            record!(trace, "{round} {at_ms:?} {:?} {position:?}", slots.slot_start_ms(round));
            (from, after) = (at_ms, Some(round));
        }
    }
    trace
}

fn polls() -> String {
    let mut trace = String::new();
    let outcomes = [
        PollOutcome::Unchanged,
        PollOutcome::Unchanged,
        PollOutcome::Updated,
        PollOutcome::OlderVersion,
        PollOutcome::Unchanged,
        PollOutcome::Failed,
        PollOutcome::Failed,
        PollOutcome::TimedOut,
        PollOutcome::TimedOut,
        PollOutcome::Rejected(None),
        PollOutcome::Rejected(Some(Duration::from_secs(20))),
        PollOutcome::Updated,
        PollOutcome::Unchanged,
        PollOutcome::Rejected(Some(Duration::from_secs(3_600))),
        PollOutcome::Unchanged,
        PollOutcome::Unchanged,
    ];
    for (index, gateways, shift) in [(0, 1, 0), (7, 300, 0), (299, 300, 5), (3, 30, 9)] {
        let mut schedule = PollSchedule::new(SlotSchedule::new(index, gateways, 50.0));
        let first = schedule.start_now(START_MS - 9_000.0).expect("no poll has ended");
        let Poll { at_ms, wait, timeout_at_ms } = first;
        let first = format!("Some(Call {{ at_ms: {at_ms:?}, wait: {wait:?}, until_ms: {timeout_at_ms:?} }})");
        record!(trace, "{index} {gateways}: {:?} {first}", schedule.readiness_timeout());
        let mut now = START_MS;
        for i in 0..48 {
            let outcome = outcomes[(i + shift) % outcomes.len()];
            let poll = schedule.next_poll(now);
            let Poll { at_ms, wait, timeout_at_ms } = poll;
            let missed = schedule.missed(poll, at_ms + 100.0);
            now = match outcome {
                PollOutcome::TimedOut => timeout_at_ms + 1.0,
                PollOutcome::Updated => at_ms + 700.0,
                _ => at_ms + wait.as_secs_f64() * 1_000.0 + 3.0 * (i % 5) as f64,
            };
            schedule.poll_ended(now, outcome);
            let state = (schedule.confirmed(), schedule.share(), missed);
            record!(trace, "{at_ms:?} {wait:?} {timeout_at_ms:?} {state:?}");
            if i % 7 == 0 {
                record!(
                    trace,
                    "first {:?}",
                    schedule.start_now(now).map(|c| (c.at_ms, c.wait, c.timeout_at_ms))
                );
            }
        }
    }
    trace
}

fn call_budgets() -> String {
    let mut trace = String::new();
    for (index, gateways, per_s) in [(0, 1, 200.0), (7, 300, 200.0), (2, 3, 1.0)] {
        let mut budget = CallBudget::new(index, gateways, per_s, START_MS);
        let mut taken = Vec::new();
        for n in 0..2_000 {
            let after = f64::from(n) * 7.0;
            if budget.try_take(START_MS + after) && (n < 1_000 || n % 50 == 0) {
                taken.push((after, budget.is_over(START_MS + after)));
            }
        }
        record!(trace, "{index} {gateways} {per_s}: {taken:?}");
    }
    trace
}

fn start_batches() -> String {
    let (mut trace, mut batches) = (String::new(), StartBatches::new(50.0));
    let mut requests: Vec<(f64, u32, u64)> = (0..40).map(|i| (START_MS + f64::from(i % 4), i, 1)).collect();
    for step in 0..400 {
        requests.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        if requests.is_empty() {
            break;
        }
        let (now, i, incarnation) = requests.remove(0);
        let name = format!("n{i}");
        let turn = batches.request_turn(now, &name, incarnation, 60);
        let text = match turn {
            StartTurn::Call { at_ms, fetch } => format!("call {at_ms:?} {fetch}"),
            StartTurn::AskAgain { after_ms } => format!("ask {after_ms:?}"),
            StartTurn::UseSlots => "slots".to_string(),
        };
        record!(
            trace,
            "{now:?} n{i} {incarnation}: {text} {} {:?}",
            batches.waiting_count(),
            batches.turns_per_s(60)
        );
        match turn {
            StartTurn::Call { at_ms, fetch } => {
                let outcome = match step % 9 {
                    3 => PollOutcome::Rejected(None),
                    5 => PollOutcome::TimedOut,
                    7 => PollOutcome::Failed,
                    _ => PollOutcome::Unchanged,
                };
                let response_ms = f64::from(i % 3) * 400.0;
                batches.call_ended(
                    at_ms + 1.0,
                    &name,
                    incarnation,
                    outcome,
                    response_ms,
                    fetch && outcome == PollOutcome::Unchanged,
                );
                if i % 5 == 0 {
                    // The gateway crashes and restarts.
                    requests.push((at_ms + 900.0, i, incarnation + 1));
                }
            }
            StartTurn::AskAgain { after_ms } if i % 11 != 7 => {
                requests.push((now + after_ms, i, incarnation));
            }
            _ => {}
        }
    }
    trace
}

fn connection_ramps() -> String {
    let mut trace = String::new();
    let key = |id: u32| u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7;
    for (index, gateways) in [(0, 1), (3, 30), (250, 300)] {
        let subset = Subset::new(index, gateways, 5, 3);
        let mut ramp = ConnectionRamp::new(index, gateways, subset, 50.0, START_MS);
        (0..25).for_each(|id| assert!(!ramp.add(id, key(id), 0.0)));
        record!(trace, "{index} {gateways}: {:?} {:?}", ramp.round(), ramp.readiness_timeout());
        let mut now = START_MS;
        for step in 0..120 {
            ramp.choose(now, step % 6);
            let released = ramp.release(now);
            if !released.is_empty() {
                record!(trace, "{now:?} released {released:?}");
            }
            while let Some(id) = ramp.due(now) {
                let opened =
                    ramp.first_connection_ended(now + 1.0, id, 0.0, !(id + step as u32).is_multiple_of(3));
                record!(trace, "{now:?} tried {id} {opened}");
            }
            match step {
                20 => ramp.confirm(now),
                8 | 9 => ramp.record_failure(),
                30 => ramp.remove(4),
                35 => ramp.retain(|id| id != 5 && id != 6),
                40 => assert!(!ramp.add(7, key(7), 30.0)),
                50 => assert!(!ramp.add(4, key(4), 0.0)),
                _ => {}
            }
            let stage = match ramp.stage() {
                RampStage::Empty => 0,
                RampStage::Known => 1,
                RampStage::Confirmed => 2,
                RampStage::Warm => 3,
            };
            let state = (stage, ramp.open_count(), ramp.waiting_count(), ramp.confirmed());
            let Some(next) = ramp.next_wakeup_ms(now) else {
                record!(trace, "{now:?} {state:?} none");
                now += 50.0;
                continue;
            };
            record!(trace, "{now:?} {state:?} {next:?}");
            now = next.max(now) + if step % 13 == 5 { 150.0 } else { 0.3 };
        }
    }
    trace
}

fn assert_trace(name: &str, trace: String) {
    assert!(
        trace == std::fs::read_to_string(recorded(name)).expect("a recorded trace"),
        "{name}: the trace differs"
    );
}

#[test]
fn slot_schedules_match_the_recorded_trace() {
    assert_trace("calendars.txt", slot_schedules());
}

#[test]
fn polls_match_the_recorded_trace() {
    assert_trace("calls.txt", polls());
}

#[test]
fn call_budgets_match_the_recorded_trace() {
    assert_trace("allowances.txt", call_budgets());
}

#[test]
fn start_turns_match_the_recorded_trace() {
    assert_trace("waves.txt", start_batches());
}

#[test]
fn first_connections_match_the_recorded_trace() {
    assert_trace("openings.txt", connection_ramps());
}

#[test]
fn stages_have_the_recorded_texts() {
    let text = [RampStage::Empty, RampStage::Known, RampStage::Confirmed, RampStage::Warm]
        .map(|stage| stage.to_string());
    assert_eq!(text, ["empty", "known, not confirmed", "confirmed", "warm"]);
}
