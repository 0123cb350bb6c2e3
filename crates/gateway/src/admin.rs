//! The admin listener: off unless the operator's file turns it on.

use std::time::Duration;

use fleet::wire::{
    Envelope, ErrorCode, ErrorResponse, GatewayRequest, GatewayResponse, ToolRequest, ToolResponse,
    MAX_LINE_BYTES,
};
use fleet::Name;
use operator_config::{Address, AdminConfig};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::{sleep, timeout};
use transport::{BindError, Connector, JsonLines, JsonLinesError, Listener};

use crate::input::Input;

/// Connections at once: they take their descriptors from those that are kept for the runtime.
const MAX_CONNECTIONS: usize = 8;
/// How long a connection may say nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long an answer may take to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a registration may take.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between registrations: after one that failed, and after one that did not.
const REGISTER_EVERY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens the listener for a gateway of this name.
pub async fn listen(admin: &AdminConfig, name: &str) -> Result<Listener, BindError> {
    Listener::bind(&admin.listen.for_gateway(name), admin.tls.as_ref(), MAX_LINE_BYTES).await
}

/// Takes connections until the task ends. Each asks one thing after the other.
pub async fn serve(listener: Listener, inbox: mpsc::Sender<Input>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        // Danger: connections that nobody closes. Those beyond the places wait in the listener's line.
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        let arrival = match listener.accept().await {
            Ok(arrival) => arrival,
            Err(_) => {
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let inbox = inbox.clone();
        tokio::spawn(async move {
            match arrival.open().await {
                Ok(lines) => talk(lines, inbox).await,
                // Why somebody was turned away, never what they sent.
                Err(e) => tracing::warn!("admin: turned away: {e}"),
            }
            drop(place);
        });
    }
}

/// Tells an agent of this gateway, again and again, until the task ends: the agent may start later, or have
/// lost what it knew. The same again changes nothing there.
pub async fn register(agent: Address, name: Name, admin: Address, dialer: Connector) {
    let mut told = String::new();
    loop {
        let said = match timeout(REGISTER_TIMEOUT, tell(&agent, &name, &admin, &dialer)).await {
            Ok(Ok(())) => String::new(),
            Ok(Err(why)) => why,
            Err(_) => "no answer in time".to_string(),
        };
        // Each reason once, and not every few seconds.
        if said != told && !said.is_empty() {
            tracing::warn!("register at {agent}: {said}");
        }
        sleep(if said.is_empty() { REGISTER_EVERY.1 } else { REGISTER_EVERY.0 }).await;
        told = said;
    }
}

async fn tell(agent: &Address, name: &Name, admin: &Address, dialer: &Connector) -> Result<(), String> {
    let lines = dialer.connect(agent, REGISTER_TIMEOUT, MAX_LINE_BYTES).await;
    let mut lines = lines.map_err(|e| e.to_string())?;
    let body = ToolRequest::Register { name: name.clone(), address: admin.to_string() };
    lines.send(&Envelope { request_id: 1, body }).await.map_err(|e| e.to_string())?;
    match lines.next::<Envelope<ToolResponse>>().await.map_err(|e| e.to_string())? {
        Some(Envelope { body: ToolResponse::Done(_), .. }) => Ok(()),
        Some(Envelope { body: ToolResponse::Error(fault), .. }) => Err(fault.message),
        Some(_) => Err("it answered something else".to_string()),
        None => Err("it ended the connection".to_string()),
    }
}

async fn talk(mut lines: JsonLines, inbox: mpsc::Sender<Input>) {
    loop {
        let (n, said, last) = match timeout(IDLE_TIMEOUT, lines.next::<Envelope<GatewayRequest>>()).await {
            Ok(Ok(Some(Envelope { request_id: n, body }))) => {
                let (say, said) = oneshot::channel();
                if inbox.send(Input::Asked { ask: body, say }).await.is_err() {
                    return;
                }
                let ending = || {
                    GatewayResponse::Error(ErrorResponse::new(
                        ErrorCode::Unavailable,
                        "the gateway is ending",
                    ))
                };
                (n, said.await.unwrap_or_else(|_| ending()), false)
            }
            Ok(Err(JsonLinesError::Malformed(why))) => {
                (0, GatewayResponse::Error(ErrorResponse::new(ErrorCode::BadRequest, why)), false)
            }
            Ok(Err(e @ JsonLinesError::TooLong(_))) => {
                (0, GatewayResponse::Error(ErrorResponse::new(ErrorCode::TooLong, e.to_string())), true)
            }
            Ok(Ok(None) | Err(JsonLinesError::Broken(_))) | Err(_) => return,
        };
        let written = timeout(WRITE_TIMEOUT, lines.send(&Envelope { request_id: n, body: said })).await;
        if last || !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
