//! `orders`: the newest orders in the agent's log.

use std::time::{SystemTime, UNIX_EPOCH};

use fleet::wire::{LoggedOrder, ToolRequest, ToolResponse};
use operator_config::Address;

use crate::agent_client::{AgentClient, AgentClientError};
use crate::cli::Output;
use crate::error::CommandError;
use crate::output::{format_age, print_json, print_table};

const HEADER: [&str; 6] = ["REVISION", "WHEN", "WHAT", "SUBJECT", "ID", ""];

/// Prints up to `limit` orders, newest first.
pub async fn run(address: &Address, limit: usize, output: Output) -> Result<(), CommandError> {
    let mut agent = AgentClient::connect(address).await?;
    let ToolResponse::Orders(orders) = agent.request(ToolRequest::Orders { limit }).await? else {
        return Err(AgentClientError::UnexpectedResponse.into());
    };
    match output {
        Output::Json => orders.iter().try_for_each(print_json)?,
        Output::Table => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let now_ms = now.as_millis() as u64;
            print_table(&HEADER, &orders.iter().map(|order| row(order, now_ms)).collect::<Vec<_>>());
        }
    }
    Ok(())
}

fn row(logged: &LoggedOrder, now_ms: u64) -> Vec<String> {
    let order = &logged.order;
    let forced = if logged.forced { "forced" } else { "" };
    vec![
        order.revision.to_string(),
        format!("{} ago", format_age(now_ms.saturating_sub(logged.at_ms))),
        order.change.to_string(),
        order.subject.to_string(),
        order.id.to_string(),
        forced.to_string(),
    ]
}
