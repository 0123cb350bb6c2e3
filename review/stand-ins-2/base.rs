//! What the cases share: the record, the configuration, the gateway process, discovery, the counter, backends
//! and clients. Standard library only. Every address is a loopback address.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, _: u64, _: u64, _: u64) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
const SET_DEATH_SIGNAL: i32 = 1;

/// The processes that this run has started and not ended yet.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Starts a process that ends with this one at the latest.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    unsafe {
        command.pre_exec(|| {
            prctl(SET_DEATH_SIGNAL, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    let child = command.spawn()?;
    STARTED.lock().unwrap().push(child.id() as i32);
    Ok(child)
}

/// Kills a process that this run has started, and waits for its end.
pub fn end_process(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|pid| *pid != child.id() as i32);
}

/// Kills all processes that this run has started, and ends with `code`.
fn exit(code: i32) -> ! {
    for pid in STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).drain(..) {
        unsafe {
            kill(pid, SIGKILL);
            waitpid(pid, std::ptr::null_mut(), 0);
        }
    }
    std::process::exit(code);
}

/// Ends the case with 2: it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    exit(2);
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The record of a run: one line for each thing that was sent, answered, run or decided.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {text}", self.now_ms());
    }
}

/// What a case is given, and what it has started.
pub struct Case {
    pub record: Arc<Record>,
    /// Root of the repository.
    pub root: PathBuf,
    /// A folder of this run's own.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// The `run` line of the deploy file.
    pub run: String,
    /// The second address of gateways that are started, for operators' calls.
    pub management: Option<SocketAddr>,
}

impl Case {
    /// Reads `ROOT FOLDER RECORD` and `$TROUBLE`.
    pub fn new(args: &[String]) -> Case {
        let [root, folder, record] = args else { cannot_run("ROOT FOLDER RECORD are wanted") };
        let file = File::create(record).unwrap_or_else(|e| cannot_run(&format!("{record}: {e}")));
        let root = PathBuf::from(root);
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \""));
        let run = run.and_then(|rest| rest.split('"').next()).unwrap_or_else(|| cannot_run("no run line"));
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Arc::new(Record { file: Mutex::new(file), start: Instant::now() });
        record.line(&format!("trouble: {trouble}; run line: {run}"));
        Case { record, folder: PathBuf::from(folder), trouble, run: run.to_string(), management: None, root }
    }

    /// Prints and records the verdict, and ends with it.
    pub fn end(&self, broken: bool, why: &str) -> ! {
        let verdict = if broken { "BROKEN" } else { "held" };
        self.record.line(&format!("verdict: {verdict}: {why}"));
        println!("{verdict}: {why}");
        exit(i32::from(broken));
    }
}

/// An address with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap()
}

/// A gateway process, killed when this is dropped.
pub struct Gateway {
    pub child: Child,
}

impl Gateway {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Resident memory, KiB; `None` if the process has ended.
    pub fn resident_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Whether the process has ended, and how.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        end_process(&mut self.child);
    }
}

impl Case {
    /// Starts a gateway with the run line and further arguments.
    pub fn gateway(&self, process: &str, config: &Path, arguments: &str) -> Gateway {
        let tmp = self.folder.join(format!("tmp-{process}"));
        let _ = std::fs::create_dir_all(&tmp);
        let log = self.folder.join(format!("{process}.log"));
        let out = File::create(&log).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("{} {arguments}", self.run)).current_dir(&self.root);
        command.env("GW_CONFIG", config).env("TMPDIR", &tmp).env_remove("GW_MANAGEMENT");
        command.env_remove("GW_SOCKET_FD").stdin(Stdio::null());
        command.stdout(out.try_clone().unwrap()).stderr(out);
        if let Some(management) = self.management {
            command.env("GW_MANAGEMENT", management.to_string());
        }
        let child = spawn(&mut command).unwrap_or_else(|e| cannot_run(&format!("{process}: {e}")));
        self.record.line(&format!("platform: starts {process}, process {}", child.id()));
        Gateway { child }
    }

    /// Waits until a gateway answers `PING` with yes.
    pub fn wait_ready(&self, address: SocketAddr) {
        let until = Instant::now() + ms(20_000);
        while Instant::now() < until {
            if let Ok(mut client) = Client::open(address) {
                let _ = client.stream.set_read_timeout(Some(ms(500)));
                if client.send(b"*1\r\n$4\r\nPING\r\n").is_ok()
                    && matches!(client.read(), Ok(Answer::Line(line)) if line == "+PONG")
                {
                    self.record.line(&format!("platform: {address} says yes"));
                    return;
                }
            }
            thread::sleep(ms(20));
        }
        cannot_run("no gateway became ready");
    }
}

/// Calls a management address, and returns its answer.
pub fn manage(address: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ms(1_500)))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(line.trim_end().to_string())
}

/// The settings of a small deployment.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub me: u32,
    pub gateways: u32,
    /// Of `basket-price`, `sale-record` and `card-charge`, ms.
    pub deadlines_ms: [u32; 3],
    /// The three plans: quota rate, store, ceiling rate, ceiling depth, slack.
    pub chain: [f64; 5],
    pub known: String,
    /// `push` or `ask`.
    pub lists: &'static str,
}

