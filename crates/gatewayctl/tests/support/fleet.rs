//! Fleet for tests: stand-ins on threads of the test process, gateways and an agent as processes of the built
//! executable.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

use fleet::wire::{Envelope, GatewayRequest, GatewayResponse, GatewayState, MAX_LINE_BYTES};
use operator_config::Address;
use serde_json::Value;
use tempfile::TempDir;
use testbed::audit::{audit, AuditOptions};
use testbed::backend::{Backend, Spec};
use testbed::client::{Load, LoadCounts, LoadProfile};
use testbed::counter::Counter;
use testbed::discovery::Discovery;
use testbed::journal::Journal;
use testbed::platform;
use tokio::runtime::Runtime;
use transport::{Connector, JsonLines};

use super::{run_to_exit, wait_until, CommandOutput, Process, RunningLoad, PROGRAM, TIMEOUT};

/// Gateway that runs as a process.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub admin: Address,
    pub process: Process,
    config: PathBuf,
}

/// Running fleet; its processes are killed when it is dropped.
pub struct Fleet {
    pub journal: Journal,
    pub discovery: Discovery,
    pub counter: Counter,
    pub backends: Vec<Backend>,
    pub gateways: Vec<Gateway>,
    pub agent: Option<Process>,
    pub runtime: Runtime,
    pub dir: TempDir,
    /// Address at which the agent serves the endpoint list, if `[sources]` is configured.
    pub list: Option<SocketAddr>,
    operator_config: PathBuf,
}

impl Fleet {
    /// Starts gateways, backends and an agent that controls the gateways.
    pub fn start(gateways: usize, backends: usize) -> Fleet {
        Fleet::start_with(gateways, backends, &[], "")
    }

