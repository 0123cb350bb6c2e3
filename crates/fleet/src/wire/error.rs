//! Errors that a gateway or the agent responds with.

use serde::{Deserialize, Serialize};

/// The response to a request that was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Fault", expecting = "struct Fault")]
pub struct ErrorResponse {
    /// The kind of error, for programs.
    pub code: ErrorCode,
    /// What is wrong and what to do, for people.
    pub message: String,
}

impl ErrorResponse {
    /// An error of a kind.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> ErrorResponse {
        ErrorResponse { code, message: message.into() }
    }
}

/// Kinds of errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[serde(rename = "Code", expecting = "enum Code")]
pub enum ErrorCode {
    /// The request is malformed, or can't be carried out as it is.
    BadRequest,
    /// The line is too long.
    TooLong,
    /// The requester is not allowed to.
    Forbidden,
    /// No gateway knows the subject.
    UnknownSubject,
    /// The guard rejects it.
    TooFew,
    /// The id was used for another order.
    IdReused,
    /// Overloaded, or shutting down; a retry may succeed.
    Unavailable,
    /// The log can't be written.
    Log,
}
