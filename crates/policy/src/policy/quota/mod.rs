//! What a gateway knows of a customer's quota: a token bucket that all gateways share through the totals of
//! the shared counter, and the gateway's part of the ceiling.
//!
//! A total holds, since its window began, what all gateways charged and the refill that overflowed as the
//! bucket was full. So every gateway reads the same level off it, whatever it saw of the customer before:
//!
//! ```text
//! level = burst + rate x time in the window - total
//! ```
//!
//! A level above the burst is overflow that no total holds yet. Who sees it adds it, with a call of its
//! own; until then its own estimate bounds what it reads (`totals.rs`).

mod ceiling;
mod totals;

use bounded_cache::Evictable;

use self::ceiling::CeilingShare;
use super::counter_calls::CounterCall;
use super::random::{splitmix64, unit_fraction};
use super::ratio::DecayedRatio;
use crate::interface::Plan;

/// Part of an even share of burst and rate that a gateway spends before it calls the counter.
const LOCAL_ALLOWANCE_FRACTION: f64 = 0.1;
/// Fill times of the bucket in which what was seen of a customer's demand fades.
pub(super) const DECAY_FILL_TIMES: f64 = 4.0;
/// Length of a window, ms. Its key is kept for two of them, and 60 s is the longest a counter keeps one.
/// What others spend between a window's last total and its end is seen by nobody, so longer is better.
pub(super) const WINDOW_MS: f64 = 30_000.0;
/// When no total has come yet.
const NEVER: f64 = f64::MIN;
/// The window of no call.
const NO_WINDOW: u64 = u64::MAX;

/// Who asks for a customer's record, and when.
#[derive(Clone, Copy, Debug)]
pub(super) struct CustomerContext {
    pub(super) now: f64,
    /// When this incarnation of the gateway started.
    pub(super) gateway_started_at: f64,
    /// Gateways through which the customer's requests may come.
    pub(super) fan_out: f64,
    /// Whether there is a shared counter.
    pub(super) has_counter: bool,
}

/// What the quota says to a request, as far as this gateway knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct QuotaCheck {
    /// A limit is reached: the request is rejected.
    pub(super) exceeded: bool,
    /// The bucket covers the request but for what is only assumed of other gateways.
    pub(super) inconclusive: bool,
    /// This gateway's part of the ceiling does not cover it.
    pub(super) ceiling_scarce: bool,
}

/// A customer's quota as this gateway knows it. Amounts are units, times are ms.
#[derive(Debug, Default)]
pub(crate) struct CustomerQuota {
    pub(super) customer: u64,
    pub(super) plan: Plan,
    /// Gateways through which the customer's requests may come.
    pub(super) fan_out: f64,
    refilled_at: f64,
    /// What the token bucket holds.
    pub(super) level: f64,
    /// Refill that found the bucket full since the last total: others may have spent it, or reported it.
    overflow: f64,
    /// What this gateway may spend without asking.
    local_allowance: f64,
    /// Charges not yet reported to the counter.
    pub(super) unreported: f64,
    /// Charges reported in this window whose requests were not sent; taken back within the window alone.
    pub(super) withdrawn: f64,
    /// The window of the last call.
    pub(super) window: u64,
    last_total: f64,
    last_total_at: f64,
    /// What all gateways charged, over what the rate gave in that time.
    demand: DecayedRatio,
    /// Amounts of calls that may or may not have been added.
    possibly_added: f64,
    /// Of these, charges of calls whose connection broke or fell silent.
    reset_charges: f64,
    /// Charged for others without a total.
    assumed_others_use: f64,
    /// Charges of calls in flight.
    charges_in_flight: f64,
    /// A call that reports overflow is in flight; until it is answered totals may lack it.
    overflow_in_flight: bool,
    /// The totals lack overflow that is known here: until they have it the own estimate bounds them.
    totals_lack_overflow: bool,
    /// What this gateway charged of late.
    own_use: f64,
    /// What others charged of late.
    others_use: f64,
    /// What this gateway may send of the ceiling without a total.
    ceiling: CeilingShare,
    /// Processes that serve as this gateway by now, which share what is this gateway's.
    process_count: f64,
    /// What totals let pass is within the ceiling by itself.
    totals_enforce_ceiling: bool,
    pub(super) attempts_in_flight: u32,
    calls_in_flight: u32,
}

