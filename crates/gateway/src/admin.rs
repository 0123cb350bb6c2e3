//! The admin listener: off unless the operator's file turns it on.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{
    Envelope, ErrorCode, ErrorResponse, GatewayRequest, GatewayResponse, ToolRequest, ToolResponse,
    MAX_LINE_BYTES,
};
use fleet::Name;
use operator_config::{Address, AdminConfig};
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::{sleep, timeout};
use transport::{BindError, ConnectError, Connector, JsonLines, JsonLinesError, Listener};

use crate::input::Input;

/// Connections at once: they take their descriptors from those that are kept for the runtime.
const MAX_CONNECTIONS: usize = 8;
/// How long a connection may say nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a response may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a registration may take.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between registrations.
const REGISTER_INTERVAL: Duration = Duration::from_secs(10);
/// Time after a registration that failed.
const REGISTER_BACKOFF: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Opens the listener for a gateway of this name.
pub async fn listen(admin: &AdminConfig, name: &str) -> Result<Listener, BindError> {
    Listener::bind(&admin.listen.for_gateway(name), admin.tls.as_ref(), MAX_LINE_BYTES).await
}

/// Accepts connections until the task ends. Each asks one thing after the other.
pub async fn serve(listener: Listener, inbox: mpsc::Sender<Input>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        // Connections beyond the permits wait in the listener's line until others close.
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok(arrival) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let inbox = inbox.clone();
        tokio::spawn(async move {
            match arrival.open().await {
                Ok(lines) => serve_connection(lines, inbox).await,
                // Why somebody was turned away, never what they sent.
                Err(e) => tracing::warn!("admin: turned away: {e}"),
            }
            drop(permit);
        });
    }
}

/// Why the agent was not told of this gateway.
#[derive(Debug)]
enum RegisterError {
    Connect(ConnectError),
    Line(JsonLinesError),
    Rejected(ErrorResponse),
    Unexpected,
    Closed,
    TimedOut,
}

impl fmt::Display for RegisterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RegisterError::Connect(e) => e.fmt(f),
            RegisterError::Line(e) => e.fmt(f),
            RegisterError::Rejected(fault) => f.write_str(&fault.message),
            RegisterError::Unexpected => f.write_str("it answered something else"),
            RegisterError::Closed => f.write_str("it ended the connection"),
            RegisterError::TimedOut => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for RegisterError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RegisterError::Connect(e) => Some(e),
            RegisterError::Line(e) => Some(e),
            _ => None,
        }
    }
}

/// Registers this gateway with an agent, again and again, until the task ends: the agent may start later, or
/// have lost what it knew. The same again changes nothing there.
pub async fn register(agent: Address, name: Name, admin: Address, dialer: Connector) {
    let mut last_problem = String::new();
    loop {
        let registered = timeout(REGISTER_TIMEOUT, register_once(&agent, &name, &admin, &dialer)).await;
        let problem = match registered.unwrap_or(Err(RegisterError::TimedOut)) {
            Ok(()) => String::new(),
            Err(e) => e.to_string(),
        };
        // Each reason once, and not every few seconds.
        if problem != last_problem && !problem.is_empty() {
            tracing::warn!("register at {agent}: {problem}");
        }
        sleep(if problem.is_empty() { REGISTER_INTERVAL } else { REGISTER_BACKOFF }).await;
        last_problem = problem;
    }
}

async fn register_once(
    agent: &Address,
    name: &Name,
    admin: &Address,
    dialer: &Connector,
) -> Result<(), RegisterError> {
    let connected = dialer.connect(agent, REGISTER_TIMEOUT, MAX_LINE_BYTES).await;
    let mut lines = connected.map_err(RegisterError::Connect)?;
    let body = ToolRequest::Register { name: name.clone(), address: admin.to_string() };
    lines.send(&Envelope { request_id: 1, body }).await.map_err(RegisterError::Line)?;
    match lines.next::<Envelope<ToolResponse>>().await.map_err(RegisterError::Line)? {
        Some(Envelope { body: ToolResponse::Done(_), .. }) => Ok(()),
        Some(Envelope { body: ToolResponse::Error(fault), .. }) => Err(RegisterError::Rejected(fault)),
        Some(_) => Err(RegisterError::Unexpected),
        None => Err(RegisterError::Closed),
    }
}

/// A response, and whether the connection ends with it.
struct Response {
    line: Envelope<GatewayResponse>,
    last: bool,
}

impl Response {
    fn fault(code: ErrorCode, message: String, last: bool) -> Response {
        Response {
            line: Envelope { request_id: 0, body: GatewayResponse::Error(ErrorResponse::new(code, message)) },
            last,
        }
    }
}

async fn serve_connection(mut lines: JsonLines, inbox: mpsc::Sender<Input>) {
    while let Some(Response { line, last }) = next_response(&mut lines, &inbox).await {
        let written = timeout(WRITE_TIMEOUT, lines.send(&line)).await;
        if last || !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}

/// Reads a request, and has the event loop answer it; `None` when the connection ends.
async fn next_response(lines: &mut JsonLines, inbox: &mpsc::Sender<Input>) -> Option<Response> {
    match timeout(IDLE_TIMEOUT, lines.next::<Envelope<GatewayRequest>>()).await {
        Ok(Ok(Some(Envelope { request_id, body: request }))) => {
            let (reply, response) = oneshot::channel();
            inbox.send(Input::AdminRequest { request, reply }).await.ok()?;
            let ending = || {
                GatewayResponse::Error(ErrorResponse::new(ErrorCode::Unavailable, "the gateway is ending"))
            };
            let body = response.await.unwrap_or_else(|_| ending());
            Some(Response { line: Envelope { request_id, body }, last: false })
        }
        Ok(Err(JsonLinesError::Malformed(why))) => Some(Response::fault(ErrorCode::BadRequest, why, false)),
        Ok(Err(e @ JsonLinesError::TooLong(_))) => {
            Some(Response::fault(ErrorCode::TooLong, e.to_string(), true))
        }
        Ok(Ok(None) | Err(JsonLinesError::Io(_))) | Err(_) => None,
    }
}
