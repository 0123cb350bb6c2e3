//! Requests of the agent to a gateway, and the gateway's responses.

use serde::{Deserialize, Serialize};

use super::{ErrorResponse, GatewayState};
use crate::desired::Snapshot;
use crate::name::OrderId;
use crate::order::{ApplyOutcome, Order, Revision, Subject};

/// What a gateway can be asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
#[serde(rename = "GatewayAsk", expecting = "internally tagged enum GatewayAsk")]
pub enum GatewayRequest {
    /// Its state, and that of each backend if wanted.
    State {
        /// Whether each backend is wanted.
        #[serde(default)]
        backends: bool,
    },
    /// To take orders in, at most [`MAX_ORDERS_PER_REQUEST`].
    Apply {
        /// The orders.
        orders: Vec<Order>,
    },
    /// To take a whole state in.
    Adopt {
        /// The state.
        snapshot: Snapshot,
    },
    /// How many attempts are in flight at the subject.
    Inflight {
        /// A backend, a group, a type, or the gateway itself.
        subject: Subject,
    },
}

/// What a gateway answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[serde(rename = "GatewaySay", expecting = "enum GatewaySay")]
pub enum GatewayResponse {
    /// Its state.
    State(GatewayState),
    /// What became of orders or a whole state.
    Applied(Applied),
    /// Attempts in flight; requests, where the subject is a gateway.
    Inflight(u64),
    /// Nothing was done.
    #[serde(rename = "fault")]
    Error(ErrorResponse),
}

/// What became of orders at a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Applied {
    /// The gateway's process: new with each start, below 2^53.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The newest revision that it holds.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// For each order, in their order.
    #[serde(rename = "verdicts")]
    pub results: Vec<OrderResult>,
}

/// What became of an order at a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Verdict", expecting = "struct Verdict")]
pub struct OrderResult {
    /// The order.
    pub id: OrderId,
    /// What became of it.
    pub outcome: ApplyOutcome,
    /// Backends on the gateway's list that the subject covers; 1 for the gateway itself.
    pub matched: u32,
}