impl CustomerQuota {
    /// A full bucket.
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

    /// Sets how many processes serve as this gateway and share its allowances. What is there beyond the new
    /// share is lost; a share that grows fills as it always does.
    pub(super) fn set_process_count(&mut self, process_count: f64) {
        let factor = (self.process_count / process_count).min(1.0);
        self.ceiling.level *= factor;
        self.local_allowance *= factor;
        self.process_count = process_count;
    }

    /// Leaves no local allowance, so that charges are reported at once.
    pub(super) fn withhold_local_allowance(&mut self) {
        self.local_allowance = 0.0;
    }

    /// Windows since the clock began, those of a customer with a phase of its own.
    fn windows(&self, now: f64) -> f64 {
        now / WINDOW_MS + unit_fraction(splitmix64(self.customer))
    }

    /// Whether the window of the last call still is the present one.
    pub(super) fn in_window(&self, now: f64) -> bool {
        self.window == self.windows(now) as u64
    }

    /// Enters the present window, whose total starts from nothing.
    pub(super) fn enter_window(&mut self, now: f64) {
        if !self.in_window(now) {
            self.window = self.windows(now) as u64;
            self.last_total = 0.0;
            self.withdrawn = 0.0;
            self.clear_unconfirmed();
        }
    }

    /// Forgets amounts that a total covers, or none ever will.
    fn clear_unconfirmed(&mut self) {
        self.possibly_added = 0.0;
        self.reset_charges = 0.0;
        self.assumed_others_use = 0.0;
    }

