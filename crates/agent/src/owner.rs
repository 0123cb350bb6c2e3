//! The one owner of the book: judges orders, has them written down, publishes them, and tells whoever asked
//! what each gateway did.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fleet::wire::{
    ErrorCode, ErrorResponse, FleetStatus, GatewayBackends, GatewayRequest, GatewayResponse, GatewayState,
    GatewayStatus, InstanceOutcome, InstanceReport, LoggedOrder, OrderAccepted, OrderSummary, ToolRequest,
    ToolResponse,
};
use fleet::{ApplyOutcome, GatewayRecord, Health, Name, Observation, Order};
use operator_config::{Address, MAX_GATEWAYS};
use tokio::sync::{broadcast, mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::book::{self, Book, Verdict, Wish};
use crate::link::{self, Published, Query, Report, Said, Shared};
use crate::listing::Listing;
use crate::log::{Contents, Log, LogError};
use crate::starts::Starts;
use crate::views::Views;

/// Inputs taken in at once; their orders are written down together.
const BATCH: usize = 256;
/// Orders that are sent one by one to gateways that have all before them.
const RECENT: usize = 256;
/// Callers that may wait for the gateways at once; the order of one more is refused.
const MAX_WAITERS: usize = 4_096;
/// Questions of tools that a link may have before it.
const MAX_QUEUED_QUERIES: usize = 16;
/// A gateway that was not heard for so many heartbeats and one answer's time is unreachable.
const SILENT_BEATS: u32 = 2;

/// What a gateway hears that asks an agent without turns.
const NO_TURNS: &str = "the operator's file of the agent has no ordered_by_agent in [start]";

/// A tool asks. Watching is not for the owner.
#[derive(Debug)]
pub struct Asked {
    pub ask: ToolRequest,
    pub say: mpsc::Sender<ToolResponse>,
}

/// Somebody who waits for gateways to carry out an order.
struct Waiter {
    say: mpsc::Sender<ToolResponse>,
    order: Order,
    begun: Instant,
    deadline: Instant,
    pending: BTreeSet<Arc<str>>,
    done: OrderSummary,
}

struct Gateway {
    address: Address,
    /// From the operator's file, and so not for a tool to take off.
    fixed: bool,
    member: GatewayRecord,
    state: Option<GatewayState>,
    queries: mpsc::Sender<Query>,
    task: AbortHandle,
    /// What was last told of its health.
    told: Health,
}

/// The owner and all that it owns.
pub struct Owner {
    book: Book,
    log: Arc<Log>,
    views: Views,
    gateways: BTreeMap<Arc<str>, Gateway>,
    waiters: Vec<Waiter>,
    recent: VecDeque<Order>,
    published: watch::Sender<Published>,
    shared: Shared,
    events: broadcast::Sender<String>,
    listing: Option<Listing>,
    starts: Option<Starts>,
    begun: Instant,
}

impl Owner {
    /// Takes over what the log holds, and begins to call the gateways.
    pub fn new(
        log: Log,
        contents: Contents,
        fixed: Vec<(Name, Address)>,
        least_ready: f64,
        published: watch::Sender<Published>,
        shared: Shared,
        events: broadcast::Sender<String>,
    ) -> Owner {
        let Contents { desired, newest, orders, members } = contents;
        let recent = orders.iter().rev().take(RECENT).map(|l| l.order.clone());
        let recent: VecDeque<Order> = recent.collect::<Vec<_>>().into_iter().rev().collect();
        let mut owner = Owner {
            book: Book::new(desired, newest, orders, least_ready),
            log: Arc::new(log),
            views: Views::default(),
            gateways: BTreeMap::new(),
            waiters: Vec::new(),
            recent,
            published,
            shared,
            events,
            listing: None,
            starts: None,
            begun: Instant::now(),
        };
        owner.publish();
        for (name, address) in fixed {
            owner.oversee(name.as_str(), address, true);
        }
        for (name, address) in members {
            if let Ok(address) = address.parse() {
                if !owner.gateways.contains_key(name.as_str()) {
                    owner.oversee(&name, address, false);
                }
            }
        }
        owner
    }

    /// Has a list to tell of.
    pub fn with_list(mut self, listing: Option<Listing>) -> Owner {
        self.listing = listing;
        self
    }

    /// Gives turns to those that start.
    pub fn with_starts(mut self, starts: Option<Starts>) -> Owner {
        self.starts = starts;
        self
    }

    fn oversee(&mut self, name: &str, address: Address, fixed: bool) {
        let name: Arc<str> = name.into();
        let (queries, queue) = mpsc::channel(MAX_QUEUED_QUERIES);
        let link = link::run(Arc::clone(&name), address.clone(), self.shared.clone(), queue);
        let task = tokio::spawn(link).abort_handle();
        let (member, told) = (GatewayRecord::default(), Health::Unknown);
        let gateway = Gateway { address, fixed, member, state: None, queries, task, told };
        if let Some(old) = self.gateways.insert(name, gateway) {
            old.task.abort();
        }
    }

    fn publish(&self) {
        let snapshot = Arc::new(self.book.desired().snapshot());
        let recent = Arc::new(self.recent.iter().cloned().collect());
        self.published.send_replace(Published { snapshot, recent, newest: self.book.newest() });
    }

    fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    /// Owns until all inputs have ended, or the log can't be written.
    ///
    /// # Errors
    /// A [`LogError`]: what is in memory is more than what is written, so nothing may be built on it.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Asked>,
        mut reports: mpsc::Receiver<Report>,
    ) -> Result<(), LogError> {
        let (mut batch, mut told) = (Vec::with_capacity(BATCH), Vec::with_capacity(BATCH));
        let mut sweep = tokio::time::interval(Duration::from_millis(25));
        loop {
            tokio::select! {
                n = inputs.recv_many(&mut batch, BATCH) => {
                    if n == 0 {
                        return Ok(());
                    }
                    self.take(std::mem::take(&mut batch)).await?;
                }
                _ = reports.recv_many(&mut told, BATCH) => told.drain(..).for_each(|r| self.report(r)),
                _ = sweep.tick() => self.overdue(),
            }
        }
    }

    /// Takes inputs in. The orders among them are written down together, and nobody is told of any, and none
    /// is published, before that is done.
    async fn take(&mut self, batch: Vec<Asked>) -> Result<(), LogError> {
        let mut written: Vec<(LoggedOrder, mpsc::Sender<ToolResponse>, u64)> = Vec::new();
        for Asked { ask, say } in batch {
            let ToolRequest::Order { id, subject, change, forced, deadline_ms } = ask else {
                // Danger: orders shown that are not written down yet.
                self.flush(&mut written).await?;
                self.asked(ask, say).await?;
                continue;
            };
            match self.judge(Wish { id, subject, change, forced }) {
                Verdict::Write(logged) => written.push((logged, say, deadline_ms)),
                Verdict::Refused(fault) => tell(&say, ToolResponse::Error(fault)),
                Verdict::Repeated(logged) => {
                    // Its first may be in this batch, and not be written yet.
                    if written.iter().any(|(w, ..)| w.order.id == logged.order.id) {
                        self.flush(&mut written).await?;
                    }
                    self.accepted(logged, say, deadline_ms, true);
                }
            }
        }
        self.flush(&mut written).await
    }

    async fn flush(
        &mut self,
        written: &mut Vec<(LoggedOrder, mpsc::Sender<ToolResponse>, u64)>,
    ) -> Result<(), LogError> {
        if written.is_empty() {
            return Ok(());
        }
        let orders: Vec<LoggedOrder> = written.iter().map(|(logged, ..)| logged.clone()).collect();
        let settled = self.book.settle().then(|| self.book.desired().snapshot());
        let log = Arc::clone(&self.log);
        let appended = tokio::task::spawn_blocking(move || log.append(&orders, settled.as_ref())).await;
        if let Err(e) = appended.unwrap_or_else(|e| Err(self.log.broken(&e))) {
            for (_, say, _) in written.drain(..) {
                tell(&say, ToolResponse::Error(ErrorResponse::new(ErrorCode::Log, e.to_string())));
            }
            return Err(e);
        }
        for (logged, say, deadline_ms) in std::mem::take(written) {
            self.event(format!(
                "order {} {} {} at revision {}{}",
                logged.order.id,
                logged.order.change,
                logged.order.subject,
                logged.order.revision,
                if logged.forced { ", forced" } else { "" }
            ));
            self.recent.push_back(logged.order.clone());
            self.recent.drain(..self.recent.len().saturating_sub(RECENT));
            self.accepted(logged, say, deadline_ms, false);
        }
        self.publish();
        Ok(())
    }

    fn judge(&mut self, wish: Wish) -> Verdict {
        let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let (gateways, views) = (&self.gateways, &self.views);
        if self.waiters.len() >= MAX_WAITERS {
            let message = "too many orders wait for gateways; try again";
            return Verdict::Refused(ErrorResponse::new(ErrorCode::Unavailable, message));
        }
        let answers = gateways.iter().filter(|(_, g)| g.member.heard_ms().is_some());
        let answers =
            answers.filter(|(_, g)| g.member.unreachable_since_ms().is_none()).map(|(name, _)| &**name);
        let named = |name: &str| gateways.contains_key(name);
        let (backends, told) = (views.backends(), !views.unknown());
        self.book.judge(wish, book::Seen { backends, gateways: answers, told, named: &named }, at_ms)
    }

    /// Tells that an order is written down, and from then on what each gateway does.
    fn accepted(
        &mut self,
        logged: LoggedOrder,
        say: mpsc::Sender<ToolResponse>,
        deadline_ms: u64,
        repeated: bool,
    ) {
        let LoggedOrder { order, counts, .. } = logged;
        let instances = self.gateways.len() as u32;
        tell(
            &say,
            ToolResponse::Accepted(OrderAccepted { revision: order.revision, repeated, counts, instances }),
        );
        let begun = Instant::now();
        let deadline = begun + Duration::from_millis(deadline_ms.min(600_000));
        let pending = self.gateways.keys().cloned().collect();
        let mut waiter = Waiter { say, order, begun, deadline, pending, done: OrderSummary::default() };
        for (name, gateway) in &self.gateways {
            match self.health(gateway) {
                Health::Unreachable { reason: why } => {
                    waiter.heard(name, InstanceOutcome::Unreachable { reason: why })
                }
                _ if gateway.member.holds() >= waiter.order.revision => waiter.heard(name, caught_up(begun)),
                _ => {}
            }
        }
        if !waiter.ended() {
            self.waiters.push(waiter);
        }
    }

    fn health(&self, gateway: &Gateway) -> Health {
        let silent = self.shared.heartbeat * SILENT_BEATS + self.shared.answer;
        gateway.member.health(self.now_ms(), self.book.newest(), silent.as_secs_f64() * 1000.0)
    }

    fn report(&mut self, report: Report) {
        let now = self.now_ms();
        let Report { gateway: name, sighting, verdicts, state } = report;
        let Some(gateway) = self.gateways.get_mut(&name) else { return };
        let anew = gateway.member.observe(now, sighting.clone());
        if let Some(state) = state {
            if let Some(list) = &state.backends {
                self.views.update(&name, list);
            }
            // The list is held once for all gateways, and not here.
            gateway.state = Some(GatewayState { backends: None, ..state });
        }
        let holds = gateway.member.holds();
        for waiter in self.waiters.iter_mut().filter(|w| w.pending.contains(&name)) {
            let verdict = verdicts.iter().find(|v| v.id == waiter.order.id);
            match (&sighting, verdict) {
                (Observation::Unreachable(why), _) => {
                    waiter.heard(&name, InstanceOutcome::Unreachable { reason: why.clone() })
                }
                (_, Some(verdict)) => {
                    let took_ms = waiter.begun.elapsed().as_secs_f64() * 1000.0;
                    let (outcome, matched) = (verdict.outcome.clone(), Some(verdict.matched));
                    waiter.heard(&name, InstanceOutcome::Answered { outcome, matched, took_ms });
                }
                // It got the whole state, in which the order is.
                _ if holds >= waiter.order.revision => waiter.heard(&name, caught_up(waiter.begun)),
                _ => {}
            }
        }
        self.waiters.retain_mut(|w| !w.ended());
        let health = self.health(&self.gateways[&name]);
        let mut news = Vec::new();
        if let Some(gateway) = self.gateways.get_mut(&name) {
            if anew {
                news.push(format!("gateway {name} has started anew"));
            }
            // Behind for a moment after each order is no news.
            if std::mem::discriminant(&gateway.told) != std::mem::discriminant(&health)
                && health != Health::Behind
            {
                let why = match &health {
                    Health::Unreachable { reason: why } => format!(": {why}"),
                    _ => String::new(),
                };
                news.push(format!("gateway {name} is {health}{why}"));
                gateway.told = health;
            }
        }
        news.into_iter().for_each(|line| self.event(line));
    }

    /// Ends the waits whose time is over.
    fn overdue(&mut self) {
        let now = Instant::now();
        for waiter in self.waiters.iter_mut().filter(|w| w.deadline <= now) {
            for name in std::mem::take(&mut waiter.pending) {
                waiter.pending.insert(Arc::clone(&name));
                waiter.heard(&name, InstanceOutcome::TimedOut);
            }
        }
        // One whose caller has gone as well.
        self.waiters.retain_mut(|w| !w.ended() && !w.say.is_closed());
    }

    fn event(&self, line: String) {
        eprintln!("agent: {line}");
        // Fails only where nobody watches.
        let _ = self.events.send(line);
    }

    async fn asked(&mut self, ask: ToolRequest, say: mpsc::Sender<ToolResponse>) -> Result<(), LogError> {
        match ask {
            ToolRequest::Status { backends } => {
                tell(&say, ToolResponse::Status(self.status()));
                if backends {
                    let asked = self.query(&GatewayRequest::State { backends: true });
                    tokio::spawn(seen(asked, self.shared.answer * 2, say));
                }
            }
            ToolRequest::Orders { limit: most } => {
                let orders = self.book.latest().take(most.min(1_000)).cloned().collect();
                tell(&say, ToolResponse::Orders(orders));
            }
            ToolRequest::Inflight { subject, deadline_ms } => {
                let asked = self.query(&GatewayRequest::Inflight { subject });
                tokio::spawn(counted(asked, Duration::from_millis(deadline_ms.min(60_000)), say));
            }
            ToolRequest::Sources { records } => self.sources(records, &say),
            ToolRequest::Start { name, incarnation: boot, gateways, held_version: held } => {
                let now = self.now_ms();
                let no_turns = || ToolResponse::Error(ErrorResponse::new(ErrorCode::BadRequest, NO_TURNS));
                let said = self.starts.as_mut().map(|s| s.ask(now, &name, boot, gateways, held));
                tell(&say, said.unwrap_or_else(no_turns));
            }
            ToolRequest::Started { name, incarnation: boot, call } => {
                let now = self.now_ms();
                let news = self.starts.as_mut().and_then(|s| s.came(now, &name, boot, call));
                news.into_iter().for_each(|line| self.event(line));
                tell(&say, ToolResponse::Done(OrderSummary { succeeded: 1, failed: 0 }));
            }
            ToolRequest::Register { name, address } => self.register(name, &address, &say)?,
            ToolRequest::Deregister { name } => self.deregister(&name, &say)?,
            ToolRequest::Order { .. } | ToolRequest::Watch => {
                tell(&say, ToolResponse::Error(ErrorResponse::new(ErrorCode::BadRequest, "not for here")));
            }
        }
        Ok(())
    }

    /// Tells how the list stands, once whoever follows it has said so.
    fn sources(&self, records: bool, say: &mpsc::Sender<ToolResponse>) {
        let Some(listing) = &self.listing else {
            let message = "the operator's file of the agent has no [sources]";
            return tell(say, ToolResponse::Error(ErrorResponse::new(ErrorCode::BadRequest, message)));
        };
        let Some(told) = listing.ask(records) else {
            return tell(
                say,
                ToolResponse::Error(ErrorResponse::new(ErrorCode::Unavailable, "too many ask; try again")),
            );
        };
        let say = say.clone();
        tokio::spawn(async move {
            let fault = || {
                ToolResponse::Error(ErrorResponse::new(
                    ErrorCode::Unavailable,
                    "the list is not followed any more",
                ))
            };
            tell(&say, told.await.map_or_else(|_| fault(), |state| ToolResponse::Sources(Box::new(state))));
        });
    }

    /// Has every gateway asked something.
    fn query(&self, ask: &GatewayRequest) -> Vec<Asking> {
        let one = |(name, gateway): (&Arc<str>, &Gateway)| {
            let (answer, answered) = oneshot::channel();
            let sent = gateway.queries.try_send(Query { ask: ask.clone(), answer }).is_ok();
            (Arc::clone(name), sent.then_some(answered))
        };
        self.gateways.iter().map(one).collect()
    }

    fn register(
        &mut self,
        name: Name,
        address: &str,
        say: &mpsc::Sender<ToolResponse>,
    ) -> Result<(), LogError> {
        let refuse =
            |why: String| tell(say, ToolResponse::Error(ErrorResponse::new(ErrorCode::BadRequest, why)));
        let parsed: Address = match address.parse() {
            Ok(parsed) => parsed,
            Err(e) => {
                refuse(format!("{e}"));
                return Ok(());
            }
        };
        match self.gateways.get(name.as_str()) {
            Some(known) if known.address == parsed => {}
            Some(known) if known.fixed => {
                refuse(format!("{name} is in the operator's file, at {}", known.address));
                return Ok(());
            }
            // Danger: a gateway that takes another's name, and with it the orders that are meant for that.
            Some(known) if matches!(self.health(known), Health::Ok | Health::Behind) => {
                refuse(format!("{name} answers at {}; end it or remove it first", known.address));
                return Ok(());
            }
            None if self.gateways.len() >= MAX_GATEWAYS => {
                refuse(format!("{MAX_GATEWAYS} gateways are overseen already"));
                return Ok(());
            }
            _ => {
                self.log.member(name.as_str(), Some(address))?;
                self.oversee(name.as_str(), parsed, false);
                self.event(format!("gateway {name} is overseen, at {address}"));
            }
        }
        tell(say, ToolResponse::Done(OrderSummary { succeeded: 1, failed: 0 }));
        Ok(())
    }

    fn deregister(&mut self, name: &Name, say: &mpsc::Sender<ToolResponse>) -> Result<(), LogError> {
        let known = self.gateways.get(name.as_str());
        let why = match known {
            None => Some((ErrorCode::UnknownSubject, format!("no gateway {name} is overseen"))),
            Some(g) if g.fixed => Some((ErrorCode::BadRequest, format!("{name} is in the operator's file"))),
            Some(_) => None,
        };
        if let Some((code, message)) = why {
            tell(say, ToolResponse::Error(ErrorResponse::new(code, message)));
            return Ok(());
        }
        self.log.member(name.as_str(), None)?;
        if let Some(gateway) = self.gateways.remove(name.as_str()) {
            gateway.task.abort();
        }
        self.views.remove(name.as_str());
        // Whoever waits for it does so no more.
        for waiter in &mut self.waiters {
            waiter.heard(
                name.as_str(),
                InstanceOutcome::Unreachable { reason: "no longer overseen".to_string() },
            );
        }
        self.waiters.retain_mut(|w| !w.ended());
        self.event(format!("gateway {name} is overseen no more"));
        tell(say, ToolResponse::Done(OrderSummary { succeeded: 1, failed: 0 }));
        Ok(())
    }

    fn status(&self) -> FleetStatus {
        let now = self.now_ms();
        let state = |(name, g): (&Arc<str>, &Gateway)| GatewayStatus {
            name: name.to_string(),
            address: g.address.to_string(),
            health: self.health(g),
            applied_revision: g.member.holds(),
            last_seen_ms_ago: g.member.heard_ms().map(|at| (now - at).max(0.0) as u64),
            restarts: g.member.restarts,
            state: g.state.clone(),
        };
        let desired = self.book.desired();
        FleetStatus {
            revision: self.book.newest(),
            gateways: self.gateways.iter().map(state).collect(),
            ordered: desired.registers().cloned().collect(),
        }
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        self.gateways.values().for_each(|g| g.task.abort());
    }
}

