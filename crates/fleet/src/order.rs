//! An order, its subject and its revision.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::name::{InvalidName, Name, OrderId};

/// The least weight; less is a drain, and is to be ordered as one.
pub const MIN_WEIGHT: f64 = 0.01;
/// The most weight.
pub const MAX_WEIGHT: f64 = 100.0;

/// Place of an order among all orders: by term, then by sequence. A term has one writer, so no two orders
/// share a revision; a replicated log gives both as Raft does (Ongaro and Ousterhout 2014, section 5).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// Grows with each new writer.
    pub term: u64,
    /// Grows with each order; 0 stands before all.
    pub seq: u64,
}

impl Revision {
    /// The revision of the next order of the same writer.
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

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A backend, by its name on the endpoint list.
    Backend(Name),
    /// All backends in a cell.
    Group(u32),
    /// All backends of an instance type.
    Type(Name),
    /// A gateway.
    Gateway(Name),
}

impl Subject {
    /// Whether it covers a backend.
    #[must_use]
    pub fn covers(&self, name: &str, group: u32, kind: &str) -> bool {
        match self {
            Subject::Backend(n) => n.as_str() == name,
            Subject::Group(g) => *g == group,
            Subject::Type(t) => t.as_str() == kind,
            Subject::Gateway(_) => false,
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&match self {
            Subject::Backend(name) => format!("backend/{name}"),
            Subject::Group(group) => format!("group/{group}"),
            Subject::Type(kind) => format!("type/{kind}"),
            Subject::Gateway(name) => format!("gateway/{name}"),
        })
    }
}

impl FromStr for Subject {
    type Err = InvalidOrder;

    /// Reads `backend/NAME`, `group/NUMBER`, `type/NAME` or `gateway/NAME`; a bare name is a backend's.
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

/// What an order changes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Nothing new is sent there; what is in flight is completed.
    Drain,
    /// Reverses a drain of the same subject.
    Undrain,
    /// Share of new work relative to backends of weight 1: [`MIN_WEIGHT`] to [`MAX_WEIGHT`].
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

/// An order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Chosen by whoever makes it. The same id again is a repetition.
    pub id: OrderId,
    /// Given by whoever logs orders.
    pub revision: Revision,
    /// What it is about.
    pub subject: Subject,
    /// What it changes.
    pub change: Change,
}

impl Order {
    /// Checks whether the order can be applied at all.
    ///
    /// # Errors
    /// An [`InvalidOrder`] that says why not.
    pub fn check(&self) -> Result<(), InvalidOrder> {
        InvalidOrder::of(&self.subject, self.change)
    }
}

/// The outcome of an order at a gateway.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[serde(rename = "Outcome", expecting = "enum Outcome")]
pub enum ApplyOutcome {
    /// It is in effect.
    Applied,
    /// A newer order, of this revision, is or was in effect; nothing was changed.
    Superseded(Revision),
    /// It was not applied, for this reason; nothing was changed.
    #[serde(rename = "refused")]
    Rejected(String),
}

/// What is wrong with an order.
#[derive(Clone, Debug, PartialEq)]
pub enum InvalidOrder {
    /// A name is invalid.
    Name(InvalidName),
    /// The cell is no number.
    Group,
    /// The subject is of no known kind.
    Subject,
    /// The weight is out of range.
    Weight(f64),
    /// A weight is ordered for something that is no backend.
    WeightOf(Subject),
}

impl InvalidOrder {
    /// Checks an order that has no id or revision yet.
    ///
    /// # Errors
    /// An [`InvalidOrder`].
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
