//! Measures fleet control: `cargo run --release --example measure_fleet`, after `cargo build --release`.
//!
//! How long an order takes to be on all gateways, three real ones and a thousand stand-ins; how many orders
//! a second the log holds; the agent's memory at a thousand gateways of a thousand backends; and a gateway's
//! CPU a request with its admin listener on, over that with it off, both side by side in one run.

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

/// The program with these arguments.
fn command(args: &[&str]) -> Result<Command, AnyError> {
    let mut command = Command::new(program()?);
    command.args(args);
    Ok(command)
}

async fn connect(at: &Address) -> Result<JsonLines, AnyError> {
    Ok(Connector::default().connect(at, Duration::from_secs(5), MAX_LINE_BYTES).await?)
}

/// Orders once; gives how long it took until it was written down, and until all gateways had it, ms.
async fn order(
    lines: &mut JsonLines,
    id: String,
    backend: usize,
    drain: bool,
) -> Result<(f64, f64, u32), AnyError> {
    let begun = Instant::now();
    let change = if drain { Change::Drain } else { Change::Undrain };
    let subject = format!("till-{backend}").parse()?;
    let body = ToolRequest::Order { id: id.parse()?, subject, change, forced: true, deadline_ms: 30_000 };
    lines.send(&Envelope { request_id: 1, body }).await?;
    let (mut written, ms) = (0.0, |begun: Instant| begun.elapsed().as_secs_f64() * 1000.0);
    loop {
        match lines.next::<Envelope<ToolResponse>>().await?.ok_or("the agent left")?.body {
            ToolResponse::Accepted(_) => written = ms(begun),
            ToolResponse::Done(done) => return Ok((written, ms(begun), done.failed)),
            ToolResponse::Error(fault) => return Err(fault.message.into()),
            _ => {}
        }
    }
}

