//! Sets of sequence numbers.

use std::collections::BTreeMap;

/// Inclusive range of sequence numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SequenceRange {
    /// First number.
    pub first: u64,
    /// Last number.
    pub last: u64,
}

impl SequenceRange {
    /// Returns the number of sequence numbers in the range. `last` must not be less than `first`.
    pub(crate) fn count(self) -> u64 {
        self.last - self.first + 1
    }
}

/// A set of sequence numbers: a contiguous range from 1, and further ranges after gaps.
#[derive(Clone, Debug, Default)]
pub(crate) struct SequenceSet {
    /// All numbers from 1 to this one are in the set.
    contiguous_upto: u64,
    /// Last numbers of the ranges after gaps, by first number. No two ranges are adjacent.
    ranges: BTreeMap<u64, u64>,
}

impl SequenceSet {
    /// Returns the number up to which all numbers from 1 on are in the set.
    pub(crate) fn contiguous_upto(&self) -> u64 {
        self.contiguous_upto
    }

    pub(crate) fn contains(&self, sequence: u64) -> bool {
        let range = self.ranges.range(..=sequence).next_back();
        sequence <= self.contiguous_upto || range.is_some_and(|(_, last)| sequence <= *last)
    }

    /// Adds a range that does not overlap the set. Returns `false` without a change if the set would have
    /// more than `max_ranges` ranges after gaps.
    pub(crate) fn insert(&mut self, range: SequenceRange, max_ranges: usize) -> bool {
        let SequenceRange { first, last } = range;
        let follows_contiguous = first == self.contiguous_upto + 1;
        let range_before = self.ranges.range(..first).next_back().filter(|(_, end)| **end + 1 == first);
        let first_of_range_before = range_before.map(|(begin, _)| *begin);
        let next = last.saturating_add(1);
        let is_adjacent =
            follows_contiguous || first_of_range_before.is_some() || self.ranges.contains_key(&next);
        if !is_adjacent && self.ranges.len() >= max_ranges {
            return false;
        }
        let last = self.ranges.remove(&next).unwrap_or(last);
        if follows_contiguous {
            self.contiguous_upto = last;
        } else {
            self.ranges.insert(first_of_range_before.unwrap_or(first), last);
        }
        true
    }

    /// Returns the parts of a range that are not in the set, in order.
    pub(crate) fn missing(&self, range: SequenceRange) -> Vec<SequenceRange> {
        let last = range.last;
        let mut next = range.first.max(self.contiguous_upto + 1);
        let mut missing = Vec::new();
        let begin = self.ranges.range(..=next).next_back().map_or(next, |(begin, _)| *begin);
        for (begin, end) in self.ranges.range(begin..=last.max(begin)) {
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
