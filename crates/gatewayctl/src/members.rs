//! `gateways add` and `gateways remove`.

use std::time::Duration;

use fleet::wire::{ToolRequest, ToolResponse};
use operator_config::Address;
use serde_json::json;

use crate::agent::{odd, print, Agent};
use crate::cli::{Gateways, Output};
use crate::exit::Failure;
use crate::table::out;

/// How long the agent may take to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

pub async fn run(address: &Address, command: &Gateways, output: Output) -> Result<(), Failure> {
    let mut agent = Agent::connect(address).await?;
    let (ask, name, what) = match command {
        Gateways::Add { name, address } => {
            (ToolRequest::Register { name: name.clone(), address: address.to_string() }, name, "overseen")
        }
        Gateways::Remove { name } => {
            (ToolRequest::Deregister { name: name.clone() }, name, "overseen no more")
        }
    };
    agent.ask(ask).await?;
    match agent.hear(RESPONSE_TIMEOUT).await? {
        ToolResponse::Done(_) if output == Output::Json => print(&json!({"gateway": name, "is": what})),
        ToolResponse::Done(_) => {
            out(&format!("gateway {name} is {what}\n"));
            Ok(())
        }
        other => Err(odd(&other)),
    }
}
