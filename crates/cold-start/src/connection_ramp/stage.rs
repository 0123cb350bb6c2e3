//! Stages of a gateway's start.

use std::fmt;

/// Stage of a gateway's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampStage {
    /// No backend that accepts requests is known.
    Empty,
    /// Backends are known from a list that was not confirmed since the start.
    Known,
    /// The list was confirmed; some of its backends are not open yet.
    Confirmed,
    /// All backends of a confirmed list are open.
    Warm,
}

impl fmt::Display for RampStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RampStage::Empty => "empty",
            RampStage::Known => "known, not confirmed",
            RampStage::Confirmed => "confirmed",
            RampStage::Warm => "warm",
        })
    }
}
