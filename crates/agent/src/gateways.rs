//! The gateways that the agent manages: their sessions, and the last known state of each.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{GatewayRequest, GatewayState, GatewayStatus};
use fleet::{GatewayRecord, Health, Observation, Revision};
use operator_config::Address;
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::gateway_queries::QueriedGateway;
use crate::session::{self, SessionContext, SessionQuery};

/// Maximum number of queries in the queue of a session.
const MAX_QUEUED_QUERIES: usize = 16;
/// A gateway is unreachable if it was not seen for this number of heartbeats plus one response timeout.
const MAX_MISSED_HEARTBEATS: u32 = 2;

/// A gateway that the agent manages.
pub struct ManagedGateway {
    /// Address of its admin listener.
    pub address: Address,
    /// Whether it is in the operator's file, so that tools can't remove it.
    pub configured: bool,
    record: GatewayRecord,
    state: Option<GatewayState>,
    queries: mpsc::Sender<SessionQuery>,
    session: AbortHandle,
    /// The health that was announced last.
    announced: Health,
}

/// Effect of an observation on the record of a gateway.
pub struct ObservedChange {
    /// Whether the gateway has restarted.
    pub restarted: bool,
    /// The newest revision that it has applied.
    pub applied: Revision,
}

/// All gateways that the agent manages.
pub struct Gateways {
    by_name: BTreeMap<Arc<str>, ManagedGateway>,
    context: SessionContext,
    started_at: Instant,
}

impl Gateways {
    /// Creates an empty set whose sessions will share `context`.
    pub fn new(context: SessionContext) -> Gateways {
        Gateways { by_name: BTreeMap::new(), context, started_at: Instant::now() }
    }

    /// Adds a gateway and starts its session. A gateway with the same name is replaced.
    pub fn add(&mut self, name: &str, address: Address, configured: bool) {
        let name: Arc<str> = name.into();
        let (queries, queue) = mpsc::channel(MAX_QUEUED_QUERIES);
        let session = session::run(Arc::clone(&name), address.clone(), self.context.clone(), queue);
        let gateway = ManagedGateway {
            address,
            configured,
            record: GatewayRecord::default(),
            state: None,
            queries,
            session: tokio::spawn(session).abort_handle(),
            announced: Health::Unknown,
        };
        if let Some(replaced) = self.by_name.insert(name, gateway) {
            replaced.session.abort();
        }
    }

    /// Removes a gateway and ends its session.
    pub fn remove(&mut self, name: &str) {
        if let Some(gateway) = self.by_name.remove(name) {
            gateway.session.abort();
        }
    }

    /// Returns the gateway with this name.
    pub fn get(&self, name: &str) -> Option<&ManagedGateway> {
        self.by_name.get(name)
    }

    /// All gateways, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &ManagedGateway)> {
        self.by_name.iter()
    }

    /// Number of gateways.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Names of the gateways that have responded and are not known to be unreachable.
    pub fn reachable(&self) -> impl Iterator<Item = &str> {
        let is_reachable = |gateway: &ManagedGateway| {
            gateway.record.last_seen_ms().is_some() && gateway.record.unreachable_since_ms().is_none()
        };
        self.by_name.iter().filter(move |(_, gateway)| is_reachable(gateway)).map(|(name, _)| &**name)
    }

    /// Time since the agent started, ms.
    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Timeout of a gateway's response.
    pub fn response_timeout(&self) -> Duration {
        self.context.response_timeout
    }

    /// The health of a gateway, given the newest revision of the orders.
    pub fn health(&self, gateway: &ManagedGateway, newest: Revision) -> Health {
        let max_silence = self.context.heartbeat * MAX_MISSED_HEARTBEATS + self.context.response_timeout;
        gateway.record.health(self.now_ms(), newest, max_silence.as_secs_f64() * 1000.0)
    }

    /// Records what a session has observed. `None` if the gateway is no longer managed.
    pub fn observe(
        &mut self,
        name: &str,
        observation: &Observation,
        state: Option<GatewayState>,
    ) -> Option<ObservedChange> {
        let now_ms = self.now_ms();
        let gateway = self.by_name.get_mut(name)?;
        let restarted = gateway.record.observe(now_ms, observation.clone());
        if let Some(state) = state {
            // Backends are stored once for all gateways, in the catalog.
            gateway.state = Some(GatewayState { backends: None, ..state });
        }
        Some(ObservedChange { restarted, applied: gateway.record.applied_revision() })
    }

    /// Returns the event to announce if the health of a gateway has changed.
    pub fn announce_health(&mut self, name: &str, newest: Revision) -> Option<String> {
        let health = self.health(self.by_name.get(name)?, newest);
        let gateway = self.by_name.get_mut(name)?;
        let is_same = std::mem::discriminant(&gateway.announced) == std::mem::discriminant(&health);
        // `Behind` is not announced, as each order leaves every gateway behind for a moment.
        if is_same || health == Health::Behind {
            return None;
        }
        let event = match &health {
            Health::Unreachable { reason } => format!("gateway {name} is {health}: {reason}"),
            _ => format!("gateway {name} is {health}"),
        };
        gateway.announced = health;
        Some(event)
    }

    /// Sends a query to all gateways.
    pub fn query(&self, request: &GatewayRequest) -> Vec<QueriedGateway> {
        let query = |(name, gateway): (&Arc<str>, &ManagedGateway)| {
            let (response, receiver) = oneshot::channel();
            let query = SessionQuery { request: request.clone(), response };
            let is_queued = gateway.queries.try_send(query).is_ok();
            QueriedGateway { name: Arc::clone(name), response: is_queued.then_some(receiver) }
        };
        self.by_name.iter().map(query).collect()
    }

    /// The status of all gateways, ordered by name.
    pub fn status(&self, newest: Revision) -> Vec<GatewayStatus> {
        let now_ms = self.now_ms();
        let status = |(name, gateway): (&Arc<str>, &ManagedGateway)| GatewayStatus {
            name: name.to_string(),
            address: gateway.address.to_string(),
            health: self.health(gateway, newest),
            applied_revision: gateway.record.applied_revision(),
            last_seen_ms_ago: gateway.record.last_seen_ms().map(|at_ms| (now_ms - at_ms).max(0.0) as u64),
            restarts: gateway.record.restarts,
            state: gateway.state.clone(),
        };
        self.by_name.iter().map(status).collect()
    }
}

impl ManagedGateway {
    /// The newest revision that it is known to have applied.
    pub fn applied_revision(&self) -> Revision {
        self.record.applied_revision()
    }
}

impl Drop for Gateways {
    fn drop(&mut self) {
        self.by_name.values().for_each(|gateway| gateway.session.abort());
    }
}
