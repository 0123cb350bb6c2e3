//! The states of a client connection, and when it closes while the gateway drains or shuts down.

use std::time::Duration;

use tokio::time::Instant;

/// Time from a drain of the gateway until its connections begin to close. New connections may still arrive
/// during that time.
pub(super) const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// How long an idle connection that is draining waits for one more command, so that it can close right after
/// its answer.
///
/// A command that crosses the close of an idle connection is neither answered nor sent to another gateway. A
/// client that waits for an answer sends nothing, so closing right after the answer avoids this. In exchange,
/// connections without traffic close later by this time.
pub const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(300);
/// How long a draining connection that is never idle is still read. A command read later might not be
/// answered before the process exits; one that is not read can be sent to another gateway by the client.
const READING_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for the first command on a connection that is opened during a drain.
pub(super) const FIRST_COMMAND_TIMEOUT: Duration = Duration::from_millis(500);

/// The state of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Commands are read and answered.
    Reading,
    /// Commands are read and answered, and the connection closes once all are answered.
    Draining {
        /// When draining began.
        since: Instant,
    },
    /// The input was malformed, or an incomplete command timed out. Nothing more is read, but pending answers
    /// are still written.
    Closing,
    /// All answers are written. Further input is discarded until the client closes as well.
    Lingering,
    /// The client has disconnected, or the connection failed.
    Closed,
}

impl ConnectionState {
    /// Whether commands are still read or answered.
    pub fn is_open(self) -> bool {
        !matches!(self, ConnectionState::Lingering | ConnectionState::Closed)
    }

    /// Whether the connection closes once all commands are answered.
    pub fn is_draining(self) -> bool {
        matches!(self, ConnectionState::Draining { .. })
    }

    /// Whether more input may be read.
    pub fn may_read(self) -> bool {
        match self {
            ConnectionState::Reading => true,
            ConnectionState::Draining { since } => since.elapsed() < READING_TIMEOUT,
            ConnectionState::Closing | ConnectionState::Lingering | ConnectionState::Closed => false,
        }
    }

    /// Whether an idle connection is to close now. `just_answered`: its last answer has just been written.
    pub fn may_close_idle(self, just_answered: bool) -> bool {
        match self {
            ConnectionState::Draining { since } => just_answered || since.elapsed() >= IDLE_CLOSE_DELAY,
            _ => false,
        }
    }
}
