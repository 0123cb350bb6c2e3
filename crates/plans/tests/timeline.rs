//! Changes of terms in the middle of a window.

use plans::{PlanLimits, PlanTimeline};
use proptest::prelude::*;

fn terms(rate: f64, burst: f64) -> PlanLimits {
    PlanLimits { rate, burst, ..PlanLimits::default() }
}

const SMALL: (f64, f64) = (4.0, 10.0);
const LARGE: (f64, f64) = (12.0, 40.0);

#[test]
fn changes_of_plan_take_effect_at_once() {
    let (small, large) = (terms(SMALL.0, SMALL.1), terms(LARGE.0, LARGE.1));
    // A window from 0; 18 units charged by 2 s: the small plan is empty.
    let raised = PlanTimeline::always(small).then(2_000, large);
    assert!((raised.level(18.0, 0, 1_999) - 0.0).abs() < 0.01);
    assert!((raised.level(18.0, 0, 2_000) - 30.0).abs() < 0.01);
    // The same on the way down: 30 of 40 are there, 10 are owed, and the small plan holds 10.
    let lowered = PlanTimeline::always(large).then(2_000, small);
    assert!((lowered.level(34.0, 0, 1_999) - 30.0).abs() < 0.02);
    assert!((lowered.level(34.0, 0, 2_000) - 0.0).abs() < 0.02);
    // One who owes more waits until it is made good: no level is made up.
    assert!((lowered.level(44.0, 0, 2_000) + 10.0).abs() < 0.02);
    assert!((lowered.level(44.0, 0, 4_500) - 0.0).abs() < 0.02);
}

#[test]
fn quick_changes_leave_what_was_counted() {
    let (small, large) = (terms(SMALL.0, SMALL.1), terms(LARGE.0, LARGE.1));
    let steady = PlanTimeline::always(large);
    // There and back in one instant is no change at all.
    assert_eq!(steady.clone().then(2_000, small).then(2_000, large).limits_at(3_000), &large);
    let instant = steady.clone().then(2_000, small).then(2_000, large);
    assert!((instant.level(20.0, 0, 5_000) - steady.level(20.0, 0, 5_000)).abs() < 1e-9);
    // There and back within a second costs what the lower rate gave less, and no more.
    let back = steady.clone().then(2_000, small).then(2_700, large);
    let less = (large.rate - small.rate) * 0.7;
    assert!((steady.level(20.0, 0, 5_000) - back.level(20.0, 0, 5_000) - less).abs() < 1e-9);
    assert_eq!(
        (back.next_change(0), back.next_change(2_000), back.next_change(2_700)),
        (Some(2_000), Some(2_700), None)
    );
}

#[test]
fn late_gateway_errs_by_bursts_and_rates() {
    let (small, large) = (terms(SMALL.0, SMALL.1), terms(LARGE.0, LARGE.1));
    let (old, new) = (PlanTimeline::always(large), PlanTimeline::always(large).then(2_000, small));
    // Before the instant it errs by nothing; a second after by the difference of the bursts, and of the
    // rates.
    assert!(new.level_error(&old, 0, 1_999).abs() < 1e-9);
    assert!((new.level_error(&old, 0, 3_000) - (30.0 + 8.0)).abs() < 1e-9);
    // Two gateways a second apart in when they hear read one level again as soon as both have.
    assert!(new.level_error(&new.clone(), 0, 3_000).abs() < 1e-9);
    // A raised plan not heard of refuses what fits, and passes nothing beyond.
    let raised = PlanTimeline::always(small).then(2_000, large);
    assert!(raised.level_error(&PlanTimeline::always(small), 0, 3_000) < 0.0);
}

fn any_terms() -> impl Strategy<Value = PlanLimits> {
    (0.0f64..50.0, 0.0f64..200.0).prop_map(|(rate, burst)| terms(rate, burst))
}

fn any_line() -> impl Strategy<Value = PlanTimeline> {
    (any_terms(), proptest::collection::vec((1u64..20_000, any_terms()), 0..6)).prop_map(|(first, steps)| {
        steps.into_iter().fold(PlanTimeline::always(first), |line, (at, terms)| line.then(at, terms))
    })
}

proptest! {
    #[test]
    fn refill_is_additive_over_time(
        line in any_line(), a in 0u64..20_000, b in 0u64..20_000, c in 0u64..20_000,
    ) {
        let mut cut = [a, b, c];
        cut.sort_unstable();
        let whole = line.refill(cut[0], cut[2]);
        prop_assert!((whole - line.refill(cut[0], cut[1]) - line.refill(cut[1], cut[2])).abs() < 1e-6);
    }

    #[test]
    fn carried_level_equals_the_level_of_the_total(
        line in any_line(), total in 0.0f64..100.0, a in 0u64..20_000, more in 0u64..20_000,
    ) {
        let (then, now) = (line.level(total, 0, a), line.level(total, 0, a + more));
        prop_assert!((line.carry_level(then, a, a + more) + line.refill(a, a + more) - now).abs() < 1e-6);
        // Nobody has more than full: a store that owes nothing is at the burst in force.
        prop_assert!(line.carry_level(line.limits_at(a).burst, a, a + more) <= line.limits_at(a + more).burst + 1e-9);
    }

    #[test]
    fn error_of_a_late_gateway_is_bounded(
        before in any_terms(), after in any_terms(), at in 1u64..10_000, late in 0u64..10_000,
    ) {
        let (old, new) = (PlanTimeline::always(before), PlanTimeline::always(before).then(at, after));
        let rates = (before.rate - after.rate).abs() * late as f64 / 1000.0;
        let bound = (before.burst - after.burst).abs() + rates;
        prop_assert!(new.level_error(&old, 0, at + late).abs() <= bound + 1e-6);
        prop_assert!(new.level_error(&old, 0, at - 1).abs() < 1e-9);
    }
}
