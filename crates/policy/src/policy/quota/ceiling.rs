//! The ceiling: a second token bucket that admission never exceeds.
//!
//! Each gateway has an even share of it. With many gateways, a share may be less than one request. A ceiling
//! that is far enough above the quota is therefore enforced by the counter's totals, and only the rest of it
//! is divided into shares.

use super::CustomerQuota;
use crate::interface::Plan;

/// Multiple of the quota that a ceiling reserves for requests admitted by a total, because the estimates of
/// their units may be wrong. If estimates are too high by more than this while other requests pass without a
/// total, more than the ceiling is admitted.
const TOTALS_MARGIN: f64 = 1.25;
/// Fraction of an even share of the ceiling that is used by random admission if the share is less than one
/// request.
const RANDOM_ADMISSION_FRACTION: f64 = 0.5;
/// Fraction of a full share at which it counts as full, since rounding may keep it from ever filling
/// completely.
const FULL_FRACTION: f64 = 0.999_999;

/// A gateway's share of a ceiling.
#[derive(Debug, Default)]
pub(super) struct CeilingShare {
    /// Units that may be sent.
    pub(super) level: f64,
    /// Refill, units per second.
    rate: f64,
    /// Maximum units that it holds.
    burst: f64,
}

/// Returns whether the requests admitted by totals, which stay within the quota over all gateways, thereby
/// stay within the ceiling as well.
pub(super) fn is_enforced_by_totals(plan: &Plan) -> bool {
    let within = |quota: f64, ceiling: f64| quota > 0.0 && ceiling >= quota * TOTALS_MARGIN;
    within(plan.rate, plan.ceiling_rate) && within(plan.burst, plan.ceiling_burst)
}

impl CeilingShare {
    /// Creates the share of one of `fan_out` gateways, given the time since this one started. An earlier
    /// incarnation of the gateway may have spent the ceiling, so only the refill since this start is certain
    /// to be available.
    pub(super) fn new(plan: &Plan, fan_out: f64, enforced_by_totals: bool, since_start_ms: f64) -> Self {
        let reserved_for_totals = if enforced_by_totals { TOTALS_MARGIN } else { 0.0 };
        let rate = (plan.ceiling_rate - plan.rate * reserved_for_totals) / fan_out;
        let burst = (plan.ceiling_burst - plan.burst * reserved_for_totals) / fan_out;
        let level = (rate * since_start_ms / 1000.0).min(burst);
        CeilingShare { level, rate, burst }
    }

    /// Refills this process's part of a share that is divided among `process_count` processes.
    pub(super) fn refill(&mut self, seconds: f64, process_count: f64) {
        let (rate, burst) = (self.rate / process_count, self.burst / process_count);
        self.level = (self.level + rate * seconds).min(burst);
    }
}

impl CustomerQuota {
    /// Returns whether any of the ceiling is spent.
    pub(super) fn is_ceiling_spent(&self) -> bool {
        self.ceiling.level < self.ceiling.burst / self.process_count * FULL_FRACTION
    }

    /// Draws the units of a request from the ceiling and returns whether that was allowed.
    /// `admitted_by_total` means that a total admitted the request. If the shares are less than one request,
    /// no request would ever pass. Such requests therefore pass depending on `random`, a number in [0, 1), so
    /// that all of them together use half of the shares on average; one that passes may leave the level below
    /// zero.
    pub(in crate::policy) fn try_draw_from_ceiling(
        &mut self,
        units: f64,
        admitted_by_total: bool,
        random: f64,
    ) -> bool {
        if self.plan.ceiling_rate <= 0.0 || (admitted_by_total && self.totals_enforce_ceiling) {
            return true;
        }
        let at_random = self.totals_enforce_ceiling && self.ceiling.burst < units;
        let required = if at_random { units * random / RANDOM_ADMISSION_FRACTION } else { units };
        let allowed = self.ceiling.level > 0.0 && self.ceiling.level >= required;
        self.ceiling.level -= if allowed { units } else { 0.0 };
        allowed
    }

    /// Returns the minimum charge of a request once its actual units are known. The ceiling counts the
    /// estimate, so an estimate far above the actual units must not be free of charge for the quota.
    pub(in crate::policy) fn min_charge(&self, estimate: f64) -> f64 {
        if !self.totals_enforce_ceiling {
            return 0.0;
        }
        let ratio = |quota: f64, ceiling: f64| quota / ceiling.max(f64::MIN_POSITIVE);
        let rate_ratio = ratio(self.plan.rate, self.plan.ceiling_rate);
        let burst_ratio = ratio(self.plan.burst, self.plan.ceiling_burst);
        estimate * rate_ratio.max(burst_ratio)
    }
}
