//! Why a session with a gateway failed.

use std::fmt;
use std::time::Duration;

use fleet::wire::GatewayResponse;
use transport::{ConnectError, JsonLinesError};

/// Why a session with a gateway could not begin, or ended.
#[derive(Debug)]
pub enum SessionError {
    /// The agent is shutting down.
    AgentShuttingDown,
    /// The connection could not be opened.
    Connect(ConnectError),
    /// No response arrived within this timeout.
    Timeout(Duration),
    /// The gateway closed the connection.
    Closed,
    /// The connection failed, or carried something other than a response.
    Transport(JsonLinesError),
    /// The gateway responded with an error, which has this message.
    Rejected(String),
    /// The response does not match the request.
    UnexpectedResponse,
    /// A gateway with this other name listens at the address.
    WrongGateway(String),
}

impl SessionError {
    /// Returns the error for a response that does not match its request.
    pub fn unexpected(response: &GatewayResponse) -> SessionError {
        match response {
            GatewayResponse::Error(error) => SessionError::Rejected(error.message.clone()),
            _ => SessionError::UnexpectedResponse,
        }
    }
}

impl fmt::Display for SessionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SessionError::AgentShuttingDown => write!(f, "the agent is ending"),
            SessionError::Connect(error) => error.fmt(f),
            SessionError::Timeout(limit) => write!(f, "no answer within {} ms", limit.as_millis()),
            SessionError::Closed => write!(f, "it ended the connection"),
            SessionError::Transport(error) => error.fmt(f),
            SessionError::Rejected(message) => write!(f, "it says: {message}"),
            SessionError::UnexpectedResponse => write!(f, "it answered something else"),
            SessionError::WrongGateway(name) => write!(f, "gateway {name} answers there"),
        }
    }
}

impl std::error::Error for SessionError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SessionError::Connect(error) => Some(error),
            SessionError::Transport(error) => Some(error),
            _ => None,
        }
    }
}
