//! `sources` and `resolve`: the server list from DNS-SD, as the agent has it and as it would be.

use std::time::Duration;

use dns_sd::CacheLimits;
use endpoint_sources::{Follower, Resolver, Settings};
use fleet::wire::{EndpointListStatus, EndpointStatus, RecordStatus, ToolRequest, ToolResponse};
use operator_config::Address;
use tokio::time::{timeout_at, Instant};

use crate::agent::{odd, print, Agent};
use crate::cli::{Output, Resolve};
use crate::exit::Failure;
use crate::table::{ago, out, table};

/// How long the agent may take to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Shows the agent's list. Ends well only if it is known and nothing is stale, held or unanswered.
pub async fn sources(address: &Address, records: bool, output: Output) -> Result<(), Failure> {
    let mut agent = Agent::connect(address).await?;
    agent.ask(ToolRequest::Sources { records }).await?;
    let state = match agent.hear(RESPONSE_TIMEOUT).await? {
        ToolResponse::Sources(state) => state,
        other => return Err(odd(&other)),
    };
    show(&state, output)?;
    let fresh = state.list.iter().all(|l| l.stale_ms.is_none());
    if state.known && fresh && state.awaiting_confirmation == 0 && state.unanswered.is_empty() {
        Ok(())
    } else {
        Err(Failure::Partly)
    }
}

/// Asks resolvers as a source does. Ends well only if all was answered and somebody is on the list.
pub async fn run(args: &Resolve, output: Output) -> Result<(), Failure> {
    let resolver = Resolver::new(args.servers.clone(), args.each);
    let (services, seed) = (args.services.clone(), u64::from(std::process::id()));
    let settings = Settings { services, bounds: CacheLimits::default(), shrink_most: 1.0, seed };
    let (mut following, until) = (Follower::new(settings, resolver), Instant::now() + args.deadline);
    let whole = async {
        // The list is read once more after the last answer. What changed is all of it.
        while following.step(&mut drop).await.is_none() || !following.settled() {}
    };
    let in_time = timeout_at(until, whole).await.is_ok();
    let state = following.report(args.records);
    show(&state, output)?;
    if !in_time {
        let unknown = state.pending + state.unknown;
        return Err(Failure::Broken(format!("not all was known in time: {unknown} names wait for answers")));
    }
    if state.unanswered.is_empty() && !state.list.is_empty() {
        Ok(())
    } else {
        Err(Failure::Told)
    }
}

fn show(state: &EndpointListStatus, output: Output) -> Result<(), Failure> {
    if output == Output::Json {
        return print(state);
    }
    let head = ["NAME", "ADDRESS", "PRIORITY", "WEIGHT", "ZONE", "TYPE", "GROUP", "STATUS", "STALE"];
    out(&table(&head, &state.list.iter().map(line).collect::<Vec<_>>()));
    let part = |head: &[&str], rows: Vec<Vec<String>>| {
        if !rows.is_empty() {
            out(&format!("\n{}", table(head, &rows)));
        }
    };
    let dropped = state.dropped.iter().map(|d| vec![d.instance.clone(), d.reason.clone()]);
    part(&["DROPPED", "WHY"], dropped.collect());
    let unanswered = state.unanswered.iter().map(|u| {
        let time = ago(u.for_ms.max(0.0) as u64);
        vec![u.question.clone(), time, u.reason.clone()]
    });
    part(&["UNANSWERED", "FOR", "WHY"], unanswered.collect());
    part(&["QUESTION", "RECORDS", "LIFE"], state.records.iter().map(record).collect());
    let known = if state.known { "" } else { "; not known whole, and so not served" };
    let EndpointListStatus { awaiting_confirmation: held, pending, unknown, queries_sent: asked, .. } = state;
    let held = if *held > 0 { format!("; {held} held until a second answer") } else { String::new() };
    let open = if pending + unknown > 0 {
        format!("; {pending} instances and {unknown} services wait for answers")
    } else {
        String::new()
    };
    out(&format!("\n{} listed, {asked} questions asked{held}{open}{known}\n", state.list.len()));
    Ok(())
}

fn line(l: &EndpointStatus) -> Vec<String> {
    let status = if l.serving { "serving" } else { "draining" };
    let stale = l.stale_ms.map_or("-".to_string(), |ms| ago(ms.max(0.0) as u64));
    let (priority, weight, group) = (l.priority.to_string(), l.weight.to_string(), l.group.to_string());
    let (zone, kind) = (l.zone.clone(), l.kind.clone());
    vec![l.name.clone(), l.address.clone(), priority, weight, zone, kind, group, status.to_string(), stale]
}

fn record(r: &RecordStatus) -> Vec<String> {
    let life = match r.ttl_ms {
        None => "-".to_string(),
        Some(ms) if ms < 0.0 => format!("stale {}", ago(-ms as u64)),
        Some(ms) => ago(ms as u64),
    };
    vec![r.question.clone(), r.records.map_or("unknown".to_string(), |n| n.to_string()), life]
}
