//! A fleet for a test: stand-ins in threads here, gateways and an agent as processes of the built program.

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

use super::{ended, wait_until, Process, Ran, RunningLoad, PROGRAM, TIMEOUT};

pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub admin: Address,
    pub process: Process,
    config: PathBuf,
}

/// A fleet, which ends with the value.
pub struct Fleet {
    pub journal: Journal,
    pub discovery: Discovery,
    pub counter: Counter,
    pub backends: Vec<Backend>,
    pub gateways: Vec<Gateway>,
    pub agent: Option<Process>,
    pub runtime: Runtime,
    pub dir: TempDir,
    /// Where the agent serves a list, if its settings have sources.
    pub list: Option<SocketAddr>,
    operator: PathBuf,
}

impl Fleet {
    /// Gateways and backends, and an agent that oversees them.
    pub fn start(gateways: usize, backends: usize) -> Fleet {
        Fleet::with(gateways, backends, &[], "")
    }

    /// The same with further members of the operator's file, and more settings of its agent.
    pub fn with(gateways: usize, backends: usize, members: &[&str], settings: &str) -> Fleet {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let (runtime, journal) = (runtime.expect("a runtime"), Journal::new(1_000_000));
        let (discovery, counter, started) = runtime.block_on(async {
            let mut all = Vec::new();
            for i in 0..backends {
                all.push(Backend::start(Spec::plain(i), journal.clone()).await.expect("it starts"));
            }
            (Discovery::start().await.expect("it starts"), Counter::start().await.expect("it starts"), all)
        });
        for b in &started {
            discovery.list(b, "SERVING");
        }
        let dir = tempfile::Builder::new().prefix("br-").tempdir().expect("a folder");
        let (at, operator) = (dir.path().display(), dir.path().join("operator.toml"));
        let mut text = format!("[admin]\nlisten = \"unix:{at}/{{name}}.sock\"\n\n[agent]\n");
        text += &format!("listen = \"unix:{at}/agent.sock\"\nlog = \"{at}/orders.redb\"\n");
        text += "heartbeat_ms = 200\n";
        if !settings.contains("answer_ms") {
            text += "answer_ms = 600\n";
        }
        text += &format!("{settings}\n");
        let names = (0..gateways).map(|i| format!("n{i}")).chain(members.iter().map(ToString::to_string));
        for name in names {
            text += &format!("\n[[gateway]]\nname = \"{name}\"\nadmin = \"unix:{at}/{name}.sock\"\n");
        }
        fs::write(&operator, text).expect("room");
        let (backends, agent) = (started, None);
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
            operator,
        };
        for me in 0..gateways {
            let gateway = fleet.gateway(&format!("n{me}"), me, gateways);
            fleet.gateways.push(gateway);
        }
        fleet.start_agent();
        fleet
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// A gateway of this name.
    pub fn gateway(&self, name: &str, me: usize, all: usize) -> Gateway {
        let known = self.discovery.known();
        let (discovery, counter) = (self.discovery.address, self.counter.address);
        let mut config = platform::config(me, all, discovery, counter, &known, None);
        config["name"] = name.into();
        let file = self.path(&format!("{name}.json"));
        fs::write(&file, config.to_string()).expect("room");
        self.gateway_of(name, file)
    }

    fn gateway_of(&self, name: &str, config: PathBuf) -> Gateway {
        let operator = self.operator.display().to_string();
        let words = ["gateway", "--operator", &operator];
        let begin = ["admin on ", "listening on "];
        let (process, said) =
            Process::start(&words, Some(&config), &self.path(&format!("{name}.log")), &begin);
        let (admin, address) = (said[0].parse().expect("one"), said[1].parse().expect("an address"));
        // It comes back at the same address.
        let text = fs::read_to_string(&config).expect("there");
        let mut json: Value = serde_json::from_str(&text).expect("JSON");
        json["listen"] = said[1].clone().into();
        fs::write(&config, json.to_string()).expect("room");
        Gateway { name: name.to_string(), address, admin, process, config }
    }

    /// Starts a gateway anew that was killed.
    pub fn restart(&mut self, place: usize) {
        let (name, config) = (self.gateways[place].name.clone(), self.gateways[place].config.clone());
        self.gateways[place].process.kill();
        let again = self.gateway_of(&name, config);
        self.gateways[place] = again;
    }

    pub fn start_agent(&mut self) {
        let operator = self.operator.display().to_string();
        let log = self.path("agent.log");
        let sources = fs::read_to_string(&self.operator).expect("there").contains("[sources]");
        let begin: &[&str] =
            if sources { &["overseeing ", "serving the list on "] } else { &["overseeing "] };
        let (process, said) = Process::start(&["agent", "--operator", &operator], None, &log, begin);
        self.list = said.get(1).map(|address| address.parse().expect("an address"));
        self.agent = Some(process);
    }

