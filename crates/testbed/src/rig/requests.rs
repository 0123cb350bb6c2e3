//! Client requests: their arrival, the policy's actions on them, and their answers.

use std::collections::HashSet;

use gateway_policy::interface::{Action, Event, Outcome, Request};

use super::attempts::Attempt;
use super::event::SimulationEvent;
use super::node::Node;
use super::simulation::{Simulation, BEGIN_MS, ONE_WAY_LATENCY_MS};
use super::{Chooser, FaultKind};

/// Number of requests of the classes safe, keyed and unsafe among ten.
const CLASS_WEIGHTS: [u64; 3] = [5, 2, 3];

pub(super) struct ClientRequest {
    pub arrived_ms: f64,
    pub class: usize,
    /// Service time on a warm backend, ms.
    pub work: f64,
    pub gateway: u32,
    pub answers: u32,
    pub attempts: Vec<usize>,
    /// Whether its gateway was killed.
    pub closed: bool,
    /// Number of attempts whose outcome its gateway waits for.
    pub in_flight: u32,
}

impl ClientRequest {
    /// Returns whether it is answered and no attempt is in flight.
    pub fn done(&self) -> bool {
        self.closed || self.answers > 0 && self.in_flight == 0
    }
}

impl Simulation<'_> {
    /// Creates a request with random class, work and gateway, and schedules the next arrival.
    pub(super) fn arrival(&mut self) {
        let s = self.scenario;
        let capacity = f64::from(s.backends * s.slots) / s.service_time_ms;
        let wait = -(1.0 - self.rng.next_f64()).ln() / (capacity * s.load);
        if self.now - BEGIN_MS + wait < s.duration_ms {
            self.schedule(wait, SimulationEvent::Arrival);
        }
        self.last_request += 1;
        let (id, mut draw) = (self.last_request, self.rng.below(CLASS_WEIGHTS.iter().sum()));
        let class = CLASS_WEIGHTS.iter().position(|w| {
            let chosen = draw < *w;
            draw = draw.saturating_sub(*w);
            chosen
        });
        // Half of the mean service time plus an exponentially distributed part with the same mean.
        let work = s.service_time_ms * (0.5 - 0.5 * (1.0 - self.rng.next_f64()).ln());
        let (class, mut gateway) = (class.unwrap_or(0), self.rng.below(u64::from(s.gateways)) as u32);
        // Clients use a gateway that is up, if there is any.
        let up = |n: &Node| n.up;
        while self.nodes.iter().any(up) && !self.nodes[gateway as usize].up {
            gateway = (gateway + 1) % s.gateways;
        }
        let (arrived_ms, answers, attempts, closed, in_flight) = (self.now, 0, Vec::new(), false, 0);
        let request =
            ClientRequest { arrived_ms, class, work, gateway, answers, attempts, closed, in_flight };
        self.requests.insert(id, request);
        self.report.requests += 1;
        if s.chooser == Chooser::Ideal {
            return self.send_ideally(id);
        }
        if !self.nodes[gateway as usize].up {
            return self.answer(id, Outcome::Reset);
        }
        let deadline_ms = self.now + s.objective_and_deadline.1 * s.service_time_ms;
        let (customer, fan_out) = (id % 500, f64::from(s.gateways));
        let request =
            Request { id, customer, plan: 0, class, units: 1.0, fan_out, deadline_ms, retry: false };
        self.decide(gateway, Event::Request(request));
    }

    /// Sends a request to the backend with the earliest expected finish, by the true state of all backends.
    pub(super) fn send_ideally(&mut self, id: u64) {
        let now = self.now;
        let all = (0..).zip(&self.backends).map(|(n, b)| (n, b.expected_finish(now)));
        let best = all.filter(|(_, e)| e.is_finite()).min_by(|(_, a), (_, b)| a.total_cmp(b));
        match best.map(|(n, _)| n) {
            Some(backend) => self.send(id, backend),
            None => self.answer(id, Outcome::Rejected),
        }
    }

    /// Passes an event to a gateway's policy and carries out its actions.
    pub(super) fn decide(&mut self, g: u32, event: Event<'_>) {
        let mut actions = Vec::new();
        let incarnation = self.nodes[g as usize].incarnation;
        self.nodes[g as usize].policy.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::SendAttempt { id, backend, .. } => self.send(id, backend),
                Action::CancelAttempt { id, attempt } => {
                    let index = self.requests.get(&id).map(|request| request.attempts[attempt as usize]);
                    if let Some(index) = index.filter(|index| !self.attempts[*index].settled) {
                        self.attempts[index].settled = true;
                        self.schedule(0.0, SimulationEvent::OutcomeReported(index, Outcome::Cancelled));
                    }
                }
                Action::Reject { id, .. } => self.answer(id, Outcome::Rejected),
                Action::Fail { id } => self.answer(id, Outcome::Error),
                Action::Probe { backend } => {
                    let b = &self.backends[backend as usize];
                    let ok = !b.is_down() && !matches!(b.fault, Some(FaultKind::Failing(_)));
                    self.schedule(
                        2.0 * ONE_WAY_LATENCY_MS,
                        SimulationEvent::ProbeEnded(g, incarnation, backend, ok),
                    );
                }
                Action::ScheduleTimer { token, at_ms } => {
                    self.schedule(at_ms - self.now, SimulationEvent::Timer(g, incarnation, token));
                }
                Action::IncrementCounter { .. } | Action::BroadcastToPeers { .. } | Action::PollEndpoints => {
                }
            }
        }
    }

    /// Sends an attempt of a request to a backend.
    pub(super) fn send(&mut self, id: u64, backend: u32) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (number, index) = (request.attempts.len() as u32, self.attempts.len());
        let earlier = request.attempts.iter().map(|a| &self.attempts[*a]);
        let mut tried: HashSet<u32> = earlier.map(|a| a.backend).collect();
        request.attempts.push(index);
        request.in_flight += 1;
        let (work, g) = (request.work, request.gateway);
        self.report.repeated_at_backend += u64::from(!tried.insert(backend));
        // The ideal chooser has no gateways.
        let changes_received = self.nodes.get(g as usize).map_or(0, |node| node.list_position);
        let b = &mut self.backends[backend as usize];
        b.record_send(self.now, work, changes_received);
        b.in_transit += 1;
        self.report.attempts += 1;
        let (request, sent_ms, service_time_ms, settled, served_client) = (id, self.now, None, false, false);
        let connection = self.take_idle_connection(g, backend);
        // A new connection takes an additional round trip.
        let trips = if connection.is_some() || self.scenario.connections.is_none() { 1.0 } else { 3.0 };
        self.attempts.push(Attempt {
            request,
            number,
            backend,
            connection,
            sent_ms,
            service_time_ms,
            settled,
            served_client,
        });
        self.schedule(trips * ONE_WAY_LATENCY_MS, SimulationEvent::AttemptReached(index));
    }

    /// Records a final answer to a request; only the first one is counted in the report's outcomes.
    pub(super) fn answer(&mut self, id: u64, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answers += 1;
        if request.answers > 1 {
            return;
        }
        let latency = self.now - request.arrived_ms;
        match outcome {
            Outcome::Ok => {
                self.report.served += 1;
                self.report.in_time += u64::from(
                    latency <= self.scenario.objective_and_deadline.0 * self.scenario.service_time_ms,
                );
                self.report.latencies.saturating_record((latency * 1000.0) as u64);
            }
            Outcome::Rejected => self.report.rejected += 1,
            _ => self.report.failed += 1,
        }
    }
}
