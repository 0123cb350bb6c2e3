//! Measures fleet control: `cargo run --release --example measure_fleet`, after `cargo build --release`.
//!
//! How long an order takes to be on all gateways, three real ones and a thousand stand-ins; how many orders
//! a second the log holds; the agent's memory at a thousand gateways of a thousand backends; and a gateway's
//! CPU a request with its admin listener on, over that with it off, both side by side in one run.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use fleet::wire::{Envelope, ToolRequest, ToolResponse, MAX_LINE_BYTES};
use fleet::{Change, Health};
use operator_config::Address;
use testbed::backend::{Backend, Spec};
use testbed::client::{Load, Plan};
use testbed::counter::Counter;
use testbed::discovery::Discovery;
use testbed::journal::Journal;
use testbed::overseen::Overseen;
use testbed::platform;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::time::sleep;
use transport::{Connector, JsonLines};

type Any = Box<dyn Error + Send + Sync>;

/// The built program, beside the folder that this example is in.
fn program() -> Result<PathBuf, Any> {
    let here = std::env::current_exe()?;
    let folder = here.parent().and_then(Path::parent).ok_or("no folder")?;
    Ok(folder.join("gatewayctl"))
}

/// A process of the program that ends with the value.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn start(words: &[&str], config: Option<&Path>, begin: &[&str]) -> Result<(Process, Vec<String>), Any> {
    let mut command = Command::new(program()?);
    command.args(words).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
    if let Some(config) = config {
        command.env("GW_CONFIG", config);
    }
    let mut child = command.spawn()?;
    let said = child.stdout.take().ok_or("no output")?;
    let process = Process(child);
    let mut lines = BufReader::new(tokio::process::ChildStdout::from_std(said)?).lines();
    let mut all = Vec::new();
    for begin in begin {
        let line = lines.next_line().await?.ok_or("it ended")?;
        all.push(line.strip_prefix(begin).ok_or("it said something else")?.to_string());
    }
    Ok((process, all))
}

/// A line of `/proc/PID/status` in MB.
fn memory_mb(pid: u32, key: &str) -> Result<f64, Any> {
    let text = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|l| l.strip_prefix(key)).ok_or("no such line")?;
    Ok(line.trim_start_matches(':').trim().trim_end_matches("kB").trim().parse::<f64>()? / 1024.0)
}

/// CPU that a process has taken, in ticks of 10 ms.
fn ticks(pid: u32) -> Result<f64, Any> {
    let text = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = text.rsplit(") ").next().ok_or("no state")?;
    let field = |n: usize| rest.split(' ').nth(n).and_then(|f| f.parse::<f64>().ok());
    Ok(field(11).ok_or("no utime")? + field(12).ok_or("no stime")?)
}

async fn connect(at: &Address) -> Result<JsonLines, Any> {
    Ok(Connector::default().connect(at, Duration::from_secs(5), MAX_LINE_BYTES).await?)
}

