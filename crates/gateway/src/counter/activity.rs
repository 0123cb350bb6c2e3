//! Activity of the counter connections, shared between their tasks and [`super::Counter`].

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::silence::Silence;
use super::CONNECTIONS;

/// When data last arrived on each connection, and which call was last written to it. Clones share the state.
#[derive(Clone, Debug)]
pub(super) struct ConnectionActivity {
    started: Instant,
    /// By connection, when data last arrived, in microseconds since `started`; 0 if never.
    received_us: Arc<[AtomicU64; CONNECTIONS]>,
    /// By connection, number of the last call written. Call numbers increase.
    written: Arc<[AtomicU64; CONNECTIONS]>,
}

impl ConnectionActivity {
    /// Creates the state for connections without any activity.
    pub fn new() -> Self {
        ConnectionActivity { started: Instant::now(), received_us: Arc::default(), written: Arc::default() }
    }

    /// Records that data arrived on a connection.
    pub fn record_received(&self, index: usize) {
        let now_us = self.started.elapsed().as_micros() as u64;
        self.received_us[index].store(now_us.max(1), Ordering::Relaxed);
    }

    /// Records that a call was written to a connection.
    pub fn record_written(&self, index: usize, number: u64) {
        self.written[index].store(number, Ordering::Relaxed);
    }

    /// Returns whether a call was written to a connection.
    pub fn has_written(&self, index: usize, number: u64) -> bool {
        number <= self.written[index].load(Ordering::Relaxed)
    }

    /// Returns the time since data last arrived on a connection; `None` if never.
    fn received_ago(&self, index: usize) -> Option<Duration> {
        let at_us = self.received_us[index].load(Ordering::Relaxed);
        (at_us > 0).then(|| self.started.elapsed().saturating_sub(Duration::from_micros(at_us)))
    }

    /// Returns the silence of a connection on which a call has been in flight since `since`.
    pub fn silence(&self, index: usize, since: Instant) -> Silence {
        let others = (0..CONNECTIONS).filter(|other| *other != index);
        Silence {
            in_flight: since.elapsed(),
            received: self.received_ago(index),
            others_received: others.filter_map(|other| self.received_ago(other)).min(),
        }
    }
}
