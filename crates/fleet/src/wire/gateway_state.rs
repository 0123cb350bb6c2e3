//! State of a gateway and its backends.

use serde::{Deserialize, Serialize};

use crate::name::OrderId;
use crate::order::Revision;

/// State that a gateway reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayState {
    /// Name of the gateway.
    pub name: String,
    /// Version of the gateway's program.
    pub version: String,
    /// Identifies the gateway's process: a number that differs after each start; below 2^53.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The newest revision that the gateway has applied.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// Id of the order that was applied last, if any.
    pub last_order: Option<OrderId>,
    /// Id of the order that drains the gateway itself, if any.
    pub drained_by: Option<OrderId>,
    /// Unix time in ms since which a command at the gateway's management address drains it, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drained_ms: Option<f64>,
    /// Version of `backends`: increases with each change except those of `in_flight`.
    #[serde(rename = "list")]
    pub list_version: u64,
    /// Counters and gauges.
    #[serde(rename = "figures")]
    pub statistics: GatewayStatistics,
    /// The gateway's backends, if the request asked for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backends: Option<Vec<BackendState>>,
}

/// Counters and gauges of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Figures", expecting = "struct Figures")]
pub struct GatewayStatistics {
    /// Number of backends on the endpoint list.
    pub listed: u32,
    /// Number of backends that are serving according to the endpoint list.
    pub serving: u32,
    /// Number of backends that an order drains.
    pub drained: u32,
    /// Number of backends that are ejected as outliers.
    pub ejected: u32,
    /// Number of backends that are warming up.
    #[serde(rename = "cold")]
    pub warming_up: u32,
    /// Number of backends that wait for their slot to open a first connection.
    #[serde(default)]
    #[serde(rename = "waiting")]
    pub awaiting_connection: u32,
    /// Number of requests in flight.
    pub requests: u64,
    /// Number of attempts in flight.
    pub in_flight: u64,
    /// Number of idle connections to backends.
    pub idle_connections: u32,
    /// Number of client connections.
    pub client_connections: u32,
    /// Number of customers whose token bucket is in memory.
    pub customers: u64,
    /// Number of customers whose token bucket was evicted to make room for others.
    #[serde(default)]
    #[serde(rename = "forgotten")]
    pub evicted_customers: u64,
    /// Units that the evicted customers may use beyond their quotas.
    #[serde(default)]
    #[serde(rename = "forgotten_units")]
    pub evicted_units: u64,
}

/// State of a backend at a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendState {
    /// Name on the endpoint list.
    pub name: String,
    /// Address that it listens on.
    pub address: String,
    /// Cell.
    pub group: u32,
    /// Instance type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether the endpoint list says that it is serving; otherwise it is draining.
    pub serving: bool,
    /// Id of the order that drains it, if any.
    pub drained_by: Option<OrderId>,
    /// Unix time in ms since which a command at the gateway's management address bans it, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub banned_ms: Option<f64>,
    /// Weight set by an order; 1 without one.
    pub weight: f64,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Fraction of its full capacity, 0 to 1, that it is assumed to have while it is warming up.
    #[serde(rename = "warmth")]
    pub capacity_fraction: f64,
    /// Number of attempts in flight to it.
    pub in_flight: u64,
}
