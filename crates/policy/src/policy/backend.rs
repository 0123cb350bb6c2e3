//! State of a backend, including its ejection and readmission.

use routing::{Attributes, Indexed, ListState};

use super::ratio::DecayedRatio;
use crate::interface::{BackendEndpoint, EndpointState, Outcome, Settings};

/// Failure rate above which a backend is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Weight of one outcome in the moving average of the failure rate.
const OUTCOME_WEIGHT: f64 = 0.2;
/// First interval between probes of an ejected backend, as a multiple of the connection timeout.
const FIRST_EJECTION_TIMEOUTS: f64 = 2.0;
/// Maximum interval between probes of an ejected backend, as a multiple of the connection timeout.
const MAX_EJECTION_TIMEOUTS: f64 = 16.0;

/// A backend as this gateway knows it.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) entry: BackendEndpoint,
    /// Version of the endpoint list that changed its cell or zone last; 0 if they have not changed since it
    /// was added.
    pub(crate) scope_version: u64,
    /// Start of the current warm-up: the backend's last start by the endpoint list, or its return after
    /// silence.
    pub(crate) warm_up_started_at: f64,
    /// Duration of the warm-up, ms.
    pub(crate) warm_up_ms: f64,
    /// This gateway's attempts in flight at the backend.
    pub(crate) in_flight: f64,
    /// Observed latency over the expected latency on an idle backend.
    pub(crate) latency: DecayedRatio,
    pub(crate) latency_updated_at: f64,
    /// Mean number of this gateway's attempts in flight when the answers in `latency` were requested.
    pub(crate) mean_in_flight: f64,
    /// Exponentially weighted failure rate, from 0 to 1.
    pub(crate) failure_rate: f64,
    /// Last time at which the backend was known to be alive.
    pub(crate) last_alive_at: f64,
    pub(crate) ejected: bool,
    /// Interval between probes while ejected, ms; reset to 0 by a successful answer.
    pub(crate) ejection_interval_ms: f64,
    /// Time of the next probe while ejected.
    pub(crate) probe_at: f64,
    /// Requests queued at the backend by its last load report.
    pub(crate) queued: f64,
    /// Time of that load report.
    pub(crate) load_reported_at: f64,
    /// Last times at which the backend rejected a request as full, by plan and then by class.
    pub(crate) rejected_at: Vec<f64>,
}

impl Backend {
    pub(crate) fn new(now: f64, entry: &BackendEndpoint, settings: &Settings) -> Self {
        // Without the cap, a start time in the future, from another clock or in another unit, would keep the
        // backend warming up until then. If the backend's clock is slightly behind, the backend is taken to
        // be warmer by that difference.
        let warm_up_started_at = entry.slow_start_from_ms().min(now);
        let warm_up_ms = settings.slow_start.warm_up_ms;
        Backend { warm_up_started_at, warm_up_ms, entry: entry.clone(), ..Backend::default() }
    }

    /// Replaces the entry by one of this version of the endpoint list.
    pub(crate) fn set_entry(&mut self, list_version: u64, entry: &BackendEndpoint) {
        if (entry.cell, entry.zone) != (self.entry.cell, self.entry.zone) {
            self.scope_version = list_version;
        }
        self.entry = entry.clone();
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.entry.state == EndpointState::Removed
    }

    /// Returns the fraction of its full capacity that the backend has at least at `now`.
    pub(crate) fn capacity_fraction(&self, now: f64, settings: &Settings) -> f64 {
        let slow_start = &settings.slow_start;
        if self.warm_up_started_at <= 0.0 || slow_start.warm_up_ms <= 0.0 {
            return 1.0;
        }
        let progress = ((now - self.warm_up_started_at) / slow_start.warm_up_ms).clamp(0.0, 1.0);
        slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * progress
    }

    /// Returns whether operators re-enabled the backend after a ban and it has not restarted since.
    pub(crate) fn returned_from_ban(&self) -> bool {
        self.entry.reenabled_ms > self.entry.started_ms
    }

    /// Records the outcome of an attempt in the failure rate. An overdue attempt counts as a failure.
    pub(crate) fn record_outcome(&mut self, failed: bool) {
        self.failure_rate += OUTCOME_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
    }

    /// Returns whether the failure rate calls for ejection of a backend that is not ejected yet.
    pub(crate) fn is_outlier(&self) -> bool {
        self.failure_rate > EJECTION_FAILURE_RATE && !self.ejected
    }

    pub(crate) fn eject(&mut self, now: f64, connect_timeout_ms: f64) {
        self.ejected = true;
        let timeout_ms = connect_timeout_ms.max(1.0);
        self.ejection_interval_ms = (self.ejection_interval_ms * 2.0)
            .clamp(timeout_ms * FIRST_EJECTION_TIMEOUTS, timeout_ms * MAX_EJECTION_TIMEOUTS);
        self.probe_at = now + self.ejection_interval_ms;
    }

    /// Readmits an ejected backend. One that was silent for more than `restart_ms` may have restarted, and be
    /// warming up before the endpoint list says so.
    pub(crate) fn readmit(&mut self, now: f64, restart_ms: f64) {
        if now - self.last_alive_at > restart_ms {
            self.warm_up_started_at = now;
        }
        self.ejected = false;
        self.failure_rate = 0.0;
        self.last_alive_at = now;
    }

    /// Records that an attempt at this backend has ended.
    pub(crate) fn attempt_finished(&mut self, now: f64, outcome: Outcome) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.last_alive_at = now;
        }
    }
}

impl Indexed for Backend {
    fn attributes(&self) -> Attributes {
        let BackendEndpoint { id, key, zone, cell, instance_type, weight_share: share, .. } = self.entry;
        let state = match self.entry.state {
            EndpointState::Ready => ListState::Ready,
            EndpointState::Draining => ListState::Draining,
            EndpointState::Removed => ListState::Removed,
        };
        // A backend that started long ago, or whose start is unknown, counts as warm.
        let warm_from =
            if self.warm_up_started_at > 0.0 { self.warm_up_started_at + self.warm_up_ms } else { 0.0 };
        Attributes { id, key, zone, cell, instance_type, state, ejected: self.ejected, warm_from, share }
    }
}
