//! Calls to the shared counter, one behind another on a few connections.

mod silence;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use gateway_policy::interface::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

/// Connections; the counter holds 32 of a gateway. A slow call holds up those behind it on its own only.
const CONNECTIONS: usize = 4;
/// Calls that may wait on one connection; the counter is long lost when there are more.
const MAX_CALLS_PER_CONNECTION: usize = 64;
/// Pause after a connection on which the counter was never heard: the first, and the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// The longest line of an answer.
const MAX_LINE_BYTES: usize = 128;
/// The counter keeps no name longer.
const MAX_KEY_TTL_MS: f64 = 60_000.0;

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
    seen: Seen,
}

/// What each connection has come to, as the lines tell it to the counter and to each other.
#[derive(Clone, Debug)]
struct Seen {
    start: Instant,
    /// When anything last came on it: microseconds from the start, 0 if never.
    heard: Arc<[AtomicU64; CONNECTIONS]>,
    /// The last call that was written to it; their numbers grow.
    written: Arc<[AtomicU64; CONNECTIONS]>,
}

impl Seen {
    fn new() -> Self {
        Seen { start: Instant::now(), heard: Arc::default(), written: Arc::default() }
    }

    fn hears(&self, place: usize) {
        self.heard[place].store((self.start.elapsed().as_micros() as u64).max(1), Ordering::Relaxed);
    }

    /// How long ago something came on a connection.
    fn ago(&self, place: usize) -> Option<Duration> {
        let at = self.heard[place].load(Ordering::Relaxed);
        (at > 0).then(|| self.start.elapsed().saturating_sub(Duration::from_micros(at)))
    }

    /// What is known of a connection with a call out on it since then.
    fn line(&self, place: usize, since: Instant) -> silence::Line {
        let others = (0..CONNECTIONS).filter(|other| *other != place);
        let others = others.filter_map(|other| self.ago(other)).min();
        silence::Line { out: since.elapsed(), heard: self.ago(place), others }
    }
}

impl Counter {
    /// Sets up the connections; each is opened with its first call. Outcomes go to the inbox, in the order
    /// of the calls of a name. Whoever calls keeps the time: an outcome may come late, or never while the
    /// counter is silent.
    pub fn start<T>(address: SocketAddr, wait: Duration, inbox: &mpsc::Sender<T>) -> Self
    where
        T: From<Counted> + Send + 'static,
    {
        let seen = Seen::new();
        let line = |place| {
            let (calls, queue) = mpsc::channel(MAX_CALLS_PER_CONNECTION);
            let (inbox, seen, out) = (inbox.clone(), seen.clone(), VecDeque::new());
            tokio::spawn(Line { address, wait, queue, inbox, out, place, seen }.run());
            calls
        };
        Counter { wait, lines: (0..CONNECTIONS).map(line).collect(), seen }
    }

    /// Makes a call; `false` if there is no room for it. Calls of one name share a connection, so that
    /// their answers come in order.
    pub fn call(&self, call: Call) -> bool {
        self.lines[place_of(call.name)].try_send(call).is_ok()
    }

    /// How a call ended that was made then and has no answer in time. Danger: one connection that fell
    /// silent, taken for a counter that is crowded, until hardly a call is made; and what was never
    /// written, taken for told.
    pub fn overdue(&self, number: u64, name: u64, made: Instant) -> Outcome {
        let place = place_of(name);
        let written = number <= self.seen.written[place].load(Ordering::Relaxed);
        match (written, self.seen.line(place, made).alone(self.wait)) {
            (true, true) => Outcome::Reset,
            (true, false) => Outcome::Timeout,
            (false, true) => Outcome::NotSent,
            (false, false) => Outcome::ConnectFailed,
        }
    }
}

/// The connection that a name is always on.
fn place_of(name: u64) -> usize {
    (name % CONNECTIONS as u64) as usize
}

