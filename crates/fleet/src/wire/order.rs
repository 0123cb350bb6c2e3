//! What the agent reports about an order, and what it stores in its log.

use serde::{Deserialize, Serialize};

use crate::guard::GuardCounts;
use crate::order::{ApplyOutcome, Order, Revision};

/// Acknowledgement of an order that is in the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Accepted", expecting = "struct Accepted")]
pub struct OrderAccepted {
    /// Revision of the order.
    pub revision: Revision,
    /// Whether the order is a repetition, so that nothing new was logged.
    pub repeated: bool,
    /// Numbers that the guard computed.
    pub counts: GuardCounts,
    /// Number of gateways that are to apply the order.
    pub instances: u32,
}

/// An order as stored in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Logged", expecting = "struct Logged")]
pub struct LoggedOrder {
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// Whether the order was forced, so that the guard did not apply.
    pub forced: bool,
    /// Time of acceptance, Unix time in ms.
    pub at_ms: u64,
    /// Numbers that the guard computed.
    pub counts: GuardCounts,
}

/// Report of the outcome at one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Instance", expecting = "struct Instance")]
pub struct InstanceReport {
    /// Name of the gateway.
    pub gateway: String,
    /// The outcome.
    #[serde(flatten)]
    pub outcome: InstanceOutcome,
}

/// Outcome of an order, or of an in-flight query, at one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "did", rename_all = "lowercase")]
#[serde(rename = "Did", expecting = "internally tagged enum Did")]
pub enum InstanceOutcome {
    /// The gateway has responded to the order.
    Answered {
        /// Outcome of the order.
        outcome: ApplyOutcome,
        /// Number of backends on its endpoint list that the subject covers; `None` if the gateway received
        /// the order as part of a snapshot.
        matched: Option<u32>,
        /// Time from the acknowledgement of the order to the gateway's response, ms.
        took_ms: f64,
    },
    /// The gateway has counted the work in flight.
    #[serde(rename = "counted")]
    InFlight {
        /// Number of attempts, or of requests if the subject is a gateway.
        in_flight: u64,
    },
    /// The gateway is unreachable. It continues with its last orders and gets a snapshot when it is back.
    Unreachable {
        /// Why it is unreachable.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The gateway did not respond before the deadline.
    #[serde(rename = "late")]
    TimedOut,
}

impl InstanceOutcome {
    /// Whether the gateway is known to have applied the order, or has counted the work in flight.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        match self {
            InstanceOutcome::Answered { outcome, .. } => !matches!(outcome, ApplyOutcome::Rejected(_)),
            InstanceOutcome::InFlight { .. } => true,
            InstanceOutcome::Unreachable { .. } | InstanceOutcome::TimedOut => false,
        }
    }
}

/// Summary of the outcomes at all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Done", expecting = "struct Done")]
pub struct OrderSummary {
    /// Number of gateways that have succeeded.
    #[serde(rename = "done")]
    pub succeeded: u32,
    /// Number of gateways that are not known to have succeeded.
    pub failed: u32,
}
