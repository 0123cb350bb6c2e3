//! Measures a gateway's CPU time per request, relative to that of a plain forwarder, for several list
//! lengths: `cargo run --release --example measure_gateway [BACKENDS ...]`, after `cargo build --release`.
//!
//! The forwarder (`tokio::io::copy_bidirectional`, with one backend connection per client connection) and the
//! gateways are separate processes, each with 32 clients that send one request after another. There is a
//! gateway for each list length, both as one of sixty and as the only one. Each round measures all processes
//! in turn, so that other activity on the machine affects all alike.
//!
//! With the argument `flood` instead of lengths it measures the memory of a gateway under a flood of
//! customers that send one request each, with a memory budget of 32 MB and with a practically unlimited one.

mod support;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use support::{cpu_us, median, peak_memory_mb, program, start, AnyError, Process};
use testbed::backend::{Backend, Spec};
use testbed::client::Load;
use testbed::counter::Counter;
use testbed::discovery::Discovery;
use testbed::journal::{Answer, Journal};
use testbed::platform;
use tokio::net::{TcpListener, TcpStream};

const CLIENTS: usize = 32;
const ROUNDS: usize = 5;
/// Duration of the measurement of one process in a round.
const ROUND: Duration = Duration::from_secs(3);
/// Duration of a flood.
const FLOOD: Duration = Duration::from_secs(12);
/// Configured fleet sizes. A gateway of a large fleet uses only a subset of the backends.
const FLEET_SIZES: [usize; 2] = [60, 1];

/// Forwards each connection to a backend until the process is killed.
async fn forward(to: SocketAddr) -> Result<(), AnyError> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("listening on {}", listener.local_addr()?);
    loop {
        let (mut client, _) = listener.accept().await?;
        client.set_nodelay(true)?;
        tokio::spawn(async move {
            let mut backend = TcpStream::connect(to).await?;
            backend.set_nodelay(true)?;
            tokio::io::copy_bidirectional(&mut client, &mut backend).await
        });
    }
}

/// Starts a gateway that lists the first `listed` backends, with a memory budget in MB.
async fn start_gateway(
    dir: &Path,
    backends: &[Backend],
    listed: usize,
    fleet_size: usize,
    memory_mb: usize,
) -> Result<Proxy, AnyError> {
    let (discovery, counter) = (Discovery::start().await?, Counter::start().await?);
    backends.iter().take(listed).for_each(|b| discovery.list(b, "SERVING"));
    let known = discovery.known();
    let mut config = platform::config(0, fleet_size, discovery.address, counter.address, &known, None);
    config["limits"]["memory_mb"] = memory_mb.into();
    let path = dir.join(format!("g{fleet_size}-{listed}-{memory_mb}.json"));
    fs::write(&path, config.to_string())?;
    let mut command = Command::new(program()?);
    command.arg("gateway").env("GW_CONFIG", &path);
    let (process, lines) = start(command, &["listening on "]).await?;
    let name = format!("{listed} backends, gateway 1 of {fleet_size}");
    Ok(Proxy { name, process, address: lines[0].parse()?, _stand_ins: Some((discovery, counter)) })
}

/// Process under measurement: a gateway or the forwarder.
struct Proxy {
    name: String,
    process: Process,
    address: SocketAddr,
    _stand_ins: Option<(Discovery, Counter)>,
}

/// Sends requests for the duration of a round. Returns the requests served and the CPU time per request, us.
async fn run_round(proxy: &Proxy, first_id: u64, journal: &Journal) -> Result<(u64, f64), AnyError> {
    let load = Load::new(vec![proxy.address], first_id, journal.clone());
    let (cpu_before, started) = (cpu_us(proxy.process.id())?, Instant::now());
    let mut tasks = tokio::task::JoinSet::new();
    for client in 0..CLIENTS as u64 {
        let load = load.clone();
        tasks.spawn(async move {
            let (mut id, mut served) = (first_id + (client << 24), 0);
            while started.elapsed() < ROUND {
                // The forwarder passes on the backend's answer unchanged, which the client reports as
                // malformed.
                let answer = load.send_request(0, id, client, 0, 0).await;
                served += u64::from(matches!(answer, Answer::Served | Answer::Malformed));
                id += 1;
            }
            served
        });
    }
    let served: u64 = tasks.join_all().await.into_iter().sum();
    Ok((served, (cpu_us(proxy.process.id())? - cpu_before) / served.max(1) as f64))
}

