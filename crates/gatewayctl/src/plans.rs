//! `plans`: what is wrong with a catalogue, who has which plan, what a change does.

use std::path::Path;
use std::time::Duration;

use plans::{read_catalogue, Catalogue, CatalogueFileError, PlanLimits, PlanTimeline};
use serde_json::json;

use crate::agent::print;
use crate::cli::{Output, Plans};
use crate::exit::Failure;
use crate::table::{out, table};

/// Carries out a command on catalogues.
pub fn run(command: &Plans, output: Output) -> Result<(), Failure> {
    match command {
        Plans::Check { files } => {
            let mut good = true;
            for file in files {
                good &= check(file, output)?;
            }
            if good {
                Ok(())
            } else {
                Err(Failure::Told)
            }
        }
        Plans::Show { file, customer } => show(&load(file)?, *customer, output),
        Plans::Change { file, customer, level, late } => {
            change(&load(file)?, *customer, *level, *late, output)
        }
    }
}

fn text_of(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file).map_err(|e| Failure::Broken(format!("{}: {e}", file.display())))
}

fn lines(file: &Path, CatalogueFileError(faults): &CatalogueFileError) -> String {
    let line = |f: &plans::FileFault| {
        let key = if f.key.is_empty() { String::new() } else { format!("{}: ", f.key) };
        format!("{}:{}: {key}{}", file.display(), f.line, f.wanted)
    };
    faults.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn load(file: &Path) -> Result<Catalogue, Failure> {
    read_catalogue(&text_of(file)?).map_err(|bad| Failure::Broken(lines(file, &bad)))
}

/// Whether it is good.
fn check(file: &Path, output: Output) -> Result<bool, Failure> {
    let found = read_catalogue(&text_of(file)?);
    let name = file.display().to_string();
    match (&found, output) {
        (Ok(all), Output::Table) => out(&format!(
            "{name}: good: revision {}, {} versions of plans, {} customers\n",
            all.revision(),
            all.plans().count(),
            all.customers()
        )),
        (Err(bad), Output::Table) => out(&format!("{}\n", lines(file, bad))),
        (_, Output::Json) => {
            let faults = found.as_ref().err().map_or(&[][..], |bad| &bad.0);
            let wrong = |f: &plans::FileFault| json!({"line": f.line, "key": f.key, "problem": f.wanted});
            let wrong: Vec<_> = faults.iter().map(wrong).collect();
            let revision = found.as_ref().ok().map(Catalogue::revision);
            print(&json!({"file": name, "good": found.is_ok(), "revision": revision, "wrong": wrong}))?;
        }
    }
    Ok(found.is_ok())
}

/// A time as operators read it; the time of a change before any is "always".
fn time(ms: u64) -> String {
    let known = i64::try_from(ms).ok().and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok());
    match known {
        _ if ms == 0 => "always".to_string(),
        Some(at) => at.to_string(),
        None => format!("{ms} ms"),
    }
}

fn show(all: &Catalogue, customer: Option<u64>, output: Output) -> Result<(), Failure> {
    let Some(customer) = customer else { return show_plans(all, output) };
    let (mut rows, mut at) = (Vec::new(), 0);
    let line = all.timeline(customer, PlanLimits::default());
    if all.plan_at(customer, u64::MAX).is_none() {
        let text = format!("customer {customer:016x} is not in it: requests say which plan it has");
        return Err(Failure::Broken(text));
    }
    loop {
        if let Some(plan) = all.plan_at(customer, at) {
            match output {
                Output::Json => print(&json!({"from_ms": at, "plan": &*plan.name, "version": plan.version}))?,
                Output::Table => {
                    let terms = line.at(at);
                    let number = |n: f64| format!("{n}");
                    rows.push(vec![
                        time(at),
                        plan.name.to_string(),
                        plan.version.to_string(),
                        number(terms.rate),
                        number(terms.burst),
                        number(terms.ceiling_rate),
                        number(terms.ceiling_burst),
                    ]);
                }
            }
        }
        match line.next_change(at) {
            Some(next) => at = next,
            None => break,
        }
    }
    if output == Output::Table {
        let head = ["FROM", "PLAN", "VERSION", "RATE", "BURST", "CEILING", "ITS BURST"];
        out(&table(&head, &rows));
    }
    Ok(())
}

fn show_plans(all: &Catalogue, output: Output) -> Result<(), Failure> {
    let mut rows = Vec::new();
    for (plan, terms) in all.plans() {
        let PlanLimits { rate, burst, ceiling_rate, ceiling_burst } = *terms;
        if output == Output::Json {
            print(&json!({
                "plan": &*plan.name, "version": plan.version, "rate": rate, "burst": burst,
                "ceiling_rate": ceiling_rate, "ceiling_burst": ceiling_burst,
            }))?;
        }
        let numbers = [rate, burst, ceiling_rate, ceiling_burst].map(|n| n.to_string());
        let names = [plan.name.to_string(), plan.version.to_string()];
        rows.push(names.into_iter().chain(numbers).collect());
    }
    if output == Output::Table {
        let head = ["PLAN", "VERSION", "RATE", "BURST", "CEILING", "ITS BURST"];
        out(&format!("revision {}, {} customers\n", all.revision(), all.customers()));
        out(&table(&head, &rows));
    }
    Ok(())
}

/// What a change does, by the rule of [`Timeline`]: the debt stays.
fn change(
    all: &Catalogue,
    customer: u64,
    level: Option<f64>,
    late: Duration,
    output: Output,
) -> Result<(), Failure> {
    let Some(first) = all.plan_at(customer, 0) else {
        let text = format!("customer {customer:016x} has no plan since ever in it: its level is not known");
        return Err(Failure::Broken(text));
    };
    let line = all.timeline(customer, PlanLimits::default());
    let (mut at, mut level, mut plan) = (0, level.unwrap_or(line.at(0).burst), first);
    let late_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
    let mut rows = Vec::new();
    while let Some(next) = line.next_change(at) {
        let before = if at == 0 { level } else { (level + line.refill(at, next)).min(line.at(at).burst) };
        let after = line.carried(before, at, next);
        let old = PlanTimeline::always(*line.at(at));
        let new = old.clone().then(next, *line.at(next));
        let heard = next.saturating_add(late_ms);
        let error = new.error_of(&old, next, heard);
        // Until a request of one unit passes again.
        let rate = line.at(next).rate;
        let wait_s = if after >= 1.0 { 0.0 } else { (1.0 - after) / rate };
        let to = all.plan_at(customer, next).unwrap_or(plan);
        match output {
            Output::Json => print(&json!({
                "at_ms": next, "from": plan.to_string(), "to": to.to_string(), "level_before": before,
                "level_after": after, "wait_s": wait_s.is_finite().then_some(wait_s),
                "late_ms": late_ms, "late_error": error,
            }))?,
            Output::Table => rows.push(vec![
                time(next),
                plan.to_string(),
                to.to_string(),
                format!("{before:.1}"),
                format!("{after:.1}"),
                if wait_s.is_finite() { format!("{wait_s:.1}s") } else { "never".to_string() },
                format!("{error:+.1}"),
            ]),
        }
        (at, level, plan) = (next, after, to);
    }
    if output == Output::Table {
        out(&table(&["AT", "FROM", "TO", "BEFORE", "AFTER", "WAITS", "OFF WHERE LATE"], &rows));
    }
    Ok(())
}
