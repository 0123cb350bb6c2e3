//! The control plane of the event loop: applies orders of operators and the agent, and reports state.

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

/// Longest time from parsing a request to handing it to the policy, ms.
const MAX_READ_DELAY_MS: f64 = 1_000.0;

/// The state that operators want for this gateway, and the process state that is reported to them.
#[derive(Debug)]
pub struct ControlPlane {
    pub desired: DesiredState,
    /// State set by commands at the management address.
    pub maintenance: MaintenanceState,
    name: String,
    /// Unique for each start of the process, below 2^53.
    incarnation: u64,
    last_order: Option<OrderId>,
    /// Tracks one task per client connection.
    clients: TaskTracker,
    /// Notifies the listener whether the gateway itself is drained.
    drained: watch::Sender<bool>,
}

impl ControlPlane {
    /// Creates the state of a gateway that has not received any orders.
    pub fn new(name: String, incarnation: u64, clients: TaskTracker, drained: watch::Sender<bool>) -> Self {
        let (desired, maintenance, last_order) = (DesiredState::default(), MaintenanceState::default(), None);
        ControlPlane { desired, maintenance, name, incarnation, last_order, clients, drained }
    }
}

impl EventLoop {
    /// Answers a request from the admin listener.
    pub(super) fn admin_request(&mut self, request: GatewayRequest) -> GatewayResponse {
        match request {
            GatewayRequest::State { backends } => GatewayResponse::State(self.gateway_state(backends)),
            GatewayRequest::Inflight { subject } => GatewayResponse::Inflight(self.in_flight_at(&subject)),
            GatewayRequest::Apply { orders } if orders.len() > MAX_ORDERS_PER_REQUEST => {
                let message = format!("{} orders at once; {MAX_ORDERS_PER_REQUEST} at most", orders.len());
                GatewayResponse::Error(ErrorResponse::new(ErrorCode::BadRequest, message))
            }
            GatewayRequest::Apply { orders } => {
                let mut results = Vec::with_capacity(orders.len());
                for order in &orders {
                    let outcome = self.control_plane.desired.apply(order);
                    self.control_plane.last_order = Some(order.id.clone());
                    let matched = self.matched_count(&order.subject);
                    results.push(OrderResult { id: order.id.clone(), outcome, matched });
                }
                self.applied_response(results)
            }
            GatewayRequest::Adopt { snapshot } => {
                self.control_plane.desired.adopt(&snapshot);
                self.applied_response(Vec::new())
            }
        }
    }

