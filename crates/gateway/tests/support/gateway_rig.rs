//! The built gateway between scripted stand-ins, all on loopback sockets.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
pub use testbed::scripted::*;

#[path = "address.rs"]
pub mod address;

/// A running gateway.
pub struct Gateway {
    process: Child,
    pub address: SocketAddr,
    config: tempfile::NamedTempFile,
    log: BufReader<ChildStderr>,
}

/// Runs the program with a configuration, and gives what it said if it ends by itself.
pub fn process(config: &str) -> (Child, tempfile::NamedTempFile) {
    process_as(config, |_| {})
}

/// The same with more variables or words than the configuration's.
pub fn process_as(config: &str, more: impl FnOnce(&mut Command)) -> (Child, tempfile::NamedTempFile) {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(config.as_bytes()).expect("room");
    let mut command = Command::new(env!("CARGO_BIN_EXE_admission-gateway"));
    command.env("GW_CONFIG", file.path()).stdout(Stdio::piped()).stderr(Stdio::piped());
    more(&mut command);
    (command.spawn().expect("the gateway starts"), file)
}

/// Ends a process that said something else than where it listens, and fails the test with its log.
fn failed_start(mut process: Child, said: &str) -> ! {
    let _ = process.kill();
    let output = process.wait_with_output().expect("a child");
    panic!("it listens: no; {}, said {said:?}, log:\n{}", output.status, text(&output.stderr));
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

impl Gateway {
    pub fn start(config: &Value) -> Gateway {
        Gateway::start_as(config, |_| {})
    }

    /// The same with more variables or words than the configuration's.
    pub fn start_as(config: &Value, more: impl FnOnce(&mut Command)) -> Gateway {
        let (mut process, file) = process_as(&config.to_string(), more);
        let mut lines = BufReader::new(process.stdout.take().expect("its output")).lines();
        let said = lines.by_ref().map_while(Result::ok).find(|line| !line.starts_with("admin on "));
        let said = said.unwrap_or_default();
        let Some(address) = said.strip_prefix("listening on ") else { failed_start(process, &said) };
        let address = address.parse().expect("an address");
        let log = BufReader::new(process.stderr.take().expect("its log"));
        let gateway = Gateway { process, address, config: file, log };
        assert_eq!(gateway.client().ask(&["PING"]), "+PONG");
        gateway
    }

    /// Its process's number.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration by a text and has it read.
    pub fn configure(&self, text: &str) {
        std::fs::write(self.config.path(), text).expect("room");
        self.signal("-HUP");
    }

    fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    /// The next line that it logs.
    pub fn logged(&mut self) -> String {
        let mut line = String::new();
        self.log.read_line(&mut line).expect("its log");
        line
    }

    /// The most memory that it ever held, kB.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).expect("it runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a figure");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().expect("a child") {
                return status;
            }
            assert!(start.elapsed() < PATIENCE, "it does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn runs(&mut self) -> bool {
        self.process.try_wait().expect("a child").is_none()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A gateway with its stand-ins; discovery is silent unless a test tells something.
pub struct Rig {
    pub gateway: Gateway,
    pub config: Value,
    pub agent: Agent,
    pub counter: StandIn,
    pub backends: Vec<StandIn>,
}

impl Rig {
    /// Two backends of one cell.
    pub fn new() -> Rig {
        Rig::with(2, |_| {})
    }

    pub fn with(backends: usize, change: impl FnOnce(&mut Value)) -> Rig {
        Rig::with_as(backends, change, |_| {})
    }

    /// The same with more variables or words for the program than the configuration's.
    pub fn with_as(backends: usize, change: impl FnOnce(&mut Value), more: impl FnOnce(&mut Command)) -> Rig {
        let (agent, counter) = (Agent::start(), StandIn::counter());
        let backends: Vec<StandIn> = (0..backends).map(|_| StandIn::backend()).collect();
        let known: Vec<Value> = (0..).zip(&backends).map(|(i, b)| serving(i, b)).collect();
        let mut config = config(agent.address, counter.address, &known);
        change(&mut config);
        Rig { gateway: Gateway::start_as(&config, more), config, agent, counter, backends }
    }

    pub fn next(&self) -> (usize, Arrived) {
        next_of(&self.backends.iter().collect::<Vec<_>>())
    }

    pub fn idle(&self) -> bool {
        self.backends.iter().all(StandIn::idle)
    }

    /// Tells the whole list, so that watches follow.
    pub fn told(&self, endpoints: &[Value]) {
        self.agent.tell(&list(41, true, endpoints));
    }

    /// Sends a request through and serves it.
    pub fn serve_one(&self, client: &mut Client, id: u64) -> (usize, Arrived) {
        client.send(&words(&call(id, "safe", "free", 1, 8000)));
        let (place, mut arrived) = self.next();
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
        (place, arrived)
    }
}
