//! Tells a connection that fell silent by itself from a counter that is slow or gone. No I/O, no clock: times
//! are spans up to now.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// A connection is not heard for so many time-outs with a call out on it: replaced, whatever the others say.
pub const REPLACED_AFTER: u32 = 3;
/// Part of a time-out by which another connection has to be heard after the call was made: the last answer
/// of a counter that then falls silent is no sign that it lives.
const HEARD_AFTER_DIVISOR: u32 = 4;

/// What is known of a connection on which a call is out.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// How long the call has been out.
    pub in_flight: Duration,
    /// How long ago anything came on the connection; `None` if never.
    pub heard: Option<Duration>,
    /// How long ago anything came on any other connection to the same counter.
    pub others_heard: Option<Duration>,
}

impl Silence {
    /// How long nothing has come though something is due. An answer to an earlier call,
    /// which came when this one was in flight already, is no sign of life for good.
    fn lasts(&self) -> Duration {
        self.heard.map_or(self.in_flight, |ago| ago.min(self.in_flight))
    }

    /// The counter answers, and this connection alone is silent: a call that it fails says nothing of how
    /// busy the counter is. A slow counter answers late, but on all connections.
    #[must_use]
    pub fn is_alone(&self, timeout: Duration) -> bool {
        let silent = self.lasts();
        silent >= timeout
            && self.others_heard.is_some_and(|ago| ago + timeout / HEARD_AFTER_DIVISOR <= silent)
    }

    /// It is to be replaced before another call is written to it.
    #[must_use]
    pub fn is_lost(&self, timeout: Duration) -> bool {
        self.is_alone(timeout) || self.lasts() >= timeout * REPLACED_AFTER
    }
}
