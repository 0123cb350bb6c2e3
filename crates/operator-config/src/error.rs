//! Errors of reading the operator's file.

use std::fmt;
use std::path::PathBuf;

/// Error of reading the operator's file.
#[derive(Debug)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file is not TOML, or a key is unknown, missing or of the wrong type. The text names line and key.
    Toml(PathBuf, String),
    /// Values are invalid; contains the key of each and a description of the problem.
    Values(PathBuf, Vec<(String, String)>),
}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorConfigError::Unreadable(path, error) => write!(f, "{}: {error}", path.display()),
            OperatorConfigError::Toml(path, error) => {
                write!(f, "{}: {}", path.display(), error.trim_end())
            }
            OperatorConfigError::Values(path, problems) => {
                let path = path.display();
                let line = |(key, problem): &(String, String)| format!("{path}: {key}: {problem}");
                f.write_str(&problems.iter().map(line).collect::<Vec<_>>().join("\n"))
            }
        }
    }
}

impl std::error::Error for OperatorConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            OperatorConfigError::Unreadable(_, error) => Some(error),
            OperatorConfigError::Toml(..) | OperatorConfigError::Values(..) => None,
        }
    }
}
