//! `gateway ready`, `disable`, `enable`, `drain` and `undrain` against a running gateway: output and exit
//! codes.

mod support;

use std::process::Command;

use serde_json::{json, Value};
use support::{own_loopback, wait_until, Process, PROGRAM};
use testbed::scripted::{config, endpoint, DiscoveryStandIn, StandIn};

/// Runs a `gateway` command. Returns its exit code, standard output and standard error.
fn run(args: &[&str]) -> (i32, String, String) {
    let output = Command::new(PROGRAM).arg("gateway").args(args).output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().expect("an exit code"), text(&output.stdout), text(&output.stderr))
}

#[test]
fn gateway_commands_report_each_gateway_and_set_exit_codes() {
    let (agent, counter, backend) = (DiscoveryStandIn::start(), StandIn::counter(), StandIn::backend());
    let known = [endpoint("s-0", backend.address, 1, "SERVING", 0.0)];
    let mut gateway_config = config(agent.address, counter.address, &known);
    // No other test process binds ports of this address.
    let host = own_loopback();
    let (address, unused) = (format!("{host}:7001"), format!("{host}:7002"));
    gateway_config["management"] = json!(address);
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("gateway.json");
    std::fs::write(&file, gateway_config.to_string()).expect("the file is written");
    let log = dir.path().join("gateway.log");
    let (gateway, _) = Process::start(&["gateway"], Some(&file), &log, &["listening on "]);
    wait_until(&format!("the gateway is ready: {}", gateway.log_text()), || {
        run(&["ready", "--at", &address]).0 == 0
    });
    let (code, stdout, _) = run(&["disable", "s-0", "--at", &address, "--output", "json"]);
    let report: Value = serde_json::from_str(&stdout).expect("JSON");
    assert_eq!((code, &report["outcome"], &report["call"]), (0, &json!("done"), &json!("DISABLE s-0")));
    let (code, stdout, _) = run(&["enable", "s-1", "--at", &address]);
    assert!(code == 4 && stdout.contains("refused") && stdout.contains("no backend"), "{code}: {stdout}");
    assert_eq!(run(&["enable", "s-0", "--at", &address]).0, 0);
    // An unreachable gateway must not count as done.
    let (code, stdout, _) = run(&["drain", "--at", &address, "--at", &unused]);
    assert!(code == 3 && stdout.contains("done") && stdout.contains("unreachable"), "{code}: {stdout}");
    assert_eq!(run(&["ready", "--at", &address]).0, 4, "the gateway is drained");
    assert_eq!(run(&["undrain", "--at", &address]).0, 0);
    assert_eq!(run(&["ready", "--at", &unused]).0, 5);
    let (code, _, stderr) = run(&["disable", "two words", "--at", &address]);
    assert!(code == 2 && stderr.contains("no spaces"), "{code}: {stderr}");
    assert_eq!(run(&["disable", "s-0"]).0, 2, "an address is required");
}
