//! All backends on the endpoint list, and what operators make of them. No I/O, no clock.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;

use fleet::{DesiredState, EffectiveState, Subject};
use gateway_policy::interface::{BackendEndpoint, EndpointState};
use maintenance::MaintenanceState;

use crate::endpoint_list::{Endpoint, Status};

/// What operators want: the agent's orders, and commands at the second address. Each holds by itself: a
/// backend takes work only where neither keeps it out.
#[derive(Clone, Copy, Debug)]
pub struct Overrides<'a> {
    pub desired: &'a DesiredState,
    pub maintenance: &'a MaintenanceState,
}

/// A backend on the list.
#[derive(Debug)]
pub struct BackendRow {
    /// The number that the policy knows it by.
    pub number: u32,
    /// The last that discovery told.
    pub endpoint: Endpoint,
    /// What orders make of it.
    pub effect: EffectiveState,
    /// Since when a command bans it, Unix time in ms.
    pub banned_ms: Option<f64>,
    /// When a command gave it back, Unix time in ms; 0 for never.
    returned_ms: f64,
}

impl BackendRow {
    /// Whether discovery says that it serves.
    pub fn is_serving(&self) -> bool {
        matches!(self.endpoint.status, Status::Serving)
    }

    /// Looks anew at what operators want of it; returns whether that is something else.
    fn apply(&mut self, overrides: Overrides<'_>) -> bool {
        let e = &self.endpoint;
        let effect = overrides.desired.effective_state(&e.name, e.group, &e.kind);
        let (banned, returned) =
            (overrides.maintenance.banned_ms(&e.name), overrides.maintenance.reenabled_ms(&e.name));
        // A return that is forgotten is one of a backend that is warm.
        let other = effect != self.effect || banned != self.banned_ms || returned > self.returned_ms;
        (self.effect, self.banned_ms) = (effect, banned);
        self.returned_ms = self.returned_ms.max(returned);
        other
    }
}

/// All backends on the list, by name.
#[derive(Debug, Default)]
pub struct BackendTable {
    /// Each by itself, as a table that grows keeps room for as many again.
    rows: HashMap<String, Box<BackendRow>>,
    /// The last number given; none is used again.
    last: u32,
    /// Grows with each change of a row.
    changes: u64,
    /// The greatest weight that is ordered, 1 at least.
    greatest: f64,
}

impl BackendTable {
    /// An empty list.
    pub fn new() -> BackendTable {
        BackendTable { greatest: 1.0, ..BackendTable::default() }
    }

    /// Applies a line of discovery's, and returns the one that the policy is to have; `None` for a backend
    /// that is gone and was not known.
    pub fn update(
        &mut self,
        endpoint: Endpoint,
        overrides: Overrides<'_>,
        zones: &[String],
    ) -> Option<BackendEndpoint> {
        let name = endpoint.name.clone();
        self.changes += 1;
        match self.rows.get_mut(&name) {
            Some(row) => {
                row.endpoint = endpoint;
                row.apply(overrides);
            }
            None if matches!(endpoint.status, Status::Deleted) => return None,
            None => {
                self.last += 1;
                let (effect, number) = (EffectiveState { drained_by: None, weight: 1.0 }, self.last);
                let mut row = BackendRow { number, endpoint, effect, banned_ms: None, returned_ms: 0.0 };
                row.apply(overrides);
                self.rows.insert(name.clone(), Box::new(row));
            }
        }
        self.rows.get(&name).map(|row| self.entry(row, zones))
    }

    /// What the policy has of a backend, with its address.
    pub fn entry_of(&self, name: &str, zones: &[String]) -> Option<(BackendEndpoint, SocketAddr)> {
        self.rows.get(name).map(|row| (self.entry(row, zones), row.endpoint.address))
    }

    /// Forgets those that are not to be kept. A number is never used again.
    pub fn retain(&mut self, keep: impl Fn(u32) -> bool) {
        let before = self.rows.len();
        self.rows.retain(|_, row| keep(row.number));
        self.changes += u64::from(self.rows.len() != before);
    }

    /// Forgets one that is gone.
    pub fn remove(&mut self, name: &str) {
        self.rows.remove(name);
    }

    /// Whether a backend is on the list, in whatever state.
    pub fn contains(&self, name: &str) -> bool {
        self.rows.contains_key(name)
    }

    /// Works out anew what operators make of the list. Returns the lines that the policy is to have.
    pub fn apply_overrides(
        &mut self,
        overrides: Overrides<'_>,
        zones: &[String],
    ) -> Vec<(BackendEndpoint, SocketAddr)> {
        let mut changed = Vec::new();
        for (name, row) in &mut self.rows {
            if row.apply(overrides) {
                changed.push(name.clone());
            }
        }
        self.changes += u64::from(!changed.is_empty());
        if self.update_greatest_weight() {
            return self.all(zones);
        }
        // In the order of their numbers, so that the same orders lead to the same decisions.
        let mut rows: Vec<&BackendRow> =
            changed.iter().filter_map(|name| self.rows.get(name).map(AsRef::as_ref)).collect();
        rows.sort_unstable_by_key(|row| row.number);
        rows.into_iter().map(|row| (self.entry(row, zones), row.endpoint.address)).collect()
    }

    /// All lines, if the list has changed so that all shares have; else none.
    pub fn update_shares(&mut self, zones: &[String]) -> Vec<(BackendEndpoint, SocketAddr)> {
        if self.update_greatest_weight() {
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

    /// Looks for the greatest weight; returns whether it is another.
    fn update_greatest_weight(&mut self) -> bool {
        let greatest = self.rows.values().map(|row| row.effect.weight).fold(1.0, f64::max);
        let other = greatest != self.greatest;
        self.greatest = greatest;
        other
    }

    /// The line of a backend for the policy. Discovery's DRAINING and DELETED win over every order.
    fn entry(&self, row: &BackendRow, zones: &[String]) -> BackendEndpoint {
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
            instance_type: hash(&endpoint.kind) as u32,
            started_ms: endpoint.since_ms,
            reenabled_ms: row.returned_ms,
            weight: endpoint.weight,
            weight_share: (row.effect.weight / self.greatest).min(1.0),
        }
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = &BackendRow> {
        self.rows.values().map(AsRef::as_ref)
    }

    /// Those that a subject covers.
    pub fn covered<'a>(&'a self, subject: &'a Subject) -> impl Iterator<Item = &'a BackendRow> {
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
