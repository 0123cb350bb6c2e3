//! What a gateway knows, to be looked at. Nothing is decided here, and nothing changed.

use bounded_cache::BoundedCache;

use crate::interface::EndpointState;
use crate::policy::Policy;
use crate::store::Customer;

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
        let all = self.backends.places().map(|place| self.backends.get(place));
        all.filter(|b| b.entry.state != EndpointState::Removed).map(move |b| {
            let warmth = b.warmth(now, &self.settings);
            BackendView { id: b.entry.id, ejected: b.ejected, capacity_fraction: warmth }
        })
    }

    /// How many customers' stores fit some bytes.
    #[must_use]
    pub fn customers_fitting(bytes: usize) -> usize {
        BoundedCache::<Customer>::capacity_for_bytes(bytes)
    }

    /// How many stores were dropped to make room, and the units that these may pass again.
    #[must_use]
    pub fn evictions(&self) -> (u64, f64) {
        self.customers.forgotten()
    }

    /// Customers whose store is held.
    #[must_use]
    pub fn customer_count(&self) -> usize {
        self.customers.len()
    }
}
