//! A backend stand-in with a fixed service time and a limited number of slots.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::journal::{AttemptResult, Class, Event, Journal};
use crate::resp;
use crate::switch::{Fault, Switch};

/// Properties of a backend.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name on the endpoint list.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Instance type.
    pub kind: String,
    /// Group (cell) on the endpoint list.
    pub group: u32,
    /// Maximum number of requests that run at the same time. As many again may wait; further ones are
    /// rejected.
    pub slots: usize,
    /// Service time of a request once it has a slot.
    pub service_time: Duration,
    /// For a cold backend: the factor on `service_time` at its start, and the time over which it falls
    /// linearly to 1.
    pub cold: Option<(f64, Duration)>,
    /// Maximum number of open connections. A request on a further one is rejected, and the connection closed.
    pub connections: usize,
}

impl Spec {
    /// A backend with default properties: groups of two by number, one zone, one instance type.
    #[must_use]
    pub fn plain(number: usize) -> Spec {
        Spec {
            name: format!("till-{number}"),
            zone: "room".to_string(),
            kind: "m".to_string(),
            group: (number / 2) as u32,
            slots: 16,
            service_time: Duration::from_millis(5),
            cold: None,
            connections: usize::MAX,
        }
    }
}

/// A running backend, stopped when dropped.
#[derive(Debug)]
pub struct Backend {
    /// Properties with which it was started.
    pub spec: Spec,
    /// Listen address.
    pub address: SocketAddr,
    /// Start time, Unix ms, for a backend that starts cold; otherwise 0.
    pub since_ms: f64,
    /// Sets the backend's fault.
    pub switch: Switch,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Counts {
    arrived: AtomicU64,
    served: AtomicU64,
    in_flight: AtomicUsize,
    connections: AtomicUsize,
    refused: AtomicU64,
    /// Times of accepted connections by the journal's clock, up to [`MAX_ACCEPTED`].
    accepted: Mutex<Vec<Duration>>,
}

/// Maximum number of recorded connection times.
const MAX_ACCEPTED: usize = 100_000;

impl Backend {
    /// Starts a backend on a port of the system's choice.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub async fn start(spec: Spec, journal: Journal) -> std::io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (switch, counts) = (Switch::default(), Arc::<Counts>::default());
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let since_ms = spec.cold.map_or(0.0, |_| unix.as_secs_f64() * 1000.0);
        if spec.cold.is_some() {
            journal.note(Event::BackendStarted { backend: spec.name.clone(), slots: spec.slots });
        }
        let server = Server {
            slots: Arc::new(Semaphore::new(spec.slots)),
            spec: spec.clone(),
            started: Instant::now(),
            switch: switch.clone(),
            counts: Arc::clone(&counts),
            journal,
        };
        let task = tokio::spawn(Arc::new(server).listen(listener, address));
        Ok(Backend { spec, address, since_ms, switch, counts, task })
    }

    /// Returns the number of completely received requests.
    #[must_use]
    pub fn arrived(&self) -> u64 {
        self.counts.arrived.load(Ordering::Relaxed)
    }

