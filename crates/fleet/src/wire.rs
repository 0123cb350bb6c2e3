//! Messages between tools, agent and gateways: one JSON object a line, in both directions.
//!
//! Whoever asks numbers its questions; each answer carries the number of its question. A gateway answers
//! each question once and in order. The agent may say several things to one question; the last of them is
//! [`Say::Done`], [`Say::Fault`] or the one thing that was asked for.

use serde::{Deserialize, Serialize};

use crate::desired::Snapshot;
use crate::gateway_record::Health;
use crate::guard::GuardCounts;
use crate::name::{Name, OrderId};
use crate::order::{ApplyOutcome, Change, Order, Revision, Subject};

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

/// What a gateway can be asked.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
#[serde(rename = "GatewayAsk", expecting = "internally tagged enum GatewayAsk")]
pub enum GatewayRequest {
    /// Its state, and that of each backend if wanted.
    State {
        /// Whether each backend is wanted.
        #[serde(default)]
        backends: bool,
    },
    /// To take orders in, at most [`MAX_ORDERS_PER_REQUEST`].
    Apply {
        /// The orders.
        orders: Vec<Order>,
    },
    /// To take a whole state in.
    Adopt {
        /// The state.
        snapshot: Snapshot,
    },
    /// How many attempts are in flight at the subject.
    Inflight {
        /// A backend, a group, a type, or the gateway itself.
        subject: Subject,
    },
}

/// What a gateway answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[serde(rename = "GatewaySay", expecting = "enum GatewaySay")]
pub enum GatewayResponse {
    /// Its state.
    State(GatewayState),
    /// What became of orders or a whole state.
    Applied(Applied),
    /// Attempts in flight; requests, where the subject is a gateway.
    Inflight(u64),
    /// Nothing was done.
    #[serde(rename = "fault")]
    Error(ErrorResponse),
}

/// What became of orders at a gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Applied {
    /// The gateway's process: new with each start, below 2^53.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The newest revision that it holds.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// For each order, in their order.
    #[serde(rename = "verdicts")]
    pub results: Vec<OrderResult>,
}

/// What became of an order at a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Verdict", expecting = "struct Verdict")]
pub struct OrderResult {
    /// The order.
    pub id: OrderId,
    /// What became of it.
    pub outcome: ApplyOutcome,
    /// Backends on the gateway's list that the subject covers; 1 for the gateway itself.
    pub matched: u32,
}

/// A gateway's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayState {
    /// Its name.
    pub name: String,
    /// Version of its program.
    pub version: String,
    /// Its process: new with each start, below 2^53.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// The newest revision that it holds.
    #[serde(rename = "holds")]
    pub applied_revision: Revision,
    /// The order that was taken in last, if any was.
    pub last_order: Option<OrderId>,
    /// The order that drains the gateway itself, if any does.
    pub drained_by: Option<OrderId>,
    /// Since when a call at its second address drains it, Unix time in ms, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub drained_ms: Option<f64>,
    /// Grows with each change of a line that a backend's row below is made of, but for what is in flight.
    #[serde(rename = "list")]
    pub list_version: u64,
    /// Figures.
    #[serde(rename = "figures")]
    pub statistics: GatewayStatistics,
    /// Its backends, where they were asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backends: Option<Vec<BackendState>>,
}

/// Figures of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Figures", expecting = "struct Figures")]
pub struct GatewayStatistics {
    /// Backends on the list.
    pub listed: u32,
    /// Those that discovery says serve.
    pub serving: u32,
    /// Those that an order drains.
    pub drained: u32,
    /// Those that get no work as they failed or fell silent.
    pub ejected: u32,
    /// Those that are still warming up.
    #[serde(rename = "cold")]
    pub warming_up: u32,
    /// Those that wait for their turn for a first connection.
    #[serde(default)]
    #[serde(rename = "waiting")]
    pub awaiting_connection: u32,
    /// Requests that are owed an answer.
    pub requests: u64,
    /// Attempts in flight.
    pub in_flight: u64,
    /// Connections to backends on which nothing is in flight.
    pub idle_connections: u32,
    /// Connections of clients.
    pub client_connections: u32,
    /// Customers whose store is held.
    pub customers: u64,
    /// Stores that were dropped to make room for others.
    #[serde(default)]
    #[serde(rename = "forgotten")]
    pub evicted_customers: u64,
    /// Units that the customers of those may pass beyond their quotas.
    #[serde(default)]
    #[serde(rename = "forgotten_units")]
    pub evicted_units: u64,
}

/// A backend as a gateway sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendState {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its group.
    pub group: u32,
    /// Its type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether discovery says that it serves; else it drains.
    pub serving: bool,
    /// The order that drains it, if any does.
    pub drained_by: Option<OrderId>,
    /// Since when a call at the gateway's second address bans it, Unix time in ms, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub banned_ms: Option<f64>,
    /// The weight that is ordered; 1 without.
    pub weight: f64,
    /// Whether it gets no work as it failed or fell silent.
    pub ejected: bool,
    /// Part of its capacity that it is taken to have, 0 to 1.
    #[serde(rename = "warmth")]
    pub capacity_fraction: f64,
    /// Attempts in flight there.
    pub in_flight: u64,
}

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

