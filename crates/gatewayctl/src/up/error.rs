//! Why a local fleet failed.

use std::fmt;
use std::io;

/// Why a local fleet can't run.
#[derive(Debug)]
pub enum UpError {
    /// There is no directory for its files.
    TemporaryDirectory(io::Error),
    /// A stand-in can't listen, or a file can't be written.
    Start(io::Error),
    /// A process did not become ready.
    Process { name: String, problem: ProcessProblem, last_log_line: Option<String> },
    /// A process exited by itself.
    ProcessExited(String),
}

/// What is wrong with a process.
#[derive(Debug)]
pub enum ProcessProblem {
    /// It can't be started.
    Start(io::Error),
    /// Its standard output can't be read.
    NoStandardOutput,
    /// It exited before it was ready.
    ExitedEarly,
    /// It was not ready in time.
    TimedOut,
    /// It printed something else than an address.
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
