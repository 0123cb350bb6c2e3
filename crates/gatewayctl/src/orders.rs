//! `drain`, `undrain` and `weight`.

use std::io::IsTerminal;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fleet::wire::{InstanceOutcome, InstanceReport, OrderAccepted, OrderSummary, ToolRequest, ToolResponse};
use fleet::{ApplyOutcome, Change, OrderId, Subject};
use operator_config::Address;
use serde_json::json;
use tokio::time::sleep;

use crate::agent::{odd, print, Agent};
use crate::cli::{How, Order, Output, Weight};
use crate::exit::Failure;
use crate::table::{out, table};

/// How often what is in flight is asked for.
const LOOK_EVERY: Duration = Duration::from_millis(200);
/// What the agent may take on top of the deadline that it was given.
const MORE: Duration = Duration::from_secs(10);

pub async fn drain(agent: &Address, order: &Order, output: Output) -> Result<(), Failure> {
    run(agent, &order.subject, Change::Drain, &order.how, output).await
}

pub async fn undrain(agent: &Address, order: &Order, output: Output) -> Result<(), Failure> {
    run(agent, &order.subject, Change::Undrain, &order.how, output).await
}

pub async fn weight(agent: &Address, order: &Weight, output: Output) -> Result<(), Failure> {
    run(agent, &order.subject, Change::Weight(order.weight), &order.how, output).await
}

/// An id that nobody else has come upon: of this moment, this process and chance.
fn new_id() -> Result<OrderId, Failure> {
    use std::hash::{BuildHasher, Hasher};
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // Keyed anew, by the system's chance, in each process.
    let chance = std::collections::hash_map::RandomState::new().build_hasher().finish();
    let text = format!("{:x}-{:x}-{:08x}", unix.as_millis(), std::process::id(), chance as u32);
    text.parse().map_err(|e| Failure::Broken(format!("{e}")))
}

async fn run(
    address: &Address,
    subject: &Subject,
    change: Change,
    how: &How,
    output: Output,
) -> Result<(), Failure> {
    fleet::InvalidOrder::of(subject, change).map_err(|e| Failure::Usage(e.to_string()))?;
    let id = match &how.id {
        Some(id) => id.clone(),
        None => new_id()?,
    };
    let mut agent = Agent::connect(address).await?;
    let deadline_ms = how.deadline.as_millis() as u64;
    let (subject, forced) = (subject.clone(), how.force);
    agent
        .ask(ToolRequest::Order { id: id.clone(), subject: subject.clone(), change, forced, deadline_ms })
        .await?;
    // Danger: an order that was written down, and whose caller doesn't know. The same id asks for it again.
    let again = |failure| match failure {
        Failure::Agent(text) => Failure::Agent(format!("{text}; ask again with --id {id}")),
        other => other,
    };
    let (accepted, instances, done) = hear(&mut agent, how.deadline + MORE).await.map_err(again)?;
    if output == Output::Table {
        let repeated = if accepted.repeated { ", ordered before" } else { "" };
        out(&format!("{change} {subject}: order {id}, revision {}{repeated}\n", accepted.revision));
        out(&table(&["GATEWAY", "DID", "MATCHED", "TOOK"], &rows(&instances)));
    }
    let left = if how.wait { Some(settle(&mut agent, &subject, how, output).await?) } else { None };
    let unsettled = left.as_ref().is_some_and(|left| left.iter().any(|i| !idle(i)));
    if output == Output::Json {
        print(&json!({"id": id, "subject": subject, "change": change, "accepted": accepted,
                      "instances": instances, "done": done.succeeded, "failed": done.failed,
                      "in_flight": left}))?;
    }
    if done.failed > 0 || unsettled {
        if output == Output::Table {
            eprintln!("gatewayctl: {} of {} gateways did it", done.succeeded, done.succeeded + done.failed);
        }
        return Err(Failure::Partly);
    }
    Ok(())
}

async fn hear(
    agent: &mut Agent,
    most: Duration,
) -> Result<(OrderAccepted, Vec<InstanceReport>, OrderSummary), Failure> {
    let accepted = match agent.hear(most).await? {
        ToolResponse::Accepted(accepted) => accepted,
        other => return Err(odd(&other)),
    };
    let mut instances = Vec::new();
    loop {
        match agent.hear(most).await? {
            ToolResponse::Instance(instance) => instances.push(instance),
            ToolResponse::Done(done) => {
                instances.sort_by(|a, b| a.gateway.cmp(&b.gateway));
                return Ok((accepted, instances, done));
            }
            other => return Err(odd(&other)),
        }
    }
}

fn rows(instances: &[InstanceReport]) -> Vec<Vec<String>> {
    let row = |i: &InstanceReport| {
        let (did, matched, took) = match &i.outcome {
            InstanceOutcome::Answered { outcome, matched, took_ms } => {
                let did = match outcome {
                    ApplyOutcome::Applied => "applied".to_string(),
                    ApplyOutcome::Superseded(by) => format!("superseded by {by}"),
                    ApplyOutcome::Rejected(why) => format!("refused: {why}"),
                };
                (did, matched.map_or("-".to_string(), |n| n.to_string()), format!("{took_ms:.1} ms"))
            }
            InstanceOutcome::InFlight { in_flight } => {
                (format!("{in_flight} in flight"), "-".to_string(), String::new())
            }
            InstanceOutcome::Unreachable { reason: why } => {
                (format!("UNREACHABLE: {why}"), "-".to_string(), String::new())
            }
            InstanceOutcome::TimedOut => {
                ("LATE: no answer in time".to_string(), "-".to_string(), String::new())
            }
        };
        vec![i.gateway.clone(), did, matched, took]
    };
    instances.iter().map(row).collect()
}

/// Whether a gateway is known to have nothing in flight, or can't be asked.
fn idle(instance: &InstanceReport) -> bool {
    matches!(
        instance.outcome,
        InstanceOutcome::InFlight { in_flight: 0 } | InstanceOutcome::Unreachable { .. }
    )
}

/// Waits until nothing is in flight at the subject on any gateway that can be reached, or the time is over.
/// Gives the last that was heard of each.
async fn settle(
    agent: &mut Agent,
    subject: &Subject,
    how: &How,
    output: Output,
) -> Result<Vec<InstanceReport>, Failure> {
    let (until, mut told) = (Instant::now() + how.wait_most, String::new());
    let live = std::io::stderr().is_terminal();
    loop {
        let deadline_ms = how.deadline.as_millis() as u64;
        agent.ask(ToolRequest::Inflight { subject: subject.clone(), deadline_ms }).await?;
        let all = match agent.hear(how.deadline + MORE).await? {
            ToolResponse::Inflight(all) => all,
            other => return Err(odd(&other)),
        };
        let one = |i: &InstanceReport| match &i.outcome {
            InstanceOutcome::InFlight { in_flight } => format!("{} {in_flight}", i.gateway),
            InstanceOutcome::Unreachable { .. } => format!("{} unreachable", i.gateway),
            _ => format!("{} no answer", i.gateway),
        };
        let line = format!("in flight: {}", all.iter().map(one).collect::<Vec<_>>().join(", "));
        if output == Output::Table && line != told {
            eprint!("{}{line}{}", if live { "\r\x1b[K" } else { "" }, if live { "" } else { "\n" });
            told = line;
        }
        if all.iter().all(idle) || Instant::now() >= until {
            if output == Output::Table && live {
                eprintln!();
            }
            return Ok(all);
        }
        sleep(LOOK_EVERY).await;
    }
}
