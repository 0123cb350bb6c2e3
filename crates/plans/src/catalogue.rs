//! Versioned plans and the assignments of plans to customers.

use std::collections::BTreeMap;
use std::fmt;

use crate::timeline::{PlanLimits, PlanTimeline};

/// Maximum number of plan versions in a catalogue.
pub const MAX_PLANS: usize = 10_000;
/// Maximum number of assignments of plans to customers in a catalogue.
pub const MAX_CUSTOMERS: usize = 1_000_000;

/// A version of a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Plan {
    /// Name of the plan, 1 to 64 bytes.
    pub name: Box<str>,
    /// Version, from 1. The limits of a version never change.
    pub version: u32,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} version {}", self.name, self.version)
    }
}

/// Assignment of a plan to a customer from an instant on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Start, Unix time in ms; 0 if the plan applies at all times before the next assignment.
    pub from_ms: u64,
    /// The plan version.
    pub plan: Plan,
}

/// Reason for which a catalogue is invalid.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueError {
    /// A limit of this plan version is negative or not finite.
    InvalidLimits(Plan),
    /// The version is 0, or the catalogue has it twice.
    InvalidVersion(Plan),
    /// A customer is assigned a plan version that is not in the catalogue.
    UnknownPlan {
        /// The customer.
        customer: u64,
        /// The plan.
        plan: Plan,
    },
    /// A customer is assigned two plans from the same instant on.
    TwoPlans {
        /// The customer.
        customer: u64,
        /// The instant, Unix time in ms.
        from_ms: u64,
    },
    /// The catalogue has too many entries.
    TooMany {
        /// Kind of the entries.
        what: &'static str,
        /// Maximum number of them.
        max: usize,
    },
}

impl fmt::Display for CatalogueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CatalogueError::InvalidLimits(plan) => {
                write!(f, "{plan}: finite numbers of 0 or more are wanted")
            }
            CatalogueError::InvalidVersion(plan) => {
                write!(f, "{plan}: a version from 1 that stands there once is wanted")
            }
            CatalogueError::UnknownPlan { customer, plan } => {
                write!(f, "customer {customer:016x}: {plan} is no plan of this catalogue")
            }
            CatalogueError::TwoPlans { customer, from_ms } => {
                write!(f, "customer {customer:016x}: two plans from {from_ms} ms on")
            }
            CatalogueError::TooMany { what, max } => write!(f, "more than {max} {what}"),
        }
    }
}

impl std::error::Error for CatalogueError {}

/// All plans and their assignments to customers. A catalogue is always valid.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    revision: u64,
    plans: BTreeMap<Plan, PlanLimits>,
    /// Assignments by customer, ordered by start.
    assignments: BTreeMap<u64, Vec<Assignment>>,
}

impl Catalogue {
    /// Creates a catalogue from plans and assignments.
    ///
    /// # Errors
    /// A [`CatalogueError`] for the first invalid entry.
    pub fn new(
        revision: u64,
        plans: impl IntoIterator<Item = (Plan, PlanLimits)>,
        assignments: impl IntoIterator<Item = (u64, Assignment)>,
    ) -> Result<Catalogue, CatalogueError> {
        let mut catalogue = Catalogue { revision, ..Catalogue::default() };
        for (plan, limits) in plans {
            catalogue.add_plan(plan, limits)?;
        }
        for (count, (customer, assignment)) in assignments.into_iter().enumerate() {
            if count >= MAX_CUSTOMERS {
                return Err(CatalogueError::TooMany { what: "customers' plans", max: MAX_CUSTOMERS });
            }
            catalogue.add_assignment(customer, assignment)?;
        }
        Ok(catalogue)
    }

    fn add_plan(&mut self, plan: Plan, limits: PlanLimits) -> Result<(), CatalogueError> {
        if !limits.is_valid() {
            return Err(CatalogueError::InvalidLimits(plan));
        }
        if plan.version == 0 || self.plans.contains_key(&plan) {
            return Err(CatalogueError::InvalidVersion(plan));
        }
        if self.plans.len() >= MAX_PLANS {
            return Err(CatalogueError::TooMany { what: "versions of plans", max: MAX_PLANS });
        }
        self.plans.insert(plan, limits);
        Ok(())
    }

    fn add_assignment(&mut self, customer: u64, assignment: Assignment) -> Result<(), CatalogueError> {
        if !self.plans.contains_key(&assignment.plan) {
            return Err(CatalogueError::UnknownPlan { customer, plan: assignment.plan });
        }
        let from_ms = assignment.from_ms;
        let customer_assignments = self.assignments.entry(customer).or_default();
        let index = customer_assignments.partition_point(|other| other.from_ms < from_ms);
        if customer_assignments.get(index).is_some_and(|other| other.from_ms == from_ms) {
            return Err(CatalogueError::TwoPlans { customer, from_ms });
        }
        customer_assignments.insert(index, assignment);
        Ok(())
    }

    /// Returns the revision, which increases with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all plan versions with their limits, in order.
    pub fn plans(&self) -> impl Iterator<Item = (&Plan, &PlanLimits)> {
        self.plans.iter()
    }

    /// Returns the number of customers with an assigned plan.
    #[must_use]
    pub fn customers(&self) -> usize {
        self.assignments.len()
    }

    /// Returns the plan of a customer at an instant, Unix time in ms; `None` if no plan is assigned by then.
    #[must_use]
    pub fn plan_at(&self, customer: u64, at_ms: u64) -> Option<&Plan> {
        let customer_assignments = self.assignments.get(&customer)?;
        let started = customer_assignments.partition_point(|assignment| assignment.from_ms <= at_ms);
        started.checked_sub(1).map(|last| &customer_assignments[last].plan)
    }

    /// Returns a customer's limits over time. Before the first assignment they are `default`, the limits that
    /// the request itself states.
    #[must_use]
    pub fn timeline(&self, customer: u64, default: PlanLimits) -> PlanTimeline {
        let mut timeline = PlanTimeline::always(default);
        for assignment in self.assignments.get(&customer).into_iter().flatten() {
            timeline = timeline.then(assignment.from_ms, self.plans[&assignment.plan]);
        }
        timeline
    }
}
