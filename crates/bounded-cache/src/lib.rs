//! Records of customers, never more than a stated number of them.
//!
//! It does no I/O, reads no clock and decides nothing: a record says what it would cost to forget it, or that
//! it must not be forgotten. Danger: customers that come once fill the memory. Harm of the guard: one that is
//! forgotten begins anew, with what its record had lacked; and where nobody can be forgotten newcomers have
//! no record.

use std::collections::{HashMap, VecDeque};

/// Records that are looked at for each one that has to make room.
const SAMPLE: usize = 16;
/// Part of the slots of a table that it fills before it doubles (`std::collections::HashMap`).
const FILL: (usize, usize) = (7, 8);

/// A record that can be forgotten.
pub trait Evictable {
    /// What is lost if it is forgotten at `now`, in units that may pass again; `None` if it must not be.
    fn eviction_cost(&mut self, now: f64) -> Option<f64>;
}

/// Nobody can be forgotten to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheFull;

/// Records by key.
#[derive(Debug)]
pub struct BoundedCache<T> {
    all: HashMap<u64, T>,
    /// Keys of all, in the order in which they are looked at next.
    order: VecDeque<u64>,
    most: usize,
    evictions: (u64, f64),
}

impl<T: Evictable> BoundedCache<T> {
    /// None yet, and never more than `most`, at least 1.
    #[must_use]
    pub fn new(most: usize) -> BoundedCache<T> {
        BoundedCache { all: HashMap::new(), order: VecDeque::new(), most: most.max(1), evictions: (0, 0.0) }
    }

    /// How many records fit some bytes, those included that a table needs while it doubles.
    #[must_use]
    pub fn capacity_for_bytes(bytes: usize) -> usize {
        // A key and a byte of its own in the table, and the key once more in the order.
        let slot = size_of::<T>() + 2 * size_of::<u64>() + 1;
        let slots = bytes / slot * 2 / 3;
        let slots = if slots.is_power_of_two() { slots } else { slots.next_power_of_two() / 2 };
        (slots * FILL.0 / FILL.1).max(1)
    }

    /// The record of a key.
    #[must_use]
    pub fn get(&self, key: u64) -> Option<&T> {
        self.all.get(&key)
    }

    /// The record of a key, to change it.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut T> {
        self.all.get_mut(&key)
    }

    /// Takes in a record whose key has none; where there are as many as may be, the one of a few that is
    /// cheapest to forget goes.
    ///
    /// # Errors
    /// [`Full`] if none of those may be forgotten. The next call looks at others.
    pub fn insert(&mut self, now: f64, key: u64, record: T) -> Result<(), CacheFull> {
        if self.all.len() >= self.most {
            let mut cheapest: Option<(usize, f64)> = None;
            let sample = SAMPLE.min(self.order.len());
            for place in 0..sample {
                let cost = self.order.get(place).and_then(|key| self.all.get_mut(key)?.eviction_cost(now));
                if let Some(cost) = cost.filter(|cost| cheapest.is_none_or(|(_, least)| *cost < least)) {
                    cheapest = Some((place, cost));
                }
            }
            let victim = cheapest.and_then(|(place, cost)| Some((self.order.remove(place)?, cost)));
            // Those that stay come last the next time.
            self.order.rotate_left(sample - usize::from(victim.is_some()));
            let (victim, cost) = victim.ok_or(CacheFull)?;
            self.all.remove(&victim);
            self.evictions = (self.evictions.0 + 1, self.evictions.1 + cost);
        }
        if self.all.insert(key, record).is_none() {
            self.order.push_back(key);
        }
        Ok(())
    }

    /// Looks at the next few, and drops those that hold nothing.
    pub fn sweep(&mut self, count: usize, mut empty: impl FnMut(&mut T) -> bool) {
        for _ in 0..count {
            let Some(key) = self.order.pop_front() else { return };
            if self.all.get_mut(&key).is_some_and(&mut empty) {
                self.all.remove(&key);
            } else {
                self.order.push_back(key);
            }
        }
    }

    /// Changes all of them. Danger: a walk over all, on the path of a request.
    pub fn for_each_mut(&mut self, change: impl FnMut(&mut T)) {
        self.all.values_mut().for_each(change);
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Part of the room that is taken, from 0 to 1.
    #[must_use]
    pub fn fill_ratio(&self) -> f64 {
        self.all.len() as f64 / self.most as f64
    }

    /// How many were forgotten to make room, and what that cost in all.
    #[must_use]
    pub fn forgotten(&self) -> (u64, f64) {
        self.evictions
    }
}
