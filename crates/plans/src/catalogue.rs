//! Plans with versions, and which customer has which plan from when on.

use std::collections::BTreeMap;
use std::fmt;

use crate::timeline::{PlanLimits, PlanTimeline};

/// The most versions of plans in a catalogue.
pub const MAX_PLANS: usize = 10_000;
/// The most assignments of plans to customers in a catalogue.
pub const MAX_CUSTOMERS: usize = 1_000_000;

/// A version of a plan.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Plan {
    /// Name of the plan, 1 to 64 bytes.
    pub name: Box<str>,
    /// From 1. The limits of a version never change.
    pub version: u32,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} version {}", self.name, self.version)
    }
}

/// A customer's plan from an instant on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Unix time in ms; 0: always.
    pub from_ms: u64,
    /// The plan.
    pub plan: Plan,
}

/// Why there is no such catalogue.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueError {
    /// The limits of a version are not finite numbers of 0 or more.
    InvalidLimits(Plan),
    /// A version is 0 or stands there twice.
    InvalidVersion(Plan),
    /// A customer has a plan that is not in the catalogue.
    UnknownPlan {
        /// The customer.
        customer: u64,
        /// The plan.
        plan: Plan,
    },
    /// A customer has two plans from one instant on.
    TwoPlans {
        /// The customer.
        customer: u64,
        /// The instant, Unix time in ms.
        from_ms: u64,
    },
    /// There are too many of something.
    TooMany {
        /// Of what.
        what: &'static str,
        /// The most that there may be.
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

/// All plans and which customer has which. Every catalogue is valid as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    revision: u64,
    plans: BTreeMap<Plan, PlanLimits>,
    /// By customer, in the order of their instants.
    assignments: BTreeMap<u64, Vec<Assignment>>,
}

impl Catalogue {
    /// Makes a catalogue.
    ///
    /// # Errors
    /// A [`CatalogueError`] for the first thing that is wrong.
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
        let of_customer = self.assignments.entry(customer).or_default();
        let index = of_customer.partition_point(|other| other.from_ms < from_ms);
        if of_customer.get(index).is_some_and(|other| other.from_ms == from_ms) {
            return Err(CatalogueError::TwoPlans { customer, from_ms });
        }
        of_customer.insert(index, assignment);
        Ok(())
    }

    /// Grows with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All versions of plans with their limits, in order.
    pub fn plans(&self) -> impl Iterator<Item = (&Plan, &PlanLimits)> {
        self.plans.iter()
    }

    /// How many customers have a plan.
    #[must_use]
    pub fn customers(&self) -> usize {
        self.assignments.len()
    }

    /// The plan of a customer at an instant, Unix time in ms; none if the catalogue gives it none by then.
    #[must_use]
    pub fn plan_at(&self, customer: u64, at_ms: u64) -> Option<&Plan> {
        let of_customer = self.assignments.get(&customer)?;
        let started = of_customer.partition_point(|assignment| assignment.from_ms <= at_ms);
        started.checked_sub(1).map(|last| &of_customer[last].plan)
    }

    /// A customer's limits over time. Before the first plan that the catalogue gives it they are `default`,
    /// as the request itself names them.
    #[must_use]
    pub fn timeline(&self, customer: u64, default: PlanLimits) -> PlanTimeline {
        let mut timeline = PlanTimeline::always(default);
        for assignment in self.assignments.get(&customer).into_iter().flatten() {
            timeline = timeline.then(assignment.from_ms, self.plans[&assignment.plan]);
        }
        timeline
    }
}