    /// Starts a fleet with further gateway names in the operators' file, for which no process is started, and
    /// with further settings of the agent.
    pub fn start_with(
        gateways: usize,
        backends: usize,
        extra_gateways: &[&str],
        agent_settings: &str,
    ) -> Fleet {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let (runtime, journal) = (runtime.expect("the runtime starts"), Journal::new(1_000_000));
        let (discovery, counter, backends) = runtime.block_on(async {
            let mut started = Vec::new();
            for i in 0..backends {
                started
                    .push(Backend::start(Spec::plain(i), journal.clone()).await.expect("the start succeeds"));
            }
            (
                Discovery::start().await.expect("the start succeeds"),
                Counter::start().await.expect("the start succeeds"),
                started,
            )
        });
        for b in &backends {
            discovery.list(b, "SERVING");
        }
        let dir = tempfile::Builder::new().prefix("br-").tempdir().expect("a temporary directory");
        let (directory, operator_config) = (dir.path().display(), dir.path().join("operator.toml"));
        let mut text = format!("[admin]\nlisten = \"unix:{directory}/{{name}}.sock\"\n\n[agent]\n");
        text += &format!("listen = \"unix:{directory}/agent.sock\"\nlog = \"{directory}/orders.redb\"\n");
        text += "heartbeat_ms = 200\n";
        if !agent_settings.contains("answer_ms") {
            text += "answer_ms = 600\n";
        }
        text += &format!("{agent_settings}\n");
        let names =
            (0..gateways).map(|i| format!("n{i}")).chain(extra_gateways.iter().map(ToString::to_string));
        for name in names {
            text += &format!("\n[[gateway]]\nname = \"{name}\"\nadmin = \"unix:{directory}/{name}.sock\"\n");
        }
        fs::write(&operator_config, text).expect("the file is written");
        let (backends, agent) = (backends, None);
        let mut fleet = Fleet {
            journal,
            discovery,
            counter,
            backends,
            gateways: Vec::new(),
            agent,
            runtime,
            dir,
            list: None,
            operator_config,
        };
        for index in 0..gateways {
            let gateway = fleet.start_gateway(&format!("n{index}"), index, gateways);
            fleet.gateways.push(gateway);
        }
        fleet.start_agent();
        fleet
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes the configuration of a gateway and starts it.
    pub fn start_gateway(&self, name: &str, index: usize, gateways: usize) -> Gateway {
        let known = self.discovery.known();
        let (discovery, counter) = (self.discovery.address, self.counter.address);
        let mut config = platform::config(index, gateways, discovery, counter, &known, None);
        config["name"] = name.into();
        let file = self.path(&format!("{name}.json"));
        fs::write(&file, config.to_string()).expect("the file is written");
        self.spawn_gateway(name, file)
    }

    fn spawn_gateway(&self, name: &str, config: PathBuf) -> Gateway {
        let operator_config = self.operator_config.display().to_string();
        let args = ["gateway", "--operator", &operator_config];
        let prefixes = ["admin on ", "listening on "];
        let (process, lines) =
            Process::start(&args, Some(&config), &self.path(&format!("{name}.log")), &prefixes);
        let (admin, address) = (lines[0].parse().expect("an address"), lines[1].parse().expect("an address"));
        // A restart uses the same address.
        let text = fs::read_to_string(&config).expect("the file is readable");
        let mut json: Value = serde_json::from_str(&text).expect("JSON");
        json["listen"] = lines[1].clone().into();
        fs::write(&config, json.to_string()).expect("the file is written");
        Gateway { name: name.to_string(), address, admin, process, config }
    }

    /// Kills a gateway if it is running and starts it again.
    pub fn restart(&mut self, index: usize) {
        let (name, config) = (self.gateways[index].name.clone(), self.gateways[index].config.clone());
        self.gateways[index].process.kill();
        let restarted = self.spawn_gateway(&name, config);
        self.gateways[index] = restarted;
    }

    /// Starts the agent and waits until it listens.
    pub fn start_agent(&mut self) {
        let operator_config = self.operator_config.display().to_string();
        let log = self.path("agent.log");
        let has_sources =
            fs::read_to_string(&self.operator_config).expect("the file is readable").contains("[sources]");
        let prefixes: &[&str] =
            if has_sources { &["overseeing ", "serving the list on "] } else { &["overseeing "] };
        let (process, lines) =
            Process::start(&["agent", "--operator", &operator_config], None, &log, prefixes);
        self.list = lines.get(1).map(|address| address.parse().expect("an address"));
        self.agent = Some(process);
    }

    /// Runs an agent that is expected to fail and returns its output.
    pub fn run_failing_agent(&self) -> CommandOutput {
        let operator_config = self.operator_config.display().to_string();
        let mut command = Command::new(PROGRAM);
        command.args(["agent", "--operator", &operator_config]).stdin(Stdio::null());
        run_to_exit(command)
    }

    /// Reconfigures all running gateways to use another list service.
    pub fn set_list_service(&self, address: SocketAddr) {
        self.reconfigure(|config| config["discovery"] = address.to_string().into());
    }

    /// Changes the configuration of all running gateways and has them reload it.
    pub fn reconfigure(&self, change: impl Fn(&mut Value)) {
        for gateway in &self.gateways {
            let text = fs::read_to_string(&gateway.config).expect("the file is readable");
            let mut config: Value = serde_json::from_str(&text).expect("JSON");
            change(&mut config);
            fs::write(&gateway.config, config.to_string()).expect("the file is written");
            gateway.process.signal("-HUP");
        }
    }

    /// Returns the sorted names of the backends on a gateway's list.
    pub fn listed_backends(&self, index: usize) -> Vec<String> {
        let all = self.state(index).backends.expect("the backends are included");
        let mut names: Vec<String> = all.into_iter().map(|b| b.name).collect();
        names.sort();
        names
    }

    /// Kills the agent, if it is running.
    pub fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            agent.kill();
        }
    }

    pub fn agent_address(&self) -> Address {
        Address::Unix(self.path("agent.sock"))
    }

    /// Path of the agent's order log.
    pub fn log_path(&self) -> PathBuf {
        self.path("orders.redb")
    }

    /// Runs a command against the fleet's agent.
    pub fn cli(&self, args: &[&str]) -> CommandOutput {
        let agent = self.agent_address().to_string();
        let output = Command::new(PROGRAM).args(["--agent", &agent]).args(args).output();
        output.expect("the program runs").into()
    }

    /// Runs a command with JSON output against the fleet's agent.
    pub fn cli_json(&self, args: &[&str]) -> CommandOutput {
        self.cli(&[args, &["-o", "json"]].concat())
    }

    /// Waits until the agent reports all gateways as `ok`.
    pub fn wait_until_healthy(&self) {
        wait_until("all gateways are ok", || {
            let output = self.cli_json(&["status"]);
            output.code == 0
                && output.json()["gateways"].as_array().expect("a list").iter().all(|g| g["health"] == "ok")
        });
    }

    /// Sends a request to a gateway's admin listener and returns the response.
    pub fn request(&self, admin: &Address, request: GatewayRequest) -> GatewayResponse {
        self.runtime.block_on(async {
            let mut lines = Connector::default()
                .connect(admin, TIMEOUT, MAX_LINE_BYTES)
                .await
                .expect("the peer is reachable");
            request_on(&mut lines, request).await
        })
    }

    /// Queries a gateway for its state, including its backends.
    pub fn state(&self, index: usize) -> GatewayState {
        match self.request(&self.gateways[index].admin, GatewayRequest::State { backends: true }) {
            GatewayResponse::State(state) => state,
            other => panic!("unexpected response: {other:?}"),
        }
    }

    /// Whether a gateway holds an order that drains the backend.
    pub fn is_drained(&self, index: usize, backend: &str) -> bool {
        let all = self.state(index).backends.expect("the backends are included");
        all.iter().find(|b| b.name == backend).expect("the backend is listed").drained_by.is_some()
    }

    /// Starts a load on the first `gateways` gateways and waits until requests are served.
    pub fn start_load(&self, gateways: usize, rate: f64) -> RunningLoad {
        self.start_load_from(gateways, rate, 1 << 40)
    }

    /// Starts a load with request ids from `first_id`, so that two loads can run at once.
    pub fn start_load_from(&self, gateways: usize, rate: f64, first_id: u64) -> RunningLoad {
        let addresses = self.gateways.iter().take(gateways).map(|g| g.address).collect();
        let load = Load::new(addresses, first_id, self.journal.clone());
        let profile = LoadProfile { rate, ..LoadProfile::default() };
        let running = RunningLoad::start(&self.runtime, load, profile);
        wait_until("the load is served", || running.counts().served > 20);
        running
    }

    /// Stops a load, waits for the outstanding answers and returns the counts.
    pub fn finish_load(&self, running: RunningLoad) -> LoadCounts {
        running.finish(&self.runtime)
    }

    /// Asserts that the auditor finds no violation in the journal.
    pub fn assert_no_violation(&self) {
        let violations = audit(&self.journal, AuditOptions::default()).expect("the journal is complete");
        let shown: Vec<String> = violations.iter().map(ToString::to_string).take(10).collect();
        assert!(violations.is_empty(), "{} violations: {shown:#?}", violations.len());
    }
}

/// Sends a request on an open connection and returns the response.
pub async fn request_on(lines: &mut JsonLines, request: GatewayRequest) -> GatewayResponse {
    lines.send(&Envelope { request_id: 1, body: request }).await.expect("the peer is reachable");
    let response: Option<Envelope<GatewayResponse>> = lines.next().await.expect("a line");
    response.expect("a response").body
}
