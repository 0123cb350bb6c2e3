//! Room: what is refused though the quota has it. Aims that are few times the work, and work that scatters.

mod support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use gateway_policy::interface::*;
use support::*;

/// Seeded chance, in (0, 1].
struct Dice(u64);

impl Dice {
    fn roll(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((self.0 >> 11) as f64 + 1.0) / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * self.roll().ln()
    }
}

/// What of 95 and 215 ms of work each takes, with so many requests a second, so many times as long as it
/// would alone. Gives the part that is refused.
fn refused_part(seed: u64, a_second: f64, seconds: f64, slower: f64) -> f64 {
    let mut told = settings();
    (told.classes[0].latency_objective_ms, told.classes[0].deadline_ms) = (750.0, 3_000.0);
    (told.classes[1].latency_objective_ms, told.classes[1].deadline_ms) = (1_500.0, 6_000.0);
    let mut rig = Rig::seeded(told, 13, seed);
    let mut dice = Dice(seed);
    let (mut ends, mut out) = (BinaryHeap::new(), BTreeMap::new());
    let (mut asked, mut turned_away, mut next) = (0u64, 0u64, T0);
    // Answers out, by the time that they come in microseconds.
    let end =
        |rig: &mut Rig, out: &mut BTreeMap<(u64, u32), (u32, f64)>, (at, id, attempt): (u64, u64, u32)| {
            rig.now = at as f64 / 1000.0;
            let Some((backend, latency_ms)) = out.remove(&(id, attempt)) else { return };
            let closed = true;
            let (outcome, load) = (Outcome::Ok, &[][..]);
            let (metered, charged) = (None, None);
            rig.on(Event::AttemptEnded {
                id,
                attempt,
                backend,
                outcome,
                latency_ms,
                answered: closed,
                metered_use: metered,
                actual_units: charged,
                load,
            });
        };
    while next < T0 + seconds * 1000.0 {
        while let Some(Reverse((at, id, attempt))) = ends.peek().copied() {
            if at as f64 / 1000.0 > next {
                break;
            }
            ends.pop();
            end(&mut rig, &mut out, (at, id, attempt));
        }
        rig.now = next;
        let class = usize::from(dice.roll() < 0.32);
        let mut asks = request(asked, class, 3, 1.0);
        asks.deadline_ms = rig.now + [3_000.0, 6_000.0][class];
        let actions = rig.ask(asks);
        match sent_to(&actions) {
            Some(backend) => {
                // Crowded backends or not, as the caller says: this is the decisions' estimate alone.
                let takes =
                    dice.exponential([95.0, 215.0][class]) * if next > T0 + 10_000.0 { slower } else { 1.0 };
                out.insert((asked, 0), (backend, takes));
                ends.push(Reverse((((rig.now + takes) * 1000.0) as u64, asked, 0)));
            }
            None => turned_away += u64::from(rejected(&actions)),
        }
        asked += 1;
        next += dice.exponential(1000.0 / a_second);
    }
    turned_away as f64 / asked as f64
}

#[test]
fn scattered_work_is_not_overload() {
    let parts: Vec<f64> = (1..=8).map(|seed| refused_part(seed, 33.0, 50.0, 1.0)).collect();
    let mean = parts.iter().sum::<f64>() / parts.len() as f64;
    assert!(mean < 0.01, "{parts:?}");
}

#[test]
fn rejections_grow_with_slowness() {
    let mean = |slower: f64| (1..=8).map(|seed| refused_part(seed, 33.0, 50.0, slower)).sum::<f64>() / 8.0;
    let parts = [1.5, 6.0].map(mean);
    assert!(parts[0] < 0.05 && parts[1] > 0.3, "{parts:?}");
}
