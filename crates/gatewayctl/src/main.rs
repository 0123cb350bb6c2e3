//! Command line for operating a fleet of admission gateways.
//!
//! ```text
//!  cli               arguments of each command
//!  status            status                    ┐
//!  order             drain, undrain, weight    │
//!  order_log, watch  orders, watch             ├─ agent_client ── the agent's socket
//!  gateways          gateways add, remove      │
//!  endpoint_list     sources                   ┘
//!                    resolve ───────────────────── DNS resolvers, by endpoint-sources
//!  gateway_command   gateway ready, disable ... ── management addresses of gateways
//!  check             check FILE
//!  plans             plans check, show, change FILE
//!  daemon            agent, gateway: the long-running processes
//!  up                a local fleet of stand-ins, gateways and an agent
//!  output, error     tables and JSON; errors and exit codes
//! ```

mod agent_client;
mod check;
mod cli;
mod daemon;
mod endpoint_list;
mod error;
mod gateway_command;
mod gateways;
mod order;
mod order_log;
mod output;
mod plans;
mod status;
mod up;
mod watch;

use std::future::Future;
use std::process::ExitCode;

use clap::{CommandFactory, Parser};
use cli::{Cli, Command};
use error::{CommandError, LocalError};

/// Program name that prefixes messages on standard error.
const PROGRAM: &str = env!("CARGO_PKG_NAME");

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            if !error.is_reported() {
                eprintln!("{PROGRAM}: {error}");
            }
            error.exit_code()
        }
    }
}

fn run(cli: Cli) -> Result<(), CommandError> {
    let Cli { agent, output, command } = cli;
    match command {
        Command::Up(args) => block_on(up::run(args, output)),
        Command::Check { files } => check::run(&files, output),
        Command::Status(args) => block_on(status::run(&agent, &args, output)),
        Command::Drain(args) => block_on(order::drain(&agent, &args, output)),
        Command::Undrain(args) => block_on(order::undrain(&agent, &args, output)),
        Command::Weight(args) => block_on(order::weight(&agent, &args, output)),
        Command::Orders { limit } => block_on(order_log::run(&agent, limit, output)),
        Command::Watch => block_on(watch::run(&agent, output)),
        Command::Sources { records } => block_on(endpoint_list::sources(&agent, records, output)),
        Command::Resolve(args) => block_on(endpoint_list::resolve(&args, output)),
        Command::Plans { command } => plans::run(&command, output),
        Command::Gateways { command } => block_on(gateways::run(&agent, &command, output)),
        Command::Agent { operator, until_closed } => block_on(daemon::run_agent(&operator, until_closed)),
        Command::Gateway { command: Some(command), .. } => block_on(gateway_command::run(command, output)),
        Command::Gateway { command: None, operator, until_closed } => {
            daemon::run_gateway(operator.as_deref(), until_closed)
        }
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), PROGRAM, &mut std::io::stdout());
            Ok(())
        }
        Command::Man => {
            let rendered = clap_mangen::Man::new(Cli::command()).render(&mut std::io::stdout());
            rendered.map_err(|e| LocalError::StandardOutput(e).into())
        }
    }
}

/// Runs an asynchronous command on a single-threaded runtime.
fn block_on<F: Future<Output = Result<(), CommandError>>>(command: F) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(LocalError::Runtime)?.block_on(command)
}
