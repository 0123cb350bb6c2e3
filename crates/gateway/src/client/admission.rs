//! Limits the number of concurrent client connections. When permits run low, idle connections are closed, so
//! that clients that hold connections without using them can't lock out others.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

use super::idle_policy::ConnectionUsage;

/// Maximum time that a new connection waits for a permit.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which idle connections are closed while a new one waits for a permit.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Value of [`Activity::idle_from_ms`] while a command is unanswered or partly read.
const BUSY: u64 = u64::MAX;
/// Upper bound of [`Activity::idle_from_ms`] when it is added to an [`Instant`], so that the sum can't
/// overflow.
const MAX_IDLE_FROM_MS: u64 = 1 << 40;

/// Activity of a connection, shared between its task and the listener.
#[derive(Debug)]
pub(super) struct Activity {
    opened: Instant,
    /// Time from `opened` to when the connection became idle, ms; 0 before the first command, [`BUSY`] while
    /// a command is unanswered or partly read.
    idle_from_ms: AtomicU64,
    /// Number of commands received.
    commands: AtomicU64,
    /// Notified to make the connection's task close it, if it is still idle.
    pub close_requested: Notify,
}

impl Activity {
    fn new() -> Activity {
        Activity {
            opened: Instant::now(),
            idle_from_ms: AtomicU64::new(0),
            commands: AtomicU64::new(0),
            close_requested: Notify::new(),
        }
    }

    /// Returns when the connection was opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Counts a received command.
    pub fn count_command(&self) {
        self.commands.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether any command has been received.
    pub fn has_commands(&self) -> bool {
        self.commands.load(Ordering::Relaxed) > 0
    }

    /// Returns how much the connection has been used.
    pub fn usage(&self) -> ConnectionUsage {
        ConnectionUsage::from_commands(self.commands.load(Ordering::Relaxed))
    }

    /// Marks the connection as busy: a command is unanswered or partly read.
    pub fn set_busy(&self) {
        self.idle_from_ms.store(BUSY, Ordering::Relaxed);
    }

    /// Marks the connection as idle from now on.
    pub fn set_idle(&self) {
        let idle_from_ms = self.opened.elapsed().as_millis() as u64;
        self.idle_from_ms.store(idle_from_ms.max(1), Ordering::Relaxed);
    }

    /// Returns how long the connection has been idle; `None` while it is busy.
    fn idle_for(&self) -> Option<Duration> {
        let idle_from_ms = self.idle_from_ms.load(Ordering::Relaxed);
        let since = self.opened + Duration::from_millis(idle_from_ms.min(MAX_IDLE_FROM_MS));
        (idle_from_ms != BUSY).then(|| since.elapsed())
    }
}

/// Admits new connections while permits are available.
pub(super) struct Admission {
    permits: Arc<Semaphore>,
    /// Number of all permits, free and taken.
    total: usize,
    /// Activity of the admitted connections; entries of closed ones are removed lazily.
    connections: Vec<Weak<Activity>>,
}

impl Admission {
    /// Creates an admission control over `permits`, of which there are at most `total`.
    pub fn new(permits: Arc<Semaphore>, total: usize) -> Admission {
        Admission { permits, total, connections: Vec::new() }
    }

    /// Takes a permit for a new connection. Returns `None` if no permit is free, or, if `may_wait`, none
    /// becomes free within [`PERMIT_TIMEOUT`].
    pub async fn admit(&mut self, may_wait: bool) -> Option<(OwnedSemaphorePermit, Arc<Activity>)> {
        let permit = if may_wait {
            self.wait_for_permit().await?
        } else {
            Arc::clone(&self.permits).try_acquire_owned().ok()?
        };
        let activity = Arc::new(Activity::new());
        if self.connections.len() >= 2 * self.total {
            self.connections.retain(|connection| connection.strong_count() > 0);
        }
        self.connections.push(Arc::downgrade(&activity));
        Some((permit, activity))
    }

    async fn wait_for_permit(&mut self) -> Option<OwnedSemaphorePermit> {
        let deadline = Instant::now() + PERMIT_TIMEOUT;
        loop {
            self.close_idle();
            match timeout(PERMIT_RETRY_INTERVAL, Arc::clone(&self.permits).acquire_owned()).await {
                Ok(permit) => return permit.ok(),
                Err(_) if Instant::now() < deadline => {}
                Err(_) => return None,
            }
        }
    }

    /// Asks connections to close whose idle time exceeds the limit for the number of permits taken.
    fn close_idle(&mut self) {
        let taken = self.total - self.permits.available_permits().min(self.total);
        let limits = ConnectionUsage::ALL.map(|usage| usage.idle_limit(taken + 1, self.total));
        self.connections.retain(|connection| {
            let Some(activity) = connection.upgrade() else { return false };
            let limit = limits[activity.usage() as usize];
            if activity.idle_for().is_some_and(|idle| idle > limit) {
                activity.close_requested.notify_one();
            }
            true
        });
    }
}
