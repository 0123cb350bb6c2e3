//! Measures upgrades of a gateway under a steady load, as ratios within one run:
//! `cargo run --release --example measure_operation [UPGRADES]`, after `cargo build --release`.
//!
//! Clients send one request after another on persistent connections. In addition a new connection is opened
//! every 5 ms, and `READY` is called every 100 ms. Afterwards the same load runs on a gateway with a
//! management address and on one without, alternately.

mod support;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::{cpu_us, own_address, program, AnyError, Process};
use testbed::scripted::{as_strs, command, config, endpoint, request_args, DiscoveryStandIn, StandIn};

const CLIENTS: usize = 8;
const DEADLINE_MS: f64 = 700.0;
/// Runs with and without a management address.
const ROUNDS: usize = 5;

/// Starts a gateway on a listening socket. Returns its management address, if it has one.
fn start_gateway(
    dir: &Path,
    config: &Value,
    socket: &TcpListener,
    has_management: bool,
) -> Result<(Process, Option<SocketAddr>), AnyError> {
    let mut config = config.clone();
    let own = own_address();
    let management = has_management.then_some(own);
    config["listen"] = json!(socket.local_addr()?.to_string());
    if let Some(address) = management {
        config["management"] = json!(address.to_string());
    }
    let path = dir.join(format!("{}.json", own.port()));
    std::fs::write(&path, config.to_string())?;
    let child = Command::new(program()?)
        .arg("gateway")
        .env("GW_CONFIG", &path)
        .env("GW_SOCKET_FD", "0")
        .env("TMPDIR", dir.join("tmp"))
        .stdin(Stdio::from(OwnedFd::from(socket.try_clone()?)))
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok((Process(child), management))
}

/// Calls `READY` at a management address; returns `None` if there is no response.
fn call_ready(address: SocketAddr) -> Option<bool> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(b"READY\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.starts_with("SUCCESS"))
}

fn wait_until_ready(address: SocketAddr) {
    while call_ready(address) != Some(true) {
        sleep(Duration::from_millis(5));
    }
}

/// Outcomes of a load.
#[derive(Default)]
struct Outcomes {
    /// Time at which each request was sent and time until its answer.
    answers: Mutex<Vec<(Instant, Duration)>>,
    refused: AtomicU64,
    /// Requests that were sent a second time because their connection had been closed.
    resent: AtomicU64,
    lost: AtomicU64,
}

/// Starts clients that send requests until `stop` is set.
fn start_load(
    address: SocketAddr,
    stop: &Arc<AtomicBool>,
    last_id: &Arc<AtomicU64>,
) -> (Arc<Outcomes>, Vec<thread::JoinHandle<()>>) {
    let outcomes = Arc::new(Outcomes::default());
    let client = |_| {
        let (stop, last_id, outcomes) = (Arc::clone(stop), Arc::clone(last_id), Arc::clone(&outcomes));
        thread::spawn(move || {
            let mut connection: Option<BufReader<TcpStream>> = None;
            while !stop.load(Ordering::Relaxed) {
                let request =
                    request_args(last_id.fetch_add(1, Ordering::Relaxed) + 1, "safe", "free", 1, 700);
                let (sent_at, mut answer) = (Instant::now(), String::new());
                for retry in 0..2 {
                    outcomes.resent.fetch_add(retry, Ordering::Relaxed);
                    let Some(mut stream) =
                        connection.take().or_else(|| TcpStream::connect(address).ok().map(BufReader::new))
                    else {
                        continue;
                    };
                    let sent = stream.get_mut().write_all(&command(&as_strs(&request)));
                    if sent.is_ok() && stream.read_line(&mut answer).is_ok_and(|n| n > 0) {
                        if answer.starts_with('$') {
                            let _ = stream.read_line(&mut answer);
                        }
                        connection = Some(stream);
                        break;
                    }
                }
                match answer.as_bytes().first() {
                    Some(b'$') => {
                        outcomes
                            .answers
                            .lock()
                            .expect("the lock is not poisoned")
                            .push((sent_at, sent_at.elapsed()));
                    }
                    Some(_) => drop(outcomes.refused.fetch_add(1, Ordering::Relaxed)),
                    None => drop(outcomes.lost.fetch_add(1, Ordering::Relaxed)),
                }
                sleep(Duration::from_millis(2));
            }
        })
    };
    let clients = (0..CLIENTS).map(client).collect();
    (outcomes, clients)
}

/// Repeats an operation at an interval until `stop` is set; the thread returns the longest duration.
fn time_repeatedly(
    stop: &Arc<AtomicBool>,
    interval: Duration,
    mut operation: impl FnMut() + Send + 'static,
) -> thread::JoinHandle<Duration> {
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        let mut max = Duration::ZERO;
        while !stop.load(Ordering::Relaxed) {
            let start = Instant::now();
            operation();
            max = max.max(start.elapsed());
            sleep(interval);
        }
        max
    })
}

/// Returns the 99th percentile, ms.
fn p99(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times.get(times.len() * 99 / 100).map_or(f64::NAN, |d| d.as_secs_f64() * 1_000.0)
}

