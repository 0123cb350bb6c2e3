//! Distinguishes a single silent connection from a counter that is slow or has stopped responding. No
//! I/O and no clock: times are durations up to now.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// A connection on which no data arrives for this many call timeouts, while a call is in flight, is replaced
/// even if the other connections are silent as well.
pub const REPLACE_AFTER_TIMEOUTS: u32 = 3;
/// Divisor of the call timeout. Data on another connection shows that the counter responds only if it arrived
/// at least this fraction of the timeout after the call was made: shortly after the call, it may be the last
/// reply of a counter that then stopped responding.
const MIN_RECEIVED_AFTER_DIVISOR: u32 = 4;

/// How long a connection with a call in flight has been silent, and how long the others have.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Time since the call was made or written.
    pub in_flight: Duration,
    /// Time since data last arrived on the connection; `None` if never.
    pub received: Option<Duration>,
    /// Time since data last arrived on any other connection to the same counter; `None` if never.
    pub others_received: Option<Duration>,
}

impl Silence {
    /// Returns how long nothing has arrived although a reply is due. A reply to an earlier call restarts the
    /// silence even if it arrived while this call was in flight.
    fn duration(&self) -> Duration {
        self.received.map_or(self.in_flight, |ago| ago.min(self.in_flight))
    }

    /// Returns whether the counter responds on other connections while this one is silent. A call that
    /// times out then says nothing about the counter's load: a slow counter replies late, but on all
    /// connections.
    #[must_use]
    pub fn is_connection_fault(&self, timeout: Duration) -> bool {
        let silent = self.duration();
        silent >= timeout
            && self.others_received.is_some_and(|ago| ago + timeout / MIN_RECEIVED_AFTER_DIVISOR <= silent)
    }

    /// Returns whether the connection must be replaced before another call is written to it.
    #[must_use]
    pub fn needs_replacement(&self, timeout: Duration) -> bool {
        self.is_connection_fault(timeout) || self.duration() >= timeout * REPLACE_AFTER_TIMEOUTS
    }
}
