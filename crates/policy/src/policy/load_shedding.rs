//! Load shedding: rejects requests that no backend is expected to answer in time.

use super::endpoint_selection::Selection;
use super::Policy;

impl Policy {
    /// Returns a backend for a new request if the latency objectives of all classes are expected to hold
    /// there. Quotas alone cannot detect a queue whose answers all come too late, or load that overloads the
    /// backends.
    pub(super) fn find_capacity(&mut self, now: f64, id: u64) -> Option<Selection> {
        let limit = self.fleet.slowness_limit();
        let selection = self.select_backend(now, id).filter(|selection| selection.slowness <= limit);
        let congestion = self.congestion(now);
        let selection = selection.filter(|_| self.meets_deadline(now, id, congestion) && congestion <= limit);
        self.fleet.record_capacity_search(selection.is_some());
        selection
    }

    /// Returns whether a request is expected to finish before its deadline; otherwise it is not started.
    fn meets_deadline(&self, now: f64, id: u64, congestion: f64) -> bool {
        let request = &self.requests[&id].request;
        let work_ms = self.latency.work_ms(request.class, request.units);
        work_ms * self.fleet.baseline() * congestion <= request.deadline_ms - now
    }

    /// Returns the current slowness of the fleet relative to its baseline.
    fn congestion(&self, now: f64) -> f64 {
        let gateways = f64::from(self.settings.gateway_count);
        self.fleet.congestion(now, gateways, self.longest.objective_ms)
    }

    /// Returns whether the fleet is slower than the class with the tightest latency objective tolerates.
    pub(super) fn is_congested(&self, now: f64) -> bool {
        self.congestion(now) > self.fleet.slowness_limit()
    }

    /// Records the latency of an answer, or the time spent waiting for one that has not come.
    pub(super) fn record_recent_latency(&mut self, now: f64, observed_ms: f64, work_ms: f64) {
        self.fleet.record_recent_latency(now, observed_ms, work_ms, self.longest.objective_ms);
    }
}
