//! The guard: rejects orders that would take too large a part of the fleet out of service.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::desired::DesiredState;
use crate::name::Name;
use crate::order::{Change, Order, Subject};

/// A backend as listed by a gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Backend {
    /// Name on the endpoint list.
    pub name: String,
    /// Cell of the backend.
    pub group: u32,
    /// Instance type.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether the endpoint list says that it is serving.
    pub serving: bool,
}

/// Numbers of backends, or of gateways, before and after an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Counts", expecting = "struct Counts")]
pub struct GuardCounts {
    /// Backends, or gateways, that the subject of the order covers.
    pub covered: u32,
    /// Backends that are serving, or gateways that are reachable.
    pub serving: u32,
    /// Those of `serving` that no order drains.
    pub ready: u32,
    /// Those of `serving` that would not be drained after this order.
    #[serde(rename = "left")]
    pub ready_after: u32,
}

/// An order would leave too few backends or gateways ready.
#[derive(Clone, Debug, PartialEq)]
pub struct TooFewReady {
    /// The numbers that the decision is based on.
    pub counts: GuardCounts,
    /// Minimum number that has to stay ready.
    pub minimum: u32,
    /// What was counted: `backends` or `gateways`.
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

const BACKENDS: &str = "backends";
const GATEWAYS: &str = "gateways";

/// Counts the backends that an order would leave ready, or the gateways if its subject is a gateway.
///
/// `gateways` are the names of the reachable gateways. `min_ready_fraction`, from 0 to 1, is the part of the
/// serving ones that has to stay ready; the resulting number is rounded up.
///
/// Only drains are rejected, and a drain that changes nothing never is. The guard protects against mistakes
/// such as a drain of a whole instance type; in an emergency, such an order has to be forced.
///
/// # Errors
/// [`TooFewReady`] if fewer than the minimum would stay ready.
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
        counts.add_serving(order.change, Serving { covered, is_ready, drained_by_other: false });
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
            let drained_by_other = covered && desired.is_drained_by_other(name, *group, kind, &order.subject);
            counts.add_serving(order.change, Serving { covered, is_ready, drained_by_other });
        }
    }
    counts
}

/// A backend that is serving, or a gateway that is reachable.
struct Serving {
    covered: bool,
    is_ready: bool,
    /// Whether an order on another subject drains it.
    drained_by_other: bool,
}

impl GuardCounts {
    /// Counts one backend or gateway. Whether it is ready after the order is derived from its own state, so
    /// that no copy of the desired state is needed.
    fn add_serving(&mut self, change: Change, serving: Serving) {
        let ready_after = match change {
            Change::Undrain if serving.covered => !serving.drained_by_other,
            Change::Drain if serving.covered => false,
            _ => serving.is_ready,
        };
        self.serving += 1;
        self.ready += u32::from(serving.is_ready);
        self.ready_after += u32::from(ready_after);
    }
}
