//! Messages between tools, agent and gateways: one JSON object a line, in both directions.
//!
//! Each request has an id, and each response carries the id of its request. A gateway responds to each
//! request once and in order. The agent may send several responses to one request; the last of them is
//! [`ToolResponse::Done`], [`ToolResponse::Error`] or the only one.
//!
//! Names on the line differ from those here where `#[serde(rename = ...)]` says so: peers of other versions
//! read them. Renamed types also keep their old names in `rename` and `expecting`, as error texts that are
//! sent to peers hold them.

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
pub use start::{FirstCall, FirstCallOutcome, StartInstructions};
pub use tool::{FleetStatus, GatewayBackends, GatewayStatus, ToolRequest, ToolResponse};

/// The longest line that a gateway or an agent accepts, bytes: a snapshot with all registers fits.
pub const MAX_LINE_BYTES: usize = 4 << 20;
/// The longest line that an agent accepts from a tool, bytes.
pub const MAX_TOOL_LINE_BYTES: usize = 64 << 10;
/// The longest endpoint list that is handed to gateways that start, bytes.
pub const MAX_START_LIST_BYTES: usize = 2 << 20;
/// The most orders in one [`GatewayRequest::Apply`].
pub const MAX_ORDERS_PER_REQUEST: usize = 512;

/// A request or a response, with the id of the request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Numbered", expecting = "struct Numbered")]
pub struct Envelope<T> {
    /// Chosen by the requester, and repeated in each response.
    #[serde(rename = "n")]
    pub request_id: u64,
    /// The request, or the response.
    #[serde(flatten)]
    pub body: T,
}
