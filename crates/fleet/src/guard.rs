//! The guard: refuses an order that would take too much of a fleet out of service.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::desired::DesiredState;
use crate::order::{Change, Order, Subject};

/// A backend as some gateway lists it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Its group.
    pub group: u32,
    /// Its type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether discovery says that it serves.
    pub serving: bool,
}

/// What the guard counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Counts", expecting = "struct Counts")]
pub struct GuardCounts {
    /// Those that the order's subject covers.
    pub covered: u32,
    /// Those that discovery says serve, or the gateways that answer.
    pub serving: u32,
    /// Those of them that no order drains now.
    pub ready: u32,
    /// Those that none would drain after the order.
    #[serde(rename = "left")]
    pub ready_after: u32,
}

/// An order that would leave too few.
#[derive(Clone, Debug, PartialEq)]
pub struct TooFewReady {
    /// What was counted.
    pub counts: GuardCounts,
    /// How many have to be left.
    pub minimum: u32,
    /// `backends` or `gateways`.
    pub of: &'static str,
}

impl fmt::Display for TooFewReady {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let GuardCounts { serving, ready, ready_after: left, .. } = self.counts;
        let (least, of) = (self.minimum, self.of);
        write!(f, "would leave {left} of {serving} {of} ready ({ready} are now); {least} are to be left")
    }
}

impl std::error::Error for TooFewReady {}

/// Counts what an order would leave. `gateways` are the names of those that answer; `least` is the part, from
/// 0 to 1, of the serving ones that has to be left, rounded up.
///
/// Only a drain is ever refused, and one that changes nothing never is. Danger: a slip of the pen that drains
/// a whole type in the evening. Harm: in an emergency the order has to be forced.
///
/// # Errors
/// [`TooFew`], with the counts.
pub fn guard<'a>(
    desired: &DesiredState,
    order: &Order,
    backends: impl Iterator<Item = &'a Backend>,
    gateways: impl Iterator<Item = &'a str>,
    least: f64,
) -> Result<GuardCounts, TooFewReady> {
    let (mut counts, drain) = (GuardCounts::default(), order.change == Change::Drain);
    // What is left is worked out backend by backend. Danger: a copy of the whole state for each order.
    let mut count = |covered: bool, ready: bool, elsewhere: bool| {
        counts.serving += 1;
        counts.ready += u32::from(ready);
        let left = match order.change {
            Change::Undrain if covered => !elsewhere,
            _ => ready && !(covered && drain),
        };
        counts.ready_after += u32::from(left);
    };
    let mut covers = 0;
    let of = if let Subject::Gateway(named) = &order.subject {
        for name in gateways {
            let covered = name == named.as_str();
            covers += u32::from(covered);
            count(covered, desired.gateway_drained(name).is_none(), false);
        }
        "gateways"
    } else {
        for b in backends {
            let covered = order.subject.covers(&b.name, b.group, &b.kind);
            covers += u32::from(covered);
            if b.serving {
                let ready = desired.effective_state(&b.name, b.group, &b.kind).drained_by.is_none();
                let elsewhere =
                    covered && desired.drained_elsewhere(&b.name, b.group, &b.kind, &order.subject);
                count(covered, ready, elsewhere);
            }
        }
        "backends"
    };
    counts.covered = covers;
    let least = (f64::from(counts.serving) * least.clamp(0.0, 1.0)).ceil() as u32;
    if drain && counts.ready_after < counts.ready && counts.ready_after < least {
        return Err(TooFewReady { counts, minimum: least, of });
    }
    Ok(counts)
}