    /// Returns the number of served requests.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.counts.served.load(Ordering::Relaxed)
    }

    /// Returns the times of the first 100,000 accepted connections by the journal's clock.
    #[must_use]
    pub fn accepted(&self) -> Vec<Duration> {
        self.counts.accepted.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of connections beyond [`Spec::connections`].
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.counts.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.counts.connections.load(Ordering::Relaxed)
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Server {
    spec: Spec,
    started: Instant,
    slots: Arc<Semaphore>,
    switch: Switch,
    counts: Arc<Counts>,
    journal: Journal,
}

impl Server {
    async fn listen(self: Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let mut open = Ok(listener);
        // Dropping the set closes the connections with their backend.
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let listener = match open {
                Ok(listener) => listener,
                Err(held) => {
                    self.switch.until(|f| f != Fault::Refusing).await;
                    open = reopen(held, address);
                    continue;
                }
            };
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections.spawn(Arc::clone(&self).connection(stream));
                    }
                    open = Ok(listener);
                }
                () = self.switch.until(|f| f == Fault::Refusing) => {
                    drop(listener);
                    open = Err(hold(address));
                    connections.abort_all();
                }
                Some(_) = connections.join_next(), if !connections.is_empty() => open = Ok(listener),
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let refused = self.counts.connections.fetch_add(1, Ordering::Relaxed) >= self.spec.connections;
        self.counts.refused.fetch_add(u64::from(refused), Ordering::Relaxed);
        {
            let mut accepted = self.counts.accepted.lock().unwrap_or_else(PoisonError::into_inner);
            if accepted.len() < MAX_ACCEPTED {
                accepted.push(self.journal.now());
            }
        }
        let _open = OpenConnection(Arc::clone(&self));
        let _ = stream.set_nodelay(true);
        let (mut stream, mut buffer) = (stream, BytesMut::new());
        while let Some(message) = resp::read(&mut stream, &mut buffer).await {
            let Some(words) = resp::words(message.frame) else { return };
            let answer = if words.first().is_some_and(|w| w.starts_with("API.")) {
                let first_byte_at = self.journal.now().saturating_sub(message.took);
                tokio::select! {
                    answer = self.request(&words, first_byte_at, refused) => answer,
                    // The gateway closes the connection when it gives up on the request.
                    () = closed_by_peer(&stream) => return,
                }
            } else {
                self.switch.delay().await;
                Some("+PONG\r\n".to_string())
            };
            let Some(answer) = answer else {
                // Zero linger makes the close a reset; data already sent may be lost.
                let _ = stream.set_zero_linger();
                return;
            };
            if stream.write_all(answer.as_bytes()).await.is_err() || refused {
                return;
            }
        }
    }

    /// Works on a request and returns the answer, or `None` to reset the connection.
    async fn request(&self, words: &[String], first_byte_at: Duration, refused: bool) -> Option<String> {
        let terms = words.get(3)?;
        let id = u64::from_str_radix(words.get(2)?, 16).ok()?;
        let term = |name: &str| terms.split(',').find_map(|t| t.strip_prefix(name));
        let key = term("k=").map(str::to_string);
        let class = match (&key, words[0] == "API.READ") {
            (_, true) => Class::Safe,
            (Some(_), false) => Class::Keyed,
            (None, false) => Class::Unsafe,
        };
        let (backend, group) = (self.spec.name.clone(), self.spec.group);
        let fault = self.switch.now();
        let has_room = self.counts.in_flight.fetch_add(1, Ordering::Relaxed) < 2 * self.spec.slots;
        let ran = has_room && fault != Fault::Busy && !refused;
        self.counts.arrived.fetch_add(1, Ordering::Relaxed);
        self.journal.note(Event::AttemptReceived { id, key, class, backend, group, first_byte_at, ran });
        let mut running = RunningRequest { server: self, id, result: AttemptResult::Aborted };
        if !ran {
            running.result = AttemptResult::Rejected;
            return Some("-BUSY\r\n".to_string());
        }
        let Ok(_slot) = self.slots.acquire().await else { return None };
        sleep(self.service_time()).await;
        self.switch.delay().await;
        match self.switch.now() {
            Fault::Resetting => None,
            Fault::Garbled => Some("\u{1}\u{2}noise\r\n".to_string()),
            Fault::Failing => {
                running.result = AttemptResult::Failed;
                Some("-ERR failed\r\n".to_string())
            }
            _ => {
                running.result = AttemptResult::Served;
                self.counts.served.fetch_add(1, Ordering::Relaxed);
                let units = term("units=").unwrap_or("1");
                let (value, used) = (format!("{id:016x}"), format!("used=0,cost={units}"));
                Some(format!("*3\r\n$16\r\n{value}\r\n${}\r\n{used}\r\n$-1\r\n", used.len()))
            }
        }
    }

    fn service_time(&self) -> Duration {
        let Some((initial_factor, warm_up)) = self.spec.cold else { return self.spec.service_time };
        let remaining = 1.0 - (self.started.elapsed().as_secs_f64() / warm_up.as_secs_f64()).min(1.0);
        self.spec.service_time.mul_f64(1.0 + (initial_factor - 1.0).max(0.0) * remaining)
    }
}

/// Binds an address without listening, so that connections are refused and no other socket can take it.
pub(crate) fn hold(address: SocketAddr) -> Option<TcpSocket> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok().map(|()| socket)
}

/// Listens again on a held address; on failure keeps holding it.
pub(crate) fn reopen(held: Option<TcpSocket>, address: SocketAddr) -> Result<TcpListener, Option<TcpSocket>> {
    let listener = held.or_else(|| hold(address)).and_then(|socket| socket.listen(1024).ok());
    listener.ok_or_else(|| hold(address))
}

/// Waits until the peer has closed the connection.
async fn closed_by_peer(stream: &TcpStream) {
    loop {
        let mut byte = [0];
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // The bytes of the next command have arrived; the current command is still being worked on.
            Ok(_) => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Records the end of a request when dropped, so also when its connection ends early.
struct RunningRequest<'a> {
    server: &'a Server,
    id: u64,
    result: AttemptResult,
}

impl Drop for RunningRequest<'_> {
    fn drop(&mut self) {
        self.server.counts.in_flight.fetch_sub(1, Ordering::Relaxed);
        let backend = self.server.spec.name.clone();
        self.server.journal.note(Event::AttemptEnded { id: self.id, backend, result: self.result });
    }
}

/// Counts a connection as closed when dropped.
struct OpenConnection(Arc<Server>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.counts.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
