//! A fleet of real gateways that measurements start, kill and start again, and a load on all of them.

use std::path::PathBuf;
use std::time::Duration;

use super::{Node, NodeError, Program};
use crate::backend::{Backend, Spec};
use crate::client::{Load, LoadCounts, LoadProfile};
use crate::counter::Counter;
use crate::discovery::{Discovery, DiscoveryCapacity};
use crate::journal::Journal;
use crate::platform;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Gateways of one operators' file, and what stands round them.
pub struct Fleet {
    /// The gateways, by their numbers.
    pub nodes: Vec<Node>,
    /// The list service, with an address for each gateway.
    pub service: Discovery,
    /// The shared counter.
    pub counter: Counter,
    /// The backends, by their numbers.
    pub backends: Vec<Backend>,
    /// What passed on clients' and backends' sockets.
    pub journal: Journal,
    /// The agent's process, which runs once it is started.
    pub agent: Node,
    program: Program,
    agents: Program,
    _folder: tempfile::TempDir,
}

/// A load that runs until it is ended.
pub struct RunningLoad {
    /// The load.
    pub load: Load,
    end: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Fleet {
    /// Starts all of it by the built `gatewayctl` at a path, and waits until all gateways are ready. They
    /// know the list, which comes from a service of 50 calls a second; the counter works on one call after
    /// another, so long on each, or on all at once (zero). `{folder}` in the operators' file is the fleet's.
    ///
    /// # Errors
    /// The system's, and a gateway's that does not get ready.
    pub async fn start(
        program: PathBuf,
        (gateways, backends): (usize, usize),
        counter_takes: Duration,
        operator: &str,
        seed: u64,
    ) -> Result<Fleet, NodeError> {
        let folder = tempfile::Builder::new().prefix("br-").tempdir()?;
        let each = Duration::from_millis(20);
        let service = Discovery::with_listeners(
            gateways,
            Some(DiscoveryCapacity { time_per_call: each, max_queued: 50 }),
        )
        .await?;
        let (counter, journal) = (Counter::with_time_per_call(counter_takes).await?, Journal::new(4_000_000));
        let mut all = Vec::new();
        for i in 0..backends {
            all.push(Backend::start(Spec::plain(i), journal.clone()).await?);
        }
        for b in &all {
            service.list(b, "SERVING");
        }
        let known = service.known();
        let file = folder.path().join("operator.toml");
        std::fs::write(&file, operator.replace("{folder}", &folder.path().display().to_string()))?;
        let path = program;
        let program = |what: &str| {
            let words = [what, "--until-closed", "--operator", &file.display().to_string()];
            Program { path: path.clone(), args: words.map(str::to_string).to_vec() }
        };
        let (program, agents) = (program("gateway"), program("agent"));
        let agent = Node::new(folder.path(), &serde_json::json!({"name": "agent"}))?;
        let mut nodes = Vec::new();
        for (me, door) in service.addresses.iter().enumerate() {
            let mut config = platform::config(me, gateways, *door, counter.address, &known, None);
            config["seed"] = format!("{:016x}", (seed << 32) + me as u64).into();
            nodes.push(Node::new(folder.path(), &config)?);
        }
        let backends = all;
        let mut fleet =
            Fleet { nodes, service, counter, backends, journal, agent, program, agents, _folder: folder };
        fleet.start_all().await?;
        Ok(fleet)
    }

    /// Starts the agent, and waits until it listens.
    ///
    /// # Errors
    /// The system's, and the agent's where it does not.
    pub async fn start_agent(&mut self) -> Result<(), NodeError> {
        self.agent.start(&self.agents).await?;
        self.agent.wait_for_line("overseeing ").await.map(drop)
    }

    /// Starts all gateways at once, and waits until all are ready.
    ///
    /// # Errors
    /// The system's, and a gateway's that does not get ready.
    pub async fn start_all(&mut self) -> Result<(), NodeError> {
        self.start_some(0..self.nodes.len()).await
    }

    /// Starts some at once, by their numbers, and waits until they are ready.
    ///
    /// # Errors
    /// The system's, and a gateway's that does not get ready.
    pub async fn start_some(&mut self, some: impl Iterator<Item = usize> + Clone) -> Result<(), NodeError> {
        for place in some.clone() {
            self.nodes[place].start(&self.program).await?;
        }
        for place in some {
            self.nodes[place].ready().await?;
        }
        Ok(())
    }

    /// Puts a load on all gateways.
    #[must_use]
    pub fn load(&self, plan: LoadProfile) -> RunningLoad {
        let addresses = self.nodes.iter().filter_map(|n| n.address).collect();
        let load = Load::new(addresses, plan.seed << 40, self.journal.clone());
        let (end, ended) = oneshot::channel::<()>();
        let running = load.clone();
        let task = tokio::spawn(async move { running.run(&plan, async { drop(ended.await) }).await });
        RunningLoad { load, end, task }
    }
}

impl RunningLoad {
    /// The tally after each of so many seconds from now on.
    #[must_use]
    pub fn sample_every_second(&self, seconds: u64) -> JoinHandle<Vec<LoadCounts>> {
        let load = self.load.clone();
        tokio::spawn(async move {
            let mut samples = Vec::new();
            for _ in 0..seconds {
                sleep(Duration::from_secs(1)).await;
                samples.push(load.counts());
            }
            samples
        })
    }

    /// Ends it and waits for its last answers.
    pub async fn finish(self) -> LoadCounts {
        let _ = self.end.send(());
        // Fails only where the load has panicked, which it says by itself.
        let _ = self.task.await;
        self.load.counts()
    }
}

/// The part of what was asked between two moments that was served.
#[must_use]
pub fn served_fraction(now: LoadCounts, before: LoadCounts) -> f64 {
    (now.served - before.served) as f64 / (now.asked - before.asked).max(1) as f64
}

/// Parts by second, as a column of a table shows them.
#[must_use]
pub fn column(parts: &[f64]) -> String {
    parts.iter().map(|part| format!("{part:.2}")).collect::<Vec<_>>().join(" ")
}

/// The built `gatewayctl` beside the folder of an example that runs; none where that has no folder.
#[must_use]
pub fn built_program() -> Option<PathBuf> {
    let here = std::env::current_exe().ok()?;
    Some(here.parent()?.parent()?.join("gatewayctl"))
}
