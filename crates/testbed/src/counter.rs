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
const NAMES_MOST: usize = 100_000;
/// The longest that it keeps a name.
const LIFE_MOST: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct Store {
    totals: HashMap<String, (f64, Instant)>,
    calls: u64,
    /// All that was ever added, whatever was told or forgotten.
    added: f64,
}

/// A running counter. It ends with the value.
#[derive(Debug)]
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    /// What is wrong with it.
    pub switch: Switch,
    store: Arc<Mutex<Store>>,
    task: JoinHandle<()>,
}

impl Counter {
    /// Starts one that knows no names.
    ///
    /// # Errors
    /// The system's, if there is no port.
    pub async fn start() -> std::io::Result<Counter> {
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
                            talks.spawn(serve(stream, faults.clone(), Arc::clone(&totals)));
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
        Ok(Counter { address, switch, store, task })
    }

    /// Calls that came, whatever was answered.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).calls
    }

    /// All that was ever added: the true count, beside what was told.
    #[must_use]
    pub fn added(&self) -> f64 {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).added
    }

    /// Forgets all names, as a counter that was replaced by an empty one.
    pub fn empty(&self) {
        self.store.lock().unwrap_or_else(PoisonError::into_inner).totals.clear();
    }
}

impl Drop for Counter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(stream: TcpStream, switch: Switch, store: Arc<Mutex<Store>>) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        switch.delay().await;
        let answer = match switch.now() {
            Fault::Refusing | Fault::Resetting => return None,
            Fault::Busy => "busy\r\n".to_string(),
            Fault::Failing => "error\r\n".to_string(),
            now => {
                let said = call(&line, &store);
                if now == Fault::Garbled {
                    "ok 1x\r\n".to_string()
                } else {
                    said
                }
            }
        };
        stream.get_mut().write_all(answer.as_bytes()).await.ok()?;
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
    if store.totals.len() >= NAMES_MOST {
        store.totals.retain(|_, (_, until)| *until > now);
        if store.totals.len() >= NAMES_MOST {
            return "busy\r\n".to_string();
        }
    }
    store.added += amount;
    let until = now + Duration::from_millis(life).min(LIFE_MOST);
    let total = store.totals.entry(name.to_string()).or_insert((0.0, until));
    if total.1 <= now {
        *total = (0.0, until);
    }
    total.0 += amount;
    format!("ok {}\r\n", total.0)
}
