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
pub enum Failed {
    /// The system's reason.
    System(io::Error),
    /// It ended, or said nothing in time: its name and what it logged.
    Silent(String, String),
}

impl std::fmt::Display for Failed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failed::System(e) => e.fmt(f),
            Failed::Silent(name, logged) => write!(f, "{name} did not get ready: {logged}"),
        }
    }
}

impl std::error::Error for Failed {}

impl From<io::Error> for Failed {
    fn from(e: io::Error) -> Failed {
        Failed::System(e)
    }
}

/// What to start for each gateway.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// Its words, such as `--operator FILE`; with `--until-closed` it ends with the process that started it.
    pub words: Vec<String>,
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
    ending: Option<Child>,
    stopped: bool,
}

impl Node {
    /// One that does not run yet, by this configuration; what it says goes to files in a folder.
    ///
    /// # Errors
    /// The system's, if the configuration can't be written.
    pub fn new(folder: &Path, config: &Value) -> Result<Node, Failed> {
        let name = config["name"].as_str().unwrap_or("unnamed").to_string();
        std::fs::write(folder.join(format!("{name}.json")), config.to_string())?;
        let (folder, running) = (folder.to_path_buf(), None);
        Ok(Node { name, address: None, folder, running, ending: None, stopped: false })
    }

    fn file(&self, kind: &str) -> PathBuf {
        self.folder.join(format!("{}.{kind}", self.name))
    }

    /// Starts it; it is ready when [`Node::ready`] says so. One that runs is killed first.
    ///
    /// # Errors
    /// The system's.
    pub async fn start(&mut self, program: &Program) -> Result<(), Failed> {
        self.kill();
        // Danger: an address that the process before still holds.
        if let Some(mut ending) = self.ending.take() {
            ending.wait().await?;
        }
        let log = File::options().append(true).create(true).open(self.file("log"))?;
        let mut command = Command::new(&program.path);
        command.args(&program.words).env("GW_CONFIG", self.file("json")).kill_on_drop(true);
        // Danger: processes that outlive whoever started them. With `--until-closed` they end with this pipe.
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn()?;
        let said = child.stdout.take().map(|said| BufReader::new(said).lines());
        (self.running, self.stopped) = (Some((child, said)), false);
        Ok(())
    }

    /// Waits until it says a line that begins like this, and gives the rest of it.
    ///
    /// # Errors
    /// [`Failed::Silent`] if it ends before that, or does not say it in time.
    pub async fn says(&mut self, begin: &str) -> Result<String, Failed> {
        let said = self.running.as_mut().and_then(|(_, said)| said.as_mut());
        let rest = match said {
            None => None,
            Some(said) => timeout(READY_TIMEOUT, async {
                while let Ok(Some(line)) = said.next_line().await {
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
        rest.ok_or_else(|| Failed::Silent(self.name.clone(), self.logged()))
    }

    /// Waits until it listens, and gives where.
    ///
    /// # Errors
    /// [`Failed::Silent`] if it ends before that, or says nothing in time.
    pub async fn ready(&mut self) -> Result<SocketAddr, Failed> {
        let address: Option<SocketAddr> = self.says("listening on ").await?.parse().ok();
        let Some(address) = address else { return Err(Failed::Silent(self.name.clone(), self.logged())) };
        if self.address.is_none() {
            self.change(|config| config["listen"] = address.to_string().into())?;
        }
        self.address = Some(address);
        Ok(address)
    }

    /// Changes its configuration, for its next start.
    ///
    /// # Errors
    /// The system's.
    pub fn change(&self, change: impl FnOnce(&mut Value)) -> Result<(), Failed> {
        let file = self.file("json");
        let mut config: Value = serde_json::from_slice(&std::fs::read(&file)?).map_err(io::Error::from)?;
        change(&mut config);
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
            self.ending = Some(child);
        }
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// SIGSTOP: it does nothing, and its sockets stay.
    pub fn stop(&mut self) {
        self.signal(Signal::STOP);
        self.stopped = true;
    }

    /// SIGCONT after [`Node::stop`].
    pub fn go_on(&mut self) {
        self.signal(Signal::CONT);
        self.stopped = false;
    }

    /// Whether it runs and is not stopped.
    #[must_use]
    pub fn runs(&mut self) -> bool {
        let lives = self.running.as_mut().is_some_and(|(child, _)| matches!(child.try_wait(), Ok(None)));
        lives && !self.stopped
    }

    /// What it has logged, over all its starts.
    #[must_use]
    pub fn logged(&self) -> String {
        std::fs::read_to_string(self.file("log")).unwrap_or_default()
    }
}
