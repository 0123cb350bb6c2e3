//! Measures calls to the counter when a whole fleet starts: `cargo run --release --example
//! measure_cold_counter`, after `cargo build --release`.
//!
//! A fleet of real gateways under a load of customers with quotas is killed and started again at once, before
//! a counter that works on one call after another: with all calls from the start on, and with
//! `counter_calls_per_s` in `[start]`, in one run. Waits are those of the counter itself.

mod support;

use std::time::Duration;

use clap::Parser;
use serde::Serialize;
use support::{program, AnyError};
use testbed::client::LoadProfile;
use testbed::harness::fleet::{column, served_fraction, Fleet};
use testbed::harness::Node;
use tokio::time::sleep;

/// Measures calls to the counter when a whole fleet starts again.
#[derive(Debug, Parser)]
struct Args {
    /// Gateways that start at once.
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// Requests a second, over all gateways, all of customers with quotas.
    #[arg(long, default_value_t = 600.0)]
    rate: f64,
    /// Time that the counter works on a call, ms.
    #[arg(long, default_value_t = 4)]
    each_ms: u64,
    /// A call that stood longer than this is too late, ms.
    #[arg(long, default_value_t = 80)]
    late_ms: u64,
    /// Plays of each law, each with a seed of its own.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long a play lasts after the start, s.
    #[arg(long, default_value_t = 12)]
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
    /// Calls, and the part of them that stood for too long, by second.
    calls: Vec<usize>,
    late: Vec<f64>,
    /// Over the first five seconds, and all.
    late_in_5_s: f64,
    late_in_all: f64,
    /// Calls in time, a second, over the first five.
    in_time_a_second: f64,
    served: Vec<f64>,
    refused: u64,
    failed: u64,
    lost: u64,
}

async fn play(args: &Args, bound: bool, seed: u64) -> Result<Figures, AnyError> {
    let each = Duration::from_millis(args.each_ms.max(1));
    let more = format!("counter_calls_per_s = {:.3}\n", 1.0 / each.as_secs_f64());
    let operator = format!("[start]\nlist_calls_per_s = 50\n{}", if bound { more.as_str() } else { "" });
    let program = program()?;
    let mut fleet = Fleet::start(program, (args.gateways, 20), each, &operator, seed).await?;
    let plan = LoadProfile { rate: args.rate, customers: 400, paid: 1.0, seed, ..LoadProfile::default() };
    let loading = fleet.load(plan);
    sleep(Duration::from_secs(8) + Duration::from_millis(seed * 1_237 % 3_000)).await;
    fleet.nodes.iter_mut().for_each(Node::kill);
    sleep(Duration::from_secs(1)).await;
    let (begun, first) = (fleet.counter.now(), loading.load.counts());
    let samples = loading.sample_every_second(args.lasts_s);
    fleet.start_all().await?;
    let samples = samples.await?;
    let last = loading.finish().await;
    let waits: Vec<_> = fleet.counter.waits().into_iter().filter(|(at, _)| *at >= begun).collect();
    let too_late = Duration::from_millis(args.late_ms);
    let of = |from: u64, to: u64| {
        let (from, to) = (begun + Duration::from_secs(from), begun + Duration::from_secs(to));
        let within: Vec<_> = waits.iter().filter(|(at, _)| (from..to).contains(at)).collect();
        let late = within.iter().filter(|(_, wait)| *wait > too_late).count();
        (within.len(), late)
    };
    let late_part = |(all, late): (usize, usize)| late as f64 / all.max(1) as f64;
    let five = of(0, 5);
    let befores = std::iter::once(&first).chain(&samples);
    Ok(Figures {
        law: if bound { "a share first" } else { "all calls" },
        seed,
        gateways: args.gateways,
        calls: (0..args.lasts_s.min(8)).map(|s| of(s, s + 1).0).collect(),
        late: (0..args.lasts_s.min(8)).map(|s| late_part(of(s, s + 1))).collect(),
        late_in_5_s: late_part(five),
        late_in_all: late_part(of(0, args.lasts_s)),
        in_time_a_second: (five.0 - five.1) as f64 / 5.0,
        served: samples.iter().zip(befores).take(8).map(|(now, was)| served_fraction(*now, *was)).collect(),
        refused: last.refused - first.refused,
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
            args.gateways, args.rate, args.each_ms
        );
    }
    for seed in 1..=args.seeds {
        for bound in [false, true] {
            let f = play(&args, bound, seed).await?;
            if args.json {
                println!("{}", serde_json::to_string(&f)?);
                continue;
            }
            let calls: Vec<String> = f.calls.iter().map(usize::to_string).collect();
            println!(
                "| {} | {} | {} | {} | {:.2} | {:.2} | {:.0} | {} | {}, {}, {} |",
                f.law,
                f.seed,
                calls.join(" "),
                column(&f.late),
                f.late_in_5_s,
                f.late_in_all,
                f.in_time_a_second,
                column(&f.served),
                f.refused,
                f.failed,
                f.lost
            );
        }
    }
    Ok(())
}
