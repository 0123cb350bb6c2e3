//! The endpoint list: what discovery and operators make of it together goes to the pool and to the policy.

use std::collections::HashSet;
use std::net::SocketAddr;

use gateway_policy::interface::{BackendEndpoint, EndpointState, Event, UpdateScope};

use super::EventLoop;
use crate::backend_table::Overrides;
use crate::endpoint_list::{Endpoint, Status};

impl EventLoop {
    /// Takes an update of discovery's in. Of the backends that are `unread` no line could be read: they stay
    /// as they are.
    pub(super) fn update_endpoints(
        &mut self,
        scope: UpdateScope,
        endpoints: Vec<Endpoint>,
        unread: &[String],
    ) {
        if scope != UpdateScope::Cached {
            let now_ms = self.clock.now_ms();
            if let Some(ramp) = &mut self.ramp {
                ramp.confirm(now_ms);
            }
        }
        let mut lines = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let removed = matches!(endpoint.status, Status::Deleted).then(|| endpoint.name.clone());
            let address = endpoint.address;
            let overrides =
                Overrides { desired: &self.oversight.desired, maintenance: &self.oversight.maintenance };
            let Some(entry) = self.table.update(endpoint, overrides, &self.names.zones) else { continue };
            if let Some(name) = removed {
                self.table.remove(&name);
            }
            lines.push((entry, address));
        }
        lines.extend(unread.iter().filter_map(|name| self.table.entry_of(name, &self.names.zones)));
        self.apply_lines(scope, lines);
        let reshared = self.table.update_shares(&self.names.zones);
        if !reshared.is_empty() {
            self.apply_lines(UpdateScope::Delta, reshared);
        }
    }

    /// Applies lines of the list, as discovery and operators make them together.
    pub(super) fn apply_lines(&mut self, scope: UpdateScope, lines: Vec<(BackendEndpoint, SocketAddr)>) {
        let mut entries = Vec::with_capacity(lines.len());
        for (entry, address) in lines {
            // A request for a backend that is no more must not go to the one that has its address now.
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
            let named: HashSet<u32> = entries.iter().map(|e| e.id).collect();
            self.pool.retain(|id| named.contains(&id));
        }
        // Names of backends that came and went are not kept. A number is never used again.
        let pool = &self.pool;
        self.table.retain(|id| pool.contains(id));
        self.hold_back(scope, &mut entries);
        self.handle(Event::EndpointsUpdated { scope, endpoints: &entries });
        self.settle_ramp();
    }
}