impl Waiter {
    /// Notes what a gateway did, the first time.
    fn heard(&mut self, name: &str, did: InstanceOutcome) {
        if self.pending.remove(name) {
            let done = did.succeeded();
            self.done.succeeded += u32::from(done);
            self.done.failed += u32::from(!done);
            tell(
                &self.say,
                ToolResponse::Instance(InstanceReport { gateway: name.to_string(), outcome: did }),
            );
        }
    }

    /// Tells the end once every gateway is accounted for.
    fn ended(&mut self) -> bool {
        let ended = self.pending.is_empty();
        if ended {
            tell(&self.say, ToolResponse::Done(self.done));
        }
        ended
    }
}

/// It holds the order by the whole state, so what became of it alone was not said.
fn caught_up(begun: Instant) -> InstanceOutcome {
    let took_ms = begun.elapsed().as_secs_f64() * 1000.0;
    InstanceOutcome::Answered { outcome: ApplyOutcome::Applied, matched: None, took_ms }
}

/// Tells a tool something. Danger: one that reads nothing, and holds up all others. What it has no room for,
/// it does not get, and its connection ends.
fn tell(say: &mpsc::Sender<ToolResponse>, what: ToolResponse) {
    let _ = say.try_send(what);
}

/// A gateway, and where its answer comes if it could be asked.
type Asking = (Arc<str>, Option<oneshot::Receiver<Said>>);