impl Config {
    pub fn write(&self, path: &Path) {
        let profile = |name: &str, effect: &str, credit: u32, aim: u32, late: f64, deadline: u32| {
            format!(
                r#"{{"name":"{name}","effect":"{effect}","group":"cell","window-ms":5000.0,"streaming":false,
"aim-ms":{aim}.0,"deadline-ms":{deadline}.0,"credit":{credit}.0,"late-worth":{late}}}"#
            )
        };
        let plan = |name: &str, rate: f64, store: f64, hard: f64, depth: f64, slack: f64, factor: f64| {
            format!(
                r#"{{"name":"{name}","quota-rate":{rate:.1},"store-size":{store:.1},"concurrency":0,
"hard-rate":{hard:.2},"cap-depth":{depth:.2},"hard-slack":{slack:.1},"over-cost":0.8,"over-worth":0.0,
"value-factor":{factor}}}"#
            )
        };
        let [rate, store, hard, depth, slack] = self.chain;
        let text = format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","counter":"{}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"known":{{"index":1,"snapshot":true,"endpoints":{}}},
"settings":{{"me":{},"group-size":{},"zone":0,"zones":["ub-room"],"granularity-ms":4.0,"registry-mode":"{}",
"domain-type":"gate","weight-source":"none","tier":0,"tiers":["till-servers"],"flavors":["gen2","gen1"],
"feedback":{{"source":"none","fields":[]}},"clients":{{"marks-retry":false}},
"family-info":{{"shared-counter":true,"count-fee":0.005,"count-wait-ms":30.0,"meter-period-ms":0.0,
"peer-intake":0.0,"settles":true,"units-top":8}},
"contract":{{"answer-slack-ms":16.0,"ask-within-ms":10000.0,"overload-for-ms":3000.0,"start-capacity":0.19,
"stop-sending-within-ms":500.0,"tip-multiple":3.0,"warm-up-ms":16000.0}},
"policy-limits":{{"cancel":true,"connect-timeout-ms":250.0,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,
"idle-close-ms":15000.0,"max-attempts":5,"max-open":30000,"max-retry-after-ms":2000.0,"max-streams":32,
"may-tell":false,"probing":true,"retry-after":false,"second-copies":true}},
"prices":{{"connection":0.0,"cross-zone":0.0,"handshake":0.0,"late-fail":0.05,"moves":0.0,"origin":0.0,
"peer":0.0,"probe":0.01,"registry-mode":0.0,"waste":0.08}},
"profiles":[{},{},{}],
"tariffs":[{},{},{}]}}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.counter,
            unix_ms() as u64 ^ 0x5e5e_1234,
            self.memory_mb,
            self.sockets,
            self.known,
            self.me,
            self.gateways,
            self.lists,
            profile("basket-price", "read_like", 3, 2_000, 0.2, self.deadlines_ms[0]),
            profile("sale-record", "idempotency_key", 3, 2_000, 0.0, self.deadlines_ms[1]),
            profile("card-charge", "non_idempotent", 9, 2_000, 0.0, self.deadlines_ms[2]),
            plan("basic", 1.6, 8.0, 0.0, 0.0, 0.0, 0.88),
            plan("standard", 4.0, 20.0, 0.0, 0.0, 0.0, 1.3),
            plan("chain", rate, store, hard, depth, slack, 1.4),
        );
        // Replaced in one step, as an operator should.
        let part = path.with_extension("part");
        std::fs::write(&part, text).and_then(|()| std::fs::rename(&part, path)).unwrap();
    }
}

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0
}

/// A backend on the list.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    version: u64,
}

impl Listed {
    pub fn new(name: &str, address: SocketAddr, group: u32) -> Listed {
        Listed { name: name.to_string(), address, group, status: "SERVING", version: 1 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"ub-room","type":"gen2","group":{},"status":"{}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address, self.group, self.status
        )
    }
}

pub fn list_json(list: &[Listed]) -> String {
    let lines: Vec<String> = list.iter().map(Listed::json).collect();
    format!("[{}]", lines.join(","))
}

/// The discovery service: whole lists, and watches.
pub struct Discovery {
    pub address: SocketAddr,
    list: Mutex<(u64, Vec<Listed>)>,
    changed: Condvar,
}

impl Discovery {
    pub fn start(list: Vec<Listed>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = Arc::new(Discovery { address, list: Mutex::new((1, list)), changed: Condvar::new() });
        let serving = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = Arc::clone(&serving);
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines();
        loop {
            let call = lines.next()?.ok()?;
            while !lines.next()?.ok()?.is_empty() {}
            let query =
                call.split_whitespace().nth(1)?.split_once('?').map_or("", |(_, query)| query).to_string();
            let value = |key: &str| {
                query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .find(|(k, _)| *k == key)?
                    .1
                    .parse::<u64>()
                    .ok()
            };
            let mut list = self.list.lock().unwrap();
            let after = value("after");
            if let Some(after) = after {
                let until = Instant::now() + ms(value("wait_ms").unwrap_or(0).min(60_000));
                while list.0 <= after && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    list = self.changed.wait_timeout(list, left).unwrap().0;
                }
            }
            let lines_told: Vec<Listed> = list
                .1
                .iter()
                .filter(|listed| after.is_none_or(|after| listed.version > after))
                .cloned()
                .collect();
            let body = format!(
                r#"{{"index":{},"snapshot":{},"endpoints":{}}}"#,
                list.0,
                after.is_none(),
                list_json(&lines_told)
            );
            drop(list);
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            out.write_all((head + &body).as_bytes()).ok()?;
        }
    }
}

