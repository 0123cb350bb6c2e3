//! `up`: stand-ins, gateways and an agent on this machine, on loopback addresses.
//!
//! The gateways and the agent are processes of their own, of this same program; the stand-ins and the load
//! live here. The processes end with this one, however it ends: each holds the reading end of a pipe whose
//! writing end is here.

pub mod agent;
pub mod gateway;
mod process;
mod show;
mod world;

use std::io::{IsTerminal, Write};
use std::time::Duration;

use serde_json::json;
use testbed::audit::{audit, Terms};
use testbed::client::{Load, Plan};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{interval, sleep};

use crate::agent::print;
use crate::cli::{Output, Up};
use crate::exit::Failure;
use crate::table::out;
use world::World;

/// Customers of the load.
const CUSTOMERS: u64 = 200;
/// How often the status line is written: on a terminal, and elsewhere.
const STATUS_EVERY: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));
/// Breaches that are shown, of each run.
const BREACHES_SHOWN: usize = 10;

/// Runs until the time is over, Ctrl-C or SIGTERM.
pub async fn run(args: Up, output: Output) -> Result<(), Failure> {
    let failed = |e: std::io::Error| Failure::Broken(format!("signals: {e}"));
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let starting = World::start(&args, output == Output::Table);
    let mut world = tokio::select! {
        world = starting => world?,
        // What was started so far ends as its handles are let go.
        _ = interrupt.recv() => return Ok(()),
        _ = terminate.recv() => return Ok(()),
    };
    match output {
        Output::Table => out(&show::addresses(&world)),
        Output::Json => print(&json!({"up": show::described(&world)}))?,
    }
    let load = Load::new(world.addresses(), 1 << 40, world.journal.clone());
    let plan = Plan { rate: args.load, customers: CUSTOMERS, seed: args.seed, ..Plan::default() };
    let end = async {
        let over = async {
            match args.length {
                Some(length) => sleep(length).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = over => Ok(()),
            _ = interrupt.recv() => Ok(()),
            _ = terminate.recv() => Ok(()),
            name = world.ended() => Err(name),
        }
    };
    let (mut died, status) = (None, output == Output::Table);
    let loading = async {
        let until = async { died = end.await.err() };
        if args.load > 0.0 {
            load.run(&plan, until).await;
        } else {
            until.await;
        }
    };
    tokio::select! {
        () = loading => {}
        () = show_status(&load), if status => {}
    }
    let _ = std::io::stderr().flush();
    world.stop().await;
    report(&world, &load, output)?;
    match died {
        Some(name) => Err(Failure::Broken(format!("{name} has ended by itself"))),
        None => Ok(()),
    }
}

/// Writes the status line again and again, over itself on a terminal.
async fn show_status(load: &Load) {
    let live = std::io::stderr().is_terminal();
    let mut tick = interval(if live { STATUS_EVERY.0 } else { STATUS_EVERY.1 });
    let (mut last, mut at) = (load.tally(), tokio::time::Instant::now());
    tick.tick().await;
    loop {
        tick.tick().await;
        let (now, then) = (load.tally(), at.elapsed().as_secs_f64());
        let line = show::status(&now, (now.served - last.served) as f64 / then.max(0.001), load);
        (last, at) = (now, tokio::time::Instant::now());
        if live {
            eprint!("\r\x1b[K{line}");
        } else {
            eprintln!("{line}");
        }
    }
}

/// Says what the load came to, and whether a rule broke.
fn report(world: &World, load: &Load, output: Output) -> Result<(), Failure> {
    let judged = audit(&world.journal, Terms::default());
    let tally = load.tally();
    if output == Output::Json {
        let breaches = judged.as_ref().map(|all| all.iter().map(ToString::to_string).collect::<Vec<_>>());
        print(&json!({"down": {
            "asked": tally.asked, "served": tally.served, "refused": tally.refused, "failed": tally.failed,
            "lost": tally.lost, "held_back": tally.held_back, "p50_ms": load.latency_ms(0.5),
            "p99_ms": load.latency_ms(0.99), "breaches": breaches.as_ref().ok(),
            "not_judged": breaches.as_ref().err()}}))?;
    } else {
        if std::io::stderr().is_terminal() {
            eprintln!();
        }
        out(&format!("\n{}\n", show::status(&tally, 0.0, load)));
        match &judged {
            Ok(all) if all.is_empty() => out("the five rules held\n"),
            Ok(all) => all.iter().take(BREACHES_SHOWN).for_each(|b| out(&format!("BROKEN {b}\n"))),
            Err(why) => out(&format!("not judged: {why}\n")),
        }
    }
    match judged {
        Ok(all) if !all.is_empty() => Err(Failure::Told),
        _ => Ok(()),
    }
}