/// Orders once; gives how long it took until it was written down, and until all gateways had it, ms.
async fn order(
    lines: &mut JsonLines,
    id: String,
    backend: usize,
    drain: bool,
) -> Result<(f64, f64, u32), Any> {
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
async fn well(lines: &mut JsonLines, gateways: usize) -> Result<Duration, Any> {
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

fn quantile(all: &mut [f64], q: f64) -> f64 {
    all.sort_by(f64::total_cmp);
    all[((all.len() - 1) as f64 * q).round() as usize]
}

/// Times so many orders.
async fn orders(what: &str, agent: &Address, gateways: usize, count: usize) -> Result<(), Any> {
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
        quantile(&mut written, 0.5),
        quantile(&mut all, 0.5),
        quantile(&mut all, 0.99),
        quantile(&mut all, 1.0),
    );
    Ok(())
}

fn operator(dir: &Path, name: &str, gateways: usize) -> Result<(PathBuf, Address), Any> {
    let (file, at) = (dir.join(format!("{name}.toml")), dir.display());
    let mut text = format!("[admin]\nlisten = \"unix:{at}/{{name}}.sock\"\n\n[agent]\n");
    text += &format!("listen = \"unix:{at}/{name}.sock\"\nlog = \"{at}/{name}.redb\"\nanswer_ms = 5000\n");
    for i in 0..gateways {
        text += &format!("\n[[gateway]]\nname = \"n{i}\"\nadmin = \"unix:{at}/n{i}.sock\"\n");
    }
    fs::write(&file, text)?;
    Ok((file, format!("unix:{at}/{name}.sock").parse()?))
}

async fn many(gateways: usize, backends: usize) -> Result<(), Any> {
    let dir = tempfile::tempdir()?;
    let mut all = Vec::new();
    for i in 0..gateways {
        let at = format!("unix:{}/n{i}.sock", dir.path().display()).parse()?;
        all.push(Overseen::start(&format!("n{i}"), 1 + i as u64, &at, backends).await?);
    }
    let (file, address) = operator(dir.path(), "agent", gateways)?;
    let words = ["agent", "--operator", &file.display().to_string()];
    let (agent, _) = start(&words, None, &["overseeing "]).await?;
    orders(&format!("{gateways}x{backends}"), &address, gateways, 200).await?;
    // Every list has been asked for by now, or will be.
    sleep(Duration::from_secs(8)).await;
    let (rss, peak) = (memory_mb(agent.0.id(), "VmRSS")?, memory_mb(agent.0.id(), "VmHWM")?);
    let before = ticks(agent.0.id())?;
    sleep(Duration::from_secs(5)).await;
    let cpu = (ticks(agent.0.id())? - before) / 5.0;
    let what = format!("agent at {gateways} gateways of {backends} backends");
    println!("{what}: {rss:.0} MB, at most {peak:.0} MB; idle {cpu:.1}% of a core");
    Ok(())
}

async fn log_alone() -> Result<(), Any> {
    let dir = tempfile::tempdir()?;
    let (file, address) = operator(dir.path(), "agent", 0)?;
    let words = ["agent", "--operator", &file.display().to_string()];
    let (_agent, _) = start(&words, None, &["overseeing "]).await?;
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
                Ok::<u32, Any>(count)
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
async fn cpu() -> Result<(), Any> {
    let (dir, journal) = (tempfile::tempdir()?, Journal::new(0));
    let (discovery, counter) = (Discovery::start().await?, Counter::start().await?);
    let mut backends = Vec::new();
    for i in 0..8 {
        let spec = Spec { takes: Duration::from_millis(1), slots: 64, ..Spec::plain(i) };
        backends.push(Backend::start(spec, journal.clone()).await?);
    }
    backends.iter().for_each(|b| discovery.list(b, "SERVING"));
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
        let (process, said) = start(&words, Some(&path), &begin).await?;
        gateways.push((process, said.last().ok_or("no address")?.parse()?));
    }
    let (_agent, _) = start(&["agent", "--operator", &operator_file], None, &["overseeing "]).await?;
    let (mut ratios, mut noise) = (Vec::new(), Vec::new());
    for round in 0..8u64 {
        // Both at once, so that whatever else the machine does falls on both alike.
        let load = |place: usize| {
            Load::new(vec![gateways[place].1], (round * 2 + place as u64) << 32, journal.clone())
        };
        let loads = [load(0), load(1)];
        let plan = Plan { rate: 1_500.0, paid: 0.0, ..Plan::default() };
        let before = [ticks(gateways[0].0 .0.id())?, ticks(gateways[1].0 .0.id())?];
        tokio::join!(
            loads[0].run(&plan, sleep(Duration::from_secs(4))),
            loads[1].run(&plan, sleep(Duration::from_secs(4))),
        );
        let cost = |place: usize| -> Result<f64, Any> {
            let served = loads[place].tally().served as f64;
            Ok((ticks(gateways[place].0 .0.id())? - before[place]) * 10_000.0 / served.max(1.0))
        };
        let (on, off) = (cost(0)?, cost(1)?);
        println!("cpu: admin on {on:.1} us, off {off:.1} us a request, ratio {:.3}", on / off);
        ratios.push(on / off);
        noise.push(off);
    }
    let (low, high) = (quantile(&mut noise, 0.0), quantile(&mut noise, 1.0));
    let (least, most) = (quantile(&mut ratios, 0.0), quantile(&mut ratios, 1.0));
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    println!("cpu: ratio on/off {mean:.3} ({least:.3} to {most:.3}); off alone {low:.1} to {high:.1} us");
    Ok(())
}

async fn real() -> Result<(), Any> {
    let words = ["up", "--load", "0", "--output", "json"];
    let (mut up, said) = start(&words, None, &["{\"up\":"]).await?;
    let told: serde_json::Value = serde_json::from_str(said[0].strip_suffix('}').ok_or("no JSON")?)?;
    let address: Address = told["agent"].as_str().ok_or("no agent")?.parse()?;
    let result = orders("real", &address, 3, 500).await;
    // It takes its folder away as it ends.
    Command::new("kill").args(["-TERM", &up.0.id().to_string()]).status()?;
    up.0.wait()?;
    result
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> Result<(), Any> {
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
