//! Measures fleet control: `cargo run --release --example measure_fleet`, after `cargo build --release`.
//!
//! Measures the time until an order is applied on all gateways, with three real gateways and with a thousand
//! stand-ins; the orders per second that the log can store; the agent's memory with a thousand gateways of a
//! thousand backends each; and a gateway's CPU time per request with the admin listener relative to that
//! without, side by side in one run.

mod support;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use fleet::wire::{Envelope, ToolRequest, ToolResponse, MAX_LINE_BYTES};
use fleet::{Change, Health};
use operator_config::Address;
use support::{cpu_ticks, peak_memory_mb, program, quantile, resident_memory_mb, start, AnyError};
use testbed::backend::{Backend, Spec};
use testbed::client::{Load, LoadProfile};
use testbed::counter::Counter;
use testbed::discovery::Discovery;
use testbed::gateway_stand_in::GatewayStandIn;
use testbed::journal::Journal;
use testbed::platform;
use tokio::time::sleep;
use transport::{Connector, JsonLines};

/// Returns a command that runs the executable with these arguments.
fn command(args: &[&str]) -> Result<Command, AnyError> {
    let mut command = Command::new(program()?);
    command.args(args);
    Ok(command)
}

async fn connect(address: &Address) -> Result<JsonLines, AnyError> {
    Ok(Connector::default().connect(address, Duration::from_secs(5), MAX_LINE_BYTES).await?)
}

/// Sends an order. Returns the time until it was logged and until all gateways had answered, ms, and the
/// number of gateways that failed.
async fn order(
    lines: &mut JsonLines,
    id: String,
    backend: usize,
    drain: bool,
) -> Result<(f64, f64, u32), AnyError> {
    let sent = Instant::now();
    let change = if drain { Change::Drain } else { Change::Undrain };
    let subject = format!("till-{backend}").parse()?;
    let body = ToolRequest::Order { id: id.parse()?, subject, change, forced: true, deadline_ms: 30_000 };
    lines.send(&Envelope { request_id: 1, body }).await?;
    let (mut logged_ms, elapsed_ms) = (0.0, |since: Instant| since.elapsed().as_secs_f64() * 1000.0);
    loop {
        match lines.next::<Envelope<ToolResponse>>().await?.ok_or("the agent disconnected")?.body {
            ToolResponse::Accepted(_) => logged_ms = elapsed_ms(sent),
            ToolResponse::Done(done) => return Ok((logged_ms, elapsed_ms(sent), done.failed)),
            ToolResponse::Error(error) => return Err(error.message.into()),
            _ => {}
        }
    }
}

