//! Some tens of gateways as processes of the built program, each with a door of its own to the list service.

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

/// How long anything that must come may take; long, so that a slow machine gives the same verdict.
pub const TIMEOUT: Duration = Duration::from_secs(25);
/// The service works so long on a call: ten a second.
pub const LIST_CALL_TIME: Duration = Duration::from_millis(100);
/// Calls that may stand before it.
pub const LIST_CALLS_MAX: usize = 8;

/// One fleet at a time, as each has processes for all cores.
static ALONE: Mutex<()> = Mutex::new(());

/// What a fleet is made of.
pub struct FleetShape {
    pub gateways: usize,
    pub backends: usize,
    /// Whether gateways know the list before they start.
    pub known: bool,
    /// Time that the counter works on a call; zero: on all at once.
    pub counter_takes: Duration,
    /// The operators' file; `{folder}` in it is the fleet's.
    pub operator: String,
    pub seed: u64,
}

impl Default for FleetShape {
    fn default() -> Self {
        let operator = "[start]\nlist_calls_per_s = 10\n".to_string();
        FleetShape {
            gateways: 30,
            backends: 8,
            known: true,
            counter_takes: Duration::ZERO,
            operator,
            seed: 0,
        }
    }
}

/// A fleet, which ends with the value.
pub struct ColdFleet {
    pub nodes: Vec<Node>,
    pub service: Discovery,
    pub counter: Counter,
    pub backends: Vec<Backend>,
    /// The agent's process, which runs once it is started.
    pub agent: Node,
    /// Between each gateway and the list service.
    pub links: Vec<Link>,
    pub journal: Journal,
    pub timeline: Timeline,
    pub runtime: Runtime,
    program: Program,
    agents: Program,
    /// Kills, by the place of the gateway.
    kills: Vec<(usize, Duration)>,
    _folder: TempDir,
    _alone: MutexGuard<'static, ()>,
}

impl Drop for ColdFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            println!("{}", self.timeline);
        }
    }
}

impl ColdFleet {
    /// Stand-ins and gateways, none of which runs yet.
    pub fn new(shape: FleetShape) -> ColdFleet {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let FleetShape { gateways, backends, known, counter_takes, operator, seed } = shape;
        println!("seed {seed:#x}");
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        let (runtime, journal) = (runtime.expect("a runtime"), Journal::new(1_000_000));
        let folder = tempfile::Builder::new().prefix("br-").tempdir().expect("a folder");
        let (service, counter, backends, links) = runtime.block_on(async {
            let bears = DiscoveryCapacity { time_per_call: LIST_CALL_TIME, max_queued: LIST_CALLS_MAX };
            let service = Discovery::with_listeners(gateways, Some(bears)).await.expect("it starts");
            let mut all = Vec::new();
            for i in 0..backends {
                all.push(Backend::start(Spec::plain(i), journal.clone()).await.expect("it starts"));
            }
            let mut links = Vec::new();
            for (me, door) in service.addresses.iter().enumerate() {
                links.push(Link::to(*door, seed ^ me as u64).await.expect("it starts"));
            }
            (service, Counter::with_time_per_call(counter_takes).await.expect("it starts"), all, links)
        });
        let empty = service.known();
        for b in &backends {
            service.list(b, "SERVING");
        }
        let list = if known { service.known() } else { empty };
        let file = folder.path().join("operator.toml");
        let operator = operator.replace("{folder}", &folder.path().display().to_string());
        std::fs::write(&file, operator).expect("room");
        let program = |what: &str| {
            let words = [what, "--until-closed", "--operator", &file.display().to_string()];
            let path = PathBuf::from(env!("CARGO_BIN_EXE_gatewayctl"));
            Program { path, args: words.map(str::to_string).to_vec() }
        };
        let (program, agents) = (program("gateway"), program("agent"));
        let agent = Node::new(folder.path(), &serde_json::json!({"name": "agent"})).expect("room");
        let node = |(me, link): (usize, &Link)| {
            let config = platform::config(me, gateways, link.address, counter.address, &list, None);
            Node::new(folder.path(), &config).expect("room")
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
            program,
            agents,
            kills,
            _folder: folder,
            _alone: alone,
        }
    }

    /// Starts some at once, without waiting; one that runs is killed first.
    pub fn start(&mut self, places: impl IntoIterator<Item = usize>) {
        let places: Vec<usize> = places.into_iter().collect();
        self.timeline.note(format!("started: {places:?}"));
        let (nodes, program) = (&mut self.nodes, &self.program);
        self.runtime.block_on(async {
            for place in places {
                nodes[place].start(program).await.expect("it starts");
            }
        });
    }

    /// Starts the agent, and waits until it listens.
    pub fn start_agent(&mut self) {
        self.timeline.note("the agent starts");
        let (agent, program) = (&mut self.agent, &self.agents);
        self.runtime.block_on(async {
            agent.start(program).await.expect("it starts");
            agent.wait_for_line("overseeing ").await.expect("it listens");
        });
    }

