//! What the agent tells of an order, and keeps of it in its log.

use serde::{Deserialize, Serialize};

use crate::guard::GuardCounts;
use crate::order::{ApplyOutcome, Order, Revision};

/// An order that is written down.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Accepted", expecting = "struct Accepted")]
pub struct OrderAccepted {
    /// Its place among all orders.
    pub revision: Revision,
    /// The id was known: this is the first result, and nothing was done.
    pub repeated: bool,
    /// What the guard counted.
    pub counts: GuardCounts,
    /// Gateways that are to carry it out.
    pub instances: u32,
}

/// An order as it was written down.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Logged", expecting = "struct Logged")]
pub struct LoggedOrder {
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// Whether it passed over the guard.
    pub forced: bool,
    /// When, Unix time in ms.
    pub at_ms: u64,
    /// What the guard counted.
    pub counts: GuardCounts,
}

/// What one gateway did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Instance", expecting = "struct Instance")]
pub struct InstanceReport {
    /// Its name.
    pub gateway: String,
    /// What it did.
    #[serde(flatten)]
    pub outcome: InstanceOutcome,
}

/// What a gateway did with an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "did", rename_all = "lowercase")]
#[serde(rename = "Did", expecting = "internally tagged enum Did")]
pub enum InstanceOutcome {
    /// It answered.
    Answered {
        /// What became of the order there; none for a gateway that caught up by the whole state.
        outcome: ApplyOutcome,
        /// Backends on its list that the subject covers, where it said so.
        matched: Option<u32>,
        /// From the writing down to its answer, ms.
        took_ms: f64,
    },
    /// It answered how much is in flight.
    #[serde(rename = "counted")]
    InFlight {
        /// Attempts, or requests where the subject is a gateway.
        in_flight: u64,
    },
    /// It can't be reached. It goes on with its last orders, and gets the whole state when it is back.
    Unreachable {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
    /// It did not answer within the deadline.
    #[serde(rename = "late")]
    TimedOut,
}

impl InstanceOutcome {
    /// Whether the gateway is known to have done it.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        match self {
            InstanceOutcome::Answered { outcome, .. } => !matches!(outcome, ApplyOutcome::Rejected(_)),
            InstanceOutcome::InFlight { .. } => true,
            InstanceOutcome::Unreachable { .. } | InstanceOutcome::TimedOut => false,
        }
    }
}

/// The end of what is said about an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Done", expecting = "struct Done")]
pub struct OrderSummary {
    /// Gateways that did it.
    #[serde(rename = "done")]
    pub succeeded: u32,
    /// Gateways that are not known to have done it.
    pub failed: u32,
}
