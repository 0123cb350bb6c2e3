//! `[start]`: coordinated start of the gateways of a fleet.

use serde::Deserialize;

use crate::problems::Problems;

/// Limits on the load that the gateways of a fleet together put on shared services when they start. All
/// gateways must have the same values.
///
/// If each gateway has a list service of its own, these settings only delay updates of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Start", expecting = "struct Start")]
pub struct StartConfig {
    /// Rate of calls that the list service accepts from all gateways, calls per second: 0.1 to 10,000.
    pub list_calls_per_s: f64,
    /// Rate of first connections that one backend accepts from all gateways, connections per second: 0.1 to
    /// 10,000. `None`: each gateway opens connections as requests need them.
    pub backend_connections_per_s: Option<f64>,
    /// Rate of calls that the shared counter accepts from all gateways, calls per second: 0.1 to 1,000,000.
    /// `None`: each gateway makes all its calls from its start on.
    pub counter_calls_per_s: Option<f64>,
    /// Whether gateways get the slot of their first call and the endpoint list from the agent at
    /// [`AdminConfig::agent`](crate::AdminConfig::agent).
    #[serde(default)]
    pub ordered_by_agent: bool,
}

impl StartConfig {
    /// Checks the values. `has_agent` states whether gateways have the address of an agent.
    pub(crate) fn validate(&self, has_agent: bool, problems: &mut Problems) {
        problems.check_range("start.list_calls_per_s", self.list_calls_per_s, 0.1..=10_000.0);
        if let Some(per_s) = self.backend_connections_per_s {
            problems.check_range("start.backend_connections_per_s", per_s, 0.1..=10_000.0);
        }
        if let Some(per_s) = self.counter_calls_per_s {
            problems.check_range("start.counter_calls_per_s", per_s, 0.1..=1_000_000.0);
        }
        if self.ordered_by_agent && !has_agent {
            let problem = "[admin] with agent is wanted, where gateways ask for their turns";
            problems.add("start.ordered_by_agent", problem);
        }
    }
}
