//! Compares output that other programs read with the recordings under `tests/data`.
//!
//! Each comparison also writes the actual output to `tmp/recorded` in the target directory, whether it
//! matches or not.

use std::path::{Path, PathBuf};

use serde_json::{json, Value};

use super::CommandOutput;

/// Keys whose values differ between runs: times, process ids, error messages of the operating system and
/// statistics that depend on timing.
pub const VOLATILE: &[&str] = &[
    "at_ms",
    "boot",
    "took_ms",
    "heard_ms_ago",
    "pid",
    "version",
    "list",
    "idle_connections",
    "client_connections",
    "warmth",
    "cold",
    "life_ms",
    "asked",
    "served",
    "refused",
    "held_back",
    "p50_ms",
    "p99_ms",
    "term",
    "why",
];
const LOOPBACK: &str = "127.0.0.1:";
/// Minimum number of digits in a revision's term, which is the Unix time in seconds at which the agent
/// started.
const TERM_DIGITS: usize = 9;

/// Replaces values that differ between runs, but keeps keys and types.
pub struct Normalizer<'a> {
    /// Directory of the test.
    pub dir: &'a Path,
    /// Keys whose numbers and strings are replaced by the name of their type.
    pub volatile: &'a [&'a str],
}

impl Normalizer<'_> {
    /// Returns the value with everything that differs between runs replaced.
    pub fn value(&self, value: &Value) -> Value {
        match value {
            Value::Array(all) => all.iter().map(|value| self.value(value)).collect(),
            Value::Object(all) => {
                let entry = |(key, value): (&String, &Value)| (key.clone(), self.entry(key, value));
                Value::Object(all.iter().map(entry).collect())
            }
            Value::String(text) => self.text(text).into(),
            other => other.clone(),
        }
    }

    fn entry(&self, key: &str, value: &Value) -> Value {
        match value {
            Value::Number(_) if self.volatile.contains(&key) => "<number>".into(),
            Value::String(_) if self.volatile.contains(&key) => "<string>".into(),
            other => self.value(other),
        }
    }

    /// Replaces the test's directory, ports of the loopback address and the terms of revisions.
    fn text(&self, text: &str) -> String {
        let text = text.replace(&self.dir.display().to_string(), "<DIR>");
        let mut parts = text.split(LOOPBACK);
        let mut normal = parts.next().unwrap_or_default().to_string();
        for part in parts {
            let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
            normal += &format!("{LOOPBACK}<PORT>{rest}");
        }
        normal.split(' ').map(without_term).collect::<Vec<_>>().join(" ")
    }

    /// Returns the exit code and the normalized JSON lines of a command's output.
    pub fn outcome(&self, output: &CommandOutput) -> Value {
        let lines = output.stdout.lines().map(|line| {
            let value: Value = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
            self.value(&value)
        });
        json!({"code": output.code, "out": lines.collect::<Vec<_>>()})
    }
}

/// Replaces the term in a revision of the form `TERM.SEQ`; returns other words unchanged.
fn without_term(word: &str) -> String {
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    match word.split_once('.') {
        Some((term, seq)) if term.len() >= TERM_DIGITS && digits(term) && digits(seq) => {
            format!("<TERM>.{seq}")
        }
        _ => word.to_string(),
    }
}

/// Compares actual output with the recording of this name, key by key.
pub fn compare(name: &str, actual: &Value) {
    let tmp = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("recorded");
    std::fs::create_dir_all(&tmp).expect("a directory");
    let text = serde_json::to_string_pretty(actual).expect("JSON") + "\n";
    std::fs::write(tmp.join(name), text).expect("the file is written");
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name);
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let recorded: Value = serde_json::from_str(&text).expect("the recording is JSON");
    let mut differences = Vec::new();
    collect_differences(&recorded, actual, "", &mut differences);
    assert!(differences.is_empty(), "{name}:\n{}", differences.join("\n"));
}

fn collect_differences(recorded: &Value, actual: &Value, path: &str, differences: &mut Vec<String>) {
    match (recorded, actual) {
        (Value::Object(recorded), Value::Object(actual)) => {
            for (key, value) in recorded {
                match actual.get(key) {
                    Some(other) => collect_differences(value, other, &format!("{path}/{key}"), differences),
                    None => differences.push(format!("{path}/{key} is missing")),
                }
            }
            let new = actual.keys().filter(|key| !recorded.contains_key(*key));
            differences.extend(new.map(|key| format!("{path}/{key} is new")));
        }
        (Value::Array(recorded), Value::Array(actual)) if recorded.len() == actual.len() => {
            for (index, (recorded, actual)) in recorded.iter().zip(actual).enumerate() {
                collect_differences(recorded, actual, &format!("{path}/{index}"), differences);
            }
        }
        (recorded, actual) if recorded != actual => {
            differences.push(format!("{path}: recorded {recorded}, actual {actual}"));
        }
        _ => {}
    }
}
