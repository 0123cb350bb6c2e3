//! `watch`: prints the agent's events as they happen.

use std::time::Duration;

use fleet::wire::{ToolRequest, ToolResponse};
use operator_config::Address;
use serde_json::json;

use crate::agent_client::{AgentClient, AgentClientError};
use crate::cli::Output;
use crate::error::CommandError;
use crate::output::{print_json, print_text};

/// Idle timeout of a watch. A year is in effect no limit: no event is sent while nothing changes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(365 * 86_400);

/// Prints each event until the agent disconnects or the process is interrupted.
pub async fn run(address: &Address, output: Output) -> Result<(), CommandError> {
    let mut agent = AgentClient::connect(address).await?;
    agent.send(ToolRequest::Watch).await?;
    loop {
        match agent.receive(IDLE_TIMEOUT).await? {
            ToolResponse::Event(event) if output == Output::Json => print_json(&json!({"event": event}))?,
            ToolResponse::Event(event) => print_text(&format!("{event}\n")),
            _ => return Err(AgentClientError::UnexpectedResponse.into()),
        }
    }
}
