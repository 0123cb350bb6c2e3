//! The catalogue file, which operators write in TOML. It is read completely or rejected; the error lists all
//! faults with line and key.

use std::fmt;
use std::ops::Range;

use jiff::Timestamp;
use serde::Deserialize;
use toml::Spanned;

use crate::catalogue::{Assignment, Catalogue, CatalogueError, Plan};
use crate::timeline::PlanLimits;

/// Maximum length of a plan name, bytes.
const MAX_NAME_BYTES: usize = 64;
/// Number of hex digits of a customer id.
const CUSTOMER_ID_DIGITS: usize = 16;
/// Upper bound of customer ids (exclusive).
const CUSTOMER_LIMIT: u64 = 1 << 33;
/// Span of a fault that concerns the whole file.
const WHOLE_FILE: Range<usize> = 0..0;

// The names of these structs appear in error texts of the parser, which operators read.

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    revision: u64,
    #[serde(default, rename = "plan")]
    plans: Vec<Spanned<PlanLine>>,
    #[serde(default, rename = "customer")]
    customers: Vec<Spanned<CustomerLine>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanLine {
    name: Spanned<String>,
    version: Spanned<u32>,
    rate: Spanned<f64>,
    burst: Spanned<f64>,
    #[serde(default)]
    ceiling_rate: Option<Spanned<f64>>,
    #[serde(default)]
    ceiling_burst: Option<Spanned<f64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CustomerLine {
    id: Spanned<String>,
    plan: Spanned<String>,
    #[serde(default)]
    version: Option<Spanned<u32>>,
    #[serde(default)]
    from: Option<Spanned<String>>,
}

/// A fault in a catalogue file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFault {
    /// Line, from 1; 0 if the parser reports no position.
    pub line: usize,
    /// Key, such as `customer.from`; empty if the fault has none.
    pub key: String,
    /// Description of the fault or of the valid values.
    pub problem: String,
}

/// Error for an invalid catalogue file; contains all faults, ordered by line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogueFileError(pub Vec<FileFault>);

impl fmt::Display for CatalogueFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, FileFault { line, key, problem }) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            match key.as_str() {
                "" => write!(f, "{separator}line {line}: {problem}")?,
                key => write!(f, "{separator}line {line}: {key}: {problem}")?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for CatalogueFileError {}

/// Collects the faults of a file.
struct FaultCollector<'a> {
    text: &'a str,
    faults: Vec<FileFault>,
}

impl FaultCollector<'_> {
    /// Returns the line in which a span begins.
    fn line_of(&self, span: &Range<usize>) -> usize {
        let before = self.text.as_bytes().get(..span.start).unwrap_or_default();
        1 + before.iter().filter(|byte| **byte == b'\n').count()
    }

    fn add(&mut self, span: &Range<usize>, key: &str, problem: impl Into<String>) {
        let line = self.line_of(span);
        self.faults.push(FileFault { line, key: key.to_string(), problem: problem.into() });
    }

    /// Returns a number. Adds a fault if it is negative or not finite.
    fn check_number(&mut self, value: &Spanned<f64>, key: &str) -> f64 {
        let number = *value.get_ref();
        if !(number.is_finite() && number >= 0.0) {
            self.add(&value.span(), key, format!("{number} is no finite number of 0 or more"));
        }
        number
    }
}

/// An assignment and its span in the file.
struct SpannedAssignment {
    customer: u64,
    assignment: Assignment,
    span: Range<usize>,
}

/// Parses a catalogue file.
///
/// # Errors
/// A [`CatalogueFileError`] with all invalid values. For unknown, missing and mistyped keys it only contains
/// the first fault, as the parser stops there.
pub fn read_catalogue(text: &str) -> Result<Catalogue, CatalogueFileError> {
    let mut collector = FaultCollector { text, faults: Vec::new() };
    let file: File = toml::from_str(text).map_err(|error| {
        let line = error.span().map_or(0, |span| collector.line_of(&span));
        let problem = error.message().to_string();
        CatalogueFileError(vec![FileFault { line, key: String::new(), problem }])
    })?;
    let plans: Vec<(Plan, PlanLimits)> =
        file.plans.iter().map(|entry| read_plan(entry.get_ref(), &mut collector)).collect();
    let assignments: Vec<SpannedAssignment> =
        file.customers.iter().filter_map(|entry| read_assignment(entry, &plans, &mut collector)).collect();
    if file.revision == 0 {
        let problem = "a number from 1, which grows with each change, is wanted";
        collector.add(&WHOLE_FILE, "revision", problem);
    }
    if !collector.faults.is_empty() {
        collector.faults.sort_by_key(|fault| fault.line);
        return Err(CatalogueFileError(collector.faults));
    }
    let pairs = assignments.iter().map(|assigned| (assigned.customer, assigned.assignment.clone()));
    Catalogue::new(file.revision, plans, pairs).map_err(|error| {
        let (span, key) = span_of(&error, &file.plans, &assignments);
        collector.add(&span, key, error.to_string());
        CatalogueFileError(collector.faults)
    })
}

