//! Moments, pauses and turns of given gateways, number by number: recorded traces.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cold_start::{
    CallBudget, ConnectionRamp, Poll, PollOutcome, PollSchedule, RampStage, Slot, SlotSchedule, StartBatches,
    StartTurn,
};
use routing::Subset;

const BEGIN_MS: f64 = 1_764_000_123_457.0;

fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

macro_rules! note {
    ($all:expr, $($text:tt)*) => { writeln!($all, $($text)*).expect("a string takes all") };
}

fn calendars() -> String {
    let mut all = String::new();
    for (place, gateways, per_s) in [(0, 0, 50.0), (7, 300, 50.0), (1_000, 300, 0.0), (2, 3, 1e6)] {
        let slots = SlotSchedule::new(place, gateways, per_s);
        note!(
            all,
            "{place} {gateways} {per_s}: {:?} {:?} {}",
            slots.round(),
            slots.slot(),
            slots.slot_index()
        );
        let (mut from, mut after) = (BEGIN_MS, None);
        for _ in 0..5 {
            let Slot { round, start_ms: at_ms } = slots.next_slot(from, after);
            let lies = (slots.round_at(at_ms), slots.slot_index_at(at_ms));
            note!(all, "{round} {at_ms:?} {:?} {lies:?}", slots.slot_start_ms(round));
            (from, after) = (at_ms, Some(round));
        }
    }
    all
}

