//! Stand-ins for a small deployment on loopback addresses: discovery, the counter, backends, clients and the
//! platform that starts gateways. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption takes place (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: what was sent, answered and run, with the time since the start in ms.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl std::panic::RefUnwindSafe for Record {}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("create the record");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let line = format!("{at:10.1} {}\n", text.as_ref());
        self.file.lock().unwrap().write_all(line.as_bytes()).expect("write the record");
    }
}

/// A small random number generator (SplitMix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// An exponentially distributed number with this mean, at most four times the mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        (-(1.0 - self.unit()).ln() * mean).min(4.0 * mean)
    }
}

// ---------------------------------------------------------------------------------------------------------
// RESP2

/// A reply, as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Line(String),
    Value(Vec<u8>),
    Null,
    Array(Vec<Reply>),
}

impl Reply {
    /// What the protocol page calls the answer: served, refused or failed.
    pub fn kind(&self) -> &'static str {
        match self {
            Reply::Value(_) => "served",
            Reply::Array(items) if matches!(items.first(), Some(Reply::Value(_))) => "served",
            Reply::Line(line) if line.starts_with("-BUSY") => "refused",
            _ => "failed",
        }
    }

    pub fn value(&self) -> Option<&[u8]> {
        match self {
            Reply::Value(value) => Some(value),
            Reply::Array(items) => items.first().and_then(Reply::value),
            _ => None,
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 || !line.ends_with(b"\r\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.len() - 2);
    Ok(String::from_utf8_lossy(&line).into_owned())
}

fn invalid() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// Reads a whole reply.
pub fn read_reply(reader: &mut impl BufRead) -> io::Result<Reply> {
    let line = read_line(reader)?;
    match line.as_bytes().first() {
        Some(b'+' | b'-' | b':') => Ok(Reply::Line(line)),
        Some(b'$') => {
            let length: i64 = line[1..].parse().map_err(|_| invalid())?;
            if length < 0 {
                return Ok(Reply::Null);
            }
            let mut value = vec![0; length as usize + 2];
            reader.read_exact(&mut value)?;
            value.truncate(length as usize);
            Ok(Reply::Value(value))
        }
        Some(b'*') => {
            let count: i64 = line[1..].parse().map_err(|_| invalid())?;
            (0..count).map(|_| read_reply(reader)).collect::<io::Result<_>>().map(Reply::Array)
        }
        _ => Err(invalid()),
    }
}

/// Reads a command: an array of bulk strings.
pub fn read_command(reader: &mut impl BufRead) -> io::Result<Vec<String>> {
    match read_reply(reader)? {
        Reply::Array(items) => items
            .into_iter()
            .map(|item| match item {
                Reply::Value(value) => Ok(String::from_utf8_lossy(&value).into_owned()),
                _ => Err(invalid()),
            })
            .collect(),
        _ => Err(invalid()),
    }
}

pub fn encode_command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    bytes
}

/// A backend's answer: the value, no figures on use and no load report.
pub fn encode_answer(value: &[u8]) -> Vec<u8> {
    let mut bytes = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
    bytes
}

// ---------------------------------------------------------------------------------------------------------
// Clients

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub bytes: Vec<u8>,
}

static LAST_ID: AtomicU64 = AtomicU64::new(1);

/// Makes a request with a new id. `class` is one of the classes of [`settings`].
pub fn request(class: &str, customer: u64, deadline_ms: u64) -> Request {
    let number = LAST_ID.fetch_add(1, Ordering::Relaxed);
    let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let key = if class == "sale-record" { format!(",k={id}") } else { String::new() };
    let terms = format!("c={class},t=standard,d={deadline_ms}{key},units=1,spread=2,first=0");
    let customer = format!("{customer:016x}");
    let bytes = match class {
        "basket-price" => encode_command(&["API.READ", &customer, &id, &terms]),
        _ => encode_command(&["API.WRITE", &customer, &id, &terms, "body"]),
    };
    Request { id, bytes }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, request: &Request) -> io::Result<()> {
        self.stream.write_all(&request.bytes)
    }

    /// Reads the next answer, and waits at most `limit` for each of its parts.
    pub fn answer(&mut self, limit: Duration) -> io::Result<Reply> {
        self.stream.set_read_timeout(Some(limit))?;
        read_reply(&mut self.reader)
    }
}