/// Waits until all gateways are well; gives how long that took.
async fn well(lines: &mut JsonLines, gateways: usize) -> Result<Duration, AnyError> {
    let begun = Instant::now();
    loop {
        lines.send(&Envelope { request_id: 1, body: ToolRequest::Status { backends: false } }).await?;
        if let ToolResponse::Status(s) =
            lines.next::<Envelope<ToolResponse>>().await?.ok_or("the agent left")?.body
        {
            let listed = |g: &&fleet::wire::GatewayStatus| {
                g.health == Health::Ok && g.state.as_ref().is_some_and(|s| s.statistics.listed > 0)
            };
            if s.gateways.iter().filter(listed).count() == gateways {
                return Ok(begun.elapsed());
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Times so many orders.
async fn orders(what: &str, agent: &Address, gateways: usize, count: usize) -> Result<(), AnyError> {
    let mut lines = connect(agent).await?;
    let up = well(&mut lines, gateways).await?;
    let (mut written, mut all, mut failed) = (Vec::new(), Vec::new(), 0);
    for i in 0..count {
        let (w, a, f) = order(&mut lines, format!("{what}-{i}"), i % 4, i % 2 == 0).await?;
        written.push(w);
        all.push(a);
        failed += f;
    }
    println!(
        "{what}: {gateways} gateways well after {:.0} ms; {count} orders: on the disk p50 {:.2} ms, on all \
         gateways p50 {:.2} p99 {:.2} max {:.2} ms; failed {failed}",
        up.as_secs_f64() * 1000.0,
        quantile(&written, 0.5),
        quantile(&all, 0.5),
        quantile(&all, 0.99),
        quantile(&all, 1.0),
    );
    Ok(())
}

fn operator(dir: &Path, name: &str, gateways: usize) -> Result<(PathBuf, Address), AnyError> {
    let (file, at) = (dir.join(format!("{name}.toml")), dir.display());
    let mut text = format!("[admin]\nlisten = \"unix:{at}/{{name}}.sock\"\n\n[agent]\n");
    text += &format!("listen = \"unix:{at}/{name}.sock\"\nlog = \"{at}/{name}.redb\"\nanswer_ms = 5000\n");
    for i in 0..gateways {
        text += &format!("\n[[gateway]]\nname = \"n{i}\"\nadmin = \"unix:{at}/n{i}.sock\"\n");
    }
    fs::write(&file, text)?;
    Ok((file, format!("unix:{at}/{name}.sock").parse()?))
}

async fn many(gateways: usize, backends: usize) -> Result<(), AnyError> {
    let dir = tempfile::tempdir()?;
    let mut all = Vec::new();
    for i in 0..gateways {
        let at = format!("unix:{}/n{i}.sock", dir.path().display()).parse()?;
        all.push(GatewayStandIn::start(&format!("n{i}"), 1 + i as u64, &at, backends).await?);
    }
    let (file, address) = operator(dir.path(), "agent", gateways)?;
    let words = ["agent", "--operator", &file.display().to_string()];
    let (agent, _) = start(command(&words)?, &["overseeing "]).await?;
    orders(&format!("{gateways}x{backends}"), &address, gateways, 200).await?;
    // Every list has been asked for by now, or will be.
    sleep(Duration::from_secs(8)).await;
    let (rss, peak) = (resident_memory_mb(agent.id())?, peak_memory_mb(agent.id())?);
    let before = cpu_ticks(agent.id())?;
    sleep(Duration::from_secs(5)).await;
    let cpu = (cpu_ticks(agent.id())? - before) / 5.0;
    let what = format!("agent at {gateways} gateways of {backends} backends");
    println!("{what}: {rss:.0} MB, at most {peak:.0} MB; idle {cpu:.1}% of a core");
    Ok(())
}

async fn log_alone() -> Result<(), AnyError> {
    let dir = tempfile::tempdir()?;
    let (file, address) = operator(dir.path(), "agent", 0)?;
    let words = ["agent", "--operator", &file.display().to_string()];
    let (_agent, _) = start(command(&words)?, &["overseeing "]).await?;
    for tools in [1, 64] {
        let begun = Instant::now();
        let mut tasks = tokio::task::JoinSet::new();
        for tool in 0..tools {
            let address = address.clone();
            tasks.spawn(async move {
                let mut lines = connect(&address).await?;
                let mut count = 0u32;
                while begun.elapsed() < Duration::from_secs(3) {
                    order(&mut lines, format!("l{tools}-{tool}-{count}"), tool, count.is_multiple_of(2))
                        .await?;
                    count += 1;
                }
                Ok::<u32, AnyError>(count)
            });
        }
        let mut count = 0;
        while let Some(done) = tasks.join_next().await {
            count += done??;
        }
        println!(
            "log: {tools} tools: {:.0} orders a second",
            f64::from(count) / begun.elapsed().as_secs_f64()
        );
    }
    Ok(())
}

/// Two gateways under the same load, one with an admin listener and an agent that looks at it.
async fn cpu() -> Result<(), AnyError> {
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
    let (file, _) = operator(dir.path(), "agent", 1)?;
    let operator_file = file.display().to_string();
    let mut gateways = Vec::new();
    for (name, admin) in [("n0", true), ("off", false)] {
        let known = discovery.known();
        let mut config = platform::config(0, 1, discovery.address, counter.address, &known, None);
        config["name"] = name.into();
        let path = dir.path().join(format!("{name}.json"));
        fs::write(&path, config.to_string())?;
        let (words, begin): (Vec<&str>, Vec<&str>) = if admin {
            (vec!["gateway", "--operator", &operator_file], vec!["admin on ", "listening on "])
        } else {
            (vec!["gateway"], vec!["listening on "])
        };
        let mut with_config = command(&words)?;
        with_config.env("GW_CONFIG", &path);
        let (process, said) = start(with_config, &begin).await?;
        gateways.push((process, said.last().ok_or("no address")?.parse()?));
    }
    let (_agent, _) = start(command(&["agent", "--operator", &operator_file])?, &["overseeing "]).await?;
    let (mut ratios, mut noise) = (Vec::new(), Vec::new());
    for round in 0..8u64 {
        // Both at once, so that whatever else the machine does falls on both alike.
        let load = |place: usize| {
            Load::new(vec![gateways[place].1], (round * 2 + place as u64) << 32, journal.clone())
        };
        let loads = [load(0), load(1)];
        let plan = LoadProfile { rate: 1_500.0, paid: 0.0, ..LoadProfile::default() };
        let before = [cpu_ticks(gateways[0].0.id())?, cpu_ticks(gateways[1].0.id())?];
        tokio::join!(
            loads[0].run(&plan, sleep(Duration::from_secs(4))),
            loads[1].run(&plan, sleep(Duration::from_secs(4))),
        );
        let cost = |place: usize| -> Result<f64, AnyError> {
            let served = loads[place].counts().served as f64;
            Ok((cpu_ticks(gateways[place].0.id())? - before[place]) * 10_000.0 / served.max(1.0))
        };
        let (on, off) = (cost(0)?, cost(1)?);
        println!("cpu: admin on {on:.1} us, off {off:.1} us a request, ratio {:.3}", on / off);
        ratios.push(on / off);
        noise.push(off);
    }
    let (low, high) = (quantile(&noise, 0.0), quantile(&noise, 1.0));
    let (least, most) = (quantile(&ratios, 0.0), quantile(&ratios, 1.0));
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    println!("cpu: ratio on/off {mean:.3} ({least:.3} to {most:.3}); off alone {low:.1} to {high:.1} us");
    Ok(())
}

async fn real() -> Result<(), AnyError> {
    let words = ["up", "--load", "0", "--output", "json"];
    let (mut up, said) = start(command(&words)?, &["{\"up\":"]).await?;
    let told: serde_json::Value = serde_json::from_str(said[0].strip_suffix('}').ok_or("no JSON")?)?;
    let address: Address = told["agent"].as_str().ok_or("no agent")?.parse()?;
    let result = orders("real", &address, 3, 500).await;
    // It takes its folder away as it ends.
    Command::new("kill").args(["-TERM", &up.id().to_string()]).status()?;
    up.0.wait()?;
    result
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), AnyError> {
    // With `cpu` as an argument, that alone.
    if std::env::args().nth(1).is_some_and(|word| word == "cpu") {
        return cpu().await;
    }
    real().await?;
    log_alone().await?;
    cpu().await?;
    many(1_000, 100).await?;
    many(1_000, 1_000).await
}
