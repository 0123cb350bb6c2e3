//! Client of the discovery service: fetches the endpoint list, or the changes since the known version,
//! then keeps it up to date.

mod connection;
mod coordinated_start;
mod list_state;
mod slots;
mod watch;

use std::net::SocketAddr;
use std::time::Duration;

use cold_start::SlotSchedule;
use gateway_policy::interface::UpdateScope;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::endpoint_list::{Endpoint, EndpointList};
pub use coordinated_start::CoordinatedStart;

/// Maximum number of rejected endpoints logged for one response.
const MAX_NAMED_ENDPOINTS: usize = 10;

/// An update of the endpoint list.
#[derive(Debug)]
pub struct EndpointUpdate {
    pub scope: UpdateScope,
    pub endpoints: Vec<Endpoint>,
    /// Names of backends whose entries were invalid; they keep their previous state.
    pub unreadable: Vec<String>,
}

impl EndpointUpdate {
    /// Returns the version and the encoded list if this update is a full snapshot.
    fn encode_snapshot(&self, version: u64) -> Option<(u64, String)> {
        (self.scope == UpdateScope::Full)
            .then(|| (version, EndpointList::encode_snapshot(version, &self.endpoints)))
    }
}

/// How the endpoint list is followed, and the version known so far.
#[derive(Clone, Copy, Debug)]
pub struct FollowOptions {
    /// The known version; `None` if the next call must fetch the whole list.
    pub known_version: Option<u64>,
    /// Number of gateways that share the discovery service, including this one.
    pub gateways: u32,
    /// How long a gateway may keep sending to a backend after it was told to stop.
    pub stop_within: Duration,
    /// Seed of the backoff's random jitter, different for each gateway.
    pub seed: u64,
    /// Slot schedule if the fleet's calls are spread over slots. `None`: the list is watched with long polls.
    pub slots: Option<(SlotSchedule, Clock)>,
}

/// Follows the list and sends updates to the event loop, until the task is aborted or, with slots, the inbox
/// closes. `start` identifies the agent that assigns the slot of the first call; it is used only with slots.
pub async fn follow<T: From<EndpointUpdate>>(
    address: SocketAddr,
    options: FollowOptions,
    start: Option<CoordinatedStart>,
    inbox: mpsc::Sender<T>,
) {
    if let Some((schedule, clock)) = options.slots {
        return slots::follow(address, options.known_version, schedule, clock, start, inbox).await;
    }
    watch::follow(address, options, inbox).await;
}

/// Logs the rejected endpoints of a list, at most [`MAX_NAMED_ENDPOINTS`] of them by name.
pub fn log_rejected(source: &str, list: &EndpointList) {
    for rejected in list.rejected.iter().take(MAX_NAMED_ENDPOINTS) {
        tracing::warn!("{source}: {rejected}; this endpoint is ignored");
    }
    let more = list.rejected.len().saturating_sub(MAX_NAMED_ENDPOINTS);
    if more > 0 {
        tracing::warn!("{source}: {more} more invalid endpoints are ignored");
    }
}
