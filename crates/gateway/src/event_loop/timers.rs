//! Timers of the event loop.

use std::future::poll_fn;

use tokio::time::Instant;
use tokio_util::time::delay_queue::{self, Expired};
use tokio_util::time::DelayQueue;

use crate::clock::Clock;
use crate::input::TimerKind;

/// Identifies a timer until it expires or is cancelled. Afterwards the key may be reused for another timer.
pub(super) type TimerKey = delay_queue::Key;

/// Pending timers.
pub(super) struct Timers {
    queue: DelayQueue<TimerKind>,
    clock: Clock,
}

impl Timers {
    /// Creates an empty set of timers.
    pub fn new(clock: Clock) -> Timers {
        Timers { queue: DelayQueue::new(), clock }
    }

    /// Sets a timer that expires at `at_ms`, Unix time in ms.
    pub fn set_at_ms(&mut self, kind: TimerKind, at_ms: f64) -> TimerKey {
        let at = self.clock.instant(at_ms);
        self.set_at(kind, at)
    }

    /// Sets a timer that expires at `at`.
    pub fn set_at(&mut self, kind: TimerKind, at: Instant) -> TimerKey {
        self.queue.insert_at(kind, at)
    }

    /// Cancels a pending timer.
    pub fn cancel(&mut self, key: &TimerKey) {
        self.queue.try_remove(key);
    }

    /// Waits until the next timer expires. Returns `None` immediately if none is set.
    pub async fn expired(&mut self) -> Option<Expired<TimerKind>> {
        poll_fn(|cx| self.queue.poll_expired(cx)).await
    }
}
