//! The life of a gateway: start, signals, drain.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use cold_start::{CallBudget, ConnectionRamp, PollSchedule, SlotSchedule};
use gateway_policy::interface::{Routing, UpdateScope};
use gateway_policy::Policy;
use operator_config::{AdminConfig, OperatorConfig};
use routing::Subset;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};
use transport::Connector;

use crate::admin;
use crate::backends::Backends;
use crate::clients::{Clients, QUIET_ON};
use crate::clock::Clock;
use crate::config::{Config, Peers};
use crate::counter::Counter;
use crate::discovery::{self, Known, News, Ordering};
use crate::driver::{Around, Driver, Opening, Overseen};
use crate::folder::Folder;
use crate::input::Input;
use crate::keeper::{self, Keeper, Stage};
use crate::listing::List;
use crate::management;
use crate::order::Order;
use crate::part::Part;

/// Descriptors for all but clients and backends: the runtime, the log, and the counter and discovery twice,
/// as the old connections may still stand when a new configuration names others.
const SPARE_SOCKETS: usize = 32;
/// The part of the memory that requests and answers may take, and values in passing: buffers that are being
/// read and written take about another one.
const ROOM_PART: usize = 4;
/// The part of the memory that customers' records may take.
const RECORDS_PART: usize = 8;
/// Inputs that may wait for the driver; who brings more waits.
const INBOX: usize = 1024;
/// A gateway is ready after this, whatever it waits for. Danger: a platform that gives a start 30 s.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the start waits for the list of backends where none is known, and for news of one that is.
const FIRST_LIST: Duration = Duration::from_millis(500);
const FIRST_NEWS: Duration = Duration::from_millis(50);
/// How long new connections go on coming after SIGTERM, at least.
const ACCEPT_ON: Duration = Duration::from_millis(500);
/// The last part of the drain, in which connections close behind an answer, and after [`QUIET_ON`] of it as
/// they are quiet. Until then clients that use one go on being served: elsewhere others may be down as well.
const CLOSING: Duration = Duration::from_millis(700).saturating_add(QUIET_ON);
/// A request that is still open so long after SIGTERM fails, or earlier if the deadlines are shorter.
const MAX_DRAIN_MS: f64 = 3_000.0;
/// Part of the 0.7 s between that and the kill that the drain may use.
const DRAIN_MORE: Duration = Duration::from_millis(300);
/// The last part of the drain, in which no answer is waited for.
const LAST_WORD: Duration = Duration::from_millis(50);
/// Orders and calls of operators that may wait; there are few, one after another.
const CALLS: usize = 32;
/// Names the descriptor of the clients' socket, where the platform holds it.
const SOCKET: &str = "GW_SOCKET_FD";
/// How long the last answers may take to be written.
const LAST_ANSWERS: Duration = Duration::from_millis(200);

/// Follows discovery, and at each SIGHUP goes over to what the file names by then: discovery, the counter,
/// and the settings that may change in service. Danger: a file that can't be used, or half of one. It is
/// turned down whole, and the configuration held stays.
async fn follow(
    path: PathBuf,
    mut hangup: Signal,
    mut config: Config,
    wait: Duration,
    (known, mut ordering): (Known, Option<Ordering>),
    inbox: mpsc::Sender<Input>,
    orders: mpsc::Sender<Order>,
) {
    // The start is ordered once.
    let mut watch = |agent, known| {
        let following = discovery::follow::<Input>(agent, known, ordering.take(), inbox.clone());
        AbortOnDropHandle::new(tokio::spawn(following))
    };
    // Another discovery has versions of its own.
    let elsewhere = Known { index: None, ..known };
    let mut now = config.peers;
    let mut watching = watch(now.discovery, known);
    while hangup.recv().await.is_some() {
        let read = Config::read(&path).and_then(|new| Ok(new.has_all_of(&config).map(|()| new)?));
        let new = match read {
            Ok(new) => new,
            Err(e) => {
                tracing::warn!("SIGHUP: {e}; the old configuration stays");
                continue;
            }
        };
        let (say, said) = oneshot::channel();
        let change = Order::Change { terms: Box::new(new.terms.clone()), say };
        // Fails only when the gateway ends.
        if orders.send(change).await.is_err() {
            return;
        }
        if let Ok(Err(e)) = said.await {
            tracing::warn!("SIGHUP: {e}; the old configuration stays");
            continue;
        }
        let restart = config.terms.sections_needing_restart(&new.terms);
        tracing::info!("SIGHUP: the new configuration is in force");
        if !restart.is_empty() {
            tracing::warn!("SIGHUP: {} differ and need a restart", restart.join("; "));
        }
        config = new;
        let new = config.peers;
        if new.discovery != now.discovery {
            watching.abort();
            watching = watch(new.discovery, elsewhere);
        }
        let moved = new.counter.filter(|_| now.counter.is_some() && new.counter != now.counter);
        if let Some(address) = moved {
            // Fails only when the gateway ends.
            let _ = inbox.send(Input::Counter(Counter::start(address, wait, &inbox))).await;
        }
        now = Peers { discovery: new.discovery, counter: moved.or(now.counter) };
    }
}

