//! The status of the endpoint list that the agent makes from its sources.

use serde::{Deserialize, Serialize};

/// The endpoint list that is made from sources, and its status.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "ListState", expecting = "struct ListState")]
pub struct EndpointListStatus {
    /// The list, by name.
    pub list: Vec<EndpointStatus>,
    /// Instances that are not on it because of their own records.
    pub dropped: Vec<DroppedEndpoint>,
    /// Queries that go unanswered, the oldest first.
    pub unanswered: Vec<UnansweredQuery>,
    /// Endpoints that stay on the list until a second answer confirms their removal.
    #[serde(rename = "held")]
    pub awaiting_confirmation: usize,
    /// Instances some of whose records are not known yet.
    pub pending: usize,
    /// Services with no known record.
    pub unknown: usize,
    /// Queries sent since the start.
    #[serde(rename = "asked")]
    pub queries_sent: u64,
    /// Whether the list is known, and so served.
    pub known: bool,
    /// Each record that is followed, if they were requested.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<RecordStatus>,
}

/// An endpoint on the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "ListedState", expecting = "struct ListedState")]
pub struct EndpointStatus {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its tier; lower ones are used first.
    pub priority: u16,
    /// Its weight within the tier.
    pub weight: u16,
    /// Its zone.
    pub zone: String,
    /// Its instance type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Its cell.
    pub group: u32,
    /// Whether it is serving; otherwise it is draining.
    pub serving: bool,
    /// When it started, Unix time in ms; 0 for long ago.
    pub since_ms: f64,
    /// For how long one of its records has been stale, ms; none while all are fresh.
    pub stale_ms: Option<f64>,
}

/// An instance that is not on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Because", expecting = "struct Because")]
pub struct DroppedEndpoint {
    /// Its name.
    #[serde(rename = "what")]
    pub instance: String,
    /// Why it is not.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A query that goes unanswered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Unanswered", expecting = "struct Unanswered")]
pub struct UnansweredQuery {
    /// Name and type.
    pub question: String,
    /// For how long it has, ms.
    pub for_ms: f64,
    /// The latest reason.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A query that is followed, and its records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "RecordState", expecting = "struct RecordState")]
pub struct RecordStatus {
    /// Name and type.
    pub question: String,
    /// How many records there are; none while that is not known.
    pub records: Option<usize>,
    /// What remains of their time to live, ms; negative once they are stale.
    #[serde(rename = "life_ms")]
    pub ttl_ms: Option<f64>,
}
