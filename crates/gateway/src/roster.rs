//! The list of backends as discovery tells it, and what operators' orders make of it. No I/O, no clock.

use std::collections::HashMap;
use std::net::SocketAddr;

use fleet::{DesiredState, EffectiveState, Subject};
use gateway_policy::interface::{BackendEndpoint, EndpointState};
use maintenance::MaintenanceState;

use crate::listing::{Endpoint, Status};

/// What operators want: the agent's orders, and calls at the second address. Each holds by itself: a backend
/// takes work only where neither holds it out.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    pub desired: &'a DesiredState,
    pub book: &'a MaintenanceState,
}

/// A backend on the list.
#[derive(Debug)]
pub struct Row {
    /// The number that the decisions know it by.
    pub number: u32,
    /// The last that discovery told.
    pub endpoint: Endpoint,
    /// What orders make of it.
    pub effect: EffectiveState,
    /// Since when a call bans it, Unix time in ms.
    pub banned_ms: Option<f64>,
    /// When a call gave it back, Unix time in ms; 0 for never.
    returned_ms: f64,
}

impl Row {
    /// Looks anew at what operators want of it; tells whether that is something else.
    fn want(&mut self, wanted: Wanted<'_>) -> bool {
        let e = &self.endpoint;
        let effect = wanted.desired.effective_state(&e.name, e.group, &e.kind);
        let (banned, returned) = (wanted.book.banned_ms(&e.name), wanted.book.reenabled_ms(&e.name));
        // A return that is forgotten is one of a backend that is warm.
        let other = effect != self.effect || banned != self.banned_ms || returned > self.returned_ms;
        (self.effect, self.banned_ms) = (effect, banned);
        self.returned_ms = self.returned_ms.max(returned);
        other
    }
}

/// All backends on the list, by name.
#[derive(Debug, Default)]
pub struct Roster {
    /// Each by itself, as a table that grows keeps room for as many again.
    rows: HashMap<String, Box<Row>>,
    /// The last number given; none is used again.
    last: u32,
    /// Grows with each change of a row.
    changes: u64,
    /// The greatest weight that is ordered, 1 at least.
    greatest: f64,
}

impl Roster {
    /// An empty list.
    pub fn new() -> Roster {
        Roster { greatest: 1.0, ..Roster::default() }
    }

    /// Takes a line of discovery's in, and gives the one that the decisions are to have; `None` for a
    /// backend that is gone and was not known.
    pub fn take(
        &mut self,
        endpoint: Endpoint,
        wanted: Wanted<'_>,
        zones: &[String],
    ) -> Option<BackendEndpoint> {
        let name = endpoint.name.clone();
        self.changes += 1;
        match self.rows.get_mut(&name) {
            Some(row) => {
                row.endpoint = endpoint;
                row.want(wanted);
            }
            None if matches!(endpoint.status, Status::Deleted) => return None,
            None => {
                self.last += 1;
                let (effect, number) = (EffectiveState { drained_by: None, weight: 1.0 }, self.last);
                let mut row = Row { number, endpoint, effect, banned_ms: None, returned_ms: 0.0 };
                row.want(wanted);
                self.rows.insert(name.clone(), Box::new(row));
            }
        }
        self.rows.get(&name).map(|row| self.entry(row, zones))
    }

    /// What the decisions have of a backend, with its address.
    pub fn held(&self, name: &str, zones: &[String]) -> Option<(BackendEndpoint, SocketAddr)> {
        self.rows.get(name).map(|row| (self.entry(row, zones), row.endpoint.address))
    }

    /// Forgets those that are not to be kept. A number is never used again.
    pub fn keep_only(&mut self, keep: impl Fn(u32) -> bool) {
        let before = self.rows.len();
        self.rows.retain(|_, row| keep(row.number));
        self.changes += u64::from(self.rows.len() != before);
    }

    /// Forgets one that is gone.
    pub fn remove(&mut self, name: &str) {
        self.rows.remove(name);
    }

    /// Whether a backend is on the list, in whatever state.
    pub fn lists(&self, name: &str) -> bool {
        self.rows.contains_key(name)
    }

