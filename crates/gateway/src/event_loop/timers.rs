//! Timers of the event loop.

use std::future::poll_fn;

use tokio::time::Instant;
use tokio_util::time::delay_queue::{self, Expired};
use tokio_util::time::DelayQueue;

use crate::clock::Clock;
use crate::input::TimerKind;

/// Names a timer until it expires or is cancelled. Afterwards the same key may name another one.
pub(super) type TimerKey = delay_queue::Key;

/// Timers that have not expired yet.
pub(super) struct Timers {
    queue: DelayQueue<TimerKind>,
    clock: Clock,
}

impl Timers {
    /// None yet.
    pub fn new(clock: Clock) -> Timers {
        Timers { queue: DelayQueue::new(), clock }
    }

    /// Sets a timer for a moment in Unix time, ms.
    pub fn set_at_ms(&mut self, due: TimerKind, at_ms: f64) -> TimerKey {
        let at = self.clock.instant(at_ms);
        self.set_at(due, at)
    }

    /// Sets a timer for a moment.
    pub fn set_at(&mut self, due: TimerKind, at: Instant) -> TimerKey {
        self.queue.insert_at(due, at)
    }

    /// Cancels a timer that has not expired.
    pub fn cancel(&mut self, key: &TimerKey) {
        self.queue.try_remove(key);
    }

    /// Waits for the next timer that expires; `None` at once where none is set.
    pub async fn expired(&mut self) -> Option<Expired<TimerKind>> {
        poll_fn(|cx| self.queue.poll_expired(cx)).await
    }
}
