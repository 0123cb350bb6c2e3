//! Measures an agent that gets its endpoint list from DNS-SD: time to the first list, queries per minute, CPU
//! and memory, and the time from a change of a record until the list contains it: `cargo run --release
//! --example measure_dns_sd [INSTANCES ...]`, after `cargo build --release`.
//!
//! The resolver is the testbed's and runs in this process; the agent is a separate process. A DNS answer has
//! room for about 2,500 instances, so there is one service per 2,000.

mod support;

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::Value;
use support::{cpu_us, median, peak_memory_mb, program, start, AnyError};
use testbed::dns::{Dns, Instance};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Instances of each service.
const INSTANCES_PER_SERVICE: usize = 2_000;
/// Duration of the measurement after the first list.
const IDLE_PERIOD: Duration = Duration::from_secs(20);
/// Number of record changes that are timed.
const CHANGES: usize = 15;
/// Timeout of a call to the agent's list service.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Fetches the list; returns `None` while the agent does not serve one.
async fn fetch_list(address: SocketAddr, path: &str) -> Result<Option<Value>, AnyError> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut text = String::new();
    timeout(CALL_TIMEOUT, stream.read_to_string(&mut text)).await??;
    let is_ok = text.starts_with("HTTP/1.1 200");
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok(if is_ok { Some(serde_json::from_str(body)?) } else { None })
}

fn instance(label: String, port: u16) -> Instance {
    let text = vec!["zone=room".to_string(), "type=m".to_string(), "group=1".to_string()];
    Instance { label, service: (0, 10, port), text, address: Ipv4Addr::LOCALHOST }
}

/// Measures an agent with this number of instances and prints the results.
async fn measure(instances: usize, ttl_s: u32) -> Result<(), AnyError> {
    let (dir, dns) = (tempfile::tempdir()?, Dns::start(ttl_s, 1).await?);
    let service = |i: usize| format!("_till._tcp.room-{}.test", i / INSTANCES_PER_SERVICE);
    (0..instances).for_each(|i| dns.put_instance(&service(i), &instance(format!("till-{i}"), 9_000)));
    let services: Vec<String> = (0..instances.div_ceil(INSTANCES_PER_SERVICE))
        .map(|s| format!("{:?}", service(s * INSTANCES_PER_SERVICE)))
        .collect();
    let directory = dir.path().display();
    let text = format!(
        "[agent]\nlisten = \"unix:{directory}/a.sock\"\nlog = \"{directory}/log\"\n\
         [sources]\nlisten = \"127.0.0.1:0\"\nservices = [{}]\nresolvers = [\"{}\"]\n",
        services.join(", "),
        dns.address
    );
    let file = dir.path().join("operator.toml");
    fs::write(&file, text)?;
    let mut command = Command::new(program()?);
    command.arg("agent").arg("--operator").arg(&file);
    let started = Instant::now();
    let (process, lines) = start(command, &["serving the list on "]).await?;
    let (pid, address) = (process.id(), lines[0].parse()?);
    let mut list = None;
    while list.is_none() {
        sleep(Duration::from_millis(20)).await;
        list = fetch_list(address, "/discovery/hosts").await?;
    }
    let (first_list_after, list) = (started.elapsed(), list.unwrap_or_default());
    let listed = list["endpoints"].as_array().map_or(0, Vec::len);
    let (cpu_first, memory) = (cpu_us(pid)?, peak_memory_mb(pid)?);
    let (queries_before, idle_since) = (dns.question_counts().0, Instant::now());
    sleep(IDLE_PERIOD).await;
    let per_minute =
        (dns.question_counts().0 - queries_before) as f64 * 60.0 / idle_since.elapsed().as_secs_f64();
    let cpu = (cpu_us(pid)? - cpu_first) / idle_since.elapsed().as_secs_f64() / 10_000.0;
    let mut delays = Vec::new();
    for change in 0..CHANGES {
        let index =
            fetch_list(address, "/discovery/hosts").await?.unwrap_or_default()["index"].as_u64().unwrap_or(0);
        let (label, changed) = (format!("new-{change}"), Instant::now());
        dns.put_instance(&service(0), &instance(label, 9_001));
        fetch_list(address, &format!("/discovery/hosts?after={index}&wait_ms=60000")).await?;
        delays.push(changed.elapsed().as_secs_f64() * 1_000.0);
    }
    delays.sort_by(f64::total_cmp);
    println!(
        "{instances} instances, TTL {ttl_s} s: {listed} listed after {:.2} s ({:.2} s of CPU); \
         {per_minute:.0} questions a minute, {cpu:.1} of 100 of a core; {memory:.0} MB then, \
         {:.0} MB at the most; a change is served after {:.0} ms in the middle, {:.0} ms at the longest",
        first_list_after.as_secs_f64(),
        cpu_first / 1e6,
        peak_memory_mb(pid)?,
        median(&delays),
        delays[delays.len() - 1],
    );
    Ok(())
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), AnyError> {
    let mut counts = std::env::args().skip(1).map(|w| w.parse()).collect::<Result<Vec<usize>, _>>()?;
    if counts.is_empty() {
        counts = vec![100, 1_000, 10_000];
    }
    for instances in counts {
        measure(instances, 10).await?;
    }
    Ok(())
}
