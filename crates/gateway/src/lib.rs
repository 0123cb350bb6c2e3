//! The gateway: serves clients on a socket as `gateway_policy` decides.
//!
//! ```text
//!  maintenance ── ControlRequest ──┐ (looked at first)
//!  admin ─────┐                    ▼
//!  client ────┤                                   ┌── upstream  pools, exchanges
//!  discovery ─┼── Input ──▶ event_loop ── Action ─┼── counter   calls
//!  counter ───┘                  │                └── client    the one final answer
//!                      gateway_policy::Policy
//! ```
//!
//! One thread. Tasks on sockets send an `Input` each; the event loop owns the policy and carries out its
//! actions. `server` builds the parts, and has them start, reload and shut down.

mod admin;
mod backend_table;
mod client;
mod clock;
mod config;
mod counter;
mod discovery;
mod endpoint_list;
mod error;
mod event_loop;
mod input;
mod maintenance;
mod resp;
mod server;
mod streaming;
mod upstream;

use std::path::{Path, PathBuf};

use operator_config::OperatorConfig;

use config::Config;
use error::StartError;

/// Serves by the configuration that `GW_CONFIG` names until SIGTERM has been carried out. Where `operator`
/// names an operator's file with an `[admin]` section, operators can control and observe it from there; its
/// `[routing]` section says how many backends are looked at.
///
/// # Errors
/// One line that names what is wrong: the variable, the file, a key, or a socket.
pub fn run(operator: Option<&Path>) -> Result<(), String> {
    start(operator).map_err(|e| e.to_string())
}

fn start(operator: Option<&Path>) -> Result<(), StartError> {
    // Fails only where a log is set up already.
    let _ = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).try_init();
    let operator = operator.map(OperatorConfig::read).transpose().map_err(StartError::OperatorConfig)?;
    let path = PathBuf::from(std::env::var_os("GW_CONFIG").ok_or(StartError::ConfigUnset)?);
    let config = Config::read(&path).map_err(StartError::Config)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    runtime.block_on(server::serve(config, path, operator.unwrap_or_default()))
}

/// All that is wrong with a configuration's text, each with the key at fault, as in
/// `configuration.settings.profiles[1].aim-ms`. Nothing is wrong with an empty answer.
#[must_use]
pub fn check(text: &[u8]) -> Vec<gateway_policy::interface::SettingsError> {
    Config::problems(text)
}
