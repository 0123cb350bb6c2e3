//! A command queued for the controller, and its result.

use std::fmt;
use std::io;

use maintenance::{Command, CommandError, CommandRejected, MAX_LINE_BYTES};
use tokio::sync::oneshot;

use super::state_directory::StateError;

/// A command with the channel for its result.
pub struct PendingCommand {
    /// The command.
    pub command: Command,
    /// Receives the result.
    pub reply: oneshot::Sender<CommandResult>,
}

/// A description of what was done, for the caller, or why the command failed.
pub type CommandResult = Result<String, CommandFailure>;

/// Why a command failed. The text is sent to the caller.
#[derive(Debug)]
pub enum CommandFailure {
    /// The line is longer than [`MAX_LINE_BYTES`].
    LineTooLong,
    /// The caller closed its side before the end of the line.
    LineTruncated,
    /// The line is not a valid command.
    Malformed(CommandError),
    /// The process does not accept clients yet.
    Starting,
    /// The process is shutting down.
    ShuttingDown,
    /// The gateway is drained, and therefore not ready.
    Drained,
    /// The maintenance state does not allow it.
    Rejected(CommandRejected),
    /// Another process held the lock on the maintenance state for too long.
    Locked,
    /// The maintenance state can't be locked.
    LockFailed(io::Error),
    /// The maintenance state can't be written.
    WriteFailed(StateError),
    /// The result was not available in time.
    TimedOut,
}

impl fmt::Display for CommandFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandFailure::LineTooLong => write!(f, "a line of more than {MAX_LINE_BYTES} bytes"),
            CommandFailure::LineTruncated => f.write_str("the line has no end"),
            CommandFailure::Malformed(e) => e.fmt(f),
            CommandFailure::Starting => f.write_str("starting"),
            CommandFailure::ShuttingDown => f.write_str("ending"),
            CommandFailure::Drained => f.write_str("drained; UNDRAIN takes clients again"),
            CommandFailure::Rejected(e) => e.fmt(f),
            CommandFailure::Locked => {
                f.write_str("another process of this gateway holds the book; nothing is changed")
            }
            CommandFailure::LockFailed(e) => write!(f, "the book can't be locked: {e}"),
            CommandFailure::WriteFailed(e) => {
                write!(f, "not written down, nothing is changed: {e}")
            }
            CommandFailure::TimedOut => f.write_str("no answer in time; whether it is in force is not known"),
        }
    }
}

impl std::error::Error for CommandFailure {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CommandFailure::Malformed(e) => Some(e),
            CommandFailure::Rejected(e) => Some(e),
            CommandFailure::LockFailed(e) => Some(e),
            CommandFailure::WriteFailed(e) => Some(e),
            _ => None,
        }
    }
}
