//! Requests of tools, and of gateways that register or start, to the agent, and the agent's responses.

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
    /// Log an order and have every gateway apply it.
    Order {
        /// Chosen by the requester. An order with the same id is a repetition, and not applied again.
        id: OrderId,
        /// What it is about.
        subject: Subject,
        /// What it changes.
        change: Change,
        /// Whether the guard and unknown subjects are passed over.
        #[serde(default)]
        forced: bool,
        /// How long to wait for the gateways, ms.
        deadline_ms: u64,
    },
    /// Report the status of all gateways.
    Status {
        /// Whether each gateway is to be polled for its backends. [`ToolResponse::Backends`] follows for each
        /// gateway then, and [`ToolResponse::Done`].
        #[serde(default)]
        backends: bool,
    },
    /// List the logged orders, newest first.
    Orders {
        /// How many at most.
        #[serde(rename = "most")]
        limit: usize,
    },
    /// Poll each gateway for what is in flight at a subject.
    Inflight {
        /// The subject.
        subject: Subject,
        /// How long to wait for the gateways, ms.
        deadline_ms: u64,
    },
    /// Report the status of the endpoint list that the agent makes from its sources.
    Sources {
        /// Whether to include each record.
        #[serde(default)]
        records: bool,
    },
    /// Report each event from now on, until the connection is closed.
    Watch,
    /// Oversee a gateway from now on.
    Register {
        /// Its name.
        name: Name,
        /// Its admin listener.
        address: String,
    },
    /// Instruct a gateway that starts.
    Start {
        /// Its name.
        name: Name,
        /// Its process: new with each start, below 2^53.
        #[serde(rename = "boot")]
        incarnation: u64,
        /// Gateways in its fleet.
        gateways: u32,
        /// The version of the endpoint list that it holds, if it holds one.
        #[serde(rename = "held")]
        held_version: Option<u64>,
    },
    /// Take in the outcome of the first call of a gateway that starts.
    Started {
        /// Its name.
        name: Name,
        /// Its process.
        #[serde(rename = "boot")]
        incarnation: u64,
        /// The outcome.
        call: FirstCall,
    },
    /// Oversee a gateway no more.
    Deregister {
        /// Its name.
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
    /// The outcome at one gateway.
    Instance(InstanceReport),
    /// The summary, after which no response follows.
    Done(OrderSummary),
    /// The status of all gateways.
    Status(FleetStatus),
    /// The backends of one gateway.
    Backends(GatewayBackends),
    /// Logged orders, newest first.
    Orders(Vec<LoggedOrder>),
    /// What is in flight, by gateway.
    Inflight(Vec<InstanceReport>),
    /// The status of the endpoint list.
    Sources(Box<EndpointListStatus>),
    /// Instructions for a gateway that starts.
    Starting(StartInstructions),
    /// An event.
    Event(String),
    /// Nothing was done.
    #[serde(rename = "fault")]
    Error(ErrorResponse),
}

/// The backends of one gateway, polled just now.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Seen", expecting = "struct Seen")]
pub struct GatewayBackends {
    /// The gateway.
    pub gateway: String,
    /// Its state with its backends, or why it could not be polled.
    pub state: Result<GatewayState, String>,
}

/// The status of all gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Status", expecting = "struct Status")]
pub struct FleetStatus {
    /// The newest revision.
    pub revision: Revision,
    /// Each gateway, by name.
    pub gateways: Vec<GatewayStatus>,
    /// What is ordered, by subject.
    pub ordered: Vec<Register>,
}

/// The status of one gateway, as the agent knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "MemberState", expecting = "struct MemberState")]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Its admin listener.
    pub address: String,
    /// Whether it can be relied on to have applied all orders.
    pub health: Health,
    /// The newest revision that it is known to hold.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// How long ago it last answered, ms.
    #[serde(rename = "heard_ms_ago")]
    pub last_seen_ms_ago: Option<u64>,
    /// How often its process was seen to have restarted.
    pub restarts: u32,
    /// The state that it last reported.
    pub state: Option<GatewayState>,
}
