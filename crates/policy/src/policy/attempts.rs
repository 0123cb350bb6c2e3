//! How an attempt begins, and how the next one follows: a hedge when it is overdue, a retry when it failed.

use super::endpoint_selection::Selection;
use super::fleet_load::OBJECTIVE_FRACTION;
use super::request::{Attempt, InFlight, OpenRequest};
use super::timers::TimerKind;
use super::Policy;
use crate::interface::Action;

/// An attempt is overdue, and a hedge may be sent, after this many times its expected latency.
const OVERDUE_AFTER_LATENCIES: f64 = 3.0;
/// What a hedge costs of the retry budget, and a retry that multiplies work.
const FULL_COST: f64 = 1.0;

/// An attempt that is overdue, and its request.
#[derive(Clone, Copy, Debug)]
struct Overdue {
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
    pub(super) fn send(&mut self, now: f64, id: u64, selection: Selection, actions: &mut Vec<Action>) {
        let overdue_after_ms = self.overdue_after_ms(now, id, selection);
        // By the attempts before this one: a connection that comes up late must not begin a repeat after
        // its window.
        let write_deadline_ms = self.write_deadline(&self.requests[&id]);
        let attempt = self.start_attempt(now, id, selection.slot, overdue_after_ms);
        let backend = attempt.backend;
        let open = self.requests.get_mut(&id).expect("the caller found it");
        open.attempts.push(attempt);
        if let Some(quota) = self.customers.get_mut(open.request.customer) {
            quota.attempts_in_flight += 1;
        }
        actions.push(Action::SendAttempt { id, backend, write_deadline_ms });
        actions
            .push(Action::ScheduleTimer { token: TimerKind::Hedge.token(id), at_ms: now + overdue_after_ms });
    }

    /// Time after which an attempt at a backend is overdue, ms.
    fn overdue_after_ms(&self, now: f64, id: u64, selection: Selection) -> f64 {
        let slowness = self.slowness(self.backends.get(selection.slot), now);
        let expected_ms = self.work_of(id) * selection.slowness.max(slowness);
        let class = self.requests[&id].request.class;
        (expected_ms * OVERDUE_AFTER_LATENCIES).min(self.settings.classes[class].latency_objective_ms)
    }

    /// Expected latency of a request on an idle backend, ms.
    fn work_of(&self, id: u64) -> f64 {
        let request = &self.requests[&id].request;
        self.latency.work_ms(request.class, request.units)
    }

    /// Counts an attempt as in flight, at its backend and in all.
    fn start_attempt(&mut self, now: f64, id: u64, slot: usize, overdue_after_ms: f64) -> Attempt {
        self.backends.record_work(slot, now, self.work_of(id));
        let backend = self.backends.get_mut(slot);
        let in_flight = InFlight { backend: backend.in_flight, fleet: self.fleet.in_flight() };
        let attempt = Attempt::new(&backend.entry, now, overdue_after_ms, in_flight);
        let idle = backend.in_flight <= 0.0;
        backend.in_flight += 1.0;
        if idle {
            backend.last_seen_at = now;
            self.look_again_after_connect(now, slot);
        }
        self.fleet.attempt_sent(now);
        attempt
    }

    /// An attempt may be overdue: stuck on a bad backend, or its answer lost. It counts against its
    /// backend; a hedge is sent where the class allows it, the budget covers it and there is room.
    pub(super) fn overdue_timer_fired(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let Some(overdue) = self.mark_overdue(now, id) else { return };
        self.learn_recent(now, now - overdue.sent_at, overdue.work_ms);
        self.fleet.attempt_overdue(overdue.sent_at);
        if let Some(backend) = self.backend_mut(overdue.backend) {
            backend.count_outcome(true);
        }
        if let Some(selection) = self.select_for_hedge(now, id, &overdue) {
            self.retry_budget.spend(FULL_COST);
            self.send(now, id, selection, actions);
        }
    }

    /// Marks an attempt of a request as overdue, if one is. One whose answer is streamed never is.
    fn mark_overdue(&mut self, now: f64, id: u64) -> Option<Overdue> {
        let tick_ms = self.settings.clock_granularity_ms;
        let open = self.requests.get_mut(&id).filter(|open| !open.streaming)?;
        let first_sent_at = open.attempts.first()?.sent_at;
        let attempt = open.attempts.iter_mut().find(|attempt| {
            let waited_ms = now - attempt.sent_at + tick_ms;
            attempt.pending && !attempt.overdue && waited_ms >= attempt.overdue_after_ms
        })?;
        attempt.overdue = true;
        Some(Overdue {
            backend: attempt.backend,
            sent_at: attempt.sent_at,
            first_sent_at,
            objective_ms: self.settings.classes[open.request.class].latency_objective_ms,
            work_ms: self.latency.work_ms(open.request.class, open.request.units),
        })
    }

    /// Another backend for a request whose attempt is overdue, if it is likely to answer in time.
    fn select_for_hedge(&mut self, now: f64, id: u64, overdue: &Overdue) -> Option<Selection> {
        let still_waits = |attempt: &Attempt| attempt.pending && !attempt.overdue;
        let waits = self.requests[&id].attempts.iter().any(still_waits);
        if waits || !self.settings.limits.hedges || !self.retry_budget.covers(FULL_COST) {
            return None;
        }
        let left_ms = (overdue.objective_ms - (now - overdue.first_sent_at)) * OBJECTIVE_FRACTION;
        let selection = self.select_backend(now, id)?;
        let in_time = selection.slowness * overdue.work_ms < left_ms;
        let elsewhere = self.backends.get(selection.slot).entry.id != overdue.backend;
        (in_time && elsewhere).then_some(selection)
    }

    /// The answer of an attempt has begun to flow to the client: the others are called off.
    pub(super) fn stream_started(
        &mut self,
        now: f64,
        id: u64,
        attempt: u32,
        backend: u32,
        actions: &mut Vec<Action>,
    ) {
        if let Some(backend) = self.backend_mut(backend) {
            backend.last_seen_at = now;
        }
        if let Some(open) = self.requests.get_mut(&id) {
            open.streaming = true;
        }
        self.cancel_attempts(id, Some(attempt), actions);
    }

    /// What to do for a request when one of its attempts has ended. `client_answered`: the client has its
    /// answer.
    pub(super) fn continue_request(
        &mut self,
        now: f64,
        id: u64,
        client_answered: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(open) = self.requests.get(&id) else { return };
        let pending = open.has_pending_attempt();
        // An answer that is streamed must not be cut off as another attempt of the request ends.
        if open.streaming && pending && !open.answered {
            return;
        }
        if client_answered || (open.answered && !pending) {
            return self.finish(id, actions);
        }
        if !(open.awaits_total || open.answered || pending) {
            self.retry_or_give_up(now, id, actions);
        }
    }

    fn retry_or_give_up(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let open = &self.requests[&id];
        let late = now >= open.request.deadline_ms - self.settings.clock_granularity_ms;
        let cost = self.retry_cost(now, open);
        let affordable = !late && self.retry_budget.covers(cost);
        let selection = if affordable { self.select_backend(now, id) } else { None };
        let Some(selection) = selection else {
            return self.give_up(id, actions);
        };
        self.retry_budget.spend(cost);
        self.send(now, id, selection, actions);
    }

    /// What a retry costs of the budget. What ran nowhere multiplies no work: it costs nothing while the
    /// fleet is not pressed.
    fn retry_cost(&self, now: f64, open: &OpenRequest) -> f64 {
        let multiplies_work = open.may_have_run() || self.is_pressed(now);
        if multiplies_work {
            FULL_COST
        } else {
            0.0
        }
    }
}
