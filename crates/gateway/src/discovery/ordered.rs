//! A start ordered by the agent: a turn for the first call to the list service, and the list that it hands
//! out.

use std::time::Duration;

use cold_start::PollOutcome;
use fleet::wire::{
    Envelope, FirstCallOutcome, FirstCallReport, StartInstructions, ToolRequest, ToolResponse,
    MAX_LINE_BYTES, MAX_START_LIST_BYTES,
};
use fleet::Name;
use operator_config::Address;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;
use transport::Connector;

use crate::listing::List;

/// How long the agent may take for an answer. Danger: a start that waits for an agent that is gone; the
/// gateway's slots go on meanwhile.
const ANSWER: Duration = Duration::from_secs(1);
/// The longest that a turn or the next question may lie ahead.
const MAX_CALL_DELAY_MS: f64 = 10_000.0;

/// Who orders the start, and of whom.
#[derive(Clone)]
pub struct Ordering {
    pub agent: Address,
    pub dialer: Connector,
    pub name: Name,
    /// The gateway's process.
    pub boot: u64,
    pub gateways: u32,
}

/// What the agent says.
pub enum Told {
    /// A list that nobody confirms by this.
    List(List),
    /// The first call may be made now; it is to fetch the whole list or not.
    Turn { fetch: bool },
}

/// What the first call came to, after so long, and the list where it was to be fetched.
pub struct First {
    pub came: PollOutcome,
    pub took: Duration,
    pub fetched: Option<(u64, String)>,
}

/// The talk with the agent; it ends with the value.
pub struct Turns {
    /// What the agent says; ended when there is no more.
    pub told: mpsc::Receiver<Told>,
    first: Option<oneshot::Sender<First>>,
    _task: AbortOnDropHandle<()>,
}

impl Turns {
    /// Begins to ask; `held` is the version of the list held.
    pub fn start(ordering: Ordering, held: Option<u64>) -> Turns {
        let ((say, told), (first, came)) = (mpsc::channel(1), oneshot::channel());
        let task = AbortOnDropHandle::new(tokio::spawn(talk(ordering, held, say, came)));
        Turns { told, first: Some(first), _task: task }
    }

    /// Whether what the first call came to was not told yet.
    pub fn wants(&self) -> bool {
        self.first.is_some()
    }

    /// Tells what the first call came to.
    pub fn came(&mut self, first: First) {
        // Fails only where nothing could be asked of the agent.
        let _ = self.first.take().map(|say| say.send(first));
    }
}

async fn talk(
    ordering: Ordering,
    held: Option<u64>,
    say: mpsc::Sender<Told>,
    mut came: oneshot::Receiver<First>,
) {
    let first = tokio::select! {
        first = &mut came => first,
        heard = line_up(&ordering, held, say) => match heard {
            Ok(()) => came.await,
            Err(why) => {
                tracing::info!("start: no turn from the agent at {}: {why}; slots alone", ordering.agent);
                return;
            }
        },
    };
    let Ok(First { came, took, fetched }) = first else { return };
    let came = match came {
        PollOutcome::Updated | PollOutcome::Unchanged => FirstCallOutcome::Answered,
        PollOutcome::Rejected(_) => FirstCallOutcome::Rejected,
        PollOutcome::TimedOut => FirstCallOutcome::TimedOut,
        PollOutcome::OlderVersion | PollOutcome::Failed => FirstCallOutcome::Failed,
    };
    let list = fetched.filter(|(_, text)| text.len() <= MAX_START_LIST_BYTES);
    let call = FirstCallReport { outcome: came, took_ms: took.as_secs_f64() * 1_000.0, list };
    let Ordering { name, boot, .. } = ordering.clone();
    // Without it the agent goes by what others tell it.
    let _ = ask(&ordering, ToolRequest::Started { name, incarnation: boot, call }).await;
}

/// Asks until there is a turn, or nothing to wait for.
async fn line_up(ordering: &Ordering, mut held: Option<u64>, say: mpsc::Sender<Told>) -> Result<(), String> {
    loop {
        let Ordering { name, boot, gateways, .. } = ordering.clone();
        let said =
            ask(ordering, ToolRequest::Start { name, incarnation: boot, gateways, held_version: held })
                .await?;
        let ToolResponse::Starting(StartInstructions { call_in_ms, fetch, ask_in_ms, list }) = said else {
            return Err("it answered something else".to_string());
        };
        let list = list.and_then(|text| List::read(text.as_bytes()).ok()).filter(|list| list.snapshot);
        if let Some(list) = list.filter(|list| held.is_none_or(|held| list.index > held)) {
            held = Some(list.index);
            // Fails only when the gateway ends, as below.
            let _ = say.send(Told::List(list)).await;
        }
        let time = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, MAX_CALL_DELAY_MS) / 1_000.0);
        match (call_in_ms, ask_in_ms) {
            (Some(ms), _) => {
                sleep(time(ms)).await;
                let _ = say.send(Told::Turn { fetch }).await;
                return Ok(());
            }
            (None, Some(ms)) => sleep(time(ms)).await,
            (None, None) => return Ok(()),
        }
    }
}

async fn ask(ordering: &Ordering, body: ToolRequest) -> Result<ToolResponse, String> {
    let asked = async {
        let lines = ordering.dialer.connect(&ordering.agent, ANSWER, MAX_LINE_BYTES).await;
        let mut lines = lines.map_err(|e| e.to_string())?;
        lines.send(&Envelope { request_id: 1, body }).await.map_err(|e| e.to_string())?;
        match lines.next::<Envelope<ToolResponse>>().await.map_err(|e| e.to_string())? {
            Some(Envelope { body: ToolResponse::Error(fault), .. }) => Err(fault.message),
            Some(said) => Ok(said.body),
            None => Err("it ended the connection".to_string()),
        }
    };
    timeout(ANSWER, asked).await.unwrap_or_else(|_| Err("no answer in time".to_string()))
}
