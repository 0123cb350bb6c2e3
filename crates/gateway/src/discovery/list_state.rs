//! Version of the cached endpoint list, and how responses of discovery update it. No I/O and no clock.

#[cfg(test)]
mod tests;

use gateway_policy::interface::UpdateScope;

use super::{log_rejected, EndpointUpdate};
use crate::endpoint_list::EndpointList;

/// The state of the cached list.
pub(super) struct ListState {
    /// The cached version; `None` if the whole list must be fetched.
    pub version: Option<u64>,
    /// Whether the last response was unreadable, which is logged only once.
    unreadable_logged: bool,
}

/// How a response relates to the cached list.
pub(super) enum Accepted {
    /// A delta of an older version: discovery was restarted, and its changes must not be applied to the
    /// cached list.
    Older,
    /// The cached version.
    Same(EndpointUpdate),
    /// Another version.
    New(EndpointUpdate),
}

impl ListState {
    /// Creates the state with the known version, if any.
    pub fn new(version: Option<u64>) -> ListState {
        ListState { version, unreadable_logged: false }
    }

    /// Discards the version so that the whole list is fetched: the address may now belong to another
    /// discovery service with its own versions.
    pub fn forget(&mut self) {
        self.version = None;
    }

    /// Processes a list received from discovery.
    pub fn accept(&mut self, list: EndpointList) -> Accepted {
        self.unreadable_logged = false;
        log_rejected("discovery", &list);
        if !list.snapshot && self.version.is_some_and(|held| list.version < held) {
            self.forget();
            return Accepted::Older;
        }
        let is_same = self.version == Some(list.version);
        self.version = Some(list.version);
        let scope = if list.snapshot { UpdateScope::Full } else { UpdateScope::Delta };
        let unreadable = list.unreadable_names();
        let update = EndpointUpdate { scope, endpoints: list.endpoints, unreadable };
        if is_same {
            Accepted::Same(update)
        } else {
            Accepted::New(update)
        }
    }

    /// Adopts a list that the agent provides, if it is newer than the cached one.
    pub fn adopt(&mut self, list: EndpointList) -> Option<EndpointUpdate> {
        if self.version.is_some_and(|held| held >= list.version) {
            return None;
        }
        self.version = Some(list.version);
        Some(EndpointUpdate { scope: UpdateScope::Cached, endpoints: list.endpoints, unreadable: Vec::new() })
    }

    /// Logs an unreadable response. Only the first of several in a row is logged, because the call is
    /// repeated until it succeeds.
    pub fn log_unreadable(&mut self, why: &str) {
        if !std::mem::replace(&mut self.unreadable_logged, true) {
            tracing::warn!("discovery: {why}; the cached list stays in force");
        }
    }
}
