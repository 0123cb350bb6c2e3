//! Measures a cold start: `cargo run --release --example measure_cold_start`, after `cargo build --release`.
//!
//! Many gateway processes start at once. The list service handles one call after another and rejects calls
//! when its queue is full. Runs without and with `[start]` alternate. The list service counts the calls; it
//! has an address for each gateway.

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

/// Measures a cold start of many gateways with a list service of limited capacity.
#[derive(Debug, Parser)]
struct Args {
    /// Gateways that start at once.
    #[arg(long, default_value_t = 300)]
    gateways: usize,
    /// Backends on the list.
    #[arg(long, default_value_t = 40)]
    backends: usize,
    /// Runs of each start, each with a different seed.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Time that the list service takes for a call, ms.
    #[arg(long = "each-ms", value_name = "EACH_MS", default_value_t = 20)]
    call_time_ms: u64,
    /// Calls that may wait at the list service.
    #[arg(long = "places", value_name = "PLACES", default_value_t = 50)]
    max_waiting: usize,
    /// Duration of a run beyond the time that the service needs for one call of each gateway, s.
    #[arg(long = "lasts-s", value_name = "LASTS_S", default_value_t = 10)]
    duration_s: u64,
    /// Further duration of the runs that measure calls of idle gateways, s; 0: do not measure.
    #[arg(long = "rest-s", value_name = "REST_S", default_value_t = 30)]
    idle_s: u64,
    /// Print one JSON object per run instead of the table.
    #[arg(long)]
    json: bool,
}

/// Conditions of a start.
#[derive(Clone, Copy, Debug)]
struct Start {
    name: &'static str,
    /// Whether the gateways' configurations contain the list.
    known: bool,
    /// Fault of the list service from the start on, and its duration.
    outage: Option<(Fault, Duration)>,
}

const OUTAGE: Duration = Duration::from_secs(5);
const STARTS: [Start; 4] = [
    Start { name: "no list known", known: false, outage: None },
    Start { name: "a list known", known: true, outage: None },
    Start { name: "known, 503 for 5 s", known: true, outage: Some((Fault::Busy, OUTAGE)) },
    Start { name: "known, silent for 5 s", known: true, outage: Some((Fault::Silent, OUTAGE)) },
];

/// Results of a run.
#[derive(Debug, Serialize)]
struct Results {
    start: &'static str,
    #[serde(rename = "law")]
    variant: &'static str,
    seed: u64,
    gateways: usize,
    #[serde(rename = "most_in_100_ms")]
    max_in_100_ms: usize,
    #[serde(rename = "most_in_1_s")]
    max_in_1_s: usize,
    in_first_10_s: usize,
    calls: usize,
    #[serde(rename = "turned_away")]
    rejected: usize,
    #[serde(rename = "whole_lists")]
    full_lists: usize,
    /// Gateways that received the list.
    #[serde(rename = "told")]
    received: usize,
    /// Time from the first start until the last gateway received the list, s; none if some did not receive
    /// it.
    #[serde(rename = "last_told_s")]
    last_received_s: Option<f64>,
    #[serde(rename = "mean_told_s")]
    mean_received_s: f64,
    /// Calls per gateway until all gateways had the list.
    #[serde(rename = "calls_a_gateway")]
    calls_per_gateway: f64,
    /// Calls per second of idle gateways, if measured.
    #[serde(rename = "at_rest_a_second")]
    idle_calls_per_s: Option<f64>,
    /// Processes that exited unexpectedly.
    #[serde(rename = "ended")]
    exited: usize,
}

