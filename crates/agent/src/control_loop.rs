//! The control loop, the single owner of the desired state. It decides on orders, logs them, publishes them
//! to the sessions, and reports the outcome at each gateway to the tool that sent the order.

mod registration;
mod requests;

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fleet::wire::{ErrorCode, ErrorResponse, InstanceOutcome, LoggedOrder, OrderAccepted};
use fleet::wire::{ToolRequest, ToolResponse};
use fleet::{Health, Name};
use operator_config::Address;
use tokio::sync::{mpsc, watch};

use crate::backend_catalog::BackendCatalog;
use crate::endpoint_list::EndpointList;
use crate::gateways::Gateways;
use crate::log::{Contents, Log, LogError};
use crate::order_ledger::{Decision, FleetView, OrderLedger, OrderRequest};
use crate::pending_orders::{PendingOrder, PendingOrders};
use crate::publication::{PublishedState, Publisher};
use crate::responder::{EventSender, Responder};
use crate::session::{SessionContext, SessionReport};
use crate::start_coordinator::StartCoordinator;

/// Maximum number of requests, or of reports, handled together. Orders in a batch are logged in one commit.
const MAX_BATCH: usize = 256;
/// Interval between checks of the deadlines of pending orders.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// A request of a tool, other than [`ToolRequest::Watch`], which the tool listener handles.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The request.
    pub request: ToolRequest,
    /// Receives the responses.
    pub responder: Responder,
}

/// A gateway in the operator's file.
pub struct ConfiguredGateway {
    /// Name of the gateway.
    pub name: Name,
    /// Address of its admin listener.
    pub address: Address,
}

/// Configuration of the control loop.
pub struct ControlLoopConfig {
    /// The gateways in the operator's file.
    pub gateways: Vec<ConfiguredGateway>,
    /// Fraction of the backends, or gateways, that an order has to leave ready.
    pub min_ready_fraction: f64,
    /// The endpoint list, if the agent serves one.
    pub endpoint_list: Option<EndpointList>,
    /// Coordinates the first calls of starting gateways, if the agent is configured to.
    pub start_coordinator: Option<StartCoordinator>,
}

/// An order that is accepted but not yet in the log.
struct UnloggedOrder {
    logged: LoggedOrder,
    responder: Responder,
    deadline: Duration,
}

/// The control loop and the state that it owns.
pub struct ControlLoop {
    ledger: OrderLedger,
    log: Arc<Log>,
    catalog: BackendCatalog,
    gateways: Gateways,
    pending_orders: PendingOrders,
    publisher: Publisher,
    events: EventSender,
    endpoint_list: Option<EndpointList>,
    start_coordinator: Option<StartCoordinator>,
}

impl ControlLoop {
    /// Creates the control loop from the contents of the log, and starts the sessions with the gateways.
    pub fn new(
        config: ControlLoopConfig,
        log: Log,
        contents: Contents,
        published: watch::Sender<PublishedState>,
        context: SessionContext,
        events: EventSender,
    ) -> ControlLoop {
        let Contents { desired, newest, orders, members } = contents;
        let publisher = Publisher::new(&orders, published);
        let mut control_loop = ControlLoop {
            ledger: OrderLedger::new(desired, newest, orders, config.min_ready_fraction),
            log: Arc::new(log),
            catalog: BackendCatalog::default(),
            gateways: Gateways::new(context),
            pending_orders: PendingOrders::default(),
            publisher,
            events,
            endpoint_list: config.endpoint_list,
            start_coordinator: config.start_coordinator,
        };
        control_loop.publish();
        for gateway in config.gateways {
            control_loop.gateways.add(gateway.name.as_str(), gateway.address, true);
        }
        for member in members {
            let Ok(address) = member.address.parse() else { continue };
            if control_loop.gateways.get(&member.name).is_none() {
                control_loop.gateways.add(&member.name, address, false);
            }
        }
        control_loop
    }

    /// Runs until all senders of requests are dropped, or the log can't be written.
    ///
    /// # Errors
    /// A [`LogError`]. The state in memory is ahead of the log then and must not be used any more.
    pub async fn run(
        mut self,
        mut requests: mpsc::Receiver<IncomingRequest>,
        mut reports: mpsc::Receiver<SessionReport>,
    ) -> Result<(), LogError> {
        let mut request_batch = Vec::with_capacity(MAX_BATCH);
        let mut report_batch = Vec::with_capacity(MAX_BATCH);
        let mut deadline_check = tokio::time::interval(DEADLINE_CHECK_INTERVAL);
        loop {
            tokio::select! {
                received = requests.recv_many(&mut request_batch, MAX_BATCH) => {
                    if received == 0 {
                        return Ok(());
                    }
                    self.handle_requests(std::mem::take(&mut request_batch)).await?;
                }
                _ = reports.recv_many(&mut report_batch, MAX_BATCH) => {
                    for report in report_batch.drain(..) {
                        self.handle_report(report);
                    }
                }
                _ = deadline_check.tick() => self.pending_orders.remove_expired(),
            }
        }
    }

