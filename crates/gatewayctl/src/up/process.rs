//! Child processes that run this same executable and exit when this process ends.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::str::FromStr;
use std::time::Duration;

use rustix::process::{kill_process, Pid, Signal};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::timeout;

use super::error::{ProcessProblem, UpError};

/// Timeout for a process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for a process to exit after it was terminated.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Child process that runs this executable.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Write end of the child's standard input. Held outside `child`, because `Child::wait` closes the one
    /// that it owns, and the child exits when its standard input closes.
    stdin: Option<ChildStdin>,
    stdout: Lines<BufReader<ChildStdout>>,
    name: String,
    log: PathBuf,
}

impl Process {
    /// Starts a process whose standard error goes to a log file.
    pub fn start(name: &str, args: &[&str], config: Option<&Path>, log: &Path) -> Result<Process, UpError> {
        let failed = |problem| UpError::Process { name: name.to_string(), problem, last_log_line: None };
        let mut child = spawn(args, config, log).map_err(|e| failed(ProcessProblem::Start(e)))?;
        let stdout = child.stdout.take().ok_or_else(|| failed(ProcessProblem::NoStandardOutput))?;
        Ok(Process {
            stdin: child.stdin.take(),
            stdout: BufReader::new(stdout).lines(),
            child,
            name: name.to_string(),
            log: log.to_path_buf(),
        })
    }

    /// Waits for an output line with this prefix and returns the rest of the line.
    pub async fn wait_for_line(&mut self, prefix: &str) -> Result<String, UpError> {
        let rest_of_line = async {
            while let Ok(Some(line)) = self.stdout.next_line().await {
                if let Some(rest) = line.strip_prefix(prefix) {
                    return Some(rest.to_string());
                }
            }
            None
        };
        match timeout(READY_TIMEOUT, rest_of_line).await {
            Ok(Some(rest)) => Ok(rest),
            Ok(None) => Err(self.failed(ProcessProblem::ExitedEarly)),
            Err(_) => Err(self.failed(ProcessProblem::TimedOut)),
        }
    }

    /// Waits for an output line with this prefix and parses the rest of the line as an address.
    pub async fn wait_for_address<T: FromStr>(&mut self, prefix: &str) -> Result<T, UpError> {
        let text = self.wait_for_line(prefix).await?;
        text.parse().map_err(|_| UpError::Process {
            name: self.name.clone(),
            problem: ProcessProblem::UnexpectedOutput(text),
            last_log_line: None,
        })
    }

    /// Creates an error for this process that includes the last line of its log.
    fn failed(&self, problem: ProcessProblem) -> UpError {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let last_log_line = log.lines().last().map(str::to_string);
        UpError::Process { name: self.name.clone(), problem, last_log_line }
    }

    /// Returns the process id, or `None` after the process has exited.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Waits until the process has exited.
    pub async fn exited(&mut self) {
        let _ = self.child.wait().await;
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        if let Some(pid) = self.child.id().and_then(|id| Pid::from_raw(id as i32)) {
            // Fails only if the process has already exited.
            let _ = kill_process(pid, Signal::TERM);
        }
    }

    /// Waits for the process to exit and kills it after a timeout.
    pub async fn reap(&mut self) {
        self.stdin = None;
        if timeout(EXIT_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

fn spawn(args: &[&str], config: Option<&Path>, log: &Path) -> io::Result<Child> {
    let log = std::fs::File::create(log)?;
    let mut command = Command::new(std::env::current_exe()?);
    command.args(args).arg("--until-closed").env_remove("GW_CONFIG");
    if let Some(path) = config {
        command.env("GW_CONFIG", path);
    }
    // In its own process group the child does not receive SIGINT from Ctrl-C, so that this process can stop
    // the children in order.
    command.process_group(0).kill_on_drop(true);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
    command.spawn()
}
