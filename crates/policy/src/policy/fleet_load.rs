//! How slow and how loaded the fleet is, by this gateway's own answers and attempts.

use super::latency::{ASSUMED_LATENCY_ANSWERS, ASSUMED_LATENCY_FRACTION, FLEET_DECAY};
use super::ratio::DecayedRatio;
use super::request::InFlightCounts;

/// Mean requests that a backend has to answer until it is judged by these as much as by the fleet's.
pub(crate) const PRIOR_REQUESTS: f64 = 2.0;
/// Part of the latency objective that an expected finish may take; the rest is for the scatter of the work.
/// Where that is exponential, 6 in 7 are in time at this limit. At a quarter 49 in 50 would be, but where
/// objectives are few times the work, a fleet half busy is as slow as that, and would reject what it has
/// room for.
pub(crate) const OBJECTIVE_FRACTION: f64 = 0.5;
/// Up to so many gateways, what one of them has in flight shows the load of all.
pub(crate) const REPRESENTATIVE_GATEWAYS: f64 = 2.0;
/// Slowness against the baseline that is always borne, lest a misjudged class shut the gateway.
const MIN_SLOWNESS_LIMIT: f64 = 1.5;
/// Part of the requests that is rejected for want of room when rejecting is no cure.
const MOSTLY_REJECTED_FRACTION: f64 = 0.75;
/// Part of the baseline that each answer leaves where the fleet is faster.
const BASELINE_FALL_DECAY: f64 = 0.9;
/// Answers in which the baseline rises to the present slowness.
const BASELINE_RISE_ANSWERS: f64 = 4000.0;
/// How many times faster it rises while most is rejected.
const BASELINE_RISE_WHILE_REJECTING: f64 = 10.0;

/// Attempts in flight that are not overdue.
#[derive(Debug, Default)]
struct AwaitedAttempts {
    count: f64,
    /// The sum of the times at which they were sent.
    sent_at_sum: f64,
}

/// What this gateway learned of the fleet from all answers. Slowness is latency as a multiple of the work
/// that was expected.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    latency: DecayedRatio,
    /// The same over a few answers only.
    recent: DecayedRatio,
    recent_updated_at: f64,
    /// How many were served.
    answers: f64,
    awaited: AwaitedAttempts,
    /// Time that the waiting attempts have usually spent, when answers came.
    mean_time_in_flight: f64,
    /// Part of the late requests that found no room.
    rejected_fraction: f64,
    /// Requests waiting at a backend by all reports.
    reported_queue: f64,
    /// Least slowness of late: the yardstick for load.
    baseline: f64,
    /// Expected latency of a mean request on an idle backend, ms.
    mean_work_ms: f64,
    in_flight: f64,
    /// Attempts in flight, on the mean, when those that make up `latency` were sent.
    mean_in_flight: f64,
    /// Slowness that the class with the tightest objective can bear.
    slowness_limit: f64,
}

impl FleetLoad {
    /// A fleet of which nothing is known.
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

    /// Slowness by all answers of late.
    pub(crate) fn slowness(&self) -> f64 {
        self.latency.with_prior(1.0, self.mean_work_ms)
    }

    pub(crate) fn attempt_sent(&mut self, now: f64) {
        self.adjust_awaited(now, 1.0);
        self.in_flight += 1.0;
    }

    /// An attempt is overdue: it is waited for no more, and still in flight.
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

    /// Time spent so far by the attempts that are in flight and not overdue.
    fn time_in_flight(&self, now: f64) -> f64 {
        self.awaited.count * now - self.awaited.sent_at_sum
    }

    /// Records how many requests wait at a backend, by its load report.
    pub(crate) fn queue_reported(&mut self, queued: f64) {
        self.reported_queue += (1.0 - FLEET_DECAY) * (queued - self.reported_queue);
    }

    /// A request looked for a backend with room.
    pub(crate) fn record_capacity_search(&mut self, found: bool) {
        self.rejected_fraction +=
            (1.0 - FLEET_DECAY) * (f64::from(u8::from(!found)) - self.rejected_fraction);
    }

    /// Present slowness of the fleet against its baseline. Answers may be few, and none come from backends
    /// that stall, so time spent counts, answered or not, over what was expected of the answers.
    pub(crate) fn congestion(&self, now: f64, gateways: f64, longest_objective_ms: f64) -> f64 {
        let keep = (-(now - self.recent_updated_at) / longest_objective_ms).exp().max(f64::EPSILON);
        let prior = self.mean_work_ms * PRIOR_REQUESTS / keep;
        // What is usually in flight counts as well where the gateway is one of many, and sees little else.
        let visible = (REPRESENTATIVE_GATEWAYS / gateways).min(1.0);
        let typical_time = self
            .typical_or_current(self.mean_time_in_flight * visible, self.awaited.count * self.mean_work_ms);
        let time = (self.recent.observed + self.time_in_flight(now) - typical_time).max(0.0);
        let time = DecayedRatio { observed: time, ..self.recent };
        let queueing = time.with_prior(self.baseline, prior) / self.baseline - 1.0;
        // What this gateway has in flight stands for the whole as far as the others are few.
        let mean_in_flight = self.typical_or_current(self.mean_in_flight, self.in_flight);
        1.0 + queueing * (self.in_flight + gateways) / (mean_in_flight + gateways)
    }

    /// A gateway that begins knows no usual load, and would take its first requests for a jam. Until it has
    /// some answers, what is in flight now is usual, for as long as it may take.
    fn typical_or_current(&self, typical: f64, current: f64) -> f64 {
        let assumed = (1.0 - self.answers / ASSUMED_LATENCY_ANSWERS).max(0.0);
        typical + assumed * (current - typical).max(0.0)
    }

    /// Records an answer, or that none came in time: what is overdue would show a queue long past.
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

    /// Records the latency of an answer, and updates the baseline.
    pub(crate) fn record_latency(&mut self, observed_ms: f64, work_ms: f64) {
        self.latency.add(observed_ms, work_ms, FLEET_DECAY);
        self.update_baseline();
    }

    /// The baseline rises slowly, lest a long trouble become it. It rises faster where most is rejected and
    /// the fleet is still slow: then an idle fleet is slower than was assumed.
    fn update_baseline(&mut self) {
        let slowness = self.slowness();
        let baseline_too_low =
            self.rejected_fraction > MOSTLY_REJECTED_FRACTION && self.baseline < MIN_SLOWNESS_LIMIT;
        let rise = if baseline_too_low { BASELINE_RISE_WHILE_REJECTING } else { 1.0 } / BASELINE_RISE_ANSWERS;
        let weight = if slowness < self.baseline { 1.0 - BASELINE_FALL_DECAY } else { rise };
        self.baseline += weight * (slowness - self.baseline);
    }

    /// Counts an answer, before which so much was in flight.
    pub(crate) fn count_answer(&mut self, in_flight_at_send: InFlightCounts) {
        self.answers += 1.0;
        let weight = (1.0 - FLEET_DECAY).max(1.0 / self.answers);
        self.mean_in_flight += weight * (in_flight_at_send.gateway - self.mean_in_flight);
    }

    /// Records the work of an answer, and the tightest latency objective as a multiple of its class's work.
    pub(crate) fn record_work(&mut self, work_ms: f64, tightest_objective: f64) {
        let tightest = tightest_objective / self.baseline;
        self.slowness_limit = (tightest * OBJECTIVE_FRACTION).max(MIN_SLOWNESS_LIMIT);
        self.mean_work_ms += (1.0 - FLEET_DECAY) * (work_ms - self.mean_work_ms);
    }
}
