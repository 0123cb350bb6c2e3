//! Messages between tools, agent and gateways: one JSON object per line, in both directions.
//!
//! Each request has an id, and each response carries the id of its request. A gateway sends one response per
//! request, in order. The agent may send several responses to one request. The last of several is
//! [`ToolResponse::Done`] or [`ToolResponse::Error`]; the events of [`ToolRequest::Watch`] go on until the
//! connection is closed.
//!
//! Names on the wire are fixed for compatibility with peers of other versions. Where a Rust name differs,
//! `#[serde(rename = ...)]` keeps the wire name. Types keep their wire names in `rename` and `expecting`,
//! because serde's error texts, which are sent to peers, contain them.

mod endpoint_list;
mod error;
mod gateway;
mod gateway_state;
mod order;
mod start;
mod tool;

use serde::{Deserialize, Serialize};

pub use endpoint_list::{
    DroppedEndpoint, EndpointListStatus, EndpointStatus, RecordStatus, UnansweredQuery, UnknownField,
};
pub use error::{ErrorCode, ErrorResponse};
pub use gateway::{Applied, GatewayRequest, GatewayResponse, OrderResult};
pub use gateway_state::{BackendState, GatewayState, GatewayStatistics};
pub use order::{InstanceOutcome, InstanceReport, LoggedOrder, OrderAccepted, OrderSummary};
pub use start::{FirstCall, FirstCallOutcome, StartInstructions};
pub use tool::{FleetStatus, GatewayBackends, GatewayStatus, ToolRequest, ToolResponse};

/// Maximum length of a line between gateway and agent, bytes. A snapshot with all registers fits.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// Maximum length of a line that the agent accepts from a tool, bytes.
pub const MAX_TOOL_LINE_BYTES: usize = 64 << 10;
/// Maximum length of an endpoint list that the agent sends to a starting gateway, bytes.
pub const MAX_START_LIST_BYTES: usize = 2 << 20;
/// Maximum number of orders in one [`GatewayRequest::Apply`].
pub const MAX_ORDERS_PER_REQUEST: usize = 512;

/// A request or a response, with the request's id.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Numbered", expecting = "struct Numbered")]
pub struct Envelope<T> {
    /// Chosen by the requester; each response carries the same id.
    #[serde(rename = "n")]
    pub request_id: u64,
    /// The request, or the response.
    #[serde(flatten)]
    pub body: T,
}
