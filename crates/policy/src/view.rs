//! What a gateway knows, to be looked at. Nothing is decided here, and nothing changed.

use bounded_cache::BoundedCache;

use crate::policy::{CustomerQuota, Policy};

/// A backend as the gateway knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendView {
    /// Its number.
    pub id: u32,
    /// It gets no work, as it failed or fell silent.
    pub ejected: bool,
    /// Part of its capacity that it is taken to have, above 0, at most 1.
    pub capacity_fraction: f64,
}

impl Policy {
    /// The backends on the list, in no order, at `now` (ms, the caller's clock).
    pub fn backends(&self, now: f64) -> impl Iterator<Item = BackendView> + '_ {
        let known = self.backends.slots().map(|slot| self.backends.get(slot));
        let listed = known.filter(|backend| !backend.is_removed());
        listed.map(move |backend| BackendView {
            id: backend.entry.id,
            ejected: backend.ejected,
            capacity_fraction: backend.capacity_fraction(now, &self.settings),
        })
    }

    /// How many customers' records fit some bytes.
    #[must_use]
    pub fn customers_fitting(bytes: usize) -> usize {
        BoundedCache::<CustomerQuota>::capacity_for_bytes(bytes)
    }

    /// How many records were dropped to make room, and the units that their customers may pass again.
    #[must_use]
    pub fn evictions(&self) -> (u64, f64) {
        let evicted = self.customers.evictions();
        (evicted.records, evicted.cost)
    }

    /// Customers whose record is kept.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }
}
