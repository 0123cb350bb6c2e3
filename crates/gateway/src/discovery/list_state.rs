//! What a gateway holds of the endpoint list, and what answers of discovery make of it. No I/O, no clock.

#[cfg(test)]
mod tests;

use gateway_policy::interface::UpdateScope;

use super::{log_rejected, EndpointUpdate};
use crate::endpoint_list::EndpointList;

/// What a gateway holds of the list.
pub(super) struct ListState {
    /// The version; none where the whole list is to be asked for.
    pub index: Option<u64>,
    /// Whether the last answer could not be read, which is logged once.
    unreadable: bool,
}

/// What an answer makes of the list that is held.
pub(super) enum Accepted {
    /// Nothing: its version is older. Discovery began anew, and its changes must not be read as those of the
    /// list held.
    Older,
    /// The version that is held.
    Same(EndpointUpdate),
    /// Another version.
    New(EndpointUpdate),
}

impl ListState {
    /// Holds a version, if any is known.
    pub fn new(index: Option<u64>) -> ListState {
        ListState { index, unreadable: false }
    }

    /// Has the whole list asked for: discovery at the address may be another one, with versions of its own.
    pub fn forget(&mut self) {
        self.index = None;
    }

    /// Takes an answer of discovery's.
    pub fn accept(&mut self, list: EndpointList) -> Accepted {
        self.unreadable = false;
        log_rejected("discovery", &list);
        if !list.snapshot && self.index.is_some_and(|held| list.index < held) {
            self.forget();
            return Accepted::Older;
        }
        let is_same = self.index == Some(list.index);
        self.index = Some(list.index);
        let scope = if list.snapshot { UpdateScope::Full } else { UpdateScope::Delta };
        let unread = list.unread_names();
        let update = EndpointUpdate { scope, endpoints: list.endpoints, unread };
        if is_same {
            Accepted::Same(update)
        } else {
            Accepted::New(update)
        }
    }

    /// Takes a list that the agent hands out, if it is newer than what is held.
    pub fn adopt(&mut self, list: EndpointList) -> Option<EndpointUpdate> {
        if self.index.is_some_and(|held| held >= list.index) {
            return None;
        }
        self.index = Some(list.index);
        Some(EndpointUpdate { scope: UpdateScope::Cached, endpoints: list.endpoints, unread: Vec::new() })
    }

    /// Logs an answer that can't be read, once, as it is asked for again until it can be.
    pub fn log_unreadable(&mut self, why: &str) {
        if !std::mem::replace(&mut self.unreadable, true) {
            tracing::warn!("discovery: {why}; the list held stays in force");
        }
    }
}
