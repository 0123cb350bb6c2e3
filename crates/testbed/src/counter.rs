//! The shared counter, with a true store beside what it tells.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::switch::{Fault, Switch};

/// Names that it holds at most; a call for one more is turned away.
const MAX_KEYS: usize = 100_000;
/// The longest that it keeps a name.
const MAX_KEY_TTL: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct Store {
    totals: HashMap<String, (f64, Instant)>,
    calls: u64,
    /// All that was ever added, whatever was told or forgotten.
    added: f64,
    /// When calls came, and how long each stood before it was answered; the first [`MAX_RECORDED_WAITS`].
    waits: Vec<(Duration, Duration)>,
}

/// Calls whose waits are kept.
const MAX_RECORDED_WAITS: usize = 1_000_000;
/// Calls that may stand on one connection.
const MAX_QUEUED: usize = 4_096;

/// So much time lost by sleeps is made up for.
const SLEEPS_LONGER: Duration = Duration::from_millis(20);

/// Works on one call after another, so long on each.
#[derive(Clone, Debug)]
struct Work {
    each: Duration,
    turn: Arc<tokio::sync::Mutex<Instant>>,
}

impl Work {
    /// Takes its turn and works. Turns come one `each` after another on the whole: what sleeps last too long
    /// is made up for.
    async fn done(&self) {
        let mut free = self.turn.lock().await;
        let now = Instant::now();
        *free = (*free).max(now.checked_sub(SLEEPS_LONGER).unwrap_or(now)) + self.each;
        tokio::time::sleep_until((*free).into()).await;
    }
}

/// A running counter. It ends with the value.
#[derive(Debug)]
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    /// What is wrong with it.
    pub switch: Switch,
    store: Arc<Mutex<Store>>,
    begun: Instant,
    task: JoinHandle<()>,
}

impl Counter {
    /// Starts one that knows no names.
    ///
    /// # Errors
    /// The system's, if there is no port.
    pub async fn start() -> std::io::Result<Counter> {
        Counter::with_time_per_call(Duration::ZERO).await
    }

    /// Starts one that works on one call after another, so long on each; zero: on all at once.
    ///
    /// # Errors
    /// The system's, if there is no port.
    pub async fn with_time_per_call(each: Duration) -> std::io::Result<Counter> {
        let work = Work { each, turn: Arc::new(tokio::sync::Mutex::new(Instant::now())) };
        let begun = Instant::now();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (switch, store) = (Switch::default(), Arc::<Mutex<Store>>::default());
        let (faults, totals) = (switch.clone(), Arc::clone(&store));
        let task = tokio::spawn(async move {
            let mut talks = tokio::task::JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) if faults.now() != Fault::Refusing => {
                            let (work, totals) = ((work.clone(), begun), Arc::clone(&totals));
                            talks.spawn(serve(stream, faults.clone(), totals, work));
                        }
                        _ => {}
                    },
                    Some(_) = talks.join_next(), if !talks.is_empty() => {}
                    () = faults.until(|f| f == Fault::Refusing), if !talks.is_empty() => {
                        talks.shutdown().await;
                    }
                }
            }
        });
        Ok(Counter { address, switch, store, begun, task })
    }

    /// Calls that came, whatever was answered.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).calls
    }

    /// Time since its start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// When calls came, from its start, and how long each stood before it was answered; the first million.
    #[must_use]
    pub fn waits(&self) -> Vec<(Duration, Duration)> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).waits.clone()
    }

    /// All that was ever added: the true count, beside what was told.
    #[must_use]
    pub fn added(&self) -> f64 {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).added
    }

    /// Forgets all names, as a counter that was replaced by an empty one.
    pub fn clear(&self) {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).totals.clear();
    }
}

impl Drop for Counter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(stream: TcpStream, switch: Switch, store: Arc<Mutex<Store>>, (work, begun): (Work, Instant)) {
    let (reader, mut writer) = stream.into_split();
    let (stand, mut standing) = tokio::sync::mpsc::channel::<(String, Instant)>(MAX_QUEUED);
    // Calls are read as they come, so that their waits are those of their senders.
    let read = async move {
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if stand.send((line, Instant::now())).await.is_err() {
                return;
            }
        }
    };
    let answer = async move {
        while let Some((line, came)) = standing.recv().await {
            switch.delay().await;
            let answer = match switch.now() {
                Fault::Refusing | Fault::Resetting => return,
                Fault::Busy => "busy\r\n".to_string(),
                Fault::Failing => "error\r\n".to_string(),
                now => {
                    if !work.each.is_zero() {
                        work.done().await;
                    }
                    let said = call(&line, &store);
                    if now == Fault::Garbled {
                        "ok 1x\r\n".to_string()
                    } else {
                        said
                    }
                }
            };
            {
                let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
                if store.waits.len() < MAX_RECORDED_WAITS {
                    store.waits.push((came.duration_since(begun), came.elapsed()));
                }
            }
            if writer.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        // What stands is answered after the other side's last word.
        () = answer => {}
        () = async { read.await; std::future::pending::<()>().await } => {}
    }
}

fn call(line: &str, store: &Mutex<Store>) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let (name, amount, life) = match words[..] {
        ["ping"] => return "pong\r\n".to_string(),
        ["bump", name, amount, life] => (name, amount.parse::<f64>(), life.parse::<u64>()),
        _ => return "error\r\n".to_string(),
    };
    let (Ok(amount), Ok(life)) = (amount, life) else { return "error\r\n".to_string() };
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
    let until = now + Duration::from_millis(life).min(MAX_KEY_TTL);
    let total = store.totals.entry(name.to_string()).or_insert((0.0, until));
    if total.1 <= now {
        *total = (0.0, until);
    }
    total.0 += amount;
    format!("ok {}\r\n", total.0)
}
