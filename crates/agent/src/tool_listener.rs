//! The listener for tools. Each connection carries one request after the other.

use std::time::Duration;

use fleet::wire::{Envelope, ErrorCode, ErrorResponse, ToolRequest, ToolResponse};
use tokio::sync::{broadcast, mpsc};
use tokio::time::timeout;
use transport::{JsonLines, JsonLinesError, Listener};

use crate::control_loop::IncomingRequest;
use crate::responder::{EventSender, Responder};

/// Connections at once; further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 256;
/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long writing a line may take, as a tool may read nothing.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Responses that may wait for one tool: one of each gateway, and some more.
const MAX_QUEUED_RESPONSES: usize = operator_config::MAX_GATEWAYS + 16;
/// The request id of a response to a line that could not be read.
const UNKNOWN_REQUEST_ID: u64 = 0;

/// What may be requested on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Everything.
    All,
    /// What gateways request for themselves: registration, and a turn when they start. Whoever may register a
    /// gateway must not thereby be able to order drains.
    Gateways,
}

impl Scope {
    fn allows(self, request: &ToolRequest) -> bool {
        let is_of_gateway = matches!(
            request,
            ToolRequest::Register { .. } | ToolRequest::Start { .. } | ToolRequest::Started { .. }
        );
        self == Scope::All || is_of_gateway
    }
}

/// Accepts connections until the task ends.
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
    let rejected = |error: &std::io::Error| eprintln!("agent: turned away: {error}");
    transport::serve(listener, MAX_CONNECTIONS, handle, rejected).await;
}

/// The connection has ended, or is of no more use.
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

    /// The next request. Lines that are none are answered with an error.
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
        // The last response to an order, or to a request for all backends, is its summary or an error. To any
        // other request there is one response.
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
            // None: the agent shuts down, or could not write its log.
            let response = responses.recv().await.ok_or(ConnectionEnded)?;
            let is_last =
                !has_many_responses || matches!(response, ToolResponse::Done(_) | ToolResponse::Error(_));
            self.send(request_id, response).await?;
            if is_last {
                return Ok(());
            }
        }
    }

    /// Sends all events until the tool disconnects.
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
                // No further request may come; the end of the connection is noticed by this.
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
