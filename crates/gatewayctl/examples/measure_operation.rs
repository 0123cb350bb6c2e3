//! Measures upgrades of a gateway under a steady load, as ratios in one run:
//! `cargo run --release --example measure_operation [UPGRADES]`, after `cargo build --release`.
//!
//! Clients ask one request after the other on connections that they keep; somebody opens a new connection
//! each 5 ms, and somebody calls `READY` each 100 ms. Then the same load on a gateway with a second address
//! and on one without, in turn.

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
const ROUNDS: usize = 5;

/// Starts a gateway on a socket; gives its management address, where it has one.
fn gateway(
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

fn ready(at: SocketAddr) -> Option<bool> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(b"READY\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer.starts_with("SUCCESS"))
}

fn until_ready(at: SocketAddr) {
    while ready(at) != Some(true) {
        sleep(Duration::from_millis(5));
    }
}

/// What a load has met.
#[derive(Default)]
struct Seen {
    /// When each request was asked, and how long its answer took.
    answers: Mutex<Vec<(Instant, Duration)>>,
    refused: AtomicU64,
    /// Requests that were sent once more, as their connection had been closed.
    again: AtomicU64,
    lost: AtomicU64,
}

/// Clients until told to stop.
fn load(
    at: SocketAddr,
    stop: &Arc<AtomicBool>,
    last: &Arc<AtomicU64>,
) -> (Arc<Seen>, Vec<thread::JoinHandle<()>>) {
    let seen = Arc::new(Seen::default());
    let client = |_| {
        let (stop, last, seen) = (Arc::clone(stop), Arc::clone(last), Arc::clone(&seen));
        thread::spawn(move || {
            let mut open: Option<BufReader<TcpStream>> = None;
            while !stop.load(Ordering::Relaxed) {
                let request = request_args(last.fetch_add(1, Ordering::Relaxed) + 1, "safe", "free", 1, 700);
                let (asked, mut answer) = (Instant::now(), String::new());
                for tries in 0..2 {
                    seen.again.fetch_add(tries, Ordering::Relaxed);
                    let Some(mut stream) =
                        open.take().or_else(|| TcpStream::connect(at).ok().map(BufReader::new))
                    else {
                        continue;
                    };
                    let sent = stream.get_mut().write_all(&command(&as_strs(&request)));
                    if sent.is_ok() && stream.read_line(&mut answer).is_ok_and(|n| n > 0) {
                        if answer.starts_with('$') {
                            let _ = stream.read_line(&mut answer);
                        }
                        open = Some(stream);
                        break;
                    }
                }
                match answer.as_bytes().first() {
                    Some(b'$') => {
                        seen.answers.lock().expect("unpoisoned").push((asked, asked.elapsed()));
                    }
                    Some(_) => drop(seen.refused.fetch_add(1, Ordering::Relaxed)),
                    None => drop(seen.lost.fetch_add(1, Ordering::Relaxed)),
                }
                sleep(Duration::from_millis(2));
            }
        })
    };
    let clients = (0..CLIENTS).map(client).collect();
    (seen, clients)
}

/// The slowest of what is done again and again until told to stop.
fn slowest(
    stop: &Arc<AtomicBool>,
    each: Duration,
    mut what: impl FnMut() + Send + 'static,
) -> thread::JoinHandle<Duration> {
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        let mut most = Duration::ZERO;
        while !stop.load(Ordering::Relaxed) {
            let start = Instant::now();
            what();
            most = most.max(start.elapsed());
            sleep(each);
        }
        most
    })
}

