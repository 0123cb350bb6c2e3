//! Upgrades of the built gateway under load: the platform holds the listening socket, a second process starts
//! beside the first, and the first gets SIGTERM.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use gateway_rig::loopback_address::unused_loopback_address;
use gateway_rig::*;
use serde_json::{json, Value};

/// A gateway process and its management address. It is killed on drop.
struct GatewayProcess {
    child: Child,
    management: SocketAddr,
    _config: tempfile::NamedTempFile,
}

impl GatewayProcess {
    fn start(config: &Value, socket: &TcpListener, state_parent: &Path) -> GatewayProcess {
        let management = unused_loopback_address();
        let mut config = config.clone();
        config["management"] = json!(management.to_string());
        config["listen"] = json!(socket.local_addr().expect("socket address").to_string());
        let mut file = tempfile::NamedTempFile::new().expect("create a temporary file");
        file.write_all(config.to_string().as_bytes()).expect("write the file");
        let inherited = OwnedFd::from(socket.try_clone().expect("duplicate the handle"));
        // The socket is passed as descriptor 0; `GW_SOCKET_FD` may name any number.
        let child = Command::new(env!("CARGO_BIN_EXE_admission-gateway"))
            .env("GW_CONFIG", file.path())
            .env("GW_SOCKET_FD", "0")
            .env("TMPDIR", state_parent)
            .stdin(Stdio::from(inherited))
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("start the gateway");
        GatewayProcess { child, management, _config: file }
    }

    /// Sends a management command; returns the response, or `None` if the exchange fails.
    fn send_command(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.management).ok()?;
        stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    /// Sends a management command that must succeed.
    fn expect_success(&self, line: &str) {
        let answer = self.send_command(line).expect("connect to the gateway");
        assert!(answer.starts_with("SUCCESS"), "{line}: {answer}");
    }

    /// Waits until `READY` succeeds.
    fn wait_until_ready(&mut self) {
        let start = Instant::now();
        while !self.send_command("READY").is_some_and(|a| a.starts_with("SUCCESS")) {
            assert!(start.elapsed() < MESSAGE_TIMEOUT, "the process never becomes ready");
            assert!(self.child.try_wait().expect("child process").is_none(), "the process exited");
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("run kill").success());
    }

