//! Attempts: from the connection to the backend to the outcome that the gateway is told.

use gateway_policy::interface::{Event, Outcome};

use super::backend::Job;
use super::event::SimulationEvent;
use super::settings::CONNECT_TIMEOUT_MS;
use super::simulation::{Simulation, ONE_WAY_LATENCY_MS};
use super::{Chooser, FaultKind};

pub(super) struct Attempt {
    pub request: u64,
    pub number: u32,
    pub backend: u32,
    /// The connection that it has, by the incarnation of its backend.
    pub connection: Option<u32>,
    pub sent_ms: f64,
    /// What its work takes here, ms, once it has begun.
    pub service_time_ms: Option<f64>,
    /// Its outcome is on the way or told.
    pub settled: bool,
    /// It ran, and its answer was the final one.
    pub served_client: bool,
}

impl Simulation<'_> {
    pub(super) fn attempt_reached(&mut self, place: usize) {
        let Attempt { request, backend, settled, .. } = self.attempts[place];
        self.backends[backend as usize].in_transit -= 1;
        let Some(request) = self.requests.get(&request).filter(|_| !settled) else { return };
        let mut work = request.work;
        if self.backends[backend as usize].is_down() {
            return self.settle(place, CONNECT_TIMEOUT_MS, Outcome::ConnectFailed);
        }
        let incarnation = self.backends[backend as usize].incarnation;
        if self.attempts[place].connection.is_none_or(|of| of != incarnation) {
            self.attempts[place].connection = self.open_connection(backend);
            if self.attempts[place].connection.is_none() {
                // As a service does that has no more of them.
                return self.settle(place, ONE_WAY_LATENCY_MS, Outcome::Rejected);
            }
            let cost = self.scenario.connections.filter(|_| !self.nodes.is_empty());
            work += cost.map_or(0.0, |c| c.handshake_ms);
        }
        match self.backends[backend as usize].fault {
            Some(FaultKind::Failing(part)) if self.rng.next_f64() < part => {
                // It has run, as far as anyone knows.
                self.attempts[place].service_time_ms = Some(0.0);
                return self.settle(place, ONE_WAY_LATENCY_MS, Outcome::Error);
            }
            _ => {}
        }
        match self.backends[backend as usize].enqueue(Job { attempt: place, work }) {
            Some(true) => self.begin(place, work),
            Some(false) => {}
            None => self.settle(place, ONE_WAY_LATENCY_MS, Outcome::Rejected),
        }
    }

    pub(super) fn begin(&mut self, place: usize, work: f64) {
        let takes = self.backends[self.attempts[place].backend as usize].service_time(self.now, work);
        self.attempts[place].service_time_ms = Some(takes);
        self.schedule(takes, SimulationEvent::WorkDone(place));
    }

    pub(super) fn work_done(&mut self, place: usize) {
        let backend = self.attempts[place].backend as usize;
        // What was given up while it waited is dropped unseen.
        while let Some(next) = self.backends[backend].finish_one() {
            if !self.attempts[next.attempt].settled {
                self.begin(next.attempt, next.work);
                break;
            }
        }
        if !self.attempts[place].settled {
            let dead = self.backends[backend].is_down();
            self.settle(place, ONE_WAY_LATENCY_MS, if dead { Outcome::Reset } else { Outcome::Ok });
        }
    }

    pub(super) fn settle(&mut self, place: usize, after: f64, outcome: Outcome) {
        self.attempts[place].settled = true;
        self.report.never_executed += u64::from(outcome.never_executed());
        self.schedule(after, SimulationEvent::OutcomeReported(place, outcome));
    }

    pub(super) fn outcome_reported(&mut self, place: usize, outcome: Outcome) {
        let Attempt { request: id, number: nth, backend, sent_ms: sent, .. } = self.attempts[place];
        let Some(request) = self.requests.get(&id) else { return };
        if request.closed {
            return;
        }
        let (g, open) = (request.gateway, request.answers == 0);
        self.release_connection(place, g, outcome);
        self.requests.get_mut(&id).expect("in flight").in_flight -= 1;
        if outcome == Outcome::Ok && open {
            self.attempts[place].served_client = true;
            self.answer(id, Outcome::Ok);
        } else if self.scenario.chooser == Chooser::Ideal && open {
            // It makes no mistake, but requests that were there when a trouble began are sent anew.
            return self.send_ideally(id);
        }
        if self.scenario.chooser != Chooser::Ideal {
            let (latency_ms, closed) = (self.now - sent, self.requests[&id].answers > 0);
            let (metered, charged, load) = (None, None, &[][..]);
            let attempt = nth;
            self.decide(
                g,
                Event::AttemptEnded {
                    id,
                    attempt,
                    backend,
                    outcome,
                    latency_ms,
                    answered: closed,
                    metered_use: metered,
                    actual_units: charged,
                    load,
                },
            );
        }
    }
}
