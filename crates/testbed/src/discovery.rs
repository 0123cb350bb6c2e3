//! Discovery: the list of backends by HTTP, with versions and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, Instant};

use crate::backend::{hold, reopen, Backend};
use crate::switch::{Fault, Switch};

/// The longest line of a request.
const MAX_LINE_BYTES: usize = 4096;

#[derive(Clone, Debug, Default)]
struct List {
    index: u64,
    /// Lines by name, each with the version that changed it.
    lines: BTreeMap<String, (u64, Value)>,
}

/// What a list service bears.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryCapacity {
    /// It works on one call after another, so long on each.
    pub time_per_call: Duration,
    /// So many calls may stand before it; it turns further ones away.
    pub max_queued: usize,
}

/// A call for the list that came whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// When, from the service's start.
    pub at: Duration,
    /// By which of its addresses.
    pub listener_index: usize,
    /// The version after which changes are wanted; none: the whole list.
    pub after: Option<u64>,
    /// How long it may wait for news.
    pub wait: Duration,
    /// When an answer with a list was written, from the service's start.
    pub answered: Option<Duration>,
    /// Whether it was turned away.
    pub rejected: bool,
}

/// Calls that are kept at most.
const MAX_RECORDED_CALLS: usize = 400_000;

struct Shared {
    started: Instant,
    switch: Switch,
    capacity: Option<DiscoveryCapacity>,
    list: watch::Sender<List>,
    /// Grows when another service takes this one's place.
    lives: watch::Sender<u64>,
    calls: Mutex<Vec<DiscoveryCall>>,
    /// Calls of each listener.
    by_door: Vec<AtomicU64>,
    /// Calls that stand before the service, and when it is done with them.
    standing: Mutex<(usize, Instant)>,
}

impl Shared {
    fn calls(&self) -> MutexGuard<'_, Vec<DiscoveryCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn standing(&self) -> MutexGuard<'_, (usize, Instant)> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a call, and gives its place among them.
    fn note(&self, listener_index: usize, after: Option<u64>, wait: Duration) -> usize {
        let at = self.started.elapsed();
        let mut calls = self.calls();
        if calls.len() >= MAX_RECORDED_CALLS {
            return usize::MAX;
        }
        calls.push(DiscoveryCall { at, listener_index, after, wait, answered: None, rejected: false });
        calls.len() - 1
    }

    /// Takes a place, and waits until the call was worked on; `false` if there is none.
    async fn work(&self) -> bool {
        let Some(DiscoveryCapacity { time_per_call, max_queued }) = self.capacity else { return true };
        let done = {
            let mut standing = self.standing();
            if standing.0 >= max_queued {
                return false;
            }
            standing.0 += 1;
            standing.1 = standing.1.max(Instant::now()) + time_per_call;
            standing.1
        };
        let _leaves = Leaves(self);
        sleep_until(done).await;
        true
    }
}

/// Gives a place back, also where the call's connection ends first.
struct Leaves<'a>(&'a Shared);

impl Drop for Leaves<'_> {
    fn drop(&mut self) {
        self.0.standing().0 -= 1;
    }
}

