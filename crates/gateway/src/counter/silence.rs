//! Distinguishes a single silent connection from a counter that is slow or gone. No I/O and no clock:
//! times are durations up to now.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Number of timeouts without data, with a call in flight, after which a connection is replaced whatever the
/// state of the others.
pub const REPLACE_AFTER_TIMEOUTS: u32 = 3;
/// Divisor of the timeout: data on another connection counts only if it arrived at least this part of a
/// timeout after the call was made. The last reply of a counter that then stops responding does not prove
/// it alive.
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
