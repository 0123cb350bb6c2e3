//! `up`: a local fleet of stand-ins, gateways and an agent on loopback addresses.
//!
//! The gateways and the agent are child processes that run this same executable; the stand-ins and the load
//! generator run in this process. The child processes exit with this process, however it ends: the standard
//! input of each is a pipe whose write end this process holds.

mod error;
mod local_fleet;
mod process;
mod report;

use std::future::Future;
use std::io::{IsTerminal, Write};
use std::time::Duration;

use serde_json::json;
use testbed::audit::{audit, AuditOptions};
use testbed::client::{Load, LoadProfile};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{interval, sleep, Instant};

use crate::cli::{Output, Up};
use crate::error::{CommandError, LocalError};
use crate::output::{print_json, print_text};
use local_fleet::LocalFleet;

pub use error::UpError;

/// Number of customers in the load.
const CUSTOMERS: u64 = 200;
/// Id of the load's first request.
const FIRST_REQUEST_ID: u64 = 1 << 40;
/// Interval of the status line on a terminal.
const TERMINAL_STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of the status line if standard error is not a terminal.
const LOG_STATUS_INTERVAL: Duration = Duration::from_secs(2);
/// Terminal sequence that returns to the start of the line and clears it.
const CLEAR_LINE: &str = "\r\x1b[K";

/// Handlers of SIGINT and SIGTERM.
struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    fn listen() -> Result<Signals, LocalError> {
        let interrupt = signal(SignalKind::interrupt()).map_err(LocalError::Signals)?;
        let terminate = signal(SignalKind::terminate()).map_err(LocalError::Signals)?;
        Ok(Signals { interrupt, terminate })
    }

    async fn received(&mut self) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
        }
    }
}

/// Runs a local fleet until the duration has passed, SIGINT, SIGTERM or the exit of a child process.
pub async fn run(args: Up, output: Output) -> Result<(), CommandError> {
    let mut signals = Signals::listen()?;
    let mut fleet = tokio::select! {
        fleet = LocalFleet::start(&args, output == Output::Table) => fleet?,
        // Dropping the handles stops what has been started so far.
        () = signals.received() => return Ok(()),
    };
    match output {
        Output::Table => print_text(&report::addresses(&fleet)),
        Output::Json => print_json(&json!({"up": report::description(&fleet)}))?,
    }
    let load = Load::new(fleet.addresses(), FIRST_REQUEST_ID, fleet.journal.clone());
    let mut exited_process = None;
    let running = async {
        let until_end = async { exited_process = wait_for_end(&args, &mut signals, &mut fleet).await };
        run_load(&args, &load, until_end).await;
    };
    tokio::select! {
        () = running => {}
        () = show_status(&load), if output == Output::Table => {}
    }
    let _ = std::io::stderr().flush();
    fleet.stop().await;
    show_result(&fleet, &load, output)?;
    match exited_process {
        Some(name) => Err(UpError::ProcessExited(name).into()),
        None => Ok(()),
    }
}

/// Waits for the end of the run. Returns the name of the process if one exited unexpectedly.
async fn wait_for_end(args: &Up, signals: &mut Signals, fleet: &mut LocalFleet) -> Option<String> {
    let duration_passed = async {
        match args.duration {
            Some(duration) => sleep(duration).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = duration_passed => None,
        () = signals.received() => None,
        name = fleet.any_exited() => Some(name),
    }
}

/// Runs the load, or only waits if its rate is 0.
async fn run_load(args: &Up, load: &Load, until_end: impl Future<Output = ()>) {
    if args.requests_per_s > 0.0 {
        let profile = LoadProfile {
            rate: args.requests_per_s,
            customers: CUSTOMERS,
            seed: args.seed,
            ..LoadProfile::default()
        };
        load.run(&profile, until_end).await;
    } else {
        until_end.await;
    }
}

/// Writes the status line at an interval; on a terminal, over the previous one.
async fn show_status(load: &Load) {
    let is_terminal = std::io::stderr().is_terminal();
    let mut ticks = interval(if is_terminal { TERMINAL_STATUS_INTERVAL } else { LOG_STATUS_INTERVAL });
    let (mut last, mut last_at) = (load.counts(), Instant::now());
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let (now, seconds) = (load.counts(), last_at.elapsed().as_secs_f64());
        let served_per_s = (now.served - last.served) as f64 / seconds.max(0.001);
        let line = report::status_line(&now, served_per_s, load);
        (last, last_at) = (now, Instant::now());
        if is_terminal {
            eprint!("{CLEAR_LINE}{line}");
        } else {
            eprintln!("{line}");
        }
    }
}

/// Prints the totals of the load and the result of the audit. Fails if the auditor found violations.
fn show_result(fleet: &LocalFleet, load: &Load, output: Output) -> Result<(), CommandError> {
    let audit_result = audit(&fleet.journal, AuditOptions::default());
    match output {
        Output::Json => print_json(&json!({"down": report::result(load, &audit_result)}))?,
        Output::Table => {
            if std::io::stderr().is_terminal() {
                eprintln!();
            }
            print_text(&format!("\n{}\n", report::status_line(&load.counts(), 0.0, load)));
            print_text(&report::audit_text(&audit_result));
        }
    }
    match audit_result {
        Ok(violations) if !violations.is_empty() => Err(CommandError::FaultsFound),
        _ => Ok(()),
    }
}
