//! The `watch` command, shell completions, the man page and the help text.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use support::{Fleet, PROGRAM};

#[test]
fn watch_prints_orders_and_gateway_failures() {
    let mut fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    let mut watch = Command::new(PROGRAM)
        .args(["--agent", &fleet.agent_address().to_string(), "-o", "json", "watch"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the start succeeds");
    let mut stdout = BufReader::new(watch.stdout.take().expect("stdout is piped"));
    let mut next_event = || {
        let mut line = String::new();
        stdout.read_line(&mut line).expect("a line");
        let json: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        json["event"].as_str().expect("an event").to_string()
    };
    assert_eq!(next_event(), "watching");
    assert_eq!(fleet.cli_json(&["drain", "till-0", "--id", "one"]).code, 0);
    assert!(next_event().starts_with("order one drain backend/till-0 at revision "));
    fleet.gateways[1].process.kill();
    assert!(next_event().starts_with("gateway n1 is unreachable: "));
    fleet.restart(1);
    let lines = [next_event(), next_event()];
    assert!(lines.contains(&"gateway n1 has started anew".to_string()), "{lines:?}");
    assert!(lines.contains(&"gateway n1 is ok".to_string()), "{lines:?}");
    watch.kill().expect("the process is killed");
    watch.wait().expect("the wait succeeds");
}

#[test]
fn prints_completions_man_page_and_help() {
    let run = |args: &[&str]| {
        let output = Command::new(PROGRAM).args(args).output().expect("the program runs");
        assert!(output.status.success(), "{args:?}");
        String::from_utf8(output.stdout).expect("UTF-8")
    };
    for shell in ["bash", "zsh", "fish"] {
        assert!(run(&["completions", shell]).contains("undrain"), "{shell}");
    }
    assert!(run(&["man"]).contains(".TH gatewayctl"));
    let help = run(&["--help"]);
    for part in ["drain", "status", "up", "Exit codes", "BEECHRUDDER_AGENT"] {
        assert!(help.contains(part), "{part}: {help}");
    }
}
