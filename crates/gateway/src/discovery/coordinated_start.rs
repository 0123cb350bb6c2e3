//! A start coordinated by the agent, which assigns the slot for the first call to discovery and may
//! provide the list itself.

use std::fmt;
use std::time::Duration;

use cold_start::PollOutcome;
use fleet::wire::{
    Envelope, ErrorResponse, FirstCall, FirstCallOutcome, StartInstructions, ToolRequest, ToolResponse,
    MAX_LINE_BYTES, MAX_START_LIST_BYTES,
};
use fleet::Name;
use operator_config::Address;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;
use transport::{ConnectError, Connector, JsonLinesError};

use crate::endpoint_list::EndpointList;

/// Timeout for a response of the agent, so that a start does not wait for an agent that does not respond. The
/// gateway's own slots continue meanwhile.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest accepted delay until a slot or the next request, ms.
const MAX_CALL_DELAY_MS: f64 = 10_000.0;

/// The agent that coordinates the start, and how this gateway identifies itself to it.
#[derive(Clone)]
pub struct CoordinatedStart {
    pub agent: Address,
    pub connector: Connector,
    pub name: Name,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Number of gateways in the fleet, including this one.
    pub gateways: u32,
}

/// A message from the agent.
pub enum AgentMessage {
    /// A list, which is not confirmed by discovery.
    List(EndpointList),
    /// The first call may be made now. `fetch`: it must fetch the whole list.
    Slot { fetch: bool },
}

/// The result of the first call, how long it took, and the version and text of the list if it was to be
/// fetched.
pub struct FirstCallResult {
    pub result: PollOutcome,
    pub took: Duration,
    pub fetched: Option<(u64, String)>,
}

/// The exchange with the agent. Dropping it ends the exchange.
pub struct SlotRequest {
    /// Messages of the agent; closed when there are no more.
    pub messages: mpsc::Receiver<AgentMessage>,
    report: Option<oneshot::Sender<FirstCallResult>>,
    _task: AbortOnDropHandle<()>,
}

impl SlotRequest {
    /// Starts asking for a slot; `held` is the version of the cached list.
    pub fn start(start: CoordinatedStart, held: Option<u64>) -> SlotRequest {
        let (sender, messages) = mpsc::channel(1);
        let (report, reported) = oneshot::channel();
        let task = AbortOnDropHandle::new(tokio::spawn(run(start, held, sender, reported)));
        SlotRequest { messages, report: Some(report), _task: task }
    }

    /// Returns whether the first call has not been reported yet.
    pub fn wants_report(&self) -> bool {
        self.report.is_some()
    }

    /// Reports the result of the first call to the agent.
    pub fn report(&mut self, report: FirstCallResult) {
        // Fails only if the exchange has ended because the agent gave no slot.
        let _ = self.report.take().map(|sender| sender.send(report));
    }
}

async fn run(
    start: CoordinatedStart,
    held: Option<u64>,
    messages: mpsc::Sender<AgentMessage>,
    mut reported: oneshot::Receiver<FirstCallResult>,
) {
    let report = tokio::select! {
        report = &mut reported => report,
        slot = request_slot(&start, held, messages) => match slot {
            Ok(()) => reported.await,
            Err(e) => {
                tracing::info!("start: no slot from the agent at {}: {e}; using own slots", start.agent);
                return;
            }
        },
    };
    let Ok(FirstCallResult { result, took, fetched }) = report else { return };
    let outcome = match result {
        PollOutcome::Updated | PollOutcome::Unchanged => FirstCallOutcome::Answered,
        PollOutcome::Rejected(_) => FirstCallOutcome::Rejected,
        PollOutcome::TimedOut => FirstCallOutcome::TimedOut,
        PollOutcome::OlderVersion | PollOutcome::Failed => FirstCallOutcome::Failed,
    };
    let list = fetched.filter(|(_, text)| text.len() <= MAX_START_LIST_BYTES);
    let call = FirstCall { outcome, took_ms: took.as_secs_f64() * 1_000.0, list };
    let CoordinatedStart { name, incarnation, .. } = start.clone();
    // If this report is lost, the agent relies on the reports of other gateways.
    let _ = request(&start, ToolRequest::Started { name, incarnation, call }).await;
}

/// Sends requests to the agent until it assigns a slot or ends the exchange.
async fn request_slot(
    start: &CoordinatedStart,
    mut held: Option<u64>,
    messages: mpsc::Sender<AgentMessage>,
) -> Result<(), AgentError> {
    loop {
        let CoordinatedStart { name, incarnation, gateways, .. } = start.clone();
        let response =
            request(start, ToolRequest::Start { name, incarnation, gateways, held_version: held }).await?;
        let ToolResponse::Starting(StartInstructions { call_in_ms, fetch, ask_in_ms, list }) = response
        else {
            return Err(AgentError::Unexpected);
        };
        let list =
            list.and_then(|text| EndpointList::parse(text.as_bytes()).ok()).filter(|list| list.snapshot);
        if let Some(list) = list.filter(|list| held.is_none_or(|held| list.version > held)) {
            held = Some(list.version);
            // Fails only if the gateway is ending, as does the send below.
            let _ = messages.send(AgentMessage::List(list)).await;
        }
        let delay = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, MAX_CALL_DELAY_MS) / 1_000.0);
        match (call_in_ms, ask_in_ms) {
            (Some(ms), _) => {
                sleep(delay(ms)).await;
                let _ = messages.send(AgentMessage::Slot { fetch }).await;
                return Ok(());
            }
            (None, Some(ms)) => sleep(delay(ms)).await,
            (None, None) => return Ok(()),
        }
    }
}

async fn request(start: &CoordinatedStart, body: ToolRequest) -> Result<ToolResponse, AgentError> {
    let responded = async {
        let lines = start.connector.connect(&start.agent, RESPONSE_TIMEOUT, MAX_LINE_BYTES).await;
        let mut lines = lines.map_err(AgentError::Connect)?;
        lines.send(&Envelope { request_id: 1, body }).await.map_err(AgentError::Line)?;
        match lines.next::<Envelope<ToolResponse>>().await.map_err(AgentError::Line)? {
            Some(Envelope { body: ToolResponse::Error(error), .. }) => Err(AgentError::Rejected(error)),
            Some(response) => Ok(response.body),
            None => Err(AgentError::Closed),
        }
    };
    timeout(RESPONSE_TIMEOUT, responded).await.unwrap_or(Err(AgentError::TimedOut))
}

/// Why the agent gave no slot.
#[derive(Debug)]
enum AgentError {
    Connect(ConnectError),
    Line(JsonLinesError),
    Rejected(ErrorResponse),
    Unexpected,
    Closed,
    TimedOut,
}

impl fmt::Display for AgentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgentError::Connect(e) => e.fmt(f),
            AgentError::Line(e) => e.fmt(f),
            AgentError::Rejected(error) => f.write_str(&error.message),
            AgentError::Unexpected => f.write_str("unexpected response"),
            AgentError::Closed => f.write_str("connection closed by the agent"),
            AgentError::TimedOut => write!(f, "no response within {RESPONSE_TIMEOUT:?}"),
        }
    }
}

impl std::error::Error for AgentError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            AgentError::Connect(e) => Some(e),
            AgentError::Line(e) => Some(e),
            _ => None,
        }
    }
}