    /// Handles a batch of requests. Its orders are logged together, and are acknowledged and published only
    /// after that.
    async fn handle_requests(&mut self, batch: Vec<IncomingRequest>) -> Result<(), LogError> {
        let mut unlogged: Vec<UnloggedOrder> = Vec::new();
        for IncomingRequest { request, responder } in batch {
            let ToolRequest::Order { id, subject, change, forced, deadline_ms } = request else {
                // Responses must not reveal orders that are not in the log yet.
                self.commit(&mut unlogged).await?;
                self.handle_request(request, responder)?;
                continue;
            };
            let deadline = Duration::from_millis(deadline_ms);
            match self.decide(OrderRequest { id, subject, change, forced }) {
                Decision::Accepted(logged) => unlogged.push(UnloggedOrder { logged, responder, deadline }),
                Decision::Rejected(error) => responder.respond(ToolResponse::Error(error)),
                Decision::Repeated(logged) => {
                    // The original order may be in this batch and not be logged yet.
                    if unlogged.iter().any(|order| order.logged.order.id == logged.order.id) {
                        self.commit(&mut unlogged).await?;
                    }
                    self.acknowledge(UnloggedOrder { logged, responder, deadline }, true);
                }
            }
        }
        self.commit(&mut unlogged).await
    }

    /// Logs the orders, then acknowledges and publishes them.
    async fn commit(&mut self, unlogged: &mut Vec<UnloggedOrder>) -> Result<(), LogError> {
        if unlogged.is_empty() {
            return Ok(());
        }
        let orders: Vec<LoggedOrder> = unlogged.iter().map(|order| order.logged.clone()).collect();
        let settled = self.ledger.settle().then(|| self.ledger.desired().snapshot());
        let log = Arc::clone(&self.log);
        let append = tokio::task::spawn_blocking(move || log.append(&orders, settled.as_ref()));
        let appended = append.await.unwrap_or_else(|error| Err(self.log.unavailable(error)));
        if let Err(error) = appended {
            for order in unlogged.drain(..) {
                order.responder.fail(ErrorCode::Log, error.to_string());
            }
            return Err(error);
        }
        for order in std::mem::take(unlogged) {
            self.announce_order(&order.logged);
            self.publisher.add(order.logged.order.clone());
            self.acknowledge(order, false);
        }
        self.publish();
        Ok(())
    }

    fn announce_order(&self, logged: &LoggedOrder) {
        let order = &logged.order;
        let forced = if logged.forced { ", forced" } else { "" };
        self.events.emit(format!(
            "order {} {} {} at revision {}{forced}",
            order.id, order.change, order.subject, order.revision
        ));
    }

    fn publish(&self) {
        self.publisher.publish(self.ledger.desired(), self.ledger.newest());
    }

    fn decide(&mut self, request: OrderRequest) -> Decision {
        let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        if self.pending_orders.is_full() {
            let message = "too many orders wait for gateways; try again";
            return Decision::Rejected(ErrorResponse::new(ErrorCode::Unavailable, message));
        }
        let gateways = &self.gateways;
        let view = FleetView {
            backends: self.catalog.backends(),
            reachable_gateways: gateways.reachable(),
            has_backend_lists: !self.catalog.is_empty(),
            is_managed: &|name: &str| gateways.get(name).is_some(),
        };
        self.ledger.decide(request, view, now_ms)
    }

    /// Acknowledges a logged order. From then on, the outcome at each gateway is reported to its tool.
    fn acknowledge(&mut self, order: UnloggedOrder, repeated: bool) {
        let UnloggedOrder { logged: LoggedOrder { order, counts, .. }, responder, deadline } = order;
        let instances = self.gateways.len() as u32;
        let accepted = OrderAccepted { revision: order.revision, repeated, counts, instances };
        responder.respond(ToolResponse::Accepted(accepted));
        let names = self.gateways.iter().map(|(name, _)| Arc::clone(name)).collect();
        let mut pending = PendingOrder::new(responder, order, deadline, names);
        for (name, gateway) in self.gateways.iter() {
            match self.gateways.health(gateway, self.ledger.newest()) {
                Health::Unreachable { reason } => {
                    pending.record(name, InstanceOutcome::Unreachable { reason });
                }
                _ if gateway.applied_revision() >= pending.revision() => pending.record_from_snapshot(name),
                _ => {}
            }
        }
        self.pending_orders.add(pending);
    }

    fn handle_report(&mut self, report: SessionReport) {
        let SessionReport { gateway: name, observation, results, state } = report;
        if self.gateways.get(&name).is_none() {
            return;
        }
        if let Some(backends) = state.as_ref().and_then(|state| state.backends.as_ref()) {
            self.catalog.update(&name, backends);
        }
        let Some(change) = self.gateways.observe(&name, &observation, state) else { return };
        self.pending_orders.observe(&name, &observation, &results, change.applied);
        if change.restarted {
            self.events.emit(format!("gateway {name} has started anew"));
        }
        if let Some(event) = self.gateways.announce_health(&name, self.ledger.newest()) {
            self.events.emit(event);
        }
    }
}
