//! Runs the built gateway against scripted stand-ins, all on loopback sockets.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;
pub use testbed::scripted::*;

#[path = "loopback_address.rs"]
pub mod loopback_address;

/// A running gateway process. It is killed on drop.
pub struct Gateway {
    process: Child,
    pub address: SocketAddr,
    config_file: tempfile::NamedTempFile,
    stderr: BufReader<ChildStderr>,
}

/// Starts the gateway program with a configuration. The file is deleted when the returned handle is dropped.
pub fn spawn_gateway(config: &str) -> (Child, tempfile::NamedTempFile) {
    spawn_gateway_with(config, |_| {})
}

/// Same as [`spawn_gateway`], but first lets `customize` add environment variables or arguments.
pub fn spawn_gateway_with(
    config: &str,
    customize: impl FnOnce(&mut Command),
) -> (Child, tempfile::NamedTempFile) {
    let mut file = tempfile::NamedTempFile::new().expect("create a temporary file");
    file.write_all(config.as_bytes()).expect("write the configuration");
    let mut command = Command::new(env!("CARGO_BIN_EXE_admission-gateway"));
    command.env("GW_CONFIG", file.path()).stdout(Stdio::piped()).stderr(Stdio::piped());
    customize(&mut command);
    (command.spawn().expect("start the gateway"), file)
}

/// Kills a process that printed something other than its listen address, and panics with its log.
fn fail_startup(mut process: Child, first_line: &str) -> ! {
    let _ = process.kill();
    let output = process.wait_with_output().expect("child process");
    panic!(
        "the gateway does not listen; {}, stdout line {first_line:?}, log:\n{}",
        output.status,
        lossy_text(&output.stderr)
    );
}

fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

impl Gateway {
    /// Starts a gateway and waits until it answers `PING`.
    pub fn start(config: &Value) -> Gateway {
        Gateway::start_with(config, |_| {})
    }

    /// Same as [`Gateway::start`], but first lets `customize` add environment variables or arguments.
    pub fn start_with(config: &Value, customize: impl FnOnce(&mut Command)) -> Gateway {
        let (mut process, file) = spawn_gateway_with(&config.to_string(), customize);
        let mut lines = BufReader::new(process.stdout.take().expect("stdout of the gateway")).lines();
        let line = lines.by_ref().map_while(Result::ok).find(|line| !line.starts_with("admin on "));
        let line = line.unwrap_or_default();
        let Some(address) = line.strip_prefix("listening on ") else { fail_startup(process, &line) };
        let address = address.parse().expect("socket address");
        let stderr = BufReader::new(process.stderr.take().expect("stderr of the gateway"));
        let gateway = Gateway { process, address, config_file: file, stderr };
        assert_eq!(gateway.client().request(&["PING"]), "+PONG");
        gateway
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the text of the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(self.config_file.path(), text).expect("write the configuration");
        self.signal("-HUP");
    }

    fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("run kill").success());
    }

    /// Blocks until the gateway logs another line, and returns it.
    pub fn next_log_line(&mut self) -> String {
        let mut line = String::new();
        self.stderr.read_line(&mut line).expect("stderr of the gateway");
        line
    }

    /// Returns the peak resident memory of the process (`VmHWM`), in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()))
            .expect("read procfs of the gateway process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("VmHWM line");
        line.trim().trim_end_matches(" kB").parse().expect("number")
    }

    /// Waits until the process exits; panics after [`MESSAGE_TIMEOUT`].
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().expect("child process") {
                return status;
            }
            assert!(start.elapsed() < MESSAGE_TIMEOUT, "the gateway does not exit");
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.process.try_wait().expect("child process").is_none()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A gateway and its stand-ins. The discovery agent sends nothing unless a test tells it to.
pub struct Rig {
    pub gateway: Gateway,
    pub config: Value,
    pub agent: DiscoveryStandIn,
    pub counter: StandIn,
    pub backends: Vec<StandIn>,
}

impl Rig {
    /// Starts a gateway with two backends in one cell.
    pub fn with_two_backends() -> Rig {
        Rig::with_config(2, |_| {})
    }

    /// Starts a gateway with a number of backends and a changed configuration.
    pub fn with_config(backends: usize, change: impl FnOnce(&mut Value)) -> Rig {
        Rig::with_command(backends, change, |_| {})
    }

    /// Same as [`Rig::with_config`], but also lets `customize` add environment variables or arguments.
    pub fn with_command(
        backends: usize,
        change: impl FnOnce(&mut Value),
        customize: impl FnOnce(&mut Command),
    ) -> Rig {
        let (agent, counter) = (DiscoveryStandIn::start(), StandIn::counter());
        let backends: Vec<StandIn> = (0..backends).map(|_| StandIn::backend()).collect();
        let known: Vec<Value> = (0..).zip(&backends).map(|(i, b)| serving(i, b)).collect();
        let mut config = config(agent.address, counter.address, &known);
        change(&mut config);
        Rig { gateway: Gateway::start_with(&config, customize), config, agent, counter, backends }
    }

    /// Waits for the next request at any backend; returns the backend's index and the request.
    pub fn next_request(&self) -> (usize, IncomingMessage) {
        next_from_any(&self.backends.iter().collect::<Vec<_>>())
    }

    /// Returns whether no backend has a request that the test has not taken yet.
    pub fn backends_idle(&self) -> bool {
        self.backends.iter().all(StandIn::idle)
    }

    /// Sends a snapshot with version 41 and waits until the gateway watches for later versions.
    pub fn send_snapshot(&self, endpoints: &[Value]) {
        self.agent.deliver(&list(41, true, endpoints));
    }

    /// Sends a request through the gateway and serves it; returns the backend's index and the request.
    pub fn serve_one(&self, client: &mut Client, id: u64) -> (usize, IncomingMessage) {
        client.send(&as_strs(&request_args(id, "safe", "free", 1, 8000)));
        let (index, mut arrived) = self.next_request();
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
        (index, arrived)
    }
}
