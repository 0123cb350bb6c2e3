//! Who is let in: quota, ceiling, room, and how pressed the fleet is.

use super::{
    Policy, COUNT_WAIT, FEW, KEEP, MIN_BEARABLE_SLOWNESS, MIN_CALL_PROBABILITY, PRIOR, UNSEEN_WEIGHT,
};
use crate::interface::{Action, Request};
use crate::state::{roll, Ratio};
use crate::store::Customer;

/// Part of the room for records that is taken when newcomers have no local part.
const PRESSED: f64 = 0.75;
/// Demand, as a part of the rate, up to which a customer needs no call while the counter is crowded.
const CALM_DEMAND: f64 = 0.5;
/// How cheap a request beyond the quota is at the most: 1 and this much less than its worth.
const MAX_CHEAPNESS: f64 = 1.15;
/// Least chance of a call for a calm customer while the counter is well, so that totals tell of it.
const MIN_CALM_CALL_PROBABILITY: f64 = 0.2;
/// Times its own charge that a call tells for requests without one, at most.
const MAX_EXTRA_REPORT_MULTIPLE: f64 = 2.0;
/// Part of a class's aim that waiting for the counter may take.
const COUNT_WAIT_PART: f64 = 0.125;
/// Part of the requests that is refused for want of room when refusing is no cure.
const MOSTLY_REJECTED: f64 = 0.75;
/// Answers in which the least slowness rises to the present one.
const CALM_RISE: f64 = 4000.0;

impl Policy {
    /// Decides on a request that just came: quota, ceiling, room; then sends, calls or refuses.
    pub(super) fn admit(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let request = self.requests[&id].request.clone();
        let (customer, units) = (request.customer, request.units);
        let width =
            if request.fan_out >= 1.0 { request.fan_out } else { f64::from(self.settings.gateway_count) };
        let prior = self.settings.max_request_units.max(1.0);
        if self.customers.get(customer).is_none() {
            let plan = self.settings.plans.get(request.plan).cloned().unwrap_or_default();
            let mut new = Customer::new(customer, plan, width, now, self.born, self.settings.shared_counter);
            // Danger: charges of a crowd of newcomers that no total holds, so that none could be forgotten.
            // They are told at once. Harm: each waits for the counter, as far as calls have a chance.
            new.local = if self.customers.fill_ratio() > PRESSED { 0.0 } else { new.local };
            new.shared_by(self.processes);
            if self.customers.insert(now, customer, new).is_err() {
                return self.give_up(now, id, actions);
            }
        }
        let c = self.customers.get_mut(customer).expect("just put there");
        c.refill(now);
        let cap =
            (f64::from(c.plan.max_in_flight) * c.share(prior).max(1.0 / c.width) / c.processes).max(1.0);
        let over_open = c.plan.max_in_flight > 0 && f64::from(c.open) + 1.0 > cap;
        let scarce = c.plan.ceiling_rate > 0.0 && c.ceiling < units;
        let over_ceiling = scarce && !c.totals_keep;
        // Danger: what is only assumed of others refuses, so that no call is made that would tell better.
        let doubtful = c.level < units && c.level + c.assumed >= units;
        let over_quota = c.plan.rate > 0.0 && c.level < units && !doubtful;
        let chosen = if over_open || over_ceiling || over_quota { None } else { self.room(now, id) };
        if chosen.is_none() {
            return self.give_up(now, id, actions);
        }
        let c = self.customers.get_mut(customer).expect("just put there");
        if c.plan.rate <= 0.0 {
            return self.forward(now, id, chosen, false, actions);
        }
        let held = self.requests.get_mut(&id).expect("held");
        if !doubtful && (c.width <= 1.0 || c.local >= units) {
            c.local -= units;
            held.charge = units;
            c.spend(units);
            return self.forward(now, id, chosen, false, actions);
        }
        // Danger: more calls than a counter can take, or one that is down. While calls fail or wait, fewer
        // are made, and first left out are those that decide nothing: of customers who, as far as anyone
        // told, use little or came just now, and whose store is half full after all. Their charges go with
        // a later call. Harm: one who asks much from the first is found out only at half the store.
        let demand = c.demand.with_prior(1.0, units);
        let calm = (c.heard == f64::MIN || demand < CALM_DEMAND) && c.level - units >= c.plan.burst / 2.0;
        // A total is what lets it pass under the ceiling.
        let calm = calm && !scarce;
        // Of these the first are of plans whose requests cost least beyond the quota. Danger: an order that
        // leaves all calls where all cost the same, so that a lower chance lessens none. It is relative to
        // the requests that come: on the whole calls fall as fast as if there was no order.
        let cheap = MAX_CHEAPNESS - c.plan.over_quota_penalty.min(1.0);
        self.cheap.add(cheap, 1.0, KEEP.1);
        let first = cheap / self.cheap.with_prior(cheap, f64::MIN_POSITIVE);
        let (room, less, least) = if calm {
            (1.0, 2.0 * first, MIN_CALM_CALL_PROBABILITY)
        } else {
            (2.0, 2.0, MIN_CALL_PROBABILITY)
        };
        let chance = (room - (1.0 - self.call_chance) * less).clamp(least.min(self.call_chance), 1.0);
        let kept = c.kept_part(self.mean_units.with_prior(1.0, f64::MIN_POSITIVE));
        if !self.settings.shared_counter || roll(&mut self.rng) >= chance {
            // Danger: what was never charged, given back.
            let passes = self.call_chance >= 1.0 || roll(&mut self.rng) * demand < 1.0;
            if doubtful || !(passes || self.settings.shared_counter && calm) {
                return self.give_up(now, id, actions);
            }
            held.charge = units;
            if self.settings.shared_counter && calm {
                c.spend(units);
                held.beside = (kept - 1.0) * units;
                c.unreported += held.beside;
                return self.forward(now, id, chosen, false, actions);
            }
            return self.uncounted(now, id, actions);
        }
        c.roll(now);
        c.spend(units);
        (held.charge, held.counting) = (units, true);
        held.beside = units * (1.0 - kept) * (1.0 / chance - 1.0).min(MAX_EXTRA_REPORT_MULTIPLE);
        let beside = held.beside;
        self.call(now, id, customer, (0.0, beside), actions);
        let longest = self.settings.counter_timeout_ms;
        let wait = (self.settings.classes[request.class].latency_objective_ms * COUNT_WAIT_PART).min(longest);
        actions.push(Action::ScheduleTimer { token: id << 2 | COUNT_WAIT, at_ms: now + wait });
    }

