//! The ceiling: a second token bucket that admission never exceeds.
//!
//! Each gateway has an even share of it. Where gateways are many, a share may be under one request, so a
//! ceiling far enough above the quota is kept by the counter's totals instead, and only the rest is shared.

use super::CustomerQuota;
use crate::interface::Plan;

/// Times the quota that a ceiling leaves to requests that a total let pass, for estimated units that are
/// off. Estimates that are too high by more than this, while others go without totals, pass more than the
/// ceiling.
const COUNTED_MARGIN: f64 = 1.25;
/// Part of an even share of the ceiling that is used by chance, where the share is under a request.
const CHANCE_FRACTION: f64 = 0.5;
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
    let within = |quota: f64, ceiling: f64| quota > 0.0 && ceiling >= quota * COUNTED_MARGIN;
    within(plan.rate, plan.ceiling_rate) && within(plan.burst, plan.ceiling_burst)
}

impl CeilingShare {
    /// The share of one of `fan_out` gateways that started so long ago. An earlier incarnation of the
    /// gateway may have spent the ceiling, so only what has filled since this one started is surely there.
    pub(super) fn new(plan: &Plan, fan_out: f64, enforced_by_totals: bool, since_start_ms: f64) -> Self {
        let quotas_left_to_totals = if enforced_by_totals { COUNTED_MARGIN } else { 0.0 };
        let rate = (plan.ceiling_rate - plan.rate * quotas_left_to_totals) / fan_out;
        let burst = (plan.ceiling_burst - plan.burst * quotas_left_to_totals) / fan_out;
        let level = (rate * since_start_ms / 1000.0).min(burst);
        CeilingShare { level, rate, burst }
    }

    /// Fills the part of one of so many processes that share it.
    pub(super) fn refill(&mut self, seconds: f64, processes: f64) {
        let (rate, burst) = (self.rate / processes, self.burst / processes);
        self.level = (self.level + rate * seconds).min(burst);
    }
}

impl CustomerQuota {
    /// Whether some of the ceiling is spent.
    pub(super) fn is_ceiling_spent(&self) -> bool {
        self.ceiling.level < self.ceiling.burst / self.processes * FULL_FRACTION
    }

    /// Draws a request from the ceiling, if that is allowed. `counted`: a total let it pass. Of shares that
    /// are under one request none would ever pass. So such requests pass by `chance`, a number in [0, 1),
    /// all of them together half of the shares on the mean, and leave a debt.
    pub(in crate::policy) fn draw_ceiling(&mut self, units: f64, counted: bool, chance: f64) -> bool {
        if self.plan.ceiling_rate <= 0.0 || (counted && self.totals_enforce_ceiling) {
            return true;
        }
        let by_chance = self.totals_enforce_ceiling && self.ceiling.burst < units;
        let least = if by_chance { units * chance / CHANCE_FRACTION } else { units };
        let allowed = self.ceiling.level > 0.0 && self.ceiling.level >= least;
        self.ceiling.level -= if allowed { units } else { 0.0 };
        allowed
    }

    /// The least that a request is charged when its actual units are known. The ceiling counts the
    /// estimate, so that one far above the actual units must not be free for the quota.
    pub(in crate::policy) fn least_charge(&self, estimate: f64) -> f64 {
        if !self.totals_enforce_ceiling {
            return 0.0;
        }
        let part = |quota: f64, ceiling: f64| quota / ceiling.max(f64::MIN_POSITIVE);
        let of_rate = part(self.plan.rate, self.plan.ceiling_rate);
        let of_burst = part(self.plan.burst, self.plan.ceiling_burst);
        estimate * of_rate.max(of_burst)
    }
}
