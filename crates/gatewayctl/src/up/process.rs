//! A process of this same program, which ends with this one.

use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::timeout;

use crate::exit::Failure;

/// How long a process may take to say that it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long it may take to end once it was told to.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// A process of this program.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Held apart: to wait for a child closes what it still holds of this.
    stdin: Option<ChildStdin>,
    said: Lines<BufReader<ChildStdout>>,
    name: String,
}

impl Process {
    /// Starts one, with its log in a file.
    pub fn start(name: &str, words: &[&str], config: Option<&Path>, log: &Path) -> Result<Process, Failure> {
        let failed = |e: std::io::Error| Failure::Broken(format!("{name}: {e}"));
        let log = std::fs::File::create(log).map_err(failed)?;
        let mut command = Command::new(std::env::current_exe().map_err(failed)?);
        command.args(words).arg("--until-closed").env_remove("GW_CONFIG");
        if let Some(path) = config {
            command.env("GW_CONFIG", path);
        }
        // Ctrl-C is for this process, which ends the others in their turn.
        command.process_group(0).kill_on_drop(true);
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn().map_err(failed)?;
        let missing = || Failure::Broken(format!("{name}: no standard output"));
        let said = BufReader::new(child.stdout.take().ok_or_else(missing)?).lines();
        let stdin = child.stdin.take();
        Ok(Process { child, stdin, said, name: name.to_string() })
    }

    /// Waits for a line that begins like this, and gives the rest of it.
    pub async fn says(&mut self, begin: &str) -> Result<String, Failure> {
        let line = async {
            while let Ok(Some(line)) = self.said.next_line().await {
                if let Some(rest) = line.strip_prefix(begin) {
                    return Some(rest.to_string());
                }
            }
            None
        };
        let failed = |why: &str| Failure::Broken(format!("{}: {why}", self.name));
        match timeout(READY_TIMEOUT, line).await {
            Ok(Some(rest)) => Ok(rest),
            Ok(None) => Err(failed("ended before it was ready")),
            Err(_) => Err(failed("was not ready in time")),
        }
    }

    /// Its process id.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Waits until it has ended.
    pub async fn ended(&mut self) {
        let _ = self.child.wait().await;
    }

    /// Tells it to end.
    pub fn terminate(&self) {
        if let Some(pid) = self.child.id().and_then(|id| Pid::from_raw(id as i32)) {
            // Fails only where it has ended.
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Waits for its end, and ends it if that takes too long.
    pub async fn reap(&mut self) {
        self.stdin = None;
        if timeout(EXIT_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}
