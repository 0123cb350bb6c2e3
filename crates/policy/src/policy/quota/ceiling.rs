//! The ceiling: a second token bucket that admission never exceeds.
//!
//! Each gateway has an even share of it. Where gateways are many, a share may be under one request, so a
//! ceiling far enough above the quota is kept by the counter's totals instead, and only the rest is shared.

use super::CustomerQuota;
use crate::interface::Plan;

/// Times the quota that a ceiling leaves to requests that a total let pass, for estimated units that are
/// off. Estimates that are too high by more than this, while others go without totals, pass more than the
/// ceiling.
const TOTALS_MARGIN: f64 = 1.25;
/// Part of an even share of the ceiling that is used by chance, where the share is under a request.
const RANDOM_ADMISSION_FRACTION: f64 = 0.5;
/// Part of a full share from which on it counts as full: rounding may never fill the last bit.
const FULL_FRACTION: f64 = 0.999_999;

/// A gateway's part of a ceiling.
#[derive(Debug, Default)]
pub(super) struct CeilingShare {
    /// Units that may be sent.
    pub(super) level: f64,
    /// Units a second that fill it.
    rate: f64,
    /// Units that it holds at the most.
    burst: f64,
}

/// Whether what totals let pass, which is within the quota over all gateways, is within the ceiling as
/// well.
pub(super) fn is_enforced_by_totals(plan: &Plan) -> bool {
    let within = |quota: f64, ceiling: f64| quota > 0.0 && ceiling >= quota * TOTALS_MARGIN;
    within(plan.rate, plan.ceiling_rate) && within(plan.burst, plan.ceiling_burst)
}

impl CeilingShare {
    /// The share of one of `fan_out` gateways that started so long ago. An earlier incarnation of the
    /// gateway may have spent the ceiling, so only what has filled since this one started is surely there.
    pub(super) fn new(plan: &Plan, fan_out: f64, enforced_by_totals: bool, since_start_ms: f64) -> Self {
        let reserved_for_totals = if enforced_by_totals { TOTALS_MARGIN } else { 0.0 };
        let rate = (plan.ceiling_rate - plan.rate * reserved_for_totals) / fan_out;
        let burst = (plan.ceiling_burst - plan.burst * reserved_for_totals) / fan_out;
        let level = (rate * since_start_ms / 1000.0).min(burst);
        CeilingShare { level, rate, burst }
    }

    /// Fills the part of one of so many processes that share it.
    pub(super) fn refill(&mut self, seconds: f64, process_count: f64) {
        let (rate, burst) = (self.rate / process_count, self.burst / process_count);
        self.level = (self.level + rate * seconds).min(burst);
    }
}

impl CustomerQuota {
    /// Whether some of the ceiling is spent.
    pub(super) fn is_ceiling_spent(&self) -> bool {
        self.ceiling.level < self.ceiling.burst / self.process_count * FULL_FRACTION
    }

    /// Draws a request from the ceiling, if that is allowed. `counted`: a total let it pass. Of shares that
    /// are under one request none would ever pass. So such requests pass by `chance`, a number in [0, 1),
    /// all of them together half of the shares on the mean, and leave a debt.
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

    /// The least that a request is charged when its actual units are known. The ceiling counts the
    /// estimate, so that one far above the actual units must not be free for the quota.
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
