//! `agent` and `gateway`: processes that run until they receive a signal to shut down.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

use operator_config::OperatorConfig;
use tokio::signal::unix::{signal, SignalKind};

use crate::error::{CommandError, LocalError};

/// Runs the agent until SIGTERM or SIGINT.
pub async fn run_agent(config_file: &Path, until_closed: bool) -> Result<(), CommandError> {
    if until_closed {
        exit_when_stdin_closes();
    }
    let config = OperatorConfig::read(config_file).map_err(LocalError::OperatorConfig)?;
    let agent = config.agent.ok_or_else(|| LocalError::NoAgentSection(config_file.to_path_buf()))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(LocalError::Signals)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(LocalError::Signals)?;
    let shutdown = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    let on_ready = |endpoint_list: Option<SocketAddr>| {
        println!("overseeing {} gateways on {}", config.gateways.len(), agent.listen);
        if let Some(address) = endpoint_list {
            println!("serving the list on {address}");
        }
    };
    let (sources, start) = (config.sources.as_ref(), config.start.as_ref());
    let result = agent::run(&agent, &config.gateways, sources, start, on_ready, shutdown).await;
    Ok(result.map_err(LocalError::Agent)?)
}

/// Runs a gateway until it has shut down after SIGTERM.
pub fn run_gateway(operator_config: Option<&Path>, until_closed: bool) -> Result<(), CommandError> {
    if until_closed {
        exit_when_stdin_closes();
    }
    Ok(admission_gateway::run(operator_config).map_err(|e| LocalError::Gateway(e.to_string()))?)
}

/// Exits the process when standard input closes, so that it does not outlive its parent process.
fn exit_when_stdin_closes() {
    std::thread::spawn(|| {
        let mut ignored = [0; 64];
        while matches!(std::io::stdin().read(&mut ignored), Ok(n) if n > 0) {}
        std::process::exit(0);
    });
}
