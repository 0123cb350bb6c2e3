//! A catalogue as operators write it, in TOML: read whole or not at all, with what is wrong by line and key.

use std::fmt;
use std::ops::Range;

use jiff::Timestamp;
use serde::Deserialize;
use toml::Spanned;

use crate::catalogue::{Assignment, Catalogue, CatalogueError, Plan};
use crate::timeline::PlanLimits;

/// The longest name of a plan, bytes.
const MAX_NAME_BYTES: usize = 64;
/// Customers are numbers below 2^33.
const CUSTOMERS: u64 = 1 << 33;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    revision: u64,
    #[serde(default)]
    plan: Vec<Spanned<PlanLine>>,
    #[serde(default)]
    customer: Vec<Spanned<CustomerLine>>,
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

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileFault {
    /// Line of the file, from 1; 0 if it is the whole file.
    pub line: usize,
    /// Key, such as `customer.from`.
    pub key: String,
    /// What is wrong and what is wanted.
    pub wanted: String,
}

/// A file that is no catalogue: all that is wrong with it, in the order of the lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogueFileError(pub Vec<FileFault>);

impl fmt::Display for CatalogueFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, FileFault { line, key, wanted }) in self.0.iter().enumerate() {
            let end = if i == 0 { "" } else { "\n" };
            match key.as_str() {
                "" => write!(f, "{end}line {line}: {wanted}")?,
                key => write!(f, "{end}line {line}: {key}: {wanted}")?,
            }
        }
        Ok(())
    }
}

impl std::error::Error for CatalogueFileError {}

struct Faults<'a> {
    text: &'a str,
    all: Vec<FileFault>,
}

impl Faults<'_> {
    fn line(&self, span: &Range<usize>) -> usize {
        let before = self.text.as_bytes().get(..span.start).unwrap_or_default();
        1 + before.iter().filter(|byte| **byte == b'\n').count()
    }

    fn say(&mut self, span: &Range<usize>, key: &str, wanted: impl Into<String>) {
        let line = self.line(span);
        self.all.push(FileFault { line, key: key.to_string(), wanted: wanted.into() });
    }

    /// A number of 0 or more.
    fn number(&mut self, value: &Spanned<f64>, key: &str) -> f64 {
        let n = *value.get_ref();
        if !(n.is_finite() && n >= 0.0) {
            self.say(&value.span(), key, format!("{n} is no finite number of 0 or more"));
        }
        n
    }
}

/// Reads a catalogue.
///
/// # Errors A [`BadCatalogue`] with all values that don't fit; of unknown, missing and mistyped keys the
/// first alone, as the rest can't be read past it.
pub fn read_catalogue(text: &str) -> Result<Catalogue, CatalogueFileError> {
    let mut faults = Faults { text, all: Vec::new() };
    let file: File = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(0, |span| faults.line(&span));
        CatalogueFileError(vec![FileFault { line, key: String::new(), wanted: e.message().to_string() }])
    })?;
    let mut plans = Vec::with_capacity(file.plan.len());
    for plan in &file.plan {
        plans.push(read_plan(plan.get_ref(), &mut faults));
    }
    let mut spans = Vec::with_capacity(file.customer.len());
    let mut customers = Vec::with_capacity(file.customer.len());
    for customer in &file.customer {
        if let Some(read) = read_customer(customer.get_ref(), &plans, &mut faults) {
            spans.push(customer.span());
            customers.push(read);
        }
    }
    if file.revision == 0 {
        faults.say(&(0..0), "revision", "a number from 1, which grows with each change, is wanted");
    }
    if !faults.all.is_empty() {
        faults.all.sort_by_key(|fault| fault.line);
        return Err(CatalogueFileError(faults.all));
    }
    let plan_span = |plan: &Plan| {
        let same = |p: &&Spanned<PlanLine>| {
            p.get_ref().name.get_ref().as_str() == &*plan.name
                && *p.get_ref().version.get_ref() == plan.version
        };
        file.plan.iter().rev().find(same).map_or(0..0, Spanned::span)
    };
    Catalogue::new(file.revision, plans, customers.iter().cloned()).map_err(|wrong| {
        let of = |wanted: u64, fits: &dyn Fn(&Assignment) -> bool| {
            let place = customers.iter().rposition(|(id, a)| *id == wanted && fits(a));
            place.map_or(0..0, |i| spans[i].clone())
        };
        let (span, key) = match &wrong {
            CatalogueError::Terms(plan) | CatalogueError::Version(plan) => (plan_span(plan), "plan.version"),
            CatalogueError::NoPlan(id, plan) => (of(*id, &|a| a.plan == *plan), "customer.plan"),
            CatalogueError::Twice(id, from) => (of(*id, &|a| a.from_ms == *from), "customer.from"),
            CatalogueError::TooMany(..) => (0..0, ""),
        };
        faults.say(&span, key, wrong.to_string());
        CatalogueFileError(faults.all)
    })
}

