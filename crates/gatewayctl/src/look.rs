//! `status`, `orders` and `watch`.

use std::time::Duration;

use fleet::wire::{FleetStatus as Seen, GatewayStatus, LoggedOrder, ToolRequest, ToolResponse};
use fleet::{Health, Register, Value};
use operator_config::Address;
use serde_json::json;

use crate::agent::{odd, print, Agent};
use crate::cli::{Output, Status};
use crate::exit::Failure;
use crate::table::{ago, out, table};

/// How long the agent may take to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// A watch may be quiet for as long as nothing happens.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(365 * 86_400);

/// Shows all gateways. Ends well only if each of them is well.
pub async fn status(address: &Address, args: &Status, output: Output) -> Result<(), Failure> {
    let mut agent = Agent::connect(address).await?;
    agent.ask(ToolRequest::Status { backends: args.backends }).await?;
    let mut seen = match agent.hear(RESPONSE_TIMEOUT).await? {
        ToolResponse::Status(seen) => seen,
        other => return Err(odd(&other)),
    };
    if args.backends {
        backends(&mut agent, &mut seen).await?;
    }
    let well = seen.gateways.iter().all(|g| matches!(g.health, Health::Ok | Health::Behind));
    match output {
        Output::Json => print(&seen)?,
        Output::Table => show(&seen, args.backends),
    }
    if well {
        Ok(())
    } else {
        Err(Failure::Partly)
    }
}

/// Takes in what each gateway says of its backends.
async fn backends(agent: &mut Agent, seen: &mut Seen) -> Result<(), Failure> {
    loop {
        match agent.hear(RESPONSE_TIMEOUT).await? {
            ToolResponse::Backends(one) => {
                let gateway = seen.gateways.iter_mut().find(|g| g.name == one.gateway);
                if let (Some(gateway), Ok(state)) = (gateway, one.state) {
                    gateway.state = Some(state);
                }
            }
            ToolResponse::Done(_) => return Ok(()),
            other => return Err(odd(&other)),
        }
    }
}

fn show(seen: &Seen, backends: bool) {
    out(&format!("revision {}\n", seen.revision));
    let head = [
        "GATEWAY", "HEALTH", "HOLDS", "HEARD", "READY", "DRAINED", "EJECTED", "COLD", "OPEN", "CLIENTS",
        "WHY",
    ];
    out(&table(&head, &seen.gateways.iter().map(gateway).collect::<Vec<_>>()));
    if !seen.ordered.is_empty() {
        out("\n");
        out(&table(
            &["ORDERED", "WHAT", "REVISION", "ID"],
            &seen.ordered.iter().map(ordered).collect::<Vec<_>>(),
        ));
    }
    if !backends {
        return;
    }
    let head =
        ["GATEWAY", "BACKEND", "ADDRESS", "GROUP", "TYPE", "STATE", "WEIGHT", "WARMTH", "OUT", "ORDER"];
    let mut rows = Vec::new();
    for g in &seen.gateways {
        for b in g.state.iter().flat_map(|s| s.backends.iter().flatten()) {
            let state = match (b.serving, &b.drained_by, b.ejected) {
                _ if b.banned_ms.is_some() => "banned",
                (false, ..) => "draining",
                (true, Some(_), _) => "drained",
                (true, None, true) => "ejected",
                (true, None, false) => "ready",
            };
            let order = b.drained_by.as_ref().map_or("-".to_string(), ToString::to_string);
            rows.push(vec![
                g.name.clone(),
                b.name.clone(),
                b.address.clone(),
                b.group.to_string(),
                b.kind.clone(),
                state.to_string(),
                b.weight.to_string(),
                format!("{:.2}", b.capacity_fraction),
                b.in_flight.to_string(),
                order,
            ]);
        }
    }
    out("\n");
    out(&table(&head, &rows));
}

fn gateway(g: &GatewayStatus) -> Vec<String> {
    let mut row = vec![g.name.clone(), g.health.to_string(), g.applied_revision.to_string()];
    row.push(g.last_seen_ms_ago.map_or("never".to_string(), |ms| format!("{} ago", ago(ms))));
    match &g.state {
        None => row.extend(std::iter::repeat_n("-".to_string(), 6)),
        Some(state) => {
            let f = &state.statistics;
            let ready = f.serving.saturating_sub(f.drained).saturating_sub(f.ejected);
            row.push(format!("{ready}/{}", f.listed));
            row.extend([f.drained, f.ejected, f.warming_up].map(|n| n.to_string()));
            row.push(f.requests.to_string());
            row.push(f.client_connections.to_string());
        }
    }
    row.push(match &g.health {
        Health::Unreachable { reason: why } => why.clone(),
        _ if g.state.as_ref().is_some_and(|s| s.drained_by.is_some()) => "drained by order".to_string(),
        _ if g.state.as_ref().is_some_and(|s| s.drained_ms.is_some()) => "drained by call".to_string(),
        _ if g.state.as_ref().is_some_and(|s| s.statistics.awaiting_connection > 0) => {
            let waiting = g.state.as_ref().map_or(0, |s| s.statistics.awaiting_connection);
            format!("{waiting} backends wait for their first connection")
        }
        _ if g.restarts > 0 => format!("started anew {} times", g.restarts),
        _ => String::new(),
    });
    row
}

fn ordered(r: &Register) -> Vec<String> {
    let what = match r.value {
        Value::Drained(true) => "drained".to_string(),
        Value::Drained(false) => "not drained".to_string(),
        Value::Weight(weight) => format!("weight {weight}"),
    };
    vec![r.subject.to_string(), what, r.revision.to_string(), r.id.to_string()]
}

/// Shows the newest orders.
pub async fn orders(address: &Address, most: usize, output: Output) -> Result<(), Failure> {
    let mut agent = Agent::connect(address).await?;
    agent.ask(ToolRequest::Orders { limit: most }).await?;
    let all = match agent.hear(RESPONSE_TIMEOUT).await? {
        ToolResponse::Orders(all) => all,
        other => return Err(odd(&other)),
    };
    if output == Output::Json {
        return all.iter().try_for_each(print);
    }
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let row = |l: &LoggedOrder| {
        let forced = if l.forced { "forced" } else { "" };
        let when = format!("{} ago", ago((now.as_millis() as u64).saturating_sub(l.at_ms)));
        vec![
            l.order.revision.to_string(),
            when,
            l.order.change.to_string(),
            l.order.subject.to_string(),
            l.order.id.to_string(),
            forced.to_string(),
        ]
    };
    let rows: Vec<_> = all.iter().map(row).collect();
    out(&table(&["REVISION", "WHEN", "WHAT", "SUBJECT", "ID", ""], &rows));
    Ok(())
}

/// Shows every change.
pub async fn watch(address: &Address, output: Output) -> Result<(), Failure> {
    let mut agent = Agent::connect(address).await?;
    agent.ask(ToolRequest::Watch).await?;
    loop {
        match agent.hear(WATCH_IDLE_TIMEOUT).await? {
            ToolResponse::Event(line) if output == Output::Json => print(&json!({"event": line}))?,
            ToolResponse::Event(line) => out(&format!("{line}\n")),
            other => return Err(odd(&other)),
        }
    }
}
