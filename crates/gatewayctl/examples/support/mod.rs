//! Helpers of the measuring examples: measured processes and statistics.
#![allow(dead_code)]

use std::error::Error;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader};

/// Error that stops a measurement.
pub type AnyError = Box<dyn Error + Send + Sync>;

/// Maximum number of lines read for each expected line.
const MAX_LINES_READ: usize = 4;

/// Child process; killed when dropped.
pub struct Process(pub Child);

impl Process {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process and waits for an output line with each prefix, in order. Returns the rest of each line.
pub async fn start(mut command: Command, prefixes: &[&str]) -> Result<(Process, Vec<String>), AnyError> {
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn()?;
    let stdout = child.stdout.take().ok_or("the standard output is not available")?;
    let process = Process(child);
    let mut lines = BufReader::new(tokio::process::ChildStdout::from_std(stdout)?).lines();
    let mut rests = Vec::new();
    for prefix in prefixes {
        let mut rest = None;
        for _ in 0..MAX_LINES_READ {
            let line = lines
                .next_line()
                .await?
                .ok_or_else(|| format!("the process exited before it printed {prefix:?}"))?;
            rest = line.strip_prefix(prefix).map(str::to_string);
            if rest.is_some() {
                break;
            }
        }
        rests.push(rest.ok_or_else(|| format!("the process did not print {prefix:?}"))?);
    }
    Ok((process, rests))
}

/// Returns the path of the built executable, in the parent of the example's directory.
pub fn program() -> Result<PathBuf, AnyError> {
    let example = std::env::current_exe()?;
    Ok(example
        .parent()
        .and_then(Path::parent)
        .ok_or("the executable is in no target directory")?
        .join("gatewayctl"))
}

/// Returns an unused address: a loopback address derived from the process id, with a new port for each call.
pub fn own_address() -> SocketAddr {
    const FIRST_PORT: u16 = 7001;
    static ADDRESSES: AtomicU16 = AtomicU16::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 + (high & 63), middle, low);
    SocketAddr::from((host, FIRST_PORT + ADDRESSES.fetch_add(1, Ordering::Relaxed)))
}

/// Returns the CPU time that a process has used, us.
pub fn cpu_us(pid: u32) -> Result<f64, AnyError> {
    let mut sum = 0.0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        sum += text.split(' ').next().ok_or("schedstat has no CPU time")?.parse::<f64>()? / 1000.0;
    }
    Ok(sum)
}

/// Returns the CPU time that a process has used, in ticks of 10 ms.
pub fn cpu_ticks(pid: u32) -> Result<f64, AnyError> {
    const USER_TIME: usize = 11;
    const SYSTEM_TIME: usize = 12;
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = text.rsplit(") ").next().ok_or("stat is empty")?;
    let field = |index: usize| after_name.split(' ').nth(index).and_then(|text| text.parse::<f64>().ok());
    Ok(field(USER_TIME).ok_or("stat has no user time")?
        + field(SYSTEM_TIME).ok_or("stat has no system time")?)
}

/// Returns the peak resident memory of a process, MB.
pub fn peak_memory_mb(pid: u32) -> Result<f64, AnyError> {
    memory_mb(pid, "VmHWM:")
}

/// Returns the resident memory of a process, MB.
pub fn resident_memory_mb(pid: u32) -> Result<f64, AnyError> {
    memory_mb(pid, "VmRSS:")
}

fn memory_mb(pid: u32, key: &str) -> Result<f64, AnyError> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let value = text
        .lines()
        .find_map(|line| line.strip_prefix(key))
        .ok_or_else(|| format!("the status of process {pid} has no line {key}"))?;
    Ok(value.trim().trim_end_matches("kB").trim().parse::<f64>()? / 1024.0)
}

/// Returns the maximum number of times within any window of this length; the times must ascend.
pub fn max_in_window(times: &[Duration], window: Duration) -> usize {
    let within =
        |first: usize| times[first..].iter().take_while(|time| **time < times[first] + window).count();
    (0..times.len()).map(within).max().unwrap_or(0)
}

/// Returns a quantile of the values; `fraction` is between 0 and 1.
pub fn quantile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[((sorted.len() - 1) as f64 * fraction).round() as usize]
}

/// Returns the middle value, or the upper of two middle values.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}
