//! `drain`, `undrain` and `weight`: orders that the agent sends to every gateway.

mod in_flight;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fleet::wire::{InstanceOutcome, InstanceReport, OrderAccepted, OrderSummary, ToolRequest, ToolResponse};
use fleet::{ApplyOutcome, Change, InvalidOrder, OrderId, Subject};
use operator_config::Address;
use serde_json::json;

use crate::agent_client::{AgentClient, AgentClientError};
use crate::cli::{Order, OrderOptions, Output, Weight};
use crate::error::{CommandError, LocalError, UsageError};
use crate::output::{print_json, print_table, print_text};
use crate::PROGRAM;

/// Time allowed for the agent's response beyond the deadline of the request.
const DEADLINE_MARGIN: Duration = Duration::from_secs(10);
const HEADER: [&str; 4] = ["GATEWAY", "DID", "MATCHED", "TOOK"];

/// Orders gateways to send no new requests to a subject, or a gateway to accept none.
pub async fn drain(agent: &Address, order: &Order, output: Output) -> Result<(), CommandError> {
    run(agent, &order.subject, Change::Drain, &order.options, output).await
}

/// Cancels the drain of a subject.
pub async fn undrain(agent: &Address, order: &Order, output: Output) -> Result<(), CommandError> {
    run(agent, &order.subject, Change::Undrain, &order.options, output).await
}

/// Sets the weight of a backend.
pub async fn weight(agent: &Address, order: &Weight, output: Output) -> Result<(), CommandError> {
    run(agent, &order.subject, Change::Weight(order.weight), &order.options, output).await
}

/// Result of an order on all gateways.
struct OrderResult {
    accepted: OrderAccepted,
    /// Sorted by gateway name.
    instances: Vec<InstanceReport>,
    summary: OrderSummary,
}

async fn run(
    address: &Address,
    subject: &Subject,
    change: Change,
    options: &OrderOptions,
    output: Output,
) -> Result<(), CommandError> {
    InvalidOrder::of(subject, change).map_err(UsageError::InvalidOrder)?;
    let id = match &options.id {
        Some(id) => id.clone(),
        None => new_order_id()?,
    };
    let mut agent = AgentClient::connect(address).await?;
    let request = ToolRequest::Order {
        id: id.clone(),
        subject: subject.clone(),
        change,
        forced: options.force,
        deadline_ms: options.deadline.as_millis() as u64,
    };
    agent.send(request).await?;
    let received = receive_result(&mut agent, options.deadline + DEADLINE_MARGIN).await;
    let result = received.map_err(|e| unconfirmed(e, &id))?;
    let OrderResult { accepted, instances, summary } = &result;
    if output == Output::Table {
        let repeated = if accepted.repeated { ", ordered before" } else { "" };
        print_text(&format!("{change} {subject}: order {id}, revision {}{repeated}\n", accepted.revision));
        print_table(&HEADER, &instances.iter().map(row).collect::<Vec<_>>());
    }
    let in_flight = match options.wait {
        true => Some(in_flight::wait_until_idle(&mut agent, subject, options, output).await?),
        false => None,
    };
    if output == Output::Json {
        print_json(&json!({"id": id, "subject": subject, "change": change, "accepted": accepted,
                           "instances": instances, "done": summary.succeeded, "failed": summary.failed,
                           "in_flight": in_flight}))?;
    }
    let is_idle = in_flight.iter().flatten().all(in_flight::is_idle);
    if summary.failed == 0 && is_idle {
        return Ok(());
    }
    if output == Output::Table {
        let all = summary.succeeded + summary.failed;
        eprintln!("{PROGRAM}: {} of {all} gateways did it", summary.succeeded);
    }
    Err(CommandError::Partial)
}

/// Generates an order id from the time, the process id and a random number, so that it is unique in practice.
fn new_order_id() -> Result<OrderId, LocalError> {
    use std::hash::{BuildHasher, Hasher};
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    // The standard library seeds the hash keys randomly in each process.
    let random = std::collections::hash_map::RandomState::new().build_hasher().finish();
    let text = format!("{:x}-{:x}-{:08x}", unix.as_millis(), std::process::id(), random as u32);
    text.parse().map_err(LocalError::OrderId)
}

/// Converts an error after the order was sent, when the agent may already have logged the order.
fn unconfirmed(error: AgentClientError, id: &OrderId) -> CommandError {
    match error {
        AgentClientError::Rejected(response) => CommandError::Rejected(response),
        source => CommandError::OrderUnconfirmed { id: id.clone(), source },
    }
}

/// Receives the agent's acceptance, the report of each gateway and the summary.
async fn receive_result(agent: &mut AgentClient, limit: Duration) -> Result<OrderResult, AgentClientError> {
    let ToolResponse::Accepted(accepted) = agent.receive(limit).await? else {
        return Err(AgentClientError::UnexpectedResponse);
    };
    let mut instances = Vec::new();
    loop {
        match agent.receive(limit).await? {
            ToolResponse::Instance(instance) => instances.push(instance),
            ToolResponse::Done(summary) => {
                instances.sort_by(|a, b| a.gateway.cmp(&b.gateway));
                return Ok(OrderResult { accepted, instances, summary });
            }
            _ => return Err(AgentClientError::UnexpectedResponse),
        }
    }
}

fn row(instance: &InstanceReport) -> Vec<String> {
    const NONE: &str = "-";
    let (outcome, matched, took) = match &instance.outcome {
        InstanceOutcome::Answered { outcome, matched, took_ms } => {
            let matched = matched.map_or(NONE.to_string(), |count| count.to_string());
            (outcome_text(outcome), matched, format!("{took_ms:.1} ms"))
        }
        InstanceOutcome::InFlight { in_flight } => {
            (format!("{in_flight} in flight"), NONE.to_string(), String::new())
        }
        InstanceOutcome::Unreachable { reason } => {
            (format!("UNREACHABLE: {reason}"), NONE.to_string(), String::new())
        }
        InstanceOutcome::TimedOut => ("LATE: no answer in time".to_string(), NONE.to_string(), String::new()),
    };
    vec![instance.gateway.clone(), outcome, matched, took]
}

fn outcome_text(outcome: &ApplyOutcome) -> String {
    match outcome {
        ApplyOutcome::Applied => "applied".to_string(),
        ApplyOutcome::Superseded(revision) => format!("superseded by {revision}"),
        ApplyOutcome::Rejected(reason) => format!("refused: {reason}"),
    }
}
