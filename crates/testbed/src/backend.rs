//! A backend: a till server that takes so long for each request, so many at once.

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

/// How a backend is made.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its name on the list.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its type.
    pub kind: String,
    /// Its group.
    pub group: u32,
    /// Requests that it works on at once; as many again may wait, and further ones are turned away.
    pub slots: usize,
    /// How long a request takes once it has a slot.
    pub service_time: Duration,
    /// A cold one takes as many times longer at its start, and gets to `takes` evenly over this time.
    pub cold: Option<(f64, Duration)>,
    /// It has so many connections at most; requests on one more are turned away, and it is closed.
    pub connections: usize,
}

impl Spec {
    /// A plain one of this number: groups of two, one zone, one type.
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

/// A running backend. It ends with the value.
#[derive(Debug)]
pub struct Backend {
    /// How it was made.
    pub spec: Spec,
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, Unix time in ms; 0 if it was never cold.
    pub since_ms: f64,
    /// What is wrong with it.
    pub switch: Switch,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Counts {
    arrived: AtomicU64,
    served: AtomicU64,
    open: AtomicUsize,
    connections: AtomicUsize,
    over: AtomicU64,
    /// When connections came, by the journal's clock; the first [`MAX_ACCEPTED`] of them.
    accepted: Mutex<Vec<Duration>>,
}

/// Moments of connections that are kept.
const MAX_ACCEPTED: usize = 100_000;

impl Backend {
    /// Starts one on a port of the system's choice.
    ///
    /// # Errors
    /// The system's, if there is no port.
    pub async fn start(spec: Spec, journal: Journal) -> std::io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (switch, counts) = (Switch::default(), Arc::<Counts>::default());
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let since_ms = spec.cold.map_or(0.0, |_| unix.as_secs_f64() * 1000.0);
        if spec.cold.is_some() {
            journal.note(Event::BackendStarted { backend: spec.name.clone(), slots: spec.slots });
        }
        let serving = Serving {
            slots: Arc::new(Semaphore::new(spec.slots)),
            spec: spec.clone(),
            started: Instant::now(),
            switch: switch.clone(),
            counts: Arc::clone(&counts),
            journal,
        };
        let task = tokio::spawn(Arc::new(serving).listen(listener, address));
        Ok(Backend { spec, address, since_ms, switch, counts, task })
    }

    /// Requests that came whole.
    #[must_use]
    pub fn arrived(&self) -> u64 {
        self.counts.arrived.load(Ordering::Relaxed)
    }

    /// Requests that were served.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.counts.served.load(Ordering::Relaxed)
    }

    /// When connections came, by the journal's clock; the first 100,000 of them.
    #[must_use]
    pub fn accepted(&self) -> Vec<Duration> {
        self.counts.accepted.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Connections that came beyond those that it has.
    #[must_use]
    pub fn refused_connections(&self) -> u64 {
        self.counts.over.load(Ordering::Relaxed)
    }

    /// Connections that are open.
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

struct Serving {
    spec: Spec,
    started: Instant,
    slots: Arc<Semaphore>,
    switch: Switch,
    counts: Arc<Counts>,
    journal: Journal,
}

impl Serving {
    async fn listen(self: Arc<Self>, listener: TcpListener, address: SocketAddr) {
        let mut open = Ok(listener);
        // The connections end with their backend.
        let mut talks = tokio::task::JoinSet::new();
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
                        talks.spawn(Arc::clone(&self).connection(stream));
                    }
                    open = Ok(listener);
                }
                () = self.switch.until(|f| f == Fault::Refusing) => {
                    drop(listener);
                    open = Err(hold(address));
                    talks.abort_all();
                }
                Some(_) = talks.join_next(), if !talks.is_empty() => open = Ok(listener),
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let over = self.counts.connections.fetch_add(1, Ordering::Relaxed) >= self.spec.connections;
        self.counts.over.fetch_add(u64::from(over), Ordering::Relaxed);
        {
            let mut accepted = self.counts.accepted.lock().unwrap_or_else(PoisonError::into_inner);
            if accepted.len() < MAX_ACCEPTED {
                accepted.push(self.journal.now());
            }
        }
        let _leaves = Leaves(Arc::clone(&self));
        let _ = stream.set_nodelay(true);
        let (mut stream, mut buffer) = (stream, BytesMut::new());
        while let Some(message) = resp::read(&mut stream, &mut buffer).await {
            let Some(words) = resp::words(message.frame) else { return };
            let answer = if words.first().is_some_and(|w| w.starts_with("API.")) {
                let began = self.journal.now().saturating_sub(message.took);
                tokio::select! {
                    answer = self.request(&words, began, over) => answer,
                    // Its gateway has given up.
                    () = gone(&stream) => return,
                }
            } else {
                self.switch.delay().await;
                Some("+PONG\r\n".to_string())
            };
            let Some(answer) = answer else {
                // A reset, not an end: what was sent may be lost on the way.
                let _ = stream.set_zero_linger();
                return;
            };
            if stream.write_all(answer.as_bytes()).await.is_err() || over {
                return;
            }
        }
    }

