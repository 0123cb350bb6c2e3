//! A priority queue of due times, one for each slot.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

#[cfg(test)]
mod tests;

/// The heap is compacted when it has more entries than these: a number for each slot, plus a constant.
const ENTRIES_PER_SLOT: usize = 2;
const SPARE_ENTRIES: usize = 64;
/// Due time of a slot that is not scheduled.
const NEVER: f64 = f64::INFINITY;

/// A time, ms, with a total order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Time(f64);

impl Eq for Time {}

impl PartialOrd for Time {
    fn partial_cmp(&self, other: &Time) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Time {
    fn cmp(&self, other: &Time) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Due times of slots: at most one for each slot, the earliest that was set.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    heap: BinaryHeap<Reverse<(Time, u32)>>,
    /// Due time of each slot.
    due_at: Vec<f64>,
}

impl Schedule {
    /// Schedules a slot for a time, unless it is already due sooner.
    pub(crate) fn set(&mut self, slot: u32, at: f64) {
        let index = slot as usize;
        if index >= self.due_at.len() {
            self.due_at.resize(index + 1, NEVER);
        }
        if at < self.due_at[index] {
            self.due_at[index] = at;
            self.heap.push(Reverse((Time(at), slot)));
            self.compact();
        }
    }

    /// Removes the due time of a slot.
    pub(crate) fn clear(&mut self, slot: u32) {
        if let Some(at) = self.due_at.get_mut(slot as usize) {
            *at = NEVER;
        }
    }

    /// Removes and returns the slot with the earliest due time, if it is due by `now`.
    pub(crate) fn pop(&mut self, now: f64) -> Option<u32> {
        while let Some(Reverse((at, slot))) = self.heap.peek().copied() {
            if at.0 > now {
                return None;
            }
            self.heap.pop();
            // Other entries were superseded by an earlier time or cleared.
            if self.due_at[slot as usize] == at.0 {
                self.due_at[slot as usize] = NEVER;
                return Some(slot);
            }
        }
        None
    }

    /// Drops superseded and cleared entries before they come due, so that the size of the heap stays linear
    /// in the number of slots.
    fn compact(&mut self) {
        if self.heap.len() > ENTRIES_PER_SLOT * self.due_at.len() + SPARE_ENTRIES {
            let scheduled = (0..).zip(&self.due_at).filter(|(_, at)| at.is_finite());
            self.heap = scheduled.map(|(slot, at)| Reverse((Time(*at), slot))).collect();
        }
    }
}
