//! Updates of the backends from the endpoint list and from load reports.

use std::collections::HashSet;

use super::backend::Backend;
use super::timers::TimerKind;
use super::Policy;
use crate::interface::{Action, BackendEndpoint, EndpointState, LoadField, UpdateScope};

/// Wait before the list is polled again after a failure, as a fraction of the time within which a gateway
/// must poll.
const POLL_RETRY_FRACTION: f64 = 0.1;

impl Policy {
    /// Applies an update of the endpoint list.
    pub(super) fn update_endpoints(
        &mut self,
        now: f64,
        scope: UpdateScope,
        endpoints: &[BackendEndpoint],
        actions: &mut Vec<Action>,
    ) {
        self.list_version += 1;
        if self.settings.polls_endpoints {
            self.schedule_poll(now, scope, actions);
        }
        if matches!(scope, UpdateScope::Full | UpdateScope::Cached) {
            self.remove_unlisted(now, endpoints);
        }
        for endpoint in endpoints {
            self.update_backend(now, endpoint);
        }
    }

    /// Schedules another poll if this update brought nothing new.
    fn schedule_poll(&self, now: f64, scope: UpdateScope, actions: &mut Vec<Action>) {
        let wait_ms = match scope {
            UpdateScope::Failed => self.settings.poll_within_ms * POLL_RETRY_FRACTION,
            UpdateScope::Cached => 0.0,
            UpdateScope::Delta | UpdateScope::Full => return,
        };
        actions.push(Action::ScheduleTimer { token: TimerKind::POLL_TOKEN, at_ms: now + wait_ms });
    }

    /// Removes the backends that a full list does not contain.
    fn remove_unlisted(&mut self, now: f64, endpoints: &[BackendEndpoint]) {
        let listed: HashSet<u32> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        let known = self.backends.slots().map(|slot| self.backends.get(slot).entry.id);
        let unlisted: Vec<u32> = known.filter(|id| !listed.contains(id)).collect();
        for id in unlisted {
            let removed = BackendEndpoint { id, state: EndpointState::Removed, ..BackendEndpoint::default() };
            self.update_backend(now, &removed);
        }
    }

    /// Applies one entry of the endpoint list.
    fn update_backend(&mut self, now: f64, endpoint: &BackendEndpoint) {
        let removed = endpoint.state == EndpointState::Removed;
        let list_version = self.list_version;
        let Some(slot) = self.backends.find(endpoint.id) else {
            if !removed {
                self.backends.insert(now, Backend::new(now, endpoint, &self.settings));
            }
            return;
        };
        let known = self.backends.get(slot);
        if removed {
            self.backends.update(now, slot, |backend| backend.entry.state = endpoint.state);
        } else if endpoint.slow_start_from_ms() > known.entry.slow_start_from_ms() {
            // Observations of the previous process do not apply to the new one.
            let mut restarted = Backend {
                entry: known.entry.clone(),
                scope_version: known.scope_version,
                in_flight: known.in_flight,
                last_alive_at: known.last_alive_at,
                ..Backend::new(now, endpoint, &self.settings)
            };
            restarted.set_entry(list_version, endpoint);
            self.backends.renew(now, slot, restarted);
        } else {
            self.backends.update(now, slot, |backend| backend.set_entry(list_version, endpoint));
        }
        self.backends.check_at(slot, now);
        self.forget_if_removed(now, endpoint.id);
    }

    /// Forgets a backend that is removed and has no attempts in flight.
    pub(super) fn forget_if_removed(&mut self, now: f64, id: u32) {
        let Some(slot) = self.backends.find(id) else { return };
        let backend = self.backends.get(slot);
        if backend.is_removed() && backend.in_flight <= 0.0 {
            self.backends.remove(now, slot);
        }
    }

    /// Returns the record of a backend, for changes that do not affect how it is indexed.
    pub(super) fn backend_mut(&mut self, id: u32) -> Option<&mut Backend> {
        let slot = self.backends.find(id)?;
        Some(self.backends.get_mut(slot))
    }

    /// Records a backend's load report. An empty slice means that there is no report.
    pub(super) fn record_load(&mut self, now: f64, id: u32, load: &[f32]) {
        if load.is_empty() {
            return;
        }
        let Some(slot) = self.backends.find(id) else { return };
        let backend = self.backends.get_mut(slot);
        backend.last_alive_at = now;
        for (field, value) in self.settings.load_fields.iter().zip(load) {
            match (field, f64::from(*value)) {
                (LoadField::Waiting, n) if n.is_finite() => backend.queued = n.max(0.0),
                (LoadField::Active, n) if n.is_finite() => {
                    backend.queued = (n - backend.in_flight).max(0.0);
                }
                _ => continue,
            }
            backend.load_reported_at = now;
            self.fleet.queue_reported(backend.queued);
        }
    }
}
