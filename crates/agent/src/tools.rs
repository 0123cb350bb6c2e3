//! The listener for tools. Each connection asks one thing after the other.

use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{Envelope, ErrorCode, ErrorResponse, ToolRequest, ToolResponse};
use tokio::sync::{broadcast, mpsc, Semaphore};
use tokio::time::{sleep, timeout};
use transport::{JsonLines, JsonLinesError, Listener};

use crate::owner::Asked;

/// Connections at once; further ones wait in the listener's line.
const MAX_CONNECTIONS: usize = 256;
/// How long a connection may say nothing between its questions.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a line may take to be written. Danger: a tool that reads nothing.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Things that may be on their way to one tool: what all gateways did, and more.
const MAX_QUEUED_RESPONSES: usize = operator_config::MAX_GATEWAYS + 16;

/// What may be asked on a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All.
    All,
    /// To oversee a gateway, and for a turn when it starts, by that gateway. Danger: whoever may register a
    /// gateway, and orders drains.
    Register,
}

/// Takes connections until the task ends.
pub async fn serve(
    listener: Listener,
    scope: Scope,
    inputs: mpsc::Sender<Asked>,
    events: broadcast::Sender<String>,
) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        let arrival = match listener.accept().await {
            Ok(arrival) => arrival,
            Err(_) => {
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (inputs, events) = (inputs.clone(), events.clone());
        tokio::spawn(async move {
            match arrival.open().await {
                Ok(mut lines) => {
                    // Whatever ends the connection, there is nobody left to tell.
                    let _ = talk(&mut lines, scope, &inputs, &events).await;
                }
                Err(e) => eprintln!("agent: turned away: {e}"),
            }
            drop(place);
        });
    }
}

/// The connection is of no more use.
struct Over;

async fn talk(
    lines: &mut JsonLines,
    scope: Scope,
    inputs: &mpsc::Sender<Asked>,
    events: &broadcast::Sender<String>,
) -> Result<(), Over> {
    loop {
        let Envelope { request_id: n, body } =
            match timeout(IDLE_TIMEOUT, lines.next::<Envelope<ToolRequest>>()).await {
                Ok(Ok(Some(asked))) => asked,
                Ok(Err(JsonLinesError::Malformed(why))) => {
                    say(lines, 0, ToolResponse::Error(ErrorResponse::new(ErrorCode::BadRequest, why)))
                        .await?;
                    continue;
                }
                Ok(Err(e @ JsonLinesError::TooLong(_))) => {
                    return say(
                        lines,
                        0,
                        ToolResponse::Error(ErrorResponse::new(ErrorCode::TooLong, e.to_string())),
                    )
                    .await;
                }
                Ok(Ok(None) | Err(JsonLinesError::Broken(_))) | Err(_) => return Err(Over),
            };
        let of_gateways = matches!(
            body,
            ToolRequest::Register { .. } | ToolRequest::Start { .. } | ToolRequest::Started { .. }
        );
        if scope == Scope::Register && !of_gateways {
            let fault = ErrorResponse::new(
                ErrorCode::Forbidden,
                "gateways register here, and ask for turns, and nothing else",
            );
            say(lines, n, ToolResponse::Error(fault)).await?;
            continue;
        }
        if matches!(body, ToolRequest::Watch) {
            return watch(lines, n, events.subscribe()).await;
        }
        // What is last said of an order, or of all backends, is Done; of all else there is one thing to say.
        let many = matches!(body, ToolRequest::Order { .. } | ToolRequest::Status { backends: true });
        let (sender, mut said) = mpsc::channel(if many { MAX_QUEUED_RESPONSES } else { 1 });
        if inputs.send(Asked { ask: body, say: sender }).await.is_err() {
            return say(
                lines,
                n,
                ToolResponse::Error(ErrorResponse::new(ErrorCode::Unavailable, "the agent is ending")),
            )
            .await;
        }
        loop {
            let Some(what) = said.recv().await else {
                // The agent is ending, or could not write its log.
                return Err(Over);
            };
            let last = !many || matches!(what, ToolResponse::Done(_) | ToolResponse::Error(_));
            say(lines, n, what).await?;
            if last {
                break;
            }
        }
    }
}

async fn watch(lines: &mut JsonLines, n: u64, mut events: broadcast::Receiver<String>) -> Result<(), Over> {
    say(lines, n, ToolResponse::Event("watching".to_string())).await?;
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Ok(line) => say(lines, n, ToolResponse::Event(line)).await?,
                Err(broadcast::error::RecvError::Lagged(missed)) => {
                    say(lines, n, ToolResponse::Event(format!("{missed} events were missed"))).await?;
                }
                Err(broadcast::error::RecvError::Closed) => return Err(Over),
            },
            // Nothing more is asked on it; its end is told like this.
            _ = lines.next::<Envelope<ToolRequest>>() => return Err(Over),
        }
    }
}

async fn say(lines: &mut JsonLines, n: u64, what: ToolResponse) -> Result<(), Over> {
    match timeout(WRITE_TIMEOUT, lines.send(&Envelope { request_id: n, body: what })).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(Over),
    }
}