    /// Works out anew what operators make of the list. Gives the lines that the decisions are to have.
    pub fn reorder(&mut self, wanted: Wanted<'_>, zones: &[String]) -> Vec<(BackendEndpoint, SocketAddr)> {
        let mut changed = Vec::new();
        for (name, row) in &mut self.rows {
            if row.want(wanted) {
                changed.push(name.clone());
            }
        }
        self.changes += u64::from(!changed.is_empty());
        if self.weigh() {
            return self.all(zones);
        }
        // In the order of their numbers, so that the same orders lead to the same decisions.
        let mut rows: Vec<&Row> =
            changed.iter().filter_map(|name| self.rows.get(name).map(AsRef::as_ref)).collect();
        rows.sort_unstable_by_key(|row| row.number);
        rows.into_iter().map(|row| (self.entry(row, zones), row.endpoint.address)).collect()
    }

    /// All lines, if the list has changed so that all shares have; else none.
    pub fn reshare(&mut self, zones: &[String]) -> Vec<(BackendEndpoint, SocketAddr)> {
        if self.weigh() {
            self.all(zones)
        } else {
            Vec::new()
        }
    }

    fn all(&self, zones: &[String]) -> Vec<(BackendEndpoint, SocketAddr)> {
        let mut all: Vec<_> =
            self.rows.values().map(|row| (self.entry(row, zones), row.endpoint.address)).collect();
        all.sort_unstable_by_key(|(entry, _)| entry.id);
        all
    }

    /// Looks for the greatest weight; tells whether it is another.
    fn weigh(&mut self) -> bool {
        let greatest = self.rows.values().map(|row| row.effect.weight).fold(1.0, f64::max);
        let other = greatest != self.greatest;
        self.greatest = greatest;
        other
    }

    /// The line of a backend for the decisions. Discovery's DRAINING and DELETED win over every order.
    fn entry(&self, row: &Row, zones: &[String]) -> BackendEndpoint {
        let endpoint = &row.endpoint;
        let zone = zones.iter().position(|z| *z == endpoint.zone);
        let state = match EndpointState::from(endpoint.status) {
            EndpointState::Ready if row.effect.drained_by.is_some() || row.banned_ms.is_some() => {
                EndpointState::Draining
            }
            told => told,
        };
        BackendEndpoint {
            id: row.number,
            state,
            cell: endpoint.group,
            zone: zone.map_or(u32::MAX, |z| z as u32),
            // Numbers are this gateway's own; names are everybody's.
            key: hash(&endpoint.name),
            kind: hash(&endpoint.kind) as u32,
            started_ms: endpoint.since_ms,
            reenabled_ms: row.returned_ms,
            weight: endpoint.weight,
            weight_share: (row.effect.weight / self.greatest).min(1.0),
        }
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values().map(AsRef::as_ref)
    }

    /// Those that a subject covers.
    pub fn covered<'a>(&'a self, subject: &'a Subject) -> impl Iterator<Item = &'a Row> {
        let covers = |e: &Endpoint| subject.covers(&e.name, e.group, &e.kind);
        self.rows().filter(move |row| covers(&row.endpoint))
    }

