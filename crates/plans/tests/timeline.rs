//! Changes of limits within a window.

use plans::{PlanLimits, PlanTimeline};
use proptest::prelude::*;

fn limits(rate: f64, burst: f64) -> PlanLimits {
    PlanLimits { rate, burst, ..PlanLimits::default() }
}

const SMALL: (f64, f64) = (4.0, 10.0);
const LARGE: (f64, f64) = (12.0, 40.0);

#[test]
fn changes_of_plan_take_effect_at_once() {
    let (small, large) = (limits(SMALL.0, SMALL.1), limits(LARGE.0, LARGE.1));
    // In a window from 0, 18 units charged by 2 s empty the bucket of the small plan.
    let raised = PlanTimeline::always(small).then(2_000, large);
    assert!((raised.level(18.0, 0, 1_999) - 0.0).abs() < 0.01);
    assert!((raised.level(18.0, 0, 2_000) - 30.0).abs() < 0.01);
    // Lowered: 30 of 40 units are left, so the debt is 10, which is the burst of the small plan.
    let lowered = PlanTimeline::always(large).then(2_000, small);
    assert!((lowered.level(34.0, 0, 1_999) - 30.0).abs() < 0.02);
    assert!((lowered.level(34.0, 0, 2_000) - 0.0).abs() < 0.02);
    // A greater debt gives a negative level, which refill has to make up for.
    assert!((lowered.level(44.0, 0, 2_000) + 10.0).abs() < 0.02);
    assert!((lowered.level(44.0, 0, 4_500) - 0.0).abs() < 0.02);
}

#[test]
fn short_changes_keep_the_debt() {
    let (small, large) = (limits(SMALL.0, SMALL.1), limits(LARGE.0, LARGE.1));
    let steady = PlanTimeline::always(large);
    // A change and its reversal at one instant have no effect.
    assert_eq!(steady.clone().then(2_000, small).then(2_000, large).limits_at(3_000), &large);
    let reverted = steady.clone().then(2_000, small).then(2_000, large);
    assert!((reverted.level(20.0, 0, 5_000) - steady.level(20.0, 0, 5_000)).abs() < 1e-9);
    // A change that is reversed within a second costs only the difference of the refill.
    let reversed = steady.clone().then(2_000, small).then(2_700, large);
    let lost_refill = (large.rate - small.rate) * 0.7;
    assert!((steady.level(20.0, 0, 5_000) - reversed.level(20.0, 0, 5_000) - lost_refill).abs() < 1e-9);
    assert_eq!(
        (reversed.next_change(0), reversed.next_change(2_000), reversed.next_change(2_700)),
        (Some(2_000), Some(2_700), None)
    );
}

#[test]
fn level_error_is_difference_of_bursts_and_rates() {
    let (small, large) = (limits(SMALL.0, SMALL.1), limits(LARGE.0, LARGE.1));
    let (old, new) = (PlanTimeline::always(large), PlanTimeline::always(large).then(2_000, small));
    // The error is 0 before the change; 1 s after it is the difference of the bursts plus that of the rates.
    assert!(new.level_error(&old, 0, 1_999).abs() < 1e-9);
    assert!((new.level_error(&old, 0, 3_000) - (30.0 + 8.0)).abs() < 1e-9);
    // Once both gateways know the change, they compute the same level again.
    assert!(new.level_error(&new.clone(), 0, 3_000).abs() < 1e-9);
    // A gateway that does not know of a raised plan admits less, never more.
    let raised = PlanTimeline::always(small).then(2_000, large);
    assert!(raised.level_error(&PlanTimeline::always(small), 0, 3_000) < 0.0);
}

fn any_limits() -> impl Strategy<Value = PlanLimits> {
    (0.0f64..50.0, 0.0f64..200.0).prop_map(|(rate, burst)| limits(rate, burst))
}

fn any_timeline() -> impl Strategy<Value = PlanTimeline> {
    (any_limits(), proptest::collection::vec((1u64..20_000, any_limits()), 0..6)).prop_map(
        |(first, steps)| {
            steps
                .into_iter()
                .fold(PlanTimeline::always(first), |timeline, (at, limits)| timeline.then(at, limits))
        },
    )
}

proptest! {
    #[test]
    fn refill_is_additive_over_time(
        timeline in any_timeline(), a in 0u64..20_000, b in 0u64..20_000, c in 0u64..20_000,
    ) {
        let mut cut = [a, b, c];
        cut.sort_unstable();
        let whole = timeline.refill(cut[0], cut[2]);
        let (first, second) = (timeline.refill(cut[0], cut[1]), timeline.refill(cut[1], cut[2]));
        prop_assert!((whole - first - second).abs() < 1e-6);
    }

    #[test]
    fn carried_level_equals_the_level_of_the_total(
        timeline in any_timeline(), total in 0.0f64..100.0, a in 0u64..20_000, more in 0u64..20_000,
    ) {
        let (then, now) = (timeline.level(total, 0, a), timeline.level(total, 0, a + more));
        let carried = timeline.carry_level(then, a, a + more);
        prop_assert!((carried + timeline.refill(a, a + more) - now).abs() < 1e-6);
        // A full bucket stays at most full: without debt the level is the burst in force.
        let (burst, burst_after) = (timeline.limits_at(a).burst, timeline.limits_at(a + more).burst);
        prop_assert!(timeline.carry_level(burst, a, a + more) <= burst_after + 1e-9);
    }

    #[test]
    fn error_of_a_late_gateway_is_bounded(
        before in any_limits(), after in any_limits(), at in 1u64..10_000, late in 0u64..10_000,
    ) {
        let (old, new) = (PlanTimeline::always(before), PlanTimeline::always(before).then(at, after));
        let rates = (before.rate - after.rate).abs() * late as f64 / 1000.0;
        let bound = (before.burst - after.burst).abs() + rates;
        prop_assert!(new.level_error(&old, 0, at + late).abs() <= bound + 1e-6);
        prop_assert!(new.level_error(&old, 0, at - 1).abs() < 1e-9);
    }
}
