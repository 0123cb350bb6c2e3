//! Instructions to gateways that start, and reports of their first calls for the endpoint list.

use serde::{Deserialize, Serialize};

/// Instructions for a gateway that starts. Without a time in them it keeps to its slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Starting", expecting = "struct Starting")]
pub struct StartInstructions {
    /// Make the first call for the endpoint list after so long, ms, unless the slot comes earlier.
    pub call_in_ms: Option<f64>,
    /// Whether that call is to fetch the whole list, and
    /// [`ToolRequest::Started`](super::ToolRequest::Started) is to carry it.
    #[serde(default)]
    pub fetch: bool,
    /// Ask again after so long, ms.
    pub ask_in_ms: Option<f64>,
    /// A newer list than the one that it holds: the text of an answer of the list service. It is handed on
    /// unchecked.
    pub list: Option<String>,
}

/// The outcome of the first call for the endpoint list of a gateway that starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FirstCall {
    /// The outcome.
    #[serde(rename = "came")]
    pub outcome: FirstCallOutcome,
    /// How long it took, ms.
    pub took_ms: f64,
    /// The whole list with its version, if it was to be fetched;
    /// [`MAX_START_LIST_BYTES`](super::MAX_START_LIST_BYTES) bytes at most.
    pub list: Option<(u64, String)>,
}

/// The outcome of a first call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[serde(rename = "FirstCame", expecting = "enum FirstCame")]
pub enum FirstCallOutcome {
    /// The service answered with the list, or that it has not changed.
    #[serde(rename = "told")]
    Answered,
    /// It rejected the call.
    #[serde(rename = "turned-away")]
    Rejected,
    /// It did not answer in time.
    #[serde(rename = "silent")]
    TimedOut,
    /// No connection, or a malformed answer.
    Failed,
}
