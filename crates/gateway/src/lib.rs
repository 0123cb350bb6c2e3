//! An admission gateway: accepts clients' requests over RESP2 and forwards them to backends as
//! [`gateway_policy::Policy`] decides.
//!
//! ```text
//!  maintenance ── ControlRequest ──┐ (polled first)
//!  admin ─────┐                    ▼
//!  client ────┤                                   ┌── upstream  pools, exchanges
//!  discovery ─┼── Input ──▶ event_loop ── Action ─┼── counter   calls
//!  counter ───┘                  │                └── client    one final answer per request
//!                      gateway_policy::Policy
//! ```
//!
//! Everything runs on one thread. Tasks that own sockets send inputs to the event loop, which owns the policy
//! and executes its actions. `server` builds these components and controls start, reload and shutdown.

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
mod memory;
mod resp;
mod sent_requests;
mod server;
mod streaming;
mod unknown_fields;
mod upstream;

use std::path::{Path, PathBuf};

use operator_config::OperatorConfig;

use config::Config;
use error::StartError;

/// Runs a gateway with the configuration file that `GW_CONFIG` names, until the shutdown after SIGTERM is
/// complete.
///
/// `operator` is the path of an optional operator's file: its `[admin]` section opens a listener for
/// operators and the agent, its `[routing]` section bounds how many backends are considered for a request.
///
/// # Errors
/// Returns one line that names the environment variable, file, key or socket that is at fault.
pub fn run(operator: Option<&Path>) -> Result<(), String> {
    start(operator).map_err(|e| e.to_string())
}

fn start(operator: Option<&Path>) -> Result<(), StartError> {
    // Fails only if a subscriber is already installed.
    let _ = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).try_init();
    let operator = operator.map(OperatorConfig::read).transpose().map_err(StartError::OperatorConfig)?;
    let path = PathBuf::from(std::env::var_os("GW_CONFIG").ok_or(StartError::ConfigUnset)?);
    let config = Config::read(&path).map_err(StartError::Config)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    runtime.block_on(server::serve(config, path, operator.unwrap_or_default()))
}

/// Returns every error in the text of a configuration, each with the key at fault, for example
/// `configuration.settings.profiles[1].aim-ms`. The result is empty if the configuration is valid.
#[must_use]
pub fn check(text: &[u8]) -> Vec<gateway_policy::interface::SettingsError> {
    Config::find_errors(text)
}
