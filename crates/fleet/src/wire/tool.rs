//! Requests of tools, and of gateways that register or start, to the agent, and the agent's responses.

use serde::{Deserialize, Serialize};

use super::{
    EndpointListStatus, ErrorResponse, FirstCallReport, GatewayState, InstanceReport, LoggedOrder,
    OrderAccepted, OrderSummary, StartInstructions,
};
use crate::desired::Register;
use crate::gateway_record::Health;
use crate::name::{Name, OrderId};
use crate::order::{Change, Revision, Subject};

/// What an agent can be asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
#[serde(rename = "Ask", expecting = "internally tagged enum Ask")]
pub enum ToolRequest {
    /// To write an order down and have every gateway carry it out.
    Order {
        /// Given by whoever makes it. The same id again gives the first result.
        id: OrderId,
        /// Whom it is about.
        subject: Subject,
        /// What it changes.
        change: Change,
        /// Whether the guard and unknown subjects are passed over.
        #[serde(default)]
        forced: bool,
        /// How long to wait for the gateways, ms.
        deadline_ms: u64,
    },
    /// All gateways; and each one's backends, asked afresh, if wanted.
    Status {
        /// Whether backends are wanted. Then [`Say::Backends`] follows for each gateway, and [`Say::Done`].
        #[serde(default)]
        backends: bool,
    },
    /// The orders written down, newest first.
    Orders {
        /// How many.
        #[serde(rename = "most")]
        limit: usize,
    },
    /// What is in flight at a subject, gateway by gateway, asked afresh.
    Inflight {
        /// The subject.
        subject: Subject,
        /// How long to wait for the gateways, ms.
        deadline_ms: u64,
    },
    /// The server list that the agent makes from its sources.
    Sources {
        /// Whether each record is wanted.
        #[serde(default)]
        records: bool,
    },
    /// Every change from now on, until the line is closed.
    Watch,
    /// To oversee a gateway from now on.
    Register {
        /// Its name.
        name: Name,
        /// Its admin listener.
        address: String,
    },
    /// What to do, by a gateway that starts.
    Start {
        /// Its name.
        name: Name,
        /// Its process: new with each start, below 2^53.
        #[serde(rename = "boot")]
        incarnation: u64,
        /// Gateways of its fleet.
        gateways: u32,
        /// The version of the list that it holds.
        #[serde(rename = "held")]
        held_version: Option<u64>,
    },
    /// To hear what the first call for the list of one that starts came to.
    Started {
        /// Its name.
        name: Name,
        /// Its process.
        #[serde(rename = "boot")]
        incarnation: u64,
        /// What it came to.
        call: FirstCallReport,
    },
    /// To oversee a gateway no more.
    Deregister {
        /// Its name.
        name: Name,
    },
}

/// What an agent says.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[serde(rename = "Say", expecting = "enum Say")]
pub enum ToolResponse {
    /// The order is written down for good.
    Accepted(OrderAccepted),
    /// What one gateway did.
    Instance(InstanceReport),
    /// All has been said about the order.
    Done(OrderSummary),
    /// All gateways.
    Status(FleetStatus),
    /// The backends of one gateway.
    Backends(GatewayBackends),
    /// Orders, newest first.
    Orders(Vec<LoggedOrder>),
    /// What is in flight, by gateway.
    Inflight(Vec<InstanceReport>),
    /// The server list from sources.
    Sources(Box<EndpointListStatus>),
    /// What a gateway that starts is to do.
    Starting(StartInstructions),
    /// Something changed.
    Event(String),
    /// Nothing was done.
    #[serde(rename = "fault")]
    Error(ErrorResponse),
}

/// The backends of one gateway, as it saw them just now.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Seen", expecting = "struct Seen")]
pub struct GatewayBackends {
    /// The gateway.
    pub gateway: String,
    /// Its state with its backends, or why it could not be asked.
    pub state: Result<GatewayState, String>,
}

/// All gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Status", expecting = "struct Status")]
pub struct FleetStatus {
    /// The newest revision.
    pub revision: Revision,
    /// Each gateway, by name.
    pub gateways: Vec<GatewayStatus>,
    /// What is ordered.
    pub ordered: Vec<Register>,
}

/// A gateway as the agent knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "MemberState", expecting = "struct MemberState")]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Its admin listener.
    pub address: String,
    /// Whether it can be relied on.
    pub health: Health,
    /// The newest revision that it was heard to hold.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// When it was last heard, ms ago.
    #[serde(rename = "heard_ms_ago")]
    pub last_seen_ms_ago: Option<u64>,
    /// How often it was seen to have started anew.
    pub restarts: u32,
    /// What it last told.
    pub state: Option<GatewayState>,
}
