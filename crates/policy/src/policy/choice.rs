//! Which backend takes a request, and whether another attempt follows.

use super::{Policy, EJECT, HEADROOM, HEDGE, PRIOR};
use crate::interface::{Action, Class, DeduplicationScope, Idempotency, Request};
use crate::state::{roll, Attempt, Backend, Choice, Held};
use routing::From;

/// Part of the fleet that may be ejected; beyond it the estimate is wrong or the trouble is shared.
const EJECT_PART: f64 = 0.5;
/// Longest deadlines for which a backend that turned a plan and class away as full comes last for it.
const FULL_AVOID: f64 = 4.0;
/// Scatter of scores, lest gateways that know the same all choose the same.
const NOISE: f64 = 0.1;
/// Part by which a backend of which nothing is known may be taken for faster than the fleet.
const UNSURE: f64 = 0.5;
/// Attempts that a backend of a few cores serves at once with little slowing.
const AT_ONCE: f64 = 6.0;
/// A hedge is sent when an attempt takes this many times its expected latency.
const HEDGE_AFTER: f64 = 3.0;

impl Policy {
    /// Slowness of a backend against what is expected of a request, by its own answers and, as they
    /// age, by the fleet's.
    pub(super) fn slowness(&self, b: &Backend, now: f64) -> f64 {
        self.judged(b, now).0
    }

    /// The same, and how much of it is not the backend's own: 1 where nothing is known of it.
    pub(super) fn judged(&self, b: &Backend, now: f64) -> (f64, f64) {
        let keep = (-(now - b.judged) / (2.0 * self.longest.1)).exp().max(f64::EPSILON);
        let prior = self.fleet.mean_work * PRIOR / keep;
        (b.latency.with_prior(self.fleet.slowness(), prior), prior / (b.latency.expected + prior))
    }

    /// Expected latency on an idle backend.
    pub(super) fn work(&self, class: usize, units: f64) -> f64 {
        let latency = self.class_latency[class].with_prior(0.0, f64::MIN_POSITIVE);
        (latency * self.relative(units)).max(f64::MIN_POSITIVE)
    }

    /// Places of a request's plan and class in what backends turned away.
    pub(super) fn marks(&self, request: &Request) -> [usize; 2] {
        let plans = self.settings.plans.len();
        [request.plan.min(plans), plans + 1 + request.class]
    }

    /// Units against those of a mean request.
    pub(super) fn relative(&self, units: f64) -> f64 {
        units.max(1.0) / self.mean_units.with_prior(1.0, f64::MIN_POSITIVE).max(1.0)
    }

    /// The backend of least expected finish for a further attempt of a request, with that finish.
    pub(super) fn choose(&mut self, now: f64, id: u64) -> Option<(usize, f64)> {
        self.backends.advance(now);
        let (mut dice, mut picks) = (self.rng, std::mem::take(&mut self.picks));
        picks.clear();
        let held = self.requests.get(&id);
        let best = held.and_then(|held| self.best(now, held, &mut dice, &mut picks));
        (self.rng, self.picks) = (dice, picks);
        best.map(|best| (best.place, best.slow))
    }

    /// Draws candidates until one may be taken, and gives the best. Danger: a home that is mostly ejected
    /// pushes over what is left of it, so work spills over to the whole fleet. Ejections are passed over only
    /// where most of the fleet has them: one gateway's view of its home is no view of the fleet.
    pub(super) fn best(
        &self,
        now: f64,
        held: &Held,
        dice: &mut u64,
        picks: &mut Vec<usize>,
    ) -> Option<Choice> {
        let most = |part: usize, of: usize| part as f64 > of as f64 * EJECT_PART;
        let (home, all) = (self.backends.counts(From::Home), self.backends.counts(From::Fleet));
        let ignore_ejection = most(all.ejected, all.ready);
        let class = &self.settings.classes[held.request.class];
        let ran =
            held.attempts.iter().find(|a| a.may_have_run).filter(|_| class.idempotency == Idempotency::Keyed);
        let from = match (ran, class.deduplication_scope) {
            (Some(a), DeduplicationScope::Cell) => [From::Cell(a.cell); 3],
            (Some(a), DeduplicationScope::Zone) => [From::Zone(a.zone); 3],
            _ if most(home.ejected, home.ready) => [From::Fleet; 3],
            _ => [From::Home, From::Home, From::Fleet],
        };
        let work = self.work(held.request.class, held.request.units);
        let warm_push = self.backends.warm_push(now);
        let mut best: Option<Choice> = None;
        for from in from {
            let begin = picks.len();
            self.backends.draw(from, ignore_ejection, &mut || roll(dice), picks);
            let (drawn, of) = (&picks[begin..], self.backends.counts(from));
            let some = drawn.len() < of.ready - of.ejected;
            for place in drawn {
                let choice = self.candidate(now, held, *place, (work, warm_push, drawn.len(), some), dice);
                best = match (best, choice) {
                    (Some(best), Some(choice)) if choice.before(&best) => Some(choice),
                    (best, choice) => best.or(choice),
                };
            }
            if best.as_ref().is_some_and(|best| !best.tried) {
                break;
            }
        }
        best
    }

