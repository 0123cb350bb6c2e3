//! What a customer's quota learns from a call to the shared counter, answered or not.

use super::{CustomerQuota, WINDOW_MS};
use crate::interface::Outcome;
use crate::policy::counter_calls::CounterCall;

/// A total below this part of the last one is that of a counter that began anew.
const RESTART_TOTAL_FRACTION: f64 = 0.5;
/// Overflow that is worth a call, units. Up to so much may pass beyond the quota in a spike.
const MIN_OVERFLOW: f64 = 1.0;
/// Part of the overflow that a call added from which on others had added the same before.
const DOUBLE_REPORT_FRACTION: f64 = 0.8;
/// Difference of two totals up to which they are equal, units: a counter keeps seven digits.
const TOTAL_TOLERANCE: f64 = 0.01;

/// Where a total stands against what was known before.
#[derive(Clone, Copy, Debug)]
struct Continuity {
    /// The counter lost what it held.
    counter_restarted: bool,
    /// Nothing is known of the totals before: the window began, or the counter restarted.
    no_previous_total: bool,
    /// The total holds this call alone.
    first_call: bool,
    /// No total of this customer came before.
    new_customer: bool,
}

/// The level by a total, and how it compares to what is possible.
#[derive(Clone, Copy, Debug)]
struct LevelReading {
    level: f64,
    /// How far the level is above what it can be: overflow that no total holds.
    excess: f64,
    /// The most that it can be.
    bound: f64,
    /// Charges of this gateway that the total does not hold.
    not_in_total: f64,
}

impl CustomerQuota {
    /// A call ended without a total. An amount that was added, or may have been, must not be reported a
    /// second time.
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

    /// Updates the quota with a total of the last call's window, as it stood after a call. Returns the
    /// overflow that is to be added to it: 0 for none, below 0 where it was added twice. Where there is no
    /// call to `spare`, small overflow is left.
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

    /// Learns what others charged from what a total grew by, beside what is known. They spent at least what
    /// refill that overflowed here does not explain.
    fn update_others_use(&mut self, now: f64, total: f64, call: &CounterCall) {
        let surely_added = self.possibly_added - self.reset_charges;
        let growth = total - self.last_total - call.amount() - surely_added - self.overflow;
        let others = (growth - self.settle_reset_charges(now, growth)).max(0.0);
        let refilled = self.plan.rate * (now - self.last_total_at).max(0.0) / 1000.0;
        let charged = others + call.charge.max(0.0) + call.extra.max(0.0);
        self.demand.add(charged, refilled, self.decay_factor(refilled));
        self.others_use += others;
    }

    /// Of the charges that a broken connection took, those that a total shows to be there when it grew by
    /// so much. What others are expected to have charged comes first; else charges that are not there would
    /// be lost for good, and such that are there reported twice. Those that are not there are reported with
    /// the next call.
    fn settle_reset_charges(&mut self, now: f64, growth: f64) -> f64 {
        let reset_charges = std::mem::take(&mut self.reset_charges);
        let others = self.expected_others_use(now - self.last_total_at);
        let arrived = (growth - others).clamp(0.0, reset_charges);
        self.unreported += reset_charges - arrived;
        arrived
    }

    /// What others are expected to have charged in so many ms, by what they did of late.
    fn expected_others_use(&self, ms: f64) -> f64 {
        let decay_ms =
            self.plan.burst * super::DECAY_FILL_TIMES / self.plan.rate.max(f64::MIN_POSITIVE) * 1000.0;
        self.others_use * (ms / decay_ms.max(f64::MIN_POSITIVE)).min(1.0)
    }

    /// Reads the level off a total.
    fn read_level(&self, now: f64, total: f64, call: &CounterCall, continuity: &Continuity) -> LevelReading {
        let burst = self.plan.burst;
        // An answer that comes when its window is over is read by the time in that window, not in the next.
        let in_window_ms = (self.windows(now) - self.window as f64) * WINDOW_MS;
        // What was assumed of others meanwhile is given back, unless the counter restarted and can't show
        // it.
        let released = if continuity.counter_restarted { 0.0 } else { self.assumed_others_use };
        // Charges that the total does not hold yet; taken off once.
        let not_in_total = self.charges_in_flight + self.unreported - self.withdrawn;
        let estimate = (self.level + call.charge + not_in_total + released).min(burst);
        // A counter back empty, and a window that began, know of no debts. The estimate here does.
        let estimate_binds =
            continuity.no_previous_total || self.totals_lack_overflow || self.overflow_in_flight;
        let bound = if estimate_binds { estimate } else { burst };
        let level = burst + self.plan.rate * in_window_ms / 1000.0 - (total - call.charge - call.extra);
        LevelReading { level, excess: level - bound, bound, not_in_total }
    }

    /// The overflow that a call added though others had added most of it; it is taken back. Two gateways
    /// that see the same overflow at the same time and both add it would empty the bucket.
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

    /// Whether overflow is to be added with a call.
    ///
    /// Of a window that begins only the first to call may know all of it: others would meet it halfway. For
    /// a customer that was never seen before, a call that nobody made one before is worth no second one, as
    /// crowds are seen once; but in a fleet in which each gateway meets a customer for the first time none
    /// would report, so who finds that others called before it does.
    ///
    /// While the counter is crowded (no call to `spare`), up to a burst is borne. More is worth a call:
    /// else the bucket would read as full until its gateways have passed all of it once more.
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
