//! Measures calls to the shared counter when a whole fleet of gateways restarts: `cargo run --release
//! --example measure_cold_counter`, after `cargo build --release`.
//!
//! A fleet of gateway processes under a load of customers with quotas is killed and restarted at once. The
//! counter handles one call after another. One run measures the fleet without a limit on calls and with
//! `counter_calls_per_s` in `[start]`. The waiting times are recorded by the counter.

mod support;

use std::time::Duration;

use clap::Parser;
use serde::Serialize;
use support::{program, AnyError};
use testbed::client::LoadProfile;
use testbed::harness::fleet::{served_fraction, table_cell, Fleet};
use testbed::harness::Node;
use tokio::time::sleep;

/// Measures calls to the shared counter when a whole fleet restarts.
#[derive(Debug, Parser)]
struct Args {
    /// Gateways that start at once.
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// Requests per second over all gateways, all of customers with quotas.
    #[arg(long, default_value_t = 600.0)]
    rate: f64,
    /// Time that the counter takes for a call, ms.
    #[arg(long = "each-ms", value_name = "EACH_MS", default_value_t = 4)]
    call_time_ms: u64,
    /// Waiting time above which a call counts as late, ms.
    #[arg(long, default_value_t = 80)]
    late_ms: u64,
    /// Runs of each variant, each with a different seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Duration of a run after the restart, s.
    #[arg(long = "lasts-s", value_name = "LASTS_S", default_value_t = 12)]
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
    /// Calls in each second.
    calls: Vec<usize>,
    /// Fraction of the calls in each second that were late.
    late: Vec<f64>,
    /// Fraction of late calls in the first five seconds.
    late_in_5_s: f64,
    /// Fraction of late calls in the whole run.
    late_in_all: f64,
    /// Calls per second that were not late, in the first five seconds.
    #[serde(rename = "in_time_a_second")]
    in_time_per_s: f64,
    /// Fraction of the requests that was served in each second.
    served: Vec<f64>,
    refused: u64,
    failed: u64,
    lost: u64,
}

/// Runs one variant: with or without a limit on calls to the counter.
async fn run_once(args: &Args, is_limited: bool, seed: u64) -> Result<Results, AnyError> {
    let call_time = Duration::from_millis(args.call_time_ms.max(1));
    let limit = format!("counter_calls_per_s = {:.3}\n", 1.0 / call_time.as_secs_f64());
    let operator_config =
        format!("[start]\nlist_calls_per_s = 50\n{}", if is_limited { limit.as_str() } else { "" });
    let program = program()?;
    let mut fleet = Fleet::start(program, (args.gateways, 20), call_time, &operator_config, seed).await?;
    let profile = LoadProfile { rate: args.rate, customers: 400, paid: 1.0, seed, ..LoadProfile::default() };
    let load = fleet.load(profile);
    sleep(Duration::from_secs(8) + Duration::from_millis(seed * 1_237 % 3_000)).await;
    fleet.nodes.iter_mut().for_each(Node::kill);
    sleep(Duration::from_secs(1)).await;
    let (restarted_at, first) = (fleet.counter.now(), load.load.counts());
    let samples = load.sample_every_second(args.duration_s);
    fleet.start_all().await?;
    let samples = samples.await?;
    let last = load.finish().await;
    let waits: Vec<_> = fleet.counter.waits().into_iter().filter(|(at, _)| *at >= restarted_at).collect();
    let late_after = Duration::from_millis(args.late_ms);
    let calls_between = |from: u64, to: u64| {
        let (from, to) = (restarted_at + Duration::from_secs(from), restarted_at + Duration::from_secs(to));
        let within: Vec<_> = waits.iter().filter(|(at, _)| (from..to).contains(at)).collect();
        let late = within.iter().filter(|(_, wait)| *wait > late_after).count();
        (within.len(), late)
    };
    let late_fraction = |(all, late): (usize, usize)| late as f64 / all.max(1) as f64;
    let first_5_s = calls_between(0, 5);
    let previous = std::iter::once(&first).chain(&samples);
    Ok(Results {
        variant: if is_limited { "a share first" } else { "all calls" },
        seed,
        gateways: args.gateways,
        calls: (0..args.duration_s.min(8)).map(|s| calls_between(s, s + 1).0).collect(),
        late: (0..args.duration_s.min(8)).map(|s| late_fraction(calls_between(s, s + 1))).collect(),
        late_in_5_s: late_fraction(first_5_s),
        late_in_all: late_fraction(calls_between(0, args.duration_s)),
        in_time_per_s: (first_5_s.0 - first_5_s.1) as f64 / 5.0,
        served: samples.iter().zip(previous).take(8).map(|(now, was)| served_fraction(*now, *was)).collect(),
        refused: last.rejected - first.rejected,
        failed: last.failed - first.failed,
        lost: last.lost - first.lost,
    })
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args = Args::parse();
    if !args.json {
        println!(
            "{} gateways, {} requests a second, a counter of {} ms a call\n\
             | law | seed | calls by second | too late, by second | in 5 s | in all | in time, 1/s \
             | served, by second | refused, failed, lost |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
            args.gateways, args.rate, args.call_time_ms
        );
    }
    for seed in 1..=args.seeds {
        for is_limited in [false, true] {
            let results = run_once(&args, is_limited, seed).await?;
            if args.json {
                println!("{}", serde_json::to_string(&results)?);
                continue;
            }
            let calls: Vec<String> = results.calls.iter().map(usize::to_string).collect();
            println!(
                "| {} | {} | {} | {} | {:.2} | {:.2} | {:.0} | {} | {}, {}, {} |",
                results.variant,
                results.seed,
                calls.join(" "),
                table_cell(&results.late),
                results.late_in_5_s,
                results.late_in_all,
                results.in_time_per_s,
                table_cell(&results.served),
                results.refused,
                results.failed,
                results.lost
            );
        }
    }
    Ok(())
}
