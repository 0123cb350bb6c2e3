//! What operators and the agent see of the event loop: their orders are applied here, and its state is told.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{
    Applied, BackendState, ErrorCode, ErrorResponse, GatewayRequest, GatewayResponse, GatewayState,
    GatewayStatistics, OrderResult, MAX_ORDERS_PER_REQUEST,
};
use fleet::{DesiredState, OrderId, Subject};
use gateway_policy::interface::SettingsError;
use gateway_policy::reload::ServiceSettings;
use gateway_policy::BackendView;
use maintenance::MaintenanceState;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::EventLoop;
use crate::backend_table::{BackendRow, Overrides};
use crate::maintenance::ControlRequest;

/// How long a request may be on its way from its reading to the policy, ms.
const MAX_READING_MS: f64 = 1_000.0;

/// What operators want of this gateway, and what only the rest of the program knows of it.
#[derive(Debug)]
pub struct Oversight {
    pub desired: DesiredState,
    /// What commands at the second address left in force.
    pub maintenance: MaintenanceState,
    name: String,
    /// New with each start, below 2^53.
    incarnation: u64,
    last_order: Option<OrderId>,
    /// One task for each connection of a client.
    clients: TaskTracker,
    /// Tells the listener whether the gateway itself is drained.
    drained: watch::Sender<bool>,
}

impl Oversight {
    /// Of a gateway that nobody has given an order yet.
    pub fn new(name: String, incarnation: u64, clients: TaskTracker, drained: watch::Sender<bool>) -> Self {
        let (desired, maintenance, last_order) = (DesiredState::default(), MaintenanceState::default(), None);
        Oversight { desired, maintenance, name, incarnation, last_order, clients, drained }
    }
}

impl EventLoop {
    /// Answers a request of the admin listener.
    pub(super) fn admin_request(&mut self, request: GatewayRequest) -> GatewayResponse {
        match request {
            GatewayRequest::State { backends } => GatewayResponse::State(self.state(backends)),
            GatewayRequest::Inflight { subject } => GatewayResponse::Inflight(self.in_flight(&subject)),
            GatewayRequest::Apply { orders } if orders.len() > MAX_ORDERS_PER_REQUEST => {
                let message = format!("{} orders at once; {MAX_ORDERS_PER_REQUEST} at most", orders.len());
                GatewayResponse::Error(ErrorResponse::new(ErrorCode::BadRequest, message))
            }
            GatewayRequest::Apply { orders } => {
                let mut results = Vec::with_capacity(orders.len());
                for order in &orders {
                    let outcome = self.oversight.desired.apply(order);
                    self.oversight.last_order = Some(order.id.clone());
                    let matched = self.matched(&order.subject);
                    results.push(OrderResult { id: order.id.clone(), outcome, matched });
                }
                self.applied(results)
            }
            GatewayRequest::Adopt { snapshot } => {
                self.oversight.desired.adopt(&snapshot);
                self.applied(Vec::new())
            }
        }
    }

    /// Carries out a request of the maintenance controller or of a reload, before it is answered.
    pub(super) fn control(&mut self, request: ControlRequest) {
        // A reply fails only when whoever requested is gone.
        match request {
            ControlRequest::IsListed { id, reply } => drop(reply.send(self.table.contains(&id))),
            ControlRequest::ShareWith { other_processes, reply } => {
                self.share_with(other_processes);
                let _ = reply.send(());
            }
            ControlRequest::TakeUnreported { reply } => {
                drop(reply.send(self.policy.take_unreported_charges()));
            }
            ControlRequest::AddUnreported { unreported, reply } => {
                self.policy.adopt_unreported_charges(self.clock.now_ms(), &unreported);
                let _ = reply.send(());
            }
            ControlRequest::ChangeSettings { service_settings, reply } => {
                drop(reply.send(self.change_settings(&service_settings)));
            }
            ControlRequest::Adopt { state, reply } => {
                self.adopt(state);
                let _ = reply.send(());
            }
        }
    }

    /// Leaves other processes of this gateway their shares.
    pub fn share_with(&mut self, other_processes: usize) {
        let processes = u32::try_from(other_processes).unwrap_or(u32::MAX).saturating_add(1);
        self.policy.set_process_count(self.clock.now_ms(), processes);
        self.partitions.iter_mut().for_each(|partition| partition.share(processes as usize));
    }

    /// Goes by new settings, as far as they may change in service.
    fn change_settings(&mut self, new: &ServiceSettings) -> Result<(), SettingsError> {
        let now_ms = self.clock.now_ms();
        let before = Arc::clone(&self.service_settings.borrow());
        let longest_ms = before.settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        // A request that was read, and did not come here yet, may have a class that was dropped: its index is
        // not free before that.
        let is_free = |index: usize| {
            let since_ms = self.dropped_classes.get(&index).copied().unwrap_or(now_ms);
            now_ms - since_ms > longest_ms + MAX_READING_MS && !self.policy.has_request_of_class(index)
        };
        let after = before.reloaded(new, is_free)?;
        let name_at = |index: usize| after.names.classes.get(index)?.as_ref();
        let index_before = |index| {
            let mut names = before.names.classes.iter();
            names.position(|name| name.is_some() && name.as_ref() == name_at(index))
        };
        self.policy.update_settings(after.settings.clone(), index_before);
        let classes = &after.settings.classes;
        self.dropped_classes.retain(|index, _| classes[*index].retired);
        for (index, _) in classes.iter().enumerate().filter(|(_, class)| class.retired) {
            self.dropped_classes.entry(index).or_insert(now_ms);
        }
        let connect_timeout = Duration::from_secs_f64(after.settings.limits.connect_timeout_ms / 1000.0);
        self.pool.set_limits(after.names.idle_close_ms, connect_timeout);
        self.service_settings.send_replace(Arc::new(after));
        Ok(())
    }

