//! Collects invalid values.

use std::fmt;
use std::ops::RangeInclusive;

/// Problems found in a file, in the order of the checks.
#[derive(Debug, Default)]
pub(crate) struct Problems {
    /// Key, such as `agent.fan_out`, and a description of the problem, for each.
    found: Vec<(String, String)>,
}

impl Problems {
    /// Adds a problem.
    pub(crate) fn add(&mut self, key: impl Into<String>, problem: impl Into<String>) {
        self.found.push((key.into(), problem.into()));
    }

    /// Adds a problem if the value is outside a range.
    pub(crate) fn check_range<T: PartialOrd + fmt::Display>(
        &mut self,
        key: &str,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            self.add(key, format!("{} to {} is wanted", range.start(), range.end()));
        }
    }

    /// Returns all problems, each as a key and a description.
    pub(crate) fn into_vec(self) -> Vec<(String, String)> {
        self.found
    }
}