/// The counter. It answers each call at once.
pub struct Counter {
    pub address: SocketAddr,
    totals: Mutex<HashMap<String, (f64, Instant)>>,
}

impl Counter {
    pub fn start() -> Arc<Counter> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let counter = Arc::new(Counter { address: listener.local_addr().unwrap(), totals: Mutex::default() });
        let serving = Arc::clone(&counter);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counter = Arc::clone(&serving);
                thread::spawn(move || counter.serve(stream));
            }
        });
        counter
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().ok()?;
        for line in BufReader::new(stream).lines() {
            let line = line.ok()?;
            let words: Vec<&str> = line.split(' ').collect();
            let answer = match words[..] {
                ["ping"] => "pong".to_string(),
                ["bump", name, amount, life] => {
                    let (amount, life) = (amount.parse::<f64>().ok()?, life.parse::<f64>().ok()?);
                    let mut totals = self.totals.lock().unwrap();
                    let now = Instant::now();
                    let forget = now + ms(life.min(60_000.0) as u64);
                    let total = totals.entry(name.to_string()).or_insert((0.0, forget));
                    if total.1 <= now {
                        *total = (0.0, forget);
                    }
                    total.0 += amount;
                    format!("ok {}", total.0)
                }
                _ => "error".to_string(),
            };
            out.write_all(format!("{answer}\r\n").as_bytes()).ok()?;
        }
        Some(())
    }
}

/// A request as a backend gets it.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub terms: String,
}

impl Request {
    /// A value of the terms.
    pub fn term(&self, name: &str) -> &str {
        self.terms
            .split(',')
            .filter_map(|term| term.split_once('='))
            .find(|(n, _)| *n == name)
            .map_or("", |(_, v)| v)
    }
}

/// Reads a command: an array of bulk strings.
pub fn read_command(reader: &mut impl BufRead) -> io::Result<Vec<String>> {
    let bad = || io::Error::other("not a command");
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let count: usize = line.trim_end().strip_prefix('*').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        line.clear();
        reader.read_line(&mut line)?;
        let length: usize = line.trim_end().strip_prefix('$').and_then(|n| n.parse().ok()).ok_or_else(bad)?;
        let mut value = vec![0; length + 2];
        reader.read_exact(&mut value)?;
        value.truncate(length);
        words.push(String::from_utf8_lossy(&value).into_owned());
    }
    Ok(words)
}

/// A backend. `answer` is called with each request when its last byte has come, and writes the answer; an error
/// ends the connection.
pub fn backend(
    answer: impl Fn(&Request, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut out = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                loop {
                    let words = read_command(&mut reader)?;
                    match words.as_slice() {
                        [verb] if verb == "PING" => out.write_all(b"+PONG\r\n")?,
                        [verb, _, id, terms, ..] if verb.starts_with("API.") => {
                            answer(&Request { id: id.clone(), terms: terms.clone() }, &mut out)?;
                        }
                        _ => out.write_all(b"-ERR unknown\r\n")?,
                    }
                }
            });
        }
    });
    address
}

/// A good answer with a value and the true units.
pub fn served(value: &[u8], cost: f64) -> Vec<u8> {
    let figures = format!("cost={cost}");
    let mut answer = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    answer.extend_from_slice(value);
    answer.extend_from_slice(format!("\r\n${}\r\n{figures}\r\n$-1\r\n", figures.len()).as_bytes());
    answer
}

/// A client's request.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// An answer of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A line: an error or a word.
    Line(String),
    Value(Vec<u8>),
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// Gives a socket a small receive buffer, as a client has it that reads slowly.
pub fn small_receive_buffer(stream: &TcpStream) {
    let bytes = 32 * 1024;
    // Linux's SOL_SOCKET and SO_RCVBUF.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &bytes, 4) };
}

impl Client {
    pub fn open(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(2_000))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads an answer.
    pub fn read(&mut self) -> io::Result<Answer> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_string();
        match line.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) {
            Some(length) => {
                let mut value = vec![0; length + 2];
                self.reader.read_exact(&mut value)?;
                value.truncate(length);
                Ok(Answer::Value(value))
            }
            None => Ok(Answer::Line(line)),
        }
    }
}

/// Numbers that differ from run to run.
pub struct Ids(AtomicU64);

impl Ids {
    pub fn new() -> Ids {
        Ids(AtomicU64::new((unix_ms() as u64) << 20))
    }

    pub fn next(&self) -> String {
        format!("{:016x}", self.0.fetch_add(1, Ordering::Relaxed))
    }
}
