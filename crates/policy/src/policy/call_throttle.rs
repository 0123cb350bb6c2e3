//! Throttling of calls to the shared counter: fewer calls are made while they fail or are slow.

use super::latency::FLEET_DECAY;
use super::ratio::DecayedRatio;
use crate::interface::Outcome;

/// Minimum call probability, so that the recovery of a counter is noticed.
const MIN_PROBABILITY: f64 = 0.05;
/// Minimum probability of an optional call while the counter works well, so that totals include its customer.
const MIN_PROBABILITY_OPTIONAL: f64 = 0.2;
/// Factor applied to the call probability after a failed call.
const FACTOR_AFTER_FAILURE: f64 = 0.75;
/// Factor applied to the call probability after a slow answer.
const FACTOR_AFTER_SLOW_ANSWER: f64 = 0.9;
/// Increase of the call probability per second of answered calls.
const GAIN_PER_SECOND: f64 = 0.3;
/// Time in which the call probability doubles, ms, until it reaches the value it had when answers ceased (as
/// in TCP slow start, RFC 5681).
const DOUBLING_MS: f64 = 150.0;
/// Maximum time between two answers that raises the call probability, ms.
const MAX_GAIN_MS: f64 = 1000.0;
/// Weight of an answer in the minimum latency if it is slower than that minimum.
const MIN_LATENCY_RISE: f64 = 0.001;
/// Skip weight of a plan without an over-quota penalty; the penalty is subtracted from it.
const MAX_SKIP_WEIGHT: f64 = 1.15;

/// The probability of making a call. It follows the counter's latency and failures by the same rule whether
/// the counter is slow, rejects calls or is silent.
#[derive(Debug)]
pub(crate) struct CallThrottle {
    probability: f64,
    /// Value to which the probability returns quickly once a counter answers again after an outage.
    recovery_target: f64,
    /// Whether the last call that reveals the counter's state was answered.
    counter_answering: bool,
    lowered_at: f64,
    last_call_finished_at: f64,
    min_latency_ms: f64,
    /// Mean skip weight of recent requests.
    skip_weight: DecayedRatio,
}

impl CallThrottle {
    pub(crate) fn new(now: f64) -> CallThrottle {
        CallThrottle {
            probability: 1.0,
            recovery_target: 1.0,
            counter_answering: true,
            lowered_at: now,
            last_call_finished_at: now,
            min_latency_ms: f64::MAX,
            skip_weight: DecayedRatio::default(),
        }
    }

    /// Returns whether the counter answered the last call that reveals its state.
    pub(crate) fn is_counter_answering(&self) -> bool {
        self.counter_answering
    }

    /// Returns whether every call is made.
    pub(crate) fn is_unthrottled(&self) -> bool {
        self.probability >= 1.0
    }

    /// Returns the probability of a call that only improves estimates. Such calls are the first to be
    /// skipped.
    pub(crate) fn optional_call_probability(&self) -> f64 {
        self.probability * 2.0 - 1.0
    }

    /// Returns the probability of a call that withdraws a charge.
    pub(crate) fn correction_call_probability(&self) -> f64 {
        self.probability * 2.0
    }

    /// Returns the probability of a call for a request. If the counter got more calls than it can handle, all
    /// of them would end too late, so calls that would not change a decision (`optional`) are skipped first.
    ///
    /// Among optional calls, those of plans with the lowest over-quota penalty are skipped first. Their skip
    /// weight is taken relative to the mean of recent requests, because a lower probability must reduce the
    /// calls even if all plans have the same penalty: overall, the number of calls falls as fast as without
    /// this preference.
    pub(crate) fn request_call_probability(&mut self, optional: bool, over_quota_penalty: f64) -> f64 {
        let skip_weight = MAX_SKIP_WEIGHT - over_quota_penalty.min(1.0);
        self.skip_weight.add(skip_weight, 1.0, FLEET_DECAY);
        let relative_skip_weight = skip_weight / self.skip_weight.value_or(skip_weight);
        let (intercept, slope, floor) = if optional {
            (1.0, 2.0 * relative_skip_weight, MIN_PROBABILITY_OPTIONAL)
        } else {
            (2.0, 2.0, MIN_PROBABILITY)
        };
        (intercept - (1.0 - self.probability) * slope).clamp(floor.min(self.probability), 1.0)
    }

    /// Updates the probability after a call that was made at `made_at` has ended.
    ///
    /// The counter also spends work on calls whose callers have given up, so a probability reduced by
    /// failures alone would settle at a level at which many calls still fail. It is therefore reduced as soon
    /// as answers become slow, well before calls fail, and only once for all calls that were in flight at the
    /// time of the reduction, since they met the same queue. Latency that the counter does not cause, such as
    /// that of an unstable network path, reduces the calls more than necessary.
    pub(crate) fn call_finished(&mut self, now: f64, made_at: f64, outcome: Outcome, timeout_ms: f64) {
        let factor = self.factor_after(outcome, now - made_at, timeout_ms);
        if factor < 1.0 && made_at >= self.lowered_at {
            self.lower(now, factor);
        } else if outcome == Outcome::Ok && factor >= 1.0 {
            self.raise(now);
        }
        self.counter_answering = outcome == Outcome::Ok || (self.counter_answering && factor >= 1.0);
        self.last_call_finished_at = now;
    }

    /// Returns the factor that a finished call applies to the probability.
    fn factor_after(&mut self, outcome: Outcome, latency_ms: f64, timeout_ms: f64) -> f64 {
        match outcome {
            Outcome::Ok if self.is_slow(latency_ms, timeout_ms) => FACTOR_AFTER_SLOW_ANSWER,
            Outcome::Ok => 1.0,
            // A broken or silent connection says nothing about the counter's load.
            Outcome::Reset | Outcome::NotSent => 1.0,
            _ => FACTOR_AFTER_FAILURE,
        }
    }

    /// Returns whether a latency is closer to the timeout than to the minimum latency, which it also updates.
    fn is_slow(&mut self, latency_ms: f64, timeout_ms: f64) -> bool {
        let lowest = self.min_latency_ms.min(latency_ms);
        self.min_latency_ms = lowest + MIN_LATENCY_RISE * (latency_ms - lowest);
        let slow_above_ms = (self.min_latency_ms + timeout_ms) / 2.0;
        latency_ms > slow_above_ms
    }

    fn lower(&mut self, now: f64, factor: f64) {
        self.probability = (self.probability * factor).max(MIN_PROBABILITY);
        // Consecutive failures without an answer in between are a single incident and do not show how many
        // calls are too many, so only the first of them lowers the recovery target. Otherwise an outage would
        // be followed by seconds without totals.
        if self.counter_answering {
            self.recovery_target = self.probability;
        }
        self.lowered_at = now;
    }

    fn raise(&mut self, now: f64) {
        let elapsed_ms = (now - self.last_call_finished_at).min(MAX_GAIN_MS);
        self.probability = if self.probability < self.recovery_target {
            (self.probability * (elapsed_ms / DOUBLING_MS).exp2()).min(self.recovery_target)
        } else {
            (self.probability + GAIN_PER_SECOND * elapsed_ms / 1000.0).min(1.0)
        };
    }
}