/// A running discovery. It ends with the value.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// All addresses that it listens at, the first among them: one for each party, to tell their calls apart.
    pub addresses: Vec<SocketAddr>,
    /// What is wrong with it.
    pub switch: Switch,
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl std::fmt::Debug for Discovery {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Discovery").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Discovery {
    /// Starts one with an empty list, that bears all calls.
    ///
    /// # Errors
    /// The system's, if there is no port.
    pub async fn start() -> std::io::Result<Discovery> {
        Discovery::with_listeners(1, None).await
    }

    /// Starts one with so many addresses, one at least, and a bound on what it bears.
    ///
    /// # Errors
    /// The system's, if there is no port.
    pub async fn with_listeners(
        listeners: usize,
        capacity: Option<DiscoveryCapacity>,
    ) -> std::io::Result<Discovery> {
        let (switch, started) = (Switch::default(), Instant::now());
        let shared = Arc::new(Shared {
            started,
            switch: switch.clone(),
            capacity,
            list: watch::Sender::new(List::default()),
            lives: watch::Sender::new(0),
            calls: Mutex::default(),
            by_door: (0..listeners.max(1)).map(|_| AtomicU64::new(0)).collect(),
            standing: Mutex::new((0, started)),
        });
        let (mut addresses, mut tasks) = (Vec::new(), Vec::new());
        for listener_index in 0..listeners.max(1) {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            addresses.push(address);
            tasks.push(tokio::spawn(listen(listener, address, listener_index, Arc::clone(&shared))));
        }
        Ok(Discovery { address: addresses[0], addresses: addresses, switch, shared, tasks })
    }

    /// All calls so far, in the order of their coming.
    #[must_use]
    pub fn calls(&self) -> Vec<DiscoveryCall> {
        self.shared.calls().clone()
    }

    /// Time since it started, as its records have it.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Another service takes its place: all connections end, and its list is the same under this version.
    pub fn restart_at_index(&self, index: u64) {
        self.shared.list.send_modify(|list| {
            list.index = index;
            list.lines.values_mut().for_each(|line| line.0 = index);
        });
        self.shared.lives.send_modify(|lives| *lives += 1);
    }

    /// Lists a backend under a status: `SERVING` or `DRAINING`.
    pub fn list(&self, backend: &Backend, status: &str) {
        self.publish(&backend.spec.name, endpoint_json(backend, status));
    }

    /// Takes a backend off the list.
    pub fn delete(&self, backend: &Backend) {
        self.publish(&backend.spec.name, endpoint_json(backend, "DELETED"));
    }

    /// Lists a backend in the place of another, in one version: whoever watches hears of both.
    pub fn replace_backend(&self, new: &Backend, gone: &Backend) {
        self.publish_all([
            (&gone.spec.name, endpoint_json(gone, "DELETED")),
            (&new.spec.name, endpoint_json(new, "SERVING")),
        ]);
    }

    /// Tells a line as it stands.
    pub fn publish(&self, name: &str, line: Value) {
        self.publish_all([(name, line)]);
    }

    /// Tells lines as they stand, in one version.
    fn publish_all<'a>(&self, lines: impl IntoIterator<Item = (&'a (impl AsRef<str> + ?Sized + 'a), Value)>) {
        self.shared.list.send_modify(|list| {
            list.index += 1;
            let index = list.index;
            let lines = lines.into_iter().map(|(name, line)| (name.as_ref().to_string(), (index, line)));
            list.lines.extend(lines);
        });
    }

    /// Calls that were turned away, and those of them that asked for the whole list.
    #[must_use]
    pub fn rejected_calls(&self) -> (u64, u64) {
        let calls = self.shared.calls();
        let all = calls.iter().filter(|call| call.rejected);
        (all.clone().count() as u64, all.filter(|call| call.after.is_none()).count() as u64)
    }

    /// The whole list, as a configuration's `known`.
    #[must_use]
    pub fn known(&self) -> Value {
        answer(&self.shared.list.borrow(), None)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// A backend's line of the list.
#[must_use]
pub fn endpoint_json(backend: &Backend, status: &str) -> Value {
    let spec = &backend.spec;
    json!({"name": spec.name, "address": backend.address.to_string(), "zone": spec.zone, "type": spec.kind,
           "group": spec.group, "status": status, "weight": 1.0, "since_ms": backend.since_ms})
}

fn answer(list: &List, after: Option<u64>) -> Value {
    let deleted = |line: &Value| line["status"] == "DELETED";
    let wanted = |at: u64, line: &Value| after.map_or(!deleted(line), |after| at > after);
    let lines = list.lines.values().filter(|(at, line)| wanted(*at, line)).map(|(_, line)| line);
    json!({"index": list.index, "snapshot": after.is_none(), "endpoints": lines.collect::<Vec<_>>()})
}

async fn listen(listener: TcpListener, address: SocketAddr, listener_index: usize, shared: Arc<Shared>) {
    let mut open = Ok(listener);
    let mut talks = tokio::task::JoinSet::new();
    let mut lives = shared.lives.subscribe();
    loop {
        let listener = match open {
            Ok(listener) => listener,
            Err(held) => {
                shared.switch.until(|f| f != Fault::Refusing).await;
                open = reopen(held, address);
                continue;
            }
        };
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    talks.spawn(serve(stream, listener_index, Arc::clone(&shared)));
                }
                open = Ok(listener);
            }
            () = shared.switch.until(|f| f == Fault::Refusing) => {
                drop(listener);
                open = Err(hold(address));
                talks.abort_all();
            }
            Ok(()) = lives.changed() => {
                talks.abort_all();
                open = Ok(listener);
            }
            Some(_) = talks.join_next(), if !talks.is_empty() => open = Ok(listener),
        }
    }
}

async fn serve(stream: TcpStream, listener_index: usize, shared: Arc<Shared>) -> Option<()> {
    let switch = &shared.switch;
    let mut stream = BufReader::new(stream);
    loop {
        let mut path = String::new();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).await.ok()? == 0 || line.len() > MAX_LINE_BYTES {
                return None;
            }
            if path.is_empty() {
                path = line.split(' ').nth(1)?.to_string();
            } else if line.trim_end().is_empty() {
                break;
            }
        }
        let number = |name: &str| -> Option<u64> {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?.parse().ok()
        };
        let (after, wait) = (number("after"), number("wait_ms").unwrap_or(0).min(60_000));
        let place = shared.note(listener_index, after, Duration::from_millis(wait));
        // What came while it is silent is worked on afterwards.
        switch.until(|f| f != Fault::Silent).await;
        let odd = shared.by_door[listener_index].fetch_add(1, Ordering::Relaxed).is_multiple_of(2);
        let away = switch.now() == Fault::Busy || odd && switch.now() == Fault::AlternateBusy;
        if away || !shared.work().await {
            if let Some(call) = shared.calls().get_mut(place) {
                call.rejected = true;
            }
            let busy = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            stream.write_all(busy).await.ok()?;
            return None;
        }
        if let Some(after) = after {
            let mut lists = shared.list.subscribe();
            let newer = lists.wait_for(|list| list.index != after);
            let _ = timeout(Duration::from_millis(wait), newer).await;
        }
        switch.delay().await;
        if matches!(switch.now(), Fault::Refusing | Fault::Resetting) {
            return None;
        }
        let garbled = switch.now() == Fault::Garbled;
        let body = if garbled {
            "{\"index\": 7, \"snap".to_string()
        } else {
            answer(&shared.list.borrow(), after).to_string()
        };
        let failing = switch.now() == Fault::Failing;
        let status = if failing { "500 Failed" } else { "200 OK" };
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}");
        stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).await.ok()?;
        if let Some(call) = shared.calls().get_mut(place).filter(|_| !garbled && !failing) {
            call.answered = Some(shared.started.elapsed());
        }
    }
}
