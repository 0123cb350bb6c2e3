//! Error responses of gateways and the agent.

use serde::{Deserialize, Serialize};

/// The response to a request that was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Fault", expecting = "struct Fault")]
pub struct ErrorResponse {
    /// The kind of error, for programs to act on.
    pub code: ErrorCode,
    /// What is wrong and what to do about it, for operators.
    pub message: String,
}

impl ErrorResponse {
    /// Creates an error response.
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
    /// The requester is not authorized for this request.
    Forbidden,
    /// The subject is unknown.
    UnknownSubject,
    /// The guard rejects the order: too few backends or gateways would stay ready.
    TooFew,
    /// The id belongs to an earlier order with another content.
    IdReused,
    /// The peer is overloaded or shutting down; a retry may succeed.
    Unavailable,
    /// The agent can't write its log.
    Log,
}
