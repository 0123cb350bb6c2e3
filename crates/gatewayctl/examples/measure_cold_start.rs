//! Measures a cold start: `cargo run --release --example measure_cold_start`, after `cargo build --release`.
//!
//! So many real gateways start at once, before a list service that works on one call after another and turns
//! away what finds no place: without `[start]` and with it, in turn, in one run. Calls are counted by the
//! service itself, which has an address for each gateway.

mod support;

use std::path::Path;
use std::time::Duration;

use clap::Parser;
use serde::Serialize;
use support::{max_in_window, program, AnyError};
use testbed::backend::{Backend, Spec};
use testbed::counter::Counter;
use testbed::discovery::{Discovery, DiscoveryCapacity};
use testbed::harness::{Node, Program};
use testbed::journal::Journal;
use testbed::platform;
use testbed::switch::Fault;
use tokio::time::sleep;

/// Measures a cold start of many gateways before a list service with a bound.
#[derive(Debug, Parser)]
struct Args {
    /// Gateways that start at once.
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// Backends on the list.
    #[arg(long, default_value_t = 40)]
    backends: usize,
    /// Plays of each start, each with a seed of its own.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time that the service works on a call, ms.
    #[arg(long, default_value_t = 20)]
    each_ms: u64,
    /// Calls that may stand before it.
    #[arg(long, default_value_t = 50)]
    places: usize,
    /// How long a play lasts beyond the time that the service needs for a call of each, s.
    #[arg(long, default_value_t = 10)]
    lasts_s: u64,
    /// How long the plays that look at calls at rest go on after that, s; 0: none.
    #[arg(long, default_value_t = 30)]
    rest_s: u64,
    /// One JSON object a play in place of the table.
    #[arg(long)]
    json: bool,
}

/// A start that is played.
#[derive(Clone, Copy, Debug)]
struct Start {
    name: &'static str,
    known: bool,
    away: Option<(Fault, Duration)>,
}

const AWAY: Duration = Duration::from_secs(5);
const STARTS: [Start; 4] = [
    Start { name: "no list known", known: false, away: None },
    Start { name: "a list known", known: true, away: None },
    Start { name: "known, 503 for 5 s", known: true, away: Some((Fault::Busy, AWAY)) },
    Start { name: "known, silent for 5 s", known: true, away: Some((Fault::Silent, AWAY)) },
];

/// What a play came to.
#[derive(Debug, Serialize)]
struct Figures {
    start: &'static str,
    law: &'static str,
    seed: u64,
    gateways: usize,
    most_in_100_ms: usize,
    most_in_1_s: usize,
    in_first_10_s: usize,
    calls: usize,
    turned_away: usize,
    whole_lists: usize,
    /// Gateways that were told of the list.
    told: usize,
    /// When the last was told, s after the first start; none where some were not told.
    last_told_s: Option<f64>,
    mean_told_s: f64,
    /// Calls a gateway until all were told.
    calls_a_gateway: f64,
    /// Calls a second at rest, where that was looked at.
    at_rest_a_second: Option<f64>,
    /// Processes that ended by themselves.
    ended: usize,
}

