//! Read-only views of a gateway's state, for status reports and for sizing.

use bounded_cache::BoundedCache;

use crate::policy::{CustomerQuota, Policy};

/// State of a backend as the gateway sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendView {
    /// Number of the backend at this gateway.
    pub id: u32,
    /// Whether it is ejected: it gets no work because it failed or stopped answering.
    pub ejected: bool,
    /// Estimated fraction of its full capacity, above 0, at most 1.
    pub capacity_fraction: f64,
}

impl Policy {
    /// Returns the listed backends at `now` (ms, the caller's clock), in no particular order.
    pub fn backends(&self, now: f64) -> impl Iterator<Item = BackendView> + '_ {
        let known = self.backends.slots().map(|slot| self.backends.get(slot));
        let listed = known.filter(|backend| !backend.is_removed());
        listed.map(move |backend| BackendView {
            id: backend.entry.id,
            ejected: backend.ejected,
            capacity_fraction: backend.capacity_fraction(now, &self.settings),
        })
    }

    /// Number of customer records that fit in `bytes`.
    #[must_use]
    pub fn customers_fitting(bytes: usize) -> usize {
        BoundedCache::<CustomerQuota>::capacity_for_bytes(bytes)
    }

    /// Returns the number of evicted customer records, and the units that their customers can use again.
    #[must_use]
    pub fn evictions(&self) -> (u64, f64) {
        let evicted = self.customers.evictions();
        (evicted.records, evicted.cost)
    }

    /// Number of customer records in memory.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }
}
