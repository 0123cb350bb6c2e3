//! Attempts whose outcome has not been reported to the policy.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::task::AbortHandle;

use crate::input::AttemptKey;
use crate::resp::Call;

/// An attempt whose outcome has not been reported to the policy.
pub(super) struct Attempt {
    pub call: Arc<Call>,
    pub backend: u32,
    /// When the policy decided to send it, Unix time in ms.
    pub decided_ms: f64,
    /// Deadline of its request, Unix time in ms.
    pub expires_ms: f64,
    /// Time by which its last byte must be written, Unix time in ms.
    pub write_deadline_ms: f64,
    /// When the first byte of its answer arrived, Unix time in ms.
    pub response_started_ms: Option<f64>,
    pub phase: Phase,
}

/// Progress of an attempt.
pub(super) enum Phase {
    /// Waiting for a connection. Nothing was written, so the backend cannot have run the request.
    Connecting,
    /// Being written, or awaiting its answer. Aborting the task closes the connection.
    Writing(AbortHandle),
}

/// All attempts in flight.
#[derive(Default)]
pub(super) struct Attempts {
    in_flight: HashMap<AttemptKey, Attempt>,
}

impl Attempts {
    /// Adds a new attempt.
    pub fn insert(&mut self, key: AttemptKey, attempt: Attempt) {
        self.in_flight.insert(key, attempt);
    }

    /// Returns an attempt in flight.
    pub fn get(&self, key: AttemptKey) -> Option<&Attempt> {
        self.in_flight.get(&key)
    }

    /// Returns an attempt in flight for modification.
    pub fn get_mut(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        self.in_flight.get_mut(&key)
    }

    /// Removes an attempt that has ended and returns it; `None` if it has already been removed.
    pub fn remove(&mut self, key: AttemptKey) -> Option<Attempt> {
        self.in_flight.remove(&key)
    }

    /// Returns whether an attempt is in flight.
    pub fn contains(&self, key: AttemptKey) -> bool {
        self.in_flight.contains_key(&key)
    }

    /// Number of attempts in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Number of attempts in flight to the given backends.
    pub fn count_at(&self, backends: &[u32]) -> usize {
        self.in_flight.values().filter(|attempt| backends.contains(&attempt.backend)).count()
    }

    /// Number of attempts in flight by backend.
    pub fn by_backend(&self) -> HashMap<u32, u64> {
        let mut counts = HashMap::new();
        for attempt in self.in_flight.values() {
            *counts.entry(attempt.backend).or_default() += 1;
        }
        counts
    }
}
