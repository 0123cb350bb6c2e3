//! How many calls the shared counter gets: fewer while they fail or wait.

use super::latency::FLEET_DECAY;
use super::ratio::DecayedRatio;
use crate::interface::Outcome;

/// Least chance of a call, so that a counter that is back shows.
const MIN_PROBABILITY: f64 = 0.05;
/// Least chance of a call that decides nothing while the counter is well, so that totals show its customer.
const MIN_PROBABILITY_OPTIONAL: f64 = 0.2;
/// What a failed call leaves of the chance.
const FACTOR_AFTER_FAILURE: f64 = 0.75;
/// What a slow call leaves of the chance.
const FACTOR_AFTER_SLOW_ANSWER: f64 = 0.9;
/// What the chance gains in a second of answers.
const GAIN_PER_SECOND: f64 = 0.3;
/// Time in which the chance doubles, ms, until it is what it was when answers ceased (as TCP's slow start,
/// RFC 5681).
const DOUBLING_MS: f64 = 150.0;
/// Longest time between two answers that raises the chance, ms.
const MAX_GAIN_MS: f64 = 1000.0;
/// Weight of an answer in the least latency of calls, where it is above that.
const MIN_LATENCY_RISE: f64 = 0.001;
/// Cheapness of a request beyond its quota: so much less its over-quota penalty.
const MAX_SKIP_WEIGHT: f64 = 1.15;

/// The chance with which a call is made. It follows the counter's latency and failures, and is the same law
/// for one that slows, turns calls away or is silent.
#[derive(Debug)]
pub(crate) struct CallThrottle {
    probability: f64,
    /// What the chance is to be again at once when a counter answers after an outage.
    recovery_target: f64,
    /// The last call that says something of the counter was answered.
    counter_answering: bool,
    lowered_at: f64,
    last_call_finished_at: f64,
    min_latency_ms: f64,
    /// How cheap the requests that came would be beyond their quotas.
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

    /// Whether the counter answered last.
    pub(crate) fn is_counter_answering(&self) -> bool {
        self.counter_answering
    }

    /// Whether every call is made.
    pub(crate) fn is_unthrottled(&self) -> bool {
        self.probability >= 1.0
    }

    /// The chance of a call without which nothing is wrong, only something lost: the first to be left out.
    pub(crate) fn optional_call_probability(&self) -> f64 {
        self.probability * 2.0 - 1.0
    }

    /// The chance of a call that takes back a charge.
    pub(crate) fn correction_call_probability(&self) -> f64 {
        self.probability * 2.0
    }

    /// The chance of a call for a request. More calls than a counter can take would end too late for all,
    /// so those that decide nothing (`dispensable`) are left out first.
    ///
    /// Of these the first are of plans whose requests cost least beyond the quota. The order is relative to
    /// the requests that come, as a lower chance has to lessen the calls where all cost the same as well:
    /// on the whole calls fall as fast as if there was no order.
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

    /// Learns from the end of a call that was made at `made_at`.
    ///
    /// The counter works on calls that nobody waits for as well, so a chance that is held down by failures
    /// alone would rest where many fail. It is lowered as answers begin to wait, well before, and once for
    /// all calls that were out when it was: they met the same queue. Latency that is not the counter's own,
    /// as of a path that wavers, makes calls fewer than need be.
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

    /// The factor of the chance for the end of a call.
    fn factor_after(&mut self, outcome: Outcome, latency_ms: f64, timeout_ms: f64) -> f64 {
        match outcome {
            Outcome::Ok if self.is_slow(latency_ms, timeout_ms) => FACTOR_AFTER_SLOW_ANSWER,
            Outcome::Ok => 1.0,
            // A broken or silent connection says nothing of how busy the counter is.
            Outcome::Reset | Outcome::NotSent => 1.0,
            _ => FACTOR_AFTER_FAILURE,
        }
    }

    /// Whether a latency is nearer to the time-out than to the least latency, which learns from it.
    fn is_slow(&mut self, latency_ms: f64, timeout_ms: f64) -> bool {
        let lowest = self.min_latency_ms.min(latency_ms);
        self.min_latency_ms = lowest + MIN_LATENCY_RISE * (latency_ms - lowest);
        let slow_above_ms = (self.min_latency_ms + timeout_ms) / 2.0;
        latency_ms > slow_above_ms
    }

    fn lower(&mut self, now: f64, factor: f64) {
        self.probability = (self.probability * factor).max(MIN_PROBABILITY);
        // Failures with no answer between them are one trouble, and say nothing of how many calls are too
        // many: the first alone lowers the goal. Else an outage would be followed by seconds without
        // totals.
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
