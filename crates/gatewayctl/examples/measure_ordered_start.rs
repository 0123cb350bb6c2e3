//! Measures a restart of a part of a fleet: `cargo run --release --example measure_ordered_start`, after
//! `cargo build --release`.
//!
//! Many gateway processes are idle, with a list service that handles 50 calls per second. Every tenth gateway
//! is killed and restarted. Runs with slots alone and with start batches from the agent as well alternate.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use clap::Parser;
use serde::Serialize;
use support::{max_in_window, program, AnyError};
use testbed::discovery::DiscoveryCall;
use testbed::harness::fleet::Fleet;
use tokio::time::sleep;

/// Measures a restart of a part of a fleet, with slots alone and with start batches from the agent.
#[derive(Debug, Parser)]
struct Args {
    /// Number of gateways.
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// One in this many gateways restarts.
    #[arg(long = "one-of", value_name = "ONE_OF", default_value_t = 10)]
    one_in: usize,
    /// Runs of each variant, each with a different seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Print one JSON object per run instead of the table.
    #[arg(long)]
    json: bool,
}

/// Calls per second that the list service handles.
const LIST_CALLS_PER_S: f64 = 50.0;

/// Results of a run, measured from the restart.
#[derive(Debug, Serialize)]
struct Results {
    #[serde(rename = "law")]
    variant: &'static str,
    seed: u64,
    gateways: usize,
    #[serde(rename = "start_anew")]
    restarted: usize,
    /// Restarted gateways that received the list.
    #[serde(rename = "told")]
    received: usize,
    #[serde(rename = "last_told_s")]
    last_received_s: f64,
    #[serde(rename = "mean_told_s")]
    mean_received_s: f64,
    #[serde(rename = "most_calls_in_1_s")]
    max_calls_in_1_s: usize,
    #[serde(rename = "turned_away")]
    rejected: usize,
    #[serde(rename = "whole_lists")]
    full_lists: usize,
}

/// Runs one variant: with or without start batches from the agent.
async fn run_once(args: &Args, has_batches: bool, seed: u64) -> Result<Results, AnyError> {
    let program = program()?;
    let operator_config = format!(
        "[admin]\nlisten = \"unix:{{folder}}/{{name}}.sock\"\nagent = \"unix:{{folder}}/register.sock\"\n\
         [start]\nlist_calls_per_s = {LIST_CALLS_PER_S}\nordered_by_agent = {has_batches}\n\
         [agent]\nlisten = \"unix:{{folder}}/agent.sock\"\nregister = \"unix:{{folder}}/register.sock\"\n\
         log = \"{{folder}}/orders.redb\"\nheartbeat_ms = 10000\n"
    );
    let round = Duration::from_secs_f64(args.gateways as f64 / (0.9 * LIST_CALLS_PER_S));
    let (size, counter_call_time) = ((args.gateways, 40), Duration::ZERO);
    let mut fleet = Fleet::start(program, size, counter_call_time, &operator_config, seed).await?;
    if has_batches {
        fleet.start_agent().await?;
    }
    // After two rounds all gateways have the list and watch it. Each seed restarts gateways at a different
    // time within the round.
    sleep(round * 2 + round.mul_f64((seed as f64 * 0.37).fract())).await;
    let since = fleet.service.now();
    let restarted = (0..args.gateways).step_by(args.one_in.max(1));
    restarted.clone().for_each(|index| fleet.nodes[index].kill());
    fleet.start_some(restarted.clone()).await?;
    sleep(round + Duration::from_secs(2)).await;
    let calls: Vec<DiscoveryCall> = fleet.service.calls().into_iter().filter(|c| c.at >= since).collect();
    let mut first_answers: HashMap<usize, Duration> = HashMap::new();
    for call in calls.iter().filter(|c| c.listener_index % args.one_in.max(1) == 0) {
        if let Some(at) = call.answered {
            first_answers.entry(call.listener_index).or_insert(at - since);
        }
    }
    let received_s: Vec<f64> = first_answers.values().map(Duration::as_secs_f64).collect();
    let call_times: Vec<Duration> = calls.iter().map(|call| call.at).collect();
    Ok(Results {
        variant: if has_batches { "turns" } else { "slots" },
        seed,
        gateways: args.gateways,
        restarted: restarted.count(),
        received: received_s.len(),
        last_received_s: received_s.iter().copied().fold(0.0, f64::max),
        mean_received_s: received_s.iter().sum::<f64>() / received_s.len().max(1) as f64,
        max_calls_in_1_s: max_in_window(&call_times, Duration::from_secs(1)),
        rejected: calls.iter().filter(|c| c.rejected).count(),
        full_lists: calls.iter().filter(|c| c.after.is_none()).count(),
    })
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let args = Args::parse();
    if !args.json {
        println!(
            "| law | seed | anew | told | last told, s | mean, s | calls in 1 s | turned away | whole |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    }
    for seed in 1..=args.seeds {
        for has_batches in [false, true] {
            let results = run_once(&args, has_batches, seed).await?;
            if args.json {
                println!("{}", serde_json::to_string(&results)?);
                continue;
            }
            println!(
                "| {} | {} | {} of {} | {} | {:.1} | {:.1} | {} | {} | {} |",
                results.variant,
                results.seed,
                results.restarted,
                results.gateways,
                results.received,
                results.last_received_s,
                results.mean_received_s,
                results.max_calls_in_1_s,
                results.rejected,
                results.full_lists
            );
        }
    }
    Ok(())
}
