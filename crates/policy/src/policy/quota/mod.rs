//! A customer's quota as a gateway knows it: a token bucket that all gateways share through the totals of the
//! shared counter, and the gateway's share of the ceiling.
//!
//! A total is the sum, since its window began, of all charges of all gateways and of the refill that
//! overflowed because the bucket was full. Every gateway therefore computes the same level from it, whatever
//! it observed of the customer before:
//!
//! ```text
//! level = burst + rate x time in the window - total
//! ```
//!
//! A level above the burst is overflow that no total includes yet. A gateway that sees it adds it to the
//! total with a separate call; until then, the gateway's own estimate is an upper bound of the level
//! (`totals.rs`).

mod ceiling;
mod totals;

use bounded_cache::Evictable;

use self::ceiling::CeilingShare;
use super::counter_calls::CounterCall;
use super::random::{splitmix64, unit_fraction};
use super::ratio::DecayedRatio;
use crate::interface::Plan;

/// Fraction of an even share of burst and rate that a gateway may spend before it calls the counter.
const LOCAL_ALLOWANCE_FRACTION: f64 = 0.1;
/// Time constant with which observations of a customer's demand decay, in fill times of the bucket.
pub(super) const DECAY_FILL_TIMES: f64 = 4.0;
/// Length of a window, ms. A window's key is kept for two windows, and 60 s is the longest time for which a
/// counter keeps a key. No gateway sees what others spend between the last total of a window and its end, so
/// longer windows are better.
pub(super) const WINDOW_MS: f64 = 30_000.0;
/// Value of `last_total_at` before the first total.
const NEVER: f64 = f64::MIN;
/// Value of `window` before the first call.
const NO_WINDOW: u64 = u64::MAX;

/// Data for a new customer's record.
#[derive(Clone, Copy, Debug)]
pub(super) struct CustomerContext {
    pub(super) now: f64,
    /// Time at which this incarnation of the gateway started, ms.
    pub(super) gateway_started_at: f64,
    /// Number of gateways through which the customer's requests may arrive.
    pub(super) fan_out: f64,
    /// Whether there is a shared counter.
    pub(super) has_counter: bool,
}

/// Result of checking a request against the quota, as far as this gateway knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaCheck {
    /// A limit is reached; the request is rejected.
    pub(super) exceeded: bool,
    /// The bucket would cover the request without the units that other gateways are only assumed to have
    /// spent.
    pub(super) inconclusive: bool,
    /// This gateway's share of the ceiling does not cover the request.
    pub(super) ceiling_scarce: bool,
}

/// A customer's quota as this gateway knows it. Amounts are in units, times in ms.
#[derive(Debug, Default)]
pub(crate) struct CustomerQuota {
    pub(super) customer: u64,
    pub(super) plan: Plan,
    /// Number of gateways through which the customer's requests may arrive.
    pub(super) fan_out: f64,
    refilled_at: f64,
    /// Level of the token bucket.
    pub(super) level: f64,
    /// Refill that arrived while the bucket was full since the last total. Other gateways may have spent or
    /// reported it.
    overflow: f64,
    /// Units that this gateway may spend without a counter call.
    local_allowance: f64,
    /// Charges not yet reported to the counter.
    pub(super) unreported: f64,
    /// Charges reported in this window for requests that were not sent. They are withdrawn within the window
    /// only.
    pub(super) withdrawn: f64,
    /// Window of the last call.
    pub(super) window: u64,
    last_total: f64,
    last_total_at: f64,
    /// Charges of all gateways over the refill in the same time.
    demand: DecayedRatio,
    /// Amounts of calls that may or may not have been added to the total.
    possibly_added: f64,
    /// The part of `possibly_added` that was charged by calls whose connection broke or fell silent.
    reset_charges: f64,
    /// Units charged, without a total, for the assumed use of other gateways.
    assumed_others_use: f64,
    /// Charges reported by calls in flight.
    charges_in_flight: f64,
    /// A call that reports overflow is in flight. Until it is answered, totals may lack that overflow.
    overflow_in_flight: bool,
    /// The totals lack overflow that this gateway knows of. Until they include it, the gateway's own estimate
    /// is an upper bound of the level.
    totals_lack_overflow: bool,
    /// Recent charges of this gateway.
    own_use: f64,
    /// Recent charges of other gateways.
    others_use: f64,
    /// Units that this gateway may send under the ceiling without a total.
    ceiling: CeilingShare,
    /// Number of processes that currently serve as this gateway and divide its allowances.
    process_count: f64,
    /// Whether requests admitted by totals stay within the ceiling without a further check.
    totals_enforce_ceiling: bool,
    pub(super) attempts_in_flight: u32,
    calls_in_flight: u32,
}