    /// Grows with each change of a row.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

/// FNV-1a (Fowler, Noll and Vo, 1991): the same in every build, as gateways of several may share a fleet.
fn hash(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

#[cfg(test)]
mod tests {
    use super::*;
    use fleet::{Change, Order, Revision};

    fn endpoint(name: &str, status: Status) -> Endpoint {
        let address = "127.0.0.1:1".parse().expect("an address");
        let (zone, kind) = ("room".to_string(), "m".to_string());
        Endpoint { name: name.to_string(), address, zone, kind, group: 3, status, weight: 1.0, since_ms: 0.0 }
    }

    fn order(desired: &mut DesiredState, seq: u64, subject: &str, change: Change) {
        let (id, revision) = (format!("o{seq}").parse().expect("an id"), Revision { term: 1, seq });
        desired.apply(&Order { id, revision, subject: subject.parse().expect("one"), change });
    }

    fn only(desired: &DesiredState) -> Wanted<'_> {
        static NONE: std::sync::OnceLock<MaintenanceState> = std::sync::OnceLock::new();
        Wanted { desired, book: NONE.get_or_init(MaintenanceState::default) }
    }

    fn state(roster: &Roster, name: &str) -> EndpointState {
        roster.entry(&roster.rows[name], &[]).state
    }

    #[test]
    fn discovery_wins_over_an_undrain_and_an_order_over_serving() {
        let (mut roster, mut desired) = (Roster::new(), DesiredState::default());
        order(&mut desired, 1, "a", Change::Drain);
        order(&mut desired, 2, "b", Change::Undrain);
        roster.take(endpoint("a", Status::Serving), only(&desired), &[]);
        roster.take(endpoint("b", Status::Draining), only(&desired), &[]);
        assert_eq!(
            (state(&roster, "a"), state(&roster, "b")),
            (EndpointState::Draining, EndpointState::Draining)
        );
        order(&mut desired, 3, "a", Change::Undrain);
        let changed = roster.reorder(only(&desired), &[]);
        assert_eq!(changed.len(), 1);
        assert_eq!(state(&roster, "a"), EndpointState::Ready);
        // Ordered by its group, one that comes later is drained from the first.
        order(&mut desired, 4, "group/3", Change::Drain);
        roster.take(endpoint("c", Status::Serving), only(&desired), &[]);
        assert_eq!(state(&roster, "c"), EndpointState::Draining);
        roster.take(endpoint("c", Status::Deleted), only(&desired), &[]);
        assert_eq!(state(&roster, "c"), EndpointState::Removed);
    }

    #[test]
    fn shares_are_weights_over_the_greatest() {
        let (mut roster, mut desired) = (Roster::new(), DesiredState::default());
        for name in ["a", "b", "c"] {
            roster.take(endpoint(name, Status::Serving), only(&desired), &[]);
        }
        order(&mut desired, 1, "a", Change::Weight(0.5));
        assert_eq!(roster.reorder(only(&desired), &[]).len(), 1);
        let share = |roster: &Roster, name: &str| roster.entry(&roster.rows[name], &[]).weight_share;
        assert_eq!((share(&roster, "a"), share(&roster, "b")), (0.5, 1.0));
        order(&mut desired, 2, "b", Change::Weight(4.0));
        let changed = roster.reorder(only(&desired), &[]);
        assert_eq!(changed.iter().map(|(e, _)| e.id).collect::<Vec<_>>(), [1, 2, 3]);
        let shares = ["a", "b", "c"].map(|n| share(&roster, n));
        assert_eq!(shares, [0.125, 1.0, 0.25]);
    }

    #[test]
    fn a_number_is_never_used_again() {
        let (mut roster, desired) = (Roster::new(), DesiredState::default());
        let first = roster.take(endpoint("a", Status::Serving), only(&desired), &[]).map(|e| e.id);
        roster.keep_only(|_| false);
        assert!(roster.take(endpoint("a", Status::Deleted), only(&desired), &[]).is_none());
        let second = roster.take(endpoint("a", Status::Serving), only(&desired), &[]).map(|e| e.id);
        assert_ne!(first, second);
    }

    #[test]
    fn a_ban_holds_through_another_life_and_a_return_is_cold() {
        let (mut roster, desired, mut book) =
            (Roster::new(), DesiredState::default(), MaintenanceState::default());
        let call = |line: &str| maintenance::Command::read(line.as_bytes()).expect("a call");
        roster.take(endpoint("a", Status::Serving), only(&desired), &[]);
        book.execute(&call("DISABLE a"), true, 5.0).expect("it is listed");
        assert_eq!(roster.reorder(Wanted { desired: &desired, book: &book }, &[]).len(), 1);
        assert_eq!(state(&roster, "a"), EndpointState::Draining);
        let again = Endpoint { since_ms: 7.0, ..endpoint("a", Status::Serving) };
        roster.take(again, Wanted { desired: &desired, book: &book }, &[]);
        assert_eq!(state(&roster, "a"), EndpointState::Draining);
        book.execute(&call("ENABLE a"), true, 9.0).expect("it is banned");
        let changed = roster.reorder(Wanted { desired: &desired, book: &book }, &[]);
        assert_eq!(changed[0].0.state, EndpointState::Ready);
        assert_eq!((changed[0].0.started_ms, changed[0].0.slow_start_from_ms()), (7.0, 9.0));
    }
}
