//! Orders, their subjects and revisions.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::name::{InvalidName, Name, OrderId};

/// Minimum weight. To send a backend no work at all, it has to be drained.
pub const MIN_WEIGHT: f64 = 0.01;
/// Maximum weight.
pub const MAX_WEIGHT: f64 = 100.0;

/// Position of an order among all orders, compared by term, then by sequence number. A term has a single
/// writer, so revisions are unique; a replicated log could assign both as Raft does (Ongaro and Ousterhout
/// 2014, section 5).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Increases with each new writer.
    pub term: u64,
    /// Increases by one with each order of a term; 0 precedes the first order.
    pub seq: u64,
}

impl Revision {
    /// Returns the revision of the writer's next order.
    #[must_use]
    pub fn next(self) -> Revision {
        Revision { term: self.term, seq: self.seq + 1 }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&format!("{}.{}", self.term, self.seq))
    }
}

/// What an order applies to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// The backend with this name on the endpoint list.
    Backend(Name),
    /// All backends of a cell.
    Group(u32),
    /// All backends of an instance type.
    Type(Name),
    /// The gateway with this name.
    Gateway(Name),
}

impl Subject {
    /// Whether the subject covers a backend.
    #[must_use]
    pub fn covers(&self, name: &str, group: u32, instance_type: &str) -> bool {
        match self {
            Subject::Backend(n) => n.as_str() == name,
            Subject::Group(g) => *g == group,
            Subject::Type(t) => t.as_str() == instance_type,
            Subject::Gateway(_) => false,
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&match self {
            Subject::Backend(name) => format!("backend/{name}"),
            Subject::Group(group) => format!("group/{group}"),
            Subject::Type(instance_type) => format!("type/{instance_type}"),
            Subject::Gateway(name) => format!("gateway/{name}"),
        })
    }
}

impl FromStr for Subject {
    type Err = InvalidOrder;

    /// Parses `backend/NAME`, `group/NUMBER`, `type/NAME` or `gateway/NAME`. A bare name denotes a backend.
    fn from_str(text: &str) -> Result<Self, InvalidOrder> {
        Ok(match text.split_once('/') {
            None => Subject::Backend(text.parse()?),
            Some(("backend", name)) => Subject::Backend(name.parse()?),
            Some(("group", number)) => Subject::Group(number.parse().map_err(|_| InvalidOrder::Group)?),
            Some(("type", name)) => Subject::Type(name.parse()?),
            Some(("gateway", name)) => Subject::Gateway(name.parse()?),
            Some(_) => return Err(InvalidOrder::Subject),
        })
    }
}

/// The change that an order makes to its subject.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Sends it no new work; work in flight is completed.
    Drain,
    /// Reverses a drain of the same subject.
    Undrain,
    /// Sets its share of new work relative to backends of weight 1: [`MIN_WEIGHT`] to [`MAX_WEIGHT`].
    Weight(f64),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&match self {
            Change::Drain => "drain".to_string(),
            Change::Undrain => "undrain".to_string(),
            Change::Weight(weight) => format!("weight {weight}"),
        })
    }
}

/// An order of an operator to the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Chosen by the sender. A second order with the same id is a repetition.
    pub id: OrderId,
    /// Assigned by the writer of the log.
    pub revision: Revision,
    /// What the order applies to.
    pub subject: Subject,
    /// The change to the subject.
    pub change: Change,
}

impl Order {
    /// Checks that the order is valid.
    ///
    /// # Errors
    /// See [`InvalidOrder`].
    pub fn check(&self) -> Result<(), InvalidOrder> {
        InvalidOrder::of(&self.subject, self.change)
    }
}

/// The outcome of an order at a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[serde(rename = "Outcome", expecting = "enum Outcome")]
pub enum ApplyOutcome {
    /// The order is in effect.
    Applied,
    /// A newer order, with this revision, took precedence; nothing was changed.
    Superseded(Revision),
    /// The order was not applied, for this reason; nothing was changed.
    #[serde(rename = "refused")]
    Rejected(String),
}

/// Why an order is not valid.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidOrder {
    /// A name is invalid.
    Name(InvalidName),
    /// The cell is not a number.
    Group,
    /// The kind of subject is unknown.
    Subject,
    /// The weight is out of range.
    Weight(f64),
    /// A weight is ordered for a subject that is not a backend.
    WeightOf(Subject),
}

impl InvalidOrder {
    /// Checks the subject and the change of an order that has no id or revision yet.
    ///
    /// # Errors
    /// See [`InvalidOrder`].
    pub fn of(subject: &Subject, change: Change) -> Result<(), InvalidOrder> {
        let Change::Weight(weight) = change else { return Ok(()) };
        if !matches!(subject, Subject::Backend(_)) {
            return Err(InvalidOrder::WeightOf(subject.clone()));
        }
        if (MIN_WEIGHT..=MAX_WEIGHT).contains(&weight) {
            Ok(())
        } else {
            Err(InvalidOrder::Weight(weight))
        }
    }
}

impl From<InvalidName> for InvalidOrder {
    fn from(error: InvalidName) -> Self {
        InvalidOrder::Name(error)
    }
}

impl fmt::Display for InvalidOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidOrder::Name(error) => error.fmt(f),
            InvalidOrder::Group => write!(f, "a group is a whole number, as in group/3"),
            InvalidOrder::Subject => {
                write!(f, "a subject is NAME, backend/NAME, group/NUMBER, type/NAME or gateway/NAME")
            }
            InvalidOrder::Weight(weight) => {
                write!(f, "weight {weight}: {MIN_WEIGHT} to {MAX_WEIGHT} is wanted; for none, drain")
            }
            InvalidOrder::WeightOf(subject) => write!(f, "{subject} has no weight; a backend has"),
        }
    }
}

impl std::error::Error for InvalidOrder {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            InvalidOrder::Name(error) => Some(error),
            _ => None,
        }
    }
}
