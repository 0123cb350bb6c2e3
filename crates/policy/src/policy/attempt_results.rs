//! Results of attempts: updates of the customer's quota, the backend's health and the fleet's latency.

use super::latency::{AnsweredWork, BACKEND_DECAY};
use super::request::{Attempt, OpenRequest};
use super::Policy;
use crate::interface::{Outcome, Request};

/// Cap on an observed latency, as a multiple of the expected one, so that an expensive request does not
/// discredit its backend.
const MAX_OBSERVED_SLOWNESS: f64 = 5.0;

/// The result of an attempt.
#[derive(Debug)]
pub(super) struct AttemptResult {
    pub(super) id: u64,
    /// Index of the attempt within its request, from 0.
    pub(super) attempt: u32,
    pub(super) outcome: Outcome,
    pub(super) latency_ms: f64,
    /// Actual units, if the answer reported them.
    pub(super) actual_units: Option<f64>,
    /// The customer's use over all gateways, as a fraction of its rate, if the answer reported it.
    pub(super) metered_use: Option<f64>,
}

/// A finished attempt and its request.
struct FinishedAttempt {
    attempt: Attempt,
    request: Request,
    /// Actual units, or the estimate if the answer did not report them.
    units: f64,
    /// Expected latency on an idle backend, ms.
    work_ms: f64,
}

impl Policy {
    /// Records the result of an attempt.
    pub(super) fn attempt_finished(&mut self, now: f64, result: &AttemptResult) {
        let Some(finished) = self.close_attempt(result) else { return };
        self.settle_charge(result, &finished.request);
        let Some(slot) = self.backends.find(finished.attempt.backend) else { return };
        self.backends.get_mut(slot).attempt_finished(now, result.outcome);
        let uninformative = matches!(result.outcome, Outcome::NotSent | Outcome::Cancelled);
        if uninformative || !result.latency_ms.is_finite() {
            return;
        }
        self.record_health(now, slot, result.outcome, &finished.request);
        if matches!(result.outcome, Outcome::Ok | Outcome::Timeout) {
            self.record_latency(now, slot, result, &finished);
        }
    }

    /// Records that the process which an attempt reached may have ended.
    pub(super) fn process_lost(&mut self, id: u64, attempt: u32) {
        let open = self.requests.get_mut(&id);
        if let Some(attempt) = open.and_then(|open| open.attempts.get_mut(attempt as usize)) {
            attempt.process_lost = true;
        }
    }

    /// Marks an attempt as ended. Returns `None` if it is not in flight.
    fn close_attempt(&mut self, result: &AttemptResult) -> Option<FinishedAttempt> {
        let open: &mut OpenRequest = self.requests.get_mut(&result.id)?;
        let attempt = open.attempts.get_mut(result.attempt as usize).filter(|attempt| attempt.pending)?;
        attempt.pending = false;
        attempt.may_have_run = !result.outcome.never_executed();
        let attempt = attempt.clone();
        self.fleet.attempt_finished(attempt.sent_at, attempt.overdue);
        let request = open.request.clone();
        let units = result.actual_units.unwrap_or(request.units);
        let work_ms = self.latency.work_ms(request.class, units);
        Some(FinishedAttempt { attempt, request, units, work_ms })
    }

    /// Records the metered use of the customer and replaces the estimated charge by the actual units. The
    /// next counter call reports the difference.
    fn settle_charge(&mut self, result: &AttemptResult, request: &Request) {
        let Some(quota) = self.customers.get_mut(request.customer) else { return };
        quota.attempts_in_flight = quota.attempts_in_flight.saturating_sub(1);
        // Without a shared counter, or while it does not answer, the usage meter reveals this gateway's
        // share.
        let without_totals = !self.settings.shared_counter || !self.call_throttle.is_counter_answering();
        if let Some(used) = result.metered_use.filter(|_| without_totals && quota.plan.rate > 0.0) {
            quota.record_metered_use(used);
        }
        let Some(open) = self.requests.get_mut(&result.id) else { return };
        if let Some(actual) =
            result.actual_units.filter(|_| result.outcome == Outcome::Ok && open.charge > 0.0)
        {
            let actual = actual.max(quota.min_charge(request.units));
            quota.spend(actual - open.charge);
            open.charge = actual;
        }
    }

    /// Records what an outcome reveals about a backend's health.
    fn record_health(&mut self, now: f64, slot: usize, outcome: Outcome, request: &Request) {
        let rejected = self.rejection_indices(request);
        let entry_count = self.settings.plans.len() + self.settings.classes.len() + 1;
        let backend = self.backends.get_mut(slot);
        // A full backend is healthy, but it has no capacity for this plan and class either.
        if outcome == Outcome::Rejected {
            backend.rejected_at.resize(entry_count, f64::MIN);
            for index in rejected {
                backend.rejected_at[index] = now;
            }
        }
        let failed = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        // A timeout was already counted as a failure when the attempt became overdue, and it does not show
        // that the backend is healthy.
        if outcome != Outcome::Timeout {
            backend.record_outcome(failed);
        }
        if outcome == Outcome::Ok {
            backend.ejection_interval_ms = 0.0;
        }
        if failed && backend.is_outlier() {
            self.eject(now, slot);
        }
    }

    /// Records the latency of an answer or of a timeout.
    fn record_latency(&mut self, now: f64, slot: usize, result: &AttemptResult, finished: &FinishedAttempt) {
        let max_ms = MAX_OBSERVED_SLOWNESS * finished.work_ms * self.fleet.slowness().max(1.0);
        let observed_ms = result.latency_ms.min(max_ms);
        let backend = self.backends.get_mut(slot);
        backend.latency.add(observed_ms, finished.work_ms, BACKEND_DECAY);
        backend.latency_updated_at = now;
        let in_flight = finished.attempt.in_flight_at_send.backend;
        backend.mean_in_flight += (1.0 - BACKEND_DECAY) * (in_flight - backend.mean_in_flight);
        // Timeouts of a few silent backends say nothing about the load of the fleet.
        if result.outcome == Outcome::Ok {
            self.record_fleet_latency(now, observed_ms, result.latency_ms, finished);
        }
    }

    /// Records an answer in the estimates of the fleet and of its class.
    fn record_fleet_latency(
        &mut self,
        now: f64,
        observed_ms: f64,
        latency_ms: f64,
        finished: &FinishedAttempt,
    ) {
        let work_ms = finished.work_ms;
        self.fleet.record_latency(observed_ms, work_ms);
        if !finished.attempt.overdue {
            self.record_recent_latency(now, observed_ms, work_ms);
        }
        self.fleet.count_answer(finished.attempt.in_flight_at_send);
        let (class, units) = (finished.request.class, finished.units);
        self.latency
            .record_answer(&AnsweredWork { class, units, latency_ms, work_ms }, self.fleet.slowness());
        let tightest = self.latency.tightest_objective(&self.settings.classes);
        self.fleet.record_work(work_ms, tightest);
    }
}
