//! A discovery service stand-in: serves the endpoint list over HTTP, with versions and long polls.

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

/// Maximum length of a request line or header line, bytes.
const MAX_LINE_BYTES: usize = 4096;

#[derive(Clone, Debug, Default)]
struct List {
    /// Version of the list.
    index: u64,
    /// Endpoints by backend name, each with the version that changed it last.
    endpoints: BTreeMap<String, (u64, Value)>,
}

/// Call capacity of a discovery service.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryCapacity {
    /// Time to work on a call; calls are worked on one after another.
    pub time_per_call: Duration,
    /// Calls that may be queued or in progress; further ones are rejected.
    pub max_queued: usize,
}

/// A completely received call for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// Time of arrival since the service's start.
    pub at: Duration,
    /// Index in [`Discovery::addresses`] of the address that was called.
    pub listener_index: usize,
    /// Version after which changes are wanted; `None` asks for the whole list.
    pub after: Option<u64>,
    /// Longest time that the call may wait for a change (long poll).
    pub wait: Duration,
    /// Time since the service's start at which an answer with a list was written.
    pub answered: Option<Duration>,
    /// Whether the service rejected the call with status 503.
    pub rejected: bool,
}

/// Maximum number of recorded calls.
const MAX_RECORDED_CALLS: usize = 400_000;

struct Shared {
    started: Instant,
    switch: Switch,
    capacity: Option<DiscoveryCapacity>,
    list: watch::Sender<List>,
    /// Number of calls of [`Discovery::restart_at_index`]; each closes all connections.
    restarts: watch::Sender<u64>,
    calls: Mutex<Vec<DiscoveryCall>>,
    /// Number of calls on each listener.
    calls_by_listener: Vec<AtomicU64>,
    /// Number of queued calls, and when the service will have worked on all of them.
    queue: Mutex<(usize, Instant)>,
}

impl Shared {
    fn calls(&self) -> MutexGuard<'_, Vec<DiscoveryCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn queue(&self) -> MutexGuard<'_, (usize, Instant)> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a call and returns its index among the recorded calls, or `usize::MAX` if there is no room.
    fn record(&self, listener_index: usize, after: Option<u64>, wait: Duration) -> usize {
        let at = self.started.elapsed();
        let mut calls = self.calls();
        if calls.len() >= MAX_RECORDED_CALLS {
            return usize::MAX;
        }
        calls.push(DiscoveryCall { at, listener_index, after, wait, answered: None, rejected: false });
        calls.len() - 1
    }

    /// Queues a call and waits until it has been worked on; returns `false` if the queue is full.
    async fn work(&self) -> bool {
        let Some(DiscoveryCapacity { time_per_call, max_queued }) = self.capacity else { return true };
        let done = {
            let mut queue = self.queue();
            if queue.0 >= max_queued {
                return false;
            }
            queue.0 += 1;
            queue.1 = queue.1.max(Instant::now()) + time_per_call;
            queue.1
        };
        let _queued = QueuedCall(self);
        sleep_until(done).await;
        true
    }
}

/// Removes a call from the queue when dropped, so also when its connection ends early.
struct QueuedCall<'a>(&'a Shared);

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        self.0.queue().0 -= 1;
    }
}

