//! One backend: what is known of it, and when it is ejected and readmitted.

use routing::{Attributes, Indexed, ListState};

use super::ratio::DecayedRatio;
use crate::interface::{BackendEndpoint, EndpointState, Outcome, Settings};

/// Failures, weighted to the recent, above which a backend is ejected.
const EJECTED_ABOVE_FAILURES: f64 = 0.5;
/// Weight of one failure.
const FAILURE_WEIGHT: f64 = 0.2;
/// The first pause between trials of an ejected backend, in connection time-outs.
const FIRST_EJECTION: f64 = 2.0;
/// The longest such pause, in connection time-outs.
const LONGEST_EJECTION: f64 = 16.0;

/// A backend as this gateway knows it.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) entry: BackendEndpoint,
    /// Last start by the list, or return after silence.
    pub(crate) started_at: f64,
    /// It is warm after this time from then.
    pub(crate) warm_up_ms: f64,
    /// Own attempts in flight there.
    pub(crate) in_flight: f64,
    /// Latency over the work that was expected.
    pub(crate) latency: DecayedRatio,
    pub(crate) latency_at: f64,
    /// Own attempts in flight, on the mean, when those that make up `latency` were sent.
    pub(crate) usual_in_flight: f64,
    /// Failures against successes, weighted to the recent: from 0 to 1.
    pub(crate) failures: f64,
    /// When it was last seen alive.
    pub(crate) last_seen_at: f64,
    pub(crate) ejected: bool,
    /// Time between trials while it is ejected; 0 where it answered last.
    pub(crate) ejection_ms: f64,
    pub(crate) trial_at: f64,
    /// Requests waiting there by its last report, and when that came.
    pub(crate) waiting: f64,
    pub(crate) reported_at: f64,
    /// When it last rejected each plan, then each class, as full.
    pub(crate) rejected_at: Vec<f64>,
}

impl Backend {
    pub(crate) fn new(now: f64, entry: &BackendEndpoint, settings: &Settings) -> Self {
        // A start that lies ahead, by another clock or in another unit, would keep it warming up until
        // then. By a clock that goes a little before this one it is taken for that much warmer.
        let started_at = entry.slow_start_from_ms().min(now);
        let warm_up_ms = settings.slow_start.warm_up_ms;
        Backend { started_at, warm_up_ms, entry: entry.clone(), ..Backend::default() }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.entry.state == EndpointState::Removed
    }

    /// Surely warm part of the capacity at `now`.
    pub(crate) fn warmth(&self, now: f64, settings: &Settings) -> f64 {
        let slow_start = &settings.slow_start;
        if self.started_at <= 0.0 || slow_start.warm_up_ms <= 0.0 {
            return 1.0;
        }
        let grown = ((now - self.started_at) / slow_start.warm_up_ms).clamp(0.0, 1.0);
        slow_start.initial_capacity + (1.0 - slow_start.initial_capacity) * grown
    }

    /// Operators gave it back after a ban, and it has not started since.
    pub(crate) fn returned_from_ban(&self) -> bool {
        self.entry.reenabled_ms > self.entry.started_ms
    }

    /// An attempt ended, or is overdue, which counts for a failure or a success.
    pub(crate) fn count_outcome(&mut self, failed: bool) {
        self.failures += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.failures);
    }

    /// Whether a failure that was just counted is one too many.
    pub(crate) fn is_outlier(&self) -> bool {
        self.failures > EJECTED_ABOVE_FAILURES && !self.ejected
    }

    pub(crate) fn eject(&mut self, now: f64, connect_timeout_ms: f64) {
        self.ejected = true;
        let unit = connect_timeout_ms.max(1.0);
        self.ejection_ms = (self.ejection_ms * 2.0).clamp(unit * FIRST_EJECTION, unit * LONGEST_EJECTION);
        self.trial_at = now + self.ejection_ms;
    }

    /// Readmits it to take work. A machine back from a silence of more than `restart_ms` may have
    /// restarted, and warm up before the list says so.
    pub(crate) fn readmit(&mut self, now: f64, restart_ms: f64) {
        if now - self.last_seen_at > restart_ms {
            self.started_at = now;
        }
        self.ejected = false;
        self.failures = 0.0;
        self.last_seen_at = now;
    }

    /// Records that an attempt has ended here.
    pub(crate) fn attempt_finished(&mut self, now: f64, outcome: Outcome) {
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.last_seen_at = now;
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
        // One that started long ago, or says nothing, is warm.
        let warm_from = if self.started_at > 0.0 { self.started_at + self.warm_up_ms } else { 0.0 };
        Attributes { id, key, zone, cell, instance_type, state, ejected: self.ejected, warm_from, share }
    }
}
