//! The line to one gateway: keeps it up, brings it up to date, and tells the owner what it does.
//!
//! Whatever was heard on an earlier connection, a new one begins with the whole state: the gateway may have
//! started anew, or have missed orders. A question that is not answered in time ends the connection, as a
//! late answer could be taken for that of the next.

use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{
    Applied, Envelope, GatewayRequest, GatewayResponse, GatewayState, OrderResult, MAX_LINE_BYTES,
    MAX_ORDERS_PER_REQUEST,
};
use fleet::{Observation, Order, Revision, Snapshot};
use operator_config::Address;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};
use transport::{Connector, JsonLines, JsonLinesError};

/// Pause after a connection that failed: the first, and the longest. Each is lengthened by a part of it that
/// differs from gateway to gateway, so that a thousand don't come back at one moment.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));
/// A gateway's list is asked for at most once in so many heartbeats.
const LIST_EVERY: u32 = 3;
/// A gateway's state is asked for so soon after orders, at the latest.
const LOOK_SOON: Duration = Duration::from_millis(100);
/// Lost gateways that are called at the same moment.
pub const MAX_CONNECTING: usize = 64;

/// What the owner publishes to all links.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// The whole state.
    pub snapshot: Arc<Snapshot>,
    /// The newest orders, from the oldest; none is missing between them.
    pub recent: Arc<Vec<Order>>,
    /// The newest revision.
    pub newest: Revision,
}

/// What a link tells the owner.
#[derive(Debug)]
pub struct Report {
    /// The gateway.
    pub gateway: Arc<str>,
    /// What was learned of it.
    pub sighting: Observation,
    /// What became of orders.
    pub verdicts: Vec<OrderResult>,
    /// Its state, if it was asked for.
    pub state: Option<GatewayState>,
}

/// What a gateway said, or why it could not be asked.
pub type Said = Result<GatewayResponse, String>;

/// Asks a link to ask its gateway something that changes nothing.
#[derive(Debug)]
pub struct Query {
    pub ask: GatewayRequest,
    pub answer: oneshot::Sender<Said>,
}

/// What all links share.
#[derive(Clone, Debug)]
pub struct Shared {
    pub dialer: Connector,
    pub heartbeat: Duration,
    /// How long a connection and an answer may take.
    pub answer: Duration,
    /// Questions that may be out at the same moment.
    pub fan_out: Arc<Semaphore>,
    /// Calls to lost gateways that may be out at the same moment. Danger: many that are silent, and hold up
    /// those that are not.
    pub calls: Arc<Semaphore>,
    pub published: watch::Receiver<Published>,
    pub reports: mpsc::Sender<Report>,
}

/// Keeps the line to a gateway until the task ends.
pub async fn run(gateway: Arc<str>, address: Address, shared: Shared, mut queries: mpsc::Receiver<Query>) {
    let mut pause = PAUSE.0;
    loop {
        let why = match call(&address, &shared).await {
            Ok(lines) => {
                let mut link = Link { gateway: &gateway, lines, shared: &shared, last: 0, boot: 0 };
                let why = link.talk(&mut queries).await;
                if link.boot != 0 {
                    pause = PAUSE.0;
                }
                why
            }
            Err(why) => why,
        };
        let sighting = Observation::Unreachable(why.clone());
        let report = Report { gateway: Arc::clone(&gateway), sighting, verdicts: Vec::new(), state: None };
        if shared.reports.send(report).await.is_err() {
            return;
        }
        // Each waits some other time, by its name.
        let spread = gateway.bytes().fold(17u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b))) % 256;
        let wait = sleep(pause + pause.mul_f64(f64::from(spread) / 256.0));
        tokio::pin!(wait);
        loop {
            tokio::select! {
                () = &mut wait => break,
                query = queries.recv() => match query {
                    // Fails only when whoever asked is gone.
                    Some(query) => drop(query.answer.send(Err(why.clone()))),
                    None => return,
                }
            }
        }
        pause = (pause * 2).min(PAUSE.1);
    }
}

async fn call(address: &Address, shared: &Shared) -> Result<JsonLines, String> {
    let Ok(_place) = shared.calls.acquire().await else { return Err("the agent is ending".to_string()) };
    shared.dialer.connect(address, shared.answer, MAX_LINE_BYTES).await.map_err(|e| e.to_string())
}

struct Link<'a> {
    gateway: &'a Arc<str>,
    lines: JsonLines,
    shared: &'a Shared,
    /// Number of the last question.
    last: u64,
    /// The gateway's process, once it has answered.
    boot: u64,
}

