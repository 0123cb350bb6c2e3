//! Measures connections and requests at backends when a whole fleet of gateways restarts: `cargo run
//! --release --example measure_cold_backends`, after `cargo build --release`.
//!
//! A fleet of gateway processes under load is killed at once. From then on some backends are lost: they
//! accept connections but never answer. The list service no longer lists them, but the gateways'
//! configurations still do. All gateways restart, first opening connections on demand and then with
//! `backend_connections_per_s`, in one run. With `--absent-ms` the gateways keep running, and the backends
//! refuse connections for that long while they stay on the list.

mod support;

use std::time::Duration;

use clap::Parser;
use serde::Serialize;
use support::{max_in_window, program, AnyError};
use testbed::backend::Backend;
use testbed::client::LoadProfile;
use testbed::harness::fleet::{served_fraction, table_cell, Fleet};
use testbed::harness::Node;
use testbed::journal::Event;
use testbed::switch::Fault;
use tokio::time::sleep;

/// Measures connections and requests at backends when a whole fleet starts again.
#[derive(Debug, Parser)]
struct Args {
    /// Gateways that start at once.
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// Backends on the list in the gateways' configurations.
    #[arg(long, default_value_t = 40)]
    backends: usize,
    /// Backends among them that are lost.
    #[arg(long = "gone", value_name = "GONE", default_value_t = 20)]
    lost_backends: usize,
    /// Requests per second over all gateways.
    #[arg(long, default_value_t = 600.0)]
    rate: f64,
    /// Runs of each variant, each with a different seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// First connections that a backend accepts from all gateways, connections per second.
    #[arg(long = "per-s", value_name = "PER_S", default_value_t = 50.0)]
    connections_per_s: f64,
    /// If not 0, the backends refuse connections for this time and recover, ms, and no gateway is killed.
    #[arg(long = "absent-ms", value_name = "ABSENT_MS", default_value_t = 0)]
    outage_ms: u64,
    /// Duration of a run after the restart, s.
    #[arg(long = "lasts-s", value_name = "LASTS_S", default_value_t = 20)]
    duration_s: u64,
    /// Print one JSON object per run instead of the table.
    #[arg(long)]
    json: bool,
}

/// Results of a run, measured from the restart.
#[derive(Debug, Serialize)]
struct Results {
    #[serde(rename = "law")]
    variant: &'static str,
    seed: u64,
    gateways: usize,
    /// Maximum number of connections to one available or recovered backend in 100 ms.
    #[serde(rename = "most_in_100_ms")]
    max_in_100_ms: usize,
    /// Maximum number of connections to one available or recovered backend in 1 s.
    #[serde(rename = "most_in_1_s")]
    max_in_1_s: usize,
    /// Mean number of connections to an available or recovered backend.
    #[serde(rename = "connections_each")]
    mean_connections: f64,
    /// Connections to all lost backends.
    #[serde(rename = "connections_at_gone")]
    connections_to_lost: usize,
    /// Requests to all lost backends.
    #[serde(rename = "requests_at_gone")]
    requests_to_lost: u64,
    /// Requests to the lost backend with the most requests, relative to an even share, in each of the first
    /// seconds.
    #[serde(rename = "share_at_gone")]
    share_of_lost: Vec<f64>,
    /// Time until all gateways were ready, s.
    all_ready_s: f64,
    /// Fraction of the requests that was served in each of the first seconds.
    served: Vec<f64>,
    /// Fraction of the requests that was served in the whole run.
    served_in_all: f64,
    refused: u64,
    failed: u64,
    lost: u64,
}

