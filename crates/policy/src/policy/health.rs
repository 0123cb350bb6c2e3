//! What is known of backends: the list, reports, outcomes, silence and ejection.

use super::{Policy, EJECT, HEADROOM, KEEP, MIN_BEARABLE_SLOWNESS, WATCH};
use crate::interface::{Action, BackendEndpoint, EndpointState, LoadField, Outcome, Settings, UpdateScope};
use crate::state::{Backend, End};
use crate::store::{LOCAL_PART, MEMORY_FILLS};
use std::collections::HashSet;

/// An answer counts as no slower than so many times the expected: costly requests condemn no backend.
const CLIP: f64 = 5.0;
/// No answer from a backend for this many times its expected latency: it may be silent.
const SILENT: f64 = 5.0;
/// Longest pause between trials of an ejected backend, in connection time-outs; the first is 2.
const EJECT_PAUSE: (f64, f64) = (2.0, 16.0);

impl Backend {
    pub(super) fn new(now: f64, entry: &BackendEndpoint, s: &Settings) -> Self {
        // Danger: a start that lies ahead, by another clock or in another unit, and a backend that is cold
        // until then. Harm: by a clock that goes a little before this one it is taken for that much warmer.
        let (started, warm_up) = (entry.slow_start_from_ms().min(now), s.slow_start.warm_up_ms);
        Backend { started, warm_up, entry: entry.clone(), ..Backend::default() }
    }

    pub(super) fn ready(&self) -> bool {
        self.entry.state == EndpointState::Ready
    }

    /// Surely warm part of the capacity at `now`.
    pub(crate) fn warmth(&self, now: f64, s: &Settings) -> f64 {
        let slow = &s.slow_start;
        if self.started <= 0.0 || slow.warm_up_ms <= 0.0 {
            return 1.0;
        }
        let grown = ((now - self.started) / slow.warm_up_ms).clamp(0.0, 1.0);
        slow.initial_capacity + (1.0 - slow.initial_capacity) * grown
    }

    pub(super) fn eject(&mut self, now: f64, connect_timeout: f64) {
        self.ejected = true;
        let unit = connect_timeout.max(1.0);
        self.pause = (self.pause * 2.0).clamp(unit * EJECT_PAUSE.0, unit * EJECT_PAUSE.1);
        self.trial_at = now + self.pause;
    }

    /// Danger: a machine back from a long silence may be cold before the list says so.
    pub(super) fn readmit(&mut self, now: f64, restart: f64) {
        if now - self.heard > restart {
            self.started = now;
        }
        (self.ejected, self.failures, self.heard) = (false, 0.0, now);
    }
}

impl Policy {
    pub(super) fn list(
        &mut self,
        now: f64,
        scope: UpdateScope,
        entries: &[BackendEndpoint],
        actions: &mut Vec<Action>,
    ) {
        let s = &self.settings;
        if s.polls_endpoints && matches!(scope, UpdateScope::Failed | UpdateScope::Cached) {
            let wait = if scope == UpdateScope::Failed { s.poll_within_ms * LOCAL_PART } else { 0.0 };
            actions.push(Action::ScheduleTimer { token: WATCH, at_ms: now + wait });
        }
        if matches!(scope, UpdateScope::Full | UpdateScope::Cached) {
            let named: HashSet<u32> = entries.iter().map(|e| e.id).collect();
            let ids = self.backends.places().map(|place| self.backends.get(place).entry.id);
            let gone: Vec<u32> = ids.filter(|id| !named.contains(id)).collect();
            for id in gone {
                self.relist(
                    now,
                    &BackendEndpoint { id, state: EndpointState::Removed, ..BackendEndpoint::default() },
                );
            }
        }
        entries.iter().for_each(|entry| self.relist(now, entry));
    }