    /// Executes a request of the maintenance controller or of a reload, then replies.
    pub(super) fn handle_control_request(&mut self, request: ControlRequest) {
        // Sending a reply fails only if the requester no longer waits for it.
        match request {
            ControlRequest::IsListed { id, reply } => drop(reply.send(self.table.contains(&id))),
            ControlRequest::SetOtherProcesses { other_processes, reply } => {
                self.set_other_processes(other_processes);
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
            ControlRequest::AdoptState { state, reply } => {
                self.adopt_maintenance_state(state);
                let _ = reply.send(());
            }
        }
    }

    /// Sets the number of other processes of this gateway, which get equal shares of its resources.
    pub fn set_other_processes(&mut self, other_processes: usize) {
        let processes = u32::try_from(other_processes).unwrap_or(u32::MAX).saturating_add(1);
        self.policy.set_process_count(self.clock.now_ms(), processes);
        self.sent_requests.set_sharing(other_processes > 0, self.clock.now_ms());
        self.partitions.iter_mut().for_each(|partition| partition.set_process_count(processes as usize));
    }

    /// Applies those of the new settings that may change without a restart.
    fn change_settings(&mut self, new: &ServiceSettings) -> Result<(), SettingsError> {
        let now_ms = self.clock.now_ms();
        let before = Arc::clone(&self.service_settings.borrow());
        let longest_ms = before.settings.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        // A request that was parsed but is not yet in the event loop may still refer to a removed class, so
        // the class's index is reusable only after the longest time that such a request can take.
        let is_reusable = |index: usize| {
            let since_ms = self.dropped_classes.get(&index).copied().unwrap_or(now_ms);
            now_ms - since_ms > longest_ms + MAX_READ_DELAY_MS && !self.policy.has_request_of_class(index)
        };
        let after = before.reloaded(new, is_reusable)?;
        let name_at = |index: usize| after.names.classes.get(index)?.as_ref();
        let previous_index = |index| {
            let mut names = before.names.classes.iter();
            names.position(|name| name.is_some() && name.as_ref() == name_at(index))
        };
        self.policy.update_settings(after.settings.clone(), previous_index);
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

    /// Adopts a maintenance state if it is newer than the current one.
    pub fn adopt_maintenance_state(&mut self, maintenance: MaintenanceState) {
        if maintenance.newer_than(self.control_plane.maintenance.revision()) {
            self.control_plane.maintenance = maintenance;
            self.apply_overrides();
        }
    }

    /// Applies the current orders and maintenance state to the backends and to the gateway itself.
    fn apply_overrides(&mut self) {
        let overrides =
            Overrides { desired: &self.control_plane.desired, maintenance: &self.control_plane.maintenance };
        let changed = self.table.apply_overrides(overrides, &self.names.zones);
        if !changed.is_empty() {
            self.apply_endpoints(gateway_policy::interface::UpdateScope::Delta, changed);
        }
        let control_plane = &self.control_plane;
        let drained = control_plane.desired.gateway_drained_by(&control_plane.name).is_some()
            || control_plane.maintenance.drained_ms().is_some();
        self.control_plane.drained.send_if_modified(|was| std::mem::replace(was, drained) != drained);
    }

    /// Applies the changed orders before the response reports them as applied.
    fn applied_response(&mut self, results: Vec<OrderResult>) -> GatewayResponse {
        self.apply_overrides();
        GatewayResponse::Applied(Applied {
            incarnation: self.control_plane.incarnation,
            applied_revision: self.control_plane.desired.revision(),
            results,
        })
    }

    fn matched_count(&self, subject: &Subject) -> u32 {
        match subject {
            Subject::Gateway(name) => u32::from(name.as_str() == self.control_plane.name),
            _ => self.table.matching(subject).count() as u32,
        }
    }

    /// Returns the number of attempts in flight to the backends that a subject covers, counted from the
    /// policy's decision; for this gateway, the number of requests that await an answer.
    fn in_flight_at(&self, subject: &Subject) -> u64 {
        match subject {
            Subject::Gateway(name) if name.as_str() == self.control_plane.name => {
                self.requests.awaiting_answer() as u64
            }
            Subject::Gateway(_) => 0,
            _ => {
                let numbers: Vec<u32> = self.table.matching(subject).map(|row| row.number).collect();
                self.attempts.count_at(&numbers) as u64
            }
        }
    }

    fn gateway_state(&self, include_backends: bool) -> GatewayState {
        let views: HashMap<u32, BackendView> =
            self.policy.backends(self.clock.now_ms()).map(|view| (view.id, view)).collect();
        let control_plane = &self.control_plane;
        GatewayState {
            name: control_plane.name.clone(),
            version: env!("CARGO_PKG_VERSION").to_string(),
            incarnation: control_plane.incarnation,
            applied_revision: control_plane.desired.revision(),
            last_order: control_plane.last_order.clone(),
            drained_by: control_plane.desired.gateway_drained_by(&control_plane.name).cloned(),
            drained_ms: control_plane.maintenance.drained_ms(),
            list_version: self.table.changes(),
            statistics: self.statistics(&views),
            backends: include_backends.then(|| self.backend_states(&views)),
        }
    }

    fn statistics(&self, views: &HashMap<u32, BackendView>) -> GatewayStatistics {
        let (evicted_customers, evicted_units) = self.policy.evictions();
        let mut statistics = GatewayStatistics {
            awaiting_connection: self.ramp.as_ref().map_or(0, |ramp| ramp.waiting_count() as u32),
            requests: self.requests.awaiting_answer() as u64,
            in_flight: self.attempts.len() as u64,
            idle_connections: self.pool.idle_connections() as u32,
            client_connections: self.control_plane.clients.len() as u32,
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

    /// Returns the state of each backend on the list, sorted by name.
    fn backend_states(&self, views: &HashMap<u32, BackendView>) -> Vec<BackendState> {
        let in_flight = self.attempts.by_backend();
        let state = |row: &BackendRow| {
            let Health { ejected, capacity_fraction } = Health::of(row, views);
            let endpoint = &row.endpoint;
            BackendState {
                name: endpoint.name.clone(),
                address: endpoint.address.to_string(),
                group: endpoint.group,
                kind: endpoint.instance_type.clone(),
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

/// The policy's view of a backend.
struct Health {
    ejected: bool,
    /// Estimated fraction of its full capacity, above 0, at most 1.
    capacity_fraction: f64,
}

impl Health {
    /// Returns the policy's view of a backend; one that the policy does not know yet counts as healthy.
    fn of(row: &BackendRow, views: &HashMap<u32, BackendView>) -> Health {
        views.get(&row.number).map_or(Health { ejected: false, capacity_fraction: 1.0 }, |view| Health {
            ejected: view.ejected,
            capacity_fraction: view.capacity_fraction,
        })
    }
}
