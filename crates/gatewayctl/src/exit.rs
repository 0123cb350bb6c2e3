//! Exit codes, which tell programs what happened.

use std::process::ExitCode;

use fleet::wire::{ErrorCode, ErrorResponse};

/// What the codes mean, for the help and the man page.
pub const CODES: &str = "Exit codes:
  0  done; for an order: by every gateway
  1  failed on this machine: a file that is wrong, a process or a socket that can't be had, a broken rule
  2  the command line is wrong
  3  partly done: some gateway is unreachable or late, and is named; it catches up by itself when it is back
  4  refused, and nothing was changed: an unknown subject, too few left, an id used before
  5  the agent, or every gateway that is called, can't be reached, or ended before it had said all; ask again,
     an order with the same --id";

/// Why the command did not end well.
#[derive(Debug)]
pub enum Failure {
    /// On this machine.
    Broken(String),
    /// It was told what is wrong already.
    Told,
    /// The command line is wrong in a way that its grammar does not know.
    Usage(String),
    /// Not by every gateway; which and why was told.
    Partly,
    /// Refused, and nothing was changed.
    Refused(ErrorResponse),
    /// Refused by each gateway that was called; why was told.
    Turned,
    /// The agent can't be reached, or left too early.
    Agent(String),
}

impl Failure {
    /// The code that the process ends with.
    pub fn code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Broken(_) | Failure::Told => 1,
            Failure::Usage(_) => 2,
            Failure::Partly => 3,
            Failure::Refused(ErrorResponse { code: ErrorCode::Unavailable | ErrorCode::Log, .. })
            | Failure::Agent(_) => 5,
            Failure::Refused(_) | Failure::Turned => 4,
        })
    }

    /// What is said on standard error, if not all was said.
    pub fn text(&self) -> Option<String> {
        match self {
            Failure::Broken(text) | Failure::Agent(text) | Failure::Usage(text) => Some(text.clone()),
            Failure::Refused(fault) => Some(format!("refused: {}", fault.message)),
            Failure::Told | Failure::Partly | Failure::Turned => None,
        }
    }
}
