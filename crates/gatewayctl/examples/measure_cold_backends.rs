//! Measures what backends get when a whole fleet starts: `cargo run --release --example
//! measure_cold_backends`, after `cargo build --release`.
//!
//! A fleet of real gateways under load is killed at once. Some backends are gone from that moment on: they
//! accept connections, and say nothing; the list service has taken them off, and the gateways know the list
//! of before. All gateways start again: with connections as requests need them, and by turns, in one run.
//! With `--absent-ms` gateways go on, and those backends refuse for so long, which no list tells.

mod support;

use std::time::Duration;

use clap::Parser;
use serde::Serialize;
use support::{max_in_window, program, AnyError};
use testbed::backend::Backend;
use testbed::client::LoadProfile;
use testbed::harness::fleet::{column, served_fraction, Fleet};
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
    /// Backends on the list that the gateways know.
    #[arg(long, default_value_t = 40)]
    backends: usize,
    /// Those of them that are gone.
    #[arg(long, default_value_t = 20)]
    gone: usize,
    /// Requests a second, over all gateways.
    #[arg(long, default_value_t = 600.0)]
    rate: f64,
    /// Plays of each law, each with a seed of its own.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// First connections that a backend takes from all gateways, connections a second.
    #[arg(long, default_value_t = 50.0)]
    per_s: f64,
    /// The backends that go refuse connections for so long and are back, ms, and no gateway is killed; 0: as
    /// above.
    #[arg(long, default_value_t = 0)]
    absent_ms: u64,
    /// How long a play lasts after the start, s.
    #[arg(long, default_value_t = 20)]
    lasts_s: u64,
    /// One JSON object a play in place of the table.
    #[arg(long)]
    json: bool,
}

/// What a play came to, from the start on.
#[derive(Debug, Serialize)]
struct Figures {
    law: &'static str,
    seed: u64,
    gateways: usize,
    /// The most connections that came to one backend that is there, or is back, in 100 ms and in 1 s.
    most_in_100_ms: usize,
    most_in_1_s: usize,
    /// Connections that came to one that is there, mean, until the end.
    connections_each: f64,
    /// Connections and requests that came to all that are gone.
    connections_at_gone: usize,
    requests_at_gone: u64,
    /// Requests at the one of those gone that got most of an even share, in each of the first seconds.
    share_at_gone: Vec<f64>,
    /// When all gateways were ready, s.
    all_ready_s: f64,
    /// Part of what was asked that was served, in each of the first seconds and in all.
    served: Vec<f64>,
    served_in_all: f64,
    refused: u64,
    failed: u64,
    lost: u64,
}

async fn play(args: &Args, turns: bool, seed: u64) -> Result<Figures, AnyError> {
    let more = if turns { format!("backend_connections_per_s = {:.3}\n", args.per_s) } else { String::new() };
    let operator = format!("[start]\nlist_calls_per_s = 50\n{more}");
    let program = program()?;
    let mut fleet =
        Fleet::start(program, (args.gateways, args.backends), Duration::ZERO, &operator, seed).await?;
    let loading =
        fleet.load(LoadProfile { rate: args.rate, customers: 2_000, seed, ..LoadProfile::default() });
    // Starts at another moment of the round each time.
    sleep(Duration::from_secs(8) + Duration::from_millis(seed * 1_237 % 7_000)).await;

    let gone = 0..args.gone;
    let absent = args.absent_ms > 0;
    if absent {
        fleet.backends[gone.clone()].iter().for_each(|b| b.switch.set(Fault::Refusing));
        sleep(Duration::from_millis(args.absent_ms)).await;
    } else {
        fleet.nodes.iter_mut().for_each(Node::kill);
        for backend in &fleet.backends[gone.clone()] {
            fleet.service.delete(backend);
            backend.switch.set(Fault::Silent);
        }
        sleep(Duration::from_secs(2)).await;
    }
    let requests = |fleet: &Fleet| fleet.backends[gone.clone()].iter().map(Backend::arrived).sum::<u64>();
    let (begun, at_gone) = (fleet.journal.now(), requests(&fleet));
    let first = loading.load.counts();
    let samples = loading.sample_every_second(args.lasts_s);
    if absent {
        fleet.backends[gone.clone()].iter().for_each(|b| b.switch.set(Fault::None));
    } else {
        fleet.start_all().await?;
    }
    let all_ready = fleet.journal.now() - begun;
    let samples = samples.await?;
    let last = loading.finish().await;
    let requests_at_gone = requests(&fleet) - at_gone;
    let (gone, there) = fleet.backends.split_at(args.gone);
    let since = |b: &Backend| b.accepted().into_iter().filter(|at| *at >= begun).collect::<Vec<_>>();
    let at: Vec<Vec<Duration>> = if absent { gone } else { there }.iter().map(since).collect();
    let most = |time| at.iter().map(|at| max_in_window(at, time)).max().unwrap_or(0);
    let even = args.rate / args.backends as f64;
    let events = fleet.journal.events();
    let share = |second: u64| {
        let from = begun + Duration::from_secs(second);
        let mut counts = std::collections::HashMap::new();
        for (_, event) in events.iter().filter(|(at, _)| (from..from + Duration::from_secs(1)).contains(at)) {
            if let Event::AttemptReceived { backend, .. } = event {
                *counts.entry(backend.clone()).or_insert(0u64) += 1;
            }
        }
        gone.iter().map(|b| counts.get(&b.spec.name).copied().unwrap_or(0)).max().unwrap_or(0) as f64 / even
    };
    let befores = std::iter::once(&first).chain(&samples);
    Ok(Figures {
        law: if turns { "turns" } else { "as needed" },
        seed,
        gateways: args.gateways,
        most_in_100_ms: most(Duration::from_millis(100)),
        most_in_1_s: most(Duration::from_secs(1)),
        connections_each: at.iter().map(Vec::len).sum::<usize>() as f64 / at.len().max(1) as f64,
        connections_at_gone: gone.iter().map(|b| since(b).len()).sum(),
        requests_at_gone,
        share_at_gone: (0..5).map(share).collect(),
        all_ready_s: all_ready.as_secs_f64(),
        served: samples.iter().zip(befores).take(10).map(|(now, was)| served_fraction(*now, *was)).collect(),
        served_in_all: served_fraction(last, first),
        refused: last.refused - first.refused,
        failed: last.failed - first.failed,
        lost: last.lost - first.lost,
    })
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args = Args::parse();
    if args.gone >= args.backends {
        return Err("--gone: fewer than --backends are wanted".into());
    }
    if !args.json {
        println!(
            "{} gateways, {} backends, {} of them gone, {} requests a second\n\
             | law | seed | at one in 100 ms | in 1 s | in all, each | connections, requests at those gone \
             | most of an even share at one of those, by second | all ready, s | served, by second | served \
             | refused, failed, lost |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
            args.gateways, args.backends, args.gone, args.rate
        );
    }
    for seed in 1..=args.seeds {
        for turns in [false, true] {
            let f = play(&args, turns, seed).await?;
            if args.json {
                println!("{}", serde_json::to_string(&f)?);
                continue;
            }
            println!(
                "| {} | {} | {} | {} | {:.1} | {}, {} | {} | {:.1} | {} | {:.3} | {}, {}, {} |",
                f.law,
                f.seed,
                f.most_in_100_ms,
                f.most_in_1_s,
                f.connections_each,
                f.connections_at_gone,
                f.requests_at_gone,
                column(&f.share_at_gone),
                f.all_ready_s,
                column(&f.served),
                f.served_in_all,
                f.refused,
                f.failed,
                f.lost
            );
        }
    }
    Ok(())
}
