//! The `up` command without any prior setup: output, end of its processes and cleanup.

mod support;

use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Command, Stdio};

use serde_json::Value;
use support::{wait_until, PROGRAM};
use testbed::scripted::{as_strs, request_args, Client};

/// Whether a process exists and is not a zombie.
fn is_running(pid: &Value) -> bool {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
}

#[test]
fn interrupted_up_leaves_nothing_running() {
    let mut up = Command::new(PROGRAM)
        .args(["up", "--gateways", "2", "--backends", "3", "--load", "50", "--output", "json"])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the start succeeds");
    let mut stdout = BufReader::new(up.stdout.take().expect("stdout is piped"));
    let mut line = String::new();
    stdout.read_line(&mut line).expect("a line");
    let started: Value = serde_json::from_str(&line).expect("JSON");
    let (description, agent) =
        (&started["up"], started["up"]["agent"].as_str().expect("an agent").to_string());
    assert_eq!(description["gateways"].as_array().expect("a list").len(), 2);
    assert_eq!(description["backends"].as_array().expect("a list").len(), 3);
    let address =
        description["gateways"][0]["address"].as_str().expect("a string").parse().expect("an address");
    let mut client = Client::connect(address);
    let mut request = request_args(7, "safe", "free", 1, 3000);
    request[3] = request[3].replace("spread=2", "spread=1");
    client.send(&as_strs(&request));
    assert_eq!(client.read(), format!("{:016x}", 7));
    let status = || {
        let output = Command::new(PROGRAM).args(["--agent", &agent, "status"]).output();
        output.expect("the program runs")
    };
    wait_until("all gateways are ok", || status().status.success());
    // Time for some requests at 50 per second.
    std::thread::sleep(std::time::Duration::from_secs(1));
    let id = up.id().to_string();
    assert!(Command::new("kill").args(["-INT", &id]).status().expect("kill runs").success());
    let mut rest = String::new();
    stdout.read_to_string(&mut rest).expect("the rest of the output");
    assert!(up.wait().expect("the wait succeeds").success(), "{rest}");
    let result: Value = serde_json::from_str(&rest).expect("JSON");
    let result = &result["down"];
    assert!(result["served"].as_u64().expect("a number") > 0, "{result}");
    assert_eq!((&result["lost"], &result["breaches"]), (&0.into(), &Value::Array(Vec::new())), "{result}");
    for gateway in description["gateways"].as_array().expect("a list") {
        assert!(!is_running(&gateway["pid"]), "a gateway is still running");
    }
    let socket = agent.strip_prefix("unix:").expect("a Unix socket");
    assert!(
        !Path::new(socket).exists() && !Path::new(socket).parent().expect("a temporary directory").exists()
    );
}

#[test]
fn processes_end_when_up_is_killed() {
    let mut up = Command::new(PROGRAM)
        .args(["up", "--gateways", "1", "--backends", "1", "--load", "0", "--output", "json"])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("the start succeeds");
    let mut line = String::new();
    BufReader::new(up.stdout.take().expect("stdout is piped")).read_line(&mut line).expect("a line");
    let started: Value = serde_json::from_str(&line).expect("JSON");
    let pid = started["up"]["gateways"][0]["pid"].clone();
    assert!(is_running(&pid));
    up.kill().expect("the process is killed");
    up.wait().expect("the wait succeeds");
    wait_until("the gateway has exited", || !is_running(&pid));
    let socket =
        started["up"]["agent"].as_str().expect("a string").strip_prefix("unix:").expect("a Unix socket");
    std::fs::remove_dir_all(Path::new(socket).parent().expect("a temporary directory"))
        .expect("the directory is removed");
}

#[test]
fn up_with_duration_prints_addresses_and_exits() {
    let output = Command::new(PROGRAM)
        .args(["up", "--gateways", "1", "--backends", "2", "--load", "40", "--for", "500ms"])
        .stdin(Stdio::null())
        .output()
        .expect("the program runs");
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{stdout}");
    for part in ["redis-cli -h 127.0.0.1 -p ", "its admin listener", "till-1", "the five rules held"] {
        assert!(stdout.contains(part), "{part}: {stdout}");
    }
}
