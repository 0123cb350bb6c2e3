//! Coordinated start: instructions to starting gateways, and reports of their first call to the list service.

use serde::{Deserialize, Serialize};

/// Instructions for a starting gateway. Without a time in them, the gateway uses its own slots.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Starting", expecting = "struct Starting")]
pub struct StartInstructions {
    /// Delay of the first call for the endpoint list, ms, unless the gateway's slot comes earlier.
    pub call_in_ms: Option<f64>,
    /// Whether that call has to fetch the whole list, and
    /// [`ToolRequest::Started`](super::ToolRequest::Started) has to carry it.
    #[serde(default)]
    pub fetch: bool,
    /// Delay after which the gateway has to request instructions again, ms.
    pub ask_in_ms: Option<f64>,
    /// A newer list than the gateway has: the body of a response of the list service, forwarded without
    /// validation.
    pub list: Option<String>,
}

/// The first call of a starting gateway for the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FirstCall {
    /// The outcome.
    #[serde(rename = "came")]
    pub outcome: FirstCallOutcome,
    /// Duration of the call, ms.
    pub took_ms: f64,
    /// Version and text of the whole list, if the instructions said to fetch it; at most
    /// [`MAX_START_LIST_BYTES`](super::MAX_START_LIST_BYTES) bytes.
    pub list: Option<(u64, String)>,
}

/// Outcome of the first call to the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[serde(rename = "FirstCame", expecting = "enum FirstCame")]
pub enum FirstCallOutcome {
    /// The service responded with the list, or that it is unchanged.
    #[serde(rename = "told")]
    Answered,
    /// The service rejected the call.
    #[serde(rename = "turned-away")]
    Rejected,
    /// The service did not respond within the timeout.
    #[serde(rename = "silent")]
    TimedOut,
    /// There was no connection, or the response was malformed.
    Failed,
}
