//! Calls to the shared counter, one behind another on a few connections.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use slatelock::interface::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Connections; the counter holds 32 of a gateway. A slow call holds up those behind it on its own only.
const CONNECTIONS: u64 = 4;
/// Calls that may wait on one connection; the counter is long lost when there are more.
const CALLS_MOST: usize = 64;
/// A connection on which a call has waited for so many time-outs is replaced when the next one comes.
const STALLED: u32 = 10;
/// Pause after a connection on which the counter was never heard: the first, and the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// The longest line of an answer.
const LINE_MOST: usize = 128;
/// The counter keeps no name longer.
const LIFE_MOST_MS: f64 = 60_000.0;

/// A call.
#[derive(Debug)]
pub struct Call {
    /// Given back with the outcome.
    pub number: u64,
    pub name: u64,
    pub amount: f64,
    pub life_ms: f64,
    /// When it was made.
    pub at: Instant,
}

/// How a call ended.
#[derive(Clone, Copy, Debug)]
pub struct Counted {
    pub number: u64,
    pub outcome: Outcome,
    /// The name's value after it, where the outcome is [`Outcome::Ok`]; not finite if it can't be read.
    pub total: f64,
}

/// The counter as the driver sees it.
#[derive(Debug)]
pub struct Counter {
    /// How long a call may take.
    pub wait: Duration,
    lines: Vec<mpsc::Sender<Call>>,
}

impl Counter {
    /// Sets up the connections; each is opened with its first call. Outcomes go to the inbox, in the order
    /// of the calls of a name. Whoever calls keeps the time: an outcome may come late, or never while the
    /// counter is silent.
    pub fn start<T>(address: SocketAddr, wait: Duration, inbox: &mpsc::Sender<T>) -> Self
    where
        T: From<Counted> + Send + 'static,
    {
        let line = |_| {
            let (calls, queue) = mpsc::channel(CALLS_MOST);
            let line = Line { address, wait, queue, inbox: inbox.clone(), out: VecDeque::new() };
            tokio::spawn(line.run());
            calls
        };
        Counter { wait, lines: (0..CONNECTIONS).map(line).collect() }
    }

    /// Makes a call; `false` if there is no room for it. Calls of one name share a connection, so that
    /// their answers come in order.
    pub fn call(&self, call: Call) -> bool {
        self.lines[(call.name % CONNECTIONS) as usize].try_send(call).is_ok()
    }
}

struct Line<T> {
    address: SocketAddr,
    wait: Duration,
    queue: mpsc::Receiver<Call>,
    inbox: mpsc::Sender<T>,
    /// Numbers of the calls that were written and not answered, and when they were made.
    out: VecDeque<(u64, Instant)>,
}

/// A connection is of no more use.
struct Lost;

impl<T: From<Counted>> Line<T> {
    async fn run(mut self) {
        let mut pause = PAUSE.0;
        let mut next = self.queue.recv().await;
        while let Some(first) = next {
            let connected = timeout(self.wait, TcpStream::connect(self.address)).await;
            let (heard, unwritten) = match connected {
                Ok(Ok(stream)) => self.talk(stream, first).await,
                _ => (false, Some(first)),
            };
            // What was written may have been added.
            while let Some((number, _)) = self.out.pop_front() {
                self.report(number, Outcome::Reset, 0.0).await;
            }
            if heard {
                // A fresh connection does at once.
                pause = PAUSE.0;
                next = match unwritten {
                    Some(call) => Some(call),
                    None => self.queue.recv().await,
                };
                continue;
            }
            if let Some(call) = unwritten {
                self.report(call.number, Outcome::ConnectFailed, 0.0).await;
            }
            // Danger: a storm of connections to a counter that is down. For a while no call is written.
            let until = Instant::now() + pause;
            while let Ok(Some(call)) = timeout_at(until, self.queue.recv()).await {
                self.report(call.number, Outcome::ConnectFailed, 0.0).await;
            }
            pause = (pause * 2).min(PAUSE.1);
            next = self.queue.recv().await;
        }
    }

