//! A process of the program, which a test can kill, stop, let go on and start anew.

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

/// How long a process may take until it says that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a process could not be had.
#[derive(Debug)]
pub enum NodeError {
    /// The system's reason.
    Io(io::Error),
    /// It ended, or output nothing in time: its name and what it logged.
    NotReady(String, String),
}

impl std::fmt::Display for NodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NodeError::Io(e) => e.fmt(f),
            NodeError::NotReady(name, logged) => write!(f, "{name} did not get ready: {logged}"),
        }
    }
}

impl std::error::Error for NodeError {}

impl From<io::Error> for NodeError {
    fn from(e: io::Error) -> NodeError {
        NodeError::Io(e)
    }
}

/// What to start for each gateway.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// Its words, such as `--operator FILE`; with `--until-closed` it ends with the process that started it.
    pub args: Vec<String>,
}

/// A gateway's process. It is killed with the value.
#[derive(Debug)]
pub struct Node {
    /// Its name.
    pub name: String,
    /// Where it listens; the same after each start.
    pub address: Option<SocketAddr>,
    folder: PathBuf,
    running: Option<(Child, Option<Lines<BufReader<ChildStdout>>>)>,
    /// Killed, and perhaps not gone yet.
    killed: Option<Child>,
    suspended: bool,
}

impl Node {
    /// One that does not run yet, by this configuration; what it says goes to files in a folder.
    ///
    /// # Errors
    /// The system's, if the configuration can't be written.
    pub fn new(folder: &Path, config: &Value) -> Result<Node, NodeError> {
        let name = config["name"].as_str().unwrap_or("unnamed").to_string();
        std::fs::write(folder.join(format!("{name}.json")), config.to_string())?;
        let (folder, running) = (folder.to_path_buf(), None);
        Ok(Node { name, address: None, folder, running, killed: None, suspended: false })
    }

    fn file(&self, kind: &str) -> PathBuf {
        self.folder.join(format!("{}.{kind}", self.name))
    }

    /// Starts it; it is ready when [`Node::ready`] says so. One that runs is killed first.
    ///
    /// # Errors
    /// The system's.
    pub async fn start(&mut self, program: &Program) -> Result<(), NodeError> {
        self.kill();
        // Danger: an address that the process before still holds.
        if let Some(mut killed) = self.killed.take() {
            killed.wait().await?;
        }
        let log = File::options().append(true).create(true).open(self.file("log"))?;
        let mut command = Command::new(&program.path);
        command.args(&program.args).env("GW_CONFIG", self.file("json")).kill_on_drop(true);
        // Danger: processes that outlive whoever started them. With `--until-closed` they end with this pipe.
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn()?;
        let output = child.stdout.take().map(|output| BufReader::new(output).lines());
        (self.running, self.suspended) = (Some((child, output)), false);
        Ok(())
    }

    /// Waits until it says a line that begins like this, and gives the rest of it.
    ///
    /// # Errors
    /// [`NodeError::NotReady`] if it ends before that, or does not say it in time.
    pub async fn wait_for_line(&mut self, begin: &str) -> Result<String, NodeError> {
        let output = self.running.as_mut().and_then(|(_, output)| output.as_mut());
        let rest = match output {
            None => None,
            Some(output) => timeout(READY_TIMEOUT, async {
                while let Ok(Some(line)) = output.next_line().await {
                    if let Some(rest) = line.strip_prefix(begin) {
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

    /// Waits until it listens, and gives where.
    ///
    /// # Errors
    /// [`NodeError::NotReady`] if it ends before that, or says nothing in time.
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

    /// Changes its configuration, for its next start.
    ///
    /// # Errors
    /// The system's.
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

    /// Its process's number, while it runs.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.running.as_ref().and_then(|(child, _)| child.id())
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // Fails only where it has ended.
            let _ = kill_process(pid, signal);
        }
    }

    /// SIGKILL. Nothing happens to one that does not run.
    pub fn kill(&mut self) {
        if let Some((mut child, _)) = self.running.take() {
            let _ = child.start_kill();
            self.killed = Some(child);
        }
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// SIGSTOP: it does nothing, and its sockets stay.
    pub fn suspend(&mut self) {
        self.signal(Signal::STOP);
        self.suspended = true;
    }

    /// SIGCONT after [`Node::suspend`].
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.suspended = false;
    }

    /// Whether it runs and is not suspended.
    #[must_use]
    pub fn is_running(&mut self) -> bool {
        let lives = self.running.as_mut().is_some_and(|(child, _)| matches!(child.try_wait(), Ok(None)));
        lives && !self.suspended
    }

    /// What it has logged, over all its starts.
    #[must_use]
    pub fn logged(&self) -> String {
        std::fs::read_to_string(self.file("log")).unwrap_or_default()
    }
}