/// A running discovery service, stopped when dropped.
pub struct Discovery {
    /// First listen address.
    pub address: SocketAddr,
    /// All listen addresses. Giving each caller its own tells their calls apart.
    pub addresses: Vec<SocketAddr>,
    /// Sets the service's fault.
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
    /// Starts a service with an empty list, one address and unlimited capacity.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub async fn start() -> std::io::Result<Discovery> {
        Discovery::with_listeners(1, None).await
    }

    /// Starts a service with this many addresses (at least one) and, optionally, a limited capacity.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
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
            restarts: watch::Sender::new(0),
            calls: Mutex::default(),
            calls_by_listener: (0..listeners.max(1)).map(|_| AtomicU64::new(0)).collect(),
            queue: Mutex::new((0, started)),
        });
        let (mut addresses, mut tasks) = (Vec::new(), Vec::new());
        for listener_index in 0..listeners.max(1) {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            addresses.push(address);
            tasks.push(tokio::spawn(listen(listener, address, listener_index, Arc::clone(&shared))));
        }
        Ok(Discovery { address: addresses[0], addresses, switch, shared, tasks })
    }

    /// Returns all recorded calls in order of arrival.
    #[must_use]
    pub fn calls(&self) -> Vec<DiscoveryCall> {
        self.shared.calls().clone()
    }

    /// Returns the time since the service's start, the clock of [`DiscoveryCall`].
    #[must_use]
    pub fn now(&self) -> Duration {
        self.shared.started.elapsed()
    }

    /// Simulates a replacement of the service by another one: closes all connections and serves the same
    /// list as version `index`.
    pub fn restart_at_index(&self, index: u64) {
        self.shared.list.send_modify(|list| {
            list.index = index;
            list.endpoints.values_mut().for_each(|endpoint| endpoint.0 = index);
        });
        self.shared.restarts.send_modify(|restarts| *restarts += 1);
    }

    /// Lists a backend with a status: `SERVING` or `DRAINING`.
    pub fn list(&self, backend: &Backend, status: &str) {
        self.publish(&backend.spec.name, endpoint_json(backend, status));
    }

    /// Removes a backend from the list.
    pub fn delete(&self, backend: &Backend) {
        self.publish(&backend.spec.name, endpoint_json(backend, "DELETED"));
    }

    /// Replaces a backend by another in one version, so that a watch receives both changes at once.
    pub fn replace_backend(&self, new: &Backend, old: &Backend) {
        self.publish_all([
            (&old.spec.name, endpoint_json(old, "DELETED")),
            (&new.spec.name, endpoint_json(new, "SERVING")),
        ]);
    }

    /// Publishes an endpoint as the given JSON, without checking it.
    pub fn publish(&self, name: &str, endpoint: Value) {
        self.publish_all([(name, endpoint)]);
    }

    /// Publishes endpoints in one version, without checking them.
    fn publish_all<'a>(
        &self,
        endpoints: impl IntoIterator<Item = (&'a (impl AsRef<str> + ?Sized + 'a), Value)>,
    ) {
        self.shared.list.send_modify(|list| {
            list.index += 1;
            let index = list.index;
            let endpoints =
                endpoints.into_iter().map(|(name, json)| (name.as_ref().to_string(), (index, json)));
            list.endpoints.extend(endpoints);
        });
    }

    /// Returns the number of rejected calls, and the number of those that asked for the whole list.
    #[must_use]
    pub fn rejected_calls(&self) -> (u64, u64) {
        let calls = self.shared.calls();
        let all = calls.iter().filter(|call| call.rejected);
        (all.clone().count() as u64, all.filter(|call| call.after.is_none()).count() as u64)
    }

    /// Returns the whole list in the form of a configuration's `known`.
    #[must_use]
    pub fn known(&self) -> Value {
        list_json(&self.shared.list.borrow(), None)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Returns a backend's endpoint as it appears in the list.
#[must_use]
pub fn endpoint_json(backend: &Backend, status: &str) -> Value {
    let spec = &backend.spec;
    json!({"name": spec.name, "address": backend.address.to_string(), "zone": spec.zone, "type": spec.kind,
           "group": spec.group, "status": status, "weight": 1.0, "since_ms": backend.since_ms})
}

fn list_json(list: &List, after: Option<u64>) -> Value {
    let deleted = |endpoint: &Value| endpoint["status"] == "DELETED";
    let wanted = |at: u64, endpoint: &Value| after.map_or(!deleted(endpoint), |after| at > after);
    let endpoints =
        list.endpoints.values().filter(|(at, endpoint)| wanted(*at, endpoint)).map(|(_, endpoint)| endpoint);
    json!({"index": list.index, "snapshot": after.is_none(), "endpoints": endpoints.collect::<Vec<_>>()})
}

async fn listen(listener: TcpListener, address: SocketAddr, listener_index: usize, shared: Arc<Shared>) {
    let mut open = Ok(listener);
    let mut connections = tokio::task::JoinSet::new();
    let mut restarts = shared.restarts.subscribe();
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
                    connections.spawn(serve(stream, listener_index, Arc::clone(&shared)));
                }
                open = Ok(listener);
            }
            () = shared.switch.until(|f| f == Fault::Refusing) => {
                drop(listener);
                open = Err(hold(address));
                connections.abort_all();
            }
            Ok(()) = restarts.changed() => {
                connections.abort_all();
                open = Ok(listener);
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => open = Ok(listener),
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
        let query_number = |name: &str| -> Option<u64> {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?.parse().ok()
        };
        let (after, wait) = (query_number("after"), query_number("wait_ms").unwrap_or(0).min(60_000));
        let recorded = shared.record(listener_index, after, Duration::from_millis(wait));
        // Calls received while the service is silent are worked on afterwards.
        switch.until(|f| f != Fault::Silent).await;
        // `fetch_add` returns 0 at the first call, so this holds for the first, third, fifth, ... call.
        let alternate =
            shared.calls_by_listener[listener_index].fetch_add(1, Ordering::Relaxed).is_multiple_of(2);
        let rejected = switch.now() == Fault::Busy || alternate && switch.now() == Fault::AlternateBusy;
        if rejected || !shared.work().await {
            if let Some(call) = shared.calls().get_mut(recorded) {
                call.rejected = true;
            }
            let response =
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
            stream.write_all(response).await.ok()?;
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
            list_json(&shared.list.borrow(), after).to_string()
        };
        let failing = switch.now() == Fault::Failing;
        let status = if failing { "500 Failed" } else { "200 OK" };
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}");
        stream.write_all(format!("{head}\r\n\r\n{body}").as_bytes()).await.ok()?;
        if let Some(call) = shared.calls().get_mut(recorded).filter(|_| !garbled && !failing) {
            call.answered = Some(shared.started.elapsed());
        }
    }
}
