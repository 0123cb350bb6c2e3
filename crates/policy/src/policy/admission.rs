//! Admission of requests: concurrency limit, ceiling and quota, then capacity of the backends.

use super::counter_calls::Report;
use super::endpoint_selection::Selection;
use super::quota::{CustomerContext, CustomerQuota, QuotaCheck};
use super::timers::TimerKind;
use super::Policy;
use crate::interface::{Action, Request};

/// Fill ratio of the customer cache above which new customers get no local allowance.
const NEAR_CAPACITY_FILL_RATIO: f64 = 0.75;
/// Demand, as a fraction of the rate, below which a customer needs no counter call while calls are throttled.
const LOW_DEMAND: f64 = 0.5;
/// Maximum units that a call reports on behalf of requests without a call, as a multiple of its own charge.
const MAX_EXTRA_REPORT: f64 = 2.0;
/// Fraction of a class's latency objective that a request may wait for the counter.
const COUNTER_WAIT_FRACTION: f64 = 0.125;

/// Knowledge on which a request passed its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionBasis {
    /// A total of the shared counter.
    Total,
    /// This gateway's own estimate.
    Estimate,
}

/// A charge that the local allowance does not cover, and the data that decides whether to call the counter.
#[derive(Clone, Copy, Debug)]
struct UncoveredCharge {
    id: u64,
    customer: u64,
    class: usize,
    units: f64,
    selection: Selection,
    /// The bucket would cover the charge without the units that other gateways are only assumed to have
    /// spent.
    inconclusive: bool,
    /// A call would not change the decision.
    call_optional: bool,
    /// The customer's use over all gateways, as a fraction of its rate.
    demand: f64,
    over_quota_penalty: f64,
    /// Fraction of the charge whose report may be deferred.
    deferred_fraction: f64,
}

impl Policy {
    /// Decides on a newly arrived request by its customer's limits and the capacity of the backends; then
    /// sends it, calls the counter or rejects it.
    pub(super) fn admit(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let request = self.requests[&id].request.clone();
        let Some(check) = self.check_quota(now, &request) else {
            return self.reject_or_fail(id, actions);
        };
        let selection = if check.exceeded { None } else { self.find_capacity(now, id) };
        let Some(selection) = selection else {
            return self.reject_or_fail(id, actions);
        };
        let quota = self.customers.get_mut(request.customer).expect("customer record exists");
        if quota.plan.rate <= 0.0 {
            return self.send_first_attempt(now, id, Some(selection), AdmissionBasis::Estimate, actions);
        }
        if !check.inconclusive && quota.try_spend_locally(request.units) {
            self.requests.get_mut(&id).expect("request is open").charge = request.units;
            return self.send_first_attempt(now, id, Some(selection), AdmissionBasis::Estimate, actions);
        }
        let charge = self.uncovered_charge(&request, selection, &check);
        self.decide_on_call(now, &charge, actions);
    }

    /// Checks a request against its customer's limits. Returns `None` if the customer cache has no room for a
    /// new record.
    fn check_quota(&mut self, now: f64, request: &Request) -> Option<QuotaCheck> {
        self.ensure_customer(now, request)?;
        let share_prior = self.share_prior();
        let quota = self.customers.get_mut(request.customer)?;
        quota.refill(now);
        Some(quota.check(request.units, share_prior))
    }

    /// Creates the customer's record if it does not exist. Returns `None` if the cache has no room for it.
    fn ensure_customer(&mut self, now: f64, request: &Request) -> Option<()> {
        if self.customers.get(request.customer).is_some() {
            return Some(());
        }
        let plan = self.settings.plans.get(request.plan).cloned().unwrap_or_default();
        let fan_out_known = request.fan_out >= 1.0;
        let fan_out = if fan_out_known { request.fan_out } else { f64::from(self.settings.gateway_count) };
        let mut quota = CustomerQuota::new(request.customer, plan, &self.customer_context(now, fan_out));
        // With many new customers, charges that no total includes would pin their records in the cache.
        // Without a local allowance they are reported at once, so each new customer waits for the counter, as
        // far as the throttle allows calls.
        if self.customers.fill_ratio() > NEAR_CAPACITY_FILL_RATIO {
            quota.withhold_local_allowance();
        }
        quota.set_process_count(self.process_count);
        self.customers.insert(now, request.customer, quota).ok()
    }

    /// Returns the initial data for a new customer's record.
    pub(super) fn customer_context(&self, now: f64, fan_out: f64) -> CustomerContext {
        let (gateway_started_at, has_counter) = (self.started_at, self.settings.shared_counter);
        CustomerContext { now, gateway_started_at, fan_out, has_counter }
    }

    /// Returns the weight, in units, of the assumption that each gateway has an even share of a customer's
    /// use.
    pub(super) fn share_prior(&self) -> f64 {
        self.settings.max_request_units.max(1.0)
    }

