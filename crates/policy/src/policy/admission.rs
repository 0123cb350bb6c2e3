//! Whether a request is admitted: concurrency limit, ceiling, quota, then room on the backends.

use super::counter_calls::Report;
use super::endpoint_selection::Selection;
use super::quota::{CustomerContext, CustomerQuota, QuotaCheck};
use super::timers::TimerKind;
use super::Policy;
use crate::interface::{Action, Request};

/// Part of the room for customers' records from which on newcomers have no local allowance.
const NEAR_CAPACITY_FILL_RATIO: f64 = 0.75;
/// Demand, as a part of the rate, up to which a customer needs no call while the counter is crowded.
const LOW_DEMAND: f64 = 0.5;
/// Times its own charge that a call reports for requests without one, at most.
const MAX_EXTRA_REPORT: f64 = 2.0;
/// Part of a class's latency objective that waiting for the counter may take.
const COUNTER_WAIT_FRACTION: f64 = 0.125;

/// What lets a request pass its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdmissionBasis {
    /// A total of the shared counter.
    Total,
    /// This gateway's own estimate.
    Estimate,
}

/// A request that this gateway must not charge without asking, and what speaks for a call.
#[derive(Clone, Copy, Debug)]
struct UncoveredCharge {
    id: u64,
    customer: u64,
    class: usize,
    units: f64,
    selection: Selection,
    /// The bucket covers it but for what is only assumed of other gateways.
    inconclusive: bool,
    /// A call decides nothing.
    call_optional: bool,
    /// The customer's use over all gateways, as a part of its rate.
    demand: f64,
    over_quota_penalty: f64,
    /// Part of the charge that need not be reported now.
    deferred_fraction: f64,
}

impl Policy {
    /// Decides on a request that just came: quota, ceiling, room; then sends it, calls the counter or
    /// rejects.
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

    /// Checks a request against its customer's limits; none if there is no room for the customer's record.
    fn check_quota(&mut self, now: f64, request: &Request) -> Option<QuotaCheck> {
        self.ensure_customer(now, request)?;
        let share_prior = self.share_prior();
        let quota = self.customers.get_mut(request.customer)?;
        quota.refill(now);
        Some(quota.check(request.units, share_prior))
    }

    /// Creates the customer's record if there is none yet; none if there is no room for one.
    fn ensure_customer(&mut self, now: f64, request: &Request) -> Option<()> {
        if self.customers.get(request.customer).is_some() {
            return Some(());
        }
        let plan = self.settings.plans.get(request.plan).cloned().unwrap_or_default();
        let fan_out_known = request.fan_out >= 1.0;
        let fan_out = if fan_out_known { request.fan_out } else { f64::from(self.settings.gateway_count) };
        let mut quota = CustomerQuota::new(request.customer, plan, &self.customer_context(now, fan_out));
        // Charges of a crowd of newcomers that no total holds could not be forgotten. They are reported at
        // once, so each newcomer waits for the counter, as far as calls have a chance.
        if self.customers.fill_ratio() > NEAR_CAPACITY_FILL_RATIO {
            quota.withhold_local_allowance();
        }
        quota.set_process_count(self.process_count);
        self.customers.insert(now, request.customer, quota).ok()
    }

    /// What a new customer's record begins with.
    pub(super) fn customer_context(&self, now: f64, fan_out: f64) -> CustomerContext {
        let (gateway_started_at, has_counter) = (self.started_at, self.settings.shared_counter);
        CustomerContext { now, gateway_started_at, fan_out, has_counter }
    }

    /// Units that the even share of a customer's use counts for until more is known.
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
        // As far as is known, the customer uses little or came just now, and its bucket is half full after
        // all. One who asks much from the first is found out only at half the bucket.
        let low_demand = (quota.is_new() || demand < LOW_DEMAND) && quota.is_half_full_after(units);
        UncoveredCharge {
            id: request.id,
            customer: request.customer,
            class: request.class,
            units,
            selection,
            inconclusive: check.inconclusive,
            // A total is what lets it pass under a scarce ceiling.
            call_optional: low_demand && !check.ceiling_scarce,
            demand,
            over_quota_penalty: quota.plan.over_quota_penalty,
            deferred_fraction: quota.deferred_fraction(self.latency.mean_units()),
        }
    }

    /// Calls the counter for a charge, or proceeds without. While calls fail or wait, fewer are made.
    fn decide_on_call(&mut self, now: f64, charge: &UncoveredCharge, actions: &mut Vec<Action>) {
        let probability =
            self.call_throttle.request_call_probability(charge.call_optional, charge.over_quota_penalty);
        if self.settings.shared_counter && self.random.next_f64() < probability {
            self.charge_with_call(now, charge, probability, actions);
        } else {
            self.charge_without_call(now, charge, actions);
        }
    }

    /// Charges a request and asks the counter for the total; the request waits for that.
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

    /// Charges a request for which no call is made, and sends or rejects it.
    fn charge_without_call(&mut self, now: f64, charge: &UncoveredCharge, actions: &mut Vec<Action>) {
        let passes = self.call_throttle.is_unthrottled() || self.random.next_f64() * charge.demand < 1.0;
        let call_skipped = self.settings.shared_counter && charge.call_optional;
        // What was only assumed of others, and is still doubtful, must not be given back without a total.
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

    /// Sends an admitted request for the first time, to the backend that was selected.
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

    /// Draws a request from the ceiling, if that is allowed. It is checked once more here, as it may have
    /// been spent while a counter call was in flight.
    fn try_draw_from_ceiling(&mut self, id: u64, basis: AdmissionBasis) -> bool {
        let request = &self.requests[&id].request;
        let Some(quota) = self.customers.get_mut(request.customer) else { return true };
        quota.try_draw_from_ceiling(request.units, basis == AdmissionBasis::Total, self.random.next_f64())
    }
}