    /// What is expected of a candidate, one of so many that are all or only some of those there are; none if
    /// nothing may be sent there.
    pub(super) fn candidate(
        &self,
        now: f64,
        held: &Held,
        place: usize,
        (work, warm_push, drawn, some): (f64, f64, usize, bool),
        dice: &mut u64,
    ) -> Option<Choice> {
        let noise = 1.0 + NOISE * roll(dice);
        let b = self.backends.get(place);
        if !self.legal(held, Some(b), now) {
            return None;
        }
        let (warmth, pushed) = (b.warmth(now, &self.settings), self.backends.pushed(place, now));
        let mut lucky = false;
        if warmth < 1.0 {
            let sharing = self.backends.degree() * self.processes;
            let part = self.cold_part(warmth, sharing, warm_push + work);
            // Danger: a cold backend left idle as each gateway's part is under a request, or as one of those
            // that are drawn with it is always faster; or one that operators gave back, as warm ones are
            // always free beside it. It gets the cold part of an even share by chance; the sum over gateways
            // is the same. Harm: answers of a cold one are slower, so it is not done for each that starts.
            let (little, within) = (part < work, pushed + work <= part);
            let given_back = b.entry.reenabled_ms > b.entry.started_ms;
            lucky = (little || (some || given_back) && within) && roll(dice) * drawn as f64 <= warmth;
            // Danger: gateways that it is no home of, each with a part of its own.
            if !self.backends.is_home(place) || !(within || little && lucky) {
                return None;
            }
        }
        let (slowness, unsure) = self.judged(b, now);
        // Danger: backends never tried, or slow once, that get nothing while one of those that are drawn with
        // them has always answered well. The less is known of one, the more it may be by chance.
        let chance = if b.out <= 0.0 { UNSURE * unsure * roll(dice) } else { 0.0 };
        let slowness = slowness * (1.0 - chance) / warmth;
        // Danger: a report that is old, or that stops as the backend gets busy, is no idleness.
        let fresh = (-(now - b.reported) / self.longest.1).exp();
        let waiting = self.fleet.queue + (b.waiting - self.fleet.queue) * fresh;
        let load = (b.out * self.backends.degree()).max(b.out + waiting) + AT_ONCE;
        // An operator's weight: beyond its share of what others get, it comes last.
        let sated = b.entry.weight_share < 1.0 && pushed > b.entry.weight_share * warm_push;
        let crosses = f64::from(u8::from(b.entry.zone != self.settings.zone));
        // Danger: backends that turn one plan or class away though they have room. Those that did both of
        // late come last for it; others go on there.
        let avoid = self.longest.1 * FULL_AVOID;
        let full = |m: &usize| b.full.get(*m).is_some_and(|at| now - at < avoid);
        let turned_away = !b.full.is_empty() && self.marks(&held.request).iter().all(full);
        let bad = b.ejected || turned_away || sated;
        let doubt = if bad { EJECT.1 } else { 1.0 } * (1.0 - b.failures.min(0.9));
        let dear = 1.0 + crosses * self.settings.cross_zone_cost;
        let score = if lucky { 0.0 } else { slowness * load * noise * dear / doubt };
        let queueing = (slowness / self.fleet.calm - 1.0).max(0.0);
        let slow = 1.0 + queueing * (b.out + 1.0) / (b.out_mean + 1.0);
        let tried = held.attempts.iter().any(|a| a.backend == b.entry.id);
        Some(Choice { place, tried, score, slow: if b.out > 0.0 { slow } else { 0.0 } })
    }

    /// Danger: a cold backend is pushed over by all gateways together. Each keeps to the cold part
    /// of what warm ones get of it, or of its part of one core's work.
    pub(super) fn cold_part(&self, warmth: f64, gateways: f64, warm: f64) -> f64 {
        let slow = &self.settings.slow_start;
        let core = slow.overload_multiple * slow.overload_window_ms / gateways;
        warmth * core.max(warm)
    }

    /// Until when a repeat of a request may begin: for a keyed one, while the backends of its group still
    /// drop repeats of the earliest attempt that may have run. None: as long as it has time.
    pub(super) fn repeat_until(&self, held: &Held) -> Option<f64> {
        let class = &self.settings.classes[held.request.class];
        let ran = held.attempts.iter().filter(|a| a.may_have_run && class.idempotency == Idempotency::Keyed);
        let earliest = ran.map(|a| a.sent).min_by(f64::total_cmp)?;
        Some(earliest + class.deduplication_window_ms - self.settings.clock_granularity_ms)
    }

