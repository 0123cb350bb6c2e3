//! What the measuring examples share: processes that are measured, and figures.
#![allow(dead_code)]

use std::error::Error;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader};

/// Whatever stops a measurement.
pub type AnyError = Box<dyn Error + Send + Sync>;

/// Lines that a process may print before each of those that are waited for.
const MAX_OTHER_LINES: usize = 4;

/// A process, which ends with the value.
pub struct Process(pub Child);

impl Process {
    /// Its process id.
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

/// Starts a process, and waits for a line with each of these prefixes in turn; gives the rests of the lines.
pub async fn start(mut command: Command, prefixes: &[&str]) -> Result<(Process, Vec<String>), AnyError> {
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
    let mut child = command.spawn()?;
    let stdout = child.stdout.take().ok_or("no output")?;
    let process = Process(child);
    let mut lines = BufReader::new(tokio::process::ChildStdout::from_std(stdout)?).lines();
    let mut rests = Vec::new();
    for prefix in prefixes {
        let mut rest = None;
        for _ in 0..MAX_OTHER_LINES {
            let line = lines.next_line().await?.ok_or("it ended")?;
            rest = line.strip_prefix(prefix).map(str::to_string);
            if rest.is_some() {
                break;
            }
        }
        rests.push(rest.ok_or("it printed something else")?);
    }
    Ok((process, rests))
}

/// The built program, in the parent of the directory that this example is in.
pub fn program() -> Result<PathBuf, AnyError> {
    let example = std::env::current_exe()?;
    Ok(example.parent().and_then(Path::parent).ok_or("no directory")?.join("gatewayctl"))
}

/// An address that nobody else on this machine uses: a loopback address of this process, and a new port.
pub fn own_address() -> SocketAddr {
    const FIRST_PORT: u16 = 7001;
    static ADDRESSES: AtomicU16 = AtomicU16::new(0);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, 64 + (high & 63), middle, low);
    SocketAddr::from((host, FIRST_PORT + ADDRESSES.fetch_add(1, Ordering::Relaxed)))
}

/// CPU time that a process has used, us.
pub fn cpu_us(pid: u32) -> Result<f64, AnyError> {
    let mut sum = 0.0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = fs::read_to_string(task?.path().join("schedstat"))?;
        sum += text.split(' ').next().ok_or("no time")?.parse::<f64>()? / 1000.0;
    }
    Ok(sum)
}

/// CPU time that a process has used, in ticks of 10 ms.
pub fn cpu_ticks(pid: u32) -> Result<f64, AnyError> {
    const USER_TIME: usize = 11;
    const SYSTEM_TIME: usize = 12;
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let behind_name = text.rsplit(") ").next().ok_or("no state")?;
    let field = |index: usize| behind_name.split(' ').nth(index).and_then(|text| text.parse::<f64>().ok());
    Ok(field(USER_TIME).ok_or("no utime")? + field(SYSTEM_TIME).ok_or("no stime")?)
}

/// The most memory that a process has had, MB.
pub fn peak_memory_mb(pid: u32) -> Result<f64, AnyError> {
    memory_mb(pid, "VmHWM:")
}

/// The memory that a process has, MB.
pub fn resident_memory_mb(pid: u32) -> Result<f64, AnyError> {
    memory_mb(pid, "VmRSS:")
}

fn memory_mb(pid: u32, key: &str) -> Result<f64, AnyError> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let value = text.lines().find_map(|line| line.strip_prefix(key)).ok_or("no such line")?;
    Ok(value.trim().trim_end_matches("kB").trim().parse::<f64>()? / 1024.0)
}

/// The most of these times, which ascend, within any window of this length.
pub fn max_in_window(times: &[Duration], window: Duration) -> usize {
    let within =
        |first: usize| times[first..].iter().take_while(|time| **time < times[first] + window).count();
    (0..times.len()).map(within).max().unwrap_or(0)
}

/// The value below which a part of all values lies.
pub fn quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[((sorted.len() - 1) as f64 * part).round() as usize]
}

/// The value in the middle.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}
