//! What each connection to the counter has come to, as the connections tell it to the counter and to each
//! other.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::silence::Silence;
use super::CONNECTIONS;

/// When each connection was heard, and what was written to it. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct ConnectionActivity {
    started: Instant,
    /// When anything last came on each: microseconds from the start, 0 if never.
    received_us: Arc<[AtomicU64; CONNECTIONS]>,
    /// The last call that was written to each; their numbers grow.
    written: Arc<[AtomicU64; CONNECTIONS]>,
}

impl ConnectionActivity {
    /// Of connections on which nothing has happened.
    pub fn new() -> Self {
        ConnectionActivity { started: Instant::now(), received_us: Arc::default(), written: Arc::default() }
    }

    /// Something has come on a connection.
    pub fn received(&self, index: usize) {
        let now_us = self.started.elapsed().as_micros() as u64;
        self.received_us[index].store(now_us.max(1), Ordering::Relaxed);
    }

    /// A call was written to a connection.
    pub fn wrote(&self, index: usize, number: u64) {
        self.written[index].store(number, Ordering::Relaxed);
    }

    /// Whether a call was written to a connection.
    pub fn has_written(&self, index: usize, number: u64) -> bool {
        number <= self.written[index].load(Ordering::Relaxed)
    }

    /// How long ago something came on a connection.
    fn received_ago(&self, index: usize) -> Option<Duration> {
        let at_us = self.received_us[index].load(Ordering::Relaxed);
        (at_us > 0).then(|| self.started.elapsed().saturating_sub(Duration::from_micros(at_us)))
    }

    /// What is known of a connection with a call in flight on it since then.
    pub fn silence(&self, index: usize, since: Instant) -> Silence {
        let others = (0..CONNECTIONS).filter(|other| *other != index);
        Silence {
            in_flight: since.elapsed(),
            received: self.received_ago(index),
            others_received: others.filter_map(|other| self.received_ago(other)).min(),
        }
    }
}
