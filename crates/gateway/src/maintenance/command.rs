//! A command on its way to the controller, and its result.

use std::fmt;
use std::io;

use maintenance::{Command, CommandError, CommandRejected, MAX_LINE_BYTES};
use tokio::sync::oneshot;

use super::state_directory::StateError;

/// A command, and where its result goes.
pub struct PendingCommand {
    /// What is to be done.
    pub command: Command,
    /// Takes the result.
    pub reply: oneshot::Sender<CommandResult>,
}

/// What was done, in words for the caller, or why nothing was.
pub type CommandResult = Result<String, CommandFailure>;

/// Why a command was not carried out. Its text is what the caller reads.
#[derive(Debug)]
pub enum CommandFailure {
    /// The line is longer than any command.
    LineTooLong,
    /// The caller ended its sending in the middle of the line.
    LineCut,
    /// The line is no command.
    Malformed(CommandError),
    /// The process does not accept clients yet.
    Starting,
    /// The process is shutting down.
    ShuttingDown,
    /// The gateway is drained, so it is not ready.
    Drained,
    /// The maintenance state does not allow it.
    Rejected(CommandRejected),
    /// Another process did not let go of the maintenance state in time.
    Locked,
    /// The maintenance state can't be locked.
    LockFailed(io::Error),
    /// The maintenance state can't be written.
    NotWritten(StateError),
    /// There was no result in time.
    TimedOut,
}

impl fmt::Display for CommandFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandFailure::LineTooLong => write!(f, "a line of more than {MAX_LINE_BYTES} bytes"),
            CommandFailure::LineCut => f.write_str("the line has no end"),
            CommandFailure::Malformed(e) => e.fmt(f),
            CommandFailure::Starting => f.write_str("starting"),
            CommandFailure::ShuttingDown => f.write_str("ending"),
            CommandFailure::Drained => f.write_str("drained; UNDRAIN takes clients again"),
            CommandFailure::Rejected(e) => e.fmt(f),
            CommandFailure::Locked => {
                f.write_str("another process of this gateway holds the book; nothing is changed")
            }
            CommandFailure::LockFailed(e) => write!(f, "the book can't be locked: {e}"),
            CommandFailure::NotWritten(e) => write!(f, "not written down, nothing is changed: {e}"),
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
            CommandFailure::NotWritten(e) => Some(e),
            _ => None,
        }
    }
}
