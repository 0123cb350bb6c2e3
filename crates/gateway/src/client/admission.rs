//! Which connections there may be at once. Clients that say nothing, or keep connections that they don't use,
//! must not take the last permit from others.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

use super::idle_policy::Usage;

/// How long a new connection may wait for a permit.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// How often idle connections are looked for meanwhile.
const PERMIT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// What [`Activity::idle_ms`] holds while a command is open or half read.
const BUSY: u64 = u64::MAX;
/// Bounds the time since a connection was opened, ms, so that it can be added to a moment.
const MAX_IDLE_MS: u64 = 1 << 40;

/// What the listener knows of a connection.
#[derive(Debug)]
pub(super) struct Activity {
    opened: Instant,
    /// Milliseconds from then until the last answer was given with no command after it; 0 before the first
    /// command, and [`BUSY`] while one is open or half read.
    idle_ms: AtomicU64,
    /// Commands that came on it.
    commands: AtomicU64,
    /// Has the connection close if it is still idle.
    pub leave: Notify,
}

impl Activity {
    fn new() -> Activity {
        Activity {
            opened: Instant::now(),
            idle_ms: AtomicU64::new(0),
            commands: AtomicU64::new(0),
            leave: Notify::new(),
        }
    }

    /// When the connection was opened.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// A command came.
    pub fn count_command(&self) {
        self.commands.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether a command came by now.
    pub fn has_commands(&self) -> bool {
        self.commands.load(Ordering::Relaxed) > 0
    }

    /// What the connection has been used for so far.
    pub fn usage(&self) -> Usage {
        Usage::of(self.commands.load(Ordering::Relaxed))
    }

    /// A command is open or half read.
    pub fn set_busy(&self) {
        self.idle_ms.store(BUSY, Ordering::Relaxed);
    }

    /// Nothing is open or half read from now on.
    pub fn set_idle(&self) {
        let idle_ms = self.opened.elapsed().as_millis() as u64;
        self.idle_ms.store(idle_ms.max(1), Ordering::Relaxed);
    }

    /// How long nothing has been open or half read; `None` while something is.
    fn idle_for(&self) -> Option<Duration> {
        let idle_ms = self.idle_ms.load(Ordering::Relaxed);
        let since = self.opened + Duration::from_millis(idle_ms.min(MAX_IDLE_MS));
        (idle_ms != BUSY).then(|| since.elapsed())
    }
}

/// The connections that there are, and permits for more.
pub(super) struct Admission {
    permits: Arc<Semaphore>,
    /// All permits.
    total: usize,
    connections: Vec<Weak<Activity>>,
}

impl Admission {
    /// Admits as many connections as there are permits, `total` at most.
    pub fn new(permits: Arc<Semaphore>, total: usize) -> Admission {
        Admission { permits, total, connections: Vec::new() }
    }

    /// A permit for a new connection; `None` if there is none, or none in time where that may be `waited`
    /// for.
    pub async fn admit(&mut self, waited: bool) -> Option<(OwnedSemaphorePermit, Arc<Activity>)> {
        let permit = if waited {
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
        let until = Instant::now() + PERMIT_TIMEOUT;
        loop {
            self.close_idle();
            match timeout(PERMIT_RETRY_INTERVAL, Arc::clone(&self.permits).acquire_owned()).await {
                Ok(permit) => return permit.ok(),
                Err(_) if Instant::now() < until => {}
                Err(_) => return None,
            }
        }
    }

    /// Has connections close that have been idle for as long as they are kept while so many permits are
    /// taken.
    fn close_idle(&mut self) {
        let taken = self.total - self.permits.available_permits().min(self.total);
        let limits = Usage::ALL.map(|usage| usage.idle_limit(taken + 1, self.total));
        self.connections.retain(|connection| {
            let Some(activity) = connection.upgrade() else { return false };
            let limit = limits[activity.usage() as usize];
            if activity.idle_for().is_some_and(|idle| idle > limit) {
                activity.leave.notify_one();
            }
            true
        });
    }
}
