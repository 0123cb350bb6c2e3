//! The admin listener, through which operators and the agent query and control this gateway. It is open only
//! if the operator's file configures it.

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

/// Maximum number of concurrent connections. Their file descriptors come from those reserved for the runtime.
const MAX_CONNECTIONS: usize = 8;
/// Time to wait for the next request before a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for one registration with the agent.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from a successful registration to the next one.
const REGISTER_INTERVAL: Duration = Duration::from_secs(10);
/// Time from a failed registration to the next one.
const REGISTER_BACKOFF: Duration = Duration::from_secs(1);
/// Pause after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Opens the admin listener of the gateway with this name.
pub async fn listen(admin: &AdminConfig, name: &str) -> Result<Listener, BindError> {
    Listener::bind(&admin.listen.for_gateway(name), admin.tls.as_ref(), MAX_LINE_BYTES).await
}

/// Accepts connections until the task is cancelled. Requests on one connection are answered one at a time.
pub async fn serve(listener: Listener, inbox: mpsc::Sender<Input>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        // Further connections wait in the listener's backlog until a permit is free.
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok(incoming) = listener.accept().await else {
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let inbox = inbox.clone();
        tokio::spawn(async move {
            match incoming.open().await {
                Ok(lines) => serve_connection(lines, inbox).await,
                // Logs the reason only, never the bytes that the peer sent.
                Err(e) => tracing::warn!("admin: turned away: {e}"),
            }
            drop(permit);
        });
    }
}

/// An error that made a registration with the agent fail.
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
            RegisterError::Rejected(error) => f.write_str(&error.message),
            RegisterError::Unexpected => f.write_str("unexpected response"),
            RegisterError::Closed => f.write_str("the agent closed the connection"),
            RegisterError::TimedOut => write!(f, "no response within {REGISTER_TIMEOUT:?}"),
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

/// Registers this gateway with an agent periodically, until the task is cancelled: the agent may start later
/// than the gateway, or lose its state. Registration is idempotent.
pub async fn register(agent: Address, name: Name, admin: Address, connector: Connector) {
    let mut last_problem = String::new();
    loop {
        let registered = timeout(REGISTER_TIMEOUT, register_once(&agent, &name, &admin, &connector)).await;
        let problem = match registered.unwrap_or(Err(RegisterError::TimedOut)) {
            Ok(()) => String::new(),
            Err(e) => e.to_string(),
        };
        // Logs a problem when it first occurs, not at every retry.
        if problem != last_problem && !problem.is_empty() {
            tracing::warn!("registration with the agent at {agent} failed: {problem}");
        }
        sleep(if problem.is_empty() { REGISTER_INTERVAL } else { REGISTER_BACKOFF }).await;
        last_problem = problem;
    }
}

async fn register_once(
    agent: &Address,
    name: &Name,
    admin: &Address,
    connector: &Connector,
) -> Result<(), RegisterError> {
    let connected = connector.connect(agent, REGISTER_TIMEOUT, MAX_LINE_BYTES).await;
    let mut lines = connected.map_err(RegisterError::Connect)?;
    let body = ToolRequest::Register { name: name.clone(), address: admin.to_string() };
    lines.send(&Envelope { request_id: 1, body }).await.map_err(RegisterError::Line)?;
    match lines.next::<Envelope<ToolResponse>>().await.map_err(RegisterError::Line)? {
        Some(Envelope { body: ToolResponse::Done(_), .. }) => Ok(()),
        Some(Envelope { body: ToolResponse::Error(error), .. }) => Err(RegisterError::Rejected(error)),
        Some(_) => Err(RegisterError::Unexpected),
        None => Err(RegisterError::Closed),
    }
}

/// A response to a request on an admin connection.
struct Response {
    envelope: Envelope<GatewayResponse>,
    /// Whether the connection is closed after this response.
    closes: bool,
}

impl Response {
    /// An error response to a request whose id could not be read.
    fn error(code: ErrorCode, message: String, closes: bool) -> Response {
        Response {
            envelope: Envelope {
                request_id: 0,
                body: GatewayResponse::Error(ErrorResponse::new(code, message)),
            },
            closes,
        }
    }
}

async fn serve_connection(mut lines: JsonLines, inbox: mpsc::Sender<Input>) {
    while let Some(Response { envelope, closes }) = next_response(&mut lines, &inbox).await {
        let written = timeout(WRITE_TIMEOUT, lines.send(&envelope)).await;
        if closes || !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}

/// Reads the next request and returns the event loop's response; `None` when the connection ends or is idle
/// for too long.
async fn next_response(lines: &mut JsonLines, inbox: &mpsc::Sender<Input>) -> Option<Response> {
    match timeout(IDLE_TIMEOUT, lines.next::<Envelope<GatewayRequest>>()).await {
        Ok(Ok(Some(Envelope { request_id, body: request }))) => {
            let (reply, response) = oneshot::channel();
            inbox.send(Input::AdminRequest { request, reply }).await.ok()?;
            let shutting_down = || {
                GatewayResponse::Error(ErrorResponse::new(ErrorCode::Unavailable, "the gateway is ending"))
            };
            let body = response.await.unwrap_or_else(|_| shutting_down());
            Some(Response { envelope: Envelope { request_id, body }, closes: false })
        }
        Ok(Err(JsonLinesError::Malformed(reason))) => {
            Some(Response::error(ErrorCode::BadRequest, reason, false))
        }
        Ok(Err(e @ JsonLinesError::TooLong(_))) => {
            Some(Response::error(ErrorCode::TooLong, e.to_string(), true))
        }
        Ok(Ok(None) | Err(JsonLinesError::Io(_))) | Err(_) => None,
    }
}
