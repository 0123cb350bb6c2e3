//! The state of a gateway and of its backends.

use serde::{Deserialize, Serialize};

use crate::name::OrderId;
use crate::order::Revision;

/// A gateway's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayState {
    /// Its name.
    pub name: String,
    /// Version of its program.
    pub version: String,
    /// Its process: new with each start, below 2^53.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The newest revision that it holds.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// The order that was applied last, if any was.
    pub last_order: Option<OrderId>,
    /// The order that drains the gateway itself, if any does.
    pub drained_by: Option<OrderId>,
    /// Since when a command at its second address drains it, Unix time in ms, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drained_ms: Option<f64>,
    /// Version of `backends`: grows with each change but those of what is in flight.
    #[serde(rename = "list")]
    pub list_version: u64,
    /// Counts and gauges.
    #[serde(rename = "figures")]
    pub statistics: GatewayStatistics,
    /// Its backends, if they were requested.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backends: Option<Vec<BackendState>>,
}

/// Counts and gauges of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Figures", expecting = "struct Figures")]
pub struct GatewayStatistics {
    /// Backends on the endpoint list.
    pub listed: u32,
    /// Those that discovery says serve.
    pub serving: u32,
    /// Those that an order drains.
    pub drained: u32,
    /// Those that are ejected as outliers.
    pub ejected: u32,
    /// Those that are warming up.
    #[serde(rename = "cold")]
    pub warming_up: u32,
    /// Those that wait for their slot for a first connection.
    #[serde(default)]
    #[serde(rename = "waiting")]
    pub awaiting_connection: u32,
    /// Requests in flight.
    pub requests: u64,
    /// Attempts in flight.
    pub in_flight: u64,
    /// Idle connections to backends.
    pub idle_connections: u32,
    /// Connections of clients.
    pub client_connections: u32,
    /// Customers whose token bucket is in memory.
    pub customers: u64,
    /// Customers whose token bucket was evicted to make room for others.
    #[serde(default)]
    #[serde(rename = "forgotten")]
    pub evicted_customers: u64,
    /// Units that these customers may use beyond their quotas.
    #[serde(default)]
    #[serde(rename = "forgotten_units")]
    pub evicted_units: u64,
}

/// A backend as a gateway sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendState {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its cell.
    pub group: u32,
    /// Its instance type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is serving by the endpoint list; otherwise it is draining.
    pub serving: bool,
    /// The order that drains it, if any does.
    pub drained_by: Option<OrderId>,
    /// Since when a command at the gateway's second address bans it, Unix time in ms, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub banned_ms: Option<f64>,
    /// The weight that is ordered; 1 without an order.
    pub weight: f64,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// The part of its capacity that it is assumed to have while it warms up, 0 to 1.
    #[serde(rename = "warmth")]
    pub capacity_fraction: f64,
    /// Attempts in flight there.
    pub in_flight: u64,
}
