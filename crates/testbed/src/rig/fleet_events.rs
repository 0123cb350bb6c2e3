//! Changes of the fleet during a run: restarts of gateways, replacements of backends, and endpoint lists that
//! arrive late or not at all.

use gateway_policy::interface::{BackendEndpoint, EndpointState, Event, UpdateScope};
use gateway_policy::Policy;

use super::backend::Backend;
use super::event::SimulationEvent;
use super::settings::settings;
use super::simulation::{Simulation, BEGIN_MS, ONE_WAY_LATENCY_MS};
use super::FaultKind;

/// A change of the fleet.
#[derive(Debug)]
pub(super) enum FleetEvent {
    KillGateway(u32),
    StartGateway(u32),
    /// A gateway calls discovery: gateway, its incarnation.
    CallDiscovery(u32, u32),
    /// Changes of the list reach a watching gateway: gateway, its incarnation.
    ReceiveChanges(u32, u32),
    /// A backend is removed from the list and another starts in its place: backend, time until its stop, ms.
    ReplaceBackend(u32, f64),
    StopBackend(u32),
    /// Closes connections that have been idle since a time: gateway, its incarnation, backend, time.
    CloseIdle(u32, u32, u32, f64),
}

fn endpoint(number: u32, backend: &Backend) -> BackendEndpoint {
    BackendEndpoint {
        id: number,
        key: u64::from(number),
        cell: Some(backend.cell),
        zone: Some(backend.zone),
        started_ms: backend.started,
        state: if backend.removed { EndpointState::Removed } else { EndpointState::Ready },
        ..BackendEndpoint::default()
    }
}

