//! All that `up` starts.

use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::Path;

use operator_config::Address;
use tempfile::TempDir;
use testbed::backend::{Backend, Spec};
use testbed::counter::Counter;
use testbed::discovery::Discovery;
use testbed::journal::Journal;
use testbed::platform;

use super::process::Process;
use crate::cli::Up;
use crate::exit::Failure;

/// Events that are kept for the auditor: some minutes of the usual load. Beyond that it can't judge.
const MAX_EVENTS: usize = 400_000;

/// A gateway's process.
#[derive(Debug)]
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub admin: Address,
    pub process: Process,
}

/// All that runs.
#[derive(Debug)]
pub struct World {
    pub discovery: Discovery,
    pub counter: Counter,
    pub backends: Vec<Backend>,
    pub gateways: Vec<Gateway>,
    pub agent: Address,
    pub journal: Journal,
    agent_process: Process,
    /// Configurations, sockets, logs. It goes with the value.
    _folder: TempDir,
}

impl World {
    /// Starts all of it, and waits until each part is ready.
    pub async fn start(args: &Up, progress: bool) -> Result<World, Failure> {
        let failed = |e: std::io::Error| Failure::Broken(format!("cannot start: {e}"));
        let (folder, journal) = (folder()?, Journal::new(MAX_EVENTS));
        let (discovery, counter) =
            (Discovery::start().await.map_err(failed)?, Counter::start().await.map_err(failed)?);
        let mut backends = Vec::with_capacity(args.backends.into());
        for number in 0..args.backends {
            let backend = Backend::start(Spec::plain(number.into()), journal.clone()).await;
            let backend = backend.map_err(failed)?;
            discovery.list(&backend, "SERVING");
            backends.push(backend);
        }
        let operator = folder.path().join("operator.toml");
        std::fs::write(&operator, operator_file(folder.path(), args.gateways)).map_err(failed)?;
        let live = progress && std::io::stderr().is_terminal();
        let mut starting = Vec::with_capacity(args.gateways.into());
        for me in 0..args.gateways {
            let name = format!("n{me}");
            let listen = args.port.map(|port| SocketAddr::from(([127, 0, 0, 1], port.saturating_add(me))));
            let known = discovery.known();
            let config = platform::config(
                me.into(),
                args.gateways.into(),
                discovery.address,
                counter.address,
                &known,
                listen,
            );
            let file = folder.path().join(format!("{name}.json"));
            std::fs::write(&file, config.to_string()).map_err(failed)?;
            let words = ["gateway", "--operator", &operator.display().to_string()];
            let log = folder.path().join(format!("{name}.log"));
            starting.push((name.clone(), Process::start(&name, &words, Some(&file), &log)?));
        }
        let mut gateways = Vec::with_capacity(starting.len());
        for (name, mut process) in starting {
            if live {
                eprint!("\r\x1b[Kstarting {name}");
                let _ = std::io::stderr().flush();
            }
            let odd = |what: String| Failure::Broken(format!("{name} said {what:?}"));
            let admin = process.says("admin on ").await.map_err(|e| told(e, folder.path(), &name))?;
            let admin = admin.parse().map_err(|_| odd(admin))?;
            let address = process.says("listening on ").await.map_err(|e| told(e, folder.path(), &name))?;
            let address = address.parse().map_err(|_| odd(address))?;
            gateways.push(Gateway { name, address, admin, process });
        }
        let words = ["agent", "--operator", &operator.display().to_string()];
        let mut agent_process = Process::start("agent", &words, None, &folder.path().join("agent.log"))?;
        agent_process.says("overseeing ").await.map_err(|e| told(e, folder.path(), "agent"))?;
        if live {
            eprint!("\r\x1b[K");
        }
        let agent = Address::Unix(folder.path().join("agent.sock"));
        Ok(World { discovery, counter, backends, gateways, agent, journal, agent_process, _folder: folder })
    }

    /// Where clients connect.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|g| g.address).collect()
    }

    /// Waits until some process has ended by itself, and gives its name.
    pub async fn ended(&mut self) -> String {
        let agent = self.agent_process.ended();
        tokio::pin!(agent);
        let mut gateways: Vec<_> =
            self.gateways.iter_mut().map(|g| (&g.name, Box::pin(g.process.ended()))).collect();
        std::future::poll_fn(|context| {
            use std::future::Future;
            if agent.as_mut().poll(context).is_ready() {
                return std::task::Poll::Ready("agent".to_string());
            }
            for (name, ended) in &mut gateways {
                if ended.as_mut().poll(context).is_ready() {
                    return std::task::Poll::Ready((*name).clone());
                }
            }
            std::task::Poll::Pending
        })
        .await
    }

    /// Ends all processes, the agent first.
    pub async fn stop(&mut self) {
        self.agent_process.terminate();
        self.agent_process.reap().await;
        self.gateways.iter().for_each(|g| g.process.terminate());
        for gateway in &mut self.gateways {
            gateway.process.reap().await;
        }
    }
}

/// A failure with the last line of the process's log.
fn told(failure: Failure, folder: &Path, name: &str) -> Failure {
    let log = std::fs::read_to_string(folder.join(format!("{name}.log"))).unwrap_or_default();
    match (failure, log.lines().last()) {
        (Failure::Broken(text), Some(line)) => Failure::Broken(format!("{text}: {line}")),
        (failure, _) => failure,
    }
}

/// A folder whose path is short. Danger: the path of a Unix socket holds some hundred bytes at most.
fn folder() -> Result<TempDir, Failure> {
    let made = tempfile::Builder::new().prefix("gatewayctl-").tempdir();
    made.map_err(|e| Failure::Broken(format!("no folder for temporary files: {e}")))
}

fn operator_file(folder: &Path, gateways: u16) -> String {
    let at = folder.display();
    let mut text = format!(
        "[admin]\nlisten = \"unix:{at}/{{name}}.sock\"\n\n[agent]\nlisten = \"unix:{at}/agent.sock\"\nlog = \
         \"{at}/orders.redb\"\n"
    );
    for me in 0..gateways {
        text += &format!("\n[[gateway]]\nname = \"n{me}\"\nadmin = \"unix:{at}/n{me}.sock\"\n");
    }
    text
}
