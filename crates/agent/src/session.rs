//! The session with one gateway: connects, brings the gateway up to date, and reports to the control loop.
//!
//! Each connection begins with the whole state, whatever an earlier one has sent: the gateway may have
//! restarted, or have missed orders. A request that is not answered in time ends the connection, as a late
//! response could be taken for that to the next request.

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

/// Backoff after the first connection that failed; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The longest backoff, without its spread.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Steps by which backoffs of different gateways spread, so that a thousand don't reconnect at one moment.
const BACKOFF_SPREAD_STEPS: u32 = 256;
/// A gateway's backends are polled at most once in so many heartbeats.
const MIN_HEARTBEATS_BETWEEN_LISTS: u32 = 3;
/// A gateway's state is polled at the latest so long after orders were sent.
const POLL_DELAY_AFTER_ORDERS: Duration = Duration::from_millis(100);
/// Connections that may be opened at once.
pub const MAX_CONNECTING: usize = 64;

/// What a session learned of its gateway.
#[derive(Debug)]
pub struct SessionReport {
    /// The gateway.
    pub gateway: Arc<str>,
    /// Whether it is reachable.
    pub observation: Observation,
    /// Results of orders.
    pub results: Vec<OrderResult>,
    /// Its state, if it was polled.
    pub state: Option<GatewayState>,
}

/// A gateway's response, or why there is none.
pub type QueryResult = Result<GatewayResponse, Arc<SessionError>>;

/// A request to a gateway that changes nothing there.
#[derive(Debug)]
pub struct SessionQuery {
    /// The request.
    pub request: GatewayRequest,
    /// Takes the response.
    pub response: oneshot::Sender<QueryResult>,
}

/// What all sessions share.
#[derive(Clone, Debug)]
pub struct SessionContext {
    /// Opens connections.
    pub connector: Connector,
    /// How often the state is polled.
    pub heartbeat: Duration,
    /// How long a connection, and a response, may take.
    pub response_timeout: Duration,
    /// Permits for requests in flight.
    pub request_permits: Arc<Semaphore>,
    /// Permits for opening connections, so that many silent gateways can't delay requests to the others.
    pub connect_permits: Arc<Semaphore>,
    /// The state that gateways are to reach.
    pub published: watch::Receiver<PublishedState>,
    /// Takes reports.
    pub reports: mpsc::Sender<SessionReport>,
}

/// Keeps a session with a gateway until the task ends.
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

/// Lengthens a backoff by up to its own length, by an amount that depends on the gateway's name.
fn spread(backoff: Duration, gateway: &str) -> Duration {
    let hash = gateway.bytes().fold(17_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)));
    let step = hash % BACKOFF_SPREAD_STEPS;
    backoff + backoff.mul_f64(f64::from(step) / f64::from(BACKOFF_SPREAD_STEPS))
}

/// Waits, and rejects queries meanwhile. Breaks off once nobody can query any more.
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
                // Fails only when nobody waits for the response any more.
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
    /// The gateway's incarnation; 0 until it has reported its state.
    incarnation: u64,
    /// The newest revision that was sent.
    sent_revision: Revision,
    /// The floor of the last snapshot that was sent.
    sent_floor: Revision,
    /// Version of the last list of backends, and heartbeats since then.
    list_version: u64,
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

    /// Whether the gateway has ever reported its state in this session.
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
                    // The effect of the orders is polled once they have been sent to all gateways.
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

    /// Sends the whole state, and reports the gateway once its backends are known too. Reported earlier, it
    /// would count as healthy while orders are still rejected as no gateway had listed its backends.
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

    /// Sends the orders since the last ones. The whole state is sent instead where some of them are no longer
    /// at hand or are too many, and where more was settled, so that the gateway can forget it.
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

    /// Sends a query, and hands its response, or the error that ends the session, to whoever waits for it.
    async fn forward(&mut self, query: SessionQuery) -> Result<(), Arc<SessionError>> {
        let result = self.request(query.request).await.map_err(Arc::new);
        let error = result.as_ref().err().cloned();
        // Fails only when nobody waits for the response any more.
        let _ = query.response.send(result);
        error.map_or(Ok(()), Err)
    }

    /// Polls the state, with the backends where they have changed and were not polled lately.
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
            // Orders to one gateway must not reach another that has got its address.
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

    /// Sends a request and returns the response to it.
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
        match exchanged.map_err(SessionError::Line)? {
            Some(response) if response.request_id == request_id => Ok(response.body),
            Some(response) => Err(SessionError::unexpected(&response.body)),
            None => Err(SessionError::Closed),
        }
    }
}