    /// Fills what fills with time.
    pub(super) fn refill(&mut self, now: f64) {
        let seconds = (now - self.refilled_at).max(0.0) / 1000.0;
        self.refilled_at = now;
        let refilled = self.plan.rate * seconds;
        self.refill_bucket(refilled);
        self.refill_local_allowance(refilled);
        self.ceiling.refill(seconds, self.process_count);
        // Refill has made good charges that are reported long after, as when the counter is back.
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

    /// What is left of a memory after the rate gave so many units.
    fn decay_factor(&self, refilled: f64) -> f64 {
        (-refilled / (self.plan.burst * DECAY_FILL_TIMES).max(f64::MIN_POSITIVE)).exp()
    }

    /// What the limits say to a request of so many units. `share_prior`: see [`CustomerQuota::own_share`].
    pub(super) fn check(&self, units: f64, share_prior: f64) -> QuotaCheck {
        let has_ceiling = self.plan.ceiling_rate > 0.0;
        let ceiling_scarce = has_ceiling && self.ceiling.level < units;
        let uncovered = self.level < units;
        // What is only assumed of others must not reject: no call would be made that shows better.
        let inconclusive = uncovered && self.level + self.assumed_others_use >= units;
        let over_quota = self.plan.rate > 0.0 && uncovered && !inconclusive;
        let over_ceiling = ceiling_scarce && !self.totals_enforce_ceiling;
        let exceeded = self.is_at_concurrency_limit(share_prior) || over_ceiling || over_quota;
        QuotaCheck { exceeded, inconclusive, ceiling_scarce }
    }

    /// Whether this gateway's part of the concurrency limit is in flight.
    fn is_at_concurrency_limit(&self, share_prior: f64) -> bool {
        let share = self.own_share(share_prior).max(1.0 / self.fan_out);
        let limit = (f64::from(self.plan.max_in_flight) * share / self.process_count).max(1.0);
        self.plan.max_in_flight > 0 && f64::from(self.attempts_in_flight) + 1.0 > limit
    }

    /// Whether a request needs no total: no other gateway has the customer, or the local allowance covers
    /// it.
    pub(super) fn try_spend_locally(&mut self, units: f64) -> bool {
        let covered = self.fan_out <= 1.0 || self.local_allowance >= units;
        if covered {
            self.local_allowance -= units;
            self.spend(units);
        }
        covered
    }

    /// Charges units, or takes a charge back where they are below 0.
    pub(super) fn spend(&mut self, units: f64) {
        self.level -= units;
        self.unreported += units;
        self.own_use = (self.own_use + units).max(0.0);
    }

    /// Charges units for what other gateways pass unseen.
    pub(super) fn assume_others_use(&mut self, units: f64) {
        self.level -= units;
        self.assumed_others_use += units;
        // Counted as their use, too: with no word of them the own share would creep up to the whole.
        self.others_use += units;
    }

    /// Takes back the charge of a request that was never sent; the next call of the window tells the
    /// counter. `extra_report` is what its call reported beside the charge.
    pub(super) fn withdraw(&mut self, charge: f64, extra_report: f64) {
        self.spend(-charge);
        self.unreported += charge;
        self.withdrawn += charge + extra_report;
    }

    /// Learns the customer's use over all gateways, as a part of its rate, from a usage meter.
    pub(super) fn record_metered_use(&mut self, fraction_of_rate: f64) {
        self.others_use = (fraction_of_rate * self.plan.burst * DECAY_FILL_TIMES - self.own_use).max(0.0);
    }

    /// This gateway's learned share of the customer's use; even until known. `prior`: units that the even
    /// share is worth.
    pub(super) fn own_share(&self, prior: f64) -> f64 {
        (self.own_use + prior / self.fan_out) / (self.own_use + self.others_use + prior)
    }

    /// The customer's use over all gateways, as a part of its rate; the whole where nothing is known.
    pub(super) fn demand(&self, units: f64) -> f64 {
        self.demand.with_prior(1.0, units)
    }

    /// Time until the bucket covers so many units, ms.
    pub(super) fn time_to_cover_ms(&self, units: f64) -> f64 {
        (units - self.level) / self.plan.rate * 1000.0
    }

    /// Whether half of the bucket or more is left after so many units.
    pub(super) fn is_half_full_after(&self, units: f64) -> bool {
        self.level - units >= self.plan.burst / 2.0
    }

    /// Whether no total has come yet.
    pub(super) fn is_new(&self) -> bool {
        self.last_total_at == NEVER
    }

    /// The part of a charge that a gateway keeps to report with its next call for the customer: how likely
    /// the customer comes here again in the time in which a bucket fills, where each of its gateways has an
    /// even part of the requests.
    ///
    /// A hundred gateways, each of which meets the customer once in a minute, would keep charges that no
    /// total holds. So the rest is reported by those that call, in inverse proportion to their chance
    /// (Horvitz and Thompson, 1952); totals scatter round the truth.
    pub(super) fn deferred_fraction(&self, mean_units: f64) -> f64 {
        1.0 - (-self.plan.burst / (self.fan_out * mean_units.max(1.0))).exp()
    }

    /// Starts a call that reports all unreported charges, and so much overflow. Returns the charges.
    pub(super) fn start_call(&mut self, overflow: f64) -> f64 {
        let charge = std::mem::take(&mut self.unreported) - std::mem::take(&mut self.withdrawn);
        self.charges_in_flight += charge;
        self.calls_in_flight += 1;
        self.overflow_in_flight |= overflow != 0.0;
        self.totals_lack_overflow &= overflow == 0.0;
        charge
    }

    /// A call has ended, one way or another.
    pub(super) fn end_call(&mut self, call: &CounterCall) {
        self.calls_in_flight = self.calls_in_flight.saturating_sub(1);
        self.charges_in_flight =
            if self.calls_in_flight == 0 { 0.0 } else { self.charges_in_flight - call.charge };
        self.overflow_in_flight &= call.overflow == 0.0;
    }

    /// Removes and returns the charges that no call reported, if there are any.
    pub(super) fn take_unreported(&mut self) -> Option<f64> {
        let units = self.unreported - self.withdrawn;
        let has_units = units.is_finite() && units > 0.0;
        has_units.then(|| {
            self.unreported = 0.0;
            self.withdrawn = 0.0;
            units
        })
    }

    /// Takes over charges that another process did not report.
    pub(super) fn add_unreported(&mut self, units: f64) {
        self.level -= units;
        self.unreported += units;
    }

    /// Whether the record holds nothing that a new one would not.
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
    /// A new bucket is full: what this one lacks may pass again. A charge that no total holds must not be
    /// forgotten, nor a ceiling that is spent.
    fn eviction_cost(&mut self, now: f64) -> Option<f64> {
        self.refill(now);
        let missing = self.plan.burst - self.level;
        let charge_unreported = self.unreported != 0.0 && missing > 0.0;
        let evictable = self.is_idle() && !charge_unreported && !self.is_ceiling_spent();
        evictable.then_some(missing.max(0.0))
    }
}
