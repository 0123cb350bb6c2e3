//! How many attempts beyond the first ones a gateway may make, so that trouble multiplies no load.

use super::fleet_load::REPRESENTATIVE_GATEWAYS;

/// Attempts earned by each request that comes.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Attempts that a gateway can save up, where there are few gateways.
const MAX_SAVED: f64 = 10.0;

/// Attempts that may be made beyond the first ones of requests.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    attempts: f64,
}

impl RetryBudget {
    /// A full budget, so that a gateway that has just started can retry.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { attempts: MAX_SAVED }
    }

    /// Earns for a request that came. What many gateways save adds up to a storm, so all of them together
    /// save as much as a few would.
    pub(crate) fn earn(&mut self, gateways: u32) {
        let max_saved = (MAX_SAVED * REPRESENTATIVE_GATEWAYS / f64::from(gateways)).max(1.0);
        self.attempts = (self.attempts + EARNED_PER_REQUEST).min(max_saved);
    }

    pub(crate) fn covers(&self, attempts: f64) -> bool {
        self.attempts >= attempts
    }

    pub(crate) fn spend(&mut self, attempts: f64) {
        self.attempts -= attempts;
    }
}
