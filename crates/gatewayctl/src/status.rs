//! `status`: all gateways, the orders in effect and each gateway's backends.

use fleet::wire::{BackendState, FleetStatus, GatewayStatus, ToolRequest, ToolResponse};
use fleet::{Health, Register, Value};
use operator_config::Address;

use crate::agent_client::{AgentClient, AgentClientError, RESPONSE_TIMEOUT};
use crate::cli::{Output, Status};
use crate::error::CommandError;
use crate::output::{format_age, print_json, print_table, print_text};

const GATEWAY_HEADER: [&str; 11] =
    ["GATEWAY", "HEALTH", "HOLDS", "HEARD", "READY", "DRAINED", "EJECTED", "COLD", "OPEN", "CLIENTS", "WHY"];
const ORDER_HEADER: [&str; 4] = ["ORDERED", "WHAT", "REVISION", "ID"];
const BACKEND_HEADER: [&str; 10] =
    ["GATEWAY", "BACKEND", "ADDRESS", "GROUP", "TYPE", "STATE", "WEIGHT", "WARMTH", "OUT", "ORDER"];
/// Placeholder for an unknown value.
const UNKNOWN: &str = "-";
/// Number of columns that are filled from a gateway's own state.
const STATE_COLUMNS: usize = 6;

/// Prints the status of all gateways. Fails with `Partial` unless each is `ok` or `behind`.
pub async fn run(address: &Address, args: &Status, output: Output) -> Result<(), CommandError> {
    let mut agent = AgentClient::connect(address).await?;
    let ToolResponse::Status(mut status) =
        agent.request(ToolRequest::Status { backends: args.backends }).await?
    else {
        return Err(AgentClientError::UnexpectedResponse.into());
    };
    if args.backends {
        receive_backends(&mut agent, &mut status).await?;
    }
    match output {
        Output::Json => print_json(&status)?,
        Output::Table => print_tables(&status, args.backends),
    }
    let is_healthy = |gateway: &GatewayStatus| matches!(gateway.health, Health::Ok | Health::Behind);
    if status.gateways.iter().all(is_healthy) {
        Ok(())
    } else {
        Err(CommandError::Partial)
    }
}

/// Receives the backends of each gateway and stores them in its status.
async fn receive_backends(agent: &mut AgentClient, status: &mut FleetStatus) -> Result<(), CommandError> {
    loop {
        match agent.receive(RESPONSE_TIMEOUT).await? {
            ToolResponse::Backends(report) => {
                let gateway = status.gateways.iter_mut().find(|g| g.name == report.gateway);
                if let (Some(gateway), Ok(state)) = (gateway, report.state) {
                    gateway.state = Some(state);
                }
            }
            ToolResponse::Done(_) => return Ok(()),
            _ => return Err(AgentClientError::UnexpectedResponse.into()),
        }
    }
}

fn print_tables(status: &FleetStatus, backends: bool) {
    print_text(&format!("revision {}\n", status.revision));
    print_table(&GATEWAY_HEADER, &status.gateways.iter().map(gateway_row).collect::<Vec<_>>());
    if !status.ordered.is_empty() {
        print_text("\n");
        print_table(&ORDER_HEADER, &status.ordered.iter().map(order_row).collect::<Vec<_>>());
    }
    if backends {
        print_text("\n");
        print_table(&BACKEND_HEADER, &backend_rows(status));
    }
}

fn backend_rows(status: &FleetStatus) -> Vec<Vec<String>> {
    let backends = |gateway: &GatewayStatus| -> Vec<Vec<String>> {
        let all = gateway.state.iter().flat_map(|state| state.backends.iter().flatten());
        all.map(|backend| backend_row(&gateway.name, backend)).collect()
    };
    status.gateways.iter().flat_map(backends).collect()
}

fn backend_row(gateway: &str, backend: &BackendState) -> Vec<String> {
    vec![
        gateway.to_string(),
        backend.name.clone(),
        backend.address.clone(),
        backend.group.to_string(),
        backend.kind.clone(),
        backend_condition(backend).to_string(),
        backend.weight.to_string(),
        format!("{:.2}", backend.capacity_fraction),
        backend.in_flight.to_string(),
        backend.drained_by.as_ref().map_or(UNKNOWN.to_string(), ToString::to_string),
    ]
}

/// Returns the first condition, by precedence, that keeps requests from a backend, or `ready`.
fn backend_condition(backend: &BackendState) -> &'static str {
    if backend.banned_ms.is_some() {
        "banned"
    } else if !backend.serving {
        "draining"
    } else if backend.drained_by.is_some() {
        "drained"
    } else if backend.ejected {
        "ejected"
    } else {
        "ready"
    }
}

fn gateway_row(gateway: &GatewayStatus) -> Vec<String> {
    let last_seen = gateway.last_seen_ms_ago;
    let mut row = vec![
        gateway.name.clone(),
        gateway.health.to_string(),
        gateway.applied_revision.to_string(),
        last_seen.map_or("never".to_string(), |ms| format!("{} ago", format_age(ms))),
    ];
    match &gateway.state {
        None => row.extend(std::iter::repeat_n(UNKNOWN.to_string(), STATE_COLUMNS)),
        Some(state) => {
            let statistics = &state.statistics;
            let ready =
                statistics.serving.saturating_sub(statistics.drained).saturating_sub(statistics.ejected);
            row.push(format!("{ready}/{}", statistics.listed));
            row.push(statistics.drained.to_string());
            row.push(statistics.ejected.to_string());
            row.push(statistics.warming_up.to_string());
            row.push(statistics.requests.to_string());
            row.push(statistics.client_connections.to_string());
        }
    }
    row.push(remark(gateway));
    row
}

/// Returns the most important remark on a gateway for the last column, or an empty text.
fn remark(gateway: &GatewayStatus) -> String {
    if let Health::Unreachable { reason } = &gateway.health {
        return reason.clone();
    }
    if let Some(state) = &gateway.state {
        if state.drained_by.is_some() {
            return "drained by order".to_string();
        }
        if state.drained_ms.is_some() {
            return "drained by call".to_string();
        }
        let waiting = state.statistics.awaiting_connection;
        if waiting > 0 {
            return format!("{waiting} backends wait for their first connection");
        }
    }
    if gateway.restarts > 0 {
        return format!("started anew {} times", gateway.restarts);
    }
    String::new()
}

fn order_row(register: &Register) -> Vec<String> {
    let value = match register.value {
        Value::Drained(true) => "drained".to_string(),
        Value::Drained(false) => "not drained".to_string(),
        Value::Weight(weight) => format!("weight {weight}"),
    };
    vec![register.subject.to_string(), value, register.revision.to_string(), register.id.to_string()]
}
