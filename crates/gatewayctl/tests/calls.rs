//! `gateway ready`, `disable`, `enable`, `drain`, `undrain` against a running gateway: what they say and
//! their exit codes.

mod support;

use std::process::Command;

use serde_json::{json, Value};
use support::{own_loopback, wait_until, Process, PROGRAM};
use testbed::scripted::{config, endpoint, DiscoveryStandIn, StandIn};

/// Runs a call; gives its exit code, its output and its errors.
fn call(words: &[&str]) -> (i32, String, String) {
    let ran = Command::new(PROGRAM).arg("gateway").args(words).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (ran.status.code().expect("a code"), text(&ran.stdout), text(&ran.stderr))
}

#[test]
fn gateway_commands_report_each_gateway_and_set_exit_codes() {
    let (agent, counter, backend) = (DiscoveryStandIn::start(), StandIn::counter(), StandIn::backend());
    let known = [endpoint("s-0", backend.address, 1, "SERVING", 0.0)];
    let mut told = config(agent.address, counter.address, &known);
    // An address of this process's own: nobody else takes its ports.
    let host = own_loopback();
    let (at, none) = (format!("{host}:7001"), format!("{host}:7002"));
    told["management"] = json!(at);
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("gateway.json");
    std::fs::write(&file, told.to_string()).expect("room");
    let log = dir.path().join("gateway.log");
    let (gateway, _) = Process::start(&["gateway"], Some(&file), &log, &["listening on "]);
    wait_until(&format!("it is ready: {}", gateway.log_text()), || call(&["ready", "--at", &at]).0 == 0);
    let (code, out, _) = call(&["disable", "s-0", "--at", &at, "--output", "json"]);
    let said: Value = serde_json::from_str(&out).expect("a line of JSON");
    assert_eq!((code, &said["outcome"], &said["call"]), (0, &json!("done"), &json!("DISABLE s-0")));
    let (code, out, _) = call(&["enable", "s-1", "--at", &at]);
    assert!(code == 4 && out.contains("refused") && out.contains("no backend"), "{code}: {out}");
    assert_eq!(call(&["enable", "s-0", "--at", &at]).0, 0);
    // One that can't be reached must not count as done.
    let (code, out, _) = call(&["drain", "--at", &at, "--at", &none]);
    assert!(code == 3 && out.contains("done") && out.contains("unreachable"), "{code}: {out}");
    assert_eq!(call(&["ready", "--at", &at]).0, 4, "it is drained");
    assert_eq!(call(&["undrain", "--at", &at]).0, 0);
    assert_eq!(call(&["ready", "--at", &none]).0, 5);
    let (code, _, errors) = call(&["disable", "two words", "--at", &at]);
    assert!(code == 2 && errors.contains("no spaces"), "{code}: {errors}");
    assert_eq!(call(&["disable", "s-0"]).0, 2, "no address");
}