impl CustomerQuota {
    /// Creates a record with a full bucket.
    pub(super) fn new(customer: u64, plan: Plan, context: &CustomerContext) -> Self {
        let CustomerContext { now, gateway_started_at, fan_out, has_counter } = *context;
        let totals_enforce_ceiling = has_counter && fan_out > 1.0 && ceiling::is_enforced_by_totals(&plan);
        let ceiling = CeilingShare::new(&plan, fan_out, totals_enforce_ceiling, now - gateway_started_at);
        CustomerQuota {
            customer,
            fan_out,
            refilled_at: now,
            level: plan.burst,
            overflow: plan.burst,
            local_allowance: plan.burst * LOCAL_ALLOWANCE_FRACTION / fan_out,
            window: NO_WINDOW,
            last_total_at: NEVER,
            ceiling,
            process_count: 1.0,
            totals_enforce_ceiling,
            plan,
            ..Self::default()
        }
    }

    /// Sets the number of processes that serve as this gateway and divide its allowances. If this process's
    /// part shrinks, its levels shrink in proportion; if it grows, they fill at the usual rate.
    pub(super) fn set_process_count(&mut self, process_count: f64) {
        let factor = (self.process_count / process_count).min(1.0);
        self.ceiling.level *= factor;
        self.local_allowance *= factor;
        self.process_count = process_count;
    }

    /// Removes the local allowance, so that charges are reported at once.
    pub(super) fn withhold_local_allowance(&mut self) {
        self.local_allowance = 0.0;
    }

    /// Returns the number of windows since time 0. Each customer's windows have their own phase.
    fn windows(&self, now: f64) -> f64 {
        now / WINDOW_MS + unit_fraction(splitmix64(self.customer))
    }

    /// Returns whether the window of the last call is still the current one.
    pub(super) fn in_window(&self, now: f64) -> bool {
        self.window == self.windows(now) as u64
    }

    /// Enters the current window, whose total starts at zero.
    pub(super) fn enter_window(&mut self, now: f64) {
        if !self.in_window(now) {
            self.window = self.windows(now) as u64;
            self.last_total = 0.0;
            self.withdrawn = 0.0;
            self.clear_unconfirmed();
        }
    }

    /// Clears amounts that a total now covers, or that no total will ever cover.
    fn clear_unconfirmed(&mut self) {
        self.possibly_added = 0.0;
        self.reset_charges = 0.0;
        self.assumed_others_use = 0.0;
    }

    /// Refills the buckets and decays the recent use up to `now`.
    pub(super) fn refill(&mut self, now: f64) {
        let seconds = (now - self.refilled_at).max(0.0) / 1000.0;
        self.refilled_at = now;
        let refilled = self.plan.rate * seconds;
        self.refill_bucket(refilled);
        self.refill_local_allowance(refilled);
        self.ceiling.refill(seconds, self.process_count);
        // Charges that are reported much later, such as after an outage of the counter, have meanwhile been
        // offset by refill.
        self.unreported = self.unreported.min((self.plan.burst - self.level).max(0.0));
        let factor = self.decay_factor(refilled);
        self.own_use *= factor;
        self.others_use *= factor;
    }

