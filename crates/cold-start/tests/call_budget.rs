//! Counter calls of fleets of 1 to 1,000 gateways that start at the same time, in simulated time.

use cold_start::CallBudget;
use proptest::prelude::*;

const START_MS: f64 = 1_764_000_123_457.0;
/// Capacity of the counter, calls per second.
const CAPACITY_PER_S: f64 = 200.0;

/// Returns the calls of a fleet in each second if each gateway attempts `wanted_per_s` calls per second.
fn simulate(
    gateways: u32,
    wanted_per_s: f64,
    seconds: usize,
    start_ms_of: impl Fn(u32) -> f64,
) -> Vec<usize> {
    let mut calls_per_second = vec![0; seconds];
    for index in 0..gateways {
        let start = start_ms_of(index);
        let mut budget = CallBudget::new(index, gateways, CAPACITY_PER_S, start);
        let interval_ms = 1_000.0 / wanted_per_s;
        let mut at_ms = start + interval_ms * f64::from(index % 17) / 17.0;
        while at_ms < START_MS + 1_000.0 * seconds as f64 {
            if budget.try_take(at_ms) {
                calls_per_second[((at_ms - START_MS) / 1_000.0) as usize] += 1;
            }
            at_ms += interval_ms;
        }
    }
    calls_per_second
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// In second `k` a fleet that starts at once makes at most `2^(k+1)` times the counter's capacity, and
    /// one call of each gateway. `PROPTEST_RNG_SEED` sets the seed.
    #[test]
    fn fleets_of_any_size_start_within_counter_capacity(
        gateways in 1u32..=1_000, wanted_per_s in 1.0..100.0f64
    ) {
        let calls_per_second = simulate(gateways, wanted_per_s, 4, |_| START_MS);
        let mut earned = 0.0;
        for (k, calls) in calls_per_second.iter().enumerate() {
            // Calls saved up in earlier seconds may be made in this one.
            earned += 0.9 * CAPACITY_PER_S * 2f64.powi(k as i32 + 1);
            let max_calls =
                earned.min(f64::from(gateways) * (wanted_per_s + 1.0)) + 0.9 * CAPACITY_PER_S + 2.0;
            prop_assert!(
                (*calls as f64) <= max_calls,
                "{} in second {k}, {max_calls} allowed of {calls_per_second:?}",
                calls
            );
        }
        // First second: one call of each gateway whose slot lies in it, and the calls that its growing rate
        // adds.
        prop_assert!(calls_per_second[0] as f64 <= 3.0 * CAPACITY_PER_S, "{calls_per_second:?}");
    }
}

#[test]
fn budget_ends_after_six_doublings() {
    let mut budget = CallBudget::new(7, 300, CAPACITY_PER_S, START_MS);
    let (mut made, mut first) = (0, None);
    for ms in 0..30_000 {
        let at_ms = START_MS + f64::from(ms);
        let taken = budget.try_take(at_ms);
        made += u32::from(taken);
        if taken && first.is_none() {
            first = Some(at_ms);
        }
        assert!(!budget.is_over(at_ms) || taken, "a call at {ms} ms was denied after the budget was over");
    }
    let round_ms = 300.0 / (0.9 * CAPACITY_PER_S) * 1_000.0;
    assert!(first.expect("a call was made") < START_MS + round_ms, "no first call within a round");
    assert!(budget.is_over(START_MS + round_ms + 12_000.0));
    assert!(made > 12_000, "{made}");
}

#[test]
fn staggered_starts_use_only_their_share() {
    // 30 gateways that start in one second are a tenth of the fleet: their share is a tenth of the counter's
    // capacity.
    let calls_per_second =
        simulate(300, 50.0, 1, |index| if index < 30 { START_MS } else { START_MS + 900_000.0 });
    assert!(calls_per_second[0] <= 60, "{calls_per_second:?}");
}

#[test]
fn rate_doubles_every_2_s_and_two_calls_are_saved() {
    // A single gateway has the counter's whole capacity, and always attempts more calls.
    let calls = |from: u32, to: u32| {
        let mut budget = CallBudget::new(0, 1, CAPACITY_PER_S, START_MS);
        (0..to * 10)
            .filter(|step| budget.try_take(START_MS + f64::from(*step) / 10.0) && *step >= from * 10)
            .count()
    };
    let (first, later) = (calls(0, 2_000), calls(4_000, 6_000));
    assert!((3.5..4.5).contains(&(later as f64 / first as f64)), "{later} after {first}");
    let mut idle = CallBudget::new(0, 1, CAPACITY_PER_S, START_MS);
    assert!(idle.try_take(START_MS + 100.0));
    let at_once = (0..100).filter(|_| idle.try_take(START_MS + 9_000.0)).count();
    assert_eq!(at_once, 2);
}
