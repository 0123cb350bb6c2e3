//! Client of the agent's socket.

use std::fmt;
use std::time::Duration;

use fleet::wire::{Envelope, ErrorResponse, ToolRequest, ToolResponse, MAX_LINE_BYTES};
use operator_config::Address;
use tokio::time::timeout;
use transport::{connect, ConnectError, JsonLines, JsonLinesError};

/// Timeout for connecting to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for responses that the agent gives without waiting for gateways.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason why the agent gave no usable response.
#[derive(Debug)]
pub enum AgentClientError {
    /// The agent could not be reached.
    Connect(ConnectError),
    /// The request could not be sent.
    Send(JsonLinesError),
    /// No response arrived within this time.
    TimedOut(Duration),
    /// The agent closed the connection before its last response.
    Disconnected,
    /// A response could not be read.
    Receive(JsonLinesError),
    /// The response does not match the request.
    UnexpectedResponse,
    /// The agent rejected the request.
    Rejected(ErrorResponse),
}

impl fmt::Display for AgentClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgentClientError::Connect(e) => write!(f, "no agent: {e}"),
            AgentClientError::Send(e) => write!(f, "the agent left: {e}"),
            AgentClientError::TimedOut(limit) => {
                write!(f, "the agent said nothing for {} s", limit.as_secs())
            }
            AgentClientError::Disconnected => f.write_str("the agent left before it had said all"),
            AgentClientError::Receive(e) => write!(f, "the agent: {e}"),
            AgentClientError::UnexpectedResponse => {
                let name = std::any::type_name::<ToolResponse>();
                write!(f, "the agent said something else: {name}")
            }
            AgentClientError::Rejected(response) => write!(f, "refused: {}", response.message),
        }
    }
}

impl std::error::Error for AgentClientError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            AgentClientError::Connect(e) => Some(e),
            AgentClientError::Send(e) | AgentClientError::Receive(e) => Some(e),
            _ => None,
        }
    }
}

/// Connection to the agent that carries one request at a time.
pub struct AgentClient {
    lines: JsonLines,
    last_request_id: u64,
}

impl AgentClient {
    /// Connects to the agent.
    pub async fn connect(address: &Address) -> Result<AgentClient, AgentClientError> {
        let lines = connect(address, CONNECT_TIMEOUT, MAX_LINE_BYTES).await;
        Ok(AgentClient { lines: lines.map_err(AgentClientError::Connect)?, last_request_id: 0 })
    }

    /// Sends a request.
    pub async fn send(&mut self, request: ToolRequest) -> Result<(), AgentClientError> {
        self.last_request_id += 1;
        let envelope = Envelope { request_id: self.last_request_id, body: request };
        self.lines.send(&envelope).await.map_err(AgentClientError::Send)
    }

    /// Receives the next response to the last request. Fails if it does not arrive within `limit`.
    pub async fn receive(&mut self, limit: Duration) -> Result<ToolResponse, AgentClientError> {
        let next = timeout(limit, self.lines.next::<Envelope<ToolResponse>>()).await;
        let envelope = next
            .map_err(|_| AgentClientError::TimedOut(limit))?
            .map_err(AgentClientError::Receive)?
            .ok_or(AgentClientError::Disconnected)?;
        match envelope.body {
            ToolResponse::Error(response) => Err(AgentClientError::Rejected(response)),
            response => Ok(response),
        }
    }

    /// Sends a request that has exactly one response and receives the response.
    pub async fn request(&mut self, request: ToolRequest) -> Result<ToolResponse, AgentClientError> {
        self.send(request).await?;
        self.receive(RESPONSE_TIMEOUT).await
    }
}
