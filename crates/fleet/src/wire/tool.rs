//! Requests to the agent, from tools and from gateways that register or start, and the agent's responses.

use serde::{Deserialize, Serialize};

use super::{
    EndpointListStatus, ErrorResponse, FirstCall, GatewayState, InstanceReport, LoggedOrder, OrderAccepted,
    OrderSummary, StartInstructions,
};
use crate::desired::Register;
use crate::gateway_record::Health;
use crate::name::{Name, OrderId};
use crate::order::{Change, Revision, Subject};

/// A request to the agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
#[serde(rename = "Ask", expecting = "internally tagged enum Ask")]
pub enum ToolRequest {
    /// Logs an order and has every gateway apply it.
    Order {
        /// Chosen by the requester. A second order with the same id is a repetition and is not applied again.
        id: OrderId,
        /// What the order applies to.
        subject: Subject,
        /// The change to the subject.
        change: Change,
        /// Whether the order skips the guard and the check for unknown subjects.
        #[serde(default)]
        forced: bool,
        /// Maximum time to wait for the gateways, ms.
        deadline_ms: u64,
    },
    /// Reports the status of all gateways.
    Status {
        /// Whether to poll each gateway for its backends. The status is then followed by a
        /// [`ToolResponse::Backends`] for each gateway and by [`ToolResponse::Done`].
        #[serde(default)]
        backends: bool,
    },
    /// Lists logged orders, newest first.
    Orders {
        /// Maximum number of orders.
        #[serde(rename = "most")]
        limit: usize,
    },
    /// Polls each gateway for the work in flight at a subject.
    Inflight {
        /// A backend, a cell, an instance type or a gateway.
        subject: Subject,
        /// Maximum time to wait for the gateways, ms.
        deadline_ms: u64,
    },
    /// Reports the status of the endpoint list that the agent builds from its sources.
    Sources {
        /// Whether to include the records.
        #[serde(default)]
        records: bool,
    },
    /// Streams all events from now on, until the connection is closed.
    Watch,
    /// Registers a gateway, which the agent manages from now on.
    Register {
        /// Name of the gateway.
        name: Name,
        /// Address of its admin listener.
        address: String,
    },
    /// Requests instructions for a starting gateway.
    Start {
        /// Name of the gateway.
        name: Name,
        /// Identifies the gateway's process: a number that differs after each start; below 2^53.
        #[serde(rename = "boot")]
        incarnation: u64,
        /// Number of gateways in its fleet.
        gateways: u32,
        /// Version of the endpoint list that the gateway has, if any.
        #[serde(rename = "held")]
        held_version: Option<u64>,
    },
    /// Reports the first call of a starting gateway.
    Started {
        /// Name of the gateway.
        name: Name,
        /// Identifies the gateway's process, as in [`ToolRequest::Start`].
        #[serde(rename = "boot")]
        incarnation: u64,
        /// The call and its outcome.
        call: FirstCall,
    },
    /// Removes a registered gateway, which the agent no longer manages.
    Deregister {
        /// Name of the gateway.
        name: Name,
    },
}

/// A response of the agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[serde(rename = "Say", expecting = "enum Say")]
pub enum ToolResponse {
    /// The order is in the log.
    Accepted(OrderAccepted),
    /// The outcome of an order at one gateway.
    Instance(InstanceReport),
    /// The summary, which is the last response to its request.
    Done(OrderSummary),
    /// The status of all gateways.
    Status(FleetStatus),
    /// The backends of one gateway.
    Backends(GatewayBackends),
    /// Logged orders, newest first.
    Orders(Vec<LoggedOrder>),
    /// The work in flight at each gateway.
    Inflight(Vec<InstanceReport>),
    /// The status of the endpoint list.
    Sources(Box<EndpointListStatus>),
    /// Instructions for a starting gateway.
    Starting(StartInstructions),
    /// An event, as a line of text.
    Event(String),
    /// The request was not carried out.
    #[serde(rename = "fault")]
    Error(ErrorResponse),
}

/// The backends of one gateway, polled for this request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Seen", expecting = "struct Seen")]
pub struct GatewayBackends {
    /// Name of the gateway.
    pub gateway: String,
    /// Its state including backends, or why it could not be polled.
    pub state: Result<GatewayState, String>,
}

/// The status of all gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Status", expecting = "struct Status")]
pub struct FleetStatus {
    /// The newest revision.
    pub revision: Revision,
    /// All gateways, ordered by name.
    pub gateways: Vec<GatewayStatus>,
    /// All registers of the desired state, ordered by subject and aspect.
    pub ordered: Vec<Register>,
}

/// Status of one gateway as known to the agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "MemberState", expecting = "struct MemberState")]
pub struct GatewayStatus {
    /// Name of the gateway.
    pub name: String,
    /// Address of its admin listener.
    pub address: String,
    /// Whether it is known to have applied all orders.
    pub health: Health,
    /// The newest revision that it is known to have applied.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// Time since its last response, ms.
    #[serde(rename = "heard_ms_ago")]
    pub last_seen_ms_ago: Option<u64>,
    /// Number of observed restarts of its process.
    pub restarts: u32,
    /// The state that it reported last, without its backends.
    pub state: Option<GatewayState>,
}
