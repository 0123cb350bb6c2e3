//! Plans with versions, and the customers who have them from an instant on.

use std::collections::BTreeMap;
use std::fmt;

use crate::timeline::{PlanLimits, PlanTimeline};

/// Versions of plans that a catalogue may hold.
pub const MAX_PLANS: usize = 10_000;
/// Customers that a catalogue may name, each with any number of assignments up to as many in all.
pub const MAX_CUSTOMERS: usize = 1_000_000;

/// A plan by name and version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Plan {
    /// Its name, 1 to 64 bytes.
    pub name: Box<str>,
    /// From 1; a version's terms never change.
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
    /// Unix ms; 0: since ever.
    pub from_ms: u64,
    /// The plan.
    pub plan: Plan,
}

/// What makes no catalogue.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogueError {
    /// A version's terms are not finite numbers of 0 or more.
    Terms(Plan),
    /// A version is 0, or stands there twice.
    Version(Plan),
    /// A customer is given a plan that is not there.
    NoPlan(u64, Plan),
    /// A customer has two plans from one instant.
    Twice(u64, u64),
    /// There are more than may be.
    TooMany(&'static str, usize),
}

impl fmt::Display for CatalogueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CatalogueError::Terms(plan) => write!(f, "{plan}: finite numbers of 0 or more are wanted"),
            CatalogueError::Version(plan) => {
                write!(f, "{plan}: a version from 1 that stands there once is wanted")
            }
            CatalogueError::NoPlan(customer, plan) => {
                write!(f, "customer {customer:016x}: {plan} is no plan of this catalogue")
            }
            CatalogueError::Twice(customer, from) => {
                write!(f, "customer {customer:016x}: two plans from {from} ms on")
            }
            CatalogueError::TooMany(what, most) => write!(f, "more than {most} {what}"),
        }
    }
}

impl std::error::Error for CatalogueError {}

/// All plans and who has them. One that is there is sound; it is made whole or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalogue {
    revision: u64,
    plans: BTreeMap<Plan, PlanLimits>,
    /// By customer, in the order of the instants.
    customers: BTreeMap<u64, Vec<Assignment>>,
}

impl Catalogue {
    /// Makes a catalogue.
    ///
    /// # Errors
    /// The first thing that is [`Wrong`] with it.
    pub fn new(
        revision: u64,
        plans: impl IntoIterator<Item = (Plan, PlanLimits)>,
        customers: impl IntoIterator<Item = (u64, Assignment)>,
    ) -> Result<Catalogue, CatalogueError> {
        let mut all = Catalogue { revision, ..Catalogue::default() };
        for (plan, terms) in plans {
            let numbers = [terms.rate, terms.burst, terms.ceiling_rate, terms.ceiling_burst];
            if !numbers.iter().all(|n| n.is_finite() && *n >= 0.0) {
                return Err(CatalogueError::Terms(plan));
            }
            if plan.version == 0 || all.plans.contains_key(&plan) {
                return Err(CatalogueError::Version(plan));
            }
            if all.plans.len() >= MAX_PLANS {
                return Err(CatalogueError::TooMany("versions of plans", MAX_PLANS));
            }
            all.plans.insert(plan, terms);
        }
        let mut assignments = 0;
        for (customer, assignment) in customers {
            assignments += 1;
            if assignments > MAX_CUSTOMERS {
                return Err(CatalogueError::TooMany("customers' plans", MAX_CUSTOMERS));
            }
            if !all.plans.contains_key(&assignment.plan) {
                return Err(CatalogueError::NoPlan(customer, assignment.plan));
            }
            let of = all.customers.entry(customer).or_default();
            let place = of.partition_point(|a| a.from_ms < assignment.from_ms);
            if of.get(place).is_some_and(|a| a.from_ms == assignment.from_ms) {
                return Err(CatalogueError::Twice(customer, assignment.from_ms));
            }
            of.insert(place, assignment);
        }
        Ok(all)
    }

    /// Grows with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All versions of plans, in order, with their terms.
    pub fn plans(&self) -> impl Iterator<Item = (&Plan, &PlanLimits)> {
        self.plans.iter()
    }

    /// How many customers it names.
    #[must_use]
    pub fn customers(&self) -> usize {
        self.customers.len()
    }

    /// The plan that a customer has at an instant; none if the catalogue gives it none by then.
    #[must_use]
    pub fn plan_at(&self, customer: u64, ms: u64) -> Option<&Plan> {
        let of = self.customers.get(&customer)?;
        let place = of.partition_point(|a| a.from_ms <= ms);
        place.checked_sub(1).map(|i| &of[i].plan)
    }

    /// A customer's terms over time; before the first that the catalogue gives it, `default`: what the
    /// request itself names.
    #[must_use]
    pub fn timeline(&self, customer: u64, default: PlanLimits) -> PlanTimeline {
        let of = self.customers.get(&customer).into_iter().flatten();
        of.fold(PlanTimeline::always(default), |line, a| line.then(a.from_ms, self.plans[&a.plan]))
    }
}