/// What a gateway that starts is to do. With neither time it keeps to its slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Starting", expecting = "struct Starting")]
pub struct StartInstructions {
    /// To make its first call for the list in so long, ms, if its slot does not come before.
    pub call_in_ms: Option<f64>,
    /// Whether that call is to fetch the whole list, and [`Ask::Started`] to tell it.
    #[serde(default)]
    pub fetch: bool,
    /// To ask again in so long, ms.
    pub ask_in_ms: Option<f64>,
    /// The list, newer than the one that it holds: the text of an answer of the list service, which nobody
    /// confirms by this.
    pub list: Option<String>,
}

/// What the first call for the list of a gateway that starts came to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "FirstCall", expecting = "struct FirstCall")]
pub struct FirstCallReport {
    /// What it came to.
    #[serde(rename = "came")]
    pub outcome: FirstCallOutcome,
    /// After so long, ms.
    pub took_ms: f64,
    /// The whole list with its version, where it was to be fetched; [`MAX_START_LIST_BYTES`] bytes at most.
    pub list: Option<(u64, String)>,
}

/// What a first call came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[serde(rename = "FirstCame", expecting = "enum FirstCame")]
pub enum FirstCallOutcome {
    /// The service answered with the list, or that nothing is new.
    #[serde(rename = "told")]
    Answered,
    /// It answered that it won't.
    #[serde(rename = "turned-away")]
    Rejected,
    /// It did not answer in time.
    #[serde(rename = "silent")]
    TimedOut,
    /// No connection, or an answer that can't be read.
    Failed,
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

/// All gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Status", expecting = "struct Status")]
pub struct FleetStatus {
    /// The newest revision.
    pub revision: Revision,
    /// Each gateway, by name.
    pub gateways: Vec<GatewayStatus>,
    /// What is ordered.
    pub ordered: Vec<crate::desired::Register>,
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

/// The backends of one gateway, as it saw them just now.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Seen", expecting = "struct Seen")]
pub struct GatewayBackends {
    /// The gateway.
    pub gateway: String,
    /// Its state with its backends, or why it could not be asked.
    pub state: Result<GatewayState, String>,
}

/// The server list that is made from sources, and how it stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "ListState", expecting = "struct ListState")]
pub struct EndpointListStatus {
    /// The list, by name.
    pub list: Vec<EndpointStatus>,
    /// Instances that are not on it by what they say now.
    pub dropped: Vec<DroppedEndpoint>,
    /// Questions that go unanswered, the oldest trouble first.
    pub unanswered: Vec<UnansweredQuery>,
    /// How many are held on the list until a second answer takes them off.
    #[serde(rename = "held")]
    pub awaiting_confirmation: usize,
    /// Instances of which not all is known.
    pub pending: usize,
    /// Services of which nothing is known.
    pub unknown: usize,
    /// Questions asked since the start.
    #[serde(rename = "asked")]
    pub queries_sent: u64,
    /// Whether the list is known, and so served.
    pub known: bool,
    /// Each record that is followed, where they are wanted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<RecordStatus>,
}

/// A line of the list from sources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "ListedState", expecting = "struct ListedState")]
pub struct EndpointStatus {
    /// Its name.
    pub name: String,
    /// Where it takes work.
    pub address: String,
    /// Its tier: less is used first.
    pub priority: u16,
    /// Its weight among those of its tier.
    pub weight: u16,
    /// Its zone.
    pub zone: String,
    /// Its type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Its group.
    pub group: u32,
    /// Whether it serves; else it drains.
    pub serving: bool,
    /// When it started, Unix time in ms; 0 for long ago.
    pub since_ms: f64,
    /// For how long a record of it is stale, ms; none while all are fresh.
    pub stale_ms: Option<f64>,
}

/// Something, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Because", expecting = "struct Because")]
pub struct DroppedEndpoint {
    /// What.
    #[serde(rename = "what")]
    pub instance: String,
    /// Why.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A question that goes unanswered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Unanswered", expecting = "struct Unanswered")]
pub struct UnansweredQuery {
    /// Name and type.
    pub question: String,
    /// For how long, ms.
    pub for_ms: f64,
    /// Why it did last.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A question that is followed, and its records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "RecordState", expecting = "struct RecordState")]
pub struct RecordStatus {
    /// Name and type.
    pub question: String,
    /// How many records there are; none while it is not known.
    pub records: Option<usize>,
    /// What is left of their life, ms: below 0 where they are stale.
    #[serde(rename = "life_ms")]
    pub ttl_ms: Option<f64>,
}

/// Why nothing was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Fault", expecting = "struct Fault")]
pub struct ErrorResponse {
    /// The kind, for programs.
    pub code: ErrorCode,
    /// What is wrong and what to do, for people.
    pub message: String,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[serde(rename = "Code", expecting = "enum Code")]
pub enum ErrorCode {
    /// The message can't be read, or can't be carried out as it is.
    BadRequest,
    /// The line is longer than is taken.
    TooLong,
    /// Whoever asks may not.
    Forbidden,
    /// No gateway knows the subject.
    UnknownSubject,
    /// The guard refuses.
    TooFew,
    /// The id was used for another order.
    IdReused,
    /// Full, or about to end; worth another try.
    Unavailable,
    /// The log can't be written.
    Log,
}

impl ErrorResponse {
    /// A fault of a kind.
    pub fn new(code: ErrorCode, message: impl Into<String>) -> ErrorResponse {
        ErrorResponse { code, message: message.into() }
    }
}
