//! Slowness and load of the fleet, estimated from this gateway's own answers and attempts.

use super::latency::{ASSUMED_LATENCY_ANSWERS, ASSUMED_LATENCY_FRACTION, FLEET_DECAY};
use super::ratio::DecayedRatio;
use super::request::InFlightCounts;

/// Number of mean requests after which a backend's own answers weigh as much as the fleet's slowness.
pub(crate) const PRIOR_REQUESTS: f64 = 2.0;
/// Fraction of the latency objective that an expected completion time may take; the rest allows for the
/// variance of the work. If the work is exponentially distributed, 6 of 7 requests are in time at this limit.
/// At a quarter, 49 of 50 would be; but if objectives are only a few times the work, a fleet that is half
/// busy is already that slow, and requests would be rejected although there is capacity for them.
pub(crate) const OBJECTIVE_FRACTION: f64 = 0.5;
/// Number of gateways up to which the attempts in flight of one gateway represent the load of all.
pub(crate) const REPRESENTATIVE_GATEWAYS: f64 = 2.0;
/// Slowness relative to the baseline that is always tolerated, so that a class with a wrong estimate cannot
/// make the gateway reject everything.
const MIN_SLOWNESS_LIMIT: f64 = 1.5;
/// Fraction of requests rejected for lack of capacity above which rejecting evidently does not help.
const MOSTLY_REJECTED_FRACTION: f64 = 0.75;
/// Fraction of the baseline that is kept with each answer while the fleet is faster than the baseline.
const BASELINE_FALL_DECAY: f64 = 0.9;
/// Number of answers in which the baseline rises to the current slowness.
const BASELINE_RISE_ANSWERS: f64 = 4000.0;
/// Factor by which the baseline rises faster while most requests are rejected.
const BASELINE_RISE_WHILE_REJECTING: f64 = 10.0;

/// Attempts that are in flight and not overdue.
#[derive(Debug, Default)]
struct AwaitedAttempts {
    count: f64,
    /// Sum of the times at which they were sent.
    sent_at_sum: f64,
}

/// Load of the fleet as learned from all answers. Slowness is the observed latency as a multiple of the
/// expected latency on an idle backend.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    latency: DecayedRatio,
    /// Like `latency`, over the last few answers only.
    recent: DecayedRatio,
    recent_updated_at: f64,
    /// Number of answers recorded.
    answers: f64,
    awaited: AwaitedAttempts,
    /// Mean total time that the awaited attempts had spent when answers arrived, ms.
    mean_time_in_flight: f64,
    /// Fraction of recent requests that found no capacity.
    rejected_fraction: f64,
    /// Mean number of requests queued at a backend by recent load reports.
    reported_queue: f64,
    /// Recent minimum of the slowness, the reference for congestion.
    baseline: f64,
    /// Expected latency of a mean request on an idle backend, ms.
    mean_work_ms: f64,
    in_flight: f64,
    /// Mean number of attempts in flight when the answers in `latency` were requested.
    mean_in_flight: f64,
    /// Slowness that the class with the tightest latency objective tolerates.
    slowness_limit: f64,
}

impl FleetLoad {
    /// Creates the estimates for a fleet without observations.
    pub(crate) fn new(now: f64, mean_work_ms: f64) -> FleetLoad {
        let slowness_limit = OBJECTIVE_FRACTION / ASSUMED_LATENCY_FRACTION;
        FleetLoad {
            recent_updated_at: now,
            baseline: 1.0,
            mean_work_ms,
            slowness_limit,
            ..FleetLoad::default()
        }
    }

    pub(crate) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    pub(crate) fn baseline(&self) -> f64 {
        self.baseline
    }

    pub(crate) fn mean_work_ms(&self) -> f64 {
        self.mean_work_ms
    }

    pub(crate) fn slowness_limit(&self) -> f64 {
        self.slowness_limit
    }

    pub(crate) fn reported_queue(&self) -> f64 {
        self.reported_queue
    }

    /// Returns the slowness by all recent answers.
    pub(crate) fn slowness(&self) -> f64 {
        self.latency.with_prior(1.0, self.mean_work_ms)
    }

    pub(crate) fn attempt_sent(&mut self, now: f64) {
        self.adjust_awaited(now, 1.0);
        self.in_flight += 1.0;
    }

    /// Records that an attempt is overdue: it is not awaited any more, but still in flight.
    pub(crate) fn attempt_overdue(&mut self, sent_at: f64) {
        self.adjust_awaited(sent_at, -1.0);
    }

    pub(crate) fn attempt_finished(&mut self, sent_at: f64, overdue: bool) {
        self.adjust_awaited(sent_at, if overdue { 0.0 } else { -1.0 });
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }

    fn adjust_awaited(&mut self, sent_at: f64, attempts: f64) {
        self.awaited.count += attempts;
        self.awaited.sent_at_sum += sent_at * attempts;
    }

    /// Returns the total time spent so far by the awaited attempts, ms.
    fn time_in_flight(&self, now: f64) -> f64 {
        self.awaited.count * now - self.awaited.sent_at_sum
    }

