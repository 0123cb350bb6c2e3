//! Responses to one request of a tool, and events to all watchers.

use fleet::wire::{ErrorCode, ErrorResponse, OrderSummary, ToolResponse};
use tokio::sync::{broadcast, mpsc};

/// Takes the responses to one request. The request ends when its last responder is dropped.
#[derive(Clone, Debug)]
pub struct Responder {
    queue: mpsc::Sender<ToolResponse>,
}

/// The tool has disconnected.
#[derive(Debug)]
pub struct Disconnected;

impl Responder {
    /// A responder that puts responses into a queue, which the tool's connection empties.
    pub fn new(queue: mpsc::Sender<ToolResponse>) -> Responder {
        Responder { queue }
    }

    /// Queues a response, and never waits: a tool that reads nothing must not delay the others. A response
    /// that finds no room is lost, and the tool's connection ends as a write to it times out.
    pub fn respond(&self, response: ToolResponse) {
        let _ = self.queue.try_send(response);
    }

    /// Queues an error.
    pub fn fail(&self, code: ErrorCode, message: impl Into<String>) {
        self.respond(ToolResponse::Error(ErrorResponse::new(code, message)));
    }

    /// Queues the summary of a request that has succeeded and concerns nobody but the agent.
    pub fn succeed(&self) {
        self.respond(ToolResponse::Done(OrderSummary { succeeded: 1, failed: 0 }));
    }

    /// Queues a response, and waits for room.
    ///
    /// # Errors
    /// [`Disconnected`].
    pub async fn respond_when_free(&self, response: ToolResponse) -> Result<(), Disconnected> {
        self.queue.send(response).await.map_err(|_| Disconnected)
    }

    /// Whether the tool has disconnected.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Sends events to all watchers, and to standard error.
#[derive(Clone, Debug)]
pub struct EventSender {
    watchers: broadcast::Sender<String>,
}

impl EventSender {
    /// A sender whose watchers may lag by so many events before they miss some.
    pub fn new(max_lag: usize) -> EventSender {
        EventSender { watchers: broadcast::Sender::new(max_lag) }
    }

    /// Sends an event.
    pub fn emit(&self, line: String) {
        eprintln!("agent: {line}");
        // Fails only while nobody watches.
        let _ = self.watchers.send(line);
    }

    /// All events from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<String> {
        self.watchers.subscribe()
    }
}
