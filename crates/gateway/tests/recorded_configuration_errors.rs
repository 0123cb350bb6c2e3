//! The configuration file: a full sample (`tests/data/configuration.json`), and what is said where one of its
//! keys is missing or wrong (`tests/data/configuration_errors.txt`), as an earlier program said it.

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

/// The places of all values, sections before what is in them; of lists the first element alone.
fn places(value: &Value, at: &str, all: &mut Vec<String>) {
    let within: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(key, value)| (format!("{at}/{key}"), value)).collect(),
        Value::Array(list) => list.first().map(|value| (format!("{at}/0"), value)).into_iter().collect(),
        _ => Vec::new(),
    };
    for (place, value) in within {
        all.push(place.clone());
        places(value, &place, all);
    }
}

fn without(place: &str) -> Value {
    let mut file = sample();
    let (section, key) = place.rsplit_once('/').expect("JSON pointer");
    match file.pointer_mut(section).expect("JSON object") {
        Value::Object(map) => drop(map.remove(key)),
        Value::Array(list) => drop(list.remove(key.parse().expect("number"))),
        other => panic!("{place}: {other}"),
    }
    file
}

fn with(place: &str, value: Value) -> Value {
    let mut file = sample();
    *file.pointer_mut(place).expect("JSON pointer") = value;
    file
}

/// All that is wrong, as the check of a configuration tells it.
fn wrong(text: &str) -> String {
    let all: Vec<String> =
        admission_gateway::check(text.as_bytes()).iter().map(ToString::to_string).collect();
    if all.is_empty() {
        "nothing".to_string()
    } else {
        all.join(" | ")
    }
}

#[test]
fn each_key_that_is_missing_or_wrong_is_told_in_the_recorded_words() {
    assert_eq!(wrong(&sample().to_string()), "nothing");
    let mut all = Vec::new();
    places(&sample(), "", &mut all);
    let mut seen = String::new();
    for place in all {
        writeln!(seen, "{place} missing: {}", wrong(&without(&place).to_string()))
            .expect("write to a string");
        let values = [json!("x"), json!(-1), json!(1.5), json!(true), json!(null), json!({}), json!([])];
        for value in values {
            let shown = value.to_string();
            writeln!(seen, "{place} {shown}: {}", wrong(&with(&place, value).to_string()))
                .expect("write to a string");
        }
    }
    for text in ["", "{", "[]", "1", "null", "{}", "{\"known\":", "\u{fffd}"] {
        writeln!(seen, "{text:?}: {}", wrong(text)).expect("write to a string");
    }
    recorded::assert_recorded("configuration_errors.txt", &seen);
}

#[test]
fn the_program_says_the_first_that_is_wrong_and_ends() {
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
    let mut seen = String::new();
    for (name, text) in texts {
        let (process, _file) = spawn_gateway(&text);
        let output = process.wait_with_output().expect("child process");
        assert!(output.stdout.is_empty(), "{name}");
        let said = String::from_utf8(output.stderr).expect("UTF-8 text");
        let said = recorded::under_recorded_name(&said);
        write!(seen, "{name} ({:?}): {said}", output.status.code()).expect("write to a string");
    }
    recorded::assert_recorded("start_errors.txt", &seen);
}
