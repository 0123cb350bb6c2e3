//! What is left of the command line: watch, completions, the man page, help.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use support::{Fleet, PROGRAM};

#[test]
fn watch_shows_orders_and_lost_gateways() {
    let mut fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    let mut watch = Command::new(PROGRAM)
        .args(["--agent", &fleet.agent_address().to_string(), "-o", "json", "watch"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let mut said = BufReader::new(watch.stdout.take().expect("its output"));
    let mut next = || {
        let mut line = String::new();
        said.read_line(&mut line).expect("a line");
        let json: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        json["event"].as_str().expect("an event").to_string()
    };
    assert_eq!(next(), "watching");
    assert_eq!(fleet.json(&["drain", "till-0", "--id", "one"]).code, 0);
    assert!(next().starts_with("order one drain backend/till-0 at revision "));
    fleet.gateways[1].process.kill();
    assert!(next().starts_with("gateway n1 is unreachable: "));
    fleet.restart(1);
    let lines = [next(), next()];
    assert!(lines.contains(&"gateway n1 has started anew".to_string()), "{lines:?}");
    assert!(lines.contains(&"gateway n1 is ok".to_string()), "{lines:?}");
    watch.kill().expect("it runs");
    watch.wait().expect("it ends");
}

#[test]
fn prints_completions_man_page_and_help() {
    let said = |words: &[&str]| {
        let output = Command::new(PROGRAM).args(words).output().expect("it runs");
        assert!(output.status.success(), "{words:?}");
        String::from_utf8(output.stdout).expect("text")
    };
    for shell in ["bash", "zsh", "fish"] {
        assert!(said(&["completions", shell]).contains("undrain"), "{shell}");
    }
    assert!(said(&["man"]).contains(".TH gatewayctl"));
    let help = said(&["--help"]);
    for part in ["drain", "status", "up", "Exit codes", "BEECHRUDDER_AGENT"] {
        assert!(help.contains(part), "{part}: {help}");
    }
}
