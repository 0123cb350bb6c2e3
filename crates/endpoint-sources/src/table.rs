//! The versioned endpoint list: snapshots, and deltas since a version. No I/O, no clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

#[cfg(test)]
mod tests;

/// Maximum number of tombstones of removed endpoints. A reader whose version is older than the oldest one
/// gets a snapshot.
pub const MAX_TOMBSTONES: usize = 10_000;

/// Status of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum ListedStatus {
    /// The endpoint accepts requests.
    Serving,
    /// The endpoint accepts no new requests and finishes those in flight.
    Draining,
    /// The endpoint was removed from the list.
    Deleted,
}

/// An endpoint of the discovery protocol.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedEndpoint {
    /// Name of the backend.
    pub name: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Zone.
    pub zone: String,
    /// Instance type (hardware or build).
    #[serde(rename = "type")]
    pub instance_type: String,
    /// Cell.
    pub group: u32,
    /// Status.
    pub status: ListedStatus,
    /// Weight among endpoints of the same priority.
    pub weight: f64,
    /// Priority; the lowest value is preferred. Gateway versions without support for priorities ignore it.
    pub priority: u16,
    /// Start time of the instance, Unix time in ms; 0 means long ago.
    pub since_ms: f64,
    /// Names of the fields whose current values are unknown: they have the last known or a default value, by
    /// which nothing may be permitted. Gateway versions without support for it ignore it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub unknown: Vec<&'static str>,
}

/// A response of the discovery protocol.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TableUpdate<'a> {
    /// Version of the list.
    pub index: u64,
    /// Whether it is a snapshot.
    pub snapshot: bool,
    /// The endpoints, ordered by name.
    pub endpoints: Vec<&'a ListedEndpoint>,
}

/// An endpoint and the version that changed it last.
#[derive(Clone, Debug)]
struct VersionedEndpoint {
    version: u64,
    endpoint: ListedEndpoint,
}

/// A removed endpoint, ordered by the version that removed it.
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
    /// Tombstones of versions up to this one may have been discarded, so deltas begin at this version or a
    /// later one.
    oldest_delta_base: u64,
    /// Endpoints by name, including tombstones.
    entries: BTreeMap<String, VersionedEndpoint>,
}

impl EndpointTable {
    /// Creates a table whose list is not known yet. Versions begin above `index`, which must increase with
    /// each start of the agent, as readers wait for a version above theirs.
    #[must_use]
    pub fn new(index: u64) -> EndpointTable {
        EndpointTable { index, oldest_delta_base: index, ..EndpointTable::default() }
    }

    /// Returns the version of the list.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Returns whether the list is known, so that it may be served.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Returns whether `list` differs from the table's list, or the table's list is not known.
    #[must_use]
    pub fn differs(&self, list: &BTreeMap<String, ListedEndpoint>) -> bool {
        let endpoints = self.entries.values().map(|entry| &entry.endpoint);
        let present = endpoints.filter(|endpoint| endpoint.status != ListedStatus::Deleted);
        !self.known || !present.eq(list.values())
    }

    /// Replaces the whole list. Returns whether anything changed; all changes get the same version.
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
        self.discard_oldest_tombstones();
        changed
    }

    fn discard_oldest_tombstones(&mut self) {
        let removed = self.entries.iter().filter(|(_, entry)| entry.endpoint.status == ListedStatus::Deleted);
        let mut tombstones: Vec<Tombstone> =
            removed.map(|(name, entry)| Tombstone { version: entry.version, name: name.clone() }).collect();
        if tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        tombstones.sort_unstable();
        tombstones.truncate(tombstones.len() - MAX_TOMBSTONES);
        for Tombstone { version, name } in tombstones {
            self.oldest_delta_base = self.oldest_delta_base.max(version);
            self.entries.remove(&name);
        }
    }

    /// Returns the update for a reader that has version `after`, or no version yet.
    ///
    /// It is a snapshot if `after` is `None`, comes from another start of the agent, or is older than a
    /// discarded tombstone; otherwise it is a delta.
    #[must_use]
    pub fn updates_after(&self, after: Option<u64>) -> TableUpdate<'_> {
        let after = after.filter(|after| (self.oldest_delta_base..=self.index).contains(after));
        let is_included = |entry: &&VersionedEndpoint| match after {
            Some(after) => entry.version > after,
            None => entry.endpoint.status != ListedStatus::Deleted,
        };
        let endpoints = self.entries.values().filter(is_included).map(|entry| &entry.endpoint);
        TableUpdate { index: self.index, snapshot: after.is_none(), endpoints: endpoints.collect() }
    }

    /// Returns whether a reader that has version `after` is up to date.
    #[must_use]
    pub fn is_current(&self, after: u64) -> bool {
        after == self.index
    }
}
