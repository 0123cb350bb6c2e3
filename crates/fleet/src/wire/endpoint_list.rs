//! The status of the endpoint list that the agent makes from its sources.

use serde::{Deserialize, Serialize};

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
