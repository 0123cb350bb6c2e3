//! `check`: reports faults in configuration files by file, line and key.

mod location;

use std::path::{Path, PathBuf};

use operator_config::{OperatorConfig, OperatorConfigError};
use serde::Serialize;

use crate::cli::Output;
use crate::error::{CommandError, LocalError, UsageError};
use crate::output::{print_json, print_text};

#[cfg(test)]
mod tests;

/// Fault in a configuration file.
#[derive(Debug, Serialize)]
struct Fault {
    key: String,
    /// Line number, counted from 1; none if the fault has no position.
    line: Option<usize>,
    problem: String,
}

/// Result of checking one file.
#[derive(Serialize)]
struct Report<'a> {
    file: String,
    good: bool,
    #[serde(rename = "wrong")]
    faults: &'a [Fault],
}

/// Checks each file and prints a report. Succeeds only if all files are valid.
pub fn run(files: &[PathBuf], output: Output) -> Result<(), CommandError> {
    let mut all_valid = true;
    for file in files {
        let faults = check(file)?;
        all_valid &= faults.is_empty();
        let report = Report { file: file.display().to_string(), good: faults.is_empty(), faults: &faults };
        match output {
            Output::Json => print_json(&report)?,
            Output::Table => print_lines(&report),
        }
    }
    if all_valid {
        Ok(())
    } else {
        Err(CommandError::FaultsFound)
    }
}

fn print_lines(report: &Report) {
    let file = &report.file;
    if report.good {
        print_text(&format!("{file}: good\n"));
    }
    for Fault { line, key, problem } in report.faults {
        let line = line.map_or(String::new(), |line| format!("{line}:"));
        print_text(&format!("{file}:{line} {key}: {problem}\n"));
    }
}

fn check(file: &Path) -> Result<Vec<Fault>, CommandError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|source| LocalError::File { path: file.to_path_buf(), source })?;
    match file.extension().and_then(|extension| extension.to_str()) {
        Some("toml") => Ok(check_operator_config(file, &text)),
        Some("json") => Ok(check_gateway_config(&text)),
        _ => Err(UsageError::UnknownFileKind(file.to_path_buf()).into()),
    }
}

fn check_gateway_config(text: &str) -> Vec<Fault> {
    if let Err(e) = serde_json::from_str::<serde_json::Value>(text) {
        return vec![Fault { line: Some(e.line()), key: "not JSON".to_string(), problem: e.to_string() }];
    }
    let faults = admission_gateway::check(text.as_bytes()).into_iter().map(|e| {
        let key = e.field.strip_prefix("configuration.").unwrap_or(&e.field).to_string();
        Fault { line: location::json_line(text, &key), key, problem: e.problem.to_string() }
    });
    faults.collect()
}

fn check_operator_config(file: &Path, text: &str) -> Vec<Fault> {
    match OperatorConfig::parse(file, text) {
        Ok(_) => Vec::new(),
        Err(OperatorConfigError::Values(_, faults)) => {
            let fault = |(key, problem): (String, String)| Fault {
                line: location::toml_line(text, &key),
                key,
                problem,
            };
            faults.into_iter().map(fault).collect()
        }
        Err(OperatorConfigError::Toml(_, message)) => vec![toml_fault(text, &message)],
        Err(OperatorConfigError::Unreadable(_, e)) => {
            vec![Fault { line: None, key: "file".to_string(), problem: e.to_string() }]
        }
    }
}

/// Extracts the fault from an error message of the TOML library, which begins with the position, quotes the
/// line and ends with the problem.
fn toml_fault(text: &str, message: &str) -> Fault {
    let line = message.split("line ").nth(1).and_then(|rest| rest.split(',').next()?.parse().ok());
    let problem = message.lines().last().unwrap_or_default().to_string();
    let line_text = line.and_then(|number: usize| text.lines().nth(number - 1)).map_or("", str::trim);
    let key = line_text.split(['=', '#']).next().unwrap_or_default().trim().to_string();
    Fault { line, key, problem }
}
