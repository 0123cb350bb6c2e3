//! Messages between tools, agent and gateways: one JSON object a line, in both directions.
//!
//! Whoever asks numbers its questions; each answer carries the number of its question. A gateway answers
//! each question once and in order. The agent may say several things to one question; the last of them is
//! [`Say::Done`], [`Say::Fault`] or the one thing that was asked for.

mod endpoint_list;
mod error;
mod gateway;
mod gateway_state;
mod order;
mod start;
mod tool;

use serde::{Deserialize, Serialize};

pub use endpoint_list::{DroppedEndpoint, EndpointListStatus, EndpointStatus, RecordStatus, UnansweredQuery};
pub use error::{ErrorCode, ErrorResponse};
pub use gateway::{Applied, GatewayRequest, GatewayResponse, OrderResult};
pub use gateway_state::{BackendState, GatewayState, GatewayStatistics};
pub use order::{InstanceOutcome, InstanceReport, LoggedOrder, OrderAccepted, OrderSummary};
pub use start::{FirstCallOutcome, FirstCallReport, StartInstructions};
pub use tool::{FleetStatus, GatewayBackends, GatewayStatus, ToolRequest, ToolResponse};

/// The longest line that a gateway or an agent takes, bytes: a snapshot of all the registers fits.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// The longest line that a person's tool may send to an agent, bytes.
pub const MAX_TOOL_LINE_BYTES: usize = 64 << 10;
/// The longest list that is handed to gateways that start, bytes.
pub const MAX_START_LIST_BYTES: usize = 2 << 20;
/// The most orders of one [`GatewayAsk::Apply`].
pub const MAX_ORDERS_PER_REQUEST: usize = 512;

/// A question with its number.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Numbered", expecting = "struct Numbered")]
pub struct Envelope<T> {
    /// Given back with the answer.
    #[serde(rename = "n")]
    pub request_id: u64,
    /// The question, or the answer.
    #[serde(flatten)]
    pub body: T,
}
