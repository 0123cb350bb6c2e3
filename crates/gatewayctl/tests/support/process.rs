//! Long-running processes and commands of the built executable.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{PROGRAM, TIMEOUT};

/// Process of the executable; killed when dropped.
pub struct Process {
    pub child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a process and reads an output line for each prefix, in order. Returns the rest of each line.
    pub fn start(
        args: &[&str],
        config: Option<&Path>,
        log: &Path,
        prefixes: &[&str],
    ) -> (Process, Vec<String>) {
        let mut command = Command::new(PROGRAM);
        command.args(args).stdin(Stdio::null()).stdout(Stdio::piped());
        command.stderr(fs::File::create(log).expect("the log file is created"));
        if let Some(config) = config {
            command.env("GW_CONFIG", config);
        }
        let mut child = command.spawn().expect("the start succeeds");
        let mut stdout = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let process = Process { child, log: log.to_path_buf() };
        let mut rests = Vec::new();
        for prefix in prefixes {
            let mut line = String::new();
            stdout.read_line(&mut line).expect("a line");
            let rest = line.trim_end().strip_prefix(prefix);
            rests.push(rest.unwrap_or_else(|| panic!("{line:?}: {}", process.log_text())).to_string());
        }
        (process, rests)
    }

    /// Sends a signal, named as `kill` expects it, such as `-STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns what the process has written to standard error so far.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Exit code and output of a command; the code is -1 if a signal ended it.
pub struct CommandOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    /// Parses standard output as a single JSON value.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout)
            .unwrap_or_else(|e| panic!("{e}: {:?} {:?}", self.stdout, self.stderr))
    }

    /// Returns the report on a gateway from the result of an order.
    pub fn report_on(&self, gateway: &str) -> Value {
        let result = self.json();
        let instances = result["instances"].as_array().expect("instances");
        instances.iter().find(|i| i["gateway"] == gateway).expect("the gateway is listed").clone()
    }
}

impl From<Output> for CommandOutput {
    fn from(output: Output) -> CommandOutput {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code().unwrap_or(-1);
        CommandOutput { code, stdout: text(&output.stdout), stderr: text(&output.stderr) }
    }
}

/// Runs a command until it exits; kills it after [`TIMEOUT`].
pub fn run_to_exit(mut command: Command) -> CommandOutput {
    let mut child =
        command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("the start succeeds");
    let start = Instant::now();
    while child.try_wait().expect("the child exists").is_none() && start.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    child.wait_with_output().expect("stdout is piped").into()
}
