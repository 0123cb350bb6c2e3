//! Follows the list of backends: from the version that is known, else the whole list; then watches.

mod connection;
mod list_state;
mod slots;
mod start_order;
mod watch;

use std::net::SocketAddr;
use std::time::Duration;

use cold_start::SlotSchedule;
use gateway_policy::interface::UpdateScope;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::endpoint_list::{Endpoint, EndpointList};
pub use start_order::StartOrder;

/// So many lines that are left out are named at most, of one answer.
const MAX_NAMED_ENDPOINTS: usize = 10;

/// An update of the endpoint list.
#[derive(Debug)]
pub struct EndpointUpdate {
    pub scope: UpdateScope,
    pub endpoints: Vec<Endpoint>,
    /// Backends whose lines could not be read: what is known of them stays.
    pub unread: Vec<String>,
}

impl EndpointUpdate {
    /// The text of an answer that is this whole list, with its version.
    fn text(&self, index: u64) -> Option<(u64, String)> {
        (self.scope == UpdateScope::Full).then(|| (index, EndpointList::text(index, &self.endpoints)))
    }
}

/// What is known of the list by now.
#[derive(Clone, Copy, Debug)]
pub struct FollowOptions {
    /// The version held; none where the next call is to ask for the whole list.
    pub index: Option<u64>,
    /// Gateways that share discovery, this one among them.
    pub gateways: u32,
    /// For so long a gateway may go on sending to a backend after it was told to stop.
    pub stop_within: Duration,
    /// This gateway's own, for its backoff.
    pub seed: u64,
    /// Its slots, where the fleet's operators share out the calls; none: it watches.
    pub slots: Option<(SlotSchedule, Clock)>,
}

/// Follows the list for good and tells the event loop of it. `order`: whom it asks for a slot when it starts,
/// where it has slots.
pub async fn follow<T: From<EndpointUpdate>>(
    agent: SocketAddr,
    options: FollowOptions,
    order: Option<StartOrder>,
    inbox: mpsc::Sender<T>,
) {
    if let Some((schedule, clock)) = options.slots {
        return slots::follow(agent, options.index, schedule, clock, order, inbox).await;
    }
    watch::follow(agent, options, inbox).await;
}

/// Names the lines of a list that are left out; of many the first.
pub fn log_rejected(whose: &str, list: &EndpointList) {
    for wrong in list.rejected.iter().take(MAX_NAMED_ENDPOINTS) {
        tracing::warn!("{whose}: {wrong}; this line is left out");
    }
    let more = list.rejected.len().saturating_sub(MAX_NAMED_ENDPOINTS);
    if more > 0 {
        tracing::warn!("{whose}: {more} more lines are left out");
    }
}
