//! Attempts whose outcome the policy does not have yet.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::task::AbortHandle;

use crate::input::AttemptKey;
use crate::resp::Call;

/// An attempt whose outcome the policy does not have yet.
pub(super) struct Attempt {
    pub call: Arc<Call>,
    pub backend: u32,
    /// When the policy decided on it, Unix time in ms.
    pub sent_ms: f64,
    /// The deadline of its request, Unix time in ms.
    pub expires_ms: f64,
    /// Its last byte has to be written by then, Unix time in ms.
    pub write_deadline_ms: f64,
    /// When its answer began to come, Unix time in ms.
    pub response_started_ms: Option<f64>,
    pub phase: Phase,
}

/// How far an attempt has come.
pub(super) enum Phase {
    /// Nothing is written; it never ran.
    Connecting,
    /// Writing has begun. Ending the task closes the connection.
    Writing(AbortHandle),
}

/// All attempts in flight.
#[derive(Default)]
pub(super) struct Attempts {
    in_flight: HashMap<AttemptKey, Attempt>,
}

impl Attempts {
    /// Adds an attempt that begins.
    pub fn insert(&mut self, key: AttemptKey, attempt: Attempt) {
        self.in_flight.insert(key, attempt);
    }

    /// An attempt in flight.
    pub fn get(&self, key: AttemptKey) -> Option<&Attempt> {
        self.in_flight.get(&key)
    }

    /// An attempt in flight, to be changed.
    pub fn get_mut(&mut self, key: AttemptKey) -> Option<&mut Attempt> {
        self.in_flight.get_mut(&key)
    }

    /// Takes out an attempt that has ended.
    pub fn remove(&mut self, key: AttemptKey) -> Option<Attempt> {
        self.in_flight.remove(&key)
    }

    /// Whether an attempt is in flight.
    pub fn contains(&self, key: AttemptKey) -> bool {
        self.in_flight.contains_key(&key)
    }

    /// Attempts in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len()
    }

    /// Attempts in flight at any of some backends.
    pub fn at_any_of(&self, backends: &[u32]) -> usize {
        self.in_flight.values().filter(|attempt| backends.contains(&attempt.backend)).count()
    }

    /// Attempts in flight by backend.
    pub fn by_backend(&self) -> HashMap<u32, u64> {
        let mut counts = HashMap::new();
        for attempt in self.in_flight.values() {
            *counts.entry(attempt.backend).or_default() += 1;
        }
        counts
    }
}
