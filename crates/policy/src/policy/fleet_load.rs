//! How slow and how loaded the fleet is, by this gateway's own answers and attempts.

use super::latency::{FLEET_MEMORY, UNSEEN_LATENCY, UNSEEN_WEIGHT};
use super::ratio::DecayedRatio;
use super::request::InFlight;

/// Mean requests that a backend has to answer until it is judged by these as much as by the fleet's.
pub(crate) const PRIOR_REQUESTS: f64 = 2.0;
/// Part of the latency objective that an expected finish may take; the rest is for the scatter of the work.
/// Where that is exponential, 6 in 7 are in time at this limit. At a quarter 49 in 50 would be, but where
/// objectives are few times the work, a fleet half busy is as slow as that, and would reject what it has
/// room for.
pub(crate) const OBJECTIVE_FRACTION: f64 = 0.5;
/// Up to so many gateways, what one of them has in flight shows the load of all.
pub(crate) const GATEWAYS_THAT_SHOW_ALL: f64 = 2.0;
/// Slowness against the baseline that is always borne, lest a misjudged class shut the gateway.
const LEAST_SLOWNESS_LIMIT: f64 = 1.5;
/// Part of the requests that is rejected for want of room when rejecting is no cure.
const MOSTLY_REJECTED: f64 = 0.75;
/// Part of the baseline that each answer leaves where the fleet is faster.
const BASELINE_FALL_MEMORY: f64 = 0.9;
/// Answers in which the baseline rises to the present slowness.
const BASELINE_RISE_ANSWERS: f64 = 4000.0;
/// How many times faster it rises while most is rejected.
const BASELINE_RISE_WHILE_REJECTING: f64 = 10.0;

/// Attempts in flight that are not overdue.
#[derive(Debug, Default)]
struct Waiting {
    attempts: f64,
    /// The sum of the times at which they were sent.
    sum_of_starts: f64,
}

/// What this gateway learned of the fleet from all answers. Slowness is latency as a multiple of the work
/// that was expected.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    latency: DecayedRatio,
    /// The same over a few answers only.
    recent: DecayedRatio,
    recent_at: f64,
    /// How many were served.
    answers: f64,
    waiting: Waiting,
    /// Time that the waiting attempts have usually spent, when answers came.
    usual_time_in_flight: f64,
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
    usual_in_flight: f64,
    /// Slowness that the class with the tightest objective can bear.
    slowness_limit: f64,
}

impl FleetLoad {
    /// A fleet of which nothing is known.
    pub(crate) fn new(now: f64, mean_work_ms: f64) -> FleetLoad {
        let slowness_limit = OBJECTIVE_FRACTION / UNSEEN_LATENCY;
        FleetLoad { recent_at: now, baseline: 1.0, mean_work_ms, slowness_limit, ..FleetLoad::default() }
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
        self.start_waiting(now, 1.0);
        self.in_flight += 1.0;
    }

    /// An attempt is overdue: it is waited for no more, and still in flight.
    pub(crate) fn attempt_overdue(&mut self, sent_at: f64) {
        self.start_waiting(sent_at, -1.0);
    }

    pub(crate) fn attempt_finished(&mut self, sent_at: f64, overdue: bool) {
        self.start_waiting(sent_at, if overdue { 0.0 } else { -1.0 });
        self.in_flight = (self.in_flight - 1.0).max(0.0);
    }

    fn start_waiting(&mut self, sent_at: f64, attempts: f64) {
        self.waiting.attempts += attempts;
        self.waiting.sum_of_starts += sent_at * attempts;
    }

    /// Time spent so far by the attempts that are in flight and not overdue.
    fn time_in_flight(&self, now: f64) -> f64 {
        self.waiting.attempts * now - self.waiting.sum_of_starts
    }

    /// Records how many requests wait at a backend, by its load report.
    pub(crate) fn queue_reported(&mut self, waiting: f64) {
        self.reported_queue += (1.0 - FLEET_MEMORY) * (waiting - self.reported_queue);
    }

    /// A request looked for a backend with room.
    pub(crate) fn record_capacity_search(&mut self, found: bool) {
        self.rejected_fraction +=
            (1.0 - FLEET_MEMORY) * (f64::from(u8::from(!found)) - self.rejected_fraction);
    }

