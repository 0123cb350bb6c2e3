//! A process that a test can kill, suspend, resume and restart.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

/// Maximum time until a process prints the expected line.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a process could not be started or did not become ready.
#[derive(Debug)]
pub enum NodeError {
    /// The system's error.
    Io(io::Error),
    /// The process exited or did not print the expected line in time. Contains its name and its log.
    NotReady(String, String),
}

impl std::fmt::Display for NodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NodeError::Io(e) => e.fmt(f),
            NodeError::NotReady(name, logged) => write!(f, "{name} did not become ready: {logged}"),
        }
    }
}

impl std::error::Error for NodeError {}

impl From<io::Error> for NodeError {
    fn from(e: io::Error) -> NodeError {
        NodeError::Io(e)
    }
}

/// The program to start for a node.
#[derive(Clone, Debug)]
pub struct Program {
    /// Path of the program.
    pub path: PathBuf,
    /// Its arguments, such as `--operator FILE`; with `--until-closed` it exits with the process that started
    /// it.
    pub args: Vec<String>,
}

/// A gateway or agent process, killed when dropped.
#[derive(Debug)]
pub struct Node {
    /// Name from its configuration.
    pub name: String,
    /// Listen address, kept over restarts; `None` until it was ready for the first time.
    pub address: Option<SocketAddr>,
    folder: PathBuf,
    /// The process and the lines of its standard output.
    running: Option<(Child, Option<Lines<BufReader<ChildStdout>>>)>,
    /// A killed process that may not have exited yet.
    killed: Option<Child>,
    suspended: bool,
}

impl Node {
    /// Creates a node that does not run yet. Its configuration and log are files in this folder.
    ///
    /// # Errors
    /// Returns the system's error if the configuration can't be written.
    pub fn new(folder: &Path, config: &Value) -> Result<Node, NodeError> {
        let name = config["name"].as_str().unwrap_or("unnamed").to_string();
        std::fs::write(folder.join(format!("{name}.json")), config.to_string())?;
        let (folder, running) = (folder.to_path_buf(), None);
        Ok(Node { name, address: None, folder, running, killed: None, suspended: false })
    }

    fn file(&self, kind: &str) -> PathBuf {
        self.folder.join(format!("{}.{kind}", self.name))
    }

    /// Starts the process, killing a running one first. [`Node::ready`] waits until it is ready.
    ///
    /// # Errors
    /// Returns the system's error.
    pub async fn start(&mut self, program: &Program) -> Result<(), NodeError> {
        self.kill();
        // Until the previous process has exited, it holds the listen address.
        if let Some(mut killed) = self.killed.take() {
            killed.wait().await?;
        }
        let log = File::options().append(true).create(true).open(self.file("log"))?;
        let mut command = Command::new(&program.path);
        command.args(&program.args).env("GW_CONFIG", self.file("json")).kill_on_drop(true);
        // With `--until-closed` the process exits when this pipe closes, so it does not outlive a killed
        // test.
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn()?;
        let output = child.stdout.take().map(|output| BufReader::new(output).lines());
        (self.running, self.suspended) = (Some((child, output)), false);
        Ok(())
    }

    /// Waits until the process prints a line with this prefix, and returns the rest of the line.
    ///
    /// # Errors
    /// Returns [`NodeError::NotReady`] if it exits before, or does not print the line in time.
    pub async fn wait_for_line(&mut self, prefix: &str) -> Result<String, NodeError> {
        let output = self.running.as_mut().and_then(|(_, output)| output.as_mut());
        let rest = match output {
            None => None,
            Some(output) => timeout(READY_TIMEOUT, async {
                while let Ok(Some(line)) = output.next_line().await {
                    if let Some(rest) = line.strip_prefix(prefix) {
                        return Some(rest.to_string());
                    }
                }
                None
            })
            .await
            .ok()
            .flatten(),
        };
        rest.ok_or_else(|| NodeError::NotReady(self.name.clone(), self.logged()))
    }

    /// Waits until the gateway listens, and returns its address.
    ///
    /// # Errors
    /// Returns [`NodeError::NotReady`] if it exits before, or is not ready in time.
    pub async fn ready(&mut self) -> Result<SocketAddr, NodeError> {
        let address: Option<SocketAddr> = self.wait_for_line("listening on ").await?.parse().ok();
        let Some(address) = address else {
            return Err(NodeError::NotReady(self.name.clone(), self.logged()));
        };
        if self.address.is_none() {
            self.update_config(|config| config["listen"] = address.to_string().into())?;
        }
        self.address = Some(address);
        Ok(address)
    }

    /// Changes the configuration for the next start.
    ///
    /// # Errors
    /// Returns the system's error if the configuration can't be read or written.
    pub fn update_config(&self, update: impl FnOnce(&mut Value)) -> Result<(), NodeError> {
        let file = self.file("json");
        let mut config: Value = serde_json::from_slice(&std::fs::read(&file)?).map_err(io::Error::from)?;
        update(&mut config);
        Ok(std::fs::write(file, config.to_string())?)
    }

    fn pid(&self) -> Option<Pid> {
        let (child, _) = self.running.as_ref()?;
        Pid::from_raw(child.id()? as i32)
    }

    /// Returns the process id while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.running.as_ref().and_then(|(child, _)| child.id())
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // Fails only if the process has exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sends SIGKILL; has no effect on a node that does not run.
    pub fn kill(&mut self) {
        if let Some((mut child, _)) = self.running.take() {
            let _ = child.start_kill();
            self.killed = Some(child);
        }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGSTOP: the process does nothing, and its sockets stay open.
    pub fn suspend(&mut self) {
        self.signal(Signal::STOP);
        self.suspended = true;
    }

    /// Sends SIGCONT, after [`Node::suspend`].
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.suspended = false;
    }

    /// Returns whether the process runs and is not suspended.
    #[must_use]
    pub fn is_running(&mut self) -> bool {
        let alive = self.running.as_mut().is_some_and(|(child, _)| matches!(child.try_wait(), Ok(None)));
        alive && !self.suspended
    }

    /// Returns the log of all its runs.
    #[must_use]
    pub fn logged(&self) -> String {
        std::fs::read_to_string(self.file("log")).unwrap_or_default()
    }
}
