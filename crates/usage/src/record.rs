//! A final charge.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;

use serde::{Deserialize, Serialize};

/// Thousandths of a unit in a unit.
const THOUSANDTHS: i64 = 1_000;
/// The greatest number of thousandths that a floating-point number of units gives exactly.
const MAX_THOUSANDTHS: f64 = 9e15;

/// Units in thousandths, so that sums are exact in any order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Units(i64);

impl Units {
    /// Units to the nearest thousandth; none if they are not finite or at least 9 * 10^12.
    #[must_use]
    pub fn from_f64(units: f64) -> Option<Units> {
        let thousandths = (units * THOUSANDTHS as f64).round();
        (thousandths.abs() < MAX_THOUSANDTHS).then_some(Units(thousandths as i64))
    }

    /// Thousandths of a unit.
    #[must_use]
    pub fn thousandths(self) -> i64 {
        self.0
    }
}

impl Add for Units {
    type Output = Units;

    /// The sum; it stays at the greatest number rather than wrap. That takes 1,000 of the largest charges.
    fn add(self, other: Units) -> Units {
        Units(self.0.saturating_add(other.0))
    }
}

impl Sum for Units {
    fn sum<I: Iterator<Item = Units>>(units: I) -> Units {
        units.fold(Units::default(), Add::add)
    }
}

impl fmt::Display for Units {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = if self.0 < 0 { "-" } else { "" };
        let thousandths = self.0.unsigned_abs();
        let in_a_unit = THOUSANDTHS.unsigned_abs();
        write!(f, "{sign}{}.{:03}", thousandths / in_a_unit, thousandths % in_a_unit)
    }
}

/// Who records: one incarnation of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// Name of the gateway.
    pub gateway: Box<str>,
    /// A number that no other start of it has.
    pub incarnation: u64,
}

/// A final charge. The order of the fields is the stored form.
///
/// Sequence numbers of a source begin at 1. One is missing only if its record was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Place in the sequence of its source.
    pub sequence: u64,
    /// When the charge became final, Unix time in ms.
    pub at_ms: u64,
    /// The customer.
    pub customer: u64,
    /// Name of the plan.
    pub plan: Box<str>,
    /// Version of the plan; 0 if plans have none.
    pub version: u32,
    /// Class of the request, by its place in the settings.
    pub class: u16,
    /// What was charged.
    pub units: Units,
}
