//! How far a gateway has come.

use std::fmt;

/// How far a gateway has come since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampStage {
    /// It knows no backend that takes work.
    Empty,
    /// It knows backends by a list that was not confirmed since the start.
    Known,
    /// The list was confirmed; some of its backends are not open.
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