    fn uncovered_charge(
        &self,
        request: &Request,
        selection: Selection,
        check: &QuotaCheck,
    ) -> UncoveredCharge {
        let units = request.units;
        let quota = self.customers.get(request.customer).expect("customer record exists");
        let demand = quota.demand(units);
        // As far as is known, the customer's demand is low or the customer is new, and its bucket stays at
        // least half full. A customer with high demand from its first request on is therefore detected only
        // once half of its bucket is spent.
        let low_demand = (quota.is_new() || demand < LOW_DEMAND) && quota.is_half_full_after(units);
        UncoveredCharge {
            id: request.id,
            customer: request.customer,
            class: request.class,
            units,
            selection,
            inconclusive: check.inconclusive,
            // Under a scarce ceiling a request needs a total in order to pass.
            call_optional: low_demand && !check.ceiling_scarce,
            demand,
            over_quota_penalty: quota.plan.over_quota_penalty,
            deferred_fraction: quota.deferred_fraction(self.latency.mean_units()),
        }
    }

    /// Calls the counter for a charge, or continues without a call. Fewer calls are made while calls fail or
    /// are slow.
    fn decide_on_call(&mut self, now: f64, charge: &UncoveredCharge, actions: &mut Vec<Action>) {
        let probability =
            self.call_throttle.request_call_probability(charge.call_optional, charge.over_quota_penalty);
        if self.settings.shared_counter && self.random.next_f64() < probability {
            self.charge_with_call(now, charge, probability, actions);
        } else {
            self.charge_without_call(now, charge, actions);
        }
    }

    /// Charges a request and calls the counter; the request waits for the total.
    fn charge_with_call(
        &mut self,
        now: f64,
        charge: &UncoveredCharge,
        probability: f64,
        actions: &mut Vec<Action>,
    ) {
        let quota = self.customers.get_mut(charge.customer).expect("customer record exists");
        quota.enter_window(now);
        quota.spend(charge.units);
        let skipped_per_call = (1.0 / probability - 1.0).min(MAX_EXTRA_REPORT);
        let extra = charge.units * (1.0 - charge.deferred_fraction) * skipped_per_call;
        let open = self.requests.get_mut(&charge.id).expect("request is open");
        open.charge = charge.units;
        open.awaits_total = true;
        open.extra_report = extra;
        let report = Report { overflow: 0.0, extra };
        self.call_counter(now, Some(charge.id), charge.customer, report, actions);
        let longest_ms = self.settings.counter_timeout_ms;
        let wait_ms = (self.settings.classes[charge.class].latency_objective_ms * COUNTER_WAIT_FRACTION)
            .min(longest_ms);
        let token = TimerKind::CounterWait.token(charge.id);
        actions.push(Action::ScheduleTimer { token, at_ms: now + wait_ms });
    }

    /// Charges a request without a counter call, then sends or rejects it.
    fn charge_without_call(&mut self, now: f64, charge: &UncoveredCharge, actions: &mut Vec<Action>) {
        let passes = self.call_throttle.is_unthrottled() || self.random.next_f64() * charge.demand < 1.0;
        let call_skipped = self.settings.shared_counter && charge.call_optional;
        // The units assumed to be spent by other gateways may be released only by a total.
        if charge.inconclusive || !(passes || call_skipped) {
            return self.reject_or_fail(charge.id, actions);
        }
        let open = self.requests.get_mut(&charge.id).expect("request is open");
        open.charge = charge.units;
        if !call_skipped {
            return self.proceed_without_total(now, charge.id, actions);
        }
        let quota = self.customers.get_mut(charge.customer).expect("customer record exists");
        quota.spend(charge.units);
        open.extra_report = (charge.deferred_fraction - 1.0) * charge.units;
        quota.unreported += open.extra_report;
        self.send_first_attempt(now, charge.id, Some(charge.selection), AdmissionBasis::Estimate, actions);
    }

    /// Sends the first attempt of an admitted request to the selected backend, if the ceiling allows it.
    pub(super) fn send_first_attempt(
        &mut self,
        now: f64,
        id: u64,
        selection: Option<Selection>,
        basis: AdmissionBasis,
        actions: &mut Vec<Action>,
    ) {
        let selection = selection.filter(|_| self.try_draw_from_ceiling(id, basis));
        match selection {
            Some(selection) => self.send_attempt(now, id, selection, actions),
            None => self.reject_or_fail(id, actions),
        }
    }

    /// Draws a request's units from the ceiling and returns whether that was allowed. The ceiling is checked
    /// again here because it may have been spent while a counter call was in flight.
    fn try_draw_from_ceiling(&mut self, id: u64, basis: AdmissionBasis) -> bool {
        let request = &self.requests[&id].request;
        let Some(quota) = self.customers.get_mut(request.customer) else { return true };
        quota.try_draw_from_ceiling(request.units, basis == AdmissionBasis::Total, self.random.next_f64())
    }
}