    /// Starts the agent where it is to fail, and gives what it came to; one that runs on is ended.
    pub fn failing_agent(&self) -> Ran {
        let operator = self.operator.display().to_string();
        let mut command = Command::new(PROGRAM);
        command.args(["agent", "--operator", &operator]).stdin(Stdio::null());
        ended(command)
    }

    /// Has all gateways go over to another discovery while they run.
    pub fn discover(&self, discovery: SocketAddr) {
        for gateway in &self.gateways {
            let text = fs::read_to_string(&gateway.config).expect("there");
            let mut json: Value = serde_json::from_str(&text).expect("JSON");
            json["discovery"] = discovery.to_string().into();
            fs::write(&gateway.config, json.to_string()).expect("room");
            gateway.process.signal("-HUP");
        }
    }

    /// The backends that a gateway lists, in order.
    pub fn lists(&self, place: usize) -> Vec<String> {
        let all = self.state(place).backends.expect("asked for");
        let mut names: Vec<String> = all.into_iter().map(|b| b.name).collect();
        names.sort();
        names
    }

    pub fn kill_agent(&mut self) {
        if let Some(mut agent) = self.agent.take() {
            agent.kill();
        }
    }

    pub fn agent_address(&self) -> Address {
        Address::Unix(self.path("agent.sock"))
    }

    pub fn log(&self) -> PathBuf {
        self.path("orders.redb")
    }

    /// Runs the command line.
    pub fn cli(&self, words: &[&str]) -> Ran {
        let agent = self.agent_address().to_string();
        let output = Command::new(PROGRAM).args(["--agent", &agent]).args(words).output();
        output.expect("it runs").into()
    }

    /// Runs it for its JSON.
    pub fn json(&self, words: &[&str]) -> Ran {
        self.cli(&[words, &["-o", "json"]].concat())
    }

    /// Waits until all gateways are well by the agent's word.
    pub fn wait_until_healthy(&self) {
        wait_until("all gateways are well", || {
            let ran = self.json(&["status"]);
            ran.code == 0
                && ran.json()["gateways"].as_array().expect("a list").iter().all(|g| g["health"] == "ok")
        });
    }

    /// Asks a gateway itself.
    pub fn ask(&self, admin: &Address, ask: GatewayRequest) -> GatewayResponse {
        self.runtime.block_on(async {
            let mut lines =
                Connector::default().connect(admin, TIMEOUT, MAX_LINE_BYTES).await.expect("it listens");
            ask_on(&mut lines, ask).await
        })
    }

    /// A gateway's own state.
    pub fn state(&self, place: usize) -> GatewayState {
        match self.ask(&self.gateways[place].admin, GatewayRequest::State { backends: true }) {
            GatewayResponse::State(state) => state,
            other => panic!("{other:?}"),
        }
    }

    /// Whether a gateway has a backend drained by order.
    pub fn drained(&self, place: usize, backend: &str) -> bool {
        let all = self.state(place).backends.expect("asked for");
        all.iter().find(|b| b.name == backend).expect("listed").drained_by.is_some()
    }

    /// A load over the first so many gateways.
    pub fn load(&self, gateways: usize, rate: f64) -> RunningLoad {
        self.load_from(gateways, rate, 1 << 40)
    }

    /// The same with ids from this on, for a second load.
    pub fn load_from(&self, gateways: usize, rate: f64, first_id: u64) -> RunningLoad {
        let addresses = self.gateways.iter().take(gateways).map(|g| g.address).collect();
        let load = Load::new(addresses, first_id, self.journal.clone());
        let plan = LoadProfile { rate, ..LoadProfile::default() };
        let running = RunningLoad::start(&self.runtime, load, plan);
        wait_until("the load is served", || running.tally().served > 20);
        running
    }

    /// Ends a load and waits for its last answers.
    pub fn finish(&self, running: RunningLoad) -> LoadCounts {
        running.finish(&self.runtime)
    }

    /// No rule broke.
    pub fn assert_no_breach(&self) {
        let breaches = audit(&self.journal, AuditOptions::default()).expect("all events are there");
        let shown: Vec<String> = breaches.iter().map(ToString::to_string).take(10).collect();
        assert!(breaches.is_empty(), "{} breaches: {shown:#?}", breaches.len());
    }
}

pub async fn ask_on(lines: &mut JsonLines, ask: GatewayRequest) -> GatewayResponse {
    lines.send(&Envelope { request_id: 1, body: ask }).await.expect("it listens");
    let said: Option<Envelope<GatewayResponse>> = lines.next().await.expect("a line");
    said.expect("an answer").body
}
