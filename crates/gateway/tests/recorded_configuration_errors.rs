//! Error messages for a configuration file with a missing or invalid key, starting from a complete sample
//! (`tests/data/configuration.json`), compared with those of an earlier version of the program
//! (`tests/data/configuration_errors.txt`, `tests/data/start_errors.txt`).

#[path = "support/gateway_rig.rs"]
mod gateway_rig;
#[path = "support/recorded.rs"]
mod recorded;

use std::fmt::Write as _;

use gateway_rig::*;
use serde_json::{json, Value};

fn sample() -> Value {
    serde_json::from_str(&recorded::text("configuration.json")).expect("valid JSON")
}

/// Collects the JSON pointers of all values, parents before children; of arrays only the first element.
fn collect_pointers(value: &Value, at: &str, all: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(key, value)| (format!("{at}/{key}"), value)).collect(),
        Value::Array(list) => list.first().map(|value| (format!("{at}/0"), value)).into_iter().collect(),
        _ => Vec::new(),
    };
    for (pointer, value) in children {
        all.push(pointer.clone());
        collect_pointers(value, &pointer, all);
    }
}

/// Returns the sample without one value.
fn without(pointer: &str) -> Value {
    let mut file = sample();
    let (section, key) = pointer.rsplit_once('/').expect("JSON pointer");
    match file.pointer_mut(section).expect("JSON object") {
        Value::Object(map) => drop(map.remove(key)),
        Value::Array(list) => drop(list.remove(key.parse().expect("number"))),
        other => panic!("{pointer}: {other}"),
    }
    file
}

/// Returns the sample with one value replaced.
fn with(pointer: &str, value: Value) -> Value {
    let mut file = sample();
    *file.pointer_mut(pointer).expect("JSON pointer") = value;
    file
}

/// Returns all errors that the configuration check finds, or `nothing`.
fn check_errors(text: &str) -> String {
    let all: Vec<String> =
        admission_gateway::check(text.as_bytes()).iter().map(ToString::to_string).collect();
    if all.is_empty() {
        "nothing".to_string()
    } else {
        all.join(" | ")
    }
}

#[test]
fn missing_or_invalid_key_gets_recorded_error() {
    assert_eq!(check_errors(&sample().to_string()), "nothing");
    let mut all = Vec::new();
    collect_pointers(&sample(), "", &mut all);
    let mut actual = String::new();
    for pointer in all {
        writeln!(actual, "{pointer} missing: {}", check_errors(&without(&pointer).to_string()))
            .expect("write to a string");
        let values = [json!("x"), json!(-1), json!(1.5), json!(true), json!(null), json!({}), json!([])];
        for value in values {
            let shown = value.to_string();
            writeln!(actual, "{pointer} {shown}: {}", check_errors(&with(&pointer, value).to_string()))
                .expect("write to a string");
        }
    }
    for text in ["", "{", "[]", "1", "null", "{}", "{\"known\":", "\u{fffd}"] {
        writeln!(actual, "{text:?}: {}", check_errors(text)).expect("write to a string");
    }
    recorded::assert_recorded("configuration_errors.txt", &actual);
}

#[test]
fn program_prints_recorded_first_error_and_exits() {
    let (cut, huge) = (sample().to_string(), sample().to_string().replacen("4000.0", "1e400", 1));
    let texts = [
        ("no JSON", String::new()),
        ("cut short", cut[..cut.len() / 2].to_string()),
        ("a number beyond all", huge),
        ("no listen", without("/listen").to_string()),
        ("listen", with("/listen", json!("nowhere")).to_string()),
        ("management", with("/management", json!(6380)).to_string()),
        ("counter", without("/counter").to_string()),
        ("seed", with("/seed", json!("xyz")).to_string()),
        ("known", with("/known", json!([])).to_string()),
        ("sockets", without("/limits/sockets").to_string()),
        ("no settings", without("/settings").to_string()),
        ("two keys", {
            let mut file = without("/settings/prices");
            file["settings"]["profiles"][0]["aim-ms"] = json!("soon");
            file.to_string()
        }),
    ];
    let mut actual = String::new();
    for (name, text) in texts {
        let (process, _file) = spawn_gateway(&text);
        let output = process.wait_with_output().expect("child process");
        assert!(output.stdout.is_empty(), "{name}");
        let stderr = String::from_utf8(output.stderr).expect("UTF-8 text");
        let stderr = recorded::under_recorded_name(&stderr);
        write!(actual, "{name} ({:?}): {stderr}", output.status.code()).expect("write to a string");
    }
    recorded::assert_recorded("start_errors.txt", &actual);
}
