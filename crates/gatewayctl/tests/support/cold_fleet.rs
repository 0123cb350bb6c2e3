//! Fleet of dozens of gateways as processes of the built executable, for tests of cold starts. The list
//! service has an address for each gateway, so that it can attribute calls.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tempfile::TempDir;
use testbed::audit::{audit, AuditOptions, Rule};
use testbed::backend::{Backend, Spec};
use testbed::client::{Load, LoadCounts, LoadProfile};
use testbed::counter::Counter;
use testbed::discovery::{Discovery, DiscoveryCall, DiscoveryCapacity};
use testbed::harness::{Link, Node, Program, Timeline};
use testbed::journal::{Event, Journal};
use testbed::platform;
use tokio::runtime::Runtime;

use super::RunningLoad;

/// Timeout for expected events; generous, so that tests also pass on a slow machine.
pub const TIMEOUT: Duration = Duration::from_secs(25);
/// Time that the list service takes for each call, one after another: ten calls per second.
pub const LIST_CALL_TIME: Duration = Duration::from_millis(100);
/// Maximum number of calls that may wait at the list service.
pub const LIST_CALLS_MAX: usize = 8;

/// Lock that lets one fleet run at a time, because its processes use all cores.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Composition and settings of a fleet.
pub struct FleetShape {
    pub gateways: usize,
    pub backends: usize,
    /// Whether the gateways' configurations contain the endpoint list.
    pub known: bool,
    /// Time that the counter takes for each call, one after another; if zero, calls are concurrent.
    pub counter_call_time: Duration,
    /// Content of the operators' file, in which `{folder}` stands for the fleet's directory.
    pub operator_config: String,
    pub seed: u64,
}

impl Default for FleetShape {
    fn default() -> Self {
        let operator_config = "[start]\nlist_calls_per_s = 10\n".to_string();
        FleetShape {
            gateways: 30,
            backends: 8,
            known: true,
            counter_call_time: Duration::ZERO,
            operator_config,
            seed: 0,
        }
    }
}

/// Fleet of gateways, an agent and stand-ins; its processes end when it is dropped.
pub struct ColdFleet {
    pub nodes: Vec<Node>,
    pub service: Discovery,
    pub counter: Counter,
    pub backends: Vec<Backend>,
    /// Agent process, which is not running until [`ColdFleet::start_agent`].
    pub agent: Node,
    /// Links between each gateway and the list service.
    pub links: Vec<Link>,
    pub journal: Journal,
    pub timeline: Timeline,
    pub runtime: Runtime,
    gateway_program: Program,
    agent_program: Program,
    /// Index of each killed gateway and the time of the kill.
    kills: Vec<(usize, Duration)>,
    _directory: TempDir,
    _lock: MutexGuard<'static, ()>,
}

impl Drop for ColdFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("{}", self.timeline);
        }
    }
}

impl ColdFleet {
    /// Starts the stand-ins and prepares gateways and an agent without starting them.
    pub fn new(shape: FleetShape) -> ColdFleet {
        let lock = FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
        let FleetShape { gateways, backends, known, counter_call_time, operator_config, seed } = shape;
        println!("seed {seed:#x}");
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let (runtime, journal) = (runtime.expect("the runtime starts"), Journal::new(1_000_000));
        let directory = tempfile::Builder::new().prefix("br-").tempdir().expect("a temporary directory");
        let (service, counter, backends, links) = runtime.block_on(async {
            let capacity = DiscoveryCapacity { time_per_call: LIST_CALL_TIME, max_queued: LIST_CALLS_MAX };
            let service =
                Discovery::with_listeners(gateways, Some(capacity)).await.expect("the start succeeds");
            let mut started = Vec::new();
            for i in 0..backends {
                started
                    .push(Backend::start(Spec::plain(i), journal.clone()).await.expect("the start succeeds"));
            }
            let mut links = Vec::new();
            for (index, address) in service.addresses.iter().enumerate() {
                links.push(Link::to(*address, seed ^ index as u64).await.expect("the start succeeds"));
            }
            (
                service,
                Counter::with_time_per_call(counter_call_time).await.expect("the start succeeds"),
                started,
                links,
            )
        });
        let empty_list = service.known();
        for b in &backends {
            service.list(b, "SERVING");
        }
        let list = if known { service.known() } else { empty_list };
        let file = directory.path().join("operator.toml");
        let operator_config = operator_config.replace("{folder}", &directory.path().display().to_string());
        std::fs::write(&file, operator_config).expect("the file is written");
        let program = |command: &str| {
            let args = [command, "--until-closed", "--operator", &file.display().to_string()];
            let path = PathBuf::from(env!("CARGO_BIN_EXE_gatewayctl"));
            Program { path, args: args.map(str::to_string).to_vec() }
        };
        let (gateway_program, agent_program) = (program("gateway"), program("agent"));
        let agent =
            Node::new(directory.path(), &serde_json::json!({"name": "agent"})).expect("the file is written");
        let node = |(index, link): (usize, &Link)| {
            let config = platform::config(index, gateways, link.address, counter.address, &list, None);
            Node::new(directory.path(), &config).expect("the file is written")
        };
        let nodes = links.iter().enumerate().map(node).collect();
        let (timeline, kills) = (Timeline::new(seed), Vec::new());
        ColdFleet {
            nodes,
            service,
            counter,
            backends,
            agent,
            links,
            journal,
            timeline,
            runtime,
            gateway_program,
            agent_program,
            kills,
            _directory: directory,
            _lock: lock,
        }
    }