impl Simulation<'_> {
    /// Schedules the scenario's restarts and replacements.
    pub(super) fn schedule_scenario(&mut self) {
        let scenario = self.scenario;
        let spread = |i: u32, count: u32, over_ms: f64| over_ms * f64::from(i) / f64::from(count.max(1));
        for r in &scenario.restarts {
            for i in 0..r.gateways.min(self.nodes.len() as u32) {
                let at = r.from_ms + spread(i, r.gateways, r.over_ms);
                self.schedule(at, SimulationEvent::Fleet(FleetEvent::KillGateway(i)));
                self.schedule(at + r.down_ms, SimulationEvent::Fleet(FleetEvent::StartGateway(i)));
            }
        }
        for r in &scenario.replacements {
            // Spread evenly over the backend numbers, and so over zones and cells.
            let backend =
                |i: u32| (u64::from(i) * u64::from(scenario.backends) / u64::from(r.backends)) as u32;
            for i in 0..r.backends.min(scenario.backends) {
                let at = r.from_ms + spread(i, r.backends, r.over_ms);
                self.schedule(at, SimulationEvent::Fleet(FleetEvent::ReplaceBackend(backend(i), r.grace_ms)));
            }
        }
    }

    pub(super) fn fleet_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::KillGateway(g) => self.kill_gateway(g),
            FleetEvent::StartGateway(g) => self.start_gateway(g),
            FleetEvent::CallDiscovery(g, incarnation) => self.call_discovery(g, incarnation),
            FleetEvent::ReceiveChanges(g, incarnation) => self.receive_changes(g, incarnation),
            FleetEvent::ReplaceBackend(backend, grace) => {
                self.backends[backend as usize].removed = true;
                self.backends[backend as usize].had_fault = true;
                let number = self.backends.len() as u32;
                let mut new = Backend::new(self.scenario, number, self.now);
                let old = &self.backends[backend as usize];
                (new.zone, new.cell) = (old.zone, old.cell);
                self.backends.push(new);
                self.publish_changes(&[backend, number]);
                self.schedule(grace, SimulationEvent::Fleet(FleetEvent::StopBackend(backend)));
            }
            FleetEvent::StopBackend(backend) => {
                let now = self.now;
                self.backends[backend as usize].set_fault(Some(FaultKind::Dead), now);
            }
            FleetEvent::CloseIdle(g, gateway_incarnation, backend, since) => {
                let incarnation = self.backends[backend as usize].incarnation;
                if self.nodes[g as usize].incarnation == gateway_incarnation {
                    let closed = self.nodes[g as usize].close_idle(since, backend, incarnation);
                    self.backends[backend as usize].connected -= closed;
                }
            }
        }
    }

    /// Publishes changes of the list to watching gateways, immediately or with a random delay.
    pub(super) fn publish_changes(&mut self, backends: &[u32]) {
        for (n, position) in backends.iter().zip(self.changes.len()..) {
            self.backends[*n as usize].list_position = Some(position);
        }
        self.changes.extend_from_slice(backends);
        for g in 0..self.nodes.len() as u32 {
            let node = &self.nodes[g as usize];
            let (incarnation, watching) = (node.incarnation, node.up && node.without_list_since.is_none());
            if watching {
                let max_delay = self.scenario.discovery.map_or(0.0, |d| d.max_delay_ms);
                let delay = if max_delay > 0.0 { max_delay * self.rng.next_f64() } else { 0.0 };
                self.schedule(delay, SimulationEvent::Fleet(FleetEvent::ReceiveChanges(g, incarnation)));
            }
        }
    }

    fn receive_changes(&mut self, g: u32, incarnation: u32) {
        let node = &mut self.nodes[g as usize];
        if node.incarnation != incarnation || !node.up {
            return;
        }
        let from = std::mem::replace(&mut node.list_position, self.changes.len());
        let entries: Vec<BackendEndpoint> =
            self.changes[from..].iter().map(|n| endpoint(*n, &self.backends[*n as usize])).collect();
        if !entries.is_empty() {
            self.decide(g, Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &entries });
        }
    }

    /// Gives a gateway the list at the start of the run, as if it came from the gateway's configuration.
    pub(super) fn load_initial_list(&mut self, g: u32) {
        let all = (0..self.scenario.backends).zip(&self.backends);
        let initial = |(n, b): (u32, &Backend)| BackendEndpoint {
            state: EndpointState::Ready,
            started_ms: 0.0,
            ..endpoint(n, b)
        };
        let entries: Vec<BackendEndpoint> = all.map(initial).collect();
        self.decide(g, Event::EndpointsUpdated { scope: UpdateScope::Cached, endpoints: &entries });
    }

    fn kill_gateway(&mut self, g: u32) {
        for (backend, incarnation) in self.nodes[g as usize].stop() {
            self.close_connection(backend, incarnation);
        }
        let open = self.requests.iter().filter(|(_, request)| request.gateway == g && !request.done());
        let mut open: Vec<u64> = open.map(|(id, _)| *id).collect();
        open.sort_unstable();
        for id in open {
            for place in self.requests[&id].attempts.clone() {
                let attempt = &mut self.attempts[place];
                attempt.settled = true;
                if let Some(incarnation) = attempt.connection.take() {
                    let backend = attempt.backend;
                    self.close_connection(backend, incarnation);
                }
            }
            let request = self.requests.get_mut(&id).expect("open");
            request.closed = true;
            if request.answers == 0 {
                request.answers = 1;
                self.report.interrupted += 1;
            }
        }
    }

    fn start_gateway(&mut self, g: u32) {
        let (scenario, now) = (self.scenario, self.now);
        let node = &mut self.nodes[g as usize];
        let seed = scenario.seed ^ u64::from(g) ^ (u64::from(node.incarnation) << 32);
        node.start(Policy::new(settings(scenario, g), seed, now).expect("valid settings"), now);
        let (incarnation, wait) = (node.incarnation, node.first_call());
        self.load_initial_list(g);
        self.schedule(
            if scenario.discovery.is_some() { wait } else { 0.0 },
            SimulationEvent::Fleet(FleetEvent::CallDiscovery(g, incarnation)),
        );
    }

    fn call_discovery(&mut self, g: u32, incarnation: u32) {
        let (now, per_s) = (self.now, self.scenario.discovery.map_or(f64::INFINITY, |d| d.calls_per_s));
        // Once no more requests arrive, the list is not needed.
        let finished = self.elapsed(now) > self.scenario.duration_ms;
        if finished || self.nodes[g as usize].incarnation != incarnation {
            return;
        }
        if self.discovery_calls.try_answer(now, per_s) {
            if let Some(since) = self.nodes[g as usize].without_list_since.take() {
                self.report.max_ms_without_list = self.report.max_ms_without_list.max(now - since);
            }
            self.schedule(
                ONE_WAY_LATENCY_MS,
                SimulationEvent::Fleet(FleetEvent::ReceiveChanges(g, incarnation)),
            );
        } else {
            let wait = self.nodes[g as usize].next_call();
            self.schedule(wait, SimulationEvent::Fleet(FleetEvent::CallDiscovery(g, incarnation)));
        }
    }

    /// Returns the time from the run's start to `at`, ms.
    pub(super) fn elapsed(&self, at: f64) -> f64 {
        at - BEGIN_MS
    }
}
