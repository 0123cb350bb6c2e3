//! Selects the ready backends of this gateway's subset as their number changes.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::subset::Subset;

/// Smallest size of a subset, if as many backends are ready.
pub const MIN_SUBSET_SIZE: usize = 4;

/// Sort key of a ready backend, in the order in which backends join the subset: the bits of its threshold
/// and its slot. Thresholds are never negative, so their bits sort as their values do.
type Rank = (u64, u32);

/// Slots that joined or left the subset.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) joins: bool,
    pub(crate) slots: Vec<u32>,
}

/// Ready backends by threshold, and the threshold below which they belong to the subset.
#[derive(Debug)]
pub(crate) struct Membership {
    subset: Subset,
    ready: BTreeSet<Rank>,
    members_below: f64,
    /// Number of gateways that share a backend.
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

    /// Returns the threshold of a backend, by its key.
    pub(crate) fn threshold(&self, key: u64) -> f64 {
        self.subset.threshold(key)
    }

    /// Whether a ready backend with this threshold is in the subset.
    pub(crate) fn contains(&self, threshold: f64) -> bool {
        threshold < self.members_below
    }

    pub(crate) fn add_ready(&mut self, threshold: f64, slot: u32) {
        self.ready.insert((threshold.to_bits(), slot));
    }

    pub(crate) fn remove_ready(&mut self, threshold: f64, slot: u32) {
        self.ready.remove(&(threshold.to_bits(), slot));
    }

    /// Resizes the subset for `ready` ready backends.
    ///
    /// The sizes of subsets vary randomly. A subset of one or two backends would have none left when they
    /// fail, so small subsets are filled up with the backends that come next by threshold. These then have
    /// one more gateway.
    pub(crate) fn resize(&mut self, ready: usize) -> Change {
        self.degree = self.subset.degree(ready);
        let before = self.members_below;
        self.members_below = self.degree.max(self.min_subset_threshold());
        let joins = self.members_below > before;
        Change { joins, slots: self.between(before, self.members_below) }
    }

    /// Returns the threshold below which there are [`MIN_SUBSET_SIZE`] ready backends, or all of them.
    fn min_subset_threshold(&self) -> f64 {
        let last = self.ready.iter().nth(MIN_SUBSET_SIZE - 1).or(self.ready.last());
        last.map_or(0.0, |(threshold, _)| f64::from_bits(*threshold).next_up())
    }

    /// Returns the ready slots with thresholds from the lower of two values up to the higher, exclusive.
    fn between(&self, a: f64, b: f64) -> Vec<u32> {
        let (low, high) = (a.min(b).to_bits(), a.max(b).to_bits());
        let range = (Bound::Included((low, 0)), Bound::Excluded((high, 0)));
        self.ready.range(range).map(|(_, slot)| *slot).collect()
    }
}