    /// Records the number of requests queued at a backend, from its load report.
    pub(crate) fn queue_reported(&mut self, queued: f64) {
        self.reported_queue += (1.0 - FLEET_DECAY) * (queued - self.reported_queue);
    }

    /// Records whether a request found a backend with capacity.
    pub(crate) fn record_capacity_search(&mut self, found: bool) {
        self.rejected_fraction +=
            (1.0 - FLEET_DECAY) * (f64::from(u8::from(!found)) - self.rejected_fraction);
    }

    /// Returns the current slowness of the fleet relative to its baseline. Answers may be few, and stalled
    /// backends send none, so all time spent counts, answered or not, relative to the expected time of the
    /// answers.
    pub(crate) fn congestion(&self, now: f64, gateways: f64, longest_objective_ms: f64) -> f64 {
        let keep = (-(now - self.recent_updated_at) / longest_objective_ms).exp().max(f64::EPSILON);
        let prior = self.mean_work_ms * PRIOR_REQUESTS / keep;
        // One of many gateways sees little beyond its usual attempts in flight, so these count as well there.
        let visible = (REPRESENTATIVE_GATEWAYS / gateways).min(1.0);
        let typical_time = self
            .typical_or_current(self.mean_time_in_flight * visible, self.awaited.count * self.mean_work_ms);
        let time = (self.recent.observed + self.time_in_flight(now) - typical_time).max(0.0);
        let time = DecayedRatio { observed: time, ..self.recent };
        let queueing = time.with_prior(self.baseline, prior) / self.baseline - 1.0;
        // This gateway's attempts in flight represent the whole load only if there are few other gateways.
        let mean_in_flight = self.typical_or_current(self.mean_in_flight, self.in_flight);
        1.0 + queueing * (self.in_flight + gateways) / (mean_in_flight + gateways)
    }

    /// Returns the typical value, raised towards a higher current one while there are few answers. A gateway
    /// that has just started knows no typical load and would take its first requests for congestion; until it
    /// has enough answers, its current attempts in flight count as typical, however long they take.
    fn typical_or_current(&self, typical: f64, current: f64) -> f64 {
        let assumed = (1.0 - self.answers / ASSUMED_LATENCY_ANSWERS).max(0.0);
        typical + assumed * (current - typical).max(0.0)
    }

    /// Records the latency of an answer, or the time waited when an attempt becomes overdue. The answer of an
    /// overdue attempt would reflect a queue of the past.
    pub(crate) fn record_recent_latency(
        &mut self,
        now: f64,
        observed_ms: f64,
        work_ms: f64,
        longest_objective_ms: f64,
    ) {
        let keep = (-(now - self.recent_updated_at) / (2.0 * longest_objective_ms)).exp().min(FLEET_DECAY);
        self.recent.add(observed_ms, work_ms, keep);
        let weight = (1.0 - keep).max(1.0 / (self.answers + 1.0));
        self.mean_time_in_flight += weight * (self.time_in_flight(now) - self.mean_time_in_flight);
        self.recent_updated_at = now;
    }

    /// Records the latency of an answer and updates the baseline.
    pub(crate) fn record_latency(&mut self, observed_ms: f64, work_ms: f64) {
        self.latency.add(observed_ms, work_ms, FLEET_DECAY);
        self.update_baseline();
    }

    /// Updates the baseline. It rises slowly, so that a long incident does not become the baseline. It rises
    /// faster if most requests are rejected and the fleet is still slow: then an idle fleet is slower than
    /// was assumed.
    fn update_baseline(&mut self) {
        let slowness = self.slowness();
        let baseline_too_low =
            self.rejected_fraction > MOSTLY_REJECTED_FRACTION && self.baseline < MIN_SLOWNESS_LIMIT;
        let rise = if baseline_too_low { BASELINE_RISE_WHILE_REJECTING } else { 1.0 } / BASELINE_RISE_ANSWERS;
        let weight = if slowness < self.baseline { 1.0 - BASELINE_FALL_DECAY } else { rise };
        self.baseline += weight * (slowness - self.baseline);
    }

    /// Counts an answer, given the numbers of attempts in flight when its attempt was sent.
    pub(crate) fn count_answer(&mut self, in_flight_at_send: InFlightCounts) {
        self.answers += 1.0;
        let weight = (1.0 - FLEET_DECAY).max(1.0 / self.answers);
        self.mean_in_flight += weight * (in_flight_at_send.gateway - self.mean_in_flight);
    }

    /// Records the expected work of an answer, ms, and the tightest latency objective, as a multiple of the
    /// work of its class.
    pub(crate) fn record_work(&mut self, work_ms: f64, tightest_objective: f64) {
        let tightest = tightest_objective / self.baseline;
        self.slowness_limit = (tightest * OBJECTIVE_FRACTION).max(MIN_SLOWNESS_LIMIT);
        self.mean_work_ms += (1.0 - FLEET_DECAY) * (work_ms - self.mean_work_ms);
    }
}