fn polls() -> String {
    let mut all = String::new();
    let results = [
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
    for (place, gateways, shift) in [(0, 1, 0), (7, 300, 0), (299, 300, 5), (3, 30, 9)] {
        let mut calls = PollSchedule::new(SlotSchedule::new(place, gateways, 50.0));
        let first = calls.start_now(BEGIN_MS - 9_000.0).expect("none was made before");
        let Poll { at_ms, wait, timeout_at_ms } = first;
        let first = format!("Some(Call {{ at_ms: {at_ms:?}, wait: {wait:?}, until_ms: {timeout_at_ms:?} }})");
        note!(all, "{place} {gateways}: {:?} {first}", calls.readiness_timeout());
        let mut now = BEGIN_MS;
        for i in 0..48 {
            let came = results[(i + shift) % results.len()];
            let call = calls.next_poll(now);
            let Poll { at_ms, wait, timeout_at_ms } = call;
            let missed = calls.missed(call, at_ms + 100.0);
            now = match came {
                PollOutcome::TimedOut => timeout_at_ms + 1.0,
                PollOutcome::Updated => at_ms + 700.0,
                _ => at_ms + wait.as_secs_f64() * 1_000.0 + 3.0 * (i % 5) as f64,
            };
            calls.poll_ended(now, came);
            let state = (calls.confirmed(), calls.share(), missed);
            note!(all, "{at_ms:?} {wait:?} {timeout_at_ms:?} {state:?}");
            if i % 7 == 0 {
                note!(all, "first {:?}", calls.start_now(now).map(|c| (c.at_ms, c.wait, c.timeout_at_ms)));
            }
        }
    }
    all
}

fn allowances() -> String {
    let mut all = String::new();
    for (place, gateways, per_s) in [(0, 1, 200.0), (7, 300, 200.0), (2, 3, 1.0)] {
        let mut allowance = CallBudget::new(place, gateways, per_s, BEGIN_MS);
        let mut taken = Vec::new();
        for n in 0..2_000 {
            let after = f64::from(n) * 7.0;
            if allowance.try_take(BEGIN_MS + after) && (n < 1_000 || n % 50 == 0) {
                taken.push((after, allowance.is_over(BEGIN_MS + after)));
            }
        }
        note!(all, "{place} {gateways} {per_s}: {taken:?}");
    }
    all
}

fn start_batches() -> String {
    let (mut all, mut batches) = (String::new(), StartBatches::new(50.0));
    let mut asks: Vec<(f64, u32, u64)> = (0..40).map(|i| (BEGIN_MS + f64::from(i % 4), i, 1)).collect();
    for step in 0..400 {
        asks.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        if asks.is_empty() {
            break;
        }
        let (now, i, boot) = asks.remove(0);
        let name = format!("n{i}");
        let turn = batches.request_turn(now, &name, boot, 60);
        let words = match turn {
            StartTurn::Call { at_ms, fetch } => format!("call {at_ms:?} {fetch}"),
            StartTurn::AskAgain { after_ms } => format!("ask {after_ms:?}"),
            StartTurn::UseSlots => "slots".to_string(),
        };
        note!(all, "{now:?} n{i} {boot}: {words} {} {:?}", batches.waiting_count(), batches.turns_per_s(60));
        match turn {
            StartTurn::Call { at_ms, fetch } => {
                let came = match step % 9 {
                    3 => PollOutcome::Rejected(None),
                    5 => PollOutcome::TimedOut,
                    7 => PollOutcome::Failed,
                    _ => PollOutcome::Unchanged,
                };
                let took_ms = f64::from(i % 3) * 400.0;
                batches.call_ended(
                    at_ms + 1.0,
                    &name,
                    boot,
                    came,
                    took_ms,
                    fetch && came == PollOutcome::Unchanged,
                );
                if i % 5 == 0 {
                    // It crashes, and starts anew.
                    asks.push((at_ms + 900.0, i, boot + 1));
                }
            }
            StartTurn::AskAgain { after_ms } if i % 11 != 7 => asks.push((now + after_ms, i, boot)),
            _ => {}
        }
    }
    all
}

fn connection_ramps() -> String {
    let mut all = String::new();
    let key = |id: u32| u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7;
    for (place, gateways) in [(0, 1), (3, 30), (250, 300)] {
        let subset = Subset::new(place, gateways, 5, 3);
        let mut ramp = ConnectionRamp::new(place, gateways, subset, 50.0, BEGIN_MS);
        (0..25).for_each(|id| assert!(!ramp.add(id, key(id), 0.0)));
        note!(all, "{place} {gateways}: {:?} {:?}", ramp.round(), ramp.readiness_timeout());
        let mut now = BEGIN_MS;
        for step in 0..120 {
            ramp.choose(now, step % 6);
            let released = ramp.release(now);
            if !released.is_empty() {
                note!(all, "{now:?} released {released:?}");
            }
            while let Some(id) = ramp.due(now) {
                let answered =
                    ramp.first_connection_ended(now + 1.0, id, 0.0, !(id + step as u32).is_multiple_of(3));
                note!(all, "{now:?} tried {id} {answered}");
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
                note!(all, "{now:?} {state:?} none");
                now += 50.0;
                continue;
            };
            note!(all, "{now:?} {state:?} {next:?}");
            now = next.max(now) + if step % 13 == 5 { 150.0 } else { 0.3 };
        }
    }
    all
}

fn compare(name: &str, trace: String) {
    assert!(trace == std::fs::read_to_string(recorded(name)).expect("recorded"), "{name}: another trace");
}

#[test]
fn slot_schedules_have_the_recorded_moments() {
    compare("calendars.txt", calendars());
}

#[test]
fn polls_are_made_at_the_recorded_moments() {
    compare("calls.txt", polls());
}

#[test]
fn call_budgets_are_the_recorded_ones() {
    compare("allowances.txt", allowances());
}

#[test]
fn start_turns_are_the_recorded_ones() {
    compare("waves.txt", start_batches());
}

#[test]
fn first_connections_have_the_recorded_slots() {
    compare("openings.txt", connection_ramps());
}

#[test]
fn stages_have_recorded_texts() {
    let words = [RampStage::Empty, RampStage::Known, RampStage::Confirmed, RampStage::Warm]
        .map(|stage| stage.to_string());
    assert_eq!(words, ["empty", "known, not confirmed", "confirmed", "warm"]);
}
