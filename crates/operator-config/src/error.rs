//! Why an operator's file can't be used.

use std::fmt;
use std::path::PathBuf;

/// Why an operator's file can't be used.
#[derive(Debug)]
pub enum OperatorConfigError {
    /// It can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// It is not TOML, or a key is unknown, missing or of the wrong type: the text names line and key.
    Toml(PathBuf, String),
    /// Values that don't fit: key and what is wanted, for each.
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
                let line = |(key, wanted): &(String, String)| format!("{path}: {key}: {wanted}");
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
