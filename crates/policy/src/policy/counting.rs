//! Calls to the counter: what a total decides, what is done without one, and how many calls are made.

use super::{Policy, MIN_CALL_PROBABILITY};
use crate::interface::{Action, Outcome};
use crate::state::{mix, roll, Call};
use crate::store::WINDOW_MS;
use std::collections::VecDeque;

/// What a failed call and a slow one make of the chance of calls, and what it gains in a second of answers.
const CALL_CHANCE: (f64, f64, f64) = (0.75, 0.9, 0.3);
/// Time in which it doubles, ms, until it is what it was when answers ceased (as TCP's slow start, RFC 5681).
const CALL_DOUBLES: f64 = 150.0;
/// Weight of an answer in the least latency of calls, where it is above that.
const CALL_RISE: f64 = 0.001;
/// Stands for the request of a call that none waits for.
const NOBODY: u64 = u64::MAX;

impl Policy {
    /// Tells the counter what it was not told of a customer in this window;
    /// `lost` is refill beyond that, `beside` what it tells for requests without a call.
    pub(super) fn call(
        &mut self,
        now: f64,
        id: u64,
        customer: u64,
        (lost, beside): (f64, f64),
        actions: &mut Vec<Action>,
    ) {
        let Some(c) = self.customers.get_mut(customer) else { return };
        let (charge, window) = (c.tell(lost), c.window);
        let (name, forget_after_ms) = (mix(customer ^ mix(window)), 2.0 * WINDOW_MS);
        self.calls.entry(name).or_default().push_back(Call {
            id,
            customer,
            window,
            charge,
            lost,
            beside,
            made: now,
        });
        actions.push(Action::IncrementCounter {
            key: name,
            amount: charge + lost + beside,
            ttl_ms: forget_after_ms,
        });
    }

    /// Danger: no total to go by. The store decides alone; what it lets through is charged for the
    /// gateways unseen as well, by this one's learned share.
    pub(super) fn uncounted(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        let held = self.requests.get_mut(&id).expect("held");
        let counted = std::mem::take(&mut held.counting);
        let (customer, units) = (held.request.customer, held.request.units);
        let prior = self.settings.max_request_units.max(1.0);
        if let Some(c) = self.customers.get_mut(customer).filter(|c| c.plan.rate > 0.0) {
            c.spend(if counted { 0.0 } else { units });
            if c.level < 0.0 {
                return self.give_up(now, id, actions);
            }
            let unseen = units * (1.0 / c.share(prior) - 1.0);
            if unseen <= c.plan.burst {
                // Counted as theirs, too: with no word of others the share would creep up to the whole.
                (c.level, c.assumed, c.others) = (c.level - unseen, c.assumed + unseen, c.others + unseen);
            } else if roll(&mut self.rng) * c.demand.with_prior(1.0, units) >= 1.0 {
                // Danger: shares under one request, of which none would ever pass. Such pass by chance, so
                // that all gateways together pass the rate.
                return self.give_up(now, id, actions);
            }
        }
        let chosen = self.choose(now, id);
        self.forward(now, id, chosen, false, actions);
    }

    pub(super) fn counted(
        &mut self,
        now: f64,
        name: u64,
        outcome: Outcome,
        total: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(call) = self.calls.get_mut(&name).and_then(VecDeque::pop_front) else { return };
        if self.calls[&name].is_empty() {
            self.calls.remove(&name);
        }
        let ok = outcome == Outcome::Ok && total.is_finite();
        self.ease(now, call.made, outcome);
        // The first to be left out while the counter is crowded.
        let spare = roll(&mut self.rng) < self.call_chance * 2.0 - 1.0;
        let (mut covered, mut lost) = (true, 0.0);
        if let Some(c) = self.customers.get_mut(call.customer) {
            c.refill(now);
            c.answered(&call);
            if !ok {
                // Danger: an amount that was added, or may have been, told a second time.
                c.untold(&call, outcome);
            } else if call.window == c.window {
                lost = c.learn(now, total, &call, spare);
            }
            covered = c.level >= 0.0;
            // The total holds charges that were refused; the store itself can't be so far below nothing.
            c.level = c.level.max(-self.settings.max_request_units);
        }
        if lost != 0.0 {
            self.call(now, NOBODY, call.customer, (lost, 0.0), actions);
        }
        match self.requests.get_mut(&call.id).filter(|h| h.counting && !h.done) {
            Some(held) if ok => held.counting = false,
            Some(_) => return self.uncounted(now, call.id, actions),
            None => return,
        }
        if covered {
            let chosen = self.choose(now, call.id);
            return self.forward(now, call.id, chosen, true, actions);
        }
        self.give_up(now, call.id, actions);
        // Danger: refused charges that stand in the total empty the stores of all gateways, and their stores
        // then let no call pass that would take them back. Harm: a second call where the quota is spent, so
        // none while the counter is crowded.
        let here = self.customers.get(call.customer).is_some_and(|c| c.in_window(now));
        if here && roll(&mut self.rng) < self.call_chance * 2.0 {
            self.call(now, call.id, call.customer, (0.0, 0.0), actions);
        }
    }

    /// Danger: calls that crowd the counter until they end too late for all. It works on those that nobody
    /// waits for as well, so a chance that is held down by failures alone rests where many fail. It is eased
    /// as answers begin to wait, well before, and once for all calls that were out when it was: they met
    /// the same line. The same law answers a counter that slows, turns away or is silent. Harm: latency that
    /// is not the counter's own, as of a path that wavers, makes calls fewer than need be.
    pub(super) fn ease(&mut self, now: f64, made: f64, outcome: Outcome) {
        let latency = now - made;
        let factor = match outcome {
            Outcome::Ok => {
                let least = self.call_least.min(latency);
                self.call_least = least + CALL_RISE * (latency - least);
                let late = (self.call_least + self.settings.counter_timeout_ms) / 2.0;
                if latency > late {
                    CALL_CHANCE.1
                } else {
                    1.0
                }
            }
            // A broken or silent connection says nothing of how busy the counter is.
            Outcome::Reset | Outcome::NotSent => 1.0,
            _ => CALL_CHANCE.0,
        };
        if factor < 1.0 && made >= self.call_eased {
            self.call_chance = (self.call_chance * factor).max(MIN_CALL_PROBABILITY);
            // Danger: seconds without totals after an outage. Failures with no answer between them are one
            // trouble, and say nothing of how many calls are too many: the first alone lowers the goal.
            if self.call_heard {
                self.call_goal = self.call_chance;
            }
            self.call_eased = now;
        } else if outcome == Outcome::Ok && factor >= 1.0 {
            let ms = (now - self.call_changed).min(1000.0);
            if self.call_chance < self.call_goal {
                self.call_chance = (self.call_chance * (ms / CALL_DOUBLES).exp2()).min(self.call_goal);
            } else {
                self.call_chance = (self.call_chance + CALL_CHANCE.2 * ms / 1000.0).min(1.0);
            }
        }
        self.call_heard = outcome == Outcome::Ok || (self.call_heard && factor >= 1.0);
        self.call_changed = now;
    }
}