/// What a gateway said by a moment; the outer error says that nothing came.
async fn said(
    answered: Option<oneshot::Receiver<Said>>,
    until: Instant,
) -> Result<Said, tokio::time::error::Elapsed> {
    let Some(answered) = answered else { return Ok(Err("too many questions wait for it".to_string())) };
    let answer = tokio::time::timeout_at(until, answered).await?;
    Ok(answer.unwrap_or_else(|_| Err("its connection ended".to_string())))
}

async fn counted(asked: Vec<Asking>, limit: Duration, say: mpsc::Sender<ToolResponse>) {
    let until = Instant::now() + limit;
    let mut all = Vec::with_capacity(asked.len());
    for (name, answered) in asked {
        let did = match said(answered, until).await {
            Err(_) => InstanceOutcome::TimedOut,
            Ok(Ok(GatewayResponse::Inflight(in_flight))) => InstanceOutcome::InFlight { in_flight },
            Ok(Ok(other)) => InstanceOutcome::Unreachable { reason: link::unexpected(&other) },
            Ok(Err(why)) => InstanceOutcome::Unreachable { reason: why },
        };
        all.push(InstanceReport { gateway: name.to_string(), outcome: did });
    }
    // Fails only when the tool is gone.
    let _ = say.send(ToolResponse::Inflight(all)).await;
}

async fn seen(asked: Vec<Asking>, limit: Duration, say: mpsc::Sender<ToolResponse>) {
    let (until, mut done) = (Instant::now() + limit, OrderSummary::default());
    for (name, answered) in asked {
        let state = match said(answered, until).await {
            Err(_) => Err("no answer in time".to_string()),
            Ok(Ok(GatewayResponse::State(state))) => Ok(state),
            Ok(Ok(other)) => Err(link::unexpected(&other)),
            Ok(Err(why)) => Err(why),
        };
        done.succeeded += u32::from(state.is_ok());
        done.failed += u32::from(state.is_err());
        if say
            .send(ToolResponse::Backends(GatewayBackends { gateway: name.to_string(), state }))
            .await
            .is_err()
        {
            return;
        }
    }
    let _ = say.send(ToolResponse::Done(done)).await;
}
