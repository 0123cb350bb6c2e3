//! The gateway: serves clients on a socket by the decisions of the library.

mod backends;
mod clients;
mod counter;
mod discovery;
mod driver;
mod resp;

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use slatelock::interface::{ListScope, Settings, SettingsError};
use slatelock::settings::{self, Keys, Names};
use slatelock::Gateway;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use crate::backends::Backends;
use crate::clients::Clients;
use crate::counter::Counter;
use crate::discovery::List;
use crate::driver::{Clock, Driver, Input};

/// Descriptors for all but clients and backends: the runtime, the log, and the counter and discovery twice,
/// as the old connections may still stand when a new configuration names others.
const SPARE_SOCKETS: usize = 32;
/// The part of the memory that requests and answers may take: buffers that are being read and written take
/// about another two.
const ROOM_PART: usize = 4;
/// Inputs that may wait for the driver; who brings more waits.
const INBOX: usize = 1024;
/// How long the start waits for the list of backends before it goes by the known one.
const FIRST_LIST: Duration = Duration::from_millis(500);
/// How long new connections go on coming after SIGTERM, at least.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// The last part of the drain, in which connections close as they fall quiet. Until then clients that use
/// one go on being served: elsewhere others may be down as well.
const CLOSING: Duration = Duration::from_millis(700);
/// A request that is still open so long after SIGTERM fails, or earlier if the deadlines are shorter.
const DRAIN_MOST_MS: f64 = 3_000.0;
/// Part of the 0.7 s between that and the kill that the drain may use.
const DRAIN_MORE: Duration = Duration::from_millis(300);
/// How long the last answers may take to be written.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Whom the gateway calls; a new configuration may name others.
#[derive(Clone, Copy, Debug)]
struct Peers {
    discovery: SocketAddr,
    /// `None` where the settings know no counter.
    counter: Option<SocketAddr>,
}

/// What the configuration tells.
struct Config {
    listen: SocketAddr,
    peers: Peers,
    seed: u64,
    sockets: usize,
    memory_mb: usize,
    known: List,
    settings: Settings,
    names: Names,
}

impl Config {
    fn read(path: &Path) -> Result<Config, ConfigError> {
        let text = std::fs::read(path).map_err(|e| ConfigError::File(path.to_path_buf(), e))?;
        Ok(Config::parse(&text)?)
    }

    fn parse(text: &[u8]) -> Result<Config, SettingsError> {
        let json = settings::from_json("configuration", text)?;
        let top = Keys::new("configuration", &json);
        let address = |key: &str| match top.text(key)?.parse() {
            Ok(address) => Ok(address),
            Err(_) => Err(top.wrong(key, "an address with a port is wanted")),
        };
        let told = top.section("settings")?;
        let settings = settings::read(&told)?;
        settings.check()?;
        let seed = u64::from_str_radix(top.text("seed")?, 16);
        let known = List::deserialize(top.get("known")?);
        Ok(Config {
            listen: address("listen")?,
            peers: Peers {
                discovery: address("discovery")?,
                counter: if settings.counter { Some(address("counter")?) } else { None },
            },
            seed: seed.map_err(|_| top.wrong("seed", "a hex number is wanted"))?,
            sockets: top.section("limits")?.whole("sockets")? as usize,
            memory_mb: top.section("limits")?.whole("memory_mb")? as usize,
            known: known.map_err(|_| top.wrong("known", "a list of backends is wanted"))?,
            names: settings::names(&told)?,
            settings,
        })
    }
}

/// Why a configuration can't be had.
#[derive(Debug)]
enum ConfigError {
    File(PathBuf, std::io::Error),
    Settings(SettingsError),
}

impl From<SettingsError> for ConfigError {
    fn from(e: SettingsError) -> Self {
        ConfigError::Settings(e)
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::File(path, e) => write!(f, "GW_CONFIG: {}: {e}", path.display()),
            ConfigError::Settings(e) => e.fmt(f),
        }
    }
}

