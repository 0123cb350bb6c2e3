//! The session with one gateway: connects, keeps the gateway up to date, and reports to the control loop.
//!
//! Each connection begins with a snapshot, as the gateway may have restarted or missed orders since the last
//! one. A response timeout ends the connection, as the late response could otherwise be mistaken for the
//! response to the next request.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{
    Applied, Envelope, GatewayRequest, GatewayResponse, GatewayState, OrderResult, MAX_LINE_BYTES,
    MAX_ORDERS_PER_REQUEST,
};
use fleet::{Observation, Order, Revision};
use operator_config::Address;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};
use transport::{Connector, JsonLines};

use crate::publication::PublishedState;
use crate::session_error::SessionError;

/// Backoff after the first failed connection; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff, without the spread.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Number of steps over which the backoffs of gateways are spread, so that a thousand sessions don't
/// reconnect at the same time.
const BACKOFF_SPREAD_STEPS: u32 = 256;
/// Minimum number of heartbeats between polls of a gateway's backends.
const MIN_HEARTBEATS_BETWEEN_LISTS: u32 = 3;
/// Maximum delay of the state poll that follows orders.
const POLL_DELAY_AFTER_ORDERS: Duration = Duration::from_millis(100);
/// Maximum number of connections that are being opened at the same time.
pub const MAX_CONCURRENT_CONNECTS: usize = 64;

/// What a session has observed of its gateway.
#[derive(Debug)]
pub struct SessionReport {
    /// Name of the gateway.
    pub gateway: Arc<str>,
    /// Whether it is reachable, and what it has applied.
    pub observation: Observation,
    /// Results of orders that were sent to it.
    pub results: Vec<OrderResult>,
    /// Its state, if that was polled.
    pub state: Option<GatewayState>,
}

/// The response of a gateway, or why there is none.
pub type QueryResult = Result<GatewayResponse, Arc<SessionError>>;

/// A read-only request to a gateway.
#[derive(Debug)]
pub struct SessionQuery {
    /// The request.
    pub request: GatewayRequest,
    /// Receives the response.
    pub response: oneshot::Sender<QueryResult>,
}

/// Context shared by all sessions.
#[derive(Clone, Debug)]
pub struct SessionContext {
    /// Opens connections.
    pub connector: Connector,
    /// Interval between polls of the state.
    pub heartbeat: Duration,
    /// Timeout for opening a connection, and for each response.
    pub response_timeout: Duration,
    /// Permits for requests in flight.
    pub request_permits: Arc<Semaphore>,
    /// Permits for opening connections; separate, so that many gateways that do not respond can't delay
    /// requests to the others.
    pub connect_permits: Arc<Semaphore>,
    /// The state that gateways are to reach.
    pub published: watch::Receiver<PublishedState>,
    /// Receives reports.
    pub reports: mpsc::Sender<SessionReport>,
}

