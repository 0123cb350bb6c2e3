//! A cache with a fixed capacity. When it is full, it evicts a record whose loss costs little.
//!
//! The crate does no I/O and reads no clock. Each record reports what its loss would cost, or that it must
//! not be evicted. While none of the sampled records can be evicted, insertions of new keys fail. An
//! evicted key starts with a new record when it is inserted again.

use std::collections::{HashMap, VecDeque};

/// Number of records that are compared for each eviction.
const EVICTION_SAMPLE: usize = 16;
/// Load factor at which a `std::collections::HashMap` doubles its slots: 7 of 8.
const MAX_LOAD_NUMERATOR: usize = 7;
const MAX_LOAD_DENOMINATOR: usize = 8;

/// A record that can be evicted.
pub trait Evictable {
    /// Cost of losing the record at `now`, in units that would be admitted again; `None` if it must stay.
    fn eviction_cost(&mut self, now: f64) -> Option<f64>;
}

/// Error of an insertion into a full cache: none of the sampled records may be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheFull;

/// Totals of all evictions.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evicted {
    /// Number of evicted records.
    pub records: u64,
    /// Sum of their eviction costs.
    pub cost: f64,
}

/// The record selected for eviction.
#[derive(Clone, Copy, Debug)]
struct Victim {
    /// Index of its key in the sampling order.
    position: usize,
    cost: f64,
}

/// Records by key, at most as many as the capacity.
#[derive(Debug)]
pub struct BoundedCache<T> {
    records: HashMap<u64, T>,
    /// Keys of all records, in the order in which they are sampled next.
    sampling_order: VecDeque<u64>,
    capacity: usize,
    evictions: Evicted,
}

impl<T: Evictable> BoundedCache<T> {
    /// Creates an empty cache for at most `capacity` records, at least 1.
    #[must_use]
    pub fn new(capacity: usize) -> BoundedCache<T> {
        BoundedCache {
            records: HashMap::new(),
            sampling_order: VecDeque::new(),
            capacity: capacity.max(1),
            evictions: Evicted::default(),
        }
    }

    /// Number of records that fit in `bytes`, with the memory that the hash table needs while it grows.
    #[must_use]
    pub fn capacity_for_bytes(bytes: usize) -> usize {
        // In the table a record, its key and a control byte; and the key again in the sampling order.
        let slot_bytes = size_of::<T>() + 2 * size_of::<u64>() + 1;
        // While a table doubles, the old and the new one together have 3/2 of the new one's slots.
        let slots = bytes / slot_bytes * 2 / 3;
        let slots = if slots.is_power_of_two() { slots } else { slots.next_power_of_two() / 2 };
        (slots * MAX_LOAD_NUMERATOR / MAX_LOAD_DENOMINATOR).max(1)
    }

    /// Returns the record of a key.
    #[must_use]
    pub fn get(&self, key: u64) -> Option<&T> {
        self.records.get(&key)
    }

    /// Returns the record of a key for modification.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut T> {
        self.records.get_mut(&key)
    }

    /// Inserts the record of a key that has none. If the cache is full, the sampled record with the lowest
    /// eviction cost is evicted.
    ///
    /// # Errors
    /// [`CacheFull`] if none of the sampled records may be evicted. The next call samples others.
    pub fn insert(&mut self, now: f64, key: u64, record: T) -> Result<(), CacheFull> {
        if self.records.len() >= self.capacity {
            self.evict_one(now)?;
        }
        if self.records.insert(key, record).is_none() {
            self.sampling_order.push_back(key);
        }
        Ok(())
    }

    fn evict_one(&mut self, now: f64) -> Result<(), CacheFull> {
        let sample = EVICTION_SAMPLE.min(self.sampling_order.len());
        let victim = self.cheapest_of_next(now, sample);
        let evicted =
            victim.and_then(|victim| Some((self.sampling_order.remove(victim.position)?, victim.cost)));
        // The sampled records that stay are moved to the end of the order.
        self.sampling_order.rotate_left(sample - usize::from(evicted.is_some()));
        let (key, cost) = evicted.ok_or(CacheFull)?;
        self.records.remove(&key);
        self.evictions.records += 1;
        self.evictions.cost += cost;
        Ok(())
    }

    /// Returns the record with the lowest eviction cost among the next `sample` ones; the first of equals.
    fn cheapest_of_next(&mut self, now: f64, sample: usize) -> Option<Victim> {
        let mut cheapest: Option<Victim> = None;
        for position in 0..sample {
            let Some(cost) = self.cost_at(now, position) else { continue };
            if cheapest.is_none_or(|cheapest| cost < cheapest.cost) {
                cheapest = Some(Victim { position, cost });
            }
        }
        cheapest
    }

    fn cost_at(&mut self, now: f64, position: usize) -> Option<f64> {
        let key = self.sampling_order.get(position)?;
        self.records.get_mut(key)?.eviction_cost(now)
    }

    /// Checks the next `count` records in sampling order and removes those for which `is_empty` returns true.
    pub fn sweep(&mut self, count: usize, mut is_empty: impl FnMut(&mut T) -> bool) {
        for _ in 0..count {
            let Some(key) = self.sampling_order.pop_front() else { return };
            if self.records.get_mut(&key).is_some_and(&mut is_empty) {
                self.records.remove(&key);
            } else {
                self.sampling_order.push_back(key);
            }
        }
    }

    /// Modifies every record. It takes time linear in their number, too long for the path of a request.
    pub fn for_each_mut(&mut self, change: impl FnMut(&mut T)) {
        self.records.values_mut().for_each(change);
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the cache holds no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Fraction of the capacity that is used, from 0 to 1.
    #[must_use]
    pub fn fill_ratio(&self) -> f64 {
        self.records.len() as f64 / self.capacity as f64
    }

    /// Returns the totals of all evictions.
    #[must_use]
    pub fn evictions(&self) -> Evicted {
        self.evictions
    }
}