    /// Starts gateways at once without waiting until they are ready. A running gateway is killed first.
    pub fn start(&mut self, indices: impl IntoIterator<Item = usize>) {
        let indices: Vec<usize> = indices.into_iter().collect();
        self.timeline.note(format!("started: {indices:?}"));
        let (nodes, program) = (&mut self.nodes, &self.gateway_program);
        self.runtime.block_on(async {
            for index in indices {
                nodes[index].start(program).await.expect("the start succeeds");
            }
        });
    }

    /// Starts the agent and waits until it listens.
    pub fn start_agent(&mut self) {
        self.timeline.note("agent started");
        let (agent, program) = (&mut self.agent, &self.agent_program);
        self.runtime.block_on(async {
            agent.start(program).await.expect("the start succeeds");
            agent.wait_for_line("overseeing ").await.expect("the peer is reachable");
        });
    }

    /// Waits until these gateways are ready.
    pub fn wait_until_ready(&mut self, indices: impl IntoIterator<Item = usize>) {
        let nodes = &mut self.nodes;
        self.runtime.block_on(async {
            for index in indices {
                nodes[index].ready().await.expect("the gateway becomes ready");
            }
        });
    }

    /// Kills gateways and records the kills for [`ColdFleet::assert_no_violation`].
    pub fn kill(&mut self, indices: impl IntoIterator<Item = usize>) {
        let indices: Vec<usize> = indices.into_iter().collect();
        self.timeline.note(format!("killed: {indices:?}"));
        for index in indices {
            self.nodes[index].kill();
            self.kills.push((index, self.journal.now()));
        }
    }

    /// Returns the indices of all gateways.
    pub fn all(&self) -> std::ops::Range<usize> {
        0..self.nodes.len()
    }

    /// Sleeps for a fixed time. To wait for a condition, use [`ColdFleet::wait_until`].
    pub fn sleep(&self, time: Duration) {
        std::thread::sleep(time);
    }

    /// Polls a condition until it holds; panics after [`TIMEOUT`].
    pub fn wait_until(&mut self, condition: &str, mut holds: impl FnMut(&mut ColdFleet) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            assert!(start.elapsed() < TIMEOUT, "timed out waiting for: {condition}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns, by gateway index, the time of the first list answer to a call made at or after `since`.
    pub fn first_answers(&self, since: Duration) -> HashMap<usize, Duration> {
        let mut first_answers = HashMap::new();
        for call in self.service.calls().iter().filter(|c| c.at >= since) {
            if let Some(at) = call.answered {
                let first = first_answers.entry(call.listener_index).or_insert(at);
                *first = (*first).min(at);
            }
        }
        first_answers
    }

    /// Waits until these gateways have each received a list for a call made at or after `since`. Returns the
    /// time of the last first answer.
    pub fn wait_until_all_answered(
        &mut self,
        indices: impl IntoIterator<Item = usize>,
        since: Duration,
    ) -> Duration {
        let indices: Vec<usize> = indices.into_iter().collect();
        self.wait_until("all gateways receive the list", |fleet| {
            let answers = fleet.first_answers(since);
            indices.iter().all(|index| answers.contains_key(index))
        });
        let answers = self.first_answers(since);
        indices.iter().map(|index| answers[index]).max().unwrap_or_default()
    }

    /// Starts a load on all gateways that are ready.
    pub fn start_load(&self, rate: f64) -> RunningLoad {
        self.start_load_with(LoadProfile { rate, ..LoadProfile::default() })
    }

    /// Starts a load with this profile on all gateways that are ready.
    pub fn start_load_with(&self, profile: LoadProfile) -> RunningLoad {
        let addresses = self.nodes.iter().filter_map(|n| n.address).collect();
        let load = Load::new(addresses, 1 << 40, self.journal.clone());
        RunningLoad::start(&self.runtime, load, profile)
    }

    /// Waits until more than `more` further requests are served.
    pub fn wait_until_served(&mut self, load: &RunningLoad, more: u64) {
        let served_before = load.counts().served;
        self.wait_until("the load is served", |_| load.counts().served > served_before + more);
    }

    /// Stops a load, waits for the outstanding answers and returns the counts.
    pub fn finish_load(&self, load: RunningLoad) -> LoadCounts {
        load.finish(&self.runtime)
    }

    /// Asserts that the auditor finds no violation, except where a gateway was killed: its open requests may
    /// be lost, and a request may run twice, because the client sends it again after its connection has
    /// closed.
    pub fn assert_no_violation(&self) {
        let violations = audit(&self.journal, AuditOptions::default()).expect("the journal is complete");
        let sent: HashMap<u64, (usize, Duration)> = self
            .journal
            .events()
            .iter()
            .filter_map(|(at, event)| match event {
                Event::RequestSent { id, gateway, .. } => Some((*id, (*gateway, *at))),
                _ => None,
            })
            .collect();
        let deadline = Duration::from_secs_f64(platform::DEADLINE_MS / 1_000.0);
        let gateway_was_killed = |id: u64| {
            let Some((gateway, at)) = sent.get(&id) else { return false };
            self.kills.iter().any(|(index, killed_at)| {
                index == gateway
                    && *killed_at + Duration::from_millis(50) >= *at
                    && *killed_at < *at + deadline
            })
        };
        let unexcused: Vec<String> = violations
            .iter()
            .filter(|b| !matches!(b.rule, Rule::Lost | Rule::Twice) || !gateway_was_killed(b.id))
            .map(ToString::to_string)
            .collect();
        let shown = unexcused.iter().take(10).collect::<Vec<_>>();
        assert!(unexcused.is_empty(), "{} violations: {shown:#?}", unexcused.len());
    }
}

/// Returns the maximum number of calls within any window of this length.
pub fn max_in_window(calls: &[DiscoveryCall], window: Duration) -> usize {
    let within = |i: usize| calls[i..].iter().take_while(|c| c.at < calls[i].at + window).count();
    (0..calls.len()).map(within).max().unwrap_or(0)
}
