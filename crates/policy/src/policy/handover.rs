//! Handover between processes of a gateway: while one takes over from another, they share the gateway's
//! allowances, and unreported charges of the old process pass to the new one.

use super::quota::CustomerQuota;
use super::Policy;
use crate::interface::UnreportedCharge;

impl Policy {
    /// Sets the number of processes that serve as this gateway, including this one. While one process takes
    /// over from another, they divide everything that a gateway may do without calling the counter.
    pub fn set_process_count(&mut self, now: f64, process_count: u32) {
        let process_count = f64::from(process_count.max(1));
        self.customers.for_each_mut(|quota| {
            quota.refill(now);
            quota.set_process_count(process_count);
        });
        self.process_count = process_count;
    }

    /// Removes and returns the charges that were not reported to the counter, so that another process can
    /// report them. Covers all customers whose plan is in the settings.
    pub fn take_unreported_charges(&mut self) -> Vec<UnreportedCharge> {
        let plans = &self.settings.plans;
        let mut unreported = Vec::new();
        self.customers.for_each_mut(|quota| {
            let Some(plan) = plans.iter().position(|plan| *plan == quota.plan) else { return };
            let Some(units) = quota.take_unreported() else { return };
            unreported.push(UnreportedCharge {
                customer: quota.customer,
                plan,
                fan_out: quota.fan_out,
                units,
            });
        });
        unreported
    }

    /// Adopts charges that another process did not report; each is reported with the next call for its
    /// customer. Invalid charges are ignored.
    pub fn adopt_unreported_charges(&mut self, now: f64, charges: &[UnreportedCharge]) {
        for charge in charges {
            let valid = charge.units.is_finite() && charge.units > 0.0 && charge.fan_out >= 1.0;
            if valid {
                self.adopt_charge(now, charge);
            }
        }
    }

    fn adopt_charge(&mut self, now: f64, charge: &UnreportedCharge) {
        let Some(plan) = self.settings.plans.get(charge.plan).cloned() else { return };
        if self.customers.get(charge.customer).is_none() {
            let context = self.customer_context(now, charge.fan_out);
            let mut quota = CustomerQuota::new(charge.customer, plan, &context);
            quota.set_process_count(self.process_count);
            // If the cache has no room for the record, the charge is lost, and the customer may spend its
            // units again.
            let _ = self.customers.insert(now, charge.customer, quota);
        }
        if let Some(quota) = self.customers.get_mut(charge.customer) {
            quota.refill(now);
            quota.add_unreported(charge.units);
        }
    }
}
