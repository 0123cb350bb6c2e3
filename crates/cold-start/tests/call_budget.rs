//! Calls to a counter by fleets of 1 to 1,000 gateways that start together, in simulated time.

use cold_start::CallBudget;
use proptest::prelude::*;

const BEGIN_MS: f64 = 1_764_000_123_457.0;
/// What the counter bears, calls a second.
const BEARS: f64 = 200.0;

/// Calls of a fleet by second, each gateway wanting so many a second.
fn play(n: u32, wants: f64, seconds: usize, begins: impl Fn(u32) -> f64) -> Vec<usize> {
    let mut by_second = vec![0; seconds];
    for place in 0..n {
        let start = begins(place);
        let mut allowance = CallBudget::new(place, n, BEARS, start);
        let every = 1_000.0 / wants;
        let mut at = start + every * f64::from(place % 17) / 17.0;
        while at < BEGIN_MS + 1_000.0 * seconds as f64 {
            if allowance.try_take(at) {
                by_second[((at - BEGIN_MS) / 1_000.0) as usize] += 1;
            }
            at += every;
        }
    }
    by_second
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Seeds: `PROPTEST_RNG_SEED`. In second `k` a fleet that starts at once makes no more than `2^(k+1)`
    /// times what the counter bears, and one call of each gateway.
    #[test]
    fn fleets_of_any_size_begin_within_the_counters_capacity(n in 1u32..=1_000, wants in 1.0..100.0f64) {
        let by_second = play(n, wants, 4, |_| BEGIN_MS);
        let mut all = 0.0;
        for (k, calls) in by_second.iter().enumerate() {
            // What may have been saved comes with what is allowed by then, not on top of it.
            all += 0.9 * BEARS * 2f64.powi(k as i32 + 1);
            let most = all.min(f64::from(n) * (wants + 1.0)) + 0.9 * BEARS + 2.0;
            prop_assert!((*calls as f64) <= most, "{} in second {k}, {most} allowed of {by_second:?}", calls);
        }
        // The first second: a call of each whose slot lies in it, and what grows from then on.
        prop_assert!(by_second[0] as f64 <= 3.0 * BEARS, "{by_second:?}");
    }
}

#[test]
fn budget_ends_after_six_doublings() {
    let mut allowance = CallBudget::new(7, 300, BEARS, BEGIN_MS);
    let (mut made, mut first) = (0, None);
    for ms in 0..30_000 {
        let at = BEGIN_MS + f64::from(ms);
        let taken = allowance.try_take(at);
        made += u32::from(taken);
        if taken && first.is_none() {
            first = Some(at);
        }
        assert!(!allowance.is_over(at) || taken, "one of {ms} ms was left out");
    }
    let round = 300.0 / (0.9 * BEARS) * 1_000.0;
    assert!(first.expect("one is made") < BEGIN_MS + round, "a first call within a round");
    assert!(allowance.is_over(BEGIN_MS + round + 12_000.0));
    assert!(made > 12_000, "{made}");
}

#[test]
fn staggered_starts_each_begin_with_their_part() {
    // Thirty in a second are a tenth of the fleet: its part is a tenth of what the counter bears.
    let by_second = play(300, 50.0, 1, |place| if place < 30 { BEGIN_MS } else { BEGIN_MS + 900_000.0 });
    assert!(by_second[0] <= 60, "{by_second:?}");
}

#[test]
fn budget_doubles_every_two_seconds_and_saves_two_calls() {
    // One gateway alone has all that the counter bears, and wants more at any moment.
    let calls = |from: u32, to: u32| {
        let mut allowance = CallBudget::new(0, 1, BEARS, BEGIN_MS);
        (0..to * 10)
            .filter(|n| allowance.try_take(BEGIN_MS + f64::from(*n) / 10.0) && *n >= from * 10)
            .count()
    };
    let (first, later) = (calls(0, 2_000), calls(4_000, 6_000));
    assert!((3.5..4.5).contains(&(later as f64 / first as f64)), "{later} after {first}");
    let mut idle = CallBudget::new(0, 1, BEARS, BEGIN_MS);
    assert!(idle.try_take(BEGIN_MS + 100.0));
    let at_once = (0..100).filter(|_| idle.try_take(BEGIN_MS + 9_000.0)).count();
    assert_eq!(at_once, 2);
}
