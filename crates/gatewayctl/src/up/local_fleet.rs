//! The stand-ins and processes that `up` starts.

use std::future::{poll_fn, Future};
use std::io::{IsTerminal, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::task::Poll;

use operator_config::Address;
use tempfile::TempDir;
use testbed::backend::{Backend, Spec};
use testbed::counter::Counter;
use testbed::discovery::Discovery;
use testbed::journal::Journal;
use testbed::platform;

use super::error::UpError;
use super::process::Process;
use crate::cli::Up;

/// Capacity of the event journal: several minutes of the default load. The auditor rejects a journal that
/// has dropped events.
const MAX_EVENTS: usize = 400_000;
const AGENT: &str = "agent";
/// Terminal sequence that returns to the start of the line and clears it.
const CLEAR_LINE: &str = "\r\x1b[K";

/// Gateway that runs as a child process.
#[derive(Debug)]
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    pub admin: Address,
    pub process: Process,
}

/// Running local fleet: stand-ins, gateways and an agent.
#[derive(Debug)]
pub struct LocalFleet {
    pub discovery: Discovery,
    pub counter: Counter,
    pub backends: Vec<Backend>,
    pub gateways: Vec<Gateway>,
    pub agent: Address,
    pub journal: Journal,
    agent_process: Process,
    /// Holds configurations, sockets and logs; removed when the fleet is dropped.
    _directory: TempDir,
}

impl LocalFleet {
    /// Starts the fleet and waits until all of its processes are ready.
    pub async fn start(args: &Up, show_progress: bool) -> Result<LocalFleet, UpError> {
        let (directory, journal) = (temporary_directory()?, Journal::new(MAX_EVENTS));
        let discovery = Discovery::start().await.map_err(UpError::Start)?;
        let counter = Counter::start().await.map_err(UpError::Start)?;
        let backends = start_backends(args.backends, &discovery, &journal).await?;
        let files = Files { directory: directory.path() };
        files.write_operator_config(args.gateways)?;
        let mut starting = Vec::with_capacity(args.gateways.into());
        for index in 0..args.gateways {
            starting.push(start_gateway(args, index, &discovery, &counter, &files)?);
        }
        let progress = Progress { is_shown: show_progress && std::io::stderr().is_terminal() };
        let mut gateways = Vec::with_capacity(starting.len());
        for (name, process) in starting {
            progress.show(&name);
            gateways.push(wait_for_gateway(name, process).await?);
        }
        let agent_process = start_agent(&files).await?;
        progress.clear();
        let agent = Address::Unix(files.path("agent.sock"));
        Ok(LocalFleet {
            discovery,
            counter,
            backends,
            gateways,
            agent,
            journal,
            agent_process,
            _directory: directory,
        })
    }

    /// Client addresses of the gateways.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.address).collect()
    }

    /// Waits until a child process exits and returns the name of the process.
    pub async fn any_exited(&mut self) -> String {
        let mut agent = Box::pin(self.agent_process.exited());
        let mut gateways: Vec<_> = self
            .gateways
            .iter_mut()
            .map(|gateway| (&gateway.name, Box::pin(gateway.process.exited())))
            .collect();
        poll_fn(|context| {
            if agent.as_mut().poll(context).is_ready() {
                return Poll::Ready(AGENT.to_string());
            }
            for (name, exited) in &mut gateways {
                if exited.as_mut().poll(context).is_ready() {
                    return Poll::Ready((*name).clone());
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Terminates all processes, the agent first.
    pub async fn stop(&mut self) {
        self.agent_process.terminate();
        self.agent_process.reap().await;
        for gateway in &self.gateways {
            gateway.process.terminate();
        }
        for gateway in &mut self.gateways {
            gateway.process.reap().await;
        }
    }
}

/// Creates a directory with a short path, because the path of a Unix socket is limited to about 100 bytes.
fn temporary_directory() -> Result<TempDir, UpError> {
    tempfile::Builder::new().prefix("gatewayctl-").tempdir().map_err(UpError::TemporaryDirectory)
}

async fn start_backends(
    count: u16,
    discovery: &Discovery,
    journal: &Journal,
) -> Result<Vec<Backend>, UpError> {
    let mut backends = Vec::with_capacity(count.into());
    for number in 0..count {
        let backend = Backend::start(Spec::plain(number.into()), journal.clone()).await;
        let backend = backend.map_err(UpError::Start)?;
        discovery.list(&backend, "SERVING");
        backends.push(backend);
    }
    Ok(backends)
}

fn start_gateway(
    args: &Up,
    index: u16,
    discovery: &Discovery,
    counter: &Counter,
    files: &Files,
) -> Result<(String, Process), UpError> {
    let name = format!("n{index}");
    let listen = args.port.map(|port| SocketAddr::from(([127, 0, 0, 1], port.saturating_add(index))));
    let config = platform::config(
        index.into(),
        args.gateways.into(),
        discovery.address,
        counter.address,
        &discovery.known(),
        listen,
    );
    let config_file = files.path(&format!("{name}.json"));
    std::fs::write(&config_file, config.to_string()).map_err(UpError::Start)?;
    let operator_config = files.operator_config().display().to_string();
    let process = Process::start(
        &name,
        &["gateway", "--operator", &operator_config],
        Some(&config_file),
        &files.log(&name),
    )?;
    Ok((name, process))
}

async fn wait_for_gateway(name: String, mut process: Process) -> Result<Gateway, UpError> {
    let admin = process.wait_for_address("admin on ").await?;
    let address = process.wait_for_address("listening on ").await?;
    Ok(Gateway { name, address, admin, process })
}

async fn start_agent(files: &Files<'_>) -> Result<Process, UpError> {
    let operator_config = files.operator_config().display().to_string();
    let mut process =
        Process::start(AGENT, &["agent", "--operator", &operator_config], None, &files.log(AGENT))?;
    process.wait_for_line("overseeing ").await?;
    Ok(process)
}

/// Paths of a local fleet's files.
struct Files<'a> {
    directory: &'a Path,
}

impl Files<'_> {
    fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    fn log(&self, process: &str) -> PathBuf {
        self.path(&format!("{process}.log"))
    }

    fn operator_config(&self) -> PathBuf {
        self.path("operator.toml")
    }

    fn write_operator_config(&self, gateways: u16) -> Result<(), UpError> {
        let directory = self.directory.display();
        let mut text = format!(
            "[admin]\nlisten = \"unix:{directory}/{{name}}.sock\"\n\n[agent]\nlisten = \
             \"unix:{directory}/agent.sock\"\nlog = \"{directory}/orders.redb\"\n"
        );
        for index in 0..gateways {
            text +=
                &format!("\n[[gateway]]\nname = \"n{index}\"\nadmin = \"unix:{directory}/n{index}.sock\"\n");
        }
        std::fs::write(self.operator_config(), text).map_err(UpError::Start)
    }
}

/// Progress line on a terminal that names the gateway being waited for.
struct Progress {
    is_shown: bool,
}

impl Progress {
    fn show(&self, name: &str) {
        if self.is_shown {
            eprint!("{CLEAR_LINE}starting {name}");
            let _ = std::io::stderr().flush();
        }
    }

    fn clear(&self) {
        if self.is_shown {
            eprint!("{CLEAR_LINE}");
        }
    }
}
