//! Errors that a gateway or the agent responds with.

use serde::{Deserialize, Serialize};

/// Why nothing was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Fault", expecting = "struct Fault")]
pub struct ErrorResponse {
    /// The kind, for programs.
    pub code: ErrorCode,
    /// What is wrong and what to do, for people.
    pub message: String,
}

impl ErrorResponse {
    /// A fault of a kind.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> ErrorResponse {
        ErrorResponse { code, message: message.into() }
    }
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[serde(rename = "Code", expecting = "enum Code")]
pub enum ErrorCode {
    /// The message can't be read, or can't be carried out as it is.
    BadRequest,
    /// The line is longer than is taken.
    TooLong,
    /// Whoever asks may not.
    Forbidden,
    /// No gateway knows the subject.
    UnknownSubject,
    /// The guard refuses.
    TooFew,
    /// The id was used for another order.
    IdReused,
    /// Full, or about to end; worth another try.
    Unavailable,
    /// The log can't be written.
    Log,
}
