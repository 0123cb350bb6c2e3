//! `agent`: the agent as a process of this program.

use std::path::Path;

use operator_config::OperatorConfig;
use tokio::signal::unix::{signal, SignalKind};

use super::gateway::until_closed as end_with_input;
use crate::exit::Failure;

/// Runs the agent until SIGTERM or Ctrl-C.
pub async fn run(file: &Path, until_closed: bool) -> Result<(), Failure> {
    end_with_input(until_closed);
    let operator = OperatorConfig::read(file).map_err(|e| Failure::Broken(e.to_string()))?;
    let missing = || Failure::Broken(format!("{}: there is no [agent] section", file.display()));
    let agent = operator.agent.ok_or_else(missing)?;
    let failed = |e: std::io::Error| Failure::Broken(format!("signals: {e}"));
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let end = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    let ready = |list: Option<std::net::SocketAddr>| {
        println!("overseeing {} gateways on {}", operator.gateways.len(), agent.listen);
        list.into_iter().for_each(|address| println!("serving the list on {address}"));
    };
    let (sources, start) = (operator.sources.as_ref(), operator.start.as_ref());
    let result = agent::run(&agent, &operator.gateways, sources, start, ready, end).await;
    result.map_err(|e| Failure::Broken(e.to_string()))
}
