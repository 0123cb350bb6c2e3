//! Updates of a customer's quota by the result of a call to the shared counter.

use super::{CustomerQuota, WINDOW_MS};
use crate::interface::Outcome;
use crate::policy::counter_calls::CounterCall;

/// A total below this fraction of the previous one shows that the counter restarted without its data.
const RESTART_TOTAL_FRACTION: f64 = 0.5;
/// Minimum overflow that is worth a call, units. Up to this amount may pass beyond the quota in a spike.
const MIN_OVERFLOW: f64 = 1.0;
/// Fraction of the overflow reported by a call above which other gateways had already reported the same
/// overflow.
const DOUBLE_REPORT_FRACTION: f64 = 0.8;
/// Maximum difference of two totals that count as equal, units: a counter keeps seven digits.
const TOTAL_TOLERANCE: f64 = 0.01;

/// Relation of a total to the previous knowledge.
#[derive(Clone, Copy, Debug)]
struct Continuity {
    /// The counter lost its data.
    counter_restarted: bool,
    /// There is no earlier total to compare with: the window has just begun, or the counter restarted.
    no_previous_total: bool,
    /// The total includes this call only.
    first_call: bool,
    /// This is the first total of this customer.
    new_customer: bool,
}

/// The level computed from a total, and its relation to what is possible.
#[derive(Clone, Copy, Debug)]
struct LevelReading {
    /// Level computed from the total alone.
    level: f64,
    /// Amount by which the level is above its upper bound: overflow that no total includes.
    excess: f64,
    /// Upper bound of the level.
    bound: f64,
    /// Charges of this gateway that the total does not include.
    not_in_total: f64,
}

