//! Capacity of the cache, and which records it evicts.

use std::collections::HashMap;

use bounded_cache::{BoundedCache, CacheFull, Evictable, Evicted};
use proptest::collection::vec;
use proptest::prelude::*;

#[derive(Debug)]
struct Record(Option<f64>);

impl Evictable for Record {
    fn eviction_cost(&mut self, _: f64) -> Option<f64> {
        self.0
    }
}

fn step() -> impl Strategy<Value = (u64, Option<f64>, bool)> {
    (0u64..200, prop_oneof![Just(None), (0.0..100.0).prop_map(Some)], any::<bool>())
}

proptest! {
    #[test]
    fn cache_keeps_its_capacity_and_unevictable_records(
        capacity in 1usize..40,
        steps in vec(step(), 1..400),
    ) {
        let (mut cache, mut unevictable, mut cost) =
            (BoundedCache::<Record>::new(capacity), HashMap::new(), 0.0);
        for (key, eviction_cost, becomes_evictable) in steps {
            if let Some(record) = cache.get_mut(key) {
                if becomes_evictable {
                    record.0 = Some(0.0);
                    unevictable.remove(&key);
                }
                continue;
            }
            let (before, full) = (cache.len(), cache.len() == capacity);
            match cache.insert(0.0, key, Record(eviction_cost)) {
                Ok(()) => {
                    prop_assert_eq!(cache.len(), if full { before } else { before + 1 });
                    if eviction_cost.is_none() {
                        unevictable.insert(key, ());
                    }
                }
                Err(CacheFull) => {
                    prop_assert!(full && cache.get(key).is_none());
                    prop_assert_eq!(cache.len(), before);
                }
            }
            prop_assert!(cache.len() <= capacity);
            let kept = unevictable.keys().all(|key| cache.get(*key).is_some());
            prop_assert!(kept, "an unevictable record was evicted");
            prop_assert!(cache.evictions().cost >= cost);
            cost = cache.evictions().cost;
        }
        // A sweep over all records removes each one, so every key was in the sampling order exactly once.
        let all = cache.len();
        cache.sweep(all, |_| true);
        prop_assert_eq!(cache.len(), 0);
    }
}

#[test]
fn cheapest_sampled_record_is_evicted_first() {
    let mut cache = BoundedCache::new(8);
    for key in 0..8u64 {
        cache.insert(0.0, key, Record(Some(10.0 - key as f64))).expect("below capacity");
    }
    cache.insert(0.0, 100, Record(None)).expect("one is evicted");
    assert!(cache.get(7).is_none() && cache.get(0).is_some());
    assert_eq!(cache.evictions(), Evicted { records: 1, cost: 3.0 });
}

#[test]
fn full_cache_rejects_new_keys_until_a_record_is_evictable() {
    let mut cache = BoundedCache::new(100);
    for key in 0..100 {
        cache.insert(0.0, key, Record(None)).expect("below capacity");
    }
    assert_eq!(cache.insert(0.0, 200, Record(None)), Err(CacheFull));
    cache.get_mut(63).expect("kept").0 = Some(1.0);
    // Each call samples other records, so the evictable one is found after a few calls.
    let tries = (0..10).position(|_| cache.insert(0.0, 200, Record(None)).is_ok());
    assert!(tries.is_some(), "never found");
    assert!(cache.get(63).is_none() && cache.len() == 100);
}

#[test]
fn capacity_for_bytes_fits_and_grows_with_the_bytes() {
    let slot = size_of::<Record>() + 17;
    let mut last = 0;
    for bytes in [1, 1_000, 100_000, 1 << 20, 8 << 20, 64 << 20] {
        let fits = BoundedCache::<Record>::capacity_for_bytes(bytes);
        // A table after doubling and the one before it, half as large, exist at the same time.
        let slots = (fits * 8).div_ceil(7).next_power_of_two();
        assert!(fits == 1 || slots * slot * 3 / 2 <= bytes, "{fits} in {bytes}");
        assert!(fits >= last && (bytes < 1_000 || fits * slot * 4 > bytes));
        last = fits;
    }
}
