//! Invariants of fleets of 1 to 500 gateways and 1 to 1,000 backends, in simulated time.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use testbed::rig::{run, Connections, Discovery, Fault, FaultKind, FaultTarget, Replace, Restart, Scenario};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6,
        rng_seed: RngSeed::Fixed(33),
        ..ProptestConfig::default()
    })]

    /// At every size each request gets one answer, all gateways together keep the slow-start limit of each
    /// backend, and the attempts stay within the retry budget.
    #[test]
    fn invariants_hold_at_every_fleet_size(
        gateways in 1u32..=500,
        backends in 1u32..=1_000,
        kind in prop::sample::select(vec![
            FaultKind::Dead, FaultKind::Lost, FaultKind::Failing(0.5), FaultKind::Slow(5.0),
        ]),
        fraction in 0.0f64..0.6,
        seed in any::<u64>(),
    ) {
        // About 3,000 requests for any number of backends.
        let load = 0.6f64.min(0.6 * 600.0 / f64::from(backends * 2));
        let duration_ms = 3_000.0 * 20.0 / (f64::from(backends * 2) * load);
        let at = |fraction: f64| duration_ms * fraction;
        let (over_ms, down_ms, grace_ms) = (at(0.1), at(0.1), at(0.02));
        let restart = Restart { from_ms: at(0.4), over_ms, gateways: gateways / 2, down_ms };
        let replace = Replace { from_ms: at(0.5), over_ms, backends: backends / 3, grace_ms };
        let scenario = Scenario {
            gateways, backends, load, duration_ms, seed,
            cold: (backends / 10, at(0.1)),
            faults: vec![Fault {
                from_ms: at(0.3),
                to_ms: at(0.7),
                target: FaultTarget::Fraction(fraction),
                kind,
            }],
            restarts: vec![restart],
            replacements: vec![replace],
            discovery: Some(Discovery { calls_per_s: 50.0, max_delay_ms: 200.0 }),
            connections: Some(Connections {
                handshake_ms: 1.0,
                max_per_backend: gateways.max(32),
                idle_ms: 5_000.0,
            }),
            ..Scenario::default()
        };
        let report = run(&scenario);
        prop_assert!(report.requests > 1_000, "{} requests", report.requests);
        prop_assert_eq!((report.wrongly_answered, report.repeated_across_cells), (0, 0));
        let max_use = report.max_slow_start_use;
        prop_assert!(max_use <= 1.0, "a warming backend was sent {max_use} of its slow-start limit");
        // Retries of a tenth of the requests plus the initial retry budgets; attempts that never ran are
        // free.
        let ran = report.attempts - report.never_executed;
        let budget = 1.1 * report.requests as f64 + 20.0 + f64::from(gateways);
        prop_assert!(
            ran as f64 <= budget,
            "{ran} of {} attempts ran for {} requests",
            report.attempts,
            report.requests
        );
    }
}
