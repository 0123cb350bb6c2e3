//! Publication of the desired state and the newest orders to the sessions with gateways.

use std::collections::VecDeque;
use std::sync::Arc;

use fleet::wire::LoggedOrder;
use fleet::{DesiredState, Order, Revision, Snapshot};
use tokio::sync::watch;

/// Maximum number of recent orders to publish. A session sends these instead of a snapshot to a gateway that
/// has all earlier orders.
const MAX_RECENT_ORDERS: usize = 256;

/// The state that gateways are to reach.
#[derive(Clone, Debug, Default)]
pub struct PublishedState {
    /// Snapshot of the desired state.
    pub snapshot: Arc<Snapshot>,
    /// The newest orders without gaps, oldest first.
    pub recent_orders: Arc<Vec<Order>>,
    /// The newest revision.
    pub newest: Revision,
}

/// Publishes the desired state together with the newest orders.
pub struct Publisher {
    recent_orders: VecDeque<Order>,
    published: watch::Sender<PublishedState>,
}

impl Publisher {
    /// Creates a publisher; `logged` are the orders of the log, oldest first.
    pub fn new(logged: &[LoggedOrder], published: watch::Sender<PublishedState>) -> Publisher {
        let skipped = logged.len().saturating_sub(MAX_RECENT_ORDERS);
        let recent_orders = logged.iter().skip(skipped).map(|logged| logged.order.clone()).collect();
        Publisher { recent_orders, published }
    }

    /// Adds a new order, which is published by the next [`Publisher::publish`].
    pub fn add(&mut self, order: Order) {
        self.recent_orders.push_back(order);
        if self.recent_orders.len() > MAX_RECENT_ORDERS {
            self.recent_orders.pop_front();
        }
    }

    /// Publishes the state and the newest orders.
    pub fn publish(&self, desired: &DesiredState, newest: Revision) {
        let snapshot = Arc::new(desired.snapshot());
        let recent_orders = Arc::new(self.recent_orders.iter().cloned().collect());
        self.published.send_replace(PublishedState { snapshot, recent_orders, newest });
    }
}
