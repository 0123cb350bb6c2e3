//! A request arrives: it is checked, counted and given its deadline before anything is decided.

use super::request::OpenRequest;
use super::timers::TimerKind;
use super::Policy;
use crate::interface::{Action, Request};

/// Customers' records that each arrival looks at, to drop those that hold nothing.
const RECORDS_SWEPT_PER_REQUEST: usize = 2;

impl Policy {
    /// Accepts a request that arrived. One whose number is in use is ignored.
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
        // Each request has this timer, whatever else it waits for, so that each is answered in time.
        let deadline_at = request.deadline_ms - self.settings.clock_granularity_ms;
        actions.push(Action::ScheduleTimer {
            token: TimerKind::Deadline.token(id),
            at_ms: deadline_at.max(now),
        });
        let max_attempts = self.settings.limits.max_attempts;
        self.requests.insert(id, OpenRequest { request, max_attempts, ..OpenRequest::default() });
        self.admit(now, id, actions);
    }

    /// The units of a request, or the most that one may have if they make no sense.
    fn valid_units(&self, units: f64) -> f64 {
        if units.is_finite() && units >= 0.0 {
            units
        } else {
            self.settings.max_request_units.max(1.0)
        }
    }

    /// Whether the settings know the request's class and it has time left; else it is rejected, as nothing
    /// was done.
    fn is_servable(&self, now: f64, request: &Request) -> bool {
        request.class < self.settings.classes.len() && request.deadline_ms.max(now) > now
    }

    /// Drops records that hold nothing a new one would not: else customers seen once would fill the memory.
    fn sweep_customers(&mut self, now: f64) {
        self.customers.sweep(RECORDS_SWEPT_PER_REQUEST, |quota| quota.is_like_new(now));
    }
}
