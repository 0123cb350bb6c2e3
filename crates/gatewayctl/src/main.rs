//! The command line.
//!
//! ```text
//!  cli.rs      what can be written on it
//!  orders.rs   drain, undrain, weight        ┐
//!  look.rs     status, orders, watch         ├─ agent.rs ── the agent's socket
//!  members.rs  gateways                      │
//!  resolve.rs  sources                       ┘
//!              resolve ──────────────────────── resolvers, by endpoint-sources
//!  call.rs     gateway ready, disable ... ────── second addresses of gateways
//!  check/      check FILE
//!  plans.rs    plans check, show, change FILE
//!  up/         stand-ins, gateways and an agent on this machine
//! ```

mod agent;
mod call;
mod check;
mod cli;
mod exit;
mod look;
mod members;
mod orders;
mod plans;
mod resolve;
mod table;
mod up;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};
use cli::{Cli, Command};
use exit::Failure;

/// Runs something that waits for sockets.
fn wait<F: std::future::Future<Output = Result<(), Failure>>>(future: F) -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| Failure::Broken(format!("runtime: {e}")))?.block_on(future)
}

fn run(cli: Cli) -> Result<(), Failure> {
    let Cli { agent, output, command } = cli;
    match command {
        Command::Up(args) => wait(up::run(args, output)),
        Command::Check { files } => check::run(&files, output),
        Command::Status(args) => wait(look::status(&agent, &args, output)),
        Command::Drain(args) => wait(orders::drain(&agent, &args, output)),
        Command::Undrain(args) => wait(orders::undrain(&agent, &args, output)),
        Command::Weight(args) => wait(orders::weight(&agent, &args, output)),
        Command::Orders { most } => wait(look::orders(&agent, most, output)),
        Command::Watch => wait(look::watch(&agent, output)),
        Command::Sources { records } => wait(resolve::sources(&agent, records, output)),
        Command::Resolve(args) => wait(resolve::run(&args, output)),
        Command::Plans { command } => plans::run(&command, output),
        Command::Gateways { command } => wait(members::run(&agent, &command, output)),
        Command::Agent { operator, until_closed } => wait(up::agent::run(&operator, until_closed)),
        Command::Gateway { call: Some(call), .. } => wait(call::run(call, output)),
        Command::Gateway { call: None, operator, until_closed } => {
            up::gateway::until_closed(until_closed);
            admission_gateway::run(operator.as_deref()).map_err(Failure::Broken)
        }
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "gatewayctl", &mut std::io::stdout());
            Ok(())
        }
        Command::Man => clap_mangen::Man::new(Cli::command())
            .render(&mut std::io::stdout())
            .map_err(|e| Failure::Broken(format!("standard output: {e}"))),
    }
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            if let Some(text) = failure.text() {
                eprintln!("gatewayctl: {text}");
            }
            failure.code()
        }
    }
}
