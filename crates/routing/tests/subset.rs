//! Balance of the subsets, and their changes with the numbers of gateways and backends.

use proptest::prelude::*;
use routing::Subset;

/// Thresholds of the backends at a gateway. They do not depend on the number of backends.
fn thresholds(gateway: u32, gateways: u32, backends: u32) -> Vec<f64> {
    let subset = Subset::new(gateway, gateways, 5, 3);
    (0..backends).map(|b| subset.threshold(u64::from(b))).collect()
}

fn degree(gateways: u32, backends: usize) -> f64 {
    Subset::new(0, gateways, 5, 3).degree(backends)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn gateways_per_backend_are_balanced(gateways in 1u32..=120, backends in 1u32..=2_000) {
        let all: Vec<Vec<f64>> = (0..gateways).map(|g| thresholds(g, gateways, backends)).collect();
        let degree = degree(gateways, backends as usize);
        prop_assert!(degree >= f64::from(gateways.min(3)) && degree <= f64::from(gateways));
        for b in 0..backends as usize {
            // Number of gateways that have the backend in their subset.
            let count = all.iter().filter(|t| t[b] < degree).count();
            prop_assert!(count == degree.floor() as usize || count == degree.ceil() as usize);
        }
        // The sizes of subsets vary randomly, within five standard deviations of a binomial distribution.
        let mean = degree * f64::from(backends) / f64::from(gateways);
        for t in &all {
            let size = t.iter().filter(|t| **t < degree).count() as f64;
            prop_assert!((size - mean).abs() <= 5.0 * mean.sqrt() + 1.0, "{} of {}", size, mean);
        }
    }

    #[test]
    fn added_backend_changes_few_subset_members(
        gateways in 1u32..=500, backends in 1u32..=10_000,
    ) {
        // The mean number of members that one gateway gains or loses is its part of the change of degree.
        let t = thresholds(gateways / 2, gateways, backends);
        let (with, without) = (degree(gateways, backends as usize), degree(gateways, backends as usize - 1));
        let moved = t.iter().filter(|t| (**t < with) != (**t < without)).count() as f64;
        let mean = (with - without).abs() * f64::from(backends) / f64::from(gateways);
        prop_assert!(moved <= mean + 5.0 * mean.sqrt() + 3.0, "{} moved, {} on average", moved, mean);
        prop_assert!(mean <= 5.0 * 1.01 / f64::from(backends.max(2) - 1) + 1e-9, "{}", mean);
    }

    #[test]
    fn added_gateway_takes_only_its_share(
        gateways in 2u32..=500, backends in 100u32..=3_000,
    ) {
        let (gateway, degree) = (gateways / 2, 3.0);
        let before = thresholds(gateway, gateways, backends);
        let after = thresholds(gateway, gateways + 1, backends);
        // At the same degree, backends only move from this gateway to the new one, and none to this one.
        let pairs = || before.iter().zip(&after);
        prop_assert_eq!(pairs().filter(|(b, a)| **b >= degree && **a < degree).count(), 0);
        let lost = pairs().filter(|(b, a)| **b < degree && **a >= degree).count() as f64;
        let had = before.iter().filter(|b| **b < degree).count() as f64;
        let mean = had / f64::from(gateways + 1);
        prop_assert!(lost <= mean + 5.0 * mean.sqrt() + 3.0, "{} lost of {}", lost, had);
    }
}

#[test]
fn small_fleets_use_every_backend() {
    assert!(thresholds(0, 1, 4_000).into_iter().all(|t| t < degree(1, 4_000)));
    for (gateways, backends) in [(2, 10), (3, 14), (4, 20), (5, 12)] {
        let degree = degree(gateways, backends as usize);
        assert!(
            thresholds(1, gateways, backends).into_iter().all(|t| t < degree),
            "{gateways} gateways, {backends} backends"
        );
    }
    assert_eq!(degree(60, 1_000), 3.3);
    // With many gateways and few backends, each gateway uses only some of them.
    let size = degree(100, 60) * 60.0 / 100.0;
    assert!((6.5..7.5).contains(&size), "{size}");
}
