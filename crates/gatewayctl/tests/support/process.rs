//! Processes of the built program, and commands that are run to their end.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::{PROGRAM, TIMEOUT};

/// A process of the program, which ends with the value.
pub struct Process {
    pub child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts one, and waits for the line that begins like this; gives the rest of it.
    pub fn start(
        words: &[&str],
        config: Option<&Path>,
        log: &Path,
        begin: &[&str],
    ) -> (Process, Vec<String>) {
        let mut command = Command::new(PROGRAM);
        command.args(words).stdin(Stdio::null()).stdout(Stdio::piped());
        command.stderr(fs::File::create(log).expect("a log"));
        if let Some(config) = config {
            command.env("GW_CONFIG", config);
        }
        let mut child = command.spawn().expect("it starts");
        let mut said = BufReader::new(child.stdout.take().expect("its output"));
        let process = Process { child, log: log.to_path_buf() };
        let mut all = Vec::new();
        for begin in begin {
            let mut line = String::new();
            said.read_line(&mut line).expect("a line");
            let rest = line.trim_end().strip_prefix(begin);
            all.push(rest.unwrap_or_else(|| panic!("{line:?}: {}", process.log_text())).to_string());
        }
        (process, all)
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill").success());
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a command of the program came to.
pub struct Ran {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Ran {
    /// The one object that it printed.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|e| panic!("{e}: {:?} {:?}", self.out, self.err))
    }

    /// What a gateway did, by its name.
    pub fn did(&self, gateway: &str) -> Value {
        let all = self.json();
        let instances = all["instances"].as_array().expect("instances");
        instances.iter().find(|i| i["gateway"] == gateway).expect("named").clone()
    }
}

impl From<Output> for Ran {
    fn from(output: Output) -> Ran {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code().unwrap_or(-1);
        Ran { code, out: text(&output.stdout), err: text(&output.stderr) }
    }
}

/// Runs a process that is to end by itself; one that runs on is ended.
pub fn ended(mut command: Command) -> Ran {
    let mut child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("it starts");
    let start = Instant::now();
    while child.try_wait().expect("a child").is_none() && start.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(10));
    }
    let _ = child.kill();
    child.wait_with_output().expect("its output").into()
}
