//! Backends on the endpoint list.

/// State of a backend on the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new work.
    #[default]
    Ready,
    /// Finishes its work and accepts no more.
    Draining,
    /// Removed from the list.
    Removed,
}

/// Entry of a backend on the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEndpoint {
    /// Number of the backend at this gateway.
    pub id: u32,
    /// Key of the backend, the same at all gateways.
    pub key: u64,
    /// State on the list.
    pub state: EndpointState,
    /// Number of its cell; `None` if it is unknown, which permits no repeat of a request at another backend.
    pub cell: Option<u32>,
    /// Number of its zone; `None` if it is unknown.
    pub zone: Option<u32>,
    /// Number of its instance type.
    pub instance_type: u32,
    /// Time at which it started, ms; 0 for long ago.
    pub started_ms: f64,
    /// Time at which operators lifted a ban during which it was restarted, ms; 0 for never.
    pub reenabled_ms: f64,
    /// Registered size relative to the other backends; 0 if unknown.
    pub weight: f64,
    /// Share of new work, relative to backends of share 1, as set by operators: above 0, at most 1.
    pub weight_share: f64,
}

impl Default for BackendEndpoint {
    fn default() -> Self {
        BackendEndpoint {
            id: 0,
            key: 0,
            state: EndpointState::Ready,
            cell: None,
            zone: None,
            instance_type: 0,
            started_ms: 0.0,
            reenabled_ms: 0.0,
            weight: 0.0,
            weight_share: 1.0,
        }
    }
}

impl BackendEndpoint {
    /// Start of its warm-up: its start or its return after a ban, whichever came last.
    #[must_use]
    pub fn slow_start_from_ms(&self) -> f64 {
        self.started_ms.max(self.reenabled_ms)
    }
}

/// Scope of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Changed entries only.
    Delta,
    /// All entries.
    Full,
    /// All entries, as this gateway last knew them.
    Cached,
    /// The list is not available; the previous one stays in use.
    Failed,
}
