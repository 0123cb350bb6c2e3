//! Usage records, each of which is a final charge.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;

use serde::{Deserialize, Serialize};

/// Number of thousandths in a unit.
const THOUSANDTHS_PER_UNIT: i64 = 1_000;
/// Bound below which a floating-point number of units converts to thousandths exactly.
const MAX_THOUSANDTHS: f64 = 9e15;

/// Units as an integer number of thousandths, so that sums are exact and independent of the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Units(i64);

impl Units {
    /// Rounds units to the nearest thousandth. Returns `None` if they are not finite or their magnitude is
    /// 9e12 or more.
    #[must_use]
    pub fn from_f64(units: f64) -> Option<Units> {
        let thousandths = (units * THOUSANDTHS_PER_UNIT as f64).round();
        (thousandths.abs() < MAX_THOUSANDTHS).then_some(Units(thousandths as i64))
    }

    /// Returns the units in thousandths.
    #[must_use]
    pub fn thousandths(self) -> i64 {
        self.0
    }
}

impl Add for Units {
    type Output = Units;

    /// Returns the sum, which saturates instead of wrapping around. Reaching that limit takes about 1,000
    /// charges of the maximum size.
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
        let per_unit = THOUSANDTHS_PER_UNIT.unsigned_abs();
        write!(f, "{sign}{}.{:03}", thousandths / per_unit, thousandths % per_unit)
    }
}

/// Source of records: one incarnation of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Source {
    /// Name of the gateway.
    pub gateway: Box<str>,
    /// Number that is unique among the starts of the gateway.
    pub incarnation: u64,
}

/// A final charge. The order of the fields defines the stored format.
///
/// Sequence numbers of a source begin at 1. A number is missing only if its record was dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Sequence number within its source.
    pub sequence: u64,
    /// When the charge became final, Unix time in ms.
    pub at_ms: u64,
    /// The customer.
    pub customer: u64,
    /// Name of the plan.
    pub plan: Box<str>,
    /// Version of the plan; 0 if plans have none.
    pub version: u32,
    /// Class of the request, as its index in the settings.
    pub class: u16,
    /// Charged units.
    pub units: Units,
}