    /// Works on a request and gives the answer; `None` for a reset.
    async fn request(&self, words: &[String], began: Duration, over: bool) -> Option<String> {
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
        let room = self.counts.open.fetch_add(1, Ordering::Relaxed) < 2 * self.spec.slots;
        let ran = room && fault != Fault::Busy && !over;
        self.counts.arrived.fetch_add(1, Ordering::Relaxed);
        self.journal.note(Event::AttemptReceived { id, key, class, backend, group, began, ran });
        let mut end = End { serving: self, id, ended: AttemptResult::Aborted };
        if !ran {
            end.ended = AttemptResult::Rejected;
            return Some("-BUSY\r\n".to_string());
        }
        let Ok(_slot) = self.slots.acquire().await else { return None };
        sleep(self.takes()).await;
        self.switch.delay().await;
        match self.switch.now() {
            Fault::Resetting => None,
            Fault::Garbled => Some("\u{1}\u{2}noise\r\n".to_string()),
            Fault::Failing => {
                end.ended = AttemptResult::Failed;
                Some("-ERR failed\r\n".to_string())
            }
            _ => {
                end.ended = AttemptResult::Served;
                self.counts.served.fetch_add(1, Ordering::Relaxed);
                let units = term("units=").unwrap_or("1");
                let (value, used) = (format!("{id:016x}"), format!("used=0,cost={units}"));
                Some(format!("*3\r\n$16\r\n{value}\r\n${}\r\n{used}\r\n$-1\r\n", used.len()))
            }
        }
    }

    fn takes(&self) -> Duration {
        let Some((slower, warm_up)) = self.spec.cold else { return self.spec.service_time };
        let cold = 1.0 - (self.started.elapsed().as_secs_f64() / warm_up.as_secs_f64()).min(1.0);
        self.spec.service_time.mul_f64(1.0 + (slower - 1.0).max(0.0) * cold)
    }
}

/// Holds an address without listening there, so that connections are refused and nobody else takes it.
pub(crate) fn hold(address: SocketAddr) -> Option<TcpSocket> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_reuseaddr(true).ok()?;
    socket.bind(address).ok().map(|()| socket)
}

/// Listens again; holds the address on if that fails.
pub(crate) fn reopen(held: Option<TcpSocket>, address: SocketAddr) -> Result<TcpListener, Option<TcpSocket>> {
    let listener = held.or_else(|| hold(address)).and_then(|socket| socket.listen(1024).ok());
    listener.ok_or_else(|| hold(address))
}

/// Waits until the other side has closed.
async fn gone(stream: &TcpStream) {
    loop {
        let mut byte = [0];
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => return,
            // A command behind the one that is worked on.
            Ok(_) => sleep(Duration::from_millis(5)).await,
        }
    }
}

/// Notes how a request ended, also when its connection ends first.
struct End<'a> {
    serving: &'a Serving,
    id: u64,
    ended: AttemptResult,
}

impl Drop for End<'_> {
    fn drop(&mut self) {
        self.serving.counts.open.fetch_sub(1, Ordering::Relaxed);
        let backend = self.serving.spec.name.clone();
        self.serving.journal.note(Event::AttemptEnded { id: self.id, backend, ended: self.ended });
    }
}

struct Leaves(Arc<Serving>);

impl Drop for Leaves {
    fn drop(&mut self) {
        self.0.counts.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
