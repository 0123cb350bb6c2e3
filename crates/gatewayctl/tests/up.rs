//! `up`, as somebody on a fresh machine runs it.

mod support;

use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Command, Stdio};

use serde_json::Value;
use support::{wait_until, PROGRAM};
use testbed::scripted::{as_strs, request_args, Client};

/// Whether a process is there and no zombie.
fn runs(pid: &Value) -> bool {
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
        .expect("it starts");
    let mut said = BufReader::new(up.stdout.take().expect("its output"));
    let mut line = String::new();
    said.read_line(&mut line).expect("a line");
    let told: Value = serde_json::from_str(&line).expect("JSON");
    let (up_told, agent) = (&told["up"], told["up"]["agent"].as_str().expect("an agent").to_string());
    assert_eq!(up_told["gateways"].as_array().expect("a list").len(), 2);
    assert_eq!(up_told["backends"].as_array().expect("a list").len(), 3);
    let address = up_told["gateways"][0]["address"].as_str().expect("one").parse().expect("an address");
    let mut client = Client::connect(address);
    let mut request = request_args(7, "safe", "free", 1, 3000);
    request[3] = request[3].replace("spread=2", "spread=1");
    client.send(&as_strs(&request));
    assert_eq!(client.read(), format!("{:016x}", 7));
    let status = || {
        let output = Command::new(PROGRAM).args(["--agent", &agent, "status"]).output();
        output.expect("it runs")
    };
    wait_until("all are well", || status().status.success());
    // Some of the load, at 50 a second.
    std::thread::sleep(std::time::Duration::from_secs(1));
    let id = up.id().to_string();
    assert!(Command::new("kill").args(["-INT", &id]).status().expect("kill").success());
    let mut rest = String::new();
    said.read_to_string(&mut rest).expect("its last words");
    assert!(up.wait().expect("it ends").success(), "{rest}");
    let down: Value = serde_json::from_str(&rest).expect("JSON");
    let down = &down["down"];
    assert!(down["served"].as_u64().expect("a number") > 0, "{down}");
    assert_eq!((&down["lost"], &down["breaches"]), (&0.into(), &Value::Array(Vec::new())), "{down}");
    for gateway in up_told["gateways"].as_array().expect("a list") {
        assert!(!runs(&gateway["pid"]), "left running");
    }
    let socket = agent.strip_prefix("unix:").expect("a Unix socket");
    assert!(!Path::new(socket).exists() && !Path::new(socket).parent().expect("a folder").exists());
}

#[test]
fn processes_end_when_up_is_killed() {
    let mut up = Command::new(PROGRAM)
        .args(["up", "--gateways", "1", "--backends", "1", "--load", "0", "--output", "json"])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    let mut line = String::new();
    BufReader::new(up.stdout.take().expect("its output")).read_line(&mut line).expect("a line");
    let told: Value = serde_json::from_str(&line).expect("JSON");
    let pid = told["up"]["gateways"][0]["pid"].clone();
    assert!(runs(&pid));
    up.kill().expect("it runs");
    up.wait().expect("it ends");
    wait_until("its gateway has ended", || !runs(&pid));
    let socket = told["up"]["agent"].as_str().expect("one").strip_prefix("unix:").expect("a Unix socket");
    std::fs::remove_dir_all(Path::new(socket).parent().expect("a folder")).expect("what it left");
}

#[test]
fn timed_up_shows_addresses_and_ends() {
    let output = Command::new(PROGRAM)
        .args(["up", "--gateways", "1", "--backends", "2", "--load", "40", "--for", "500ms"])
        .stdin(Stdio::null())
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{said}");
    for part in ["redis-cli -h 127.0.0.1 -p ", "its admin listener", "till-1", "the five rules held"] {
        assert!(said.contains(part), "{part}: {said}");
    }
}
