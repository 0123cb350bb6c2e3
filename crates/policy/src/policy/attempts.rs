//! Attempts: sending them, hedging an overdue attempt and retrying a failed one.

use super::endpoint_selection::Selection;
use super::fleet_load::OBJECTIVE_FRACTION;
use super::request::{Attempt, InFlightCounts, OpenRequest};
use super::timers::TimerKind;
use super::Policy;
use crate::interface::Action;

/// Multiple of its expected latency after which an attempt is overdue and a hedge may be sent.
const OVERDUE_AFTER_LATENCIES: f64 = 3.0;
/// Cost, in the retry budget, of a hedge or of a retry that multiplies work.
const ATTEMPT_COST: f64 = 1.0;

/// An overdue attempt and the data of its request.
#[derive(Clone, Copy, Debug)]
struct OverdueAttempt {
    backend: u32,
    sent_at: f64,
    /// When the request's first attempt was sent.
    first_sent_at: f64,
    objective_ms: f64,
    /// Expected latency of the request on an idle backend, ms.
    work_ms: f64,
}

impl Policy {
    /// Sends an attempt of a request.
    pub(super) fn send_attempt(
        &mut self,
        now: f64,
        id: u64,
        selection: Selection,
        actions: &mut Vec<Action>,
    ) {
        let overdue_after_ms = self.overdue_after_ms(now, id, selection);
        // Computed from the earlier attempts only: if the connection is established late, the repeat must not
        // start after the deduplication window of the first attempt.
        let write_deadline_ms = self.write_deadline(&self.requests[&id]);
        let attempt = self.start_attempt(now, id, selection.slot, overdue_after_ms);
        let backend = attempt.backend;
        let open = self.requests.get_mut(&id).expect("request is open");
        open.attempts.push(attempt);
        if let Some(quota) = self.customers.get_mut(open.request.customer) {
            quota.attempts_in_flight += 1;
        }
        actions.push(Action::SendAttempt { id, backend, write_deadline_ms });
        actions
            .push(Action::ScheduleTimer { token: TimerKind::Hedge.token(id), at_ms: now + overdue_after_ms });
    }

    /// Returns the time after which an attempt at a backend is overdue, ms.
    fn overdue_after_ms(&self, now: f64, id: u64, selection: Selection) -> f64 {
        let slowness = self.slowness(self.backends.get(selection.slot), now);
        let expected_ms = self.expected_work_ms(id) * selection.slowness.max(slowness);
        let class = self.requests[&id].request.class;
        (expected_ms * OVERDUE_AFTER_LATENCIES).min(self.settings.classes[class].latency_objective_ms)
    }

    /// Returns the expected latency of a request on an idle backend, ms.
    fn expected_work_ms(&self, id: u64) -> f64 {
        let request = &self.requests[&id].request;
        self.latency.work_ms(request.class, request.units)
    }

    /// Counts an attempt as in flight, both at its backend and for the whole gateway.
    fn start_attempt(&mut self, now: f64, id: u64, slot: usize, overdue_after_ms: f64) -> Attempt {
        self.backends.record_work(slot, now, self.expected_work_ms(id));
        let backend = self.backends.get_mut(slot);
        let in_flight = InFlightCounts { backend: backend.in_flight, gateway: self.fleet.in_flight() };
        let attempt = Attempt::new(&backend.entry, self.list_version, now, overdue_after_ms, in_flight);
        let idle = backend.in_flight <= 0.0;
        backend.in_flight += 1.0;
        if idle {
            backend.last_alive_at = now;
            self.recheck_after_connect(now, slot);
        }
        self.fleet.attempt_sent(now);
        attempt
    }

    /// Handles an attempt that may be overdue because its backend is stuck or its answer was lost. An overdue
    /// attempt counts as a failure of its backend. A hedge is sent if the class allows it, the retry budget
    /// covers it and another backend is likely to answer in time.
    pub(super) fn hedge_timer_fired(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let Some(overdue) = self.mark_overdue(now, id) else { return };
        self.record_recent_latency(now, now - overdue.sent_at, overdue.work_ms);
        self.fleet.attempt_overdue(overdue.sent_at);
        if let Some(backend) = self.backend_mut(overdue.backend) {
            backend.record_outcome(true);
        }
        if let Some(selection) = self.select_hedge_backend(now, id, &overdue) {
            self.retry_budget.spend(ATTEMPT_COST);
            self.send_attempt(now, id, selection, actions);
        }
    }