/// Follows discovery, and at each SIGHUP goes over to the discovery and the counter that the file names
/// by then. Danger: a file that can't be used; the old addresses stay. All else is read at the start alone.
async fn follow(
    path: PathBuf,
    mut hangup: Signal,
    mut now: Peers,
    wait: Duration,
    inbox: mpsc::Sender<Input>,
) {
    let watch = |agent| AbortOnDropHandle::new(tokio::spawn(discovery::follow(agent, inbox.clone())));
    let mut watching = watch(now.discovery);
    while hangup.recv().await.is_some() {
        let new = match Config::read(&path) {
            Ok(config) => config.peers,
            Err(e) => {
                eprintln!("slatelock-gateway: SIGHUP: {e}; the old configuration stays");
                continue;
            }
        };
        if new.discovery != now.discovery {
            watching.abort();
            watching = watch(new.discovery);
        }
        let moved = new.counter.filter(|_| now.counter.is_some() && new.counter != now.counter);
        if let Some(address) = moved {
            // Fails only when the gateway ends.
            let _ = inbox.send(Input::Counter(Counter::start(address, wait, &inbox))).await;
        }
        now = Peers { discovery: new.discovery, counter: moved.or(now.counter) };
    }
}

async fn serve(config: Config, path: PathBuf) -> Result<(), String> {
    let Config { listen, peers, seed, sockets, memory_mb, known, settings, names } = config;
    let failed = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let mut terminate = signal(SignalKind::terminate()).map_err(failed("SIGTERM"))?;
    let hangup = signal(SignalKind::hangup()).map_err(failed("SIGHUP"))?;
    let listener = TcpListener::bind(listen).await.map_err(failed("listen"))?;
    let clock = Clock::start();
    let gateway = Gateway::new(settings.clone(), seed, clock.now_ms()).map_err(|e| e.to_string())?;

    let (inbox, mut queue) = mpsc::channel(INBOX);
    let wait = Duration::from_secs_f64(settings.counter_timeout_ms / 1000.0);
    let counter = peers.counter.map(|address| Counter::start(address, wait, &inbox));
    let places = sockets.saturating_sub(SPARE_SOCKETS) / 2;
    let connect_limit = Duration::from_secs_f64(settings.limits.connect_timeout_ms / 1000.0);
    let backends = Backends::new(places, names.idle_close_ms, connect_limit);
    let room = Arc::new(Semaphore::new((memory_mb << 20) / ROOM_PART));
    let (asks, bytes) = (inbox.clone(), Arc::clone(&room));
    let mut driver = Driver::new(gateway, clock, names.clone(), backends, counter, asks, bytes);
    driver.take(Input::List(ListScope::Cached, known.endpoints));
    tokio::spawn(follow(path, hangup, peers, wait, inbox.clone()));
    // Ready, with the list as it is now; if discovery is silent, with the known one.
    if let Ok(Some(first)) = timeout(FIRST_LIST, queue.recv()).await {
        driver.take(first);
    }
    tokio::spawn(driver.run(queue));

    let deadline_ms = settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let drain = Duration::from_secs_f64(deadline_ms.min(DRAIN_MOST_MS) / 1000.0) + DRAIN_MORE;
    let closing = CancellationToken::new();
    let tasks = TaskTracker::new();
    let clients = Arc::new(Clients {
        settings,
        names,
        inbox: inbox.clone(),
        room,
        last: AtomicU64::new(0),
        closing: closing.clone(),
        tasks: tasks.clone(),
    });
    println!("listening on {}", listener.local_addr().map_err(failed("listen"))?);
    let accepting = tokio::spawn(clients.accept(listener, places));
    terminate.recv().await;
    let end = Instant::now() + drain;
    sleep(drain.saturating_sub(CLOSING).max(ACCEPT_ON.min(drain))).await;
    accepting.abort();
    closing.cancel();
    tasks.close();
    tokio::select! {
        () = tasks.wait() => return Ok(()),
        () = sleep_until(end) => {}
    }
    // Danger: what SIGKILL would find unanswered.
    let _ = inbox.send(Input::FailAll).await;
    let _ = timeout(LAST_ANSWERS, tasks.wait()).await;
    Ok(())
}

fn run() -> Result<(), String> {
    let path = PathBuf::from(std::env::var_os("GW_CONFIG").ok_or("GW_CONFIG: missing")?);
    let config = Config::read(&path).map_err(|e| e.to_string())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("runtime: {e}"))?.block_on(serve(config, path))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("slatelock-gateway: {message}");
            ExitCode::FAILURE
        }
    }
}