/// Runs one start with or without slots.
async fn run_once(
    args: &Args,
    program: &Path,
    start: Start,
    has_slots: bool,
    seed: u64,
) -> Result<Results, AnyError> {
    let directory = tempfile::Builder::new().prefix("br-").tempdir()?;
    let call_time = Duration::from_millis(args.call_time_ms);
    let capacity = DiscoveryCapacity { time_per_call: call_time, max_queued: args.max_waiting };
    let service = Discovery::with_listeners(args.gateways, Some(capacity)).await?;
    let counter = Counter::start().await?;
    let mut backends = Vec::new();
    for i in 0..args.backends {
        backends.push(Backend::start(Spec::plain(i), Journal::new(1)).await?);
    }
    for b in &backends {
        service.list(b, "SERVING");
    }
    let known = if start.known { service.known() } else { Discovery::start().await?.known() };
    let operator_config = directory.path().join("operator.toml");
    let per_s = 1.0 / call_time.as_secs_f64();
    std::fs::write(
        &operator_config,
        if has_slots { format!("[start]\nlist_calls_per_s = {per_s:.3}\n") } else { String::new() },
    )?;
    let args_of_gateway = ["gateway", "--until-closed", "--operator", &operator_config.display().to_string()]
        .map(str::to_string);
    let program = Program { path: program.to_path_buf(), args: args_of_gateway.to_vec() };
    let mut nodes = Vec::new();
    for (index, address) in service.addresses.iter().enumerate() {
        let mut config = platform::config(index, args.gateways, *address, counter.address, &known, None);
        config["seed"] = format!("{:016x}", (seed << 32) + index as u64).into();
        nodes.push(Node::new(directory.path(), &config)?);
    }
    if let Some((fault, _)) = start.outage {
        service.switch.set(fault);
    }
    // Each seed starts the gateways at a different time within the round of slots.
    sleep(Duration::from_millis(seed * 1_237 % 10_000)).await;
    let started_at = service.now();
    for node in &mut nodes {
        node.start(&program).await?;
    }
    if let Some((_, duration)) = start.outage {
        sleep((started_at + duration).saturating_sub(service.now())).await;
        service.switch.set(Fault::None);
    }
    let outage = start.outage.map_or(Duration::ZERO, |(_, duration)| duration);
    let measured_until =
        started_at + outage + call_time * args.gateways as u32 + Duration::from_secs(args.duration_s);
    sleep(measured_until.saturating_sub(service.now())).await;
    let measured_calls = service.calls();
    // Calls of idle gateways, over at least two rounds of watches.
    let idle = Duration::from_secs(args.idle_s);
    let measures_idle = args.idle_s > 0 && start.outage.is_none() && seed == 1;
    if measures_idle {
        sleep(idle).await;
    }
    let idle_calls_per_s = measures_idle.then(|| {
        service.calls().iter().filter(|c| c.at >= measured_until).count() as f64 / idle.as_secs_f64()
    });
    let mut received = vec![None; args.gateways];
    for call in &measured_calls {
        if let Some(at) = call.answered {
            let first = received[call.listener_index].get_or_insert(at);
            *first = (*first).min(at);
        }
    }
    let call_times: Vec<Duration> = measured_calls.iter().map(|call| call.at).collect();
    let times: Vec<f64> =
        received.iter().flatten().map(|at| at.saturating_sub(started_at).as_secs_f64()).collect();
    let last = times.iter().copied().fold(0.0, f64::max);
    let last_at = if times.len() == args.gateways {
        started_at + Duration::from_secs_f64(last)
    } else {
        measured_until
    };
    let calls_until_last = measured_calls.iter().filter(|c| c.at <= last_at).count();
    let exited = nodes.iter_mut().map(|n| usize::from(!n.is_running())).sum();
    Ok(Results {
        start: start.name,
        variant: if has_slots { "slots" } else { "pauses" },
        seed,
        gateways: args.gateways,
        max_in_100_ms: max_in_window(&call_times, Duration::from_millis(100)),
        max_in_1_s: max_in_window(&call_times, Duration::from_secs(1)),
        in_first_10_s: measured_calls.iter().filter(|c| c.at < started_at + Duration::from_secs(10)).count(),
        calls: measured_calls.len(),
        rejected: measured_calls.iter().filter(|c| c.rejected).count(),
        full_lists: measured_calls.iter().filter(|c| c.after.is_none()).count(),
        received: times.len(),
        last_received_s: (times.len() == args.gateways).then_some(last),
        mean_received_s: times.iter().sum::<f64>() / times.len().max(1) as f64,
        calls_per_gateway: calls_until_last as f64 / args.gateways as f64,
        idle_calls_per_s,
        exited,
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
            args.gateways, args.call_time_ms, args.max_waiting
        );
    }
    for start in STARTS {
        for seed in 1..=args.seeds {
            for has_slots in [false, true] {
                let results = run_once(&args, &program, start, has_slots, seed).await?;
                if args.json {
                    println!("{}", serde_json::to_string(&results)?);
                    continue;
                }
                let last = results.last_received_s.map_or("not all".to_string(), |s| format!("{s:.1}"));
                let rest = results.idle_calls_per_s.map_or(String::new(), |r| format!("{r:.1}"));
                println!(
                    "| {} | {} | {} | {} | {} | {} | {} of {} | {} | {} | {last} | {:.1} | {:.2} | {rest} |",
                    results.start,
                    results.variant,
                    results.seed,
                    results.max_in_100_ms,
                    results.max_in_1_s,
                    results.in_first_10_s,
                    results.rejected,
                    results.calls,
                    results.full_lists,
                    results.received,
                    results.mean_received_s,
                    results.calls_per_gateway
                );
                if results.exited > 0 {
                    println!("{} processes ended by themselves", results.exited);
                }
            }
        }
    }
    Ok(())
}