    /// Takes in a line of the list.
    pub(super) fn relist(&mut self, now: f64, entry: &BackendEndpoint) {
        let gone = entry.state == EndpointState::Removed;
        let Some(place) = self.backends.find(entry.id) else {
            if !gone {
                self.backends.insert(now, Backend::new(now, entry, &self.settings));
            }
            return;
        };
        let b = self.backends.get(place);
        if gone {
            self.backends.update(now, place, |b| b.entry.state = entry.state);
        } else if entry.slow_start_from_ms() > b.entry.slow_start_from_ms() {
            // Danger: what was learned of the process before says nothing of this one.
            let new = Backend { out: b.out, heard: b.heard, ..Backend::new(now, entry, &self.settings) };
            self.backends.renew(now, place, new);
        } else {
            self.backends.update(now, place, |b| b.entry = entry.clone());
        }
        self.backends.watch(place, now);
        self.forget(now, entry.id);
    }

    /// Forgets a backend that is gone and has nothing out.
    pub(super) fn forget(&mut self, now: f64, id: u32) {
        let Some(place) = self.backends.find(id) else { return };
        let b = self.backends.get(place);
        if b.entry.state == EndpointState::Removed && b.out <= 0.0 {
            self.backends.remove(now, place);
        }
    }

    pub(super) fn backend(&mut self, id: u32) -> Option<&mut Backend> {
        let place = self.backends.find(id)?;
        Some(self.backends.learn(place))
    }

    pub(super) fn report(&mut self, now: f64, id: u32, load: &[f32]) {
        let place = self.backends.find(id).filter(|_| !load.is_empty());
        let Some(b) = place.map(|p| self.backends.learn(p)) else { return };
        b.heard = now;
        for (field, value) in self.settings.load_fields.iter().zip(load) {
            match (field, f64::from(*value)) {
                (LoadField::Waiting, n) if n.is_finite() => b.waiting = n.max(0.0),
                (LoadField::Active, n) if n.is_finite() => b.waiting = (n - b.out).max(0.0),
                _ => continue,
            }
            b.reported = now;
            self.fleet.queue += (1.0 - KEEP.1) * (b.waiting - self.fleet.queue);
        }
    }

    /// Ejects silent backends, and starts trials of those whose pause is over.
    pub(super) fn watch_silence(&mut self, now: f64, actions: &mut Vec<Action>) {
        let (mean, connect) = (self.fleet.mean_work, self.settings.limits.connect_timeout_ms);
        while let Some(place) = self.backends.due(now) {
            let b = self.backends.get(place);
            let (trial, patience) = (b.ejected, (SILENT * mean * self.slowness(b, now)).max(connect));
            let again = match trial {
                // When the list has it take work again, it is looked at anew.
                _ if !b.ready() => continue,
                false if b.out <= 0.0 => continue,
                false => b.heard + patience,
                true => b.trial_at,
            };
            if now < again || (!trial && now <= again) {
                // What is expected of an answer may fall, and the wait for it with that.
                let next = if trial { again } else { again.min(now + connect) };
                self.backends.watch(place, next.max(now + 1.0));
                continue;
            }
            let id = b.entry.id;
            self.eject(now, place);
            if trial && self.settings.limits.probes {
                actions.push(Action::Probe { backend: id });
            } else if trial {
                self.backends.update(now, place, |b| b.readmit(now, 0.0));
                self.backends.watch(place, now + connect.max(1.0));
            }
        }
    }

    pub(super) fn eject(&mut self, now: f64, place: usize) {
        let connect = self.settings.limits.connect_timeout_ms;
        self.backends.update(now, place, |b| b.eject(now, connect));
        self.backends.watch(place, self.backends.get(place).trial_at);
    }

