//! Whether there is room for a request: rejected is what no backend is expected to answer in time.

use super::endpoint_selection::Selection;
use super::Policy;

impl Policy {
    /// The backend for a request that just came, if some backend is expected to leave every class enough of
    /// its latency objective. Quotas do not see queues that no answer comes out of in time, or load that
    /// wears backends down.
    pub(super) fn find_capacity(&mut self, now: f64, id: u64) -> Option<Selection> {
        let limit = self.fleet.slowness_limit();
        let selection = self.select_backend(now, id).filter(|selection| selection.slowness <= limit);
        let congestion = self.congestion(now);
        let selection = selection.filter(|_| self.meets_deadline(now, id, congestion) && congestion <= limit);
        self.fleet.record_capacity_search(selection.is_some());
        selection
    }

    /// Whether a request is expected to be done before its deadline; else it is not begun.
    fn meets_deadline(&self, now: f64, id: u64, congestion: f64) -> bool {
        let request = &self.requests[&id].request;
        let work_ms = self.latency.work_ms(request.class, request.units);
        work_ms * self.fleet.baseline() * congestion <= request.deadline_ms - now
    }

    /// Present slowness of the fleet against its baseline.
    fn congestion(&self, now: f64) -> f64 {
        let gateways = f64::from(self.settings.gateway_count);
        self.fleet.congestion(now, gateways, self.longest.objective_ms)
    }

    /// Whether the fleet is slower than the class with the tightest objective can bear.
    pub(super) fn is_congested(&self, now: f64) -> bool {
        self.congestion(now) > self.fleet.slowness_limit()
    }

    /// Records the latency of an answer, or the time in which none came.
    pub(super) fn record_recent_latency(&mut self, now: f64, observed_ms: f64, work_ms: f64) {
        self.fleet.record_recent_latency(now, observed_ms, work_ms, self.longest.objective_ms);
    }
}
