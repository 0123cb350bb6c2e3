//! A connection to the agent.

use std::fmt;
use std::time::Duration;

use fleet::wire::{Envelope, ErrorResponse, ToolRequest, ToolResponse, MAX_LINE_BYTES};
use operator_config::Address;
use tokio::time::timeout;
use transport::{connect, ConnectError, JsonLines, JsonLinesError};

/// How long a connection to the agent may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the agent may take for a response that waits for nobody else.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why the agent gave no useful response.
#[derive(Debug)]
pub enum AgentClientError {
    /// It can't be reached.
    Connect(ConnectError),
    /// A request can't be sent.
    Send(JsonLinesError),
    /// It was silent for this long.
    TimedOut(Duration),
    /// It closed the connection in the middle of its responses.
    Disconnected,
    /// A response can't be read.
    Receive(JsonLinesError),
    /// It responded something that does not belong to the request.
    UnexpectedResponse,
    /// It rejected the request.
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

/// A connection to the agent, on which one request follows the other.
pub struct AgentClient {
    lines: JsonLines,
    last_request_id: u64,
}

impl AgentClient {
    /// Connects.
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

    /// Receives the next response to the last request, within a time.
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

    /// Sends a request that has one response, and receives it.
    pub async fn request(&mut self, request: ToolRequest) -> Result<ToolResponse, AgentClientError> {
        self.send(request).await?;
        self.receive(RESPONSE_TIMEOUT).await
    }
}
