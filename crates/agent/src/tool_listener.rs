//! The listeners for tools and for gateways that register or start. Each connection carries one request at a
//! time.

use std::time::Duration;

use fleet::wire::{Envelope, ErrorCode, ErrorResponse, ToolRequest, ToolResponse};
use tokio::sync::{broadcast, mpsc};
use tokio::time::timeout;
use transport::{JsonLines, JsonLinesError, Listener};

use crate::control_loop::IncomingRequest;
use crate::responder::{EventSender, Responder};

/// Maximum number of concurrent connections; further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 256;
/// Idle timeout of a connection between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for writing a line, as a tool may stop reading.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of queued responses for one tool: one per gateway, and some more.
const MAX_QUEUED_RESPONSES: usize = operator_config::MAX_GATEWAYS + 16;
/// Request id in the response to a line that could not be parsed.
const UNKNOWN_REQUEST_ID: u64 = 0;

/// The requests that a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All requests.
    All,
    /// Requests of gateways for themselves: registration, and instructions when they start. A client that may
    /// register gateways must not be able to order drains.
    Gateways,
}

impl Scope {
    fn allows(self, request: &ToolRequest) -> bool {
        let is_gateway_request = matches!(
            request,
            ToolRequest::Register { .. } | ToolRequest::Start { .. } | ToolRequest::Started { .. }
        );
        self == Scope::All || is_gateway_request
    }
}

/// Accepts connections until the task is cancelled.
pub async fn serve(
    listener: Listener,
    scope: Scope,
    requests: mpsc::Sender<IncomingRequest>,
    events: EventSender,
) {
    let handle = move |lines: JsonLines| {
        let connection = ToolConnection { lines, scope, requests: requests.clone(), events: events.clone() };
        connection.run()
    };
    let rejected = |error: &std::io::Error| eprintln!("agent: rejected connection: {error}");
    transport::serve(listener, MAX_CONNECTIONS, handle, rejected).await;
}

/// The connection is closed or can't be used any more.
struct ConnectionEnded;

struct ToolConnection {
    lines: JsonLines,
    scope: Scope,
    requests: mpsc::Sender<IncomingRequest>,
    events: EventSender,
}

impl ToolConnection {
    async fn run(mut self) {
        while let Ok(envelope) = self.receive().await {
            if self.handle(envelope).await.is_err() {
                return;
            }
        }
    }

    /// Receives the next request. Responds with an error to lines that are not requests.
    async fn receive(&mut self) -> Result<Envelope<ToolRequest>, ConnectionEnded> {
        loop {
            match timeout(IDLE_TIMEOUT, self.lines.next::<Envelope<ToolRequest>>()).await {
                Ok(Ok(Some(envelope))) => return Ok(envelope),
                Ok(Err(JsonLinesError::Malformed(reason))) => {
                    self.fail(UNKNOWN_REQUEST_ID, ErrorCode::BadRequest, reason).await?;
                }
                Ok(Err(error @ JsonLinesError::TooLong(_))) => {
                    self.fail(UNKNOWN_REQUEST_ID, ErrorCode::TooLong, error.to_string()).await?;
                    return Err(ConnectionEnded);
                }
                Ok(Ok(None) | Err(JsonLinesError::Io(_))) | Err(_) => return Err(ConnectionEnded),
            }
        }
    }

    async fn handle(&mut self, envelope: Envelope<ToolRequest>) -> Result<(), ConnectionEnded> {
        let Envelope { request_id, body: request } = envelope;
        if !self.scope.allows(&request) {
            let message = "gateways register here, and ask for turns, and nothing else";
            return self.fail(request_id, ErrorCode::Forbidden, message).await;
        }
        if matches!(request, ToolRequest::Watch) {
            return self.watch(request_id).await;
        }
        // The last response to an order, or to a request for all backends, is a summary or an error. All
        // other requests have exactly one response.
        let has_many_responses =
            matches!(request, ToolRequest::Order { .. } | ToolRequest::Status { backends: true });
        let max_queued = if has_many_responses { MAX_QUEUED_RESPONSES } else { 1 };
        let (queue, mut responses) = mpsc::channel(max_queued);
        let incoming = IncomingRequest { request, responder: Responder::new(queue) };
        if self.requests.send(incoming).await.is_err() {
            self.fail(request_id, ErrorCode::Unavailable, "the agent is ending").await?;
            return Err(ConnectionEnded);
        }
        loop {
            // `None`: the agent is shutting down, or could not write its log.
            let response = responses.recv().await.ok_or(ConnectionEnded)?;
            let is_last =
                !has_many_responses || matches!(response, ToolResponse::Done(_) | ToolResponse::Error(_));
            self.send(request_id, response).await?;
            if is_last {
                return Ok(());
            }
        }
    }

    /// Streams all events until the tool disconnects.
    async fn watch(&mut self, request_id: u64) -> Result<(), ConnectionEnded> {
        let mut events = self.events.subscribe();
        self.send(request_id, ToolResponse::Event("watching".to_string())).await?;
        loop {
            tokio::select! {
                event = events.recv() => {
                    let line = match event {
                        Ok(line) => line,
                        Err(broadcast::error::RecvError::Lagged(missed)) => {
                            format!("{missed} events were missed")
                        }
                        Err(broadcast::error::RecvError::Closed) => return Err(ConnectionEnded),
                    };
                    self.send(request_id, ToolResponse::Event(line)).await?;
                }
                // No further request is allowed; this also detects that the tool has disconnected.
                _ = self.lines.next::<Envelope<ToolRequest>>() => return Err(ConnectionEnded),
            }
        }
    }

    async fn fail(
        &mut self,
        request_id: u64,
        code: ErrorCode,
        message: impl Into<String>,
    ) -> Result<(), ConnectionEnded> {
        self.send(request_id, ToolResponse::Error(ErrorResponse::new(code, message))).await
    }

    async fn send(&mut self, request_id: u64, body: ToolResponse) -> Result<(), ConnectionEnded> {
        match timeout(WRITE_TIMEOUT, self.lines.send(&Envelope { request_id, body })).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(ConnectionEnded),
        }
    }
}
