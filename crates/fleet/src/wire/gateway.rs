//! Requests of the agent to a gateway, and its responses.

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
    /// Reports the gateway's state.
    State {
        /// Whether to include the backends.
        #[serde(default)]
        backends: bool,
    },
    /// Applies orders, at most [`MAX_ORDERS_PER_REQUEST`](super::MAX_ORDERS_PER_REQUEST).
    Apply {
        /// The orders, oldest first.
        orders: Vec<Order>,
    },
    /// Merges a snapshot of the desired state.
    Adopt {
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Counts the work in flight at a subject.
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
    /// The gateway's state.
    State(GatewayState),
    /// The response to orders or to a snapshot.
    Applied(Applied),
    /// Number of attempts in flight, or of requests if the subject is a gateway.
    Inflight(u64),
    /// The request was not carried out.
    #[serde(rename = "fault")]
    Error(ErrorResponse),
}

/// The results of orders at a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Applied {
    /// Identifies the gateway's process: a number that differs after each start; below 2^53.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The newest revision that the gateway has applied.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// One result per order, in the sequence of the request.
    #[serde(rename = "verdicts")]
    pub results: Vec<OrderResult>,
}

/// The result of an order at a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Verdict", expecting = "struct Verdict")]
pub struct OrderResult {
    /// Id of the order.
    pub id: OrderId,
    /// The outcome.
    pub outcome: ApplyOutcome,
    /// Number of backends on the gateway's endpoint list that the subject covers; 1 if the subject is the
    /// gateway itself.
    pub matched: u32,
}
