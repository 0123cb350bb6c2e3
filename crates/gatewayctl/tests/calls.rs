//! `gateway ready`, `disable`, `enable`, `drain`, `undrain` against a running gateway: what they say and
//! their exit codes.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use testbed::scripted::{config, endpoint, Agent, StandIn, PATIENCE};

const PROGRAM: &str = env!("CARGO_BIN_EXE_gatewayctl");

struct Gateway(Child);

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// Runs a call; gives its exit code, its output and its errors.
fn call(words: &[&str]) -> (i32, String, String) {
    let ran = Command::new(PROGRAM).arg("gateway").args(words).output().expect("it runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (ran.status.code().expect("a code"), text(&ran.stdout), text(&ran.stderr))
}

#[test]
fn calls_say_what_each_gateway_answered_and_end_with_a_code_that_tells() {
    let (agent, counter, backend) = (Agent::start(), StandIn::counter(), StandIn::backend());
    let known = [endpoint("s-0", backend.address, 1, "SERVING", 0.0)];
    let mut told = config(agent.address, counter.address, &known);
    let (second, nobody) = (free(), free());
    told["management"] = json!(second.to_string());
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    std::io::Write::write_all(&mut file, told.to_string().as_bytes()).expect("room");
    let gateway = Command::new(PROGRAM)
        .arg("gateway")
        .env("GW_CONFIG", file.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts");
    let _gateway = Gateway(gateway);
    let (at, none) = (second.to_string(), nobody.to_string());
    let start = Instant::now();
    while call(&["ready", "--at", &at]).0 != 0 {
        assert!(start.elapsed() < PATIENCE, "never ready");
        sleep(Duration::from_millis(20));
    }
    let (code, out, _) = call(&["disable", "s-0", "--at", &at, "--output", "json"]);
    let said: Value = serde_json::from_str(&out).expect("a line of JSON");
    assert_eq!((code, &said["outcome"], &said["call"]), (0, &json!("done"), &json!("DISABLE s-0")));
    let (code, out, _) = call(&["enable", "s-1", "--at", &at]);
    assert!(code == 4 && out.contains("refused") && out.contains("no backend"), "{code}: {out}");
    assert_eq!(call(&["enable", "s-0", "--at", &at]).0, 0);
    // Danger: a gateway that can't be reached, told as done.
    let (code, out, _) = call(&["drain", "--at", &at, "--at", &none]);
    assert!(code == 3 && out.contains("done") && out.contains("unreachable"), "{code}: {out}");
    assert_eq!(call(&["ready", "--at", &at]).0, 4, "it is drained");
    assert_eq!(call(&["undrain", "--at", &at]).0, 0);
    assert_eq!(call(&["ready", "--at", &none]).0, 5);
    let (code, _, errors) = call(&["disable", "two words", "--at", &at]);
    assert!(code == 2 && errors.contains("no spaces"), "{code}: {errors}");
    assert_eq!(call(&["disable", "s-0"]).0, 2, "no address");
}
