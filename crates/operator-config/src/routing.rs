//! `[routing]`: how many backends a gateway considers.

use serde::Deserialize;

use crate::problems::Problems;

/// How many backends a gateway considers. All gateways of a fleet are to have the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[serde(rename = "Routing", expecting = "struct Routing")]
pub struct RoutingConfig {
    /// Endpoint lists of up to so many backends are considered whole for each request: 0 to 1,000.
    pub whole: usize,
    /// So many are drawn and considered where there are more: 1 to 64.
    pub choices: usize,
    /// Backends in a gateway's subset, in addition to its part of those that `coverage` calls for: 1 to
    /// 100,000.
    pub subset: u32,
    /// Gateways that have each backend in their subset, where there are as many: 1 to 10,000.
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
