//! `gateways add` and `gateways remove`: the list of gateways that the agent controls.

use fleet::wire::{ToolRequest, ToolResponse};
use operator_config::Address;
use serde_json::json;

use crate::agent_client::{AgentClient, AgentClientError};
use crate::cli::{Gateways, Output};
use crate::error::CommandError;
use crate::output::{print_json, print_text};

/// Adds or removes a gateway.
pub async fn run(agent: &Address, command: &Gateways, output: Output) -> Result<(), CommandError> {
    let (request, name, result) = match command {
        Gateways::Add { name, address } => {
            let request = ToolRequest::Register { name: name.clone(), address: address.to_string() };
            (request, name, "overseen")
        }
        Gateways::Remove { name } => {
            (ToolRequest::Deregister { name: name.clone() }, name, "overseen no more")
        }
    };
    match AgentClient::connect(agent).await?.request(request).await? {
        ToolResponse::Done(_) => {}
        _ => return Err(AgentClientError::UnexpectedResponse.into()),
    }
    match output {
        Output::Json => print_json(&json!({"gateway": name, "is": result}))?,
        Output::Table => print_text(&format!("gateway {name} is {result}\n")),
    }
    Ok(())
}
