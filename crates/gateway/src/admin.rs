//! The admin listener: off unless the operator's file turns it on.

use std::time::Duration;

use beechrudder_channel::{BindError, LineError, Lines, Listener};
use beechrudder_fleet::wire::{Code, Fault, GatewayAsk, GatewaySay, Numbered, LINE_MOST};
use beechrudder_operator::Admin;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::time::{sleep, timeout};

use crate::input::Input;

/// Connections at once: they take their descriptors from those that are kept for the runtime.
const CONNECTIONS_MOST: usize = 8;
/// How long a connection may say nothing.
const QUIET_MOST: Duration = Duration::from_secs(60);
/// How long an answer may take to be written.
const WRITE_MOST: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Opens the listener for a gateway of this name.
pub async fn listen(admin: &Admin, name: &str) -> Result<Listener, BindError> {
    Listener::bind(&admin.listen.of(name), admin.tls.as_ref(), LINE_MOST).await
}

/// Takes connections until the task ends. Each asks one thing after the other.
pub async fn serve(listener: Listener, inbox: mpsc::Sender<Input>) {
    let places = Arc::new(Semaphore::new(CONNECTIONS_MOST));
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
                Err(e) => eprintln!("slatelock-gateway: admin: turned away: {e}"),
            }
            drop(place);
        });
    }
}

async fn talk(mut lines: Lines, inbox: mpsc::Sender<Input>) {
    loop {
        let (n, said, last) = match timeout(QUIET_MOST, lines.next::<Numbered<GatewayAsk>>()).await {
            Ok(Ok(Some(Numbered { n, body }))) => {
                let (say, said) = oneshot::channel();
                if inbox.send(Input::Asked { ask: body, say }).await.is_err() {
                    return;
                }
                let ending = || GatewaySay::Fault(Fault::new(Code::Unavailable, "the gateway is ending"));
                (n, said.await.unwrap_or_else(|_| ending()), false)
            }
            Ok(Err(LineError::Unreadable(why))) => {
                (0, GatewaySay::Fault(Fault::new(Code::BadRequest, why)), false)
            }
            Ok(Err(e @ LineError::TooLong(_))) => {
                (0, GatewaySay::Fault(Fault::new(Code::TooLong, e.to_string())), true)
            }
            Ok(Ok(None) | Err(LineError::Broken(_))) | Err(_) => return,
        };
        let written = timeout(WRITE_MOST, lines.send(&Numbered { n, body: said })).await;
        if last || !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