fn p99(mut all: Vec<Duration>) -> f64 {
    all.sort_unstable();
    all.get(all.len() * 99 / 100).map_or(f64::NAN, |d| d.as_secs_f64() * 1_000.0)
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
    let (socket, last) = (TcpListener::bind("127.0.0.1:0")?, Arc::new(AtomicU64::new(0)));
    let at = socket.local_addr()?;

    let (mut old, second) = gateway(dir.path(), &config, &socket, true)?;
    let now = Arc::new(Mutex::new(second.ok_or("a second address")?));
    until_ready(*now.lock().expect("unpoisoned"));
    let stop = Arc::new(AtomicBool::new(false));
    let (seen, clients) = load(at, &stop, &last);
    let connecting = slowest(&stop, Duration::from_millis(5), move || {
        let Ok(mut stream) = TcpStream::connect(at) else { return };
        let _ = stream.write_all(&command(&["PING"]));
        let _ = stream.read(&mut [0; 16]);
    });
    let asked = Arc::clone(&now);
    let readiness = slowest(&stop, Duration::from_millis(100), move || {
        let at = *asked.lock().expect("unpoisoned");
        let _ = ready(at);
    });
    sleep(Duration::from_secs(3));
    let (mut spans, mut starts) = (Vec::new(), Vec::new());
    for _ in 0..upgrades {
        let from = Instant::now();
        let (new, second) = gateway(dir.path(), &config, &socket, true)?;
        let second = second.ok_or("a second address")?;
        until_ready(second);
        starts.push(from.elapsed());
        *now.lock().expect("unpoisoned") = second;
        Command::new("kill").args(["-TERM", &old.id().to_string()]).status()?;
        old.0.wait()?;
        old = new;
        spans.push((from, Instant::now()));
        sleep(Duration::from_millis(300));
    }
    stop.store(true, Ordering::Relaxed);
    for c in clients.into_iter() {
        c.join().expect("a client");
    }
    let (gap, slow) = (connecting.join().expect("a thread"), readiness.join().expect("a thread"));
    let all = std::mem::take(&mut *seen.answers.lock().expect("unpoisoned"));
    let within = |t: &Instant| spans.iter().any(|(from, to)| t >= from && t <= to);
    let (during, beside): (Vec<_>, Vec<_>) = all.into_iter().partition(|(t, _)| within(t));
    let times = |all: &[(Instant, Duration)]| all.iter().map(|(_, d)| *d).collect::<Vec<_>>();
    let (a, b) = (p99(times(&during)), p99(times(&beside)));
    println!("{upgrades} upgrades, {} answers in them, {} beside", during.len(), beside.len());
    println!("p99 in upgrades {a:.2} ms, beside {b:.2} ms, ratio {:.2}", a / b);
    println!("slowest new connection with its first answer {:.1} ms", gap.as_secs_f64() * 1_000.0);
    println!("slowest answer to READY {:.1} ms", slow.as_secs_f64() * 1_000.0);
    println!("ready after {:.0} ms at most", starts.iter().max().map_or(0.0, Duration::as_secs_f64) * 1e3);
    let count = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let (again, refused, lost) = (count(&seen.again), count(&seen.refused), count(&seen.lost));
    println!("{again} sent again, {refused} refused, {lost} lost");
    let bytes = std::fs::read_dir(dir.path().join("tmp"))?
        .flatten()
        .flat_map(|d| std::fs::read_dir(d.path()).into_iter().flatten().flatten())
        .filter_map(|f| f.metadata().ok())
        .map(|m| m.len())
        .sum::<u64>();
    println!("{bytes} bytes under TMPDIR after it");
    drop(old);

    // The cost of a request with a second address over that without, in turn.
    let mut costs = [0.0f64, 0.0];
    for _ in 0..ROUNDS {
        for (i, second) in [false, true].into_iter().enumerate() {
            let (process, address) = gateway(dir.path(), &config, &socket, second)?;
            address.map_or_else(|| sleep(Duration::from_millis(500)), until_ready);
            let (stop, pid) = (Arc::new(AtomicBool::new(false)), process.id());
            let before = cpu_us(pid)?;
            let (seen, clients) = load(at, &stop, &last);
            sleep(Duration::from_secs(2));
            stop.store(true, Ordering::Relaxed);
            for c in clients.into_iter() {
                c.join().expect("a client");
            }
            let answers = seen.answers.lock().expect("unpoisoned").len();
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
