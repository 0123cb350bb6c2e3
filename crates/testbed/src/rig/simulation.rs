//! The state of a run: its clock, event queue, gateways and backends.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use gateway_policy::interface::{Event, Outcome};
use gateway_policy::Policy;
use hdrhistogram::Histogram;

use super::attempts::Attempt;
use super::backend::Backend;
use super::event::{ScheduledEvent, SimulationEvent};
use super::node::{DiscoveryCalls, Node};
use super::requests::ClientRequest;
use super::settings::settings;
use super::{Chooser, FaultKind, FaultTarget, Report, Scenario};
use crate::Rng;

/// Network latency in one direction between a gateway and a backend, ms.
pub(super) const ONE_WAY_LATENCY_MS: f64 = 0.25;
/// Clock at the start of a run, ms. It is not 0, because a backend with start time 0 counts as warm.
pub(super) const BEGIN_MS: f64 = 1_000_000.0;

pub(super) struct Simulation<'a> {
    pub scenario: &'a Scenario,
    pub now: f64,
    pub events: BinaryHeap<Reverse<ScheduledEvent>>,
    pub last_sequence: u64,
    pub rng: Rng,
    pub nodes: Vec<Node>,
    pub backends: Vec<Backend>,
    /// Backends whose list entry changed, in order of the changes.
    pub changes: Vec<u32>,
    pub discovery_calls: DiscoveryCalls,
    pub requests: HashMap<u64, ClientRequest>,
    pub attempts: Vec<Attempt>,
    pub last_request: u64,
    pub report: Report,
}

/// Runs a scenario to its end.
///
/// # Panics
/// Panics if the policy rejects the scenario's settings.
#[must_use]
pub fn run(scenario: &Scenario) -> Report {
    let node = |gateway| {
        let policy = Policy::new(settings(scenario, gateway), scenario.seed ^ u64::from(gateway), BEGIN_MS);
        Node::new(policy.expect("valid settings"), scenario, scenario.seed ^ u64::from(gateway))
    };
    let gateways = if scenario.chooser == Chooser::Ideal { 0 } else { scenario.gateways };
    let latencies = Histogram::new_with_max(60_000_000, 3).expect("valid bounds");
    let (spread, wasted, max_slow_start_use, min_slow_start_work) = ((0.0, 0.0), 0.0, 0.0, 0.0);
    let mut simulation = Simulation {
        scenario,
        now: BEGIN_MS,
        events: BinaryHeap::new(),
        last_sequence: 0,
        rng: Rng::new(scenario.seed),
        nodes: (0..gateways).map(node).collect(),
        backends: (0..scenario.backends).map(|n| Backend::new(scenario, n, 0.0)).collect(),
        changes: Vec::new(),
        discovery_calls: DiscoveryCalls::default(),
        requests: HashMap::new(),
        attempts: Vec::new(),
        last_request: 0,
        report: Report {
            requests: 0,
            in_time: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            interrupted: 0,
            wrongly_answered: 0,
            attempts: 0,
            never_executed: 0,
            repeated_across_cells: 0,
            repeated_at_backend: 0,
            wasted,
            latencies,
            spread,
            max_slow_start_use,
            max_notified_slow_start_use: 0.0,
            min_slow_start_work,
            connects: (0, 0),
            peak_connections: 0,
            calls: (0, 0, 0),
            max_ms_without_list: 0.0,
        },
    };
    (0..gateways).for_each(|g| simulation.load_initial_list(g));
    simulation.schedule_scenario();
    simulation.schedule(0.0, SimulationEvent::Arrival);
    if scenario.cold.0 > 0 {
        simulation.schedule(scenario.cold.1, SimulationEvent::ColdBackendsStart);
    }
    for (i, fault) in scenario.faults.iter().enumerate() {
        simulation.schedule(fault.from_ms, SimulationEvent::FaultChanged(i, true));
        simulation.schedule(fault.to_ms, SimulationEvent::FaultChanged(i, false));
    }
    while let Some(Reverse(next)) = simulation.events.pop() {
        simulation.now = next.at;
        simulation.handle(next.event);
    }
    simulation.report()
}

impl Simulation<'_> {
    pub(super) fn schedule(&mut self, after: f64, event: SimulationEvent) {
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            at: self.now + after.max(0.0),
            sequence: self.last_sequence,
            event,
        }));
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.arrival(),
            SimulationEvent::AttemptReached(attempt) => self.attempt_reached(attempt),
            SimulationEvent::WorkDone(attempt) => self.work_done(attempt),
            SimulationEvent::OutcomeReported(attempt, outcome) => self.outcome_reported(attempt, outcome),
            SimulationEvent::Timer(g, incarnation, token) => {
                // As in the gateway, the timers of a finished request are ignored.
                let active = Policy::request_of_timer(token).is_none_or(|id| self.requests.contains_key(&id));
                if active && self.nodes[g as usize].incarnation == incarnation {
                    self.decide(g, Event::TimerExpired { token });
                }
            }
            SimulationEvent::ProbeEnded(g, incarnation, backend, ok)
                if self.nodes[g as usize].incarnation == incarnation =>
            {
                let outcome = if ok { Outcome::Ok } else { Outcome::ConnectFailed };
                self.decide(g, Event::ProbeEnded { backend, outcome, load: &[] });
            }
            SimulationEvent::ProbeEnded(..) => {}
            SimulationEvent::FaultChanged(i, begins) => self.change_fault(i, begins),
            SimulationEvent::Fleet(event) => self.fleet_event(event),
            SimulationEvent::ColdBackendsStart => self.start_cold_backends(),
        }
    }

    /// Begins or ends a fault at the backends that it affects.
    fn change_fault(&mut self, index: usize, begins: bool) {
        let (fault, now, mut recovered) = (self.scenario.faults[index], self.now, Vec::new());
        for (number, backend) in (0..).zip(&mut self.backends) {
            // The affected backends are drawn at the beginning; at the end, those with the fault recover.
            let affected = match fault.target {
                FaultTarget::Fraction(fraction) if begins => self.rng.next_f64() < fraction,
                FaultTarget::Fraction(_) => backend.fault == Some(fault.kind),
                FaultTarget::Zone(zone) => backend.zone == zone,
                FaultTarget::Cell(cell) => backend.cell == cell,
            };
            if affected && !backend.removed {
                backend.set_fault(begins.then_some(fault.kind), now);
                if !begins && fault.kind == FaultKind::Lost {
                    recovered.push(number);
                }
            }
        }
        self.publish_changes(&recovered);
    }

    fn start_cold_backends(&mut self) {
        let (from, now) = (self.backends.len() as u32, self.now);
        let new = (from..from + self.scenario.cold.0).map(|n| Backend::new(self.scenario, n, now));
        self.backends.extend(new);
        let all: Vec<u32> = (from..self.backends.len() as u32).collect();
        self.publish_changes(&all);
    }
}