    /// Waits until some are ready.
    pub fn wait_until_ready(&mut self, places: impl IntoIterator<Item = usize>) {
        let nodes = &mut self.nodes;
        self.runtime.block_on(async {
            for place in places {
                nodes[place].ready().await.expect("it gets ready");
            }
        });
    }

    pub fn kill(&mut self, places: impl IntoIterator<Item = usize>) {
        let places: Vec<usize> = places.into_iter().collect();
        self.timeline.note(format!("killed: {places:?}"));
        for place in places {
            self.nodes[place].kill();
            self.kills.push((place, self.journal.now()));
        }
    }

    pub fn all(&self) -> std::ops::Range<usize> {
        0..self.nodes.len()
    }

    /// Sleeps; what a test waits for comes by [`ColdFleet::until`].
    pub fn sleep(&self, time: Duration) {
        std::thread::sleep(time);
    }

    /// Waits until something holds; a test fails without it.
    pub fn wait_until(&mut self, what: &str, mut holds: impl FnMut(&mut ColdFleet) -> bool) {
        let start = Instant::now();
        while !holds(self) {
            assert!(start.elapsed() < TIMEOUT, "not in time: {what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// When each gateway was first told of the list by a call that came at or after a moment.
    pub fn first_answers(&self, since: Duration) -> HashMap<usize, Duration> {
        let mut told = HashMap::new();
        for call in self.service.calls().iter().filter(|c| c.at >= since) {
            if let Some(at) = call.answered {
                let first = told.entry(call.listener_index).or_insert(at);
                *first = (*first).min(at);
            }
        }
        told
    }

    /// Waits until some were told of the list since a moment; gives when the last was.
    pub fn wait_until_all_answered(
        &mut self,
        places: impl IntoIterator<Item = usize>,
        since: Duration,
    ) -> Duration {
        let places: Vec<usize> = places.into_iter().collect();
        self.wait_until("all are told of the list", |fleet| {
            let told = fleet.first_answers(since);
            places.iter().all(|place| told.contains_key(place))
        });
        let told = self.first_answers(since);
        places.iter().map(|place| told[place]).max().unwrap_or_default()
    }

    /// A load over all gateways that are ready.
    pub fn load(&self, rate: f64) -> RunningLoad {
        self.load_of(LoadProfile { rate, ..LoadProfile::default() })
    }

    /// A load by a plan over all gateways that are ready.
    pub fn load_of(&self, plan: LoadProfile) -> RunningLoad {
        let addresses = self.nodes.iter().filter_map(|n| n.address).collect();
        let load = Load::new(addresses, 1 << 40, self.journal.clone());
        RunningLoad::start(&self.runtime, load, plan)
    }

    /// Waits until so many more are served than are by now.
    pub fn wait_until_served(&mut self, load: &RunningLoad, more: u64) {
        let by_now = load.tally().served;
        self.wait_until("the load is served", |_| load.tally().served > by_now + more);
    }

    /// Ends a load and waits for its last answers.
    pub fn finish(&self, load: RunningLoad) -> LoadCounts {
        load.finish(&self.runtime)
    }

    /// No rule broke, but that a gateway that was killed took with it what was open there; a client whose
    /// connection ended by that asks once more, and what the gateway had sent on runs twice.
    pub fn assert_no_breach(&self) {
        let breaches = audit(&self.journal, AuditOptions::default()).expect("all events are there");
        let asked: HashMap<u64, (usize, Duration)> = self
            .journal
            .events()
            .iter()
            .filter_map(|(at, event)| match event {
                Event::RequestSent { id, gateway, .. } => Some((*id, (*gateway, *at))),
                _ => None,
            })
            .collect();
        let deadline = Duration::from_secs_f64(platform::DEADLINE_MS / 1_000.0);
        let excused = |id: u64| {
            let Some((gateway, at)) = asked.get(&id) else { return false };
            self.kills.iter().any(|(place, when)| {
                place == gateway && *when + Duration::from_millis(50) >= *at && *when < *at + deadline
            })
        };
        let broken: Vec<String> = breaches
            .iter()
            .filter(|b| !matches!(b.rule, Rule::Lost | Rule::Twice) || !excused(b.id))
            .map(ToString::to_string)
            .collect();
        let shown = broken.iter().take(10).collect::<Vec<_>>();
        assert!(broken.is_empty(), "{} breaches: {shown:#?}", broken.len());
    }
}

/// The most calls in any stretch of so long.
pub fn max_in_window(calls: &[DiscoveryCall], time: Duration) -> usize {
    let within = |i: usize| calls[i..].iter().take_while(|c| c.at < calls[i].at + time).count();
    (0..calls.len()).map(within).max().unwrap_or(0)
}
