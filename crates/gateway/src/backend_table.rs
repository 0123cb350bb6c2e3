//! All backends on the endpoint list, with operators' overrides. No I/O and no clock.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;

use fleet::{DesiredState, EffectiveState, Subject};
use gateway_policy::interface::{BackendEndpoint, EndpointState};
use maintenance::MaintenanceState;

use crate::endpoint_list::{Endpoint, Status};

/// Overrides by operators: the agent's orders and commands at the management address. They are independent: a
/// backend receives requests only if neither excludes it.
#[derive(Clone, Copy, Debug)]
pub struct Overrides<'a> {
    pub desired: &'a DesiredState,
    pub maintenance: &'a MaintenanceState,
}

/// A backend on the list.
#[derive(Debug)]
pub struct BackendRow {
    /// The id that the policy uses for it.
    pub number: u32,
    /// The latest entry from discovery.
    pub endpoint: Endpoint,
    /// Combined effect of all orders that cover the backend.
    pub effect: EffectiveState,
    /// Start of its ban by a command, Unix time in ms; `None` if it is not banned.
    pub banned_ms: Option<f64>,
    /// End of its last ban, Unix time in ms; 0 if no ban of it has ended.
    reenabled_ms: f64,
}

impl BackendRow {
    /// Returns whether discovery reports it as serving.
    pub fn is_serving(&self) -> bool {
        matches!(self.endpoint.status, Status::Serving)
    }

    /// Recomputes the overrides of this backend; returns whether they have changed.
    fn update_overrides(&mut self, overrides: Overrides<'_>) -> bool {
        let e = &self.endpoint;
        let effect = overrides.desired.effective_state(&e.name, e.group, &e.instance_type);
        let (banned_ms, reenabled_ms) =
            (overrides.maintenance.banned_ms(&e.name), overrides.maintenance.reenabled_ms(&e.name));
        // The maintenance state forgets the end of a ban once the backend has warmed up. It then reports an
        // earlier time, which is not a change.
        let changed =
            effect != self.effect || banned_ms != self.banned_ms || reenabled_ms > self.reenabled_ms;
        (self.effect, self.banned_ms) = (effect, banned_ms);
        self.reenabled_ms = self.reenabled_ms.max(reenabled_ms);
        changed
    }
}

/// All backends on the list, by name.
#[derive(Debug, Default)]
pub struct BackendTable {
    /// Rows are boxed because a hash table doubles its capacity when it grows, and without boxes each unused
    /// entry would take the size of a row.
    rows: HashMap<String, Box<BackendRow>>,
    /// The last number assigned. Numbers are never reused.
    last_number: u32,
    /// Increases with each change of a row.
    changes: u64,
    /// The greatest weight set by orders, at least 1.
    max_weight: f64,
}

impl BackendTable {
    /// Creates an empty table.
    pub fn new() -> BackendTable {
        BackendTable { max_weight: 1.0, ..BackendTable::default() }
    }

