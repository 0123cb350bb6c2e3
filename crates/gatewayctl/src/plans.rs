//! `plans`: checks plan catalogues, shows plans and customers, and previews changes of plan.

use std::path::Path;
use std::time::Duration;

use plans::{read_catalogue, Catalogue, CatalogueFileError, FileFault, Plan, PlanLimits, PlanTimeline};
use serde_json::json;

use crate::cli::{Output, Plans};
use crate::error::{CommandError, LocalError};
use crate::output::{print_json, print_table, print_text};

const PLAN_HEADER: [&str; 6] = ["PLAN", "VERSION", "RATE", "BURST", "CEILING", "ITS BURST"];
const CUSTOMER_HEADER: [&str; 7] = ["FROM", "PLAN", "VERSION", "RATE", "BURST", "CEILING", "ITS BURST"];
const CHANGE_HEADER: [&str; 7] = ["AT", "FROM", "TO", "BEFORE", "AFTER", "WAITS", "OFF WHERE LATE"];
/// Start time of a plan that the catalogue lists without a time, Unix time in ms.
const ALWAYS_MS: u64 = 0;

/// Runs a `plans` command.
pub fn run(command: &Plans, output: Output) -> Result<(), CommandError> {
    match command {
        Plans::Check { files } => {
            let mut all_valid = true;
            for file in files {
                all_valid &= check(file, output)?;
            }
            if all_valid {
                Ok(())
            } else {
                Err(CommandError::FaultsFound)
            }
        }
        Plans::Show { file, customer: None } => Ok(show_plans(&load(file)?, output)?),
        Plans::Show { file, customer: Some(customer) } => Ok(show_customer(&load(file)?, *customer, output)?),
        Plans::Change { file, customer, level, late } => {
            Ok(show_changes(&load(file)?, *customer, *level, *late, output)?)
        }
    }
}

/// Formats all faults of a catalogue file, one per line.
pub fn fault_lines(file: &Path, CatalogueFileError(faults): &CatalogueFileError) -> String {
    let line = |fault: &FileFault| {
        let key = if fault.key.is_empty() { String::new() } else { format!("{}: ", fault.key) };
        format!("{}:{}: {key}{}", file.display(), fault.line, fault.problem)
    };
    faults.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn read(file: &Path) -> Result<String, LocalError> {
    std::fs::read_to_string(file).map_err(|source| LocalError::File { path: file.to_path_buf(), source })
}

fn load(file: &Path) -> Result<Catalogue, LocalError> {
    let invalid = |source| LocalError::Catalogue { path: file.to_path_buf(), source };
    read_catalogue(&read(file)?).map_err(invalid)
}

/// Checks a file and prints the result. Returns whether the file is valid.
fn check(file: &Path, output: Output) -> Result<bool, LocalError> {
    let catalogue = read_catalogue(&read(file)?);
    match output {
        Output::Table => print_check(file, &catalogue),
        Output::Json => print_json_check(file, &catalogue)?,
    }
    Ok(catalogue.is_ok())
}

fn print_check(file: &Path, catalogue: &Result<Catalogue, CatalogueFileError>) {
    match catalogue {
        Ok(catalogue) => print_text(&format!(
            "{}: good: revision {}, {} versions of plans, {} customers\n",
            file.display(),
            catalogue.revision(),
            catalogue.plans().count(),
            catalogue.customers()
        )),
        Err(error) => print_text(&format!("{}\n", fault_lines(file, error))),
    }
}

fn print_json_check(
    file: &Path,
    catalogue: &Result<Catalogue, CatalogueFileError>,
) -> Result<(), LocalError> {
    let faults = catalogue.as_ref().err().map_or(&[][..], |error| &error.0);
    let fault = |fault: &FileFault| json!({"line": fault.line, "key": fault.key, "problem": fault.problem});
    print_json(&json!({
        "file": file.display().to_string(),
        "good": catalogue.is_ok(),
        "revision": catalogue.as_ref().ok().map(Catalogue::revision),
        "wrong": faults.iter().map(fault).collect::<Vec<_>>(),
    }))
}

/// Formats a Unix time in ms as an RFC 3339 timestamp, or `always` for a plan without a start time.
fn format_time(ms: u64) -> String {
    if ms == ALWAYS_MS {
        return "always".to_string();
    }
    let timestamp = i64::try_from(ms).ok().and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok());
    timestamp.map_or_else(|| format!("{ms} ms"), |timestamp| timestamp.to_string())
}

/// Returns the table cells for rate, burst, ceiling rate and ceiling burst.
fn limit_cells(limits: &PlanLimits) -> [String; 4] {
    let PlanLimits { rate, burst, ceiling_rate, ceiling_burst } = *limits;
    [rate, burst, ceiling_rate, ceiling_burst].map(|number| number.to_string())
}

/// Prints the plans of a customer over time.
fn show_customer(catalogue: &Catalogue, customer: u64, output: Output) -> Result<(), LocalError> {
    let timeline = catalogue.timeline(customer, PlanLimits::default());
    if catalogue.plan_at(customer, u64::MAX).is_none() {
        return Err(LocalError::CustomerNotListed(customer));
    }
    let mut rows = Vec::new();
    let mut next_change = Some(ALWAYS_MS);
    while let Some(from_ms) = next_change {
        next_change = timeline.next_change(from_ms);
        let Some(plan) = catalogue.plan_at(customer, from_ms) else { continue };
        match output {
            Output::Json => {
                print_json(&json!({"from_ms": from_ms, "plan": &*plan.name, "version": plan.version}))?;
            }
            Output::Table => {
                let plan_cells = [format_time(from_ms), plan.name.to_string(), plan.version.to_string()];
                rows.push(plan_cells.into_iter().chain(limit_cells(timeline.limits_at(from_ms))).collect());
            }
        }
    }
    if output == Output::Table {
        print_table(&CUSTOMER_HEADER, &rows);
    }
    Ok(())
}

