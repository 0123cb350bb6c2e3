//! Arrival of requests: validation, accounting and the deadline timer, before the admission decision.

use super::request::OpenRequest;
use super::timers::TimerKind;
use super::Policy;
use crate::interface::{Action, Request};

/// Customer records examined on each arrival in order to drop those that hold no information.
const RECORDS_SWEPT_PER_REQUEST: usize = 2;

impl Policy {
    /// Accepts a new request. A request whose ID is already in use is ignored.
    pub(super) fn request_arrived(&mut self, now: f64, mut request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        request.units = self.valid_units(request.units);
        if !self.is_servable(now, &request) {
            return actions.push(Action::Reject { id, retry_after_ms: None });
        }
        self.retry_budget.earn(self.settings.gateway_count);
        self.latency.request_received(request.units);
        self.sweep_customers(now);
        self.run_due_checks(now, actions);
        // Every request gets this timer, whatever else it waits for, so that it is always answered in time.
        let deadline_at = request.deadline_ms - self.settings.clock_granularity_ms;
        actions.push(Action::ScheduleTimer {
            token: TimerKind::Deadline.token(id),
            at_ms: deadline_at.max(now),
        });
        let max_attempts = self.settings.limits.max_attempts;
        self.requests.insert(id, OpenRequest { request, max_attempts, ..OpenRequest::default() });
        self.admit(now, id, actions);
    }

    /// Returns the units of a request, or the maximum units of a request if the value is invalid.
    fn valid_units(&self, units: f64) -> f64 {
        if units.is_finite() && units >= 0.0 {
            units
        } else {
            self.settings.max_request_units.max(1.0)
        }
    }

    /// Returns whether the class is known and the deadline has not passed. Any other request is rejected,
    /// which is safe because nothing has run.
    fn is_servable(&self, now: f64, request: &Request) -> bool {
        request.class < self.settings.classes.len() && request.deadline_ms.max(now) > now
    }

    /// Drops customer records that hold no more than a new one would. Without this, customers seen only once
    /// would fill the memory.
    fn sweep_customers(&mut self, now: f64) {
        self.customers.sweep(RECORDS_SWEPT_PER_REQUEST, |quota| quota.is_like_new(now));
    }
}
