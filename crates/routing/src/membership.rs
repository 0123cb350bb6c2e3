//! Which of the ready backends are in this gateway's subset, as their number changes.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::subset::Subset;

/// Backends that a subset has at least, where there are as many.
pub const MIN_SUBSET_SIZE: usize = 4;

/// A ready backend in the order in which backends join the subset: the bits of its threshold, which is
/// never negative, so that they sort as it does; then its slot.
type Rank = (u64, u32);

/// Slots that joined the subset, or left it.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) joins: bool,
    pub(crate) slots: Vec<u32>,
}

/// The ready backends by threshold, and the threshold below which they are in the subset.
#[derive(Debug)]
pub(crate) struct Membership {
    subset: Subset,
    ready: BTreeSet<Rank>,
    members_below: f64,
    /// Gateways that share a backend.
    degree: f64,
}

impl Membership {
    pub(crate) fn new(subset: Subset) -> Membership {
        let degree = subset.degree(0);
        Membership { subset, ready: BTreeSet::new(), members_below: degree, degree }
    }

    pub(crate) fn degree(&self) -> f64 {
        self.degree
    }

    /// The threshold of a backend, by what all gateways know it by.
    pub(crate) fn threshold(&self, key: u64) -> f64 {
        self.subset.threshold(key)
    }

    /// Whether a ready backend of some threshold is in the subset.
    pub(crate) fn has(&self, threshold: f64) -> bool {
        threshold < self.members_below
    }

    pub(crate) fn add_ready(&mut self, threshold: f64, slot: u32) {
        self.ready.insert((threshold.to_bits(), slot));
    }

    pub(crate) fn remove_ready(&mut self, threshold: f64, slot: u32) {
        self.ready.remove(&(threshold.to_bits(), slot));
    }

    /// Fits the subset to so many ready backends.
    ///
    /// Subsets differ in size by chance, and one of a backend or two would have nothing left when they
    /// fail. Those next in line are taken in, which gives them a gateway more.
    pub(crate) fn resize(&mut self, ready: usize) -> Change {
        self.degree = self.subset.degree(ready);
        let before = self.members_below;
        self.members_below = self.degree.max(self.below_for_least_subset());
        let joins = self.members_below > before;
        Change { joins, slots: self.between(before, self.members_below) }
    }

    /// The threshold below which there are [`LEAST_SUBSET`] backends, or all.
    fn below_for_least_subset(&self) -> f64 {
        let last = self.ready.iter().nth(MIN_SUBSET_SIZE - 1).or(self.ready.last());
        last.map_or(0.0, |(threshold, _)| f64::from_bits(*threshold).next_up())
    }

    /// Ready slots whose thresholds are between two values.
    fn between(&self, a: f64, b: f64) -> Vec<u32> {
        let (low, high) = (a.min(b).to_bits(), a.max(b).to_bits());
        let range = (Bound::Included((low, 0)), Bound::Excluded((high, 0)));
        self.ready.range(range).map(|(_, slot)| *slot).collect()
    }
}
