//! Text and JSON output of `up`.

use serde_json::{json, Value};
use testbed::audit::Violation;
use testbed::client::{Load, LoadCounts};
use testbed::platform;

use super::local_fleet::{Gateway, LocalFleet};
use crate::output::table;

/// Result of the audit: the violations found, or the reason why the journal could not be audited.
type AuditResult = Result<Vec<Violation>, String>;

const HEADER: [&str; 3] = ["NAME", "WHAT", "ADDRESS"];
/// Maximum number of violations shown.
const MAX_VIOLATIONS_SHOWN: usize = 10;
/// Customer id in the example command.
const EXAMPLE_CUSTOMER: &str = "0000000000000001";
/// Request id in the example command.
const EXAMPLE_REQUEST: &str = "00000000000000aa";

/// Formats the table of addresses and the example commands.
pub fn addresses(fleet: &LocalFleet) -> String {
    let Some(first) = fleet.gateways.first() else { return String::new() };
    format!("{}{}\n", table(&HEADER, &address_rows(fleet)), example_lines(fleet, first).join("\n"))
}

fn address_rows(fleet: &LocalFleet) -> Vec<Vec<String>> {
    let row = |name: &str, what: &str, address: String| vec![name.to_string(), what.to_string(), address];
    let mut rows = vec![
        row("discovery", "stand-in", format!("http://{}", fleet.discovery.address)),
        row("counter", "stand-in", fleet.counter.address.to_string()),
    ];
    for backend in &fleet.backends {
        let what = format!("stand-in, group/{} type/{}", backend.spec.group, backend.spec.kind);
        rows.push(row(&backend.spec.name, &what, backend.address.to_string()));
    }
    for gateway in &fleet.gateways {
        rows.push(row(&gateway.name, "gateway", gateway.address.to_string()));
        rows.push(row("", "its admin listener", gateway.admin.to_string()));
    }
    rows.push(row("agent", "agent", fleet.agent.to_string()));
    rows
}

fn example_lines(fleet: &LocalFleet, gateway: &Gateway) -> Vec<String> {
    let (host, port) = (gateway.address.ip(), gateway.address.port());
    let fan_out = fleet.gateways.len();
    let options = format!("c=safe,t=free,d={},units=1,spread={fan_out},first=0", platform::DEADLINE_MS);
    let program = std::env::current_exe().map_or("gatewayctl".into(), |path| path.display().to_string());
    let backend = fleet.backends.first().map_or("till-0", |backend| &backend.spec.name);
    vec![
        String::new(),
        "send a request, with any RESP client:".to_string(),
        format!("  redis-cli -h {host} -p {port} API.READ {EXAMPLE_CUSTOMER} {EXAMPLE_REQUEST} {options}"),
        "look and order, from another terminal:".to_string(),
        format!("  export BEECHRUDDER_AGENT={}", fleet.agent),
        format!("  {program} status"),
        format!("  {program} drain {backend} --wait"),
        format!("  {program} undrain {backend}"),
        "Ctrl-C ends all of it.".to_string(),
    ]
}

/// Returns the addresses as JSON.
pub fn description(fleet: &LocalFleet) -> Value {
    let backends = fleet
        .backends
        .iter()
        .map(|backend| json!({"name": backend.spec.name, "address": backend.address.to_string()}));
    let gateways = fleet.gateways.iter().map(|gateway| {
        json!({"name": gateway.name, "address": gateway.address.to_string(),
               "admin": gateway.admin.to_string(), "pid": gateway.process.id()})
    });
    json!({
        "discovery": fleet.discovery.address.to_string(),
        "counter": fleet.counter.address.to_string(),
        "backends": backends.collect::<Vec<_>>(),
        "gateways": gateways.collect::<Vec<_>>(),
        "agent": fleet.agent.to_string(),
    })
}

/// Formats the status line; `served_per_s` is left out if it is 0.
pub fn status_line(counts: &LoadCounts, served_per_s: f64, load: &Load) -> String {
    let LoadCounts { sent, served, rejected, failed, lost, not_sent, .. } = counts;
    let rate = if served_per_s > 0.0 { format!(" ({served_per_s:.0}/s)") } else { String::new() };
    let held_back = if *not_sent > 0 { format!(", {not_sent} held back") } else { String::new() };
    let (p50, p99) = (load.latency_ms(0.5), load.latency_ms(0.99));
    let answers =
        format!("served {served}{rate}, refused {rejected}, failed {failed}, lost {lost}{held_back}");
    format!("asked {sent}, {answers}, p50 {p50:.1} ms, p99 {p99:.1} ms")
}

/// Returns the totals of the load and the result of the audit as JSON.
pub fn result(load: &Load, audit_result: &AuditResult) -> Value {
    let counts = load.counts();
    let violations =
        audit_result.as_ref().ok().map(|all| all.iter().map(ToString::to_string).collect::<Vec<_>>());
    json!({
        "asked": counts.sent, "served": counts.served, "refused": counts.rejected, "failed": counts.failed,
        "lost": counts.lost, "held_back": counts.not_sent, "p50_ms": load.latency_ms(0.5),
        "p99_ms": load.latency_ms(0.99), "breaches": violations, "not_judged": audit_result.as_ref().err(),
    })
}

/// Formats the result of the audit, with the first violations.
pub fn audit_text(audit_result: &AuditResult) -> String {
    match audit_result {
        Ok(violations) if violations.is_empty() => "the five rules held\n".to_string(),
        Ok(violations) => violations
            .iter()
            .take(MAX_VIOLATIONS_SHOWN)
            .map(|violation| format!("BROKEN {violation}\n"))
            .collect(),
        Err(reason) => format!("not judged: {reason}\n"),
    }
}
