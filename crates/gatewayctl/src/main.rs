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

mod agent_client;
mod check;
mod cli;
mod daemon;
mod endpoint_list;
mod error;
mod gateway_command;
mod gateways;
mod order;
mod output;
mod plans;
mod status;
mod up;

use std::process::ExitCode;

use clap::{CommandFactory, Parser};
use cli::{Cli, Command};
use error::Failure;

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
        Command::Status(args) => wait(status::status(&agent, &args, output)),
        Command::Drain(args) => wait(order::drain(&agent, &args, output)),
        Command::Undrain(args) => wait(order::undrain(&agent, &args, output)),
        Command::Weight(args) => wait(order::weight(&agent, &args, output)),
        Command::Orders { most } => wait(status::orders(&agent, most, output)),
        Command::Watch => wait(status::watch(&agent, output)),
        Command::Sources { records } => wait(endpoint_list::sources(&agent, records, output)),
        Command::Resolve(args) => wait(endpoint_list::run(&args, output)),
        Command::Plans { command } => plans::run(&command, output),
        Command::Gateways { command } => wait(gateways::run(&agent, &command, output)),
        Command::Agent { operator, until_closed } => wait(daemon::run(&operator, until_closed)),
        Command::Gateway { call: Some(call), .. } => wait(gateway_command::run(call, output)),
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