/// Waits until the agent reports all gateways as `ok` with backends listed. Returns the time that took.
async fn wait_until_healthy(lines: &mut JsonLines, gateways: usize) -> Result<Duration, AnyError> {
    let started = Instant::now();
    loop {
        lines.send(&Envelope { request_id: 1, body: ToolRequest::Status { backends: false } }).await?;
        if let ToolResponse::Status(s) =
            lines.next::<Envelope<ToolResponse>>().await?.ok_or("the agent disconnected")?.body
        {
            let is_healthy = |g: &&fleet::wire::GatewayStatus| {
                g.health == Health::Ok && g.state.as_ref().is_some_and(|s| s.statistics.listed > 0)
            };
            if s.gateways.iter().filter(is_healthy).count() == gateways {
                return Ok(started.elapsed());
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Times `count` orders and prints the results.
async fn measure_orders(label: &str, agent: &Address, gateways: usize, count: usize) -> Result<(), AnyError> {
    let mut lines = connect(agent).await?;
    let healthy_after = wait_until_healthy(&mut lines, gateways).await?;
    let (mut logged, mut applied, mut failed) = (Vec::new(), Vec::new(), 0);
    for i in 0..count {
        let (logged_ms, applied_ms, gateways_failed) =
            order(&mut lines, format!("{label}-{i}"), i % 4, i % 2 == 0).await?;
        logged.push(logged_ms);
        applied.push(applied_ms);
        failed += gateways_failed;
    }
    println!(
        "{label}: {gateways} gateways well after {:.0} ms; {count} orders: on the disk p50 {:.2} ms, on all \
         gateways p50 {:.2} p99 {:.2} max {:.2} ms; failed {failed}",
        healthy_after.as_secs_f64() * 1000.0,
        quantile(&logged, 0.5),
        quantile(&applied, 0.5),
        quantile(&applied, 0.99),
        quantile(&applied, 1.0),
    );
    Ok(())
}

/// Writes an operators' file for an agent and its gateways. Returns its path and the agent's address.
fn write_operator_config(dir: &Path, name: &str, gateways: usize) -> Result<(PathBuf, Address), AnyError> {
    let (file, directory) = (dir.join(format!("{name}.toml")), dir.display());
    let mut text = format!("[admin]\nlisten = \"unix:{directory}/{{name}}.sock\"\n\n[agent]\n");
    text += &format!(
        "listen = \"unix:{directory}/{name}.sock\"\nlog = \"{directory}/{name}.redb\"\nanswer_ms = 5000\n"
    );
    for i in 0..gateways {
        text += &format!("\n[[gateway]]\nname = \"n{i}\"\nadmin = \"unix:{directory}/n{i}.sock\"\n");
    }
    fs::write(&file, text)?;
    Ok((file, format!("unix:{directory}/{name}.sock").parse()?))
}

/// Measures orders, memory and idle CPU of an agent with stand-in gateways.
async fn measure_agent(gateways: usize, backends: usize) -> Result<(), AnyError> {
    let dir = tempfile::tempdir()?;
    let mut stand_ins = Vec::new();
    for i in 0..gateways {
        let address = format!("unix:{}/n{i}.sock", dir.path().display()).parse()?;
        stand_ins.push(GatewayStandIn::start(&format!("n{i}"), 1 + i as u64, &address, backends).await?);
    }
    let (file, address) = write_operator_config(dir.path(), "agent", gateways)?;
    let args = ["agent", "--operator", &file.display().to_string()];
    let (agent, _) = start(command(&args)?, &["overseeing "]).await?;
    measure_orders(&format!("{gateways}x{backends}"), &address, gateways, 200).await?;
    // Time for the agent to request the backends of every gateway.
    sleep(Duration::from_secs(8)).await;
    let (rss, peak) = (resident_memory_mb(agent.id())?, peak_memory_mb(agent.id())?);
    let before = cpu_ticks(agent.id())?;
    sleep(Duration::from_secs(5)).await;
    let cpu = (cpu_ticks(agent.id())? - before) / 5.0;
    let label = format!("agent at {gateways} gateways of {backends} backends");
    println!("{label}: {rss:.0} MB, at most {peak:.0} MB; idle {cpu:.1}% of a core");
    Ok(())
}

/// Measures the orders per second that the agent logs without gateways, with 1 and 64 concurrent connections.
async fn measure_log() -> Result<(), AnyError> {
    let dir = tempfile::tempdir()?;
    let (file, address) = write_operator_config(dir.path(), "agent", 0)?;
    let args = ["agent", "--operator", &file.display().to_string()];
    let (_agent, _) = start(command(&args)?, &["overseeing "]).await?;
    for tools in [1, 64] {
        let started = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for tool in 0..tools {
            let address = address.clone();
            tasks.spawn(async move {
                let mut lines = connect(&address).await?;
                let mut count = 0u32;
                while started.elapsed() < Duration::from_secs(3) {
                    order(&mut lines, format!("l{tools}-{tool}-{count}"), tool, count.is_multiple_of(2))
                        .await?;
                    count += 1;
                }
                Ok::<u32, AnyError>(count)
            });
        }
        let mut count = 0;
        while let Some(finished) = tasks.join_next().await {
            count += finished??;
        }
        println!(
            "log: {tools} tools: {:.0} orders a second",
            f64::from(count) / started.elapsed().as_secs_f64()
        );
    }
    Ok(())
}

/// Measures the CPU time per request of two gateways under the same load, of which one has an admin listener
/// and is controlled by an agent.
async fn measure_cpu() -> Result<(), AnyError> {
    let (dir, journal) = (tempfile::tempdir()?, Journal::new(0));
    let (discovery, counter) = (Discovery::start().await?, Counter::start().await?);
    let mut backends = Vec::new();
    for i in 0..8 {
        let spec = Spec { service_time: Duration::from_millis(1), slots: 64, ..Spec::plain(i) };
        backends.push(Backend::start(spec, journal.clone()).await?);
    }
    for b in &backends {
        discovery.list(b, "SERVING");
    }
    let (file, _) = write_operator_config(dir.path(), "agent", 1)?;
    let operator_file = file.display().to_string();
    let mut gateways = Vec::new();
    for (name, admin) in [("n0", true), ("off", false)] {
        let known = discovery.known();
        let mut config = platform::config(0, 1, discovery.address, counter.address, &known, None);
        config["name"] = name.into();
        let path = dir.path().join(format!("{name}.json"));
        fs::write(&path, config.to_string())?;
        let (args, prefixes): (Vec<&str>, Vec<&str>) = if admin {
            (vec!["gateway", "--operator", &operator_file], vec!["admin on ", "listening on "])
        } else {
            (vec!["gateway"], vec!["listening on "])
        };
        let mut with_config = command(&args)?;
        with_config.env("GW_CONFIG", &path);
        let (process, lines) = start(with_config, &prefixes).await?;
        gateways.push((process, lines.last().ok_or("no address")?.parse()?));
    }
    let (_agent, _) = start(command(&["agent", "--operator", &operator_file])?, &["overseeing "]).await?;
    let (mut ratios, mut costs_off) = (Vec::new(), Vec::new());
    for round in 0..8u64 {
        // Both loads run at the same time, so that other activity on the machine affects both alike.
        let load = |index: usize| {
            Load::new(vec![gateways[index].1], (round * 2 + index as u64) << 32, journal.clone())
        };
        let loads = [load(0), load(1)];
        let profile = LoadProfile { rate: 1_500.0, paid: 0.0, ..LoadProfile::default() };
        let before = [cpu_ticks(gateways[0].0.id())?, cpu_ticks(gateways[1].0.id())?];
        tokio::join!(
            loads[0].run(&profile, sleep(Duration::from_secs(4))),
            loads[1].run(&profile, sleep(Duration::from_secs(4))),
        );
        let cost = |index: usize| -> Result<f64, AnyError> {
            let served = loads[index].counts().served as f64;
            Ok((cpu_ticks(gateways[index].0.id())? - before[index]) * 10_000.0 / served.max(1.0))
        };
        let (on, off) = (cost(0)?, cost(1)?);
        println!("cpu: admin on {on:.1} us, off {off:.1} us a request, ratio {:.3}", on / off);
        ratios.push(on / off);
        costs_off.push(off);
    }
    let (low, high) = (quantile(&costs_off, 0.0), quantile(&costs_off, 1.0));
    let (min, max) = (quantile(&ratios, 0.0), quantile(&ratios, 1.0));
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    println!("cpu: ratio on/off {mean:.3} ({min:.3} to {max:.3}); off alone {low:.1} to {high:.1} us");
    Ok(())
}

/// Measures orders on the three real gateways of `up`.
async fn measure_real_gateways() -> Result<(), AnyError> {
    let args = ["up", "--load", "0", "--output", "json"];
    let (mut up, lines) = start(command(&args)?, &["{\"up\":"]).await?;
    let description: serde_json::Value = serde_json::from_str(lines[0].strip_suffix('}').ok_or("no JSON")?)?;
    let address: Address = description["agent"].as_str().ok_or("no agent")?.parse()?;
    let result = measure_orders("real", &address, 3, 500).await;
    // SIGTERM lets it remove its directory.
    Command::new("kill").args(["-TERM", &up.id().to_string()]).status()?;
    up.0.wait()?;
    result
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), AnyError> {
    // The argument `cpu` selects that measurement alone.
    if std::env::args().nth(1).is_some_and(|word| word == "cpu") {
        return measure_cpu().await;
    }
    measure_real_gateways().await?;
    measure_log().await?;
    measure_cpu().await?;
    measure_agent(1_000, 100).await?;
    measure_agent(1_000, 1_000).await
}
