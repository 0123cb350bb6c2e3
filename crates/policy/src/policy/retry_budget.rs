//! Retry budget: limits the retries and hedges of a gateway, so that faults do not multiply the load.

use super::fleet_load::REPRESENTATIVE_GATEWAYS;

/// Attempts earned by each arriving request.
const EARNED_PER_REQUEST: f64 = 0.1;
/// Maximum number of attempts that a gateway can save up if there are few gateways.
const MAX_SAVED: f64 = 10.0;

/// Number of attempts that may be made beyond the first attempts of requests.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    attempts: f64,
}

impl RetryBudget {
    /// Creates a full budget, so that a gateway that has just started can retry.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { attempts: MAX_SAVED }
    }

    /// Adds the attempts earned by an arriving request. The savings of many gateways could add up to a retry
    /// storm, so all gateways together save no more than a few would.
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
