//! The gateway: serves clients on a socket by the decisions of `gateway-policy`.
//!
//! ```text
//!  management ─ keeper ─ Order ┐ (looked at first)
//!  admin ────┐                ▼
//!  clients ──┤                         ┌── backends   pools, exchanges
//!  discovery ┼─ Input ─▶ driver ─ Action ┼── counter    calls
//!  counter ──┘            │            └── clients    the one final answer
//!                 gateway_policy::Gateway
//! ```
//!
//! One thread. Tasks on sockets send an `Input` each; the driver owns the decisions and carries out their
//! actions.

mod admin;
mod backends;
mod clients;
mod clock;
mod config;
mod counter;
mod discovery;
mod driver;
mod folder;
mod input;
mod keep;
mod keeper;
mod listing;
mod long;
mod management;
mod order;
mod part;
mod resp;
mod roster;
mod serve;

use std::path::{Path, PathBuf};

use operator_config::OperatorConfig;

/// Serves by the configuration that `GW_CONFIG` names until SIGTERM has been carried out. Where `operator`
/// names an operator's file with an `[admin]` section, operators can order and look from there; its
/// `[routing]` section says how many backends are looked at.
///
/// # Errors
/// One line that names what is wrong: the variable, the file, a key, or a socket.
pub fn run(operator: Option<&Path>) -> Result<(), String> {
    // Fails only where a log is set up already.
    let _ = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).try_init();
    let operator = operator.map(OperatorConfig::read).transpose().map_err(|e| e.to_string())?;
    let path = PathBuf::from(std::env::var_os("GW_CONFIG").ok_or("GW_CONFIG: missing")?);
    let config = config::Config::read(&path).map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("runtime: {e}"))?.block_on(serve::serve(
        config,
        path,
        operator.unwrap_or_default(),
    ))
}

/// All that is wrong with a configuration's text, each with the key at fault, as in
/// `configuration.settings.profiles[1].aim-ms`. Nothing is wrong with an empty answer.
#[must_use]
pub fn check(text: &[u8]) -> Vec<gateway_policy::interface::SettingsError> {
    config::Config::wrong(text)
}
