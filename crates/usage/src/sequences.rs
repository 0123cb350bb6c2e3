//! The sequence numbers of a source that were seen.

use std::collections::BTreeMap;

/// Sequence numbers from the first to the last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceRange {
    /// The first one.
    pub first: u64,
    /// The last one.
    pub last: u64,
}

impl SequenceRange {
    /// How many sequence numbers it has; `last` is not before `first`.
    pub(crate) fn count(self) -> u64 {
        self.last - self.first + 1
    }
}

/// A set of sequence numbers: all up to one, and ranges beyond.
#[derive(Clone, Debug, Default)]
pub(crate) struct SequenceSet {
    /// All from 1 up to here.
    contiguous_upto: u64,
    /// First and last numbers of the ranges beyond, which do not touch.
    beyond: BTreeMap<u64, u64>,
}

impl SequenceSet {
    /// All numbers from 1 up to here are in the set.
    pub(crate) fn contiguous_upto(&self) -> u64 {
        self.contiguous_upto
    }

    pub(crate) fn contains(&self, sequence: u64) -> bool {
        let range = self.beyond.range(..=sequence).next_back();
        sequence <= self.contiguous_upto || range.is_some_and(|(_, last)| sequence <= *last)
    }

    /// Adds a range of which the set has none. Returns `false`, with nothing changed, if that would make more
    /// than `max_ranges` ranges beyond.
    pub(crate) fn insert(&mut self, range: SequenceRange, max_ranges: usize) -> bool {
        let SequenceRange { first, last } = range;
        let follows_contiguous = first == self.contiguous_upto + 1;
        let range_before = self.beyond.range(..first).next_back().filter(|(_, end)| **end + 1 == first);
        let first_of_before = range_before.map(|(begin, _)| *begin);
        let next = last.saturating_add(1);
        let touches = follows_contiguous || first_of_before.is_some() || self.beyond.contains_key(&next);
        if !touches && self.beyond.len() >= max_ranges {
            return false;
        }
        let last = self.beyond.remove(&next).unwrap_or(last);
        if follows_contiguous {
            self.contiguous_upto = last;
        } else {
            self.beyond.insert(first_of_before.unwrap_or(first), last);
        }
        true
    }

    /// The parts of a range that the set has not, in order.
    pub(crate) fn missing(&self, range: SequenceRange) -> Vec<SequenceRange> {
        let last = range.last;
        let mut next = range.first.max(self.contiguous_upto + 1);
        let mut missing = Vec::new();
        let begin = self.beyond.range(..=next).next_back().map_or(next, |(begin, _)| *begin);
        for (begin, end) in self.beyond.range(begin..=last.max(begin)) {
            if *begin > next && next <= last {
                missing.push(SequenceRange { first: next, last: (*begin - 1).min(last) });
            }
            next = next.max(end.saturating_add(1));
        }
        if next <= last {
            missing.push(SequenceRange { first: next, last });
        }
        missing
    }
}