impl Link<'_> {
    /// Talks until something fails, and says what.
    async fn talk(&mut self, queries: &mut mpsc::Receiver<Query>) -> String {
        match self.follow(queries).await {
            Ok(()) => "the agent is ending".to_string(),
            Err(why) => why,
        }
    }

    async fn follow(&mut self, queries: &mut mpsc::Receiver<Query>) -> Result<(), String> {
        let mut published = self.shared.published.clone();
        let now = published.borrow_and_update().clone();
        // Before anything else. It is told of as heard once its list is known too. Danger: an order refused
        // as no gateway had told its backends, while all are said to be well.
        let snapshot = (*now.snapshot).clone();
        match self.ask(GatewayRequest::Adopt { snapshot }).await? {
            GatewayResponse::Applied(_) => {}
            other => return Err(unexpected(&other)),
        }
        let first = self.state(true).await?;
        let (mut sent, mut floor) = (now.newest, now.snapshot.floor);
        let (mut list, mut since) = (Some(first.list_version), 0);
        self.heard(first).await?;
        let mut beat = interval(self.shared.heartbeat);
        beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                changed = published.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let now = published.borrow_and_update().clone();
                    let after: Vec<Order> =
                        now.recent.iter().filter(|o| o.revision > sent).cloned().collect();
                    // All since the last are there, or the whole state is sent. Also when more is settled, so
                    // that the gateway can forget.
                    let whole = after.first().is_none_or(|o| o.revision != sent.next());
                    if whole || now.snapshot.floor != floor || after.len() > MAX_ORDERS_PER_REQUEST {
                        self.adopt(&now).await?;
                        floor = now.snapshot.floor;
                    } else {
                        let said = self.ask(GatewayRequest::Apply { orders: after }).await?;
                        self.applied(said).await?;
                    }
                    sent = now.newest;
                    // What the orders made of it is asked for once the orders are out everywhere.
                    beat.reset_after(self.shared.heartbeat.min(LOOK_SOON));
                }
                query = queries.recv() => {
                    let Some(Query { ask, answer }) = query else { return Ok(()) };
                    let said = self.ask(ask).await;
                    let lost = said.as_ref().err().cloned();
                    let _ = answer.send(said);
                    if let Some(why) = lost {
                        return Err(why);
                    }
                }
                _ = beat.tick() => {
                    since += 1;
                    let mut state = self.state(false).await?;
                    if list != Some(state.list_version) && since > LIST_EVERY {
                        state = self.state(true).await?;
                        (list, since) = (Some(state.list_version), 0);
                    }
                    self.heard(state).await?;
                }
            }
        }
    }

    async fn state(&mut self, backends: bool) -> Result<GatewayState, String> {
        match self.ask(GatewayRequest::State { backends }).await? {
            // Danger: orders to one gateway carried out by another that has its address now.
            GatewayResponse::State(state) if state.name != **self.gateway => {
                Err(format!("gateway {} answers there", state.name))
            }
            GatewayResponse::State(state) => Ok(state),
            other => Err(unexpected(&other)),
        }
    }

    async fn heard(&mut self, state: GatewayState) -> Result<(), String> {
        self.boot = state.incarnation;
        let sighting = Observation::Reachable {
            incarnation: state.incarnation,
            applied_revision: state.applied_revision,
        };
        self.report(sighting, Vec::new(), Some(state)).await
    }

    async fn adopt(&mut self, now: &Published) -> Result<(), String> {
        let snapshot = (*now.snapshot).clone();
        let said = self.ask(GatewayRequest::Adopt { snapshot }).await?;
        self.applied(said).await
    }

    async fn applied(&mut self, said: GatewayResponse) -> Result<(), String> {
        match said {
            GatewayResponse::Applied(Applied {
                incarnation: boot,
                applied_revision: holds,
                results: verdicts,
            }) => {
                self.boot = boot;
                self.report(
                    Observation::Reachable { incarnation: boot, applied_revision: holds },
                    verdicts,
                    None,
                )
                .await
            }
            other => Err(unexpected(&other)),
        }
    }

    async fn report(
        &mut self,
        sighting: Observation,
        verdicts: Vec<OrderResult>,
        state: Option<GatewayState>,
    ) -> Result<(), String> {
        let report = Report { gateway: Arc::clone(self.gateway), sighting, verdicts, state };
        self.shared.reports.send(report).await.map_err(|_| "the agent is ending".to_string())
    }

    /// Asks one thing and gives the answer to it.
    async fn ask(&mut self, ask: GatewayRequest) -> Result<GatewayResponse, String> {
        let place = self.shared.fan_out.acquire().await;
        let _place = place.map_err(|_| "the agent is ending".to_string())?;
        self.last += 1;
        let n = self.last;
        let answer = async {
            self.lines.send(&Envelope { request_id: n, body: ask }).await?;
            self.lines.next::<Envelope<GatewayResponse>>().await
        };
        let limit = self.shared.answer;
        match timeout(limit, answer).await {
            Err(_) => Err(format!("no answer within {} ms", limit.as_millis())),
            Ok(Ok(Some(said))) if said.request_id == n => Ok(said.body),
            Ok(Ok(Some(said))) => Err(unexpected(&said.body)),
            Ok(Ok(None)) => Err("it ended the connection".to_string()),
            Ok(Err(JsonLinesError::Broken(e))) => Err(format!("connection broke: {e}")),
            Ok(Err(e)) => Err(e.to_string()),
        }
    }
}

/// What it said in place of an answer.
pub fn unexpected(said: &GatewayResponse) -> String {
    match said {
        GatewayResponse::Error(fault) => format!("it says: {}", fault.message),
        _ => "it answered something else".to_string(),
    }
}