fn show_plans(catalogue: &Catalogue, output: Output) -> Result<(), LocalError> {
    let mut rows = Vec::new();
    for (plan, limits) in catalogue.plans() {
        if output == Output::Json {
            print_json(&json!({
                "plan": &*plan.name, "version": plan.version, "rate": limits.rate, "burst": limits.burst,
                "ceiling_rate": limits.ceiling_rate, "ceiling_burst": limits.ceiling_burst,
            }))?;
        }
        let plan_cells = [plan.name.to_string(), plan.version.to_string()];
        rows.push(plan_cells.into_iter().chain(limit_cells(limits)).collect::<Vec<_>>());
    }
    if output == Output::Table {
        print_text(&format!("revision {}, {} customers\n", catalogue.revision(), catalogue.customers()));
        print_table(&PLAN_HEADER, &rows);
    }
    Ok(())
}

/// Effect of a change of plan on a customer's token bucket. What was charged stays charged, as
/// [`PlanTimeline`] defines.
struct PlanChange {
    at_ms: u64,
    from: Plan,
    to: Plan,
    /// Level of the token bucket just before the change, units.
    level_before: f64,
    /// Level of the token bucket just after the change, units.
    level_after: f64,
    /// Time until a request of one unit is admitted, s; infinite if the new plan's rate is zero.
    wait_s: f64,
    /// Delay after which a gateway is assumed to learn of the change, ms.
    late_ms: u64,
    /// Error of that gateway's count, units.
    late_error: f64,
}

impl PlanChange {
    fn json(&self) -> serde_json::Value {
        json!({
            "at_ms": self.at_ms, "from": self.from.to_string(), "to": self.to.to_string(),
            "level_before": self.level_before, "level_after": self.level_after,
            "wait_s": self.wait_s.is_finite().then_some(self.wait_s),
            "late_ms": self.late_ms, "late_error": self.late_error,
        })
    }

    fn row(&self) -> Vec<String> {
        let wait = if self.wait_s.is_finite() { format!("{:.1}s", self.wait_s) } else { "never".to_string() };
        vec![
            format_time(self.at_ms),
            self.from.to_string(),
            self.to.to_string(),
            format!("{:.1}", self.level_before),
            format!("{:.1}", self.level_after),
            wait,
            format!("{:+.1}", self.late_error),
        ]
    }
}

/// Prints the effect of each later change of plan on a customer whose token bucket has the given level before
/// the first change; without a level, the bucket is full.
fn show_changes(
    catalogue: &Catalogue,
    customer: u64,
    level: Option<f64>,
    late: Duration,
    output: Output,
) -> Result<(), LocalError> {
    let changes = plan_changes(catalogue, customer, level, late)?;
    match output {
        Output::Json => changes.iter().try_for_each(|change| print_json(&change.json())),
        Output::Table => {
            print_table(&CHANGE_HEADER, &changes.iter().map(PlanChange::row).collect::<Vec<_>>());
            Ok(())
        }
    }
}

fn plan_changes(
    catalogue: &Catalogue,
    customer: u64,
    level: Option<f64>,
    late: Duration,
) -> Result<Vec<PlanChange>, LocalError> {
    let first = catalogue.plan_at(customer, ALWAYS_MS).ok_or(LocalError::CustomerLevelUnknown(customer))?;
    let timeline = catalogue.timeline(customer, PlanLimits::default());
    let late_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
    let (mut since_ms, mut plan) = (ALWAYS_MS, first);
    let mut level = level.unwrap_or(timeline.limits_at(ALWAYS_MS).burst);
    let mut changes = Vec::new();
    while let Some(at_ms) = timeline.next_change(since_ms) {
        let refilled = (level + timeline.refill(since_ms, at_ms)).min(timeline.limits_at(since_ms).burst);
        let level_before = if since_ms == ALWAYS_MS { level } else { refilled };
        let level_after = timeline.carry_level(level_before, since_ms, at_ms);
        let to = catalogue.plan_at(customer, at_ms).unwrap_or(plan);
        changes.push(PlanChange {
            at_ms,
            from: plan.clone(),
            to: to.clone(),
            level_before,
            level_after,
            wait_s: if level_after >= 1.0 {
                0.0
            } else {
                (1.0 - level_after) / timeline.limits_at(at_ms).rate
            },
            late_ms,
            late_error: late_error(&timeline, since_ms, at_ms, late_ms),
        });
        (since_ms, level, plan) = (at_ms, level_after, to);
    }
    Ok(changes)
}

/// Error in units of a gateway that applies the old plan for `late_ms` after a change.
fn late_error(timeline: &PlanTimeline, since_ms: u64, at_ms: u64, late_ms: u64) -> f64 {
    let old = PlanTimeline::always(*timeline.limits_at(since_ms));
    let new = old.clone().then(at_ms, *timeline.limits_at(at_ms));
    new.level_error(&old, at_ms, at_ms.saturating_add(late_ms))
}
