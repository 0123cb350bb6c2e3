//! Endpoint list updates: combines discovery's state with operators' overrides and passes the result to the
//! connection pool and the policy.

use std::collections::HashSet;
use std::net::SocketAddr;

use gateway_policy::interface::{BackendEndpoint, EndpointState, Event, UpdateScope};

use super::EventLoop;
use crate::backend_table::Overrides;
use crate::endpoint_list::{Endpoint, Status};

impl EventLoop {
    /// Applies an update from discovery. Backends named in `unreadable` had an invalid entry and keep their
    /// previous state, except for their cell and zone, which are unknown.
    pub(super) fn update_endpoints(
        &mut self,
        scope: UpdateScope,
        endpoints: Vec<Endpoint>,
        unreadable: &[String],
    ) {
        if scope != UpdateScope::Cached {
            let now_ms = self.clock.now_ms();
            if let Some(ramp) = &mut self.ramp {
                ramp.confirm(now_ms);
            }
        }
        let mut updates = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let removed = matches!(endpoint.status, Status::Deleted).then(|| endpoint.name.clone());
            let address = endpoint.address;
            let overrides = Overrides {
                desired: &self.control_plane.desired,
                maintenance: &self.control_plane.maintenance,
            };
            let Some(entry) = self.table.update(endpoint, overrides, &self.names.zones) else { continue };
            if let Some(name) = removed {
                self.table.remove(&name);
            }
            updates.push((entry, address));
        }
        for name in unreadable {
            self.table.mark_unreadable(name);
        }
        updates.extend(
            unreadable.iter().filter_map(|name| self.table.policy_endpoint_named(name, &self.names.zones)),
        );
        self.apply_endpoints(scope, updates);
        let reweighted = self.table.update_weight_shares(&self.names.zones);
        if !reweighted.is_empty() {
            self.apply_endpoints(UpdateScope::Delta, reweighted);
        }
    }

    /// Applies endpoints in their effective state: discovery's state combined with operators' overrides.
    pub(super) fn apply_endpoints(
        &mut self,
        scope: UpdateScope,
        updates: Vec<(BackendEndpoint, SocketAddr)>,
    ) {
        let mut entries = Vec::with_capacity(updates.len());
        for (entry, address) in updates {
            // When another backend takes over an address, the previous owner is removed: its requests
            // must not reach the new one.
            let replaced = self.pool.update(&entry, address);
            entries.push(entry);
            for id in replaced {
                entries.retain(|e: &BackendEndpoint| e.id != id);
                entries.push(BackendEndpoint {
                    id,
                    state: EndpointState::Removed,
                    ..BackendEndpoint::default()
                });
            }
        }
        if matches!(scope, UpdateScope::Full | UpdateScope::Cached) {
            let listed: HashSet<u32> = entries.iter().map(|e| e.id).collect();
            self.pool.retain(|id| listed.contains(&id));
        }
        // Drops the rows of backends that the pool no longer has. Their numbers are never reused.
        let pool = &self.pool;
        self.table.retain(|id| pool.contains(id));
        self.hold_back(scope, &mut entries);
        self.handle_event(Event::EndpointsUpdated { scope, endpoints: &entries });
        self.advance_ramp();
    }
}