    /// Puts a maintenance state in force if it is newer than the one that is.
    pub fn adopt(&mut self, maintenance: MaintenanceState) {
        if maintenance.newer_than(self.oversight.maintenance.revision()) {
            self.oversight.maintenance = maintenance;
            self.apply_overrides();
        }
    }

    /// Carries out what operators want by now: of backends, and of the gateway itself.
    fn apply_overrides(&mut self) {
        let overrides =
            Overrides { desired: &self.oversight.desired, maintenance: &self.oversight.maintenance };
        let lines = self.table.apply_overrides(overrides, &self.names.zones);
        if !lines.is_empty() {
            self.apply_lines(gateway_policy::interface::UpdateScope::Delta, lines);
        }
        let oversight = &self.oversight;
        let drained = oversight.desired.gateway_drained_by(&oversight.name).is_some()
            || oversight.maintenance.drained_ms().is_some();
        self.oversight.drained.send_if_modified(|was| std::mem::replace(was, drained) != drained);
    }

    /// Carries out what the orders have changed, before anybody is told that they were applied.
    fn applied(&mut self, results: Vec<OrderResult>) -> GatewayResponse {
        self.apply_overrides();
        GatewayResponse::Applied(Applied {
            incarnation: self.oversight.incarnation,
            applied_revision: self.oversight.desired.revision(),
            results,
        })
    }

    fn matched(&self, subject: &Subject) -> u32 {
        match subject {
            Subject::Gateway(name) => u32::from(name.as_str() == self.oversight.name),
            _ => self.table.covered(subject).count() as u32,
        }
    }

    /// Attempts in flight at a subject, from when they were decided on; requests that await an answer, where
    /// it is this gateway.
    fn in_flight(&self, subject: &Subject) -> u64 {
        match subject {
            Subject::Gateway(name) if name.as_str() == self.oversight.name => self.requests.open() as u64,
            Subject::Gateway(_) => 0,
            _ => {
                let numbers: Vec<u32> = self.table.covered(subject).map(|row| row.number).collect();
                self.attempts.at_any_of(&numbers) as u64
            }
        }
    }

    fn state(&self, with_backends: bool) -> GatewayState {
        let views: HashMap<u32, BackendView> =
            self.policy.backends(self.clock.now_ms()).map(|view| (view.id, view)).collect();
        let oversight = &self.oversight;
        GatewayState {
            name: oversight.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            incarnation: oversight.incarnation,
            applied_revision: oversight.desired.revision(),
            last_order: oversight.last_order.clone(),
            drained_by: oversight.desired.gateway_drained_by(&oversight.name).cloned(),
            drained_ms: oversight.maintenance.drained_ms(),
            list_version: self.table.changes(),
            statistics: self.statistics(&views),
            backends: with_backends.then(|| self.backend_states(&views)),
        }
    }

    fn statistics(&self, views: &HashMap<u32, BackendView>) -> GatewayStatistics {
        let (evicted_customers, evicted_units) = self.policy.evictions();
        let mut statistics = GatewayStatistics {
            awaiting_connection: self.ramp.as_ref().map_or(0, |ramp| ramp.waiting() as u32),
            requests: self.requests.open() as u64,
            in_flight: self.attempts.len() as u64,
            idle_connections: self.pool.idle_connections() as u32,
            client_connections: self.oversight.clients.len() as u32,
            customers: self.policy.customer_count() as u64,
            evicted_customers,
            evicted_units: evicted_units.ceil() as u64,
            ..GatewayStatistics::default()
        };
        for row in self.table.rows() {
            let Health { ejected, capacity_fraction } = Health::of(row, views);
            let drained = row.effect.drained_by.is_some() || row.banned_ms.is_some();
            statistics.listed += 1;
            statistics.serving += u32::from(row.is_serving());
            statistics.drained += u32::from(drained);
            statistics.ejected += u32::from(ejected);
            statistics.warming_up += u32::from(capacity_fraction < 1.0);
        }
        statistics
    }

    /// Each backend on the list, by name.
    fn backend_states(&self, views: &HashMap<u32, BackendView>) -> Vec<BackendState> {
        let in_flight = self.attempts.by_backend();
        let state = |row: &BackendRow| {
            let Health { ejected, capacity_fraction } = Health::of(row, views);
            let endpoint = &row.endpoint;
            BackendState {
                name: endpoint.name.clone(),
                address: endpoint.address.to_string(),
                group: endpoint.group,
                kind: endpoint.kind.clone(),
                zone: endpoint.zone.clone(),
                serving: row.is_serving(),
                drained_by: row.effect.drained_by.clone(),
                banned_ms: row.banned_ms,
                weight: row.effect.weight,
                ejected,
                capacity_fraction,
                in_flight: in_flight.get(&row.number).copied().unwrap_or(0),
            }
        };
        let mut states: Vec<BackendState> = self.table.rows().map(state).collect();
        states.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        states
    }
}

/// What the policy makes of a backend.
struct Health {
    ejected: bool,
    capacity_fraction: f64,
}

impl Health {
    /// One that the policy does not have yet counts as healthy.
    fn of(row: &BackendRow, views: &HashMap<u32, BackendView>) -> Health {
        views.get(&row.number).map_or(Health { ejected: false, capacity_fraction: 1.0 }, |view| Health {
            ejected: view.ejected,
            capacity_fraction: view.capacity_fraction,
        })
    }
}
