//! The list with versions: the whole of it, or what changed since one. No I/O, no clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;

/// Names that left and are remembered. A reader from before the oldest of them gets the whole list.
pub const MAX_TOMBSTONES: usize = 10_000;

/// A line of the list, as the discovery protocol has it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedEndpoint {
    /// The backend.
    pub name: String,
    /// Where it takes work.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Its group.
    pub group: u32,
    /// `SERVING`, `DRAINING` or `DELETED`.
    pub status: &'static str,
    /// Its weight among others.
    pub weight: f64,
    /// Its tier: less is used first. Gateways that know of none pass it over.
    pub priority: u16,
    /// When it started, Unix time in ms; 0 for long ago.
    pub since_ms: f64,
}

/// An answer of the discovery protocol.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TableUpdate<'a> {
    /// The version.
    pub index: u64,
    /// Whether it is the whole list.
    pub snapshot: bool,
    /// Its lines.
    pub endpoints: Vec<&'a ListedEndpoint>,
}

/// The list with versions.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    index: u64,
    /// The list is known: it may be served.
    known: bool,
    /// What changed at or before this version is not remembered line by line.
    horizon: u64,
    /// Lines, each with the version that changed it; those that left as well.
    lines: BTreeMap<String, (u64, ListedEndpoint)>,
}

impl EndpointTable {
    /// An empty one that is not known yet. Versions begin above `index`. Danger: an agent that starts anew
    /// and counts from 0, before readers that wait for more than they have.
    #[must_use]
    pub fn new(index: u64) -> EndpointTable {
        EndpointTable { index, horizon: index, ..EndpointTable::default() }
    }

    /// Its version.
    #[must_use]
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Whether it may be served.
    #[must_use]
    pub fn known(&self) -> bool {
        self.known
    }

    /// Whether a list is another than the one that is told, or none is told yet.
    #[must_use]
    pub fn differs(&self, list: &BTreeMap<String, ListedEndpoint>) -> bool {
        let told = self.lines.values().map(|(_, line)| line).filter(|line| line.status != "DELETED");
        !self.known || !told.eq(list.values())
    }

    /// Takes the whole list as it is now; tells whether anything changed. One version for all that did.
    pub fn replace(&mut self, list: BTreeMap<String, ListedEndpoint>) -> bool {
        let (next, mut changed) = (self.index + 1, !self.known);
        for (name, (at, line)) in &mut self.lines {
            if !list.contains_key(name) && line.status != "DELETED" {
                (line.status, *at, changed) = ("DELETED", next, true);
            }
        }
        for (name, line) in list {
            if self.lines.get(&name).is_none_or(|(_, old)| *old != line) {
                self.lines.insert(name, (next, line));
                changed = true;
            }
        }
        self.known = true;
        self.index = if changed { next } else { self.index };
        self.forget();
        changed
    }

    /// Danger: names that came and went, kept for good.
    fn forget(&mut self) {
        let gone = self.lines.iter().filter(|(_, (_, line))| line.status == "DELETED");
        let mut gone: Vec<(u64, String)> = gone.map(|(name, (at, _))| (*at, name.clone())).collect();
        if gone.len() <= MAX_TOMBSTONES {
            return;
        }
        gone.sort_unstable();
        gone.truncate(gone.len() - MAX_TOMBSTONES);
        for (at, name) in gone {
            self.horizon = self.horizon.max(at);
            self.lines.remove(&name);
        }
    }

    /// What a reader is told that has `after`, or nothing yet.
    #[must_use]
    pub fn updates_after(&self, after: Option<u64>) -> TableUpdate<'_> {
        // A version of another life of this agent, or of before what is remembered: the whole list.
        let after = after.filter(|after| (self.horizon..=self.index).contains(after));
        let wanted = |at: u64, line: &ListedEndpoint| match after {
            Some(after) => at > after,
            None => line.status != "DELETED",
        };
        let lines = self.lines.values().filter(|(at, line)| wanted(*at, line)).map(|(_, line)| line);
        TableUpdate { index: self.index, snapshot: after.is_none(), endpoints: lines.collect() }
    }

    /// Whether a reader that has `after` is to wait for news.
    #[must_use]
    pub fn current(&self, after: u64) -> bool {
        after == self.index
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(name: &str, port: u16) -> (String, ListedEndpoint) {
        let line = ListedEndpoint {
            name: name.to_string(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: String::new(),
            kind: String::new(),
            group: 0,
            status: "SERVING",
            weight: 1.0,
            priority: 0,
            since_ms: 0.0,
        };
        (name.to_string(), line)
    }

    fn told(table: &EndpointTable, after: Option<u64>) -> (bool, Vec<String>) {
        let news = table.updates_after(after);
        (news.snapshot, news.endpoints.iter().map(|l| format!("{}:{}", l.name, l.status)).collect())
    }

    #[test]
    fn readers_get_what_changed_since_and_those_that_left_by_name() {
        let mut table = EndpointTable::new(100);
        assert!(!table.known());
        assert!(table.replace([line("a", 1), line("b", 2)].into()));
        let first = table.index();
        assert!(!table.differs(&[line("a", 1), line("b", 2)].into()));
        assert!(!table.replace([line("a", 1), line("b", 2)].into()));
        assert!(table.differs(&[line("a", 1)].into()) && table.differs(&[line("a", 1), line("b", 3)].into()));
        assert!(table.current(first));
        assert!(table.replace([line("b", 3), line("c", 4)].into()));
        let delta = |all: &[&str]| (false, all.iter().map(ToString::to_string).collect::<Vec<_>>());
        assert_eq!(told(&table, Some(first)), delta(&["a:DELETED", "b:SERVING", "c:SERVING"]));
        assert_eq!(told(&table, Some(table.index())), delta(&[]));
        assert_eq!(told(&table, None), (true, vec!["b:SERVING".to_string(), "c:SERVING".to_string()]));
        // Of another life of the agent, older or newer.
        assert!(told(&table, Some(7)).0 && told(&table, Some(table.index() + 1)).0);
        assert!(table.replace([line("a", 1), line("b", 3), line("c", 4)].into()));
        assert_eq!(told(&table, Some(table.index() - 1)), delta(&["a:SERVING"]));
    }

    #[test]
    fn an_empty_list_is_known_once_it_was_told() {
        let mut table = EndpointTable::new(0);
        assert!(table.replace(BTreeMap::new()) && table.known());
        assert!(!table.replace(BTreeMap::new()));
    }

    #[test]
    fn names_that_came_and_went_are_bounded_and_a_reader_from_before_gets_all() {
        let mut table = EndpointTable::new(0);
        for i in 0..(MAX_TOMBSTONES / 50 + 3) as u64 {
            table.replace((0..50).map(|n| line(&format!("x{i}-{n}"), 1)).collect());
        }
        assert!(table.lines.len() <= MAX_TOMBSTONES + 50, "{}", table.lines.len());
        assert!(table.updates_after(Some(1)).snapshot);
        assert!(!table.updates_after(Some(table.index() - 1)).snapshot);
    }
}