fn main() -> Result<(), AnyError> {
    let upgrades: usize = std::env::args().nth(1).map_or(Ok(20), |n| n.parse())?;
    let dir = tempfile::tempdir()?;
    std::fs::create_dir(dir.path().join("tmp"))?;
    let (agent, counter) = (DiscoveryStandIn::start(), StandIn::counter());
    let mut known = Vec::new();
    for i in 0..3 {
        let backend = StandIn::backend();
        known.push(endpoint(&format!("s-{i}"), backend.address, 1, "SERVING", 0.0));
        thread::spawn(move || {
            while let Some(mut arrived) = backend.next_within(Duration::from_secs(600)) {
                arrived.serve("fine");
            }
        });
    }
    let mut config = config(agent.address, counter.address, &known);
    for class in config["settings"]["profiles"].as_array_mut().ok_or("no classes")? {
        (class["deadline-ms"], class["aim-ms"]) = (json!(DEADLINE_MS), json!(DEADLINE_MS - 100.0));
    }
    let (socket, last_id) = (TcpListener::bind("127.0.0.1:0")?, Arc::new(AtomicU64::new(0)));
    let address = socket.local_addr()?;

    let (mut old, management) = start_gateway(dir.path(), &config, &socket, true)?;
    let current = Arc::new(Mutex::new(management.ok_or("no management address")?));
    wait_until_ready(*current.lock().expect("the lock is not poisoned"));
    let stop = Arc::new(AtomicBool::new(false));
    let (outcomes, clients) = start_load(address, &stop, &last_id);
    let connecting = time_repeatedly(&stop, Duration::from_millis(5), move || {
        let Ok(mut stream) = TcpStream::connect(address) else { return };
        let _ = stream.write_all(&command(&["PING"]));
        let _ = stream.read(&mut [0; 16]);
    });
    let shared = Arc::clone(&current);
    let readiness = time_repeatedly(&stop, Duration::from_millis(100), move || {
        let address = *shared.lock().expect("the lock is not poisoned");
        let _ = call_ready(address);
    });
    sleep(Duration::from_secs(3));
    let (mut upgrade_spans, mut start_times) = (Vec::new(), Vec::new());
    for _ in 0..upgrades {
        let from = Instant::now();
        let (new, management) = start_gateway(dir.path(), &config, &socket, true)?;
        let management = management.ok_or("no management address")?;
        wait_until_ready(management);
        start_times.push(from.elapsed());
        *current.lock().expect("the lock is not poisoned") = management;
        Command::new("kill").args(["-TERM", &old.id().to_string()]).status()?;
        old.0.wait()?;
        old = new;
        upgrade_spans.push((from, Instant::now()));
        sleep(Duration::from_millis(300));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients.into_iter() {
        client.join().expect("the client thread ends");
    }
    let (slowest_connection, slowest_ready) =
        (connecting.join().expect("the thread ends"), readiness.join().expect("the thread ends"));
    let answers = std::mem::take(&mut *outcomes.answers.lock().expect("the lock is not poisoned"));
    let within = |t: &Instant| upgrade_spans.iter().any(|(from, to)| t >= from && t <= to);
    let (during, outside): (Vec<_>, Vec<_>) = answers.into_iter().partition(|(t, _)| within(t));
    let times = |answers: &[(Instant, Duration)]| answers.iter().map(|(_, d)| *d).collect::<Vec<_>>();
    let (p99_during, p99_outside) = (p99(times(&during)), p99(times(&outside)));
    println!("{upgrades} upgrades, {} answers in them, {} beside", during.len(), outside.len());
    println!(
        "p99 in upgrades {p99_during:.2} ms, beside {p99_outside:.2} ms, ratio {:.2}",
        p99_during / p99_outside
    );
    println!(
        "slowest new connection with its first answer {:.1} ms",
        slowest_connection.as_secs_f64() * 1_000.0
    );
    println!("slowest answer to READY {:.1} ms", slowest_ready.as_secs_f64() * 1_000.0);
    println!(
        "ready after {:.0} ms at most",
        start_times.iter().max().map_or(0.0, Duration::as_secs_f64) * 1e3
    );
    let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let (resent, refused, lost) = (count(&outcomes.resent), count(&outcomes.refused), count(&outcomes.lost));
    println!("{resent} sent again, {refused} refused, {lost} lost");
    let bytes = std::fs::read_dir(dir.path().join("tmp"))?
        .flatten()
        .flat_map(|d| std::fs::read_dir(d.path()).into_iter().flatten().flatten())
        .filter_map(|f| f.metadata().ok())
        .map(|m| m.len())
        .sum::<u64>();
    println!("{bytes} bytes under TMPDIR after it");
    drop(old);

    // CPU time per request with a management address relative to that without, in alternating runs.
    let mut costs = [0.0f64, 0.0];
    for _ in 0..ROUNDS {
        for (i, has_management) in [false, true].into_iter().enumerate() {
            let (process, management) = start_gateway(dir.path(), &config, &socket, has_management)?;
            management.map_or_else(|| sleep(Duration::from_millis(500)), wait_until_ready);
            let (stop, pid) = (Arc::new(AtomicBool::new(false)), process.id());
            let before = cpu_us(pid)?;
            let (outcomes, clients) = start_load(address, &stop, &last_id);
            sleep(Duration::from_secs(2));
            stop.store(true, Ordering::Relaxed);
            for client in clients.into_iter() {
                client.join().expect("the client thread ends");
            }
            let answers = outcomes.answers.lock().expect("the lock is not poisoned").len();
            costs[i] += (cpu_us(pid)? - before) / answers as f64 / ROUNDS as f64;
        }
    }
    println!(
        "CPU a request: {:.1} us without, {:.1} us with, ratio {:.2}",
        costs[0],
        costs[1],
        costs[1] / costs[0]
    );
    Ok(())
}