/// Returns the span and key of a catalogue error: those of the last entry that matches it.
fn span_of(
    error: &CatalogueError,
    plans: &[Spanned<PlanLine>],
    assignments: &[SpannedAssignment],
) -> (Range<usize>, &'static str) {
    let last_plan = |plan: &Plan| {
        let is_plan = |entry: &&Spanned<PlanLine>| {
            let entry = entry.get_ref();
            entry.name.get_ref().as_str() == &*plan.name && *entry.version.get_ref() == plan.version
        };
        plans.iter().rev().find(is_plan).map_or(WHOLE_FILE, Spanned::span)
    };
    let last_assignment = |matches: &dyn Fn(&SpannedAssignment) -> bool| {
        let last = assignments.iter().rev().find(|assigned| matches(assigned));
        last.map_or(WHOLE_FILE, |assigned| assigned.span.clone())
    };
    match error {
        CatalogueError::InvalidLimits(plan) | CatalogueError::InvalidVersion(plan) => {
            (last_plan(plan), "plan.version")
        }
        CatalogueError::UnknownPlan { customer, plan } => {
            let is_match = |assigned: &SpannedAssignment| {
                assigned.customer == *customer && assigned.assignment.plan == *plan
            };
            (last_assignment(&is_match), "customer.plan")
        }
        CatalogueError::TwoPlans { customer, from_ms } => {
            let is_match = |assigned: &SpannedAssignment| {
                assigned.customer == *customer && assigned.assignment.from_ms == *from_ms
            };
            (last_assignment(&is_match), "customer.from")
        }
        CatalogueError::TooMany { .. } => (WHOLE_FILE, ""),
    }
}

fn read_plan(entry: &PlanLine, collector: &mut FaultCollector<'_>) -> (Plan, PlanLimits) {
    let name = entry.name.get_ref();
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        let problem = format!("1 to {MAX_NAME_BYTES} bytes are wanted");
        collector.add(&entry.name.span(), "plan.name", problem);
    }
    let plan = Plan { name: name.as_str().into(), version: *entry.version.get_ref() };
    (plan, read_limits(entry, collector))
}

fn read_limits(entry: &PlanLine, collector: &mut FaultCollector<'_>) -> PlanLimits {
    let mut optional =
        |value: &Option<Spanned<f64>>, key| value.as_ref().map(|value| collector.check_number(value, key));
    let ceiling_rate = optional(&entry.ceiling_rate, "plan.ceiling_rate");
    let ceiling_burst = optional(&entry.ceiling_burst, "plan.ceiling_burst");
    let rate = collector.check_number(&entry.rate, "plan.rate");
    let burst = collector.check_number(&entry.burst, "plan.burst");
    // A ceiling below the quota would reject requests that the quota admits.
    if ceiling_rate.is_some_and(|ceiling| ceiling < rate) {
        let span = entry.ceiling_rate.as_ref().map_or(WHOLE_FILE, Spanned::span);
        collector.add(&span, "plan.ceiling_rate", format!("the rate, {rate}, or more is wanted"));
    }
    if ceiling_rate.is_some() != ceiling_burst.is_some() {
        let problem = "ceiling_rate and ceiling_burst go together";
        collector.add(&entry.name.span(), "plan.ceiling_rate", problem);
    }
    PlanLimits {
        rate,
        burst,
        ceiling_rate: ceiling_rate.unwrap_or(0.0),
        ceiling_burst: ceiling_burst.unwrap_or(0.0),
    }
}

/// Reads a customer's entry. Without a version it refers to the newest version of its plan.
fn read_assignment(
    entry: &Spanned<CustomerLine>,
    plans: &[(Plan, PlanLimits)],
    collector: &mut FaultCollector<'_>,
) -> Option<SpannedAssignment> {
    let span = entry.span();
    let entry = entry.get_ref();
    let customer = read_customer_id(&entry.id, collector);
    let newest_version = read_newest_version(&entry.plan, plans, collector);
    let from_ms = match &entry.from {
        Some(from) => read_instant(from, collector),
        None => Some(0),
    };
    let version = entry.version.as_ref().map(|version| *version.get_ref()).or(newest_version)?;
    let plan = Plan { name: entry.plan.get_ref().as_str().into(), version };
    let assignment = Assignment { from_ms: from_ms?, plan };
    Some(SpannedAssignment { customer: customer?, assignment, span })
}

fn read_customer_id(id: &Spanned<String>, collector: &mut FaultCollector<'_>) -> Option<u64> {
    let digits = id.get_ref();
    let is_hex = digits.len() == CUSTOMER_ID_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(digits, 16).ok();
    let customer = number.filter(|number| is_hex && *number < CUSTOMER_LIMIT);
    if customer.is_none() {
        let problem = "16 hex digits, a number below 2^33, are wanted";
        collector.add(&id.span(), "customer.id", problem);
    }
    customer
}

fn read_newest_version(
    name: &Spanned<String>,
    plans: &[(Plan, PlanLimits)],
    collector: &mut FaultCollector<'_>,
) -> Option<u32> {
    let versions = plans.iter().map(|(plan, _)| plan).filter(|plan| *plan.name == **name.get_ref());
    let newest = versions.map(|plan| plan.version).max();
    if newest.is_none() {
        let problem = format!("{:?} is no plan of this file", name.get_ref());
        collector.add(&name.span(), "customer.plan", problem);
    }
    newest
}

/// Parses an instant from 1970 on to Unix time in ms.
fn read_instant(from: &Spanned<String>, collector: &mut FaultCollector<'_>) -> Option<u64> {
    let instant: Option<Timestamp> = from.get_ref().parse().ok();
    let instant_ms = instant.and_then(|instant| u64::try_from(instant.as_millisecond()).ok());
    if instant_ms.is_none() {
        let problem = "a time from 1970 on is wanted, as in 2026-12-24T18:00:00Z";
        collector.add(&from.span(), "customer.from", problem);
    }
    instant_ms
}
