//! A start ordered by the agent: a slot for the first call to the list service, and the list that it hands
//! out.

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

/// How long the agent may take for an answer: a start must not wait for an agent that is gone. The gateway's
/// slots go on meanwhile.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest that a slot or the next request may lie ahead, ms.
const MAX_CALL_DELAY_MS: f64 = 10_000.0;

/// Who orders the start, and of whom.
#[derive(Clone)]
pub struct StartOrder {
    pub agent: Address,
    pub dialer: Connector,
    pub name: Name,
    /// The gateway's process.
    pub incarnation: u64,
    pub gateways: u32,
}

/// What the agent gives.
pub enum AgentMessage {
    /// A list that nobody confirms by this.
    List(EndpointList),
    /// The first call may be made now; it is to fetch the whole list or not.
    Slot { fetch: bool },
}

/// What came of the first call, after so long, and the list where it was to be fetched.
pub struct FirstCallResult {
    pub result: PollOutcome,
    pub took: Duration,
    pub fetched: Option<(u64, String)>,
}

/// The exchange with the agent; it ends with the value.
pub struct SlotRequest {
    /// What the agent gives; ended when there is no more.
    pub messages: mpsc::Receiver<AgentMessage>,
    report: Option<oneshot::Sender<FirstCallResult>>,
    _task: AbortOnDropHandle<()>,
}

impl SlotRequest {
    /// Begins to ask; `held` is the version of the cached list.
    pub fn start(order: StartOrder, held: Option<u64>) -> SlotRequest {
        let (sender, messages) = mpsc::channel(1);
        let (report, reported) = oneshot::channel();
        let task = AbortOnDropHandle::new(tokio::spawn(run(order, held, sender, reported)));
        SlotRequest { messages, report: Some(report), _task: task }
    }

    /// Whether the first call was not reported yet.
    pub fn wants_report(&self) -> bool {
        self.report.is_some()
    }

    /// Reports the first call.
    pub fn report(&mut self, report: FirstCallResult) {
        // Fails only where nothing could be asked of the agent.
        let _ = self.report.take().map(|sender| sender.send(report));
    }
}

async fn run(
    order: StartOrder,
    held: Option<u64>,
    messages: mpsc::Sender<AgentMessage>,
    mut reported: oneshot::Receiver<FirstCallResult>,
) {
    let report = tokio::select! {
        report = &mut reported => report,
        slot = request_slot(&order, held, messages) => match slot {
            Ok(()) => reported.await,
            Err(e) => {
                tracing::info!("start: no turn from the agent at {}: {e}; slots alone", order.agent);
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
    let StartOrder { name, incarnation, .. } = order.clone();
    // Without it the agent goes by what others tell it.
    let _ = request(&order, ToolRequest::Started { name, incarnation, call }).await;
}

/// Asks until there is a slot, or nothing to wait for.
async fn request_slot(
    order: &StartOrder,
    mut held: Option<u64>,
    messages: mpsc::Sender<AgentMessage>,
) -> Result<(), AgentError> {
    loop {
        let StartOrder { name, incarnation, gateways, .. } = order.clone();
        let response =
            request(order, ToolRequest::Start { name, incarnation, gateways, held_version: held }).await?;
        let ToolResponse::Starting(StartInstructions { call_in_ms, fetch, ask_in_ms, list }) = response
        else {
            return Err(AgentError::Unexpected);
        };
        let list =
            list.and_then(|text| EndpointList::read(text.as_bytes()).ok()).filter(|list| list.snapshot);
        if let Some(list) = list.filter(|list| held.is_none_or(|held| list.index > held)) {
            held = Some(list.index);
            // Fails only when the gateway ends, as below.
            let _ = messages.send(AgentMessage::List(list)).await;
        }
        let time = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, MAX_CALL_DELAY_MS) / 1_000.0);
        match (call_in_ms, ask_in_ms) {
            (Some(ms), _) => {
                sleep(time(ms)).await;
                let _ = messages.send(AgentMessage::Slot { fetch }).await;
                return Ok(());
            }
            (None, Some(ms)) => sleep(time(ms)).await,
            (None, None) => return Ok(()),
        }
    }
}

async fn request(order: &StartOrder, body: ToolRequest) -> Result<ToolResponse, AgentError> {
    let responded = async {
        let lines = order.dialer.connect(&order.agent, RESPONSE_TIMEOUT, MAX_LINE_BYTES).await;
        let mut lines = lines.map_err(AgentError::Connect)?;
        lines.send(&Envelope { request_id: 1, body }).await.map_err(AgentError::Line)?;
        match lines.next::<Envelope<ToolResponse>>().await.map_err(AgentError::Line)? {
            Some(Envelope { body: ToolResponse::Error(fault), .. }) => Err(AgentError::Rejected(fault)),
            Some(response) => Ok(response.body),
            None => Err(AgentError::Closed),
        }
    };
    timeout(RESPONSE_TIMEOUT, responded).await.unwrap_or(Err(AgentError::TimedOut))
}

/// Why the agent gives no slot.
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
            AgentError::Rejected(fault) => f.write_str(&fault.message),
            AgentError::Unexpected => f.write_str("it answered something else"),
            AgentError::Closed => f.write_str("it ended the connection"),
            AgentError::TimedOut => f.write_str("no answer in time"),
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