/// Maintains the session with a gateway, reconnecting after failures, until the task is cancelled or the
/// agent shuts down.
pub async fn run(
    gateway: Arc<str>,
    address: Address,
    context: SessionContext,
    mut queries: mpsc::Receiver<SessionQuery>,
) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let error = match connect(&address, &context).await {
            Ok(connection) => {
                let mut session = Session::new(&gateway, connection, &context);
                let error = session.run(&mut queries).await;
                if session.has_reported() {
                    backoff = INITIAL_BACKOFF;
                }
                error
            }
            Err(error) => Arc::new(error),
        };
        let observation = Observation::Unreachable(error.to_string());
        let report =
            SessionReport { gateway: Arc::clone(&gateway), observation, results: Vec::new(), state: None };
        if context.reports.send(report).await.is_err() {
            return;
        }
        if reject_queries_for(spread(backoff, &gateway), &mut queries, &error).await.is_break() {
            return;
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn connect(address: &Address, context: &SessionContext) -> Result<JsonLines, SessionError> {
    let permit = context.connect_permits.acquire().await;
    let _permit = permit.map_err(|_| SessionError::AgentShuttingDown)?;
    let connection = context.connector.connect(address, context.response_timeout, MAX_LINE_BYTES).await;
    connection.map_err(SessionError::Connect)
}

/// Lengthens a backoff by up to its own length, by a fraction derived from a hash of the gateway's name.
fn spread(backoff: Duration, gateway: &str) -> Duration {
    let hash = gateway.bytes().fold(17_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
    let step = hash % BACKOFF_SPREAD_STEPS;
    backoff + backoff.mul_f64(f64::from(step) / f64::from(BACKOFF_SPREAD_STEPS))
}

/// Waits for `delay`, and rejects queries meanwhile. Breaks when all senders of queries are dropped.
async fn reject_queries_for(
    delay: Duration,
    queries: &mut mpsc::Receiver<SessionQuery>,
    error: &Arc<SessionError>,
) -> ControlFlow<()> {
    let delay = sleep(delay);
    tokio::pin!(delay);
    loop {
        tokio::select! {
            () = &mut delay => return ControlFlow::Continue(()),
            query = queries.recv() => {
                let Some(query) = query else { return ControlFlow::Break(()) };
                // Fails only if nobody waits for the response any more.
                let _ = query.response.send(Err(Arc::clone(error)));
            }
        }
    }
}

struct Session<'a> {
    gateway: &'a Arc<str>,
    connection: JsonLines,
    context: &'a SessionContext,
    last_request_id: u64,
    /// Incarnation of the gateway; 0 until it has reported its state.
    incarnation: u64,
    /// The newest revision that was sent.
    sent_revision: Revision,
    /// Floor of the last snapshot that was sent.
    sent_floor: Revision,
    /// Version of the list of backends that was polled last.
    list_version: u64,
    /// Heartbeats since then.
    heartbeats_since_list: u32,
}

impl<'a> Session<'a> {
    fn new(gateway: &'a Arc<str>, connection: JsonLines, context: &'a SessionContext) -> Session<'a> {
        Session {
            gateway,
            connection,
            context,
            last_request_id: 0,
            incarnation: 0,
            sent_revision: Revision::default(),
            sent_floor: Revision::default(),
            list_version: 0,
            heartbeats_since_list: 0,
        }
    }

    /// Whether the gateway has reported its state on this connection.
    fn has_reported(&self) -> bool {
        self.incarnation != 0
    }

    /// Runs until something fails, and returns the error.
    async fn run(&mut self, queries: &mut mpsc::Receiver<SessionQuery>) -> Arc<SessionError> {
        match self.synchronize_and_follow(queries).await {
            Ok(()) => Arc::new(SessionError::AgentShuttingDown),
            Err(error) => error,
        }
    }

    async fn synchronize_and_follow(
        &mut self,
        queries: &mut mpsc::Receiver<SessionQuery>,
    ) -> Result<(), Arc<SessionError>> {
        let mut published = self.context.published.clone();
        let current = published.borrow_and_update().clone();
        self.synchronize(&current).await?;
        let mut heartbeat = interval(self.context.heartbeat);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                changed = published.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    let current = published.borrow_and_update().clone();
                    self.send_changes(&current).await?;
                    // The effect of the orders is polled after a delay, once they have been sent to all
                    // gateways.
                    heartbeat.reset_after(self.context.heartbeat.min(POLL_DELAY_AFTER_ORDERS));
                }
                query = queries.recv() => {
                    let Some(query) = query else { return Ok(()) };
                    self.forward(query).await?;
                }
                _ = heartbeat.tick() => self.poll().await?,
            }
        }
    }

    /// Sends a snapshot, and reports the gateway once its backends are known, too. If it was reported
    /// earlier, it would count as healthy while orders are still rejected because no backends are known.
    async fn synchronize(&mut self, current: &PublishedState) -> Result<(), SessionError> {
        let snapshot = (*current.snapshot).clone();
        match self.request(GatewayRequest::Adopt { snapshot }).await? {
            GatewayResponse::Applied(_) => {}
            other => return Err(SessionError::unexpected(&other)),
        }
        let state = self.state(true).await?;
        (self.sent_revision, self.sent_floor) = (current.newest, current.snapshot.floor);
        self.list_version = state.list_version;
        self.report_state(state).await
    }

    /// Sends the new orders. A snapshot is sent instead if some of them are no longer available, if they are
    /// too many, or if the floor has changed, so that the gateway can remove settled registers.
    async fn send_changes(&mut self, current: &PublishedState) -> Result<(), SessionError> {
        let is_new = |order: &&Order| order.revision > self.sent_revision;
        let orders: Vec<Order> = current.recent_orders.iter().filter(is_new).cloned().collect();
        let has_gap = orders.first().is_none_or(|order| order.revision != self.sent_revision.next());
        let floor = current.snapshot.floor;
        let response = if has_gap || floor != self.sent_floor || orders.len() > MAX_ORDERS_PER_REQUEST {
            let snapshot = (*current.snapshot).clone();
            self.request(GatewayRequest::Adopt { snapshot }).await?
        } else {
            self.request(GatewayRequest::Apply { orders }).await?
        };
        self.report_applied(response).await?;
        (self.sent_revision, self.sent_floor) = (current.newest, floor);
        Ok(())
    }

    /// Sends a query, and forwards its response, or the error that ends the session, to the querying task.
    async fn forward(&mut self, query: SessionQuery) -> Result<(), Arc<SessionError>> {
        let result = self.request(query.request).await.map_err(Arc::new);
        let error = result.as_ref().err().cloned();
        // Fails only if nobody waits for the response any more.
        let _ = query.response.send(result);
        error.map_or(Ok(()), Err)
    }

    /// Polls the state, including the backends if they have changed and were not polled recently.
    async fn poll(&mut self) -> Result<(), SessionError> {
        self.heartbeats_since_list += 1;
        let mut state = self.state(false).await?;
        if state.list_version != self.list_version
            && self.heartbeats_since_list > MIN_HEARTBEATS_BETWEEN_LISTS
        {
            state = self.state(true).await?;
            self.list_version = state.list_version;
            self.heartbeats_since_list = 0;
        }
        self.report_state(state).await
    }

    async fn state(&mut self, backends: bool) -> Result<GatewayState, SessionError> {
        match self.request(GatewayRequest::State { backends }).await? {
            // Orders must not go to another gateway that now listens at this address.
            GatewayResponse::State(state) if state.name != **self.gateway => {
                Err(SessionError::WrongGateway(state.name))
            }
            GatewayResponse::State(state) => Ok(state),
            other => Err(SessionError::unexpected(&other)),
        }
    }

    async fn report_state(&mut self, state: GatewayState) -> Result<(), SessionError> {
        self.incarnation = state.incarnation;
        let observation = Observation::Reachable {
            incarnation: state.incarnation,
            applied_revision: state.applied_revision,
        };
        self.report(observation, Vec::new(), Some(state)).await
    }

    async fn report_applied(&mut self, response: GatewayResponse) -> Result<(), SessionError> {
        let Applied { incarnation, applied_revision, results } = match response {
            GatewayResponse::Applied(applied) => applied,
            other => return Err(SessionError::unexpected(&other)),
        };
        self.incarnation = incarnation;
        self.report(Observation::Reachable { incarnation, applied_revision }, results, None).await
    }

    async fn report(
        &mut self,
        observation: Observation,
        results: Vec<OrderResult>,
        state: Option<GatewayState>,
    ) -> Result<(), SessionError> {
        let report = SessionReport { gateway: Arc::clone(self.gateway), observation, results, state };
        self.context.reports.send(report).await.map_err(|_| SessionError::AgentShuttingDown)
    }

    /// Sends a request and returns its response.
    async fn request(&mut self, request: GatewayRequest) -> Result<GatewayResponse, SessionError> {
        let permit = self.context.request_permits.acquire().await;
        let _permit = permit.map_err(|_| SessionError::AgentShuttingDown)?;
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        let exchange = async {
            self.connection.send(&Envelope { request_id, body: request }).await?;
            self.connection.next::<Envelope<GatewayResponse>>().await
        };
        let limit = self.context.response_timeout;
        let exchanged = timeout(limit, exchange).await.map_err(|_| SessionError::Timeout(limit))?;
        match exchanged.map_err(SessionError::Transport)? {
            Some(response) if response.request_id == request_id => Ok(response.body),
            Some(response) => Err(SessionError::unexpected(&response.body)),
            None => Err(SessionError::Closed),
        }
    }
}
