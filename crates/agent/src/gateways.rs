//! The gateways that the agent oversees: their sessions, and what is known of each.

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

/// Queries that a session may have in its queue.
const MAX_QUEUED_QUERIES: usize = 16;
/// A gateway that was not seen for so many heartbeats and one response timeout is unreachable.
const MAX_MISSED_HEARTBEATS: u32 = 2;

/// A gateway that the agent oversees.
pub struct OverseenGateway {
    /// Its admin listener.
    pub address: Address,
    /// Whether it is in the operator's file, so that no tool may remove it.
    pub configured: bool,
    record: GatewayRecord,
    state: Option<GatewayState>,
    queries: mpsc::Sender<SessionQuery>,
    session: AbortHandle,
    /// The health of the last event about it.
    announced: Health,
}

/// What an observation has changed.
pub struct ObservedChange {
    /// Whether the gateway is another process than before.
    pub restarted: bool,
    /// The revision that it holds.
    pub applied: Revision,
}

/// All gateways that the agent oversees.
pub struct Gateways {
    by_name: BTreeMap<Arc<str>, OverseenGateway>,
    context: SessionContext,
    started_at: Instant,
}

impl Gateways {
    /// No gateway yet; sessions will have this context.
    pub fn new(context: SessionContext) -> Gateways {
        Gateways { by_name: BTreeMap::new(), context, started_at: Instant::now() }
    }

    /// Begins a session with a gateway, in place of an earlier one with the same name.
    pub fn add(&mut self, name: &str, address: Address, configured: bool) {
        let name: Arc<str> = name.into();
        let (queries, queue) = mpsc::channel(MAX_QUEUED_QUERIES);
        let session = session::run(Arc::clone(&name), address.clone(), self.context.clone(), queue);
        let gateway = OverseenGateway {
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

    /// Ends the session with a gateway.
    pub fn remove(&mut self, name: &str) {
        if let Some(gateway) = self.by_name.remove(name) {
            gateway.session.abort();
        }
    }

    /// A gateway.
    pub fn get(&self, name: &str) -> Option<&OverseenGateway> {
        self.by_name.get(name)
    }

    /// All gateways, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &OverseenGateway)> {
        self.by_name.iter()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Names of gateways that have answered and are not known to be unreachable.
    pub fn reachable(&self) -> impl Iterator<Item = &str> {
        let is_reachable = |gateway: &OverseenGateway| {
            gateway.record.last_seen_ms().is_some() && gateway.record.unreachable_since_ms().is_none()
        };
        self.by_name.iter().filter(move |(_, gateway)| is_reachable(gateway)).map(|(name, _)| &**name)
    }

    /// Time since the agent started, ms.
    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// How long a response may take.
    pub fn response_timeout(&self) -> Duration {
        self.context.response_timeout
    }

    /// The health of a gateway, given the newest revision.
    pub fn health(&self, gateway: &OverseenGateway, newest: Revision) -> Health {
        let max_silence = self.context.heartbeat * MAX_MISSED_HEARTBEATS + self.context.response_timeout;
        gateway.record.health(self.now_ms(), newest, max_silence.as_secs_f64() * 1000.0)
    }

    /// Takes in what a session has learned. None if the gateway is no longer overseen.
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
            // The catalog holds each backend once for all gateways.
            gateway.state = Some(GatewayState { backends: None, ..state });
        }
        Some(ObservedChange { restarted, applied: gateway.record.applied_revision() })
    }

    /// The event about a change of a gateway's health, if there is one to announce.
    pub fn announce_health(&mut self, name: &str, newest: Revision) -> Option<String> {
        let health = self.health(self.by_name.get(name)?, newest);
        let gateway = self.by_name.get_mut(name)?;
        let is_same = std::mem::discriminant(&gateway.announced) == std::mem::discriminant(&health);
        // Each order leaves a gateway behind for a moment.
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

    /// Queries all gateways.
    pub fn query(&self, request: &GatewayRequest) -> Vec<QueriedGateway> {
        let query = |(name, gateway): (&Arc<str>, &OverseenGateway)| {
            let (response, receiver) = oneshot::channel();
            let query = SessionQuery { request: request.clone(), response };
            let is_queued = gateway.queries.try_send(query).is_ok();
            QueriedGateway { name: Arc::clone(name), response: is_queued.then_some(receiver) }
        };
        self.by_name.iter().map(query).collect()
    }

    /// The status of all gateways, by name.
    pub fn status(&self, newest: Revision) -> Vec<GatewayStatus> {
        let now_ms = self.now_ms();
        let status = |(name, gateway): (&Arc<str>, &OverseenGateway)| GatewayStatus {
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

impl OverseenGateway {
    /// The newest revision that it is known to hold.
    pub fn applied_revision(&self) -> Revision {
        self.record.applied_revision()
    }
}

impl Drop for Gateways {
    fn drop(&mut self) {
        self.by_name.values().for_each(|gateway| gateway.session.abort());
    }
}
