//! `check`: says what is wrong with configurations, by file, line and key.

mod lines;

use std::path::{Path, PathBuf};

use operator_config::{OperatorConfig, OperatorConfigError};
use serde_json::json;

use crate::agent::print;
use crate::cli::Output;
use crate::exit::Failure;
use crate::table::out;

/// Something wrong in a file.
struct Wrong {
    line: Option<usize>,
    key: String,
    problem: String,
}

/// Checks each file, and ends well only if all are right.
pub fn run(files: &[PathBuf], output: Output) -> Result<(), Failure> {
    let mut good = true;
    for file in files {
        let wrong = check(file)?;
        good &= wrong.is_empty();
        let name = file.display();
        match output {
            Output::Json => {
                let all: Vec<_> = wrong
                    .iter()
                    .map(|w| json!({"line": w.line, "key": w.key, "problem": w.problem}))
                    .collect();
                print(&json!({"file": name.to_string(), "good": wrong.is_empty(), "wrong": all}))?;
            }
            Output::Table if wrong.is_empty() => out(&format!("{name}: good\n")),
            Output::Table => {
                for Wrong { line, key, problem } in wrong {
                    let line = line.map_or(String::new(), |line| format!("{line}:"));
                    out(&format!("{name}:{line} {key}: {problem}\n"));
                }
            }
        }
    }
    if good {
        Ok(())
    } else {
        Err(Failure::Told)
    }
}

fn check(file: &Path) -> Result<Vec<Wrong>, Failure> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|e| Failure::Broken(format!("{}: {e}", file.display())))?;
    match file.extension().and_then(|e| e.to_str()) {
        Some("toml") => Ok(operator(file, &text)),
        Some("json") => Ok(gateway(&text)),
        _ => {
            let text = "what it is goes by its name: NAME.toml of operators, NAME.json of a gateway";
            Err(Failure::Usage(format!("{}: {text}", file.display())))
        }
    }
}

fn gateway(text: &str) -> Vec<Wrong> {
    if let Err(e) = serde_json::from_str::<serde_json::Value>(text) {
        return vec![Wrong { line: Some(e.line()), key: "not JSON".to_string(), problem: e.to_string() }];
    }
    let wrong = admission_gateway::check(text.as_bytes()).into_iter().map(|e| {
        let key = e.field.strip_prefix("configuration.").unwrap_or(&e.field).to_string();
        Wrong { line: lines::of_json(text, &key), key, problem: e.problem.to_string() }
    });
    wrong.collect()
}

fn operator(file: &Path, text: &str) -> Vec<Wrong> {
    match OperatorConfig::parse(file, text) {
        Ok(_) => Vec::new(),
        Err(OperatorConfigError::Values(_, all)) => all
            .into_iter()
            .map(|(key, problem)| Wrong { line: lines::of_toml(text, &key), key, problem })
            .collect(),
        Err(OperatorConfigError::Toml(_, said)) => {
            // The library's text: where it is, the line itself, and at the end what is wrong.
            let line = said.split("line ").nth(1).and_then(|rest| rest.split(',').next()?.parse().ok());
            let problem = said.lines().last().unwrap_or_default().to_string();
            let key = line.and_then(|n: usize| text.lines().nth(n - 1)).map_or("", |l| l.trim());
            let key = key.split(['=', '#']).next().unwrap_or_default().trim().to_string();
            vec![Wrong { line, key, problem }]
        }
        Err(OperatorConfigError::Unreadable(_, e)) => {
            vec![Wrong { line: None, key: "file".to_string(), problem: e.to_string() }]
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn named(all: &[Wrong]) -> Vec<(Option<usize>, &str)> {
        all.iter().map(|w| (w.line, w.key.as_str())).collect()
    }

    #[test]
    fn every_wrong_key_of_a_gateways_configuration_is_named_with_its_line() {
        let some = "127.0.0.1:9".parse().expect("an address");
        let known = json!({"index": 0, "snapshot": true, "endpoints": []});
        let mut config = testbed::platform::config(0, 2, some, some, &known, None);
        let pretty = |config: &serde_json::Value| serde_json::to_string_pretty(config).expect("JSON");
        assert_eq!(named(&gateway(&pretty(&config))), []);
        config["listen"] = json!("here");
        config["seed"] = json!(7);
        config["settings"]["profiles"][1]["aim-ms"] = json!("long");
        config["settings"]["profiles"][2]["effect"] = json!("odd");
        config["settings"]["contract"].as_object_mut().expect("a section").remove("warm-up-ms");
        config.as_object_mut().expect("a section").remove("counter");
        let text = pretty(&config);
        let line = |what: &str| text.lines().position(|l| l.contains(what)).map(|n| n + 1);
        let mut found = gateway(&text);
        found.sort_by(|a, b| a.key.cmp(&b.key));
        assert_eq!(
            named(&found),
            [
                (Some(1), "counter"),
                (line("\"here\""), "listen"),
                (line("\"seed\""), "seed"),
                // Missing: the line on which its section begins.
                (line("\"contract\""), "settings.contract.warm-up-ms"),
                (line("\"long\""), "settings.profiles[1].aim-ms"),
                (line("\"odd\""), "settings.profiles[2].effect"),
            ]
        );
        assert_eq!(named(&gateway("{\n\"a\": }")), [(Some(2), "not JSON")]);
    }

    #[test]
    fn an_operators_file_is_checked_by_line_and_key() {
        let check = |text: &str| operator(Path::new("a.toml"), text);
        assert!(check("").is_empty());
        let values = "[agent]\nlisten = \"unix:/a\"\nlog = \"/b\"\nleast_ready = 3.0\nfan_out = 0\n";
        assert_eq!(named(&check(values)), [(Some(4), "agent.least_ready"), (Some(5), "agent.fan_out")]);
        assert_eq!(named(&check("[agent]\nlisen = \"unix:/a\"\n")), [(Some(2), "lisen")]);
        let twice = "[[gateway]]\nname = \"a\"\nadmin = \"unix:/a\"\n\n";
        assert_eq!(named(&check(&twice.repeat(2))), [(Some(6), "gateway[1].name")]);
    }
}
