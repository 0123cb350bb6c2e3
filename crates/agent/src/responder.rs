//! Channels for the responses to a tool's request, and for events to all watchers.

use fleet::wire::{ErrorCode, ErrorResponse, OrderSummary, ToolResponse};
use tokio::sync::{broadcast, mpsc};

/// Sends the responses to one request. The request ends when its last responder is dropped.
#[derive(Clone, Debug)]
pub struct Responder {
    queue: mpsc::Sender<ToolResponse>,
}

/// The tool has disconnected.
#[derive(Debug)]
pub struct Disconnected;

impl Responder {
    /// Creates a responder that puts responses into the queue of the tool's connection.
    pub fn new(queue: mpsc::Sender<ToolResponse>) -> Responder {
        Responder { queue }
    }

    /// Queues a response without waiting, as a tool that reads nothing must not delay the others. If the
    /// queue is full, the response is lost; the write timeout then ends the tool's connection.
    pub fn respond(&self, response: ToolResponse) {
        let _ = self.queue.try_send(response);
    }

    /// Queues an error response.
    pub fn fail(&self, code: ErrorCode, message: impl Into<String>) {
        self.respond(ToolResponse::Error(ErrorResponse::new(code, message)));
    }

    /// Queues the summary of a successful request that involved only the agent.
    pub fn succeed(&self) {
        self.respond(ToolResponse::Done(OrderSummary { succeeded: 1, failed: 0 }));
    }

    /// Queues a response, waiting while the queue is full.
    ///
    /// # Errors
    /// [`Disconnected`] if the tool has disconnected.
    pub async fn respond_when_free(&self, response: ToolResponse) -> Result<(), Disconnected> {
        self.queue.send(response).await.map_err(|_| Disconnected)
    }

    /// Whether the tool has disconnected.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Sends events to all watchers and logs them on standard error.
#[derive(Clone, Debug)]
pub struct EventSender {
    watchers: broadcast::Sender<String>,
}

impl EventSender {
    /// Creates a sender whose watchers may lag `max_lag` events behind before they miss some.
    pub fn new(max_lag: usize) -> EventSender {
        EventSender { watchers: broadcast::Sender::new(max_lag) }
    }

    /// Sends an event.
    pub fn emit(&self, line: String) {
        eprintln!("agent: {line}");
        // Fails only if there are no watchers.
        let _ = self.watchers.send(line);
    }

    /// Subscribes to all events from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<String> {
        self.watchers.subscribe()
    }
}
