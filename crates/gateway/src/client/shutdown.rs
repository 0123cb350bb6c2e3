//! When connections close as the gateway drains or shuts down.

use std::time::Duration;

use tokio::time::Instant;

/// How long connections go on as before when the gateway is drained: new ones still come meanwhile.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// How long a connection that is to close waits for one more command, to close right behind its answer.
///
/// A command that crosses the end of an idle connection is neither answered nor sent elsewhere, but who waits
/// for an answer sends nothing meanwhile. The price: clients that are seldom heard are closed so much later.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(300);
/// How long a connection that is to close goes on being read while it is never idle: a command that is read
/// later would find the process ended before its answer. What is not read the client sends elsewhere.
const READING_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a connection that is opened late has for its first command.
pub(super) const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Commands are read and answered.
    Reading,
    /// The same, but it is to close as soon as it owes nothing.
    Draining {
        /// Since when.
        since: Instant,
    },
    /// Nothing more is read: what came was no command, or not whole in time. What is owed is written.
    Closing,
    /// All is answered. What the client still sends is discarded until it closes as well.
    Lingering,
    /// The client has disconnected, or the connection is of no more use.
    Closed,
}

impl State {
    /// Whether commands are read or answered yet.
    pub fn is_open(self) -> bool {
        !matches!(self, State::Lingering | State::Closed)
    }

    /// Whether it is to close as soon as it owes nothing.
    pub fn is_draining(self) -> bool {
        matches!(self, State::Draining { .. })
    }

    /// Whether more may be read.
    pub fn may_read(self) -> bool {
        match self {
            State::Reading => true,
            State::Draining { since } => since.elapsed() < READING_TIMEOUT,
            State::Closing | State::Lingering | State::Closed => false,
        }
    }

    /// Whether an idle connection is to close now, which has `just_answered` or not.
    pub fn may_close_idle(self, just_answered: bool) -> bool {
        match self {
            State::Draining { since } => just_answered || since.elapsed() >= IDLE_CLOSE_DELAY,
            _ => false,
        }
    }
}
