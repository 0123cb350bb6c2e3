//! The guard: rejects an order that would take too much of a fleet out of service.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::desired::DesiredState;
use crate::name::Name;
use crate::order::{Change, Order, Subject};

/// A backend as some gateway lists it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: String,
    /// Its cell.
    pub group: u32,
    /// Its instance type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether it is serving by the endpoint list.
    pub serving: bool,
}

/// What the guard counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Counts", expecting = "struct Counts")]
pub struct GuardCounts {
    /// Backends, or gateways, that the order's subject covers.
    pub covered: u32,
    /// Backends that are serving, or gateways that answer.
    pub serving: u32,
    /// Those of them that no order drains.
    pub ready: u32,
    /// Those of them that no order would drain after this one.
    #[serde(rename = "left")]
    pub ready_after: u32,
}

/// An order would leave too few ready.
#[derive(Clone, Debug, PartialEq)]
pub struct TooFewReady {
    /// What was counted.
    pub counts: GuardCounts,
    /// How many have to be left ready.
    pub minimum: u32,
    /// `backends` or `gateways`.
    pub counted: &'static str,
}

impl fmt::Display for TooFewReady {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let GuardCounts { serving, ready, ready_after, .. } = self.counts;
        let TooFewReady { minimum, counted, .. } = self;
        write!(
            f,
            "would leave {ready_after} of {serving} {counted} ready ({ready} are now); \
             {minimum} are to be left"
        )
    }
}

impl std::error::Error for TooFewReady {}

/// What is counted is backends, or gateways where the order is on one.
const BACKENDS: &str = "backends";
const GATEWAYS: &str = "gateways";

/// Counts what an order would leave ready. `gateways` are the names of those that answer;
/// `min_ready_fraction` is the part of those serving, from 0 to 1, that has to be left ready, rounded up.
///
/// Only a drain is ever rejected, and one that changes nothing never is. The guard is there for a drain of a
/// whole instance type by mistake; in an emergency such an order has to be forced.
///
/// # Errors
/// [`TooFewReady`], with the counts.
pub fn guard<'a>(
    desired: &DesiredState,
    order: &Order,
    backends: impl Iterator<Item = &'a Backend>,
    gateways: impl Iterator<Item = &'a str>,
    min_ready_fraction: f64,
) -> Result<GuardCounts, TooFewReady> {
    let (counts, counted) = match &order.subject {
        Subject::Gateway(name) => (count_gateways(desired, order, name, gateways), GATEWAYS),
        _ => (count_backends(desired, order, backends), BACKENDS),
    };
    let minimum = (f64::from(counts.serving) * min_ready_fraction.clamp(0.0, 1.0)).ceil() as u32;
    let is_drain = order.change == Change::Drain;
    if is_drain && counts.ready_after < counts.ready && counts.ready_after < minimum {
        return Err(TooFewReady { counts, minimum, counted });
    }
    Ok(counts)
}

fn count_gateways<'a>(
    desired: &DesiredState,
    order: &Order,
    subject: &Name,
    gateways: impl Iterator<Item = &'a str>,
) -> GuardCounts {
    let mut counts = GuardCounts::default();
    for name in gateways {
        let covered = name == subject.as_str();
        counts.covered += u32::from(covered);
        let is_ready = desired.gateway_drained_by(name).is_none();
        counts.add_serving(order.change, Serving { covered, is_ready, drained_elsewhere: false });
    }
    counts
}

fn count_backends<'a>(
    desired: &DesiredState,
    order: &Order,
    backends: impl Iterator<Item = &'a Backend>,
) -> GuardCounts {
    let mut counts = GuardCounts::default();
    for Backend { name, group, kind, serving } in backends {
        let covered = order.subject.covers(name, *group, kind);
        counts.covered += u32::from(covered);
        if *serving {
            let is_ready = desired.effective_state(name, *group, kind).drained_by.is_none();
            let drained_elsewhere =
                covered && desired.is_drained_elsewhere(name, *group, kind, &order.subject);
            counts.add_serving(order.change, Serving { covered, is_ready, drained_elsewhere });
        }
    }
    counts
}

/// A backend that is serving, or a gateway that answers.
struct Serving {
    covered: bool,
    is_ready: bool,
    /// Whether an order on another subject drains it.
    drained_elsewhere: bool,
}

impl GuardCounts {
    /// What is ready after the order is derived for each alone, which needs no copy of the whole state.
    fn add_serving(&mut self, change: Change, serving: Serving) {
        let ready_after = match change {
            Change::Undrain if serving.covered => !serving.drained_elsewhere,
            Change::Drain if serving.covered => false,
            _ => serving.is_ready,
        };
        self.serving += 1;
        self.ready += u32::from(serving.is_ready);
        self.ready_after += u32::from(ready_after);
    }
}