    /// Present slowness of the fleet against its baseline. Answers may be few, and none come from backends
    /// that stall, so time spent counts, answered or not, over what was expected of the answers.
    pub(crate) fn pressure(&self, now: f64, gateways: f64, longest_objective_ms: f64) -> f64 {
        let keep = (-(now - self.recent_at) / longest_objective_ms).exp().max(f64::EPSILON);
        let prior = self.mean_work_ms * PRIOR_REQUESTS / keep;
        // What is usually in flight counts as well where the gateway is one of many, and sees little else.
        let shown = (GATEWAYS_THAT_SHOW_ALL / gateways).min(1.0);
        let usual_time =
            self.usual_or_now(self.usual_time_in_flight * shown, self.waiting.attempts * self.mean_work_ms);
        let time = (self.recent.observed + self.time_in_flight(now) - usual_time).max(0.0);
        let time = DecayedRatio { observed: time, ..self.recent };
        let queueing = time.with_prior(self.baseline, prior) / self.baseline - 1.0;
        // What this gateway has in flight stands for the whole as far as the others are few.
        let usual_in_flight = self.usual_or_now(self.usual_in_flight, self.in_flight);
        1.0 + queueing * (self.in_flight + gateways) / (usual_in_flight + gateways)
    }

    /// A gateway that begins knows no usual load, and would take its first requests for a jam. Until it has
    /// some answers, what is in flight now is usual, for as long as it may take.
    fn usual_or_now(&self, usual: f64, now: f64) -> f64 {
        let unseen = (1.0 - self.answers / UNSEEN_WEIGHT).max(0.0);
        usual + unseen * (now - usual).max(0.0)
    }

    /// Records an answer, or that none came in time: what is overdue would show a queue long past.
    pub(crate) fn learn_recent(
        &mut self,
        now: f64,
        observed_ms: f64,
        work_ms: f64,
        longest_objective_ms: f64,
    ) {
        let fade = (-(now - self.recent_at) / (2.0 * longest_objective_ms)).exp().min(FLEET_MEMORY);
        self.recent.add(observed_ms, work_ms, fade);
        let weight = (1.0 - fade).max(1.0 / (self.answers + 1.0));
        self.usual_time_in_flight += weight * (self.time_in_flight(now) - self.usual_time_in_flight);
        self.recent_at = now;
    }

    /// Records the latency of an answer, and updates the baseline.
    pub(crate) fn learn_latency(&mut self, observed_ms: f64, work_ms: f64) {
        self.latency.add(observed_ms, work_ms, FLEET_MEMORY);
        self.learn_baseline();
    }

    /// The baseline rises slowly, lest a long trouble become it. It rises faster where most is rejected and
    /// the fleet is still slow: then an idle fleet is slower than was assumed.
    fn learn_baseline(&mut self) {
        let slowness = self.slowness();
        let misjudged = self.rejected_fraction > MOSTLY_REJECTED && self.baseline < LEAST_SLOWNESS_LIMIT;
        let rise = if misjudged { BASELINE_RISE_WHILE_REJECTING } else { 1.0 } / BASELINE_RISE_ANSWERS;
        let pace = if slowness < self.baseline { 1.0 - BASELINE_FALL_MEMORY } else { rise };
        self.baseline += pace * (slowness - self.baseline);
    }

    /// Counts an answer, before which so much was in flight.
    pub(crate) fn count_answer(&mut self, in_flight_at_send: InFlight) {
        self.answers += 1.0;
        let weight = (1.0 - FLEET_MEMORY).max(1.0 / self.answers);
        self.usual_in_flight += weight * (in_flight_at_send.fleet - self.usual_in_flight);
    }

    /// Records the work of an answer, and the tightest latency objective as a multiple of its class's work.
    pub(crate) fn learn_work(&mut self, work_ms: f64, tightest_objective: f64) {
        let tightest = tightest_objective / self.baseline;
        self.slowness_limit = (tightest * OBJECTIVE_FRACTION).max(LEAST_SLOWNESS_LIMIT);
        self.mean_work_ms += (1.0 - FLEET_MEMORY) * (work_ms - self.mean_work_ms);
    }
}
