//! Ejection of backends that fail or fall silent, until a probe succeeds.

use super::backend::Backend;
use super::Policy;
use crate::interface::{Action, Outcome};

/// Multiple of the expected latency after which a backend without a sign of life counts as silent.
const SILENT_AFTER_LATENCIES: f64 = 5.0;

impl Policy {
    /// Ejects silent backends, and probes ejected backends whose probe is due.
    pub(super) fn run_due_checks(&mut self, now: f64, actions: &mut Vec<Action>) {
        while let Some(slot) = self.backends.next_due(now) {
            let backend = self.backends.get(slot);
            // When the endpoint list shows the backend as ready again, that update schedules a new check.
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

    /// Probes an ejected backend if its probe is due. Without probes, it is readmitted on trial instead.
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

    /// Ejects a backend that has attempts in flight and has shown no sign of life for too long.
    fn eject_if_silent(&mut self, now: f64, slot: usize) {
        let connect_ms = self.settings.limits.connect_timeout_ms;
        let backend = self.backends.get(slot);
        let silent_at = backend.last_alive_at + self.silence_limit_ms(backend, now);
        if now <= silent_at {
            // The expected latency may fall before then, and the limit with it, so the backend is checked
            // again earlier.
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

    /// Schedules a check of a backend that was just sent to, for the time at which a connection must be up.
    pub(super) fn recheck_after_connect(&mut self, now: f64, slot: usize) {
        self.backends.check_at(slot, now + self.settings.limits.connect_timeout_ms.max(1.0));
    }

    pub(super) fn eject(&mut self, now: f64, slot: usize) {
        let connect_ms = self.settings.limits.connect_timeout_ms;
        self.backends.update(now, slot, |backend| backend.eject(now, connect_ms));
        self.backends.check_at(slot, self.backends.get(slot).probe_at);
    }

    /// Handles the end of a probe: a backend that answered it successfully is readmitted.
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
