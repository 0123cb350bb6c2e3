//! `[start]`: how the gateways of a fleet start together.

use serde::Deserialize;

use crate::problems::Problems;

/// How the gateways of a fleet start together before services that they share. All are to have the same
/// values.
///
/// Where each gateway has a list service of its own, this only delays updates of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Start", expecting = "struct Start")]
pub struct StartConfig {
    /// Calls that the list service takes from all gateways, calls a second: 0.1 to 10,000.
    pub list_calls_per_s: f64,
    /// First connections that one backend takes from all gateways, connections a second: 0.1 to 10,000. None:
    /// each gateway opens them as requests need them.
    pub backend_connections_per_s: Option<f64>,
    /// Calls that the shared counter takes from all gateways, calls a second: 0.1 to 1,000,000. None: each
    /// gateway makes all its calls from its start on.
    pub counter_calls_per_s: Option<f64>,
    /// Whether gateways ask the agent, [`AdminConfig::agent`](crate::AdminConfig::agent), for a turn for
    /// their first call and for the endpoint list, and the agent gives both.
    #[serde(default)]
    pub ordered_by_agent: bool,
}

impl StartConfig {
    /// `has_agent` tells whether gateways know an agent.
    pub(crate) fn validate(&self, has_agent: bool, problems: &mut Problems) {
        problems.check_range("start.list_calls_per_s", self.list_calls_per_s, 0.1..=10_000.0);
        if let Some(per_s) = self.backend_connections_per_s {
            problems.check_range("start.backend_connections_per_s", per_s, 0.1..=10_000.0);
        }
        if let Some(per_s) = self.counter_calls_per_s {
            problems.check_range("start.counter_calls_per_s", per_s, 0.1..=1_000_000.0);
        }
        if self.ordered_by_agent && !has_agent {
            let wanted = "[admin] with agent is wanted, where gateways ask for their turns";
            problems.add("start.ordered_by_agent", wanted);
        }
    }
}
