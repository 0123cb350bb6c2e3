//! The endpoint list with versions: the whole of it, or what changed since one. No I/O, no clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

#[cfg(test)]
mod tests;

/// The most removed endpoints that are remembered. A reader from before the oldest of them gets the whole
/// list.
pub const MAX_TOMBSTONES: usize = 10_000;

/// What an endpoint takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedStatus {
    /// Requests.
    Serving,
    /// No further requests: it finishes what it has.
    Draining,
    /// Nothing: it is no longer on the list.
    Deleted,
}

/// An endpoint of the discovery protocol.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedEndpoint {
    /// Name of the backend.
    pub name: String,
    /// Where it takes work.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Hardware or build.
    #[serde(rename = "type")]
    pub instance_type: String,
    /// Cell.
    pub group: u32,
    /// What it takes.
    pub status: ListedStatus,
    /// Weight among endpoints of the same priority.
    pub weight: f64,
    /// Priority: the least is used first. Gateways of versions without priorities ignore it.
    pub priority: u16,
    /// Start of the instance, Unix time in ms; 0 for long ago.
    pub since_ms: f64,
}

/// A response of the discovery protocol.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TableUpdate<'a> {
    /// The version.
    pub index: u64,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// The endpoints, in the order of their names.
    pub endpoints: Vec<&'a ListedEndpoint>,
}

/// An endpoint, and the version that changed it last.
#[derive(Clone, Debug)]
struct VersionedEndpoint {
    version: u64,
    endpoint: ListedEndpoint,
}

/// A removed endpoint, by the version that removed it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Tombstone {
    version: u64,
    name: String,
}

/// The endpoint list with versions.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    index: u64,
    known: bool,
    /// Up to this version, removed endpoints may have been forgotten.
    horizon: u64,
    /// By name, removed ones included.
    entries: BTreeMap<String, VersionedEndpoint>,
}

impl EndpointTable {
    /// An empty table that is not known yet. Versions begin above `index`, which has to grow with each start
    /// of the agent: readers wait for a version above theirs.
    #[must_use]
    pub fn new(index: u64) -> EndpointTable {
        EndpointTable { index, horizon: index, ..EndpointTable::default() }
    }

    /// The version.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Whether the list is known, so that it may be served.
    #[must_use]
    pub fn known(&self) -> bool {
        self.known
    }

    /// Whether a list differs from that of the table, or the table's is not known.
    #[must_use]
    pub fn differs(&self, list: &BTreeMap<String, ListedEndpoint>) -> bool {
        let endpoints = self.entries.values().map(|entry| &entry.endpoint);
        let present = endpoints.filter(|endpoint| endpoint.status != ListedStatus::Deleted);
        !self.known || !present.eq(list.values())
    }

    /// Takes the whole list as it is now. Returns whether anything changed; all changes have one version.
    pub fn replace(&mut self, list: BTreeMap<String, ListedEndpoint>) -> bool {
        let version = self.index + 1;
        let mut changed = !self.known;
        for (name, entry) in &mut self.entries {
            if !list.contains_key(name) && entry.endpoint.status != ListedStatus::Deleted {
                entry.endpoint.status = ListedStatus::Deleted;
                entry.version = version;
                changed = true;
            }
        }
        for (name, endpoint) in list {
            if self.entries.get(&name).is_none_or(|entry| entry.endpoint != endpoint) {
                self.entries.insert(name, VersionedEndpoint { version, endpoint });
                changed = true;
            }
        }
        self.known = true;
        if changed {
            self.index = version;
        }
        self.forget_oldest_tombstones();
        changed
    }

    fn forget_oldest_tombstones(&mut self) {
        let removed = self.entries.iter().filter(|(_, entry)| entry.endpoint.status == ListedStatus::Deleted);
        let mut tombstones: Vec<Tombstone> =
            removed.map(|(name, entry)| Tombstone { version: entry.version, name: name.clone() }).collect();
        if tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        tombstones.sort_unstable();
        tombstones.truncate(tombstones.len() - MAX_TOMBSTONES);
        for Tombstone { version, name } in tombstones {
            self.horizon = self.horizon.max(version);
            self.entries.remove(&name);
        }
    }

    /// The response to a reader that has version `after`, or none yet.
    ///
    /// It is the whole list where `after` is of another start of the agent, or from before what is
    /// remembered.
    #[must_use]
    pub fn updates_after(&self, after: Option<u64>) -> TableUpdate<'_> {
        let after = after.filter(|after| (self.horizon..=self.index).contains(after));
        let is_wanted = |entry: &&VersionedEndpoint| match after {
            Some(after) => entry.version > after,
            None => entry.endpoint.status != ListedStatus::Deleted,
        };
        let endpoints = self.entries.values().filter(is_wanted).map(|entry| &entry.endpoint);
        TableUpdate { index: self.index, snapshot: after.is_none(), endpoints: endpoints.collect() }
    }

    /// Whether a reader that has version `after` is up to date.
    #[must_use]
    pub fn current(&self, after: u64) -> bool {
        after == self.index
    }
}
