//! Calls to the shared counter: what they report, how totals are applied, and decisions without a total.

use std::collections::{HashMap, VecDeque};

use super::admission::AdmissionBasis;
use super::quota::WINDOW_MS;
use super::random::splitmix64;
use super::request::OpenRequest;
use super::Policy;
use crate::interface::{Action, Outcome};

/// A call in flight.
#[derive(Debug)]
pub(super) struct CounterCall {
    /// The request that waits for the total, if any.
    request: Option<u64>,
    customer: u64,
    window: u64,
    /// Charges that the call reports.
    pub(super) charge: f64,
    /// Overflow that the call reports: refill that arrived while the bucket was full.
    pub(super) overflow: f64,
    /// Charges that the call reports on behalf of requests without a call.
    pub(super) extra: f64,
    made_at: f64,
}

impl CounterCall {
    /// Returns the amount that the call adds to the total.
    pub(super) fn amount(&self) -> f64 {
        self.charge + self.overflow + self.extra
    }
}

/// Calls in flight by key. The counter answers the calls of one key in order.
#[derive(Debug, Default)]
pub(super) struct CounterCallsInFlight {
    by_key: HashMap<u64, VecDeque<CounterCall>>,
}

impl CounterCallsInFlight {
    fn push(&mut self, key: u64, call: CounterCall) {
        self.by_key.entry(key).or_default().push_back(call);
    }

    /// Removes and returns the oldest call of a key.
    fn pop(&mut self, key: u64) -> Option<CounterCall> {
        let calls = self.by_key.get_mut(&key)?;
        let call = calls.pop_front();
        if calls.is_empty() {
            self.by_key.remove(&key);
        }
        call
    }
}

/// Amounts that a call reports in addition to the unreported charges in the customer's record.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Report {
    pub(super) overflow: f64,
    pub(super) extra: f64,
}

impl Policy {
    /// Reports the unreported charges of a customer in the current window to the counter. `request` waits for
    /// the total.
    pub(super) fn call_counter(
        &mut self,
        now: f64,
        request: Option<u64>,
        customer: u64,
        report: Report,
        actions: &mut Vec<Action>,
    ) {
        let Some(quota) = self.customers.get_mut(customer) else { return };
        let charge = quota.start_call(report.overflow);
        let window = quota.window;
        let Report { overflow, extra } = report;
        let call = CounterCall { request, customer, window, charge, overflow, extra, made_at: now };
        let key = splitmix64(customer ^ splitmix64(window));
        actions.push(Action::IncrementCounter { key, amount: call.amount(), ttl_ms: 2.0 * WINDOW_MS });
        self.counter_calls.push(key, call);
    }

    /// Handles the end of a counter call.
    pub(super) fn counter_call_finished(
        &mut self,
        now: f64,
        key: u64,
        outcome: Outcome,
        total: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.counter_calls.pop(key) else { return };
        let total = Some(total).filter(|total| outcome == Outcome::Ok && total.is_finite());
        self.call_throttle.call_finished(now, call.made_at, outcome, self.settings.counter_timeout_ms);
        let covered = self.apply_call_result(now, &call, outcome, total, actions);
        let Some(id) = call.request else { return };
        let Some(open) = self.requests.get_mut(&id) else { return };
        if !open.awaits_total || open.answered {
            return;
        }
        if total.is_none() {
            return self.proceed_without_total(now, id, actions);
        }
        open.awaits_total = false;
        if covered {
            let selection = self.select_backend(now, id);
            self.send_first_attempt(now, id, selection, AdmissionBasis::Total, actions);
        } else {
            self.reject_or_fail(id, actions);
            self.withdraw_rejected_charge(now, call.customer, actions);
        }
    }

    /// Updates the customer's record with the result of a call, and reports overflow that the total revealed.
    /// Returns whether the bucket covers the charge.
    fn apply_call_result(
        &mut self,
        now: f64,
        call: &CounterCall,
        outcome: Outcome,
        total: Option<f64>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let allow_optional_call = self.random.next_f64() < self.call_throttle.optional_call_probability();
        let Some(quota) = self.customers.get_mut(call.customer) else { return true };
        quota.refill(now);
        quota.end_call(call);
        let overflow = match total {
            None => {
                quota.record_missing_total(call, outcome);
                0.0
            }
            Some(total) if call.window == quota.window => {
                quota.apply_total(now, total, call, allow_optional_call)
            }
            Some(_) => 0.0,
        };
        let covered = quota.level >= 0.0;
        // The total includes charges that were rejected; the level of the bucket itself cannot be that far
        // below zero.
        quota.level = quota.level.max(-self.settings.max_request_units);
        if overflow != 0.0 {
            self.call_counter(now, None, call.customer, Report { overflow, extra: 0.0 }, actions);
        }
        covered
    }

    /// Withdraws a rejected charge from the total with another call. Rejected charges that remain in the
    /// total would empty the buckets of all gateways, which would then admit no request whose call could
    /// withdraw them. Since this is a second call for a customer whose quota is exhausted, it may be skipped
    /// while calls are throttled.
    fn withdraw_rejected_charge(&mut self, now: f64, customer: u64, actions: &mut Vec<Action>) {
        let in_window = self.customers.get(customer).is_some_and(|quota| quota.in_window(now));
        if in_window && self.random.next_f64() < self.call_throttle.correction_call_probability() {
            self.call_counter(now, None, customer, Report::default(), actions);
        }
    }

    /// Continues a request without the total, so that a silent counter does not use up the request's time.
    pub(super) fn counter_wait_timer_fired(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let is_waiting = |open: &OpenRequest| open.awaits_total && !open.answered;
        if self.requests.get(&id).is_some_and(is_waiting) {
            self.proceed_without_total(now, id, actions);
        }
    }

    /// Continues a request for which no call was made or whose call returned no total. The local bucket alone
    /// decides. For a request that passes, it is also charged for the other gateways, whose use is
    /// extrapolated from this gateway's learned share.
    pub(super) fn proceed_without_total(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let open = self.requests.get_mut(&id).expect("request is open");
        let charged = std::mem::take(&mut open.awaits_total);
        let (customer, units) = (open.request.customer, open.request.units);
        if !self.charge_without_total(customer, units, charged) {
            return self.reject_or_fail(id, actions);
        }
        let selection = self.select_backend(now, id);
        self.send_first_attempt(now, id, selection, AdmissionBasis::Estimate, actions);
    }

    /// Charges a request on behalf of all gateways and returns whether it passes. If `charged`, the request's
    /// own units are charged already.
    fn charge_without_total(&mut self, customer: u64, units: f64, charged: bool) -> bool {
        let share_prior = self.share_prior();
        let Some(quota) = self.customers.get_mut(customer).filter(|quota| quota.plan.rate > 0.0) else {
            return true;
        };
        quota.spend(if charged { 0.0 } else { units });
        if quota.level < 0.0 {
            return false;
        }
        let others_units = units * (1.0 / quota.own_share(share_prior) - 1.0);
        if others_units <= quota.plan.burst {
            quota.assume_others_use(others_units);
            return true;
        }
        // This gateway's share is less than one request, so no request would ever pass. Requests pass at
        // random instead, such that all gateways together admit the rate.
        let rejected = self.random.next_f64() * quota.demand(units) >= 1.0;
        !rejected
    }
}
