//! Values that don't fit.

use std::fmt;
use std::ops::RangeInclusive;

/// Collects the problems of a file, in the order of its checks.
#[derive(Debug, Default)]
pub(crate) struct Problems {
    /// Key, such as `agent.fan_out`, and what is wanted.
    found: Vec<(String, String)>,
}

impl Problems {
    /// Adds a problem.
    pub(crate) fn add(&mut self, key: impl Into<String>, wanted: impl Into<String>) {
        self.found.push((key.into(), wanted.into()));
    }

    /// Adds a problem unless the value is within a range.
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

    /// All problems found, each as key and what is wanted.
    pub(crate) fn into_vec(self) -> Vec<(String, String)> {
        self.found
    }
}
