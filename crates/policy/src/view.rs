//! What a gateway knows, to be looked at. Nothing is decided here, and nothing changed.

use bounded_cache::Records;

use crate::interface::Readiness;
use crate::policy::Gateway;
use crate::store::Customer;

/// A backend as the gateway knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendView {
    /// Its number.
    pub id: u32,
    /// It gets no work, as it failed or fell silent.
    pub ejected: bool,
    /// Part of its capacity that it is taken to have, above 0, at most 1.
    pub warmth: f64,
}

impl Gateway {
    /// The backends on the list, in no order, at `now` (ms, the caller's clock).
    pub fn backends(&self, now: f64) -> impl Iterator<Item = BackendView> + '_ {
        let all = self.backends.places().map(|place| self.backends.get(place));
        all.filter(|b| b.entry.state != Readiness::Gone).map(move |b| {
            let warmth = b.warmth(now, &self.settings);
            BackendView { id: b.entry.id, ejected: b.ejected, warmth }
        })
    }

    /// How many customers' stores fit some bytes.
    #[must_use]
    pub fn customers_in(bytes: usize) -> usize {
        Records::<Customer>::fit(bytes)
    }

    /// How many stores were dropped to make room, and the units that these may pass again.
    #[must_use]
    pub fn forgotten(&self) -> (u64, f64) {
        self.customers.forgotten()
    }

    /// Customers whose store is held.
    #[must_use]
    pub fn customers(&self) -> usize {
        self.customers.len()
    }
}
