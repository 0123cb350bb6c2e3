//! Upgrades of the built gateway under load: the platform holds the clients' socket, a second process starts
//! beside the first, and the first is told to end.

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

/// A process of the gateway, with its second address.
struct Process {
    child: Child,
    management: SocketAddr,
    _config: tempfile::NamedTempFile,
}

impl Process {
    fn start(config: &Value, socket: &TcpListener, under: &Path) -> Process {
        let management = unused_loopback_address();
        let mut config = config.clone();
        config["management"] = json!(management.to_string());
        config["listen"] = json!(socket.local_addr().expect("socket address").to_string());
        let mut file = tempfile::NamedTempFile::new().expect("create a temporary file");
        file.write_all(config.to_string().as_bytes()).expect("room");
        let held = OwnedFd::from(socket.try_clone().expect("duplicate the handle"));
        // The socket comes as descriptor 0 here: any number may be named.
        let child = Command::new(env!("CARGO_BIN_EXE_admission-gateway"))
            .env("GW_CONFIG", file.path())
            .env("GW_SOCKET_FD", "0")
            .env("TMPDIR", under)
            .stdin(Stdio::from(held))
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        Process { child, management, _config: file }
    }

    /// What it says to a call; none if it is not there.
    fn say(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.management).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    fn yes(&self, line: &str) {
        let answer = self.say(line).expect("connect to the gateway");
        assert!(answer.starts_with("SUCCESS"), "{line}: {answer}");
    }

    fn ready(&mut self) {
        let start = Instant::now();
        while !self.say("READY").is_some_and(|a| a.starts_with("SUCCESS")) {
            assert!(start.elapsed() < PATIENCE, "never ready");
            assert!(self.child.try_wait().expect("child process").is_none(), "it ended");
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("run kill").success());
    }