    /// Waits until the process exits; returns whether it exited successfully.
    fn wait_for_exit(&mut self) -> bool {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("child process") {
                return status.success();
            }
            assert!(start.elapsed() < MESSAGE_TIMEOUT, "the process does not exit");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits for a log line that contains a text.
    fn wait_for_log(&mut self, text: &str) {
        let log = self.child.stderr.as_mut().expect("stderr of the gateway");
        let found = BufReader::new(log).lines().map_while(Result::ok).any(|line| line.contains(text));
        assert!(found, "no log line contains {text:?}");
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A backend that serves every request and records its ID.
struct Backend {
    address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
}

fn start_backend() -> Backend {
    let stand_in = StandIn::backend();
    let (address, received) = (stand_in.address, Arc::new(Mutex::new(Vec::new())));
    let recorded = Arc::clone(&received);
    thread::spawn(move || {
        while let Some(mut arrived) = stand_in.next_within(Duration::from_secs(120)) {
            if arrived.words.len() > 2 {
                recorded.lock().expect("lock not poisoned").push(arrived.words[2].clone());
                arrived.serve("fine");
            }
        }
    });
    Backend { address, received }
}

/// Clients that each send requests one after another, with one thread per client.
struct Load {
    stop: Arc<AtomicBool>,
    /// ID of the request that was started last.
    last: Arc<AtomicU64>,
    /// ID of the current request of each client.
    current: Arc<Vec<AtomicU64>>,
    clients: Vec<thread::JoinHandle<u64>>,
}

/// Sends a request on a connection; returns the response, or `None` if the connection ended before it.
fn send_request(stream: &mut BufReader<TcpStream>, words: &[&str]) -> Option<String> {
    stream.get_mut().write_all(&command(words)).ok()?;
    let mut line = String::new();
    if stream.read_line(&mut line).ok()? == 0 {
        return None;
    }
    if line.starts_with('$') {
        let mut value = String::new();
        stream.read_line(&mut value).ok()?;
        line = value;
    }
    Some(line.trim_end().to_string())
}

impl Load {
    /// Starts clients that keep each connection until the gateway closes it. Each thread returns its number
    /// of responses, and panics if a request is neither served nor rejected.
    fn start(address: SocketAddr, clients: u64) -> Load {
        let (stop, last) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let current: Arc<Vec<AtomicU64>> = Arc::new((0..clients).map(|_| AtomicU64::new(0)).collect());
        let client = |index: u64| {
            let (stop, last, current) = (Arc::clone(&stop), Arc::clone(&last), Arc::clone(&current));
            thread::spawn(move || {
                let (mut answers, mut open) = (0, None::<BufReader<TcpStream>>);
                while !stop.load(Ordering::Relaxed) {
                    let id = last.fetch_add(1, Ordering::SeqCst) + 1;
                    current[index as usize].store(id, Ordering::SeqCst);
                    let request = request_args(id, "unsafe", "free", 1, 8000);
                    // If the gateway closed the connection meanwhile, the request is sent once more on a new
                    // one.
                    let mut answer = None;
                    for _ in 0..2 {
                        let mut stream = open.take().unwrap_or_else(|| {
                            let stream =
                                TcpStream::connect(address).expect("connect to the inherited listener");
                            stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
                            BufReader::new(stream)
                        });
                        answer = send_request(&mut stream, &as_strs(&request));
                        if answer.is_some() {
                            open = Some(stream);
                            break;
                        }
                    }
                    let answer = answer.expect("each request is answered");
                    assert!(answer == "fine" || answer.starts_with("-BUSY"), "{answer}");
                    answers += 1;
                    thread::sleep(Duration::from_millis(2));
                }
                answers
            })
        };
        let clients = (0..clients).map(client).collect();
        Load { stop, last, current, clients }
    }

    /// Returns the ID of the request started last. Requests that start later have greater IDs.
    fn last_id(&self) -> u64 {
        self.last.load(Ordering::SeqCst)
    }

    /// Waits until all requests with IDs up to `id` are finished.
    fn wait_until_finished(&self, id: u64) {
        let start = Instant::now();
        while self.current.iter().any(|current| current.load(Ordering::SeqCst) <= id) {
            assert!(start.elapsed() < MESSAGE_TIMEOUT, "the clients make no progress");
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Stops the clients; returns the numbers of requests and of responses.
    fn finish(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let answers = self.clients.into_iter().map(|c| c.join().expect("no request is lost")).sum();
        (self.last.load(Ordering::Relaxed), answers)
    }
}

/// The listening socket, the stand-ins and the configuration that all processes of a gateway share.
struct UpgradeRig {
    socket: TcpListener,
    state_parent: tempfile::TempDir,
    config: Value,
    backends: Vec<Backend>,
    _stand_ins: (DiscoveryStandIn, StandIn),
}

/// Prepares the stand-ins and the configuration. Deadlines are short, so that a process exits soon after
/// SIGTERM.
fn upgrade_rig() -> UpgradeRig {
    let (agent, counter) = (DiscoveryStandIn::start(), StandIn::counter());
    let backends: Vec<Backend> = (0..3).map(|_| start_backend()).collect();
    let known: Vec<Value> = (0..)
        .zip(&backends)
        .map(|(i, b)| endpoint(&format!("s-{i}"), b.address, 1, "SERVING", 0.0))
        .collect();
    let mut config = config(agent.address, counter.address, &known);
    for class in config["settings"]["profiles"].as_array_mut().expect("JSON array") {
        class["deadline-ms"] = json!(700.0);
        class["aim-ms"] = json!(600.0);
    }
    let socket = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let state_parent = tempfile::tempdir().expect("create a temporary directory");
    UpgradeRig { socket, state_parent, config, backends, _stand_ins: (agent, counter) }
}

impl UpgradeRig {
    fn start(&self) -> GatewayProcess {
        GatewayProcess::start(&self.config, &self.socket, self.state_parent.path())
    }

    /// Returns the address of the listening socket.
    fn address(&self) -> SocketAddr {
        self.socket.local_addr().expect("socket address")
    }

    /// Asserts that no request reached the backends twice; returns the number of requests.
    fn assert_no_duplicates(&self) -> usize {
        let mut seen = HashSet::new();
        for backend in &self.backends {
            for id in backend.received.lock().expect("lock not poisoned").iter() {
                assert!(seen.insert(id.clone()), "request {id} arrived twice");
            }
        }
        seen.len()
    }
}

#[test]
fn upgrades_lose_or_duplicate_no_requests_and_keep_bans() {
    let rig = upgrade_rig();
    let mut old = rig.start();
    old.wait_until_ready();
    let load = Load::start(rig.address(), 4);
    // ID ranges of requests that start after a ban took effect and finish before it is lifted: none of them
    // may reach the banned backend.
    let mut banned: HashMap<usize, Vec<(u64, u64)>> = HashMap::new();
    for round in 0..6usize {
        let id = round % 3;
        let mut new = rig.start();
        // The ban is set alternately before the upgrade on the old process, and during it on the new one.
        if round % 2 == 0 {
            old.expect_success(&format!("DISABLE s-{id}"));
        }
        let last_before = load.last_id();
        new.wait_until_ready();
        if round % 2 == 1 {
            new.expect_success(&format!("DISABLE s-{id}"));
        }
        let from = if round % 2 == 0 { last_before } else { load.last_id() };
        old.signal("-TERM");
        assert!(old.wait_for_exit(), "round {round}: the old process failed");
        let to = load.last_id() + 8;
        load.wait_until_finished(to);
        banned.entry(id).or_default().push((from, to));
        new.expect_success(&format!("ENABLE s-{id}"));
        old = new;
    }
    let (requests, answers) = load.finish();
    assert_eq!(requests, answers);
    assert!(rig.assert_no_duplicates() > 100, "too few requests arrived");
    for (id, ranges) in banned {
        for request in rig.backends[id].received.lock().expect("lock not poisoned").iter() {
            let request_id = u64::from_str_radix(request, 16).expect("number");
            let in_ban = ranges.iter().any(|(from, to)| request_id > *from && request_id <= *to);
            assert!(!in_ban, "request {request} reached s-{id} during its ban");
        }
    }
}

#[test]
fn failed_start_of_new_process_does_not_affect_old() {
    let mut rig = upgrade_rig();
    let mut old = rig.start();
    old.wait_until_ready();
    let load = Load::start(rig.address(), 2);
    let good = rig.config.clone();
    rig.config["settings"]["policy-limits"]["max-attempts"] = json!(0);
    let mut broken = rig.start();
    assert!(!broken.wait_for_exit(), "the start must fail");
    // A process that hangs before it is ready and is killed.
    rig.config = good;
    let mut hanging = rig.start();
    hanging.signal("-STOP");
    old.expect_success("DISABLE s-0");
    old.expect_success("READY");
    hanging.child.kill().expect("child process");
    hanging.child.wait().expect("child process");
    old.expect_success("ENABLE s-0");
    let (requests, answers) = load.finish();
    assert_eq!(requests, answers);
    rig.assert_no_duplicates();
}

#[test]
fn remaining_process_takes_over_share_and_bans() {
    let rig = upgrade_rig();
    let mut old = rig.start();
    old.wait_until_ready();
    let mut new = rig.start();
    new.wait_until_ready();
    old.wait_for_log("1 other processes");
    old.expect_success("DISABLE s-1");
    old.child.kill().expect("child process");
    old.child.wait().expect("child process");
    new.wait_for_log("0 other processes");
    assert!(new.send_command("DISABLE s-1").is_some_and(|a| a.contains("already")));
    // A truncated `book` file does not keep a process from starting.
    let directory = std::fs::read_dir(rig.state_parent.path())
        .expect("read the directory")
        .flatten()
        .next()
        .expect("state directory")
        .path();
    let book = std::fs::read(directory.join("book")).expect("read the book file");
    std::fs::write(directory.join("book"), &book[..book.len() / 2]).expect("write the file");
    let mut third = rig.start();
    third.wait_until_ready();
}

/// Guards against running a request twice that comes to the new process of an upgrade after its client has
/// left the old one.
#[test]
fn request_that_comes_again_to_new_process_is_not_forwarded_twice() {
    let mut rig = upgrade_rig();
    let backend = StandIn::backend();
    rig.config["known"]["endpoints"] = json!([endpoint("s-0", backend.address, 1, "SERVING", 0.0)]);
    for class in rig.config["settings"]["profiles"].as_array_mut().expect("JSON array") {
        class["deadline-ms"] = json!(8_000.0);
    }
    let request = command(&as_strs(&request_args(1, "unsafe", "free", 1, 8000)));
    let mut old = rig.start();
    old.wait_until_ready();
    let mut first = Client::connect(rig.address());
    first.write(&request);
    let arrived = backend.next();
    let mut new = rig.start();
    new.wait_until_ready();
    old.wait_for_log("1 other processes");
    // From now on the new process accepts all connections.
    old.signal("-TERM");
    std::thread::sleep(Duration::from_millis(200));
    drop(first);
    arrived.wait_until_closed();
    let mut second = Client::connect(rig.address());
    second.write(&request);
    assert!(second.read().starts_with("-ERR"));
    assert!(backend.idle(), "forwarded twice");
    // The old process may have ended in the meantime.
    assert!(old.wait_for_exit());
    new.wait_for_log("0 other processes");
    let mut third = Client::connect(rig.address());
    third.write(&request);
    assert!(third.read().starts_with("-ERR"));
    assert!(backend.idle(), "forwarded twice");
}
