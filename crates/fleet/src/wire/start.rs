//! Instructions to gateways that start, and reports of their first calls for the endpoint list.

use serde::{Deserialize, Serialize};

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
