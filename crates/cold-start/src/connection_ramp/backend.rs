//! Backends of a ramp, and the orders in which they are chosen.

/// Whether a backend has its first connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionState {
    /// It is outside the subset, or was not needed yet.
    Deferred,
    /// It has a slot at this moment, Unix time in µs.
    Queued { at_us: u64 },
    /// The first connection is being opened.
    Connecting,
    /// The backend may be selected.
    Open,
}

/// A backend that takes work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Backend {
    pub(super) key: u64,
    /// From when it is warming up, Unix time in ms: tells its incarnations apart.
    pub(super) warming_from_ms: f64,
    /// Rank among all backends for this gateway: the bits of [`Subset::threshold`], which sort as it does.
    pub(super) rank: u64,
    pub(super) state: ConnectionState,
    /// First connections in a row that failed.
    pub(super) failures: u32,
}

impl Backend {
    /// Whether its first connection is to come and none has failed yet.
    pub(super) fn is_pending(&self) -> bool {
        let has_turn = matches!(self.state, ConnectionState::Queued { .. } | ConnectionState::Connecting);
        has_turn && self.failures == 0
    }
}

/// A deferred backend, by its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedBackend {
    pub(super) rank: u64,
    pub(super) id: u32,
}

/// A deferred backend, by the slot that this gateway has for it in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SlottedBackend {
    pub(super) slot_index: u32,
    pub(super) id: u32,
}

/// A backend in the queue, by its moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuedBackend {
    pub(super) at_us: u64,
    pub(super) id: u32,
}
