//! Backends of a connection ramp, and the sort keys by which they are chosen.

/// State of a backend's first connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionState {
    /// No slot is assigned: the backend is outside the subset, or was not needed yet.
    Deferred,
    /// A slot is assigned at this time, Unix time in µs.
    Queued { at_us: u64 },
    /// The first connection is being opened.
    Connecting,
    /// The backend may be selected.
    Open,
}

/// A listed backend that accepts requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backend {
    pub(super) key: u64,
    /// When its warm-up started, Unix time in ms; identifies its incarnation.
    pub(super) warming_from_ms: f64,
    /// Rank among all backends for this gateway: the bits of [`Subset::threshold`], which sort like the
    /// number.
    pub(super) rank: u64,
    pub(super) state: ConnectionState,
    /// Consecutive first connections that failed.
    pub(super) failures: u32,
}

impl Backend {
    /// Whether its first connection is queued or being opened, and none has failed before.
    pub(super) fn is_pending(&self) -> bool {
        let has_slot = matches!(self.state, ConnectionState::Queued { .. } | ConnectionState::Connecting);
        has_slot && self.failures == 0
    }
}

/// A deferred backend, ordered by its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedBackend {
    pub(super) rank: u64,
    pub(super) id: u32,
}

/// A deferred backend, ordered by this gateway's slot for it in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SlottedBackend {
    pub(super) slot_index: u32,
    pub(super) id: u32,
}

/// A queued backend, ordered by the time of its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuedBackend {
    pub(super) at_us: u64,
    pub(super) id: u32,
}
