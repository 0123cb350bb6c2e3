//! Records: their bound, what goes first, what never goes.

use std::collections::HashMap;

use bounded_cache::{BoundedCache, CacheFull, Evictable, Evicted};
use proptest::collection::vec;
use proptest::prelude::*;

#[derive(Debug)]
struct Debt(Option<f64>);

impl Evictable for Debt {
    fn eviction_cost(&mut self, _: f64) -> Option<f64> {
        self.0
    }
}

fn step() -> impl Strategy<Value = (u64, Option<f64>, bool)> {
    (0u64..200, prop_oneof![Just(None), (0.0..100.0).prop_map(Some)], any::<bool>())
}

proptest! {
    #[test]
    fn cache_keeps_its_bound_and_the_records_that_must_stay(
        most in 1usize..40,
        steps in vec(step(), 1..400),
    ) {
        let (mut records, mut must, mut cost) = (BoundedCache::<Debt>::new(most), HashMap::new(), 0.0);
        for (key, debt, settles) in steps {
            if let Some(record) = records.get_mut(key) {
                if settles {
                    record.0 = Some(0.0);
                    must.remove(&key);
                }
                continue;
            }
            let (before, full) = (records.len(), records.len() == most);
            match records.insert(0.0, key, Debt(debt)) {
                Ok(()) => {
                    prop_assert_eq!(records.len(), if full { before } else { before + 1 });
                    if debt.is_none() {
                        must.insert(key, ());
                    }
                }
                Err(CacheFull) => {
                    prop_assert!(full && records.get(key).is_none());
                    prop_assert_eq!(records.len(), before);
                }
            }
            prop_assert!(records.len() <= most);
            prop_assert!(must.keys().all(|key| records.get(*key).is_some()), "one that must stay is gone");
            prop_assert!(records.evictions().cost >= cost);
            cost = records.evictions().cost;
        }
        // A sweep that finds all empty leaves none, so each was in the order exactly once.
        let all = records.len();
        records.sweep(all, |_| true);
        prop_assert_eq!(records.len(), 0);
    }
}

#[test]
fn cheapest_sampled_record_is_evicted_first() {
    let mut records = BoundedCache::new(8);
    for key in 0..8u64 {
        records.insert(0.0, key, Debt(Some(10.0 - key as f64))).expect("room");
    }
    records.insert(0.0, 100, Debt(None)).expect("one goes");
    assert!(records.get(7).is_none() && records.get(0).is_some());
    assert_eq!(records.evictions(), Evicted { records: 1, cost: 3.0 });
}

#[test]
fn full_cache_rejects_newcomers_until_a_record_may_go() {
    let mut records = BoundedCache::new(100);
    for key in 0..100 {
        records.insert(0.0, key, Debt(None)).expect("room");
    }
    assert_eq!(records.insert(0.0, 200, Debt(None)), Err(CacheFull));
    records.get_mut(63).expect("kept").0 = Some(1.0);
    // Each call looks at others, so the one that settled is found after a few.
    let tries = (0..10).position(|_| records.insert(0.0, 200, Debt(None)).is_ok());
    assert!(tries.is_some(), "never found");
    assert!(records.get(63).is_none() && records.len() == 100);
}

#[test]
fn capacity_fits_its_bytes_and_grows_with_them() {
    let slot = size_of::<Debt>() + 17;
    let mut last = 0;
    for bytes in [1, 1_000, 100_000, 1 << 20, 8 << 20, 64 << 20] {
        let fits = BoundedCache::<Debt>::capacity_for_bytes(bytes);
        // The table that a doubling makes and the one before it, half as large.
        let slots = (fits * 8).div_ceil(7).next_power_of_two();
        assert!(fits == 1 || slots * slot * 3 / 2 <= bytes, "{fits} in {bytes}");
        assert!(fits >= last && (bytes < 1_000 || fits * slot * 4 > bytes));
        last = fits;
    }
}
