//! Measures a start of a part of a fleet: `cargo run --release --example measure_ordered_start`, after `cargo
//! build --release`.
//!
//! Of many real gateways at rest before a list service of 50 calls a second one of ten is killed and started
//! anew: by slots alone, and with turns from the agent as well, in turn, in one run.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use clap::Parser;
use serde::Serialize;
use support::{max_in_window, program, AnyError};
use testbed::discovery::DiscoveryCall;
use testbed::harness::fleet::Fleet;
use tokio::time::sleep;

/// Measures a start of a part of a fleet, by slots and with turns from the agent.
#[derive(Debug, Parser)]
struct Args {
    /// Gateways.
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// One of so many starts anew.
    #[arg(long, default_value_t = 10)]
    one_of: usize,
    /// Plays of each law, each with a seed of its own.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// One JSON object a play in place of the table.
    #[arg(long)]
    json: bool,
}

/// Calls a second that the list service bears.
const BEARS: f64 = 50.0;

#[derive(Debug, Serialize)]
struct Figures {
    law: &'static str,
    seed: u64,
    gateways: usize,
    start_anew: usize,
    told: usize,
    last_told_s: f64,
    mean_told_s: f64,
    most_calls_in_1_s: usize,
    turned_away: usize,
    whole_lists: usize,
}

async fn play(args: &Args, ordered: bool, seed: u64) -> Result<Figures, AnyError> {
    let program = program()?;
    let operator = format!(
        "[admin]\nlisten = \"unix:{{folder}}/{{name}}.sock\"\nagent = \"unix:{{folder}}/register.sock\"\n\
         [start]\nlist_calls_per_s = {BEARS}\nordered_by_agent = {ordered}\n\
         [agent]\nlisten = \"unix:{{folder}}/agent.sock\"\nregister = \"unix:{{folder}}/register.sock\"\n\
         log = \"{{folder}}/orders.redb\"\nheartbeat_ms = 10000\n"
    );
    let round = Duration::from_secs_f64(args.gateways as f64 / (0.9 * BEARS));
    let (size, none) = ((args.gateways, 40), Duration::ZERO);
    let mut fleet = Fleet::start(program, size, none, &operator, seed).await?;
    if ordered {
        fleet.start_agent().await?;
    }
    // All were told and watch. Seeds begin at other moments of a round.
    sleep(round * 2 + round.mul_f64((seed as f64 * 0.37).fract())).await;
    let since = fleet.service.now();
    let anew = (0..args.gateways).step_by(args.one_of.max(1));
    anew.clone().for_each(|place| fleet.nodes[place].kill());
    fleet.start_some(anew.clone()).await?;
    sleep(round + Duration::from_secs(2)).await;
    let calls: Vec<DiscoveryCall> = fleet.service.calls().into_iter().filter(|c| c.at >= since).collect();
    let mut first: HashMap<usize, Duration> = HashMap::new();
    for call in calls.iter().filter(|c| c.listener_index % args.one_of.max(1) == 0) {
        if let Some(at) = call.answered {
            first.entry(call.listener_index).or_insert(at - since);
        }
    }
    let told: Vec<f64> = first.values().map(Duration::as_secs_f64).collect();
    let call_times: Vec<Duration> = calls.iter().map(|call| call.at).collect();
    Ok(Figures {
        law: if ordered { "turns" } else { "slots" },
        seed,
        gateways: args.gateways,
        start_anew: anew.count(),
        told: told.len(),
        last_told_s: told.iter().copied().fold(0.0, f64::max),
        mean_told_s: told.iter().sum::<f64>() / told.len().max(1) as f64,
        most_calls_in_1_s: max_in_window(&call_times, Duration::from_secs(1)),
        turned_away: calls.iter().filter(|c| c.rejected).count(),
        whole_lists: calls.iter().filter(|c| c.after.is_none()).count(),
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
        for ordered in [false, true] {
            let f = play(&args, ordered, seed).await?;
            if args.json {
                println!("{}", serde_json::to_string(&f)?);
                continue;
            }
            println!(
                "| {} | {} | {} of {} | {} | {:.1} | {:.1} | {} | {} | {} |",
                f.law,
                f.seed,
                f.start_anew,
                f.gateways,
                f.told,
                f.last_told_s,
                f.mean_told_s,
                f.most_calls_in_1_s,
                f.turned_away,
                f.whole_lists
            );
        }
    }
    Ok(())
}
