//! What the agent tells of an order, and keeps of it in its log.

use serde::{Deserialize, Serialize};

use crate::guard::GuardCounts;
use crate::order::{ApplyOutcome, Order, Revision};

/// The acknowledgement of an order that is in the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Accepted", expecting = "struct Accepted")]
pub struct OrderAccepted {
    /// The order's revision.
    pub revision: Revision,
    /// Whether the id was known, so that nothing new was logged.
    pub repeated: bool,
    /// What the guard counted.
    pub counts: GuardCounts,
    /// Gateways that are to apply it.
    pub instances: u32,
}

/// An order as it is in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Logged", expecting = "struct Logged")]
pub struct LoggedOrder {
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// Whether it passed over the guard.
    pub forced: bool,
    /// When it was accepted, Unix time in ms.
    pub at_ms: u64,
    /// What the guard counted.
    pub counts: GuardCounts,
}

/// The outcome at one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Instance", expecting = "struct Instance")]
pub struct InstanceReport {
    /// Its name.
    pub gateway: String,
    /// The outcome.
    #[serde(flatten)]
    pub outcome: InstanceOutcome,
}

/// The outcome of an order, or of a count, at one gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "did", rename_all = "lowercase")]
#[serde(rename = "Did", expecting = "internally tagged enum Did")]
pub enum InstanceOutcome {
    /// It answered.
    Answered {
        /// The result there.
        outcome: ApplyOutcome,
        /// Backends on its endpoint list that the subject covers; none for a gateway that holds the order as
        /// part of the whole state.
        matched: Option<u32>,
        /// Time from the acknowledgement to its answer, ms.
        took_ms: f64,
    },
    /// It counted what is in flight.
    #[serde(rename = "counted")]
    InFlight {
        /// Attempts, or requests where the subject is a gateway.
        in_flight: u64,
    },
    /// It is unreachable. It goes on with its last orders, and gets the whole state when it is back.
    Unreachable {
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// It did not answer within the deadline.
    #[serde(rename = "late")]
    TimedOut,
}

impl InstanceOutcome {
    /// Whether the gateway is known to have applied the order, or to have counted.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        match self {
            InstanceOutcome::Answered { outcome, .. } => !matches!(outcome, ApplyOutcome::Rejected(_)),
            InstanceOutcome::InFlight { .. } => true,
            InstanceOutcome::Unreachable { .. } | InstanceOutcome::TimedOut => false,
        }
    }
}

/// The summary over all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Done", expecting = "struct Done")]
pub struct OrderSummary {
    /// Gateways that have succeeded.
    #[serde(rename = "done")]
    pub succeeded: u32,
    /// Gateways that are not known to have succeeded.
    pub failed: u32,
}
