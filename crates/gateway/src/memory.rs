//! The memory budget: every buffer that a peer can make the gateway hold is covered by a permit of it.
//!
//! All permits come from one total. Requests may take a part of it only, and only what no answer waits for:
//! answers to requests that have run come first. Commands that are still being received have a smaller part
//! of their own, so that clients that stop in the middle of a long command leave memory for others'
//! requests.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, Instant};

/// Maximum time for which a request waits for memory.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a waiting request looks for memory. It doesn't queue, as it would be served before
/// answers that come later.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes that must be available in the budget for each byte taken to hold a value back.
const AVAILABLE_PER_HELD_BYTE: usize = 2;

/// Sizes of the parts of a memory budget, bytes.
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// All permits together.
    pub total: usize,
    /// Complete requests that await their answers.
    pub requests: usize,
    /// Commands that are still being received.
    pub partial_commands: usize,
}

/// The memory budget of a gateway process.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    total: Arc<Semaphore>,
    requests: Arc<Semaphore>,
    partial_commands: Arc<Semaphore>,
}

/// A permit for a number of bytes, returned when it is dropped.
#[derive(Debug)]
pub struct MemoryPermit {
    total: OwnedSemaphorePermit,
    /// The same number of bytes of a part of the budget; `None` for answers.
    part: Option<OwnedSemaphorePermit>,
}

impl MemoryBudget {
    /// Creates a budget with nothing taken.
    pub fn new(limits: MemoryLimits) -> MemoryBudget {
        MemoryBudget {
            total: Arc::new(Semaphore::new(limits.total)),
            requests: Arc::new(Semaphore::new(limits.requests)),
            partial_commands: Arc::new(Semaphore::new(limits.partial_commands)),
        }
    }

    /// Returns the semaphores of the budget with their sizes, to be shared with other processes.
    pub fn semaphores(&self, limits: MemoryLimits) -> [(Arc<Semaphore>, usize); 3] {
        [
            (Arc::clone(&self.total), limits.total),
            (Arc::clone(&self.requests), limits.requests),
            (Arc::clone(&self.partial_commands), limits.partial_commands),
        ]
    }

    /// Takes memory for a complete request; `None` if there is none for [`REQUEST_TIMEOUT`].
    pub async fn take_for_request(&self, bytes: usize) -> Option<MemoryPermit> {
        self.wait_for_part(&self.requests, bytes).await
    }

    /// Takes memory for a command that is being received; `None` if there is none for [`REQUEST_TIMEOUT`].
    pub async fn take_for_partial_command(&self, bytes: usize) -> Option<MemoryPermit> {
        self.wait_for_part(&self.partial_commands, bytes).await
    }

    /// Takes memory for a command that is being received, if it is available.
    pub fn try_take_for_partial_command(&self, bytes: usize) -> Option<MemoryPermit> {
        self.try_take(&self.partial_commands, bytes)
    }

    /// Waits for memory for an answer. `None` if the answer is larger than the whole budget.
    pub async fn take_for_answer(&self, bytes: usize) -> Option<MemoryPermit> {
        let total = Arc::clone(&self.total).acquire_many_owned(permits(bytes)?).await.ok()?;
        Some(MemoryPermit { total, part: None })
    }

    /// Takes memory to hold a whole value back, if it is at most half of what is available.
    pub fn try_take_for_held_value(&self, bytes: usize) -> Option<MemoryPermit> {
        if self.total.available_permits() / AVAILABLE_PER_HELD_BYTE < bytes {
            return None;
        }
        let total = Arc::clone(&self.total).try_acquire_many_owned(permits(bytes)?).ok()?;
        Some(MemoryPermit { total, part: None })
    }

    async fn wait_for_part(&self, part: &Arc<Semaphore>, bytes: usize) -> Option<MemoryPermit> {
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        loop {
            if let Some(permit) = self.try_take(part, bytes) {
                return Some(permit);
            }
            if Instant::now() >= deadline {
                return None;
            }
            sleep(REQUEST_RETRY_INTERVAL).await;
        }
    }

    fn try_take(&self, part: &Arc<Semaphore>, bytes: usize) -> Option<MemoryPermit> {
        let count = permits(bytes)?;
        let part = Arc::clone(part).try_acquire_many_owned(count).ok()?;
        let total = Arc::clone(&self.total).try_acquire_many_owned(count).ok()?;
        Some(MemoryPermit { total, part: Some(part) })
    }
}

impl MemoryPermit {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.total.num_permits()
    }

    /// Adds another permit of the same part of the budget.
    pub fn merge(&mut self, other: MemoryPermit) {
        self.total.merge(other.total);
        match (&mut self.part, other.part) {
            (Some(part), Some(more)) => part.merge(more),
            (part, more) => *part = part.take().or(more),
        }
    }
}

/// Returns the number of permits for a number of bytes, or `None` if no semaphore has as many.
fn permits(bytes: usize) -> Option<u32> {
    u32::try_from(bytes).ok()
}