/// Runs one variant: with slots for first connections, or with connections on demand.
async fn run_once(args: &Args, has_slots: bool, seed: u64) -> Result<Results, AnyError> {
    let slots = if has_slots {
        format!("backend_connections_per_s = {:.3}\n", args.connections_per_s)
    } else {
        String::new()
    };
    let operator_config = format!("[start]\nlist_calls_per_s = 50\n{slots}");
    let program = program()?;
    let mut fleet =
        Fleet::start(program, (args.gateways, args.backends), Duration::ZERO, &operator_config, seed).await?;
    let load = fleet.load(LoadProfile { rate: args.rate, customers: 2_000, seed, ..LoadProfile::default() });
    // Each seed restarts the fleet at a different time within the round of slots.
    sleep(Duration::from_secs(8) + Duration::from_millis(seed * 1_237 % 7_000)).await;

    let lost = 0..args.lost_backends;
    let has_outage = args.outage_ms > 0;
    if has_outage {
        fleet.backends[lost.clone()].iter().for_each(|b| b.switch.set(Fault::Refusing));
        sleep(Duration::from_millis(args.outage_ms)).await;
    } else {
        fleet.nodes.iter_mut().for_each(Node::kill);
        for backend in &fleet.backends[lost.clone()] {
            fleet.service.delete(backend);
            backend.switch.set(Fault::Silent);
        }
        sleep(Duration::from_secs(2)).await;
    }
    let requests_to_lost =
        |fleet: &Fleet| fleet.backends[lost.clone()].iter().map(Backend::arrived).sum::<u64>();
    let (restarted_at, before) = (fleet.journal.now(), requests_to_lost(&fleet));
    let first = load.load.counts();
    let samples = load.sample_every_second(args.duration_s);
    if has_outage {
        fleet.backends[lost.clone()].iter().for_each(|b| b.switch.set(Fault::None));
    } else {
        fleet.start_all().await?;
    }
    let all_ready = fleet.journal.now() - restarted_at;
    let samples = samples.await?;
    let last = load.finish().await;
    let requests_to_lost = requests_to_lost(&fleet) - before;
    let (lost, available) = fleet.backends.split_at(args.lost_backends);
    let accepted =
        |b: &Backend| b.accepted().into_iter().filter(|at| *at >= restarted_at).collect::<Vec<_>>();
    let connections: Vec<Vec<Duration>> =
        if has_outage { lost } else { available }.iter().map(accepted).collect();
    let max_connections =
        |window| connections.iter().map(|times| max_in_window(times, window)).max().unwrap_or(0);
    let even_share = args.rate / args.backends as f64;
    let events = fleet.journal.events();
    let share = |second: u64| {
        let from = restarted_at + Duration::from_secs(second);
        let mut counts = std::collections::HashMap::new();
        for (_, event) in events.iter().filter(|(at, _)| (from..from + Duration::from_secs(1)).contains(at)) {
            if let Event::AttemptReceived { backend, .. } = event {
                *counts.entry(backend.clone()).or_insert(0u64) += 1;
            }
        }
        lost.iter().map(|b| counts.get(&b.spec.name).copied().unwrap_or(0)).max().unwrap_or(0) as f64
            / even_share
    };
    let previous = std::iter::once(&first).chain(&samples);
    Ok(Results {
        variant: if has_slots { "turns" } else { "as needed" },
        seed,
        gateways: args.gateways,
        max_in_100_ms: max_connections(Duration::from_millis(100)),
        max_in_1_s: max_connections(Duration::from_secs(1)),
        mean_connections: connections.iter().map(Vec::len).sum::<usize>() as f64
            / connections.len().max(1) as f64,
        connections_to_lost: lost.iter().map(|b| accepted(b).len()).sum(),
        requests_to_lost,
        share_of_lost: (0..5).map(share).collect(),
        all_ready_s: all_ready.as_secs_f64(),
        served: samples.iter().zip(previous).take(10).map(|(now, was)| served_fraction(*now, *was)).collect(),
        served_in_all: served_fraction(last, first),
        refused: last.rejected - first.rejected,
        failed: last.failed - first.failed,
        lost: last.lost - first.lost,
    })
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args = Args::parse();
    if args.lost_backends >= args.backends {
        return Err("--gone must be less than --backends".into());
    }
    if !args.json {
        println!(
            "{} gateways, {} backends, {} of them gone, {} requests a second\n\
             | law | seed | at one in 100 ms | in 1 s | in all, each | connections, requests at those gone \
             | most of an even share at one of those, by second | all ready, s | served, by second | served \
             | refused, failed, lost |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
            args.gateways, args.backends, args.lost_backends, args.rate
        );
    }
    for seed in 1..=args.seeds {
        for has_slots in [false, true] {
            let results = run_once(&args, has_slots, seed).await?;
            if args.json {
                println!("{}", serde_json::to_string(&results)?);
                continue;
            }
            println!(
                "| {} | {} | {} | {} | {:.1} | {}, {} | {} | {:.1} | {} | {:.3} | {}, {}, {} |",
                results.variant,
                results.seed,
                results.max_in_100_ms,
                results.max_in_1_s,
                results.mean_connections,
                results.connections_to_lost,
                results.requests_to_lost,
                table_cell(&results.share_of_lost),
                results.all_ready_s,
                table_cell(&results.served),
                results.served_in_all,
                results.refused,
                results.failed,
                results.lost
            );
        }
    }
    Ok(())
}
