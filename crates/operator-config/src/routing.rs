//! `[routing]`: the number of backends that a gateway considers.

use serde::Deserialize;

use crate::problems::Problems;

/// Number of backends that a gateway considers. All gateways of a fleet must have the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[serde(rename = "Routing", expecting = "struct Routing")]
pub struct RoutingConfig {
    /// For endpoint lists of up to this size, all backends are considered for each request: 0 to 1,000.
    pub whole: usize,
    /// Number of backends drawn and considered for each request if the list is longer than `whole`: 1 to 64.
    pub choices: usize,
    /// Number of backends in a gateway's subset, in addition to its share of those that `coverage` requires:
    /// 1 to 100,000.
    pub subset: u32,
    /// Minimum number of gateways that have each backend in their subset, if there are that many gateways: 1
    /// to 10,000.
    pub coverage: u32,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        RoutingConfig { whole: 16, choices: 8, subset: 5, coverage: 3 }
    }
}

impl RoutingConfig {
    pub(crate) fn validate(&self, problems: &mut Problems) {
        problems.check_range("routing.whole", self.whole, 0..=1_000);
        problems.check_range("routing.choices", self.choices, 1..=64);
        problems.check_range("routing.subset", self.subset, 1..=100_000);
        problems.check_range("routing.coverage", self.coverage, 1..=10_000);
    }
}