    fn refill_bucket(&mut self, refilled: f64) {
        let level = self.level + refilled;
        self.overflow += (level - self.plan.burst).max(0.0);
        self.level = level.min(self.plan.burst);
    }

    fn refill_local_allowance(&mut self, refilled: f64) {
        let even_share = 1.0 / (self.fan_out * self.process_count);
        let max_allowance = self.plan.burst * LOCAL_ALLOWANCE_FRACTION * even_share;
        self.local_allowance =
            (self.local_allowance + refilled * LOCAL_ALLOWANCE_FRACTION * even_share).min(max_allowance);
    }

    /// Returns the fraction of past observations that remains after a refill of `refilled` units.
    fn decay_factor(&self, refilled: f64) -> f64 {
        (-refilled / (self.plan.burst * DECAY_FILL_TIMES).max(f64::MIN_POSITIVE)).exp()
    }

    /// Checks a request against the limits. For `share_prior`, see [`CustomerQuota::own_share`].
    pub(super) fn check(&self, units: f64, share_prior: f64) -> QuotaCheck {
        let has_ceiling = self.plan.ceiling_rate > 0.0;
        let ceiling_scarce = has_ceiling && self.ceiling.level < units;
        let uncovered = self.level < units;
        // Assumed use of other gateways must not lead to a rejection: no call would then be made that could
        // correct the assumption.
        let inconclusive = uncovered && self.level + self.assumed_others_use >= units;
        let over_quota = self.plan.rate > 0.0 && uncovered && !inconclusive;
        let over_ceiling = ceiling_scarce && !self.totals_enforce_ceiling;
        let exceeded = self.is_at_concurrency_limit(share_prior) || over_ceiling || over_quota;
        QuotaCheck { exceeded, inconclusive, ceiling_scarce }
    }

    /// Returns whether this gateway's share of the concurrency limit is in flight.
    fn is_at_concurrency_limit(&self, share_prior: f64) -> bool {
        let share = self.own_share(share_prior).max(1.0 / self.fan_out);
        let limit = (f64::from(self.plan.max_in_flight) * share / self.process_count).max(1.0);
        self.plan.max_in_flight > 0 && f64::from(self.attempts_in_flight) + 1.0 > limit
    }

    /// Charges a request that needs no total, because no other gateway serves the customer or the local
    /// allowance covers it. Returns whether it was charged.
    pub(super) fn try_spend_locally(&mut self, units: f64) -> bool {
        let covered = self.fan_out <= 1.0 || self.local_allowance >= units;
        if covered {
            self.local_allowance -= units;
            self.spend(units);
        }
        covered
    }

    /// Charges units; a negative amount withdraws a charge.
    pub(super) fn spend(&mut self, units: f64) {
        self.level -= units;
        self.unreported += units;
        self.own_use = (self.own_use + units).max(0.0);
    }

    /// Charges units for the assumed use of other gateways.
    pub(super) fn assume_others_use(&mut self, units: f64) {
        self.level -= units;
        self.assumed_others_use += units;
        // This counts as use of the others, too. Without any information about them, this gateway's learned
        // share would otherwise grow to the whole.
        self.others_use += units;
    }

    /// Withdraws the charge of a request that was never sent; the next call of the window reports that to the
    /// counter. `extra_report` is the amount that the request's call reported in addition to the charge.
    pub(super) fn withdraw(&mut self, charge: f64, extra_report: f64) {
        self.spend(-charge);
        self.unreported += charge;
        self.withdrawn += charge + extra_report;
    }

    /// Records the customer's use over all gateways, as a fraction of its rate, from a usage meter.
    pub(super) fn record_metered_use(&mut self, fraction_of_rate: f64) {
        self.others_use = (fraction_of_rate * self.plan.burst * DECAY_FILL_TIMES - self.own_use).max(0.0);
    }

    /// Returns this gateway's learned share of the customer's use, which starts as an even share. `prior` is
    /// the weight of the even share, in units.
    pub(super) fn own_share(&self, prior: f64) -> f64 {
        (self.own_use + prior / self.fan_out) / (self.own_use + self.others_use + prior)
    }