impl CustomerQuota {
    /// Records the end of a call without a total. An amount that was or may have been added must not be
    /// reported again.
    pub(in crate::policy) fn record_missing_total(&mut self, call: &CounterCall, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Timeout => self.possibly_added += call.charge + call.extra,
            Outcome::Reset => {
                self.possibly_added += call.charge + call.extra;
                self.reset_charges += call.charge.max(0.0);
            }
            _ => self.unreported += call.charge,
        }
        self.totals_lack_overflow |= call.overflow != 0.0;
    }

    /// Updates the quota with a total of the last call's window, as it stood after `call`. Returns the
    /// overflow to be added to the total: 0 for none, negative if it was added twice. Small overflow is not
    /// reported unless `allow_optional_call`.
    pub(in crate::policy) fn apply_total(
        &mut self,
        now: f64,
        total: f64,
        call: &CounterCall,
        allow_optional_call: bool,
    ) -> f64 {
        let continuity = self.continuity(total, call);
        if !continuity.no_previous_total {
            self.update_others_use(now, total, call);
        }
        let reading = self.read_level(now, total, call, &continuity);
        let double_reported = self.double_reported_overflow(call, &reading);
        let level = double_reported
            .map_or(reading.level, |double_reported| reading.level + double_reported)
            .min(reading.bound);
        self.set_level(now, total, level - call.charge - reading.not_in_total);
        let report_overflow = self.should_report_overflow(&reading, &continuity, allow_optional_call);
        self.totals_lack_overflow = reading.excess >= MIN_OVERFLOW && !report_overflow;
        match double_reported {
            Some(double_reported) => -double_reported,
            None if report_overflow => reading.excess,
            None => 0.0,
        }
    }

    fn continuity(&self, total: f64, call: &CounterCall) -> Continuity {
        let amount = call.amount();
        let min_expected = self.last_total.min(self.last_total + amount) * RESTART_TOTAL_FRACTION;
        let counter_restarted = total < min_expected - TOTAL_TOLERANCE;
        Continuity {
            counter_restarted,
            no_previous_total: self.last_total == 0.0 || counter_restarted,
            first_call: (total - amount).abs() < TOTAL_TOLERANCE,
            new_customer: self.is_new(),
        }
    }

    /// Derives the charges of other gateways from the growth of the total beyond what is known. They charged
    /// at least the growth that is not explained by refill that overflowed at this gateway.
    fn update_others_use(&mut self, now: f64, total: f64, call: &CounterCall) {
        let surely_added = self.possibly_added - self.reset_charges;
        let growth = total - self.last_total - call.amount() - surely_added - self.overflow;
        let others = (growth - self.settle_reset_charges(now, growth)).max(0.0);
        let refilled = self.plan.rate * (now - self.last_total_at).max(0.0) / 1000.0;
        let charged = others + call.charge.max(0.0) + call.extra.max(0.0);
        self.demand.add(charged, refilled, self.decay_factor(refilled));
        self.others_use += others;
    }

    /// Returns which part of the charges in `reset_charges` the total includes, given its growth. The
    /// expected use of the other gateways is subtracted from the growth first. Without this estimate, charges
    /// that did not arrive would be lost, or charges that did arrive would be reported twice. The charges
    /// that did not arrive are reported with the next call.
    fn settle_reset_charges(&mut self, now: f64, growth: f64) -> f64 {
        let reset_charges = std::mem::take(&mut self.reset_charges);
        let others = self.expected_others_use(now - self.last_total_at);
        let arrived = (growth - others).clamp(0.0, reset_charges);
        self.unreported += reset_charges - arrived;
        arrived
    }

    /// Returns the units that other gateways are expected to have charged in a time, from their recent use.
    fn expected_others_use(&self, ms: f64) -> f64 {
        let decay_ms =
            self.plan.burst * super::DECAY_FILL_TIMES / self.plan.rate.max(f64::MIN_POSITIVE) * 1000.0;
        self.others_use * (ms / decay_ms.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Computes the level from a total.
    fn read_level(&self, now: f64, total: f64, call: &CounterCall, continuity: &Continuity) -> LevelReading {
        let burst = self.plan.burst;
        // An answer that arrives after the end of its window is interpreted by the time in that window, not
        // in the next.
        let in_window_ms = (self.windows(now) - self.window as f64) * WINDOW_MS;
        // The assumed use of other gateways is released, unless the counter restarted and cannot show their
        // real use.
        let released = if continuity.counter_restarted { 0.0 } else { self.assumed_others_use };
        // Charges that the total does not include yet; they are subtracted exactly once.
        let not_in_total = self.charges_in_flight + self.unreported - self.withdrawn;
        let estimate = (self.level + call.charge + not_in_total + released).min(burst);
        // A counter that restarted empty, and a window that has just begun, know of no debt. The local
        // estimate does.
        let estimate_binds =
            continuity.no_previous_total || self.totals_lack_overflow || self.overflow_in_flight;
        let bound = if estimate_binds { estimate } else { burst };
        let level = burst + self.plan.rate * in_window_ms / 1000.0 - (total - call.charge - call.extra);
        LevelReading { level, excess: level - bound, bound, not_in_total }
    }

    /// Returns the overflow that a call added although other gateways had already added most of it, so that
    /// it can be withdrawn. Two gateways that see the same overflow at the same time and both add it would
    /// empty the bucket.
    fn double_reported_overflow(&self, call: &CounterCall, reading: &LevelReading) -> Option<f64> {
        let double_reported = call.overflow - (call.overflow + reading.excess).max(0.0);
        let significant =
            call.overflow > self.plan.burst && double_reported > call.overflow * DOUBLE_REPORT_FRACTION;
        significant.then_some(double_reported)
    }

    fn set_level(&mut self, now: f64, total: f64, level: f64) {
        self.level = level;
        self.last_total = total;
        self.last_total_at = now;
        self.overflow = 0.0;
        self.clear_unconfirmed();
    }

    /// Returns whether overflow is to be reported with a call.
    ///
    /// At the start of a window, only the gateway that calls first may know all of the overflow; the others
    /// would see it while it is only partly reported. For a customer without any earlier total, a gateway
    /// whose call is the first of the window makes no second call, because in a crowd most customers are seen
    /// only once. If each gateway of a fleet serves a customer for the first time, however, none would report
    /// the overflow, so a gateway that finds earlier calls of others does.
    ///
    /// While calls are throttled (not `allow_optional_call`), overflow of up to a burst is left unreported.
    /// More is worth a call, because otherwise the bucket would appear full until the gateways have admitted
    /// that amount once more.
    fn should_report_overflow(
        &self,
        reading: &LevelReading,
        continuity: &Continuity,
        allow_optional_call: bool,
    ) -> bool {
        let ours_to_report = if continuity.new_customer {
            !continuity.first_call
        } else {
            continuity.first_call || !continuity.no_previous_total
        };
        let worth_a_call = allow_optional_call || reading.excess > self.plan.burst;
        worth_a_call && ours_to_report && !self.overflow_in_flight && reading.excess >= MIN_OVERFLOW
    }
}