    /// Waits for its end after SIGTERM; gives whether it ended well.
    fn ended(&mut self) -> bool {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("child process") {
                return status.success();
            }
            assert!(start.elapsed() < PATIENCE, "it does not end");
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Waits until it has logged a line that holds this.
    fn logged(&mut self, what: &str) {
        let log = self.child.stderr.as_mut().expect("stderr of the gateway");
        let found = BufReader::new(log).lines().map_while(Result::ok).any(|line| line.contains(what));
        assert!(found, "{what} is not logged");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A backend that serves all, and notes what came.
struct Backend {
    address: SocketAddr,
    came: Arc<Mutex<Vec<String>>>,
}

fn backend() -> Backend {
    let stand_in = StandIn::backend();
    let (address, came) = (stand_in.address, Arc::new(Mutex::new(Vec::new())));
    let notes = Arc::clone(&came);
    thread::spawn(move || {
        while let Some(mut arrived) = stand_in.within(Duration::from_secs(120)) {
            if arrived.words.len() > 2 {
                notes.lock().expect("lock not poisoned").push(arrived.words[2].clone());
                arrived.serve("fine");
            }
        }
    });
    Backend { address, came }
}

struct Load {
    stop: Arc<AtomicBool>,
    /// The last number that was given to a request, and that of the request each client is at.
    last: Arc<AtomicU64>,
    at: Arc<Vec<AtomicU64>>,
    clients: Vec<thread::JoinHandle<u64>>,
}

/// One request on a connection: the answer, or none if the connection ended before any of it.
fn ask(stream: &mut BufReader<TcpStream>, words: &[&str]) -> Option<String> {
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
    /// Clients that ask one thing after the other, on connections that they keep until they are closed. Each
    /// gives how many answers it had; one that is neither served nor refused ends it.
    fn start(at: SocketAddr, clients: u64) -> Load {
        let (stop, last) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let each: Arc<Vec<AtomicU64>> = Arc::new((0..clients).map(|_| AtomicU64::new(0)).collect());
        let client = |me: u64| {
            let (stop, last, each) = (Arc::clone(&stop), Arc::clone(&last), Arc::clone(&each));
            thread::spawn(move || {
                let (mut answers, mut open) = (0, None::<BufReader<TcpStream>>);
                while !stop.load(Ordering::Relaxed) {
                    let id = last.fetch_add(1, Ordering::SeqCst) + 1;
                    each[me as usize].store(id, Ordering::SeqCst);
                    let request = call(id, "unsafe", "free", 1, 8000);
                    // A close that crosses a request: it is sent once more, on a new connection.
                    let mut answer = None;
                    for _ in 0..2 {
                        let mut stream = open.take().unwrap_or_else(|| {
                            let stream = TcpStream::connect(at).expect("connect to the inherited listener");
                            stream.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
                            BufReader::new(stream)
                        });
                        answer = ask(&mut stream, &words(&request));
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
        Load { stop, last, at: each, clients }
    }

    /// The last number by now. Requests that begin later have greater ones.
    fn last(&self) -> u64 {
        self.last.load(Ordering::SeqCst)
    }

    /// Waits until all requests up to a number are over.
    fn over(&self, number: u64) {
        let start = Instant::now();
        while self.at.iter().any(|at| at.load(Ordering::SeqCst) <= number) {
            assert!(start.elapsed() < PATIENCE, "the load does not go on");
            thread::sleep(Duration::from_millis(2));
        }
    }

    fn end(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let answers = self.clients.into_iter().map(|c| c.join().expect("no request is lost")).sum();
        (self.last.load(Ordering::Relaxed), answers)
    }
}

struct World {
    socket: TcpListener,
    under: tempfile::TempDir,
    config: Value,
    backends: Vec<Backend>,
    _others: (Agent, StandIn),
}

/// Deadlines are short, so that a process that is told to end does so soon.
fn world() -> World {
    let (agent, counter) = (Agent::start(), StandIn::counter());
    let backends: Vec<Backend> = (0..3).map(|_| backend()).collect();
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
    let under = tempfile::tempdir().expect("create a temporary directory");
    World { socket, under, config, backends, _others: (agent, counter) }
}

impl World {
    fn start(&self) -> Process {
        Process::start(&self.config, &self.socket, self.under.path())
    }

    fn at(&self) -> SocketAddr {
        self.socket.local_addr().expect("socket address")
    }

    /// All that came to backends came once; gives how much.
    fn each_once(&self) -> usize {
        let mut seen = HashSet::new();
        for backend in &self.backends {
            for id in backend.came.lock().expect("lock not poisoned").iter() {
                assert!(seen.insert(id.clone()), "{id} came twice");
            }
        }
        seen.len()
    }
}

#[test]
fn upgrades_in_a_row_lose_nothing_double_nothing_and_keep_bans() {
    let world = world();
    let mut old = world.start();
    old.ready();
    let load = Load::start(world.at(), 4);
    // Requests that begin after its yes and are over before the call back: none of them may come.
    let mut banned: HashMap<usize, Vec<(u64, u64)>> = HashMap::new();
    for round in 0..6usize {
        let id = round % 3;
        let mut new = world.start();
        // In turn: told before the upgrade, in the middle of it, and to the old or the new process.
        if round % 2 == 0 {
            old.yes(&format!("DISABLE s-{id}"));
        }
        let early = load.last();
        new.ready();
        if round % 2 == 1 {
            new.yes(&format!("DISABLE s-{id}"));
        }
        let from = if round % 2 == 0 { early } else { load.last() };
        old.signal("-TERM");
        assert!(old.ended(), "round {round}: the old process ends well");
        let to = load.last() + 8;
        load.over(to);
        banned.entry(id).or_default().push((from, to));
        new.yes(&format!("ENABLE s-{id}"));
        old = new;
    }
    let (asked, answers) = load.end();
    assert_eq!(asked, answers);
    assert!(world.each_once() > 100, "little came");
    for (id, spans) in banned {
        for request in world.backends[id].came.lock().expect("lock not poisoned").iter() {
            let number = u64::from_str_radix(request, 16).expect("number");
            let in_ban = spans.iter().any(|(from, to)| number > *from && number <= *to);
            assert!(!in_ban, "{request} came to s-{id} while it was banned");
        }
    }
}

#[test]
fn a_new_process_that_fails_to_start_changes_nothing() {
    let mut world = world();
    let mut old = world.start();
    old.ready();
    let load = Load::start(world.at(), 2);
    let good = world.config.clone();
    world.config["settings"]["policy-limits"]["max-attempts"] = json!(0);
    let mut broken = world.start();
    assert!(!broken.ended(), "it must not start");
    // One that hangs before it is ready, and is killed.
    world.config = good;
    let mut hangs = world.start();
    hangs.signal("-STOP");
    old.yes("DISABLE s-0");
    old.yes("READY");
    hangs.child.kill().expect("child process");
    hangs.child.wait().expect("child process");
    old.yes("ENABLE s-0");
    let (asked, answers) = load.end();
    assert_eq!(asked, answers);
    world.each_once();
}

#[test]
fn a_process_that_is_killed_leaves_its_part_and_its_bans_to_the_other() {
    let world = world();
    let mut old = world.start();
    old.ready();
    let mut new = world.start();
    new.ready();
    old.logged("1 other processes");
    old.yes("DISABLE s-1");
    old.child.kill().expect("child process");
    old.child.wait().expect("child process");
    new.logged("0 other processes");
    assert!(new.say("DISABLE s-1").is_some_and(|a| a.contains("already")));
    // A book that is cut short is a start without it.
    let folder = std::fs::read_dir(world.under.path()).expect("read").flatten().next().expect("one").path();
    let book = std::fs::read(folder.join("book")).expect("it is there");
    std::fs::write(folder.join("book"), &book[..book.len() / 2]).expect("write the file");
    let mut third = world.start();
    third.ready();
}
