//! Output that other programs read, compared with what was recorded under `tests/data`.
//!
//! A comparison writes what it saw under the target directory's `tmp/recorded`, whether it holds or not.

use std::path::{Path, PathBuf};

use serde_json::{json, Value};

use super::Ran;

/// Keys whose values differ from run to run: times, process ids, reasons that the system gives, and figures
/// that depend on the moment.
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
/// The fewest digits of a revision's term: it is the second in which the agent started.
const TERM_DIGITS: usize = 9;

/// Replaces what differs from run to run, so that keys and types stay.
pub struct Normalizer<'a> {
    /// The test's own directory.
    pub dir: &'a Path,
    /// Keys whose numbers and texts are replaced by their type's name.
    pub volatile: &'a [&'a str],
}

impl Normalizer<'_> {
    /// A value with all that differs from run to run replaced.
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

    /// Replaces the test's directory, ports of the loopback address and terms of revisions.
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

    /// A program's exit code and its lines of JSON.
    pub fn outcome(&self, ran: &Ran) -> Value {
        let lines = ran.out.lines().map(|line| {
            let value: Value = serde_json::from_str(line).unwrap_or_else(|e| panic!("{e}: {line}"));
            self.value(&value)
        });
        json!({"code": ran.code, "out": lines.collect::<Vec<_>>()})
    }
}

/// A revision, `TERM.SEQ`, without its term.
fn without_term(word: &str) -> String {
    let digits = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
    match word.split_once('.') {
        Some((term, seq)) if term.len() >= TERM_DIGITS && digits(term) && digits(seq) => {
            format!("<TERM>.{seq}")
        }
        _ => word.to_string(),
    }
}

/// Compares all that was seen with the record of this name, key by key.
pub fn compare(name: &str, seen: &Value) {
    let tmp = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("recorded");
    std::fs::create_dir_all(&tmp).expect("a directory");
    let text = serde_json::to_string_pretty(seen).expect("JSON") + "\n";
    std::fs::write(tmp.join(name), text).expect("room");
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name);
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let recorded: Value = serde_json::from_str(&text).expect("a record is JSON");
    let mut differences = Vec::new();
    differ(&recorded, seen, "", &mut differences);
    assert!(differences.is_empty(), "{name}:\n{}", differences.join("\n"));
}

fn differ(recorded: &Value, seen: &Value, path: &str, differences: &mut Vec<String>) {
    match (recorded, seen) {
        (Value::Object(recorded), Value::Object(seen)) => {
            for (key, value) in recorded {
                match seen.get(key) {
                    Some(other) => differ(value, other, &format!("{path}/{key}"), differences),
                    None => differences.push(format!("{path}/{key} is missing")),
                }
            }
            let new = seen.keys().filter(|key| !recorded.contains_key(*key));
            differences.extend(new.map(|key| format!("{path}/{key} is new")));
        }
        (Value::Array(recorded), Value::Array(seen)) if recorded.len() == seen.len() => {
            for (place, (recorded, seen)) in recorded.iter().zip(seen).enumerate() {
                differ(recorded, seen, &format!("{path}/{place}"), differences);
            }
        }
        (recorded, seen) if recorded != seen => {
            differences.push(format!("{path}: recorded {recorded}, seen {seen}"));
        }
        _ => {}
    }
}