fn read_plan(line: &PlanLine, faults: &mut Faults<'_>) -> (Plan, PlanLimits) {
    let name = line.name.get_ref();
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(char::is_control) {
        faults.say(&line.name.span(), "plan.name", format!("1 to {MAX_NAME_BYTES} bytes are wanted"));
    }
    let mut optional = |value: &Option<Spanned<f64>>, key| value.as_ref().map(|v| faults.number(v, key));
    let ceiling_rate = optional(&line.ceiling_rate, "plan.ceiling_rate");
    let ceiling_burst = optional(&line.ceiling_burst, "plan.ceiling_burst");
    let rate = faults.number(&line.rate, "plan.rate");
    let burst = faults.number(&line.burst, "plan.burst");
    // Danger: a ceiling under the quota, which refuses what was sold.
    if ceiling_rate.is_some_and(|ceiling| ceiling < rate) {
        let span = line.ceiling_rate.as_ref().map_or(0..0, Spanned::span);
        faults.say(&span, "plan.ceiling_rate", format!("the rate, {rate}, or more is wanted"));
    }
    if ceiling_rate.is_some() != ceiling_burst.is_some() {
        faults.say(&line.name.span(), "plan.ceiling_rate", "ceiling_rate and ceiling_burst go together");
    }
    let plan = Plan { name: name.as_str().into(), version: *line.version.get_ref() };
    let (ceiling_rate, ceiling_burst) = (ceiling_rate.unwrap_or(0.0), ceiling_burst.unwrap_or(0.0));
    (plan, PlanLimits { rate, burst, ceiling_rate, ceiling_burst })
}

fn read_customer(
    line: &CustomerLine,
    plans: &[(Plan, PlanLimits)],
    faults: &mut Faults<'_>,
) -> Option<(u64, Assignment)> {
    let id = line.id.get_ref();
    let hex = id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(id, 16).ok().filter(|n| hex && *n < CUSTOMERS);
    if number.is_none() {
        faults.say(&line.id.span(), "customer.id", "16 hex digits, a number below 2^33, are wanted");
    }
    let name = line.plan.get_ref();
    let versions = plans.iter().map(|(plan, _)| plan).filter(|plan| *plan.name == **name);
    let newest = versions.map(|plan| plan.version).max();
    if newest.is_none() {
        faults.say(&line.plan.span(), "customer.plan", format!("{name:?} is no plan of this file"));
    }
    let from_ms = line.from.as_ref().map_or(Some(0), |from| {
        let read: Option<Timestamp> = from.get_ref().parse().ok();
        let ms = read.and_then(|at| u64::try_from(at.as_millisecond()).ok());
        if ms.is_none() {
            let wanted = "a time from 1970 on is wanted, as in 2026-12-24T18:00:00Z";
            faults.say(&from.span(), "customer.from", wanted);
        }
        ms
    });
    let version = line.version.as_ref().map(|v| *v.get_ref()).or(newest)?;
    let plan = Plan { name: name.as_str().into(), version };
    Some((number?, Assignment { from_ms: from_ms?, plan }))
}
