//! `plans`: what is wrong with a catalogue, who has which plan, and what a change does.

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
/// The time from which a plan holds that a catalogue gives without a time, Unix time in ms.
const ALWAYS_MS: u64 = 0;

/// Runs a command on catalogues.
pub fn run(command: &Plans, output: Output) -> Result<(), CommandError> {
    match command {
        Plans::Check { files } => {
            let mut all_good = true;
            for file in files {
                all_good &= check(file, output)?;
            }
            if all_good {
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

/// All faults of a catalogue's file, one on a line.
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
    let wrong = |source| LocalError::Catalogue { path: file.to_path_buf(), source };
    read_catalogue(&read(file)?).map_err(wrong)
}

/// Checks a file; tells whether it is good.
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

/// A time as operators read it.
fn format_time(ms: u64) -> String {
    if ms == ALWAYS_MS {
        return "always".to_string();
    }
    let timestamp = i64::try_from(ms).ok().and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok());
    timestamp.map_or_else(|| format!("{ms} ms"), |timestamp| timestamp.to_string())
}

fn limit_cells(limits: &PlanLimits) -> [String; 4] {
    let PlanLimits { rate, burst, ceiling_rate, ceiling_burst } = *limits;
    [rate, burst, ceiling_rate, ceiling_burst].map(|number| number.to_string())
}

/// Shows the plans of a customer over time.
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

/// What a change of plan does to a customer, by the rule of [`PlanTimeline`]: the debt stays.
struct PlanChange {
    at_ms: u64,
    from: Plan,
    to: Plan,
    /// The level of the token bucket just before and just after it.
    level_before: f64,
    level_after: f64,
    /// Until a request of one unit is admitted, s; infinite where the new plan has no rate.
    wait_s: f64,
    /// Units by which a gateway is off that learns of it so late.
    late_ms: u64,
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

/// Shows what each coming change does to a customer that has this level before the first, else a full bucket.
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

/// Units by which a gateway is off that goes by the old plan for so long after a change.
fn late_error(timeline: &PlanTimeline, since_ms: u64, at_ms: u64, late_ms: u64) -> f64 {
    let old = PlanTimeline::always(*timeline.limits_at(since_ms));
    let new = old.clone().then(at_ms, *timeline.limits_at(at_ms));
    new.level_error(&old, at_ms, at_ms.saturating_add(late_ms))
}
