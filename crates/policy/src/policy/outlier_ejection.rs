//! Backends that fail or fall silent get no work until a trial succeeds.

use super::backend::Backend;
use super::Policy;
use crate::interface::{Action, Outcome};

/// No answer from a backend for this many times its expected latency: it may be silent.
const SILENT_AFTER_LATENCIES: f64 = 5.0;

impl Policy {
    /// Ejects silent backends, and starts trials of those whose pause is over.
    pub(super) fn run_due_checks(&mut self, now: f64, actions: &mut Vec<Action>) {
        while let Some(slot) = self.backends.next_due(now) {
            let backend = self.backends.get(slot);
            // When the list has it take work again, it is looked at anew.
            let idle = !backend.ejected && backend.in_flight <= 0.0;
            if !backend.is_ready() || idle {
                continue;
            }
            if backend.ejected {
                self.probe_or_readmit(now, slot, actions);
            } else {
                self.eject_if_silent(now, slot);
            }
        }
    }

    /// Starts a trial of an ejected backend, if its pause is over.
    fn probe_or_readmit(&mut self, now: f64, slot: usize, actions: &mut Vec<Action>) {
        let backend = self.backends.get(slot);
        let (id, probe_at) = (backend.entry.id, backend.probe_at);
        if now < probe_at {
            return self.recheck_at(now, slot, probe_at);
        }
        self.eject(now, slot);
        if self.settings.limits.probes {
            actions.push(Action::Probe { backend: id });
        } else {
            self.backends.update(now, slot, |backend| backend.readmit(now, 0.0));
            self.recheck_after_connect(now, slot);
        }
    }

    /// Ejects a backend that has attempts in flight and was not seen alive for too long.
    fn eject_if_silent(&mut self, now: f64, slot: usize) {
        let connect_ms = self.settings.limits.connect_timeout_ms;
        let backend = self.backends.get(slot);
        let silent_at = backend.last_alive_at + self.silence_limit_ms(backend, now);
        if now <= silent_at {
            // What is expected of an answer may fall, and the wait for it with that.
            return self.recheck_at(now, slot, silent_at.min(now + connect_ms));
        }
        self.eject(now, slot);
    }

    fn silence_limit_ms(&self, backend: &Backend, now: f64) -> f64 {
        let latency = SILENT_AFTER_LATENCIES * self.fleet.mean_work_ms() * self.slowness(backend, now);
        latency.max(self.settings.limits.connect_timeout_ms)
    }

    fn recheck_at(&mut self, now: f64, slot: usize, at: f64) {
        self.backends.check_at(slot, at.max(now + 1.0));
    }

    /// Looks at a backend that was just sent to, once a connection must be up.
    pub(super) fn recheck_after_connect(&mut self, now: f64, slot: usize) {
        self.backends.check_at(slot, now + self.settings.limits.connect_timeout_ms.max(1.0));
    }

    pub(super) fn eject(&mut self, now: f64, slot: usize) {
        let connect_ms = self.settings.limits.connect_timeout_ms;
        self.backends.update(now, slot, |backend| backend.eject(now, connect_ms));
        self.backends.check_at(slot, self.backends.get(slot).probe_at);
    }

    /// A probe ended: a backend that answers it well gets work again.
    pub(super) fn probe_finished(&mut self, now: f64, id: u32, outcome: Outcome) {
        let Some(slot) = self.backends.find(id) else { return };
        if outcome != Outcome::Ok || !self.backends.get(slot).ejected {
            return;
        }
        let restart_ms = self.settings.slow_start.overload_window_ms;
        self.backends.update(now, slot, |backend| backend.readmit(now, restart_ms));
        self.backends.check_at(slot, now);
    }
}