// ---------------------------------------------------------------------------------------------------------
// Backends

/// What a backend does with a request. Arguments: the backend's number, the command, the connection.
pub type Handler = dyn Fn(usize, &[String], &mut BackendConnection) -> io::Result<()> + Send + Sync;

/// A backend's side of a connection.
pub struct BackendConnection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl BackendConnection {
    pub fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether no byte of another command has come.
    pub fn nothing_waits(&self) -> io::Result<bool> {
        self.stream.set_nonblocking(true)?;
        let peeked = self.stream.peek(&mut [0; 1]);
        self.stream.set_nonblocking(false)?;
        let is_silent = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        Ok(is_silent && self.reader.buffer().is_empty())
    }
}

/// The value that backends make for a request.
pub fn value_of(id: &str) -> Vec<u8> {
    format!("value made for {id}").into_bytes()
}

/// Starts `count` backends. Returns their addresses.
pub fn start_backends(count: usize, handler: Arc<Handler>) -> Vec<SocketAddr> {
    (0..count)
        .map(|number| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
            let address = listener.local_addr().expect("address");
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let handler = Arc::clone(&handler);
                    thread::spawn(move || serve_backend(number, stream, &*handler));
                }
            });
            address
        })
        .collect()
}

fn serve_backend(number: usize, stream: TcpStream, handler: &Handler) -> io::Result<()> {
    let reader = BufReader::new(stream.try_clone()?);
    let mut connection = BackendConnection { stream, reader };
    loop {
        let command = read_command(&mut connection.reader)?;
        match command.first().map(String::as_str) {
            Some("API.READ" | "API.WRITE") => handler(number, &command, &mut connection)?,
            Some("PING") => connection.write_all(b"+PONG\r\n")?,
            Some("CLIENT" | "SELECT") => connection.write_all(b"+OK\r\n")?,
            _ => connection.write_all(b"-ERR unknown\r\n")?,
        }
    }
}

// ---------------------------------------------------------------------------------------------------------
// Discovery and the counter

/// The list of the backends, all serving since long ago. Two cells.
pub fn endpoint_list(backends: &[SocketAddr]) -> String {
    let entry = |(i, address): (usize, &SocketAddr)| {
        format!(
            "{{\"name\":\"till-{i}\",\"address\":\"{address}\",\"zone\":\"ub-room\",\"type\":\"gen2\",\
             \"group\":{},\"status\":\"SERVING\",\"weight\":1.0,\"since_ms\":0}}",
            i % 2
        )
    };
    let entries: Vec<String> = backends.iter().enumerate().map(entry).collect();
    format!("{{\"index\":7,\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","))
}

/// Discovery: the whole list, and watches that end with no change after their wait.
pub fn start_discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("address");
    let list = Arc::new(list);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = Arc::clone(&list);
            thread::spawn(move || serve_discovery(stream, &list));
        }
    });
    address
}

fn serve_discovery(mut stream: TcpStream, list: &str) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let call = read_line(&mut reader)?;
        while !read_line(&mut reader)?.is_empty() {}
        let parameter = |name: &str| -> Option<u64> {
            let from = call.find(&format!("{name}="))? + name.len() + 1;
            let digits: String = call[from..].chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        };
        let body = match (parameter("after"), parameter("wait_ms")) {
            (Some(7), Some(wait_ms)) => {
                thread::sleep(Duration::from_millis(wait_ms.min(60_000)));
                "{\"index\":7,\"snapshot\":false,\"endpoints\":[]}"
            }
            _ => list,
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes())?;
    }
}

/// The counter.
pub fn start_counter() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
    let address = listener.local_addr().expect("address");
    let totals: Arc<Mutex<HashMap<String, (f64, Instant)>>> = Arc::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let totals = Arc::clone(&totals);
            thread::spawn(move || serve_counter(stream, &totals));
        }
    });
    address
}

