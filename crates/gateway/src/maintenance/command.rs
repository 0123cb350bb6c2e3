//! A command on its way to the controller, and its result.

use std::fmt;
use std::io;

use beechrudder_maintenance::{BadCall, Call, Refused, MAX_LINE_BYTES};
use tokio::sync::oneshot;

use super::state_directory::StateError;

/// A command, and where its result goes.
pub struct PendingCommand {
    /// What is to be done.
    pub command: Call,
    /// Takes the result.
    pub reply: oneshot::Sender<CommandResult>,
}

/// What was done, in words for the caller, or why nothing was.
pub type CommandResult = Result<String, CommandError>;

/// Why a command was not carried out. Its text is what the caller reads.
#[derive(Debug)]
pub enum CommandError {
    /// The line is longer than any command.
    LineTooLong,
    /// The caller ended its sending in the middle of the line.
    LineCut,
    /// The line is no command.
    Malformed(BadCall),
    /// The process does not accept clients yet.
    Starting,
    /// The process is shutting down.
    ShuttingDown,
    /// The gateway is drained, so it is not ready.
    Drained,
    /// The maintenance state does not allow it.
    Rejected(Refused),
    /// Another process did not let go of the maintenance state in time.
    Locked,
    /// The maintenance state can't be locked.
    LockFailed(io::Error),
    /// The maintenance state can't be written.
    NotWritten(StateError),
    /// There was no result in time.
    TimedOut,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::LineTooLong => write!(f, "a line of more than {MAX_LINE_BYTES} bytes"),
            CommandError::LineCut => f.write_str("the line has no end"),
            CommandError::Malformed(e) => e.fmt(f),
            CommandError::Starting => f.write_str("starting"),
            CommandError::ShuttingDown => f.write_str("ending"),
            CommandError::Drained => f.write_str("drained; UNDRAIN takes clients again"),
            CommandError::Rejected(e) => e.fmt(f),
            CommandError::Locked => {
                f.write_str("another process of this gateway holds the book; nothing is changed")
            }
            CommandError::LockFailed(e) => write!(f, "the book can't be locked: {e}"),
            CommandError::NotWritten(e) => write!(f, "not written down, nothing is changed: {e}"),
            CommandError::TimedOut => f.write_str("no answer in time; whether it is in force is not known"),
        }
    }
}

impl std::error::Error for CommandError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CommandError::Malformed(e) => Some(e),
            CommandError::Rejected(e) => Some(e),
            CommandError::LockFailed(e) => Some(e),
            CommandError::NotWritten(e) => Some(e),
            _ => None,
        }
    }
}
