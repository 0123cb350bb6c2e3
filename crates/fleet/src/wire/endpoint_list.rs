//! Status of the endpoint list that the agent builds from DNS-SD.

use serde::{Deserialize, Serialize};

/// The endpoint list that the agent builds from its sources, and the status of the queries behind it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "ListState", expecting = "struct ListState")]
pub struct EndpointListStatus {
    /// Endpoints on the list, ordered by name.
    pub list: Vec<EndpointStatus>,
    /// Instances that are left out because of faults in their own records.
    pub dropped: Vec<DroppedEndpoint>,
    /// Unanswered queries, the longest outstanding first.
    pub unanswered: Vec<UnansweredQuery>,
    /// Number of endpoints that stay on the list until a second answer confirms their removal.
    #[serde(rename = "held")]
    pub awaiting_confirmation: usize,
    /// Number of instances some of whose records are not known yet.
    pub pending: usize,
    /// Number of services without a known record.
    pub unknown: usize,
    /// Number of queries sent since the agent started.
    #[serde(rename = "asked")]
    pub queries_sent: u64,
    /// Whether the list is known, so that the agent serves it.
    pub known: bool,
    /// All records in use, if the request asked for them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<RecordStatus>,
}

/// An endpoint on the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "ListedState", expecting = "struct ListedState")]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub name: String,
    /// Address that it listens on.
    pub address: String,
    /// Its tier; lower tiers are used first.
    pub priority: u16,
    /// Weight within the tier.
    pub weight: u16,
    /// Zone.
    pub zone: String,
    /// Instance type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Cell.
    pub group: u32,
    /// Whether it is serving; otherwise it is draining.
    pub serving: bool,
    /// Start time, Unix time in ms; 0 if it started long ago.
    pub since_ms: f64,
    /// Time for which one of its records has been stale, ms; `None` while all are fresh.
    pub stale_ms: Option<f64>,
    /// Values that its records do not state; the last known or a default value is listed for each.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unknown: Vec<UnknownField>,
}

/// A value that the records of an endpoint do not state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownField {
    /// TXT key.
    pub key: String,
    /// Why the value is unknown.
    #[serde(rename = "why")]
    pub reason: String,
}

/// An instance that is left out of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Because", expecting = "struct Because")]
pub struct DroppedEndpoint {
    /// Name of the instance.
    #[serde(rename = "what")]
    pub instance: String,
    /// Why it is left out.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A query without an answer so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Unanswered", expecting = "struct Unanswered")]
pub struct UnansweredQuery {
    /// Name and type that are queried.
    pub question: String,
    /// Time without an answer, ms.
    pub for_ms: f64,
    /// Reason of the latest failure.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A query that is repeated to keep the list current, and its records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "RecordState", expecting = "struct RecordState")]
pub struct RecordStatus {
    /// Name and type that are queried.
    pub question: String,
    /// Number of records; `None` while it is not known.
    pub records: Option<usize>,
    /// Remaining time to live, ms; negative once the records are stale.
    #[serde(rename = "life_ms")]
    pub ttl_ms: Option<f64>,
}