async fn play(
    args: &Args,
    program: &Path,
    start: Start,
    slots: bool,
    seed: u64,
) -> Result<Figures, AnyError> {
    let folder = tempfile::Builder::new().prefix("br-").tempdir()?;
    let each = Duration::from_millis(args.each_ms);
    let bears = DiscoveryCapacity { time_per_call: each, max_queued: args.places };
    let service = Discovery::with_listeners(args.gateways, Some(bears)).await?;
    let counter = Counter::start().await?;
    let mut backends = Vec::new();
    for i in 0..args.backends {
        backends.push(Backend::start(Spec::plain(i), Journal::new(1)).await?);
    }
    for b in &backends {
        service.list(b, "SERVING");
    }
    let known = if start.known { service.known() } else { Discovery::start().await?.known() };
    let operator = folder.path().join("operator.toml");
    let per_s = 1.0 / each.as_secs_f64();
    std::fs::write(
        &operator,
        if slots { format!("[start]\nlist_calls_per_s = {per_s:.3}\n") } else { String::new() },
    )?;
    let words =
        ["gateway", "--until-closed", "--operator", &operator.display().to_string()].map(str::to_string);
    let program = Program { path: program.to_path_buf(), args: words.to_vec() };
    let mut nodes = Vec::new();
    for (me, door) in service.addresses.iter().enumerate() {
        let mut config = platform::config(me, args.gateways, *door, counter.address, &known, None);
        config["seed"] = format!("{:016x}", (seed << 32) + me as u64).into();
        nodes.push(Node::new(folder.path(), &config)?);
    }
    if let Some((fault, _)) = start.away {
        service.switch.set(fault);
    }
    // Starts at another moment of the round each time.
    sleep(Duration::from_millis(seed * 1_237 % 10_000)).await;
    let begun = service.now();
    for node in &mut nodes {
        node.start(&program).await?;
    }
    if let Some((_, lasts)) = start.away {
        sleep((begun + lasts).saturating_sub(service.now())).await;
        service.switch.set(Fault::None);
    }
    let back = start.away.map_or(Duration::ZERO, |(_, lasts)| lasts);
    let told_by = begun + back + each * args.gateways as u32 + Duration::from_secs(args.lasts_s);
    sleep(told_by.saturating_sub(service.now())).await;
    let first = service.calls();
    // Calls at rest, over rounds of two watches at least.
    let rest = Duration::from_secs(args.rest_s);
    let looks = args.rest_s > 0 && start.away.is_none() && seed == 1;
    if looks {
        sleep(rest).await;
    }
    let at_rest =
        looks.then(|| service.calls().iter().filter(|c| c.at >= told_by).count() as f64 / rest.as_secs_f64());
    let mut told = vec![None; args.gateways];
    for call in &first {
        if let Some(at) = call.answered {
            let first = told[call.listener_index].get_or_insert(at);
            *first = (*first).min(at);
        }
    }
    let call_times: Vec<Duration> = first.iter().map(|call| call.at).collect();
    let times: Vec<f64> = told.iter().flatten().map(|at| at.saturating_sub(begun).as_secs_f64()).collect();
    let last = times.iter().copied().fold(0.0, f64::max);
    let last_at = if times.len() == args.gateways { begun + Duration::from_secs_f64(last) } else { told_by };
    let until = first.iter().filter(|c| c.at <= last_at).count();
    let ended = nodes.iter_mut().map(|n| usize::from(!n.is_running())).sum();
    Ok(Figures {
        start: start.name,
        law: if slots { "slots" } else { "pauses" },
        seed,
        gateways: args.gateways,
        most_in_100_ms: max_in_window(&call_times, Duration::from_millis(100)),
        most_in_1_s: max_in_window(&call_times, Duration::from_secs(1)),
        in_first_10_s: first.iter().filter(|c| c.at < begun + Duration::from_secs(10)).count(),
        calls: first.len(),
        turned_away: first.iter().filter(|c| c.rejected).count(),
        whole_lists: first.iter().filter(|c| c.after.is_none()).count(),
        told: times.len(),
        last_told_s: (times.len() == args.gateways).then_some(last),
        mean_told_s: times.iter().sum::<f64>() / times.len().max(1) as f64,
        calls_a_gateway: until as f64 / args.gateways as f64,
        at_rest_a_second: at_rest,
        ended,
    })
}

#[tokio::main]
async fn main() -> Result<(), AnyError> {
    let (args, program) = (Args::parse(), program()?);
    if !args.json {
        println!(
            "{} gateways, a list service of {} ms a call and {} places\n\
             | start | law | seed | in 100 ms | in 1 s | in 10 s | turned away | whole lists | told \
             | last told, s | mean, s | calls a gateway | at rest, 1/s |\n| --- | --- | --- | --- | --- \
             | --- | --- | --- | --- | --- | --- | --- | --- |",
            args.gateways, args.each_ms, args.places
        );
    }
    for start in STARTS {
        for seed in 1..=args.seeds {
            for slots in [false, true] {
                let f = play(&args, &program, start, slots, seed).await?;
                if args.json {
                    println!("{}", serde_json::to_string(&f)?);
                    continue;
                }
                let last = f.last_told_s.map_or("not all".to_string(), |s| format!("{s:.1}"));
                let rest = f.at_rest_a_second.map_or(String::new(), |r| format!("{r:.1}"));
                println!(
                    "| {} | {} | {} | {} | {} | {} | {} of {} | {} | {} | {last} | {:.1} | {:.2} | {rest} |",
                    f.start,
                    f.law,
                    f.seed,
                    f.most_in_100_ms,
                    f.most_in_1_s,
                    f.in_first_10_s,
                    f.turned_away,
                    f.calls,
                    f.whole_lists,
                    f.told,
                    f.mean_told_s,
                    f.calls_a_gateway
                );
                if f.ended > 0 {
                    println!("{} processes ended by themselves", f.ended);
                }
            }
        }
    }
    Ok(())
}
