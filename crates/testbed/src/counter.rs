//! A shared counter stand-in. It keeps correct totals even while a fault makes it send wrong answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::switch::{Fault, Switch};

/// Maximum number of counter names; a call for a further one is answered `busy`.
const MAX_KEYS: usize = 100_000;
/// Maximum lifetime of a total; a longer TTL in a call is reduced to it.
const MAX_KEY_TTL: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct Store {
    /// Total and expiry time by counter name.
    totals: HashMap<String, (f64, Instant)>,
    /// Number of executed `bump` calls.
    calls: u64,
    /// Sum of all amounts ever added, also of those that were cleared or whose answer was garbled.
    added: f64,
    /// Arrival time of each call and its time until the answer, up to [`MAX_RECORDED_WAITS`].
    waits: Vec<(Duration, Duration)>,
}

/// Maximum number of recorded waits.
const MAX_RECORDED_WAITS: usize = 1_000_000;
/// Maximum number of unanswered calls on one connection; reading pauses beyond it.
const MAX_QUEUED: usize = 4_096;

/// Maximum time lost to oversleeping that later calls make up for.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

/// Works on calls one after another, each for a fixed time.
#[derive(Clone, Debug)]
struct CallQueue {
    time_per_call: Duration,
    /// Time at which the work on all calls so far is done.
    free_at: Arc<tokio::sync::Mutex<Instant>>,
}

impl CallQueue {
    /// Waits for a call's turn and works on it. The average rate is one call per `time_per_call`: time lost
    /// to sleeps that last too long is made up for, up to [`MAX_CATCH_UP`].
    async fn work(&self) {
        let mut free_at = self.free_at.lock().await;
        let now = Instant::now();
        *free_at = (*free_at).max(now.checked_sub(MAX_CATCH_UP).unwrap_or(now)) + self.time_per_call;
        tokio::time::sleep_until((*free_at).into()).await;
    }
}

/// A running counter, stopped when dropped.
#[derive(Debug)]
pub struct Counter {
    /// Listen address.
    pub address: SocketAddr,
    /// Sets the counter's fault.
    pub switch: Switch,
    store: Arc<Mutex<Store>>,
    started: Instant,
    task: JoinHandle<()>,
}

impl Counter {
    /// Starts an empty counter that works on all calls at once.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub async fn start() -> std::io::Result<Counter> {
        Counter::with_time_per_call(Duration::ZERO).await
    }

    /// Starts an empty counter that works on calls one after another, each for this time; if it is
    /// zero, on all calls at once.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub async fn with_time_per_call(time_per_call: Duration) -> std::io::Result<Counter> {
        let queue = CallQueue { time_per_call, free_at: Arc::new(tokio::sync::Mutex::new(Instant::now())) };
        let started = Instant::now();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (switch, store) = (Switch::default(), Arc::<Mutex<Store>>::default());
        let (faults, totals) = (switch.clone(), Arc::clone(&store));
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) if faults.now() != Fault::Refusing => {
                            let (queue, totals) = ((queue.clone(), started), Arc::clone(&totals));
                            connections.spawn(serve(stream, faults.clone(), totals, queue));
                        }
                        _ => {}
                    },
                    Some(_) = connections.join_next(), if !connections.is_empty() => {}
                    () = faults.until(|f| f == Fault::Refusing), if !connections.is_empty() => {
                        connections.shutdown().await;
                    }
                }
            }
        });
        Ok(Counter { address, switch, store, started, task })
    }

    /// Returns the number of executed `bump` calls, without those answered by a busy or failing counter.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).calls
    }

    /// Returns the time since the counter's start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the arrival time since the counter's start and the time until the answer of the first million
    /// calls.
    #[must_use]
    pub fn waits(&self) -> Vec<(Duration, Duration)> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).waits.clone()
    }

    /// Returns the sum of all amounts ever added, also of those whose answer was garbled.
    #[must_use]
    pub fn added(&self) -> f64 {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).added
    }

    /// Clears all totals, like a counter that was replaced by an empty one.
    pub fn clear(&self) {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).totals.clear();
    }
}

impl Drop for Counter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    stream: TcpStream,
    switch: Switch,
    store: Arc<Mutex<Store>>,
    (queue, started): (CallQueue, Instant),
) {
    let (reader, mut writer) = stream.into_split();
    let (sender, mut pending) = tokio::sync::mpsc::channel::<(String, Instant)>(MAX_QUEUED);
    // Calls are read as they arrive, so that a recorded wait includes the time queued on the connection.
    let read = async move {
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if sender.send((line, Instant::now())).await.is_err() {
                return;
            }
        }
    };
    let answer = async move {
        while let Some((line, arrived)) = pending.recv().await {
            switch.delay().await;
            let answer = match switch.now() {
                Fault::Refusing | Fault::Resetting => return,
                Fault::Busy => "busy\r\n".to_string(),
                Fault::Failing => "error\r\n".to_string(),
                now => {
                    if !queue.time_per_call.is_zero() {
                        queue.work().await;
                    }
                    let answer = call(&line, &store);
                    if now == Fault::Garbled {
                        "ok 1x\r\n".to_string()
                    } else {
                        answer
                    }
                }
            };
            {
                let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
                if store.waits.len() < MAX_RECORDED_WAITS {
                    store.waits.push((arrived.duration_since(started), arrived.elapsed()));
                }
            }
            if writer.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        // Calls read before the caller closed its sending side are still answered.
        () = answer => {}
        () = async { read.await; std::future::pending::<()>().await } => {}
    }
}

/// Executes one call and returns its answer.
fn call(line: &str, store: &Mutex<Store>) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (name, amount, ttl_ms) = match words[..] {
        ["ping"] => return "pong\r\n".to_string(),
        ["bump", name, amount, ttl_ms] => (name, amount.parse::<f64>(), ttl_ms.parse::<u64>()),
        _ => return "error\r\n".to_string(),
    };
    let (Ok(amount), Ok(ttl_ms)) = (amount, ttl_ms) else { return "error\r\n".to_string() };
    let now = Instant::now();
    let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
    store.calls += 1;
    if store.totals.len() >= MAX_KEYS {
        store.totals.retain(|_, (_, until)| *until > now);
        if store.totals.len() >= MAX_KEYS {
            return "busy\r\n".to_string();
        }
    }
    store.added += amount;
    let until = now + Duration::from_millis(ttl_ms).min(MAX_KEY_TTL);
    let total = store.totals.entry(name.to_string()).or_insert((0.0, until));
    if total.1 <= now {
        *total = (0.0, until);
    }
    total.0 += amount;
    format!("ok {}\r\n", total.0)
}
