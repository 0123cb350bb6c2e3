//! Backends, as the endpoint list has them.

/// State of a backend, as the endpoint list has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Removed.
    Removed,
}

/// A backend's record on the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEndpoint {
    /// Its number at this gateway.
    pub id: u32,
    /// What it is known by at all gateways.
    pub key: u64,
    /// Its state.
    pub state: EndpointState,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: u32,
    /// Its instance type.
    pub instance_type: u32,
    /// When it started; 0 for long ago.
    pub started_ms: f64,
    /// When operators gave it back after a ban, in which it was restarted; 0 for never.
    pub reenabled_ms: f64,
    /// Its registered size against the others', where known.
    pub weight: f64,
    /// Its share of new work against those of share 1, as operators want it: above 0, at most 1.
    pub weight_share: f64,
}

impl Default for BackendEndpoint {
    fn default() -> Self {
        BackendEndpoint {
            id: 0,
            key: 0,
            state: EndpointState::Ready,
            cell: 0,
            zone: 0,
            instance_type: 0,
            started_ms: 0.0,
            reenabled_ms: 0.0,
            weight: 0.0,
            weight_share: 1.0,
        }
    }
}

impl BackendEndpoint {
    /// From when it warms up: its start, or its return after a ban, whichever came last.
    #[must_use]
    pub fn slow_start_from_ms(&self) -> f64 {
        self.started_ms.max(self.reenabled_ms)
    }
}

/// How an update of the endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Changed entries only.
    Delta,
    /// All entries.
    Full,
    /// All entries, as this gateway last saw them.
    Cached,
    /// The list could not be had; the old one stays.
    Failed,
}
