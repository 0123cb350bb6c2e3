//! `sources` and `resolve`: the endpoint list from DNS-SD, as the agent holds it or as it would build it.

use std::collections::BTreeMap;

use dns_sd::CacheLimits;
use endpoint_sources::{Follower, Resolver, Settings};
use fleet::wire::{
    EndpointListStatus, EndpointStatus, RecordStatus, ToolRequest, ToolResponse, UnansweredQuery,
};
use operator_config::Address;
use tokio::time::{timeout_at, Instant};

use crate::agent_client::{AgentClient, AgentClientError};
use crate::cli::{Output, Resolve};
use crate::error::{CommandError, LocalError};
use crate::output::{format_age, print_json, print_table, print_text};

const ENDPOINT_HEADER: [&str; 9] =
    ["NAME", "ADDRESS", "PRIORITY", "WEIGHT", "ZONE", "TYPE", "GROUP", "STATUS", "STALE"];
const UNKNOWN_HEADER: [&str; 3] = ["NAME", "UNKNOWN", "WHY"];
const DROPPED_HEADER: [&str; 2] = ["DROPPED", "WHY"];
const UNANSWERED_HEADER: [&str; 3] = ["UNANSWERED", "FOR", "WHY"];
const RECORD_HEADER: [&str; 3] = ["QUESTION", "RECORDS", "LIFE"];
/// Placeholder for an unknown value.
const NONE: &str = "-";

/// Prints the agent's endpoint list. Succeeds only if the list is known, no entry is stale, no change awaits
/// confirmation and no query is unanswered.
pub async fn sources(address: &Address, records: bool, output: Output) -> Result<(), CommandError> {
    let mut agent = AgentClient::connect(address).await?;
    let ToolResponse::Sources(status) = agent.request(ToolRequest::Sources { records }).await? else {
        return Err(AgentClientError::UnexpectedResponse.into());
    };
    print(&status, output)?;
    let is_fresh = status.list.iter().all(|endpoint| endpoint.stale_ms.is_none());
    let is_settled = status.awaiting_confirmation == 0 && status.unanswered.is_empty();
    if status.known && is_fresh && is_settled {
        Ok(())
    } else {
        Err(CommandError::Partial)
    }
}

/// Queries resolvers as the agent does. Succeeds only if every query was answered and the list is not empty.
pub async fn resolve(args: &Resolve, output: Output) -> Result<(), CommandError> {
    let deadline = Instant::now() + args.deadline;
    let settings = Settings {
        services: args.services.clone(),
        cache_limits: CacheLimits::default(),
        max_shrink: 1.0,
        seed: u64::from(std::process::id()),
    };
    let mut follower = Follower::new(settings, Resolver::new(args.servers.clone(), args.query_timeout));
    let complete = async {
        // The list is rebuilt once more after the last answer.
        while follower.step(&mut drop).await.is_none() || !follower.is_settled() {}
    };
    let is_complete = timeout_at(deadline, complete).await.is_ok();
    let status = follower.status(args.records);
    print(&status, output)?;
    if !is_complete {
        return Err(LocalError::UnresolvedNames(status.pending + status.unknown).into());
    }
    if status.unanswered.is_empty() && !status.list.is_empty() {
        Ok(())
    } else {
        Err(CommandError::FaultsFound)
    }
}

fn print(status: &EndpointListStatus, output: Output) -> Result<(), LocalError> {
    match output {
        Output::Json => print_json(status)?,
        Output::Table => print_tables(status),
    }
    Ok(())
}

fn print_tables(status: &EndpointListStatus) {
    print_table(&ENDPOINT_HEADER, &status.list.iter().map(endpoint_row).collect::<Vec<_>>());
    print_section(&UNKNOWN_HEADER, &status.list.iter().flat_map(unknown_rows).collect::<Vec<_>>());
    let dropped = status.dropped.iter().map(|dropped| vec![dropped.instance.clone(), dropped.reason.clone()]);
    print_section(&DROPPED_HEADER, &dropped.collect::<Vec<_>>());
    print_section(&UNANSWERED_HEADER, &status.unanswered.iter().map(unanswered_row).collect::<Vec<_>>());
    print_section(&RECORD_HEADER, &status.records.iter().map(record_row).collect::<Vec<_>>());
    print_text(&format!("\n{}\n", summary(status)));
}

/// Prints an empty line and a table, if the table has rows.
fn print_section(header: &[&str], rows: &[Vec<String>]) {
    if !rows.is_empty() {
        print_text("\n");
        print_table(header, rows);
    }
}

fn summary(status: &EndpointListStatus) -> String {
    let EndpointListStatus { awaiting_confirmation, pending, unknown, queries_sent, .. } = status;
    let mut text = format!("{} listed, {queries_sent} questions asked", status.list.len());
    if *awaiting_confirmation > 0 {
        text += &format!("; {awaiting_confirmation} held until a second answer");
    }
    if pending + unknown > 0 {
        text += &format!("; {pending} instances and {unknown} services wait for answers");
    }
    if !status.known {
        text += "; not known whole, and so not served";
    }
    text
}

fn endpoint_row(endpoint: &EndpointStatus) -> Vec<String> {
    let stale = endpoint.stale_ms.map_or(NONE.to_string(), |ms| format_age(ms.max(0.0) as u64));
    vec![
        endpoint.name.clone(),
        endpoint.address.clone(),
        endpoint.priority.to_string(),
        endpoint.weight.to_string(),
        endpoint.zone.clone(),
        endpoint.kind.clone(),
        endpoint.group.to_string(),
        if endpoint.serving { "serving" } else { "draining" }.to_string(),
        stale,
    ]
}

/// Returns a row for each reason for which values of an endpoint are unknown.
fn unknown_rows(endpoint: &EndpointStatus) -> Vec<Vec<String>> {
    let mut keys_by_reason: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for unknown in &endpoint.unknown {
        keys_by_reason.entry(&unknown.reason).or_default().push(&unknown.key);
    }
    let row =
        |(reason, keys): (&str, Vec<&str>)| vec![endpoint.name.clone(), keys.join(", "), reason.to_string()];
    keys_by_reason.into_iter().map(row).collect()
}

fn unanswered_row(query: &UnansweredQuery) -> Vec<String> {
    vec![query.question.clone(), format_age(query.for_ms.max(0.0) as u64), query.reason.clone()]
}

fn record_row(record: &RecordStatus) -> Vec<String> {
    let ttl = match record.ttl_ms {
        None => NONE.to_string(),
        Some(ms) if ms < 0.0 => format!("stale {}", format_age(-ms as u64)),
        Some(ms) => format_age(ms as u64),
    };
    let records = record.records.map_or("unknown".to_string(), |count| count.to_string());
    vec![record.question.clone(), records, ttl]
}
