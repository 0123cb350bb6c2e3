//! Errors of a local fleet.

use std::fmt;
use std::io;

/// Reason why a local fleet failed.
#[derive(Debug)]
pub enum UpError {
    /// The directory for the fleet's files could not be created.
    TemporaryDirectory(io::Error),
    /// A stand-in could not listen, or a file could not be written.
    Start(io::Error),
    /// A process did not become ready.
    Process { name: String, problem: ProcessProblem, last_log_line: Option<String> },
    /// A process exited unexpectedly.
    ProcessExited(String),
}

/// Reason why a process did not become ready.
#[derive(Debug)]
pub enum ProcessProblem {
    /// The process could not be started.
    Start(io::Error),
    /// Its standard output is not available.
    NoStandardOutput,
    /// The process exited or closed its output before it was ready.
    ExitedEarly,
    /// The process was not ready within the timeout.
    TimedOut,
    /// The process printed this text where an address was expected.
    UnexpectedOutput(String),
}

impl fmt::Display for UpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UpError::TemporaryDirectory(e) => write!(f, "no folder for temporary files: {e}"),
            UpError::Start(e) => write!(f, "cannot start: {e}"),
            UpError::Process { name, problem, last_log_line } => {
                match problem {
                    ProcessProblem::UnexpectedOutput(text) => write!(f, "{name} said {text:?}")?,
                    problem => write!(f, "{name}: {problem}")?,
                }
                last_log_line.iter().try_for_each(|line| write!(f, ": {line}"))
            }
            UpError::ProcessExited(name) => write!(f, "{name} has ended by itself"),
        }
    }
}

impl std::error::Error for UpError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            UpError::TemporaryDirectory(e) | UpError::Start(e) => Some(e),
            UpError::Process { problem: ProcessProblem::Start(e), .. } => Some(e),
            UpError::Process { .. } | UpError::ProcessExited(_) => None,
        }
    }
}

impl fmt::Display for ProcessProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProcessProblem::Start(e) => e.fmt(f),
            ProcessProblem::NoStandardOutput => f.write_str("no standard output"),
            ProcessProblem::ExitedEarly => f.write_str("ended before it was ready"),
            ProcessProblem::TimedOut => f.write_str("was not ready in time"),
            ProcessProblem::UnexpectedOutput(text) => write!(f, "said {text:?}"),
        }
    }
}