    /// Calls on a connection until it ends; tells whether the counter was heard on it, and gives back the
    /// call that could not be written whole, which was not added.
    async fn talk(&mut self, mut stream: TcpStream, first: Call) -> (bool, Option<Call>) {
        let mut buffer = BytesMut::with_capacity(512);
        let mut heard = false;
        // When a line that has begun is taken for spoilt.
        let mut half = None;
        if stream.set_nodelay(true).is_err() {
            return (false, Some(first));
        }
        if let Err(call) = self.write(&mut stream, first).await {
            return (false, Some(call));
        }
        loop {
            tokio::select! {
                read = stream.read_buf(&mut buffer) => match read {
                    // Closed while idle is no fault.
                    Ok(0) => return (heard || self.out.is_empty(), None),
                    Err(_) => return (heard, None),
                    Ok(_) => {
                        heard = true;
                        if self.answers(&mut buffer).await.is_err() {
                            return (true, None);
                        }
                        half = (!buffer.is_empty()).then(|| Instant::now() + self.wait);
                    }
                },
                () = sleep_until(half.unwrap_or_else(Instant::now)), if half.is_some() => {
                    let _ = self.spoilt().await;
                    return (true, None);
                }
                call = self.queue.recv(), if self.out.len() < CALLS_MOST => {
                    let Some(call) = call else { return (true, None) };
                    // Danger: a silent connection that everything behind it waits for.
                    if self.out.front().is_some_and(|o| o.1.elapsed() > self.wait * STALLED) {
                        return (heard, Some(call));
                    }
                    if let Err(call) = self.write(&mut stream, call).await {
                        return (heard, Some(call));
                    }
                }
            }
        }
    }

    async fn write(&mut self, stream: &mut TcpStream, call: Call) -> Result<(), Call> {
        let Call { number, name, amount, life_ms, at } = call;
        let life = life_ms.ceil().clamp(1.0, LIFE_MOST_MS);
        let text = format!("bump {name:016x} {amount} {life}\r\n");
        // What could not be written whole, or came too late for that, was not added.
        match timeout_at(at + self.wait, stream.write_all(text.as_bytes())).await {
            Ok(Ok(())) => {
                self.out.push_back((number, at));
                Ok(())
            }
            _ => Err(call),
        }
    }

    /// Takes whole lines off the buffer.
    async fn answers(&mut self, buffer: &mut BytesMut) -> Result<(), Lost> {
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(end + 1);
            let Some(answer) = std::str::from_utf8(&line).ok().and_then(|l| read(l.trim_end())) else {
                return self.spoilt().await;
            };
            let (number, _) = self.out.pop_front().ok_or(Lost)?;
            self.report(number, answer.0, answer.1).await;
        }
        if buffer.len() > LINE_MOST {
            return self.spoilt().await;
        }
        Ok(())
    }

    /// Settles the call whose answer can't be read: it was added, to a total that is not known. What
    /// comes after it on the connection can't be told apart.
    async fn spoilt(&mut self) -> Result<(), Lost> {
        if let Some((number, _)) = self.out.pop_front() {
            self.report(number, Outcome::Ok, f64::NAN).await;
        }
        Err(Lost)
    }

    async fn report(&self, number: u64, outcome: Outcome, total: f64) {
        // Fails only when the gateway ends.
        let _ = self.inbox.send(Counted { number, outcome, total }.into()).await;
    }
}

fn read(line: &str) -> Option<(Outcome, f64)> {
    match line.split_once(' ') {
        Some(("ok", total)) => total.parse().ok().filter(|t: &f64| t.is_finite()).map(|t| (Outcome::Ok, t)),
        _ if line == "busy" => Some((Outcome::Full, 0.0)),
        _ if line == "error" => Some((Outcome::Error, 0.0)),
        _ => None,
    }
}