    /// Returns the customer's use over all gateways, as a fraction of its rate; 1 if nothing is known.
    pub(super) fn demand(&self, units: f64) -> f64 {
        self.demand.with_prior(1.0, units)
    }

    /// Returns the time until the bucket covers `units`, ms.
    pub(super) fn time_to_cover_ms(&self, units: f64) -> f64 {
        (units - self.level) / self.plan.rate * 1000.0
    }

    /// Returns whether at least half of the burst remains after `units` are charged.
    pub(super) fn is_half_full_after(&self, units: f64) -> bool {
        self.level - units >= self.plan.burst / 2.0
    }

    /// Returns whether no total has arrived yet.
    pub(super) fn is_new(&self) -> bool {
        self.last_total_at == NEVER
    }

    /// Returns the fraction of a charge that a gateway keeps to report with its next call for the customer.
    /// It is the probability that the customer comes to this gateway again within the fill time of a bucket,
    /// if its requests are spread evenly over its gateways.
    ///
    /// A hundred gateways that each serve the customer once per minute would keep charges that no total
    /// includes. The remaining fraction is therefore reported by those gateways that make a call, in inverse
    /// proportion to the probability of a call (Horvitz and Thompson, 1952), so totals scatter around the
    /// true value.
    pub(super) fn deferred_fraction(&self, mean_units: f64) -> f64 {
        1.0 - (-self.plan.burst / (self.fan_out * mean_units.max(1.0))).exp()
    }

    /// Starts a call that reports all unreported charges and the given overflow. Returns the charges.
    pub(super) fn start_call(&mut self, overflow: f64) -> f64 {
        let charge = std::mem::take(&mut self.unreported) - std::mem::take(&mut self.withdrawn);
        self.charges_in_flight += charge;
        self.calls_in_flight += 1;
        self.overflow_in_flight |= overflow != 0.0;
        self.totals_lack_overflow &= overflow == 0.0;
        charge
    }

    /// Records the end of a call, whatever its outcome.
    pub(super) fn end_call(&mut self, call: &CounterCall) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        self.charges_in_flight =
            if self.calls_in_flight == 0 { 0.0 } else { self.charges_in_flight - call.charge };
        self.overflow_in_flight &= call.overflow == 0.0;
    }

    /// Removes and returns the charges that no call has reported, if any.
    pub(super) fn take_unreported(&mut self) -> Option<f64> {
        let units = self.unreported - self.withdrawn;
        let has_units = units.is_finite() && units > 0.0;
        has_units.then(|| {
            self.unreported = 0.0;
            self.withdrawn = 0.0;
            units
        })
    }

    /// Adds charges that another process did not report.
    pub(super) fn add_unreported(&mut self, units: f64) {
        self.level -= units;
        self.unreported += units;
    }

    /// Returns whether the record holds no more information than a new one would.
    pub(super) fn is_like_new(&mut self, now: f64) -> bool {
        self.refill(now);
        let full = self.level >= self.plan.burst && !self.is_ceiling_spent();
        let demand_known =
            (now - self.last_total_at) * self.plan.rate < self.plan.burst * DECAY_FILL_TIMES * 1000.0;
        full && !demand_known && self.is_idle()
    }

    fn is_idle(&self) -> bool {
        self.attempts_in_flight == 0 && self.calls_in_flight == 0
    }
}

impl Evictable for CustomerQuota {
    /// A new record has a full bucket, so the customer may spend again what is missing from this one. A
    /// record with charges that no total includes, or with a ceiling that is partly spent, must not be
    /// evicted.
    fn eviction_cost(&mut self, now: f64) -> Option<f64> {
        self.refill(now);
        let missing = self.plan.burst - self.level;
        let charge_unreported = self.unreported != 0.0 && missing > 0.0;
        let evictable = self.is_idle() && !charge_unreported && !self.is_ceiling_spent();
        evictable.then_some(missing.max(0.0))
    }
}
