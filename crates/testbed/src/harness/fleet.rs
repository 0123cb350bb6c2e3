//! A fleet of gateway processes for measurements, with the servers around them and a load on all of them.

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

/// Gateways that share an operator file, and the servers around them.
pub struct Fleet {
    /// The gateways by index.
    pub nodes: Vec<Node>,
    /// The discovery service, with an address for each gateway.
    pub service: Discovery,
    /// The shared counter.
    pub counter: Counter,
    /// The backends by index.
    pub backends: Vec<Backend>,
    /// Events on the clients' and backends' sockets.
    pub journal: Journal,
    /// The agent's process, not started by [`Fleet::start`].
    pub agent: Node,
    gateway_program: Program,
    agent_program: Program,
    _folder: tempfile::TempDir,
}

/// A load that runs until it is stopped.
pub struct RunningLoad {
    /// The load generator.
    pub load: Load,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Fleet {
    /// Starts all servers and gateways and waits until the gateways are ready.
    ///
    /// `program` is the path of the built `gatewayctl`. The gateways' configuration contains the endpoint
    /// list, and the discovery service answers 50 calls per second. The counter works on calls one after
    /// another, `counter_time_per_call` each, or on all at once if that is zero. `{folder}` in the operator
    /// file stands for the fleet's folder.
    ///
    /// # Errors
    /// Returns the system's error, or that a gateway did not become ready.
    pub async fn start(
        program: PathBuf,
        (gateways, backends): (usize, usize),
        counter_time_per_call: Duration,
        operator: &str,
        seed: u64,
    ) -> Result<Fleet, NodeError> {
        let folder = tempfile::Builder::new().prefix("br-").tempdir()?;
        let time_per_call = Duration::from_millis(20);
        let service =
            Discovery::with_listeners(gateways, Some(DiscoveryCapacity { time_per_call, max_queued: 50 }))
                .await?;
        let (counter, journal) =
            (Counter::with_time_per_call(counter_time_per_call).await?, Journal::new(4_000_000));
        let mut started_backends = Vec::new();
        for i in 0..backends {
            started_backends.push(Backend::start(Spec::plain(i), journal.clone()).await?);
        }
        for b in &started_backends {
            service.list(b, "SERVING");
        }
        let known = service.known();
        let file = folder.path().join("operator.toml");
        std::fs::write(&file, operator.replace("{folder}", &folder.path().display().to_string()))?;
        let command = |subcommand: &str| {
            let args = [subcommand, "--until-closed", "--operator", &file.display().to_string()];
            Program { path: program.clone(), args: args.map(str::to_string).to_vec() }
        };
        let (gateway_program, agent_program) = (command("gateway"), command("agent"));
        let agent = Node::new(folder.path(), &serde_json::json!({"name": "agent"}))?;
        let mut nodes = Vec::new();
        for (me, discovery) in service.addresses.iter().enumerate() {
            let mut config = platform::config(me, gateways, *discovery, counter.address, &known, None);
            config["seed"] = format!("{:016x}", (seed << 32) + me as u64).into();
            nodes.push(Node::new(folder.path(), &config)?);
        }
        let backends = started_backends;
        let mut fleet = Fleet {
            nodes,
            service,
            counter,
            backends,
            journal,
            agent,
            gateway_program,
            agent_program,
            _folder: folder,
        };
        fleet.start_all().await?;
        Ok(fleet)
    }

    /// Starts the agent and waits until it listens.
    ///
    /// # Errors
    /// Returns the system's error, or that the agent did not become ready.
    pub async fn start_agent(&mut self) -> Result<(), NodeError> {
        self.agent.start(&self.agent_program).await?;
        self.agent.wait_for_line("overseeing ").await.map(drop)
    }

    /// Starts all gateways at once and waits until they are ready.
    ///
    /// # Errors
    /// Returns the system's error, or that a gateway did not become ready.
    pub async fn start_all(&mut self) -> Result<(), NodeError> {
        self.start_some(0..self.nodes.len()).await
    }

    /// Starts the gateways with these indices at once and waits until they are ready.
    ///
    /// # Errors
    /// Returns the system's error, or that a gateway did not become ready.
    pub async fn start_some(
        &mut self,
        indices: impl Iterator<Item = usize> + Clone,
    ) -> Result<(), NodeError> {
        for index in indices.clone() {
            self.nodes[index].start(&self.gateway_program).await?;
        }
        for index in indices {
            self.nodes[index].ready().await?;
        }
        Ok(())
    }

    /// Starts a load on all gateways.
    #[must_use]
    pub fn load(&self, profile: LoadProfile) -> RunningLoad {
        let addresses = self.nodes.iter().filter_map(|n| n.address).collect();
        let load = Load::new(addresses, profile.seed << 40, self.journal.clone());
        let (stop, stopped) = oneshot::channel::<()>();
        let running = load.clone();
        let task = tokio::spawn(async move { running.run(&profile, async { drop(stopped.await) }).await });
        RunningLoad { load, stop, task }
    }
}

impl RunningLoad {
    /// Samples the load's counts after each of the next `seconds` seconds.
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

    /// Stops the load, waits for the remaining answers and returns the counts.
    pub async fn finish(self) -> LoadCounts {
        let _ = self.stop.send(());
        // Fails only if the load has panicked, which prints its own message.
        let _ = self.task.await;
        self.load.counts()
    }
}

/// Returns the fraction served of the requests sent between two samples.
#[must_use]
pub fn served_fraction(later: LoadCounts, earlier: LoadCounts) -> f64 {
    (later.served - earlier.served) as f64 / (later.sent - earlier.sent).max(1) as f64
}

/// Formats fractions with two decimal places as one cell of a table, separated by spaces.
#[must_use]
pub fn table_cell(fractions: &[f64]) -> String {
    fractions.iter().map(|fraction| format!("{fraction:.2}")).collect::<Vec<_>>().join(" ")
}

/// Returns the path of the built `gatewayctl`, next to the folder of the running example; `None` if that has
/// no parent folder.
#[must_use]
pub fn built_program() -> Option<PathBuf> {
    let example = std::env::current_exe().ok()?;
    Some(example.parent()?.parent()?.join("gatewayctl"))
}