/// A number that no other start of a gateway has: its millisecond and its process, below 2^53.
fn boot(clock: Clock) -> u64 {
    (((clock.now_ms() as u64) << 12) | u64::from(std::process::id() & 0xfff)) & ((1 << 53) - 1)
}

/// The clients' socket: the one that the platform holds, if it names a descriptor, else one of its own.
async fn clients_socket(listen: SocketAddr) -> Result<TcpListener, String> {
    let Ok(number) = std::env::var(SOCKET) else {
        return TcpListener::bind(listen).await.map_err(|e| format!("listen: {e}"));
    };
    let wrong = |what: &str| format!("{SOCKET}: {number:?}: {what}");
    number.parse::<u16>().map_err(|_| wrong("the number of a descriptor is wanted"))?;
    // `listenfd` goes by the names that systemd gives; no other thread runs yet that could read them.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", &number);
    std::env::remove_var("LISTEN_PID");
    let taken = listenfd::ListenFd::from_env().take_tcp_listener(0);
    let socket = taken.map_err(|e| wrong(&e.to_string()))?.ok_or_else(|| wrong("no socket"))?;
    socket.set_nonblocking(true).map_err(|e| wrong(&e.to_string()))?;
    TcpListener::from_std(socket).map_err(|e| wrong(&e.to_string()))
}

/// The folder that the processes of this gateway share. None without `$TMPDIR`; and what else can't be had is
/// no reason not to serve.
fn folder(listen: SocketAddr, boot: u64) -> Option<Folder> {
    let under = std::env::var_os("TMPDIR")?;
    let opened = Folder::open(std::path::Path::new(&under), listen, boot);
    opened.map_err(|e| tracing::warn!("no folder under TMPDIR: {e}; bans end with this process")).ok()
}