fn serve_counter(mut stream: TcpStream, totals: &Mutex<HashMap<String, (f64, Instant)>>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let line = read_line(&mut reader)?;
        let words: Vec<&str> = line.split(' ').collect();
        let reply = match words[..] {
            ["ping"] => "pong\r\n".to_string(),
            ["bump", name, amount, life_ms] => match (amount.parse::<f64>(), life_ms.parse::<f64>()) {
                (Ok(amount), Ok(life_ms)) => {
                    thread::sleep(Duration::from_millis(1));
                    let now = Instant::now();
                    let until = now + Duration::from_secs_f64(life_ms.clamp(1.0, 60_000.0) / 1000.0);
                    let mut totals = totals.lock().unwrap();
                    totals.retain(|_, (_, until)| *until > now);
                    let total = totals.entry(name.to_string()).or_insert((0.0, until));
                    total.0 += amount;
                    format!("ok {}\r\n", total.0)
                }
                _ => "error\r\n".to_string(),
            },
            _ => "error\r\n".to_string(),
        };
        stream.write_all(reply.as_bytes())?;
    }
}

// ---------------------------------------------------------------------------------------------------------
// The platform

/// A temporary folder, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let name = format!("beechrudder-review-{}-{}", std::process::id(), unix.as_nanos());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).expect("create a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A loopback address with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("listen").local_addr().expect("address")
}

/// The settings of the first deployment, as the wire page prints them, for gateway `me` of `gateways`.
pub fn settings(me: usize, gateways: usize) -> String {
    format!(
        r#"{{"blend": {{"whole": 0.5, "worst-class": 0.1, "worst-tenant": 0.15, "worst-window": 0.25}},
 "clients": {{"marks-retry": false}},
 "contract": {{"answer-slack-ms": 16.0, "ask-within-ms": 10000.0, "overload-for-ms": 3000.0, "start-capacity": 0.19, "stop-sending-within-ms": 500.0, "tip-multiple": 3.0, "warm-up-ms": 16000.0}},
 "domain-type": "gate",
 "family-info": {{"count-fee": 0.005, "count-wait-ms": 30.0, "meter-period-ms": 0.0, "peer-intake": 0.0, "settles": true, "shared-counter": true, "units-top": 8}},
 "feedback": {{"fields": [], "source": "none"}},
 "flavors": ["gen2", "gen1"],
 "granularity-ms": 4.0,
 "group-size": {gateways},
 "me": {me},
 "policy-limits": {{"cancel": true, "connect-timeout-ms": 250.0, "cpu-us-per-request": 0.0, "cpu-us-per-s": 600000, "idle-close-ms": 15000.0, "max-attempts": 5, "max-open": 30000, "max-retry-after-ms": 2000.0, "max-streams": 32, "may-tell": false, "probing": true, "retry-after": false, "second-copies": true}},
 "prices": {{"connection": 0.0, "cross-zone": 0.0, "handshake": 0.0, "late-fail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "registry-mode": 0.0, "waste": 0.08}},
 "profiles": [{{"aim-ms": 2000.0, "credit": 3.0, "deadline-ms": 8000.0, "effect": "read_like", "group": "all", "late-worth": 0.2, "name": "basket-price", "streaming": false, "window-ms": 5000.0}}, {{"aim-ms": 2000.0, "credit": 3.0, "deadline-ms": 8000.0, "effect": "idempotency_key", "group": "cell", "late-worth": 0.0, "name": "sale-record", "streaming": false, "window-ms": 5000.0}}, {{"aim-ms": 3000.0, "credit": 9.0, "deadline-ms": 8000.0, "effect": "non_idempotent", "group": "all", "late-worth": 0.0, "name": "card-charge", "streaming": false, "window-ms": 5000.0}}],
 "registry-mode": "push",
 "tariffs": [{{"cap-depth": 0.0, "concurrency": 0, "hard-rate": 0.0, "hard-slack": 0.0, "name": "basic", "over-cost": 1.0, "over-worth": 0.0, "quota-rate": 1.6, "store-size": 16.0, "value-factor": 0.88}}, {{"cap-depth": 0.0, "concurrency": 0, "hard-rate": 0.0, "hard-slack": 0.0, "name": "standard", "over-cost": 0.0, "over-worth": 0.3, "quota-rate": 2.3, "store-size": 16.0, "value-factor": 1.3}}, {{"cap-depth": 70.0, "concurrency": 0, "hard-rate": 25.0, "hard-slack": 8.0, "name": "chain", "over-cost": 0.8, "over-worth": 0.0, "quota-rate": 11.0, "store-size": 32.0, "value-factor": 1.4}}],
 "tier": 0,
 "tiers": ["till-servers"],
 "weight-source": "none",
 "zone": 0,
 "zones": ["ub-room"]}}"#
    )
}

