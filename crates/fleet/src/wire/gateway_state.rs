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
    /// The order that was taken in last, if any was.
    pub last_order: Option<OrderId>,
    /// The order that drains the gateway itself, if any does.
    pub drained_by: Option<OrderId>,
    /// Since when a call at its second address drains it, Unix time in ms, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drained_ms: Option<f64>,
    /// Grows with each change of a line that a backend's row below is made of, but for what is in flight.
    #[serde(rename = "list")]
    pub list_version: u64,
    /// Figures.
    #[serde(rename = "figures")]
    pub statistics: GatewayStatistics,
    /// Its backends, where they were asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backends: Option<Vec<BackendState>>,
}

/// Figures of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Figures", expecting = "struct Figures")]
pub struct GatewayStatistics {
    /// Backends on the list.
    pub listed: u32,
    /// Those that discovery says serve.
    pub serving: u32,
    /// Those that an order drains.
    pub drained: u32,
    /// Those that get no work as they failed or fell silent.
    pub ejected: u32,
    /// Those that are still warming up.
    #[serde(rename = "cold")]
    pub warming_up: u32,
    /// Those that wait for their turn for a first connection.
    #[serde(default)]
    #[serde(rename = "waiting")]
    pub awaiting_connection: u32,
    /// Requests that are owed an answer.
    pub requests: u64,
    /// Attempts in flight.
    pub in_flight: u64,
    /// Connections to backends on which nothing is in flight.
    pub idle_connections: u32,
    /// Connections of clients.
    pub client_connections: u32,
    /// Customers whose store is held.
    pub customers: u64,
    /// Stores that were dropped to make room for others.
    #[serde(default)]
    #[serde(rename = "forgotten")]
    pub evicted_customers: u64,
    /// Units that the customers of those may pass beyond their quotas.
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
    /// Its group.
    pub group: u32,
    /// Its type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether discovery says that it serves; else it drains.
    pub serving: bool,
    /// The order that drains it, if any does.
    pub drained_by: Option<OrderId>,
    /// Since when a call at the gateway's second address bans it, Unix time in ms, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub banned_ms: Option<f64>,
    /// The weight that is ordered; 1 without.
    pub weight: f64,
    /// Whether it gets no work as it failed or fell silent.
    pub ejected: bool,
    /// Part of its capacity that it is taken to have, 0 to 1.
    #[serde(rename = "warmth")]
    pub capacity_fraction: f64,
    /// Attempts in flight there.
    pub in_flight: u64,
}