/// Serves until SIGTERM has been carried out.
pub async fn serve(mut config: Config, path: PathBuf, operator: OperatorConfig) -> Result<(), String> {
    let Config { listen, management, peers, seed, sockets, memory_mb, .. } = config;
    let (name, mut terms) = (config.name.clone(), config.terms.clone());
    let known = std::mem::replace(&mut config.known, List::empty());
    let settings = &mut terms.settings;
    let OperatorConfig { admin, routing, start, .. } = operator;
    let operator_config::RoutingConfig { whole, choices, subset, coverage } = routing;
    settings.routing = Routing { scan_all_up_to: whole, choices, subset_size: subset, coverage };
    settings.max_customers = Policy::customers_fitting((memory_mb << 20) / RECORDS_PART);
    let failed = |what: &'static str| move |e: std::io::Error| format!("{what}: {e}");
    let mut terminate = signal(SignalKind::terminate()).map_err(failed("SIGTERM"))?;
    let hangup = signal(SignalKind::hangup()).map_err(failed("SIGHUP"))?;
    let (clock, begun) = (Clock::start(), Instant::now());
    let (boot, stage) = (boot(clock), Stage::default());
    let (orders, ordered) = mpsc::channel(CALLS);
    let (calls, called) = mpsc::channel(CALLS);
    // Asked before it is ready, it says so.
    let mut places = sockets.saturating_sub(SPARE_SOCKETS);
    if let Some(address) = management {
        let second = TcpListener::bind(address).await.map_err(|e| format!("management: {address}: {e}"))?;
        places = places.saturating_sub(management::PLACES);
        tokio::spawn(management::serve(second, calls.clone()));
    }
    let places = places / 2;
    let listener = clients_socket(listen).await?;
    let gateway = Policy::new(settings.clone(), seed, clock.now_ms()).map_err(|e| e.to_string())?;

    let (inbox, mut queue) = mpsc::channel(INBOX);
    let wait = Duration::from_secs_f64(settings.counter_timeout_ms / 1000.0);
    let counter = peers.counter.map(|address| Counter::start(address, wait, &inbox));
    let connect_limit = Duration::from_secs_f64(settings.limits.connect_timeout_ms / 1000.0);
    let mut backends = Backends::new(places, terms.names.idle_close_ms, connect_limit);
    let room = Arc::new(Semaphore::new((memory_mb << 20) / ROOM_PART));
    let (tasks, (drain, drained)) = (TaskTracker::new(), watch::channel(false));
    let overseen = Overseen::new(name.clone(), boot, tasks.clone(), drain);
    let (asks, bytes) = (inbox.clone(), Arc::clone(&room));
    let warm_up_ms = settings.slow_start.warm_up_ms;
    let (me, gateways) = (settings.gateway_index, settings.gateway_count);
    let stop_within = Duration::from_secs_f64((settings.drain_grace_ms / 1000.0).min(60.0));
    let (changes, terms) = watch::channel(Arc::new(terms));
    let bytes_most = (memory_mb << 20) / ROOM_PART;
    let passing = Arc::new(Semaphore::new(bytes_most));
    let seats = Arc::new(Semaphore::new(places));
    let parts = vec![
        Part::new(Arc::clone(&seats), places),
        Part::new(backends.places(), places),
        Part::new(Arc::clone(&room), bytes_most),
        Part::new(Arc::clone(&passing), bytes_most),
    ];
    let per_s = start.and_then(|start| start.backend_connections_per_s);
    let calls = start.and_then(|start| start.counter_calls_per_s);
    let allowance = calls.map(|per_s| CallBudget::new(me, gateways, per_s, clock.now_ms()));
    let subset_of_home = Subset::new(me, gateways, subset, coverage);
    let openings =
        per_s.map(|per_s| ConnectionRamp::new(me, gateways, subset_of_home, per_s, clock.now_ms()));
    let first_backend = openings.as_ref().map(ConnectionRamp::first_timeout);
    openings.iter().for_each(|openings| backends.grow_after(openings.round()));
    let (opening, reached) = openings.map(Opening::new).unzip();
    let around = Around {
        backends,
        counter,
        inbox: asks,
        room: bytes,
        passing,
        overseen,
        terms: changes,
        parts,
        opening,
        allowance,
    };
    let mut driver = Driver::new(gateway, clock, around);
    let shared = management.and_then(|_| folder(listen, boot));
    let keeper = Keeper::new(shared, clock, warm_up_ms, stage.clone(), orders.clone());
    // Danger: a ban from before that begins only after the first requests.
    driver.adopt(keeper.book());
    // Danger: two processes that both take all that is this gateway's. Who comes leaves it time to be seen.
    let others = keeper.others();
    driver.others(others);
    let (ending, ended) = mpsc::channel(1);
    tokio::spawn(keeper.run(called, ended));
    // Danger: each start of a large fleet asks for the whole list, of which it has all but the last changes.
    let index = Some(known.index).filter(|_| !known.endpoints.is_empty());
    let calendar = start.map(|start| SlotSchedule::new(me, gateways, start.list_calls_per_s));
    let slots = calendar.map(|calendar| (calendar, clock));
    let held = Known { index, gateways, stop_within, seed, slots };
    // Ready with the list as it is now, if it is told soon; with none at all that is worth a longer wait.
    let first = match (index, calendar) {
        (Some(_), _) => FIRST_NEWS,
        (None, None) => FIRST_LIST,
        (None, Some(calendar)) => PollSchedule::new(calendar).first_timeout(),
    };
    discovery::name_wrong("known", &known);
    let unsaid = Vec::new();
    driver.take(Input::List(News { scope: UpdateScope::Cached, endpoints: known.endpoints, unsaid }));
    let ordering = match admin.as_ref().filter(|_| start.is_some_and(|start| start.ordered_by_agent)) {
        Some(AdminConfig { agent: Some(agent), tls, .. }) => {
            let dialer = Connector::new(tls.as_ref()).map_err(|e| format!("admin: {e}"))?;
            let name = name.parse().map_err(|e| format!("to ask for a turn: {e}"))?;
            Some(Ordering { agent: agent.clone(), dialer, name, boot, gateways })
        }
        _ => None,
    };
    tokio::spawn(follow(path, hangup, config, wait, (held, ordering), inbox.clone(), orders));
    let told = async {
        while let Some(input) = queue.recv().await {
            let listed = matches!(input, Input::List(_));
            driver.take(input);
            // Danger: what the counter says, taken for the list that a start waits long for.
            if listed || calendar.is_none() {
                break;
            }
        }
    };
    tokio::select! {
        _ = timeout(first, told) => {}
        // Danger: one that is told to end while it waits its turn for a list, and is killed in the end.
        _ = terminate.recv(), if calendar.is_some() => return Ok(()),
    }
    tokio::spawn(driver.run(queue, ordered));
    if let (Some(mut reached), Some(within)) = (reached, first_backend) {
        // Ready once a backend is. What the list took of the time is not given twice.
        let by = (begun + within.max(first)).min(begun + READY_TIMEOUT);
        tokio::select! {
            _ = timeout_at(by, reached.wait_for(|reached| *reached)) => {}
            // Danger: one that is told to end while it waits, and is killed in the end.
            _ = terminate.recv() => return Ok(()),
        }
    }

    let (closing, shut) = (CancellationToken::new(), CancellationToken::new());
    let clients = Arc::new(Clients {
        terms: terms.clone(),
        inbox: inbox.clone(),
        room,
        last: AtomicU64::new(0),
        closing: closing.clone(),
        shut: shut.clone(),
        drained,
        tasks: tasks.clone(),
    });
    if let Some(admin) = admin {
        let listener = admin::listen(&admin, &name).await.map_err(|e| format!("admin: {e}"))?;
        let at = listener.address().map_err(failed("admin"))?;
        println!("admin on {at}");
        if let Some(agent) = admin.agent {
            let named = name.parse().map_err(|e| format!("to register: {e}"))?;
            let dialer = Connector::new(admin.tls.as_ref()).map_err(|e| format!("admin: {e}"))?;
            tokio::spawn(admin::register(agent, named, at, dialer));
        }
        tokio::spawn(admin::serve(listener, inbox.clone()));
    }
    println!("listening on {}", listener.local_addr().map_err(failed("listen"))?);
    if others > 0 {
        sleep(keeper::SPREAD).await;
    }
    let mut accepting = tokio::spawn(clients.accept(listener, seats, places));
    stage.serves();
    terminate.recv().await;
    stage.ends();
    let deadline_ms = terms.borrow().settings.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let drain = Duration::from_secs_f64(deadline_ms.min(MAX_DRAIN_MS) / 1000.0) + DRAIN_MORE;
    let end = Instant::now() + drain;
    // Danger: a request that is begun when it can't end in time.
    let by_ms = clock.now_ms() + (drain - LAST_WORD).as_secs_f64() * 1000.0;
    let _ = inbox.send(Input::Ending { by_ms }).await;
    // Danger: connections that this process takes though another one could, and ends.
    if stage.others() > 0 {
        accepting.abort();
    }
    sleep(drain.saturating_sub(CLOSING).max(ACCEPT_ON.min(drain))).await;
    closing.cancel();
    sleep_until((Instant::now() + QUIET_ON).min(end)).await;
    shut.cancel();
    if timeout_at(end, &mut accepting).await.is_err() {
        accepting.abort();
    }
    tasks.close();
    let all = tokio::select! {
        () = tasks.wait() => true,
        () = sleep_until(end) => false,
    };
    if !all {
        // Danger: what SIGKILL would find unanswered.
        let _ = inbox.send(Input::FailAll).await;
        let _ = timeout(LAST_ANSWERS, tasks.wait()).await;
    }
    let (done, left) = oneshot::channel();
    if ending.send(done).await.is_ok() {
        let _ = timeout(LAST_ANSWERS, left).await;
    }
    Ok(())
}