    /// Books how an attempt ended.
    pub(super) fn ended(&mut self, now: f64, end: &End) {
        let End { id, attempt, outcome, latency, charged, metered } = *end;
        let Some(held) = self.requests.get_mut(&id) else { return };
        let Some(a) = held.attempts.get_mut(attempt as usize).filter(|a| a.pending) else { return };
        a.pending = false;
        self.fleet.waits(a.sent, if a.overdue { 0.0 } else { -1.0 });
        a.may_have_run = !outcome.never_executed();
        self.fleet.out = (self.fleet.out - 1.0).max(0.0);
        let (backend, out_then, overdue, class) = (a.backend, a.out_then, a.overdue, held.request.class);
        let request = held.request.clone();
        let units = charged.unwrap_or(held.request.units);
        if let Some(c) = self.customers.get_mut(held.request.customer) {
            c.open = c.open.saturating_sub(1);
            // Without a counter, or while it is gone, a meter's use over all gateways tells this one's share.
            let uncounted = !self.settings.shared_counter || !self.call_heard;
            if let Some(used) = metered.filter(|_| uncounted && c.plan.rate > 0.0) {
                c.others = (used * c.plan.burst * MEMORY_FILLS - c.own).max(0.0);
            }
            // Settlement: the difference to the guess goes with the next call.
            if let Some(real) = charged.filter(|_| outcome == Outcome::Ok && held.charge > 0.0) {
                let real = real.max(c.charged_least(held.request.units));
                c.spend(real - held.charge);
                held.charge = real;
            }
        }
        let work = self.work(class, units);
        let (marks, all) =
            (self.marks(&request), self.settings.plans.len() + self.settings.classes.len() + 1);
        let fleet = self.fleet.slowness();
        let Some(place) = self.backends.find(backend) else { return };
        let b = self.backends.learn(place);
        b.out = (b.out - 1.0).max(0.0);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            b.heard = now;
        }
        if matches!(outcome, Outcome::NotSent | Outcome::Cancelled) || !latency.is_finite() {
            return;
        }
        if outcome == Outcome::Rejected {
            b.full.resize(all, f64::MIN);
            marks.iter().for_each(|m| b.full[*m] = now);
        }
        // Being full is no fault of the backend's health, but it is no room either.
        let fault = matches!(outcome, Outcome::Error | Outcome::ConnectFailed | Outcome::Reset);
        // A time-out was counted when it was overdue; it is no sign of health.
        if outcome != Outcome::Timeout {
            b.failures += EJECT.1 * (f64::from(u8::from(fault)) - b.failures);
        }
        b.pause = if outcome == Outcome::Ok { 0.0 } else { b.pause };
        if fault && b.failures > EJECT.0 && !b.ejected {
            self.eject(now, place);
        }
        let b = self.backends.learn(place);
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            let seen = latency.min(CLIP * work * fleet.max(1.0));
            b.latency.add(seen, work, KEEP.0);
            b.judged = now;
            b.out_mean += (1.0 - KEEP.0) * (out_then.0 - b.out_mean);
            // Time-outs of a few silent backends say nothing of the fleet's load.
            if outcome == Outcome::Ok {
                self.fleet.latency.add(seen, work, KEEP.1);
                self.learn_calm();
                if !overdue {
                    self.lately(now, seen, work);
                }
                self.fleet.answers += 1.0;
                let weight = (1.0 - KEEP.1).max(1.0 / self.fleet.answers);
                self.fleet.out_mean += weight * (out_then.1 - self.fleet.out_mean);
                // Danger: a yardstick that shrinks by its own use. Learned against the present slowness,
                // classes keep their scale on the whole, whatever the load.
                let scale = self.fleet.slowness();
                let relative = self.relative(units);
                self.class_latency[class].add(latency / scale, relative, KEEP.2);
                self.class_work[class] += (1.0 - KEEP.1) * (work - self.class_work[class]);
                let classes = self.settings.classes.iter().zip(&self.class_work).filter(|(c, _)| !c.retired);
                let tightest = classes.map(|(c, w)| c.latency_objective_ms / w).fold(f64::MAX, f64::min)
                    / self.fleet.calm;
                self.fleet.bearable = (tightest * HEADROOM).max(MIN_BEARABLE_SLOWNESS);
                self.fleet.mean_work += (1.0 - KEEP.1) * (work - self.fleet.mean_work);
            }
        }
    }
}