    /// The one place that says whether a further attempt (to a backend) or a refusal (`None`) is legal.
    pub(super) fn legal(&self, held: &Held, to: Option<&Backend>, now: f64) -> bool {
        let class: &Class = &self.settings.classes[held.request.class];
        let may_have_run = || held.attempts.iter().filter(|a| a.may_have_run);
        if to.is_some() {
            let pending = held.attempts.iter().any(|a| a.pending);
            let spent = held.attempts.len() >= held.most as usize;
            if held.done || held.streaming || spent || (pending && !self.settings.limits.hedges) {
                return false;
            }
        }
        match (class.idempotency, to) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => may_have_run().next().is_none(),
            (Idempotency::Keyed, None) => {
                class.deduplication_scope == DeduplicationScope::All || may_have_run().next().is_none()
            }
            (Idempotency::Keyed, Some(b)) => {
                let same = may_have_run().all(|a| match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => a.zone == b.entry.zone,
                    DeduplicationScope::Cell => a.cell == b.entry.cell,
                });
                same && self.repeat_until(held).is_none_or(|until| now < until)
            }
        }
    }

    pub(super) fn send(&mut self, now: f64, id: u64, place: usize, finish: f64, actions: &mut Vec<Action>) {
        let class = self.requests[&id].request.class;
        let work = self.work(class, self.requests[&id].request.units);
        let expected = work * finish.max(self.slowness(self.backends.get(place), now));
        let s = &self.settings;
        let patience = (expected * HEDGE_AFTER).min(s.classes[class].latency_objective_ms);
        let connect = s.limits.connect_timeout_ms;
        self.backends.push(place, now, work);
        let b = self.backends.learn(place);
        let idle = b.out <= 0.0;
        b.heard = if idle { now } else { b.heard };
        let attempt = Attempt::new(&b.entry, now, patience, (b.out, self.fleet.out));
        let backend = attempt.backend;
        self.fleet.waits(now, 1.0);
        b.out += 1.0;
        if idle {
            self.backends.watch(place, now + connect.max(1.0));
        }
        self.fleet.out += 1.0;
        // Danger: a connection that comes up late, and a repeat that begins after the window.
        let begin_by_ms = self.repeat_until(&self.requests[&id]);
        let held = self.requests.get_mut(&id).expect("held");
        self.customers.get_mut(held.request.customer).into_iter().for_each(|c| c.open += 1);
        actions.push(Action::SendAttempt { id, backend, write_deadline_ms: begin_by_ms });
        held.attempts.push(attempt);
        actions.push(Action::ScheduleTimer { token: id << 2 | HEDGE, at_ms: now + patience });
    }

    /// Danger: attempts stuck on a bad backend, or whose answers are lost. An overdue one counts against
    /// its backend; another is sent where the class allows it, the budget covers it and there is room.
    pub(super) fn overdue(&mut self, now: f64, id: u64, actions: &mut Vec<Action>) {
        // One whose answer comes is not overdue, however long that takes.
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.streaming) else { return };
        let (class, units, arrived) = (held.request.class, held.request.units, held.attempts[0].sent);
        let tick = self.settings.clock_granularity_ms;
        let late = |a: &&mut Attempt| a.pending && !a.overdue && now - a.sent + tick >= a.patience;
        let Some(a) = held.attempts.iter_mut().find(late) else { return };
        a.overdue = true;
        let (backend, sent) = (a.backend, a.sent);
        self.lately(now, now - sent, self.work(class, units));
        self.fleet.waits(sent, -1.0);
        if let Some(b) = self.backend(backend) {
            b.failures += EJECT.1 * (1.0 - b.failures);
        }
        let waits = self.requests[&id].attempts.iter().any(|a| a.pending && !a.overdue);
        if waits || !self.settings.limits.hedges || self.retry_budget < 1.0 {
            return;
        }
        let left = (self.settings.classes[class].latency_objective_ms - (now - arrived)) * HEADROOM;
        let chosen = self.choose(now, id).filter(|c| c.1 * self.work(class, units) < left);
        if let Some((place, finish)) = chosen.filter(|c| self.backends.get(c.0).entry.id != backend) {
            self.retry_budget -= 1.0;
            self.send(now, id, place, finish, actions);
        }
    }

    /// What to do for a request when one of its attempts has ended.
    pub(super) fn after(&mut self, now: f64, id: u64, closed: bool, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        let pending = held.attempts.iter().any(|a| a.pending);
        // Danger: an answer that is being passed on, cut off as another attempt of the request ends.
        if held.streaming && pending && !held.done {
            return;
        }
        if closed || (held.done && !pending) {
            return self.finish(id, actions);
        }
        if held.counting || held.done || pending {
            return;
        }
        // What ran nowhere multiplies no work: it costs no budget while the fleet is not pressed.
        let (late, ran) = (
            now >= held.request.deadline_ms - self.settings.clock_granularity_ms,
            held.attempts.iter().any(|a| a.may_have_run),
        );
        let cost = if ran || self.pressure(now) > self.fleet.bearable { 1.0 } else { 0.0 };
        let late = late || self.retry_budget < cost;
        match if late { None } else { self.choose(now, id) } {
            Some((place, finish)) => {
                self.retry_budget -= cost;
                self.send(now, id, place, finish, actions);
            }
            None => self.give_up(now, id, actions),
        }
    }
}
