//! Attempts, from the connection to the backend to the outcome reported to the gateway.

use gateway_policy::interface::{Event, Outcome};

use super::backend::Job;
use super::event::SimulationEvent;
use super::settings::CONNECT_TIMEOUT_MS;
use super::simulation::{Simulation, ONE_WAY_LATENCY_MS};
use super::{Chooser, FaultKind};

pub(super) struct Attempt {
    pub request: u64,
    /// Position among the attempts of its request, from 0.
    pub number: u32,
    pub backend: u32,
    /// Incarnation of the backend at the opening of the attempt's connection; `None` without a connection.
    pub connection: Option<u32>,
    pub sent_ms: f64,
    /// Service time at this backend, ms; `None` until the work begins.
    pub service_time_ms: Option<f64>,
    /// Whether the outcome is being reported or has been reported.
    pub settled: bool,
    /// Whether its answer was the final answer to the client.
    pub served_client: bool,
}

impl Simulation<'_> {
    /// Handles the arrival of an attempt at its backend, which may refuse, fail, queue or begin it.
    pub(super) fn attempt_reached(&mut self, index: usize) {
        let Attempt { request, backend, settled, .. } = self.attempts[index];
        self.backends[backend as usize].in_transit -= 1;
        let Some(request) = self.requests.get(&request).filter(|_| !settled) else { return };
        let mut work = request.work;
        if self.backends[backend as usize].is_down() {
            return self.settle(index, CONNECT_TIMEOUT_MS, Outcome::ConnectFailed);
        }
        let incarnation = self.backends[backend as usize].incarnation;
        if self.attempts[index].connection.is_none_or(|opened_in| opened_in != incarnation) {
            self.attempts[index].connection = self.open_connection(backend);
            if self.attempts[index].connection.is_none() {
                // A backend at its connection limit rejects the attempt.
                return self.settle(index, ONE_WAY_LATENCY_MS, Outcome::Rejected);
            }
            let connections = self.scenario.connections.filter(|_| !self.nodes.is_empty());
            work += connections.map_or(0.0, |c| c.handshake_ms);
        }
        match self.backends[backend as usize].fault {
            Some(FaultKind::Failing(probability)) if self.rng.next_f64() < probability => {
                // The request may have run, so it counts as run.
                self.attempts[index].service_time_ms = Some(0.0);
                return self.settle(index, ONE_WAY_LATENCY_MS, Outcome::Error);
            }
            _ => {}
        }
        match self.backends[backend as usize].enqueue(Job { attempt: index, work }) {
            Some(true) => self.begin(index, work),
            Some(false) => {}
            None => self.settle(index, ONE_WAY_LATENCY_MS, Outcome::Rejected),
        }
    }

    /// Begins the work of an attempt, ms of service time on a warm backend.
    pub(super) fn begin(&mut self, index: usize, work: f64) {
        let service_time = self.backends[self.attempts[index].backend as usize].service_time(self.now, work);
        self.attempts[index].service_time_ms = Some(service_time);
        self.schedule(service_time, SimulationEvent::WorkDone(index));
    }

    /// Handles the end of an attempt's work and begins the next waiting attempt.
    pub(super) fn work_done(&mut self, index: usize) {
        let backend = self.attempts[index].backend as usize;
        // Skips attempts that were cancelled while they waited.
        while let Some(next) = self.backends[backend].finish_one() {
            if !self.attempts[next.attempt].settled {
                self.begin(next.attempt, next.work);
                break;
            }
        }
        if !self.attempts[index].settled {
            let down = self.backends[backend].is_down();
            self.settle(index, ONE_WAY_LATENCY_MS, if down { Outcome::Reset } else { Outcome::Ok });
        }
    }

    /// Fixes the outcome of an attempt, which reaches the gateway after `after` ms.
    pub(super) fn settle(&mut self, index: usize, after: f64, outcome: Outcome) {
        self.attempts[index].settled = true;
        self.report.never_executed += u64::from(outcome.never_executed());
        self.schedule(after, SimulationEvent::OutcomeReported(index, outcome));
    }

    pub(super) fn outcome_reported(&mut self, index: usize, outcome: Outcome) {
        let Attempt { request: id, number, backend, sent_ms, .. } = self.attempts[index];
        let Some(request) = self.requests.get(&id) else { return };
        if request.closed {
            return;
        }
        let (g, unanswered) = (request.gateway, request.answers == 0);
        self.release_connection(index, g, outcome);
        self.requests.get_mut(&id).expect("in flight").in_flight -= 1;
        if outcome == Outcome::Ok && unanswered {
            self.attempts[index].served_client = true;
            self.answer(id, Outcome::Ok);
        } else if self.scenario.chooser == Chooser::Ideal && unanswered {
            // The ideal chooser avoids faulty backends, but resends requests that were at one when its fault
            // began.
            return self.send_ideally(id);
        }
        if self.scenario.chooser != Chooser::Ideal {
            let (latency_ms, answered) = (self.now - sent_ms, self.requests[&id].answers > 0);
            let (metered_use, actual_units, load) = (None, None, &[][..]);
            let attempt = number;
            self.decide(
                g,
                Event::AttemptEnded {
                    id,
                    attempt,
                    backend,
                    outcome,
                    latency_ms,
                    answered,
                    metered_use,
                    actual_units,
                    load,
                },
            );
        }
    }
}