    /// Marks the first overdue attempt of a request, if any. An attempt with a streamed answer is never
    /// overdue.
    fn mark_overdue(&mut self, now: f64, id: u64) -> Option<OverdueAttempt> {
        let granularity_ms = self.settings.clock_granularity_ms;
        let open = self.requests.get_mut(&id).filter(|open| !open.streaming)?;
        let first_sent_at = open.attempts.first()?.sent_at;
        let attempt = open.attempts.iter_mut().find(|attempt| {
            let waited_ms = now - attempt.sent_at + granularity_ms;
            attempt.pending && !attempt.overdue && waited_ms >= attempt.overdue_after_ms
        })?;
        attempt.overdue = true;
        Some(OverdueAttempt {
            backend: attempt.backend,
            sent_at: attempt.sent_at,
            first_sent_at,
            objective_ms: self.settings.classes[open.request.class].latency_objective_ms,
            work_ms: self.latency.work_ms(open.request.class, open.request.units),
        })
    }

    /// Selects another backend for the hedge of an overdue attempt, if one is likely to answer in time.
    fn select_hedge_backend(&mut self, now: f64, id: u64, overdue: &OverdueAttempt) -> Option<Selection> {
        let awaited = |attempt: &Attempt| attempt.pending && !attempt.overdue;
        let has_awaited = self.requests[&id].attempts.iter().any(awaited);
        if has_awaited || !self.settings.limits.hedges || !self.retry_budget.covers(ATTEMPT_COST) {
            return None;
        }
        let left_ms = (overdue.objective_ms - (now - overdue.first_sent_at)) * OBJECTIVE_FRACTION;
        let selection = self.select_backend(now, id)?;
        let in_time = selection.slowness * overdue.work_ms < left_ms;
        let different_backend = self.backends.get(selection.slot).entry.id != overdue.backend;
        (in_time && different_backend).then_some(selection)
    }

    /// Handles the start of a streamed answer: cancels the other attempts of the request.
    pub(super) fn stream_started(
        &mut self,
        now: f64,
        id: u64,
        attempt: u32,
        backend: u32,
        actions: &mut Vec<Action>,
    ) {
        if let Some(backend) = self.backend_mut(backend) {
            backend.last_alive_at = now;
        }
        if let Some(open) = self.requests.get_mut(&id) {
            open.streaming = true;
        }
        self.cancel_attempts(id, Some(attempt), actions);
    }

    /// Continues a request after one of its attempts has ended. `client_answered` means that the client
    /// already has its answer.
    pub(super) fn continue_request(
        &mut self,
        now: f64,
        id: u64,
        client_answered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.get(&id) else { return };
        let pending = open.has_pending_attempt();
        // A streamed answer must not be cut off because another attempt of the request has ended.
        if open.streaming && pending && !open.answered {
            return;
        }
        if client_answered || (open.answered && !pending) {
            return self.finish_request(id, actions);
        }
        if !(open.awaits_total || open.answered || pending) {
            self.retry_or_end(now, id, actions);
        }
    }

    fn retry_or_end(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let open = &self.requests[&id];
        let too_late = now >= open.request.deadline_ms - self.settings.clock_granularity_ms;
        let cost = self.retry_cost(now, open);
        let may_retry = !too_late && self.retry_budget.covers(cost);
        let selection = if may_retry { self.select_backend(now, id) } else { None };
        let Some(selection) = selection else {
            return self.reject_or_fail(id, actions);
        };
        self.retry_budget.spend(cost);
        self.send_attempt(now, id, selection, actions);
    }

    /// Returns the cost of a retry in the retry budget. A request that ran nowhere does not multiply work, so
    /// its retry is free while the fleet is not congested.
    fn retry_cost(&self, now: f64, open: &OpenRequest) -> f64 {
        let multiplies_work = open.may_have_run() || self.is_congested(now);
        if multiplies_work {
            ATTEMPT_COST
        } else {
            0.0
        }
    }
}
