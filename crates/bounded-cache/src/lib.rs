//! A cache of records that holds no more than a stated number of them. Where it is full, the record that is
//! cheapest to lose makes room.
//!
//! It does no I/O, reads no clock and decides nothing: a record says what its loss would cost, or that it
//! must stay. A record that is evicted begins anew when its key comes again, and where no record may go,
//! newcomers have none.

use std::collections::{HashMap, VecDeque};

/// Records that are looked at for each one that has to make room.
const EVICTION_SAMPLE: usize = 16;
/// Fraction of its slots that a `std::collections::HashMap` fills before it doubles them: 7 of 8.
const FILLED_SLOTS: usize = 7;
const OF_SLOTS: usize = 8;

/// A record that can be evicted.
pub trait Evictable {
    /// What its loss at `now` would cost, in units that may pass again; `None` if it must stay.
    fn eviction_cost(&mut self, now: f64) -> Option<f64>;
}

/// No record that was looked at may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheFull;

/// The records that were evicted to make room.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evicted {
    /// How many.
    pub records: u64,
    /// What their loss cost in all.
    pub cost: f64,
}

/// A record that may go.
#[derive(Clone, Copy, Debug)]
struct Victim {
    /// Where it stands in the order.
    position: usize,
    cost: f64,
}

/// Records by key.
#[derive(Debug)]
pub struct BoundedCache<T> {
    records: HashMap<u64, T>,
    /// The keys of all records, in the order in which they are looked at next.
    order: VecDeque<u64>,
    capacity: usize,
    evictions: Evicted,
}

impl<T: Evictable> BoundedCache<T> {
    /// An empty cache for at most so many records; at least 1.
    #[must_use]
    pub fn new(capacity: usize) -> BoundedCache<T> {
        BoundedCache {
            records: HashMap::new(),
            order: VecDeque::new(),
            capacity: capacity.max(1),
            evictions: Evicted::default(),
        }
    }

    /// How many records fit so many bytes, with what a table needs while it doubles.
    #[must_use]
    pub fn capacity_for_bytes(bytes: usize) -> usize {
        // A key and a byte of its own in the table, and the key once more in the order.
        let slot_bytes = size_of::<T>() + 2 * size_of::<u64>() + 1;
        // While a table doubles there are three times the old one's slots; twice are there after it.
        let slots = bytes / slot_bytes * 2 / 3;
        let slots = if slots.is_power_of_two() { slots } else { slots.next_power_of_two() / 2 };
        (slots * FILLED_SLOTS / OF_SLOTS).max(1)
    }

    /// The record of a key.
    #[must_use]
    pub fn get(&self, key: u64) -> Option<&T> {
        self.records.get(&key)
    }

    /// The record of a key, to change it.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut T> {
        self.records.get_mut(&key)
    }

    /// Adds the record of a key that has none. Where the cache is full, the one of a few that is cheapest
    /// to lose is evicted.
    ///
    /// # Errors
    /// [`CacheFull`] if none of those may go. The next call looks at others.
    pub fn insert(&mut self, now: f64, key: u64, record: T) -> Result<(), CacheFull> {
        if self.records.len() >= self.capacity {
            self.evict_one(now)?;
        }
        if self.records.insert(key, record).is_none() {
            self.order.push_back(key);
        }
        Ok(())
    }

    fn evict_one(&mut self, now: f64) -> Result<(), CacheFull> {
        let sample = EVICTION_SAMPLE.min(self.order.len());
        let victim = self.cheapest_of_next(now, sample);
        let evicted = victim.and_then(|victim| Some((self.order.remove(victim.position)?, victim.cost)));
        // Those that stay come last the next time.
        self.order.rotate_left(sample - usize::from(evicted.is_some()));
        let (key, cost) = evicted.ok_or(CacheFull)?;
        self.records.remove(&key);
        self.evictions.records += 1;
        self.evictions.cost += cost;
        Ok(())
    }

    /// The record that is cheapest to lose among so many of the next in order; the first of equals.
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
        let key = self.order.get(position)?;
        self.records.get_mut(key)?.eviction_cost(now)
    }

    /// Looks at the next few records, and drops those that are `empty`.
    pub fn sweep(&mut self, count: usize, mut empty: impl FnMut(&mut T) -> bool) {
        for _ in 0..count {
            let Some(key) = self.order.pop_front() else { return };
            if self.records.get_mut(&key).is_some_and(&mut empty) {
                self.records.remove(&key);
            } else {
                self.order.push_back(key);
            }
        }
    }

    /// Changes all records. It walks over all of them, so it is not for the path of a request.
    pub fn for_each_mut(&mut self, change: impl FnMut(&mut T)) {
        self.records.values_mut().for_each(change);
    }

    /// How many records there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Part of the capacity that is used, from 0 to 1.
    #[must_use]
    pub fn fill_ratio(&self) -> f64 {
        self.records.len() as f64 / self.capacity as f64
    }

    /// The records that were evicted to make room.
    #[must_use]
    pub fn evictions(&self) -> Evicted {
        self.evictions
    }
}
