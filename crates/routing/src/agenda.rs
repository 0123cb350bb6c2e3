//! When each slot is to be seen to.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A time, ms, in the total order of numbers.
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

/// At most one time for each slot; the earliest that was asked for counts.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    heap: BinaryHeap<Reverse<(Time, u32)>>,
    /// The time that counts, by slot; infinite for none.
    at: Vec<f64>,
}

impl Agenda {
    /// Sees to a slot at a time, or sooner if that was asked for before.
    pub(crate) fn set(&mut self, slot: u32, at: f64) {
        let place = slot as usize;
        if place >= self.at.len() {
            self.at.resize(place + 1, f64::INFINITY);
        }
        if at < self.at[place] {
            self.at[place] = at;
            self.heap.push(Reverse((Time(at), slot)));
            self.compact();
        }
    }

    /// Forgets a slot.
    pub(crate) fn clear(&mut self, slot: u32) {
        self.at.get_mut(slot as usize).into_iter().for_each(|at| *at = f64::INFINITY);
    }

    /// Takes a slot whose time has come, the earliest first.
    pub(crate) fn pop(&mut self, now: f64) -> Option<u32> {
        while let Some(Reverse((at, slot))) = self.heap.peek().copied().filter(|Reverse((at, _))| at.0 <= now)
        {
            self.heap.pop();
            // Others were overtaken by an earlier time, or forgotten.
            if self.at[slot as usize] == at.0 {
                self.at[slot as usize] = f64::INFINITY;
                return Some(slot);
            }
        }
        None
    }

    /// Danger: times that count no more, kept until they come. There are never more than a few for each slot.
    fn compact(&mut self) {
        if self.heap.len() > 2 * self.at.len() + 64 {
            let live = (0..).zip(&self.at).filter(|(_, at)| at.is_finite());
            self.heap = live.map(|(slot, at)| Reverse((Time(*at), slot))).collect();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_earliest_time_counts_once_and_what_is_forgotten_does_not() {
        let mut agenda = Agenda::default();
        agenda.set(3, 20.0);
        agenda.set(1, 10.0);
        agenda.set(3, 5.0);
        agenda.set(3, 30.0);
        agenda.set(2, 7.0);
        agenda.clear(2);
        assert_eq!(agenda.pop(4.0), None);
        let all: Vec<u32> = std::iter::from_fn(|| agenda.pop(100.0)).collect();
        assert_eq!(all, [3, 1]);
    }

    #[test]
    fn what_counts_no_more_is_not_kept() {
        let mut agenda = Agenda::default();
        for i in 0..100_000 {
            agenda.set(i % 4, 1_000_000.0 - f64::from(i));
            agenda.clear(i % 4);
        }
        assert!(agenda.heap.len() <= 2 * 4 + 65, "{}", agenda.heap.len());
        assert_eq!(agenda.pop(2_000_000.0), None);
    }
}
