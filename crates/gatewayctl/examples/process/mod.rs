//! Processes that are measured, for the examples.
#![allow(dead_code)]

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use tokio::io::{AsyncBufReadExt, BufReader};

pub type Any = Box<dyn Error + Send + Sync>;

/// A process, which ends with the value.
pub struct Process(pub Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process; gives what follows `begin` on the first line that begins so, of its first few.
pub async fn start(mut command: Command, begin: &str) -> Result<(Process, String), Any> {
    let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn()?;
    let said = child.stdout.take().ok_or("no output")?;
    let process = Process(child);
    let mut lines = BufReader::new(tokio::process::ChildStdout::from_std(said)?).lines();
    for _ in 0..4 {
        let line = lines.next_line().await?.ok_or("it ended")?;
        if let Some(rest) = line.strip_prefix(begin) {
            return Ok((process, rest.to_string()));
        }
    }
    Err("it said something else".into())
}

/// CPU that a process has taken, us.
pub fn cpu_us(pid: u32) -> Result<f64, Any> {
    let mut sum = 0.0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        sum += text.split(' ').next().ok_or("no time")?.parse::<f64>()? / 1000.0;
    }
    Ok(sum)
}

/// The most memory that a process has had, MB.
pub fn memory_mb(pid: u32) -> Result<f64, Any> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:")).ok_or("no such line")?;
    Ok(line.trim().trim_end_matches("kB").trim().parse::<f64>()? / 1024.0)
}

/// The built program, beside the folder that this example is in.
pub fn program() -> Result<PathBuf, Any> {
    let here = std::env::current_exe()?;
    Ok(here.parent().and_then(Path::parent).ok_or("no folder")?.join("gatewayctl"))
}
