//! How an attempt ended: what its customer, its backend and the fleet learn from it.

use super::latency::{AnsweredWork, BACKEND_MEMORY};
use super::request::{Attempt, OpenRequest};
use super::Policy;
use crate::interface::{Outcome, Request};

/// An answer counts as no slower than so many times the expected: costly requests condemn no backend.
const MOST_OBSERVED_SLOWNESS: f64 = 5.0;

/// How an attempt ended.
#[derive(Debug)]
pub(super) struct AttemptResult {
    pub(super) id: u64,
    /// Its number, from 0.
    pub(super) attempt: u32,
    pub(super) outcome: Outcome,
    pub(super) latency_ms: f64,
    /// The actual units.
    pub(super) actual_units: Option<f64>,
    /// The customer's use over all gateways, as a part of its rate.
    pub(super) metered_use: Option<f64>,
}

/// An attempt that has ended, and its request.
struct FinishedAttempt {
    attempt: Attempt,
    request: Request,
    /// The actual units, or the estimate.
    units: f64,
    /// Expected latency on an idle backend, ms.
    work_ms: f64,
}

impl Policy {
    /// Records how an attempt ended.
    pub(super) fn attempt_finished(&mut self, now: f64, end: &AttemptResult) {
        let Some(ended) = self.close_attempt(end) else { return };
        self.settle_charge(end, &ended.request);
        let Some(slot) = self.backends.find(ended.attempt.backend) else { return };
        self.backends.get_mut(slot).attempt_finished(now, end.outcome);
        let unsent = matches!(end.outcome, Outcome::NotSent | Outcome::Cancelled);
        if unsent || !end.latency_ms.is_finite() {
            return;
        }
        self.learn_health(now, slot, end.outcome, &ended.request);
        if matches!(end.outcome, Outcome::Ok | Outcome::Timeout) {
            self.learn_latency(now, slot, end, &ended);
        }
    }

    /// Marks an attempt as ended; none if it is not in flight.
    fn close_attempt(&mut self, end: &AttemptResult) -> Option<FinishedAttempt> {
        let open: &mut OpenRequest = self.requests.get_mut(&end.id)?;
        let attempt = open.attempts.get_mut(end.attempt as usize).filter(|attempt| attempt.pending)?;
        attempt.pending = false;
        attempt.may_have_run = !end.outcome.never_executed();
        let attempt = attempt.clone();
        self.fleet.attempt_finished(attempt.sent_at, attempt.overdue);
        let request = open.request.clone();
        let units = end.actual_units.unwrap_or(request.units);
        let work_ms = self.latency.work_ms(request.class, units);
        Some(FinishedAttempt { attempt, request, units, work_ms })
    }

    /// Records what an answer tells of its customer's use, and charges the actual units in place of the
    /// estimate. The difference goes with the next call.
    fn settle_charge(&mut self, end: &AttemptResult, request: &Request) {
        let Some(quota) = self.customers.get_mut(request.customer) else { return };
        quota.attempts_in_flight = quota.attempts_in_flight.saturating_sub(1);
        // Without a counter, or while it is gone, a usage meter shows this one's share.
        let without_totals = !self.settings.shared_counter || !self.call_throttle.answering();
        if let Some(used) = end.metered_use.filter(|_| without_totals && quota.plan.rate > 0.0) {
            quota.learn_metered_use(used);
        }
        let Some(open) = self.requests.get_mut(&end.id) else { return };
        if let Some(actual) = end.actual_units.filter(|_| end.outcome == Outcome::Ok && open.charge > 0.0) {
            let actual = actual.max(quota.least_charge(request.units));
            quota.spend(actual - open.charge);
            open.charge = actual;
        }
    }

    /// Records what an outcome tells of a backend's health.
    fn learn_health(&mut self, now: f64, slot: usize, outcome: Outcome, request: &Request) {
        let rejected = self.rejection_indices(request);
        let entries = self.settings.plans.len() + self.settings.classes.len() + 1;
        let backend = self.backends.get_mut(slot);
        // Being full is no fault of the backend's health, but it is no room either.
        if outcome == Outcome::Rejected {
            backend.rejected_at.resize(entries, f64::MIN);
            for index in rejected {
                backend.rejected_at[index] = now;
            }
        }
        let fault = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        // A time-out was counted when it was overdue; it is no sign of health.
        if outcome != Outcome::Timeout {
            backend.count_outcome(fault);
        }
        if outcome == Outcome::Ok {
            backend.ejection_ms = 0.0;
        }
        if fault && backend.is_outlier() {
            self.eject(now, slot);
        }
    }

    /// Records the latency of an answer, or of one that timed out.
    fn learn_latency(&mut self, now: f64, slot: usize, end: &AttemptResult, ended: &FinishedAttempt) {
        let most_ms = MOST_OBSERVED_SLOWNESS * ended.work_ms * self.fleet.slowness().max(1.0);
        let observed_ms = end.latency_ms.min(most_ms);
        let backend = self.backends.get_mut(slot);
        backend.latency.add(observed_ms, ended.work_ms, BACKEND_MEMORY);
        backend.latency_at = now;
        let then = ended.attempt.in_flight_at_send.backend;
        backend.usual_in_flight += (1.0 - BACKEND_MEMORY) * (then - backend.usual_in_flight);
        // Time-outs of a few silent backends say nothing of the fleet's load.
        if end.outcome == Outcome::Ok {
            self.learn_fleet_latency(now, observed_ms, end.latency_ms, ended);
        }
    }

    /// Records an answer in the estimates of the fleet and of its class.
    fn learn_fleet_latency(&mut self, now: f64, observed_ms: f64, latency_ms: f64, ended: &FinishedAttempt) {
        let work_ms = ended.work_ms;
        self.fleet.learn_latency(observed_ms, work_ms);
        if !ended.attempt.overdue {
            self.learn_recent(now, observed_ms, work_ms);
        }
        self.fleet.count_answer(ended.attempt.in_flight_at_send);
        let (class, units) = (ended.request.class, ended.units);
        self.latency.learn(&AnsweredWork { class, units, latency_ms, work_ms }, self.fleet.slowness());
        let tightest = self.latency.tightest_objective(&self.settings.classes);
        self.fleet.learn_work(work_ms, tightest);
    }
}