/// The services around the gateways.
pub struct Site {
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub known: String,
}

impl Site {
    pub fn start(backends: &[SocketAddr]) -> Site {
        let known = endpoint_list(backends);
        Site { discovery: start_discovery(known.clone()), counter: start_counter(), known }
    }
}

/// A gateway process, started with the `run` line of the deploy file. Killed on drop.
pub struct Gateway {
    pub process: Child,
    pub listen: SocketAddr,
    pub management: SocketAddr,
}

impl Gateway {
    /// Starts gateway `me` of `gateways` and waits until it answers `PING` with `+PONG`. `root` is the root
    /// of the repository.
    pub fn start(root: &Path, folder: &Path, site: &Site, me: usize, gateways: usize) -> io::Result<Gateway> {
        let (listen, management) = (free_address(), free_address());
        let temporary = folder.join(format!("tmp-{me}"));
        std::fs::create_dir_all(&temporary)?;
        let config = folder.join(format!("n{me}.json"));
        let Site { discovery, counter, known } = site;
        std::fs::write(
            &config,
            format!(
                "{{\"name\":\"n{me}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\
                 \"management\":\"{management}\",\"seed\":\"{:016x}\",\
                 \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
                 \"counter\":\"{counter}\",\"known\":{known},\"settings\":{}}}",
                0x8c1f_30d2_7a5b_e964_u64 + me as u64,
                settings(me, gateways)
            ),
        )?;
        let log = File::create(folder.join(format!("n{me}.log")))?;
        let run = run_line(root)?;
        let process = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(root)
            .env("GW_NAME", format!("n{me}"))
            .env("GW_LISTEN", listen.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_MANAGEMENT", management.to_string())
            .env("GW_CONFIG", &config)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut gateway = Gateway { process, listen, management };
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if gateway.ping().is_ok_and(|answer| answer == "+PONG") {
                return Ok(gateway);
            }
            if gateway.process.try_wait()?.is_some() {
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the gateway is not ready"))
    }

    /// Sends `PING` on a new connection. Returns the line of the answer.
    pub fn ping(&self) -> io::Result<String> {
        let mut client = Client::connect(self.listen)?;
        client.stream.write_all(&encode_command(&["PING"]))?;
        match client.answer(Duration::from_secs(1))? {
            Reply::Line(line) => Ok(line),
            _ => Err(invalid()),
        }
    }

    /// Makes a call at the second address. Returns the line of the answer.
    pub fn call(&self, line: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.management, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        read_line(&mut BufReader::new(stream))
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.process.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The `run` line of the deploy file.
fn run_line(root: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|rest| rest.split('"').next()).ok_or_else(invalid)?;
    Ok(line.to_string())
}

/// The arguments of a case: the root of the repository, and the folder of the case.
pub fn arguments() -> (PathBuf, PathBuf) {
    let mut args = std::env::args_os().skip(1).map(PathBuf::from);
    (args.next().expect("root of the repository"), args.next().expect("folder of the case"))
}

/// Whether the peer has closed the connection. Waits for at most `limit`; nothing is expected to arrive.
pub fn is_closed(stream: &mut TcpStream, limit: Duration) -> bool {
    let _ = stream.set_read_timeout(Some(limit));
    match stream.read(&mut [0; 1]) {
        Ok(read) => read == 0,
        Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut),
    }
}

/// Runs a case and exits with its code; a panic is a case that could not run. All processes that the case
/// started have ended when `run` returns or unwinds.
pub fn finish(run: fn(&Path, &Path, &Arc<Record>) -> i32) -> ! {
    let (root, case) = arguments();
    let record = Record::create(&case.join("record.txt"));
    let code = std::panic::catch_unwind(|| run(&root, &case, &record)).unwrap_or(NOT_RUN);
    let result = match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    record.line(result);
    println!("{result}");
    std::process::exit(code)
}

/// Attempts to start a gateway: another process may have taken one of its ports.
const START_ATTEMPTS: usize = 5;

/// Starts the gateways of a small deployment.
pub fn start_gateways(root: &Path, folder: &Path, site: &Site, count: usize) -> Vec<Gateway> {
    let start = |me| Gateway::start(root, folder, site, me, count).ok();
    let first_start = |me| (0..START_ATTEMPTS).find_map(|_| start(me)).expect("start a gateway");
    (0..count).map(first_start).collect()
}