struct Line<T> {
    address: SocketAddr,
    wait: Duration,
    queue: mpsc::Receiver<Call>,
    inbox: mpsc::Sender<T>,
    /// Numbers of the calls that were written and not answered, and when they were written.
    out: VecDeque<(u64, Instant)>,
    place: usize,
    seen: Seen,
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
                        self.seen.hears(self.place);
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
                call = self.queue.recv() => {
                    let Some(call) = call else { return (true, None) };
                    // Danger: a silent connection that everything behind it waits for. Where others are
                    // heard, the counter is there, and a fresh one may follow at once.
                    let waits = self.out.front().map(|(_, written)| self.seen.line(self.place, *written));
                    if let Some(waits) = waits.filter(|waits| waits.lost(self.wait)) {
                        return (heard || waits.alone(self.wait), Some(call));
                    }
                    // Danger: so many that none is taken in any more, and nobody looks at the line again.
                    if self.out.len() >= MAX_CALLS_PER_CONNECTION {
                        self.report(call.number, Outcome::Rejected, 0.0).await;
                        continue;
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
        // Danger: what the driver has given up by now, and counts as not told.
        if at.elapsed() >= self.wait {
            self.report(number, Outcome::ConnectFailed, 0.0).await;
            return Ok(());
        }
        let life = life_ms.ceil().clamp(1.0, MAX_KEY_TTL_MS);
        let text = format!("bump {name:016x} {amount} {life}\r\n");
        // What could not be written whole, or came too late for that, was not added.
        match timeout_at(at + self.wait, stream.write_all(text.as_bytes())).await {
            Ok(Ok(())) => {
                self.out.push_back((number, Instant::now()));
                self.seen.written[self.place].store(number, Ordering::Relaxed);
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
        if buffer.len() > MAX_LINE_BYTES {
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
        _ if line == "busy" => Some((Outcome::Rejected, 0.0)),
        _ if line == "error" => Some((Outcome::Error, 0.0)),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;
    use tokio::time::sleep;

    const WAIT: Duration = Duration::from_millis(20);

    /// Danger: a connection with so many calls out that no other is taken in, so that nobody ever finds it
    /// silent.
    #[tokio::test]
    async fn a_connection_full_of_unanswered_calls_is_replaced() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (inbox, mut outcomes) = mpsc::channel::<Counted>(1_024);
        let counter = Counter::start(listener.local_addr().expect("bound"), WAIT, &inbox);
        let call = |number| Call { number, name: 0, amount: 1.0, life_ms: 100.0, at: Instant::now() };
        // More than may be out on it and wait for it; what is taken in is let go on before the next.
        let taken = async {
            for number in 1..=2 * MAX_CALLS_PER_CONNECTION as u64 {
                if !counter.call(call(number)) {
                    sleep(Duration::from_millis(1)).await;
                }
                tokio::task::yield_now().await;
            }
        };
        let (silent, ()) = tokio::join!(listener.accept(), taken);
        let (_silent, _) = silent.expect("the first connection");
        sleep(WAIT * (silence::GONE + 1)).await;
        let mut next = 1_000;
        let fresh = async {
            loop {
                next += 1;
                counter.call(call(next));
                if let Ok(fresh) = timeout(WAIT, listener.accept()).await {
                    return fresh.expect("a fresh connection").0;
                }
            }
        };
        let mut fresh = timeout(Duration::from_secs(20), fresh).await.expect("it is replaced");
        fresh.write_all(b"ok 7\r\n").await.expect("it reads");
        while let Some(Counted { outcome, total, .. }) = outcomes.recv().await {
            if outcome == Outcome::Ok {
                assert!((total - 7.0).abs() < f64::EPSILON);
                return;
            }
        }
    }

    /// Danger: a call that was never written, taken for told; and one on a connection that is silent alone,
    /// taken for a sign that the counter is crowded.
    #[tokio::test]
    async fn a_call_without_an_answer_is_told_by_whether_it_was_written_and_whether_others_are_heard() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let (inbox, mut outcomes) = mpsc::channel::<Counted>(16);
        let counter = Counter::start(listener.local_addr().expect("bound"), WAIT * 100, &inbox);
        let made = Instant::now();
        let call = |number, name| Call { number, name, amount: 1.0, life_ms: 100.0, at: Instant::now() };
        assert!(counter.call(call(1, 0)));
        let (mut silent, _) = listener.accept().await.expect("the first line");
        silent.readable().await.expect("it is written");
        assert!(silent.read_u8().await.is_ok());
        // The line notes what it wrote before it does anything else.
        let mut counter = counter;
        counter.wait = WAIT;
        sleep(WAIT * 2).await;
        assert_eq!(counter.overdue(1, 0, made), Outcome::Timeout);
        assert_eq!(counter.overdue(2, 0, made), Outcome::ConnectFailed);
        assert!(counter.call(call(3, 1)));
        let (mut heard, _) = listener.accept().await.expect("another line");
        heard.write_all(b"ok 1\r\n").await.expect("it reads");
        assert_eq!(outcomes.recv().await.map(|c| (c.number, c.outcome)), Some((3, Outcome::Ok)));
        assert_eq!(counter.overdue(1, 0, made), Outcome::Reset);
        assert_eq!(counter.overdue(2, 0, made), Outcome::NotSent);
    }
}
