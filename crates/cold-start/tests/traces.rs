//! Moments, pauses and turns of given gateways, number by number: recorded traces.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use beechrudder_coldstart::{Allowance, Calendar, Call, Calls, Came, Openings, Stage, Turn, Waves};
use beechrudder_routing::Subset;

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
        let calendar = Calendar::new(place, gateways, per_s);
        note!(
            all,
            "{place} {gateways} {per_s}: {:?} {:?} {}",
            calendar.round(),
            calendar.slot(),
            calendar.place()
        );
        let (mut from, mut after) = (BEGIN_MS, None);
        for _ in 0..5 {
            let (round, at_ms) = calendar.next(from, after);
            let lies = (calendar.round_at(at_ms), calendar.place_at(at_ms));
            note!(all, "{round} {at_ms:?} {:?} {lies:?}", calendar.moment(round));
            (from, after) = (at_ms, Some(round));
        }
    }
    all
}

fn calls() -> String {
    let mut all = String::new();
    let results = [
        Came::Same,
        Came::Same,
        Came::News,
        Came::Older,
        Came::Same,
        Came::Broken,
        Came::Broken,
        Came::Silent,
        Came::Silent,
        Came::TurnedAway(None),
        Came::TurnedAway(Some(Duration::from_secs(20))),
        Came::News,
        Came::Same,
        Came::TurnedAway(Some(Duration::from_secs(3_600))),
        Came::Same,
        Came::Same,
    ];
    for (place, gateways, shift) in [(0, 1, 0), (7, 300, 0), (299, 300, 5), (3, 30, 9)] {
        let mut calls = Calls::new(Calendar::new(place, gateways, 50.0));
        note!(
            all,
            "{place} {gateways}: {:?} {:?}",
            calls.first_within(),
            calls.first_now(BEGIN_MS - 9_000.0)
        );
        let mut now = BEGIN_MS;
        for i in 0..48 {
            let came = results[(i + shift) % results.len()];
            let call = calls.next(now);
            let Call { at_ms, wait, until_ms } = call;
            let missed = calls.missed(call, at_ms + 100.0);
            now = match came {
                Came::Silent => until_ms + 1.0,
                Came::News => at_ms + 700.0,
                _ => at_ms + wait.as_secs_f64() * 1_000.0 + 3.0 * (i % 5) as f64,
            };
            calls.came(now, came);
            let state = (calls.confirmed(), calls.share(), missed);
            note!(all, "{at_ms:?} {wait:?} {until_ms:?} {state:?}");
            if i % 7 == 0 {
                note!(all, "first {:?}", calls.first_now(now).map(|c| (c.at_ms, c.wait, c.until_ms)));
            }
        }
    }
    all
}

fn allowances() -> String {
    let mut all = String::new();
    for (place, gateways, per_s) in [(0, 1, 200.0), (7, 300, 200.0), (2, 3, 1.0)] {
        let mut allowance = Allowance::new(place, gateways, per_s, BEGIN_MS);
        let mut taken = Vec::new();
        for n in 0..2_000 {
            let after = f64::from(n) * 7.0;
            if allowance.take(BEGIN_MS + after) && (n < 1_000 || n % 50 == 0) {
                taken.push((after, allowance.over(BEGIN_MS + after)));
            }
        }
        note!(all, "{place} {gateways} {per_s}: {taken:?}");
    }
    all
}

fn waves() -> String {
    let (mut all, mut waves) = (String::new(), Waves::new(50.0));
    let mut asks: Vec<(f64, u32, u64)> = (0..40).map(|i| (BEGIN_MS + f64::from(i % 4), i, 1)).collect();
    for step in 0..400 {
        asks.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        if asks.is_empty() {
            break;
        }
        let (now, i, boot) = asks.remove(0);
        let name = format!("n{i}");
        let turn = waves.ask(now, &name, boot, 60);
        let words = match turn {
            Turn::Call { at_ms, fetch } => format!("call {at_ms:?} {fetch}"),
            Turn::Ask { after_ms } => format!("ask {after_ms:?}"),
            Turn::Slots => "slots".to_string(),
        };
        note!(all, "{now:?} n{i} {boot}: {words} {} {:?}", waves.waiting(), waves.pace(60));
        match turn {
            Turn::Call { at_ms, fetch } => {
                let came = match step % 9 {
                    3 => Came::TurnedAway(None),
                    5 => Came::Silent,
                    7 => Came::Broken,
                    _ => Came::Same,
                };
                let took_ms = f64::from(i % 3) * 400.0;
                waves.came(at_ms + 1.0, &name, boot, came, took_ms, fetch && came == Came::Same);
                if i % 5 == 0 {
                    // It crashes, and starts anew.
                    asks.push((at_ms + 900.0, i, boot + 1));
                }
            }
            Turn::Ask { after_ms } if i % 11 != 7 => asks.push((now + after_ms, i, boot)),
            _ => {}
        }
    }
    all
}

fn openings() -> String {
    let mut all = String::new();
    let key = |id: u32| u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7;
    for (place, gateways) in [(0, 1), (3, 30), (250, 300)] {
        let subset = Subset::new(place, gateways, 5, 3);
        let mut openings = Openings::new(place, gateways, subset, 50.0, BEGIN_MS);
        (0..25).for_each(|id| assert!(!openings.listed(id, key(id), 0.0)));
        note!(all, "{place} {gateways}: {:?} {:?}", openings.round(), openings.first_within());
        let mut now = BEGIN_MS;
        for step in 0..120 {
            openings.choose(now, step % 6);
            let released = openings.release(now);
            if !released.is_empty() {
                note!(all, "{now:?} released {released:?}");
            }
            while let Some(id) = openings.due(now) {
                let answered = openings.tried(now + 1.0, id, 0.0, !(id + step as u32).is_multiple_of(3));
                note!(all, "{now:?} tried {id} {answered}");
            }
            match step {
                20 => openings.confirm(now),
                8 | 9 => openings.fault(),
                30 => openings.gone(4),
                35 => openings.keep_only(|id| id != 5 && id != 6),
                40 => assert!(!openings.listed(7, key(7), 30.0)),
                50 => assert!(!openings.listed(4, key(4), 0.0)),
                _ => {}
            }
            let stage = match openings.stage() {
                Stage::Empty => 0,
                Stage::Known => 1,
                Stage::Confirmed => 2,
                Stage::Warm => 3,
            };
            let state = (stage, openings.open(), openings.waiting(), openings.confirmed());
            let Some(next) = openings.next(now) else {
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
fn calendars_have_the_recorded_moments() {
    compare("calendars.txt", calendars());
}

#[test]
fn calls_are_made_at_the_recorded_moments() {
    compare("calls.txt", calls());
}

#[test]
fn allowances_are_the_recorded_ones() {
    compare("allowances.txt", allowances());
}

#[test]
fn turns_are_the_recorded_ones() {
    compare("waves.txt", waves());
}

#[test]
fn first_connections_have_the_recorded_turns() {
    compare("openings.txt", openings());
}

#[test]
fn stages_have_their_words() {
    let words = [Stage::Empty, Stage::Known, Stage::Confirmed, Stage::Warm].map(|stage| stage.to_string());
    assert_eq!(words, ["empty", "known, not confirmed", "confirmed", "warm"]);
}
