//! Measures a gateway's CPU a request, over that of a bare forwarder in the same run, as the list grows:
//! `cargo run --release --example measure_gateway [BACKENDS ...]`, after `cargo build --release`.
//!
//! Each is a process of its own, under 32 clients that ask one request after the other; rounds go over all of
//! them in turn, so that what else the machine does falls on all alike. There are the forwarder
//! (`tokio::io::copy_bidirectional`, one connection to a backend for each client's) and a gateway for each
//! length of the list, as one of sixty and as the only one.
//!
//! With `flood` in place of lengths: the memory of a gateway under a flood of customers that come once each,
//! with the room that 32 MB leave for their records and with room without end.

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
const ROUND: Duration = Duration::from_secs(3);
const FLOOD: Duration = Duration::from_secs(12);
/// Gateways that there are said to be: one of a large fleet keeps to its part of the backends.
const FLEETS: [usize; 2] = [60, 1];

/// Forwards each connection to a backend, until the process ends.
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

async fn gateway(
    dir: &Path,
    all: &[Backend],
    listed: usize,
    fleet: usize,
    memory: usize,
) -> Result<Front, AnyError> {
    let (discovery, counter) = (Discovery::start().await?, Counter::start().await?);
    all.iter().take(listed).for_each(|b| discovery.list(b, "SERVING"));
    let known = discovery.known();
    let mut config = platform::config(0, fleet, discovery.address, counter.address, &known, None);
    config["limits"]["memory_mb"] = memory.into();
    let path = dir.join(format!("g{fleet}-{listed}-{memory}.json"));
    fs::write(&path, config.to_string())?;
    let mut command = Command::new(program()?);
    command.arg("gateway").env("GW_CONFIG", &path);
    let (process, lines) = start(command, &["listening on "]).await?;
    let name = format!("{listed} backends, gateway 1 of {fleet}");
    Ok(Front { name, process, address: lines[0].parse()?, _around: Some((discovery, counter)) })
}

struct Front {
    name: String,
    process: Process,
    address: SocketAddr,
    _around: Option<(Discovery, Counter)>,
}

/// Asks for a while; gives requests served and CPU a request, us.
async fn round(front: &Front, first_id: u64, journal: &Journal) -> Result<(u64, f64), AnyError> {
    let load = Load::new(vec![front.address], first_id, journal.clone());
    let (before, begun) = (cpu_us(front.process.id())?, Instant::now());
    let mut tasks = tokio::task::JoinSet::new();
    for client in 0..CLIENTS as u64 {
        let load = load.clone();
        tasks.spawn(async move {
            let (mut id, mut served) = (first_id + (client << 24), 0);
            while begun.elapsed() < ROUND {
                // The forwarder gives a backend's answer as it is, which is odd to a client.
                let answer = load.send_request(0, id, client, 0, 0).await;
                served += u64::from(matches!(answer, Answer::Served | Answer::Malformed));
                id += 1;
            }
            served
        });
    }
    let served: u64 = tasks.join_all().await.into_iter().sum();
    Ok((served, (cpu_us(front.process.id())? - before) / served.max(1) as f64))
}

/// A flood of customers that come once each.
async fn flood() -> Result<(), AnyError> {
    let (dir, journal) = (tempfile::tempdir()?, Journal::new(0));
    let mut all = Vec::new();
    for i in 0..8 {
        let spec = Spec { service_time: Duration::ZERO, slots: 64, ..Spec::plain(i) };
        all.push(Backend::start(spec, journal.clone()).await?);
    }
    for memory in [32, 1 << 20] {
        let front = gateway(dir.path(), &all, 8, 1, memory).await?;
        let before = peak_memory_mb(front.process.id())?;
        let load = Load::new(vec![front.address], 1 << 40, journal.clone());
        let (begun, mut tasks) = (Instant::now(), tokio::task::JoinSet::new());
        for client in 0..CLIENTS as u64 {
            let load = load.clone();
            tasks.spawn(async move {
                let mut customer = client << 26;
                while begun.elapsed() < FLOOD {
                    // Of the plan with a quota.
                    load.send_request(0, 1 << 40 | customer, customer, 0, 1).await;
                    customer += 1;
                }
            });
        }
        while tasks.join_next().await.is_some() {}
        let (tally, peak) = (load.counts(), peak_memory_mb(front.process.id())?);
        let (p99, seconds) = (load.latency_ms(0.99), FLOOD.as_secs());
        let of = if memory == 32 { "32 MB" } else { "no end" };
        println!(
            "flood, {of}: {before:.1} MB before, {peak:.1} MB at the peak; {} new customers in {seconds} s, \
             {} served, {} refused, p99 {p99:.1} ms",
            tally.served + tally.refused + tally.failed + tally.lost,
            tally.served,
            tally.refused,
        );
    }
    Ok(())
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), AnyError> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    if let [word, to] = &words[..] {
        if word == "forward" {
            return forward(to.parse()?).await;
        }
    }
    if words.first().is_some_and(|word| word == "flood") {
        return flood().await;
    }
    let mut lengths = words.iter().map(|w| w.parse()).collect::<Result<Vec<usize>, _>>()?;
    if lengths.is_empty() {
        lengths = vec![8, 80, 800, 4_000];
    }
    let (dir, journal) = (tempfile::tempdir()?, Journal::new(0));
    let mut all = Vec::new();
    for i in 0..lengths.iter().copied().max().unwrap_or(8) {
        let spec = Spec { service_time: Duration::ZERO, slots: 64, ..Spec::plain(i) };
        all.push(Backend::start(spec, journal.clone()).await?);
    }
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["forward", &all[0].address.to_string()]);
    let (process, lines) = start(command, &["listening on "]).await?;
    let mut fronts =
        vec![Front { name: "forwarder".to_string(), process, address: lines[0].parse()?, _around: None }];
    for fleet in FLEETS {
        for listed in &lengths {
            fronts.push(gateway(dir.path(), &all, *listed, fleet, 192).await?);
        }
    }
    let mut costs = vec![Vec::new(); fronts.len()];
    let mut served = vec![0; fronts.len()];
    for r in 0..=ROUNDS {
        for (place, front) in fronts.iter().enumerate() {
            let first_id = ((r * fronts.len() + place + 1) as u64) << 32;
            let (count, cost) = round(front, first_id, &journal).await?;
            // The first round opens connections.
            if r > 0 {
                costs[place].push(cost);
                served[place] += count;
            }
        }
    }
    let forwarder = median(&costs[0]);
    println!("{:<36} {:>9} {:>9} {:>11} {:>8}", "", "us CPU", "x forw.", "requests/s", "peak MB");
    for ((front, costs), served) in fronts.iter().zip(&costs).zip(served) {
        let (cost, rate) = (median(costs), served as f64 / (ROUND.as_secs_f64() * ROUNDS as f64));
        let memory = peak_memory_mb(front.process.id())?;
        println!("{:<36} {cost:>9.1} {:>9.2} {rate:>11.0} {memory:>8.1}", front.name, cost / forwarder);
    }
    Ok(())
}
