//! What `up` shows.

use serde_json::{json, Value};
use testbed::client::{Load, Tally};
use testbed::platform;

use super::world::World;
use crate::table::table;

/// The table of addresses, and lines to paste.
pub fn addresses(world: &World) -> String {
    let mut rows = vec![
        vec!["discovery".to_string(), "stand-in".to_string(), format!("http://{}", world.discovery.address)],
        vec!["counter".to_string(), "stand-in".to_string(), world.counter.address.to_string()],
    ];
    for backend in &world.backends {
        let what = format!("stand-in, group/{} type/{}", backend.spec.group, backend.spec.kind);
        rows.push(vec![backend.spec.name.clone(), what, backend.address.to_string()]);
    }
    for gateway in &world.gateways {
        rows.push(vec![gateway.name.clone(), "gateway".to_string(), gateway.address.to_string()]);
        rows.push(vec![String::new(), "its admin listener".to_string(), gateway.admin.to_string()]);
    }
    rows.push(vec!["agent".to_string(), "agent".to_string(), world.agent.to_string()]);
    let Some(first) = world.gateways.first() else { return String::new() };
    let (host, port, all) = (first.address.ip(), first.address.port(), world.gateways.len());
    let terms = format!("c=safe,t=free,d={},units=1,spread={all},first=0", platform::DEADLINE_MS);
    let (customer, request) = ("0000000000000001", "00000000000000aa");
    let program = std::env::current_exe().map_or("gatewayctl".into(), |p| p.display().to_string());
    let (addresses, agent) = (table(&["NAME", "WHAT", "ADDRESS"], &rows), &world.agent);
    let till = world.backends.first().map_or("till-0", |b| &b.spec.name);
    let lines = [
        String::new(),
        "send a request, with any RESP client:".to_string(),
        format!("  redis-cli -h {host} -p {port} API.READ {customer} {request} {terms}"),
        "look and order, from another terminal:".to_string(),
        format!("  export BEECHRUDDER_AGENT={agent}"),
        format!("  {program} status"),
        format!("  {program} drain {till} --wait"),
        format!("  {program} undrain {till}"),
        "Ctrl-C ends all of it.".to_string(),
    ];
    format!("{addresses}{}\n", lines.join("\n"))
}

/// The same for programs.
pub fn described(world: &World) -> Value {
    let backends =
        world.backends.iter().map(|b| json!({"name": b.spec.name, "address": b.address.to_string()}));
    let gateway = |g: &super::world::Gateway| {
        json!({"name": g.name, "address": g.address.to_string(), "admin": g.admin.to_string(),
               "pid": g.process.id()})
    };
    json!({
        "discovery": world.discovery.address.to_string(),
        "counter": world.counter.address.to_string(),
        "backends": backends.collect::<Vec<_>>(),
        "gateways": world.gateways.iter().map(gateway).collect::<Vec<_>>(),
        "agent": world.agent.to_string(),
    })
}

/// The status line.
pub fn status(tally: &Tally, per_second: f64, load: &Load) -> String {
    let Tally { asked, served, refused, failed, lost, held_back, .. } = tally;
    let rate = if per_second > 0.0 { format!(" ({per_second:.0}/s)") } else { String::new() };
    let held = if *held_back > 0 { format!(", {held_back} held back") } else { String::new() };
    let (p50, p99) = (load.latency_ms(0.5), load.latency_ms(0.99));
    let answers = format!("served {served}{rate}, refused {refused}, failed {failed}, lost {lost}{held}");
    format!("asked {asked}, {answers}, p50 {p50:.1} ms, p99 {p99:.1} ms")
}