/// Measures the memory of a gateway under a flood of customers that send one request each.
async fn measure_flood() -> Result<(), AnyError> {
    let (dir, journal) = (tempfile::tempdir()?, Journal::new(0));
    let mut backends = Vec::new();
    for i in 0..8 {
        let spec = Spec { service_time: Duration::ZERO, slots: 64, ..Spec::plain(i) };
        backends.push(Backend::start(spec, journal.clone()).await?);
    }
    for memory_mb in [32, 1 << 20] {
        let proxy = start_gateway(dir.path(), &backends, 8, 1, memory_mb).await?;
        let memory_before = peak_memory_mb(proxy.process.id())?;
        let load = Load::new(vec![proxy.address], 1 << 40, journal.clone());
        let (started, mut tasks) = (Instant::now(), tokio::task::JoinSet::new());
        for client in 0..CLIENTS as u64 {
            let load = load.clone();
            tasks.spawn(async move {
                let mut customer = client << 26;
                while started.elapsed() < FLOOD {
                    // Plan 1 is the one with a quota.
                    load.send_request(0, 1 << 40 | customer, customer, 0, 1).await;
                    customer += 1;
                }
            });
        }
        while tasks.join_next().await.is_some() {}
        let (counts, peak) = (load.counts(), peak_memory_mb(proxy.process.id())?);
        let (p99, seconds) = (load.latency_ms(0.99), FLOOD.as_secs());
        let budget = if memory_mb == 32 { "32 MB" } else { "no end" };
        println!(
            "flood, {budget}: {memory_before:.1} MB before, {peak:.1} MB at the peak; {} new customers \
             in {seconds} s, {} served, {} refused, p99 {p99:.1} ms",
            counts.served + counts.rejected + counts.failed + counts.lost,
            counts.served,
            counts.rejected,
        );
    }
    Ok(())
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), AnyError> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [command, to] = &args[..] {
        if command == "forward" {
            return forward(to.parse()?).await;
        }
    }
    if args.first().is_some_and(|command| command == "flood") {
        return measure_flood().await;
    }
    let mut lengths = args.iter().map(|arg| arg.parse()).collect::<Result<Vec<usize>, _>>()?;
    if lengths.is_empty() {
        lengths = vec![8, 80, 800, 4_000];
    }
    let (dir, journal) = (tempfile::tempdir()?, Journal::new(0));
    let mut backends = Vec::new();
    for i in 0..lengths.iter().copied().max().unwrap_or(8) {
        let spec = Spec { service_time: Duration::ZERO, slots: 64, ..Spec::plain(i) };
        backends.push(Backend::start(spec, journal.clone()).await?);
    }
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["forward", &backends[0].address.to_string()]);
    let (process, lines) = start(command, &["listening on "]).await?;
    let mut proxies =
        vec![Proxy { name: "forwarder".to_string(), process, address: lines[0].parse()?, _stand_ins: None }];
    for fleet_size in FLEET_SIZES {
        for listed in &lengths {
            proxies.push(start_gateway(dir.path(), &backends, *listed, fleet_size, 192).await?);
        }
    }
    let mut costs = vec![Vec::new(); proxies.len()];
    let mut served = vec![0; proxies.len()];
    for round in 0..=ROUNDS {
        for (index, proxy) in proxies.iter().enumerate() {
            let first_id = ((round * proxies.len() + index + 1) as u64) << 32;
            let (count, cost) = run_round(proxy, first_id, &journal).await?;
            // The first round opens connections and is not counted.
            if round > 0 {
                costs[index].push(cost);
                served[index] += count;
            }
        }
    }
    let forwarder_cost = median(&costs[0]);
    println!("{:<36} {:>9} {:>9} {:>11} {:>8}", "", "us CPU", "x forw.", "requests/s", "peak MB");
    for ((proxy, costs), served) in proxies.iter().zip(&costs).zip(served) {
        let (cost, rate) = (median(costs), served as f64 / (ROUND.as_secs_f64() * ROUNDS as f64));
        let memory = peak_memory_mb(proxy.process.id())?;
        println!("{:<36} {cost:>9.1} {:>9.2} {rate:>11.0} {memory:>8.1}", proxy.name, cost / forwarder_cost);
    }
    Ok(())
}
