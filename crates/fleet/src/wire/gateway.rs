//! Requests of the agent to a gateway, and the gateway's responses.

use serde::{Deserialize, Serialize};

use super::{ErrorResponse, GatewayState};
use crate::desired::Snapshot;
use crate::name::OrderId;
use crate::order::{ApplyOutcome, Order, Revision, Subject};

/// A request to a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
#[serde(rename = "GatewayAsk", expecting = "internally tagged enum GatewayAsk")]
pub enum GatewayRequest {
    /// Report the state.
    State {
        /// Whether to include each backend.
        #[serde(default)]
        backends: bool,
    },
    /// Apply orders, at most [`MAX_ORDERS_PER_REQUEST`](super::MAX_ORDERS_PER_REQUEST).
    Apply {
        /// The orders, oldest first.
        orders: Vec<Order>,
    },
    /// Adopt a whole state.
    Adopt {
        /// The state.
        snapshot: Snapshot,
    },
    /// Count what is in flight at a subject.
    Inflight {
        /// A backend, a cell, an instance type, or the gateway itself.
        subject: Subject,
    },
}

/// A response of a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[serde(rename = "GatewaySay", expecting = "enum GatewaySay")]
pub enum GatewayResponse {
    /// The state.
    State(GatewayState),
    /// The results of orders, or of a whole state.
    Applied(Applied),
    /// Attempts in flight, or requests where the subject is a gateway.
    Inflight(u64),
    /// Nothing was done.
    #[serde(rename = "fault")]
    Error(ErrorResponse),
}

/// The results of orders at a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Applied {
    /// The gateway's process: new with each start, below 2^53.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The newest revision that it holds.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// One for each order, in the same sequence.
    #[serde(rename = "verdicts")]
    pub results: Vec<OrderResult>,
}

/// The result of an order at a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Verdict", expecting = "struct Verdict")]
pub struct OrderResult {
    /// The order's id.
    pub id: OrderId,
    /// The result.
    pub outcome: ApplyOutcome,
    /// Backends on the gateway's endpoint list that the subject covers; 1 for the gateway itself.
    pub matched: u32,
}
