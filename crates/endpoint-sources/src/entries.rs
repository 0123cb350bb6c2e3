//! The entries of an instance: on the list for gateways, and in the status for tools.

use dns_sd::{DroppedInstance, Endpoint, Status, TxtKey};
use fleet::wire::{DroppedEndpoint, EndpointStatus, UnknownField};

use crate::table::{ListedEndpoint, ListedStatus};

/// Returns the entry of a dropped instance in the status.
pub(crate) fn dropped_endpoint(dropped: &DroppedInstance) -> DroppedEndpoint {
    DroppedEndpoint { instance: dropped.instance.to_utf8(), reason: dropped.reason.to_string() }
}

/// Returns the entry of an instance in the status. `since_ms` is its start time, Unix time in ms.
pub(crate) fn endpoint_status(now_ms: f64, name: &str, endpoint: &Endpoint, since_ms: f64) -> EndpointStatus {
    let metadata = &endpoint.metadata;
    let unknown = metadata
        .unknown
        .iter()
        .map(|(key, reason)| UnknownField { key: key.as_str().to_string(), reason: reason.to_string() });
    EndpointStatus {
        name: name.to_string(),
        address: endpoint.address.to_string(),
        priority: endpoint.priority,
        weight: endpoint.weight,
        zone: metadata.zone.clone(),
        kind: metadata.instance_type.clone(),
        group: metadata.group,
        serving: metadata.status() == Status::Serving,
        since_ms,
        stale_ms: endpoint.stale_since_ms.map(|since_ms| now_ms - since_ms),
        unknown: unknown.collect(),
    }
}

/// Returns the entry of an instance on the list for gateways. `since_ms` is its start time, Unix time in ms.
pub(crate) fn listed_endpoint(name: &str, endpoint: &Endpoint, since_ms: f64) -> ListedEndpoint {
    let metadata = &endpoint.metadata;
    ListedEndpoint {
        name: name.to_string(),
        address: endpoint.address,
        zone: metadata.zone.clone(),
        instance_type: metadata.instance_type.clone(),
        group: metadata.group,
        status: match metadata.status() {
            Status::Serving => ListedStatus::Serving,
            Status::Draining => ListedStatus::Draining,
        },
        weight: f64::from(endpoint.weight),
        priority: endpoint.priority,
        since_ms,
        unknown: metadata.marked_unknown().map(TxtKey::as_str).collect(),
    }
}