    /// Danger: queues no answer comes out of in time (the design's store does not see them), or load
    /// that wears servers down. Whether some backend is expected to leave every class enough of its aim.
    /// Gives that one.
    pub(super) fn room(&mut self, now: f64, id: u64) -> Option<(usize, f64)> {
        let some = self.choose(now, id).filter(|(_, slow)| *slow <= self.fleet.bearable);
        let pressure = self.pressure(now);
        // Danger: clients with little time left. What is not expected to be done by then is not begun.
        let Request { class, units, deadline_ms: expires_ms, .. } = self.requests[&id].request;
        let in_time = self.work(class, units) * self.fleet.calm * pressure <= expires_ms - now;
        let room = some.filter(|_| in_time && pressure <= self.fleet.bearable);
        self.fleet.refused += (1.0 - KEEP.1) * (f64::from(u8::from(room.is_none())) - self.fleet.refused);
        room
    }

    /// Present slowness of the fleet against its calm. Danger: few answers, and none from backends that
    /// stall. So time spent counts, answered or not, over what was expected of the answers.
    pub(super) fn pressure(&self, now: f64) -> f64 {
        let f = &self.fleet;
        let keep = (-(now - f.at) / self.longest.0).exp().max(f64::EPSILON);
        let prior = f.mean_work * PRIOR / keep;
        // What is usually out counts as well where the gateway is one of many, and sees little else.
        let few = (FEW / f64::from(self.settings.gateway_count)).min(1.0);
        // Danger: a gateway that begins knows no usual load, and takes its first requests for a jam. Until it
        // has some answers, what is out is usual for as long as it may take.
        let unseen = (1.0 - f.answers / UNSEEN_WEIGHT).max(0.0);
        let or_now = |usual: f64, now: f64| usual + unseen * (now - usual).max(0.0);
        let usual_open = or_now(f.open_mean * few, f.waiting.0 * f.mean_work);
        let time = (f.lately.seen + f.open(now) - usual_open).max(0.0);
        let time = Ratio { seen: time, ..f.lately };
        let queueing = time.with_prior(f.calm, prior) / f.calm - 1.0;
        // What this gateway has out tells of the whole as far as the others are few.
        let others = f64::from(self.settings.gateway_count);
        1.0 + queueing * (f.out + others) / (or_now(f.out_mean, f.out) + others)
    }

    /// Takes in an answer, or that none came in time: what is overdue would tell of a queue long past.
    pub(super) fn lately(&mut self, now: f64, seen: f64, work: f64) {
        let fade = (-(now - self.fleet.at) / (2.0 * self.longest.0)).exp().min(KEEP.1);
        self.fleet.lately.add(seen, work, fade);
        let weight = (1.0 - fade).max(1.0 / (self.fleet.answers + 1.0));
        self.fleet.open_mean += weight * (self.fleet.open(now) - self.fleet.open_mean);
        self.fleet.at = now;
    }

    /// Sends an admitted request on for the first time, to the backend that was chosen; `total` says whether
    /// a total let it pass.
    pub(super) fn forward(
        &mut self,
        now: f64,
        id: u64,
        chosen: Option<(usize, f64)>,
        total: bool,
        actions: &mut Vec<Action>,
    ) {
        let request = &self.requests[&id].request;
        let c = self.customers.get_mut(request.customer).filter(|_| chosen.is_some());
        // The ceiling once more: it may have been spent while a call was out.
        let under = c.is_none_or(|c| c.draw_ceiling(request.units, total, roll(&mut self.rng)));
        match chosen {
            Some((place, finish)) if under => self.send(now, id, place, finish, actions),
            _ => self.give_up(now, id, actions),
        }
    }

    /// Least slowness of late: the yardstick for load. It rises slowly, lest a long trouble become it.
    pub(super) fn learn_calm(&mut self) {
        let fleet = self.fleet.slowness();
        // Danger: an idle fleet slower than was assumed. Where most is refused and it is still slow, it is.
        let f = &self.fleet;
        let rise = if f.refused > MOSTLY_REJECTED && f.calm < MIN_BEARABLE_SLOWNESS { 10.0 } else { 1.0 }
            / CALM_RISE;
        let pace = if fleet < f.calm { 1.0 - KEEP.0 } else { rise };
        self.fleet.calm += pace * (fleet - self.fleet.calm);
    }
}