    /// Applies an entry from discovery and returns the endpoint for the policy; `None` for the removal of an
    /// unknown backend.
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
                row.endpoint = endpoint.with_last_known(&row.endpoint);
                row.update_overrides(overrides);
            }
            None if matches!(endpoint.status, Status::Deleted) => return None,
            None => {
                self.last_number += 1;
                let (effect, number) = (EffectiveState { drained_by: None, weight: 1.0 }, self.last_number);
                let mut row = BackendRow { number, endpoint, effect, banned_ms: None, reenabled_ms: 0.0 };
                row.update_overrides(overrides);
                self.rows.insert(name.clone(), Box::new(row));
            }
        }
        self.rows.get(&name).map(|row| self.policy_endpoint(row, zones))
    }

    /// Records that the latest entry of a backend was unreadable: the backend keeps its state, but the entry
    /// may have changed its cell and zone.
    pub fn mark_unreadable(&mut self, name: &str) {
        if let Some(row) = self.rows.get_mut(name) {
            (row.endpoint.unknown.group, row.endpoint.unknown.zone) = (true, true);
        }
    }

    /// Returns the policy's endpoint of a backend, with its address.
    pub fn policy_endpoint_named(
        &self,
        name: &str,
        zones: &[String],
    ) -> Option<(BackendEndpoint, SocketAddr)> {
        self.rows.get(name).map(|row| (self.policy_endpoint(row, zones), row.endpoint.address))
    }

    /// Removes the rows whose number does not satisfy `keep`. Their numbers are never reused.
    pub fn retain(&mut self, keep: impl Fn(u32) -> bool) {
        let before = self.rows.len();
        self.rows.retain(|_, row| keep(row.number));
        self.changes += u64::from(self.rows.len() != before);
    }

    /// Removes a backend.
    pub fn remove(&mut self, name: &str) {
        self.rows.remove(name);
    }

    /// Returns whether a backend is on the list, in any state.
    pub fn contains(&self, name: &str) -> bool {
        self.rows.contains_key(name)
    }

    /// Recomputes the overrides of all backends. Returns the changed endpoints for the policy; all of
    /// them if the greatest weight has changed, which changes every share.
    pub fn apply_overrides(
        &mut self,
        overrides: Overrides<'_>,
        zones: &[String],
    ) -> Vec<(BackendEndpoint, SocketAddr)> {
        let mut changed = Vec::new();
        for (name, row) in &mut self.rows {
            if row.update_overrides(overrides) {
                changed.push(name.clone());
            }
        }
        self.changes += u64::from(!changed.is_empty());
        if self.update_max_weight() {
            return self.all_endpoints(zones);
        }
        // Sorted by number so that the same orders lead to the same decisions.
        let mut rows: Vec<&BackendRow> =
            changed.iter().filter_map(|name| self.rows.get(name).map(AsRef::as_ref)).collect();
        rows.sort_unstable_by_key(|row| row.number);
        rows.into_iter().map(|row| (self.policy_endpoint(row, zones), row.endpoint.address)).collect()
    }

    /// Returns all endpoints if a list update has changed the greatest weight, and with it every share;
    /// otherwise none.
    pub fn update_weight_shares(&mut self, zones: &[String]) -> Vec<(BackendEndpoint, SocketAddr)> {
        if self.update_max_weight() {
            self.all_endpoints(zones)
        } else {
            Vec::new()
        }
    }

    fn all_endpoints(&self, zones: &[String]) -> Vec<(BackendEndpoint, SocketAddr)> {
        let mut all: Vec<_> =
            self.rows.values().map(|row| (self.policy_endpoint(row, zones), row.endpoint.address)).collect();
        all.sort_unstable_by_key(|(entry, _)| entry.id);
        all
    }

    /// Recomputes the greatest weight; returns whether it has changed.
    fn update_max_weight(&mut self) -> bool {
        let max_weight = self.rows.values().map(|row| row.effect.weight).fold(1.0, f64::max);
        let changed = max_weight != self.max_weight;
        self.max_weight = max_weight;
        changed
    }

    /// Returns the policy's endpoint of a backend. Discovery's DRAINING and DELETED take precedence over
    /// all orders.
    fn policy_endpoint(&self, row: &BackendRow, zones: &[String]) -> BackendEndpoint {
        let endpoint = &row.endpoint;
        // A zone that the settings do not name is as unknown as a missing one.
        let zone = zones.iter().position(|z| *z == endpoint.zone).filter(|_| !endpoint.unknown.zone);
        let state = match EndpointState::from(endpoint.status) {
            EndpointState::Ready if row.effect.drained_by.is_some() || row.banned_ms.is_some() => {
                EndpointState::Draining
            }
            state => state,
        };
        BackendEndpoint {
            id: row.number,
            state,
            cell: (!endpoint.unknown.group).then_some(endpoint.group),
            zone: zone.map(|index| index as u32),
            // Hashed from the name, which is the same for all gateways; numbers are local to this one.
            key: fnv1a(&endpoint.name),
            instance_type: fnv1a(&endpoint.instance_type) as u32,
            started_ms: endpoint.since_ms,
            reenabled_ms: row.reenabled_ms,
            weight: endpoint.weight,
            weight_share: (row.effect.weight / self.max_weight).min(1.0),
        }
    }

    /// Iterates over all rows.
    pub fn rows(&self) -> impl Iterator<Item = &BackendRow> {
        self.rows.values().map(AsRef::as_ref)
    }

    /// Iterates over the rows that a subject covers.
    pub fn matching<'a>(&'a self, subject: &'a Subject) -> impl Iterator<Item = &'a BackendRow> {
        let covers = |e: &Endpoint| subject.covers(&e.name, e.group, &e.instance_type);
        self.rows().filter(move |row| covers(&row.endpoint))
    }

    /// Returns a number that increases with each change of a row.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

/// FNV-1a hash (Fowler, Noll and Vo, 1991). Must be the same in every build, because gateways of
/// different builds may share a fleet.
fn fnv1a(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}
