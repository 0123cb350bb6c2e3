//! One connection to the counter: calls are written one behind another, and answered in their order.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use gateway_policy::interface::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

use super::activity::ConnectionActivity;
use super::{Call, Counted, MAX_CALLS_PER_CONNECTION};

/// Backoff after a connection on which the counter never responded: the first, and the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The longest line of an answer, bytes.
const MAX_LINE_BYTES: usize = 128;
/// The counter keeps no name longer, ms.
const MAX_KEY_TTL_MS: f64 = 60_000.0;
/// Room for answers that come together, bytes.
const BUFFER_BYTES: usize = 512;

/// A connection, opened again and again as calls come.
pub(super) struct CounterConnection<T> {
    index: usize,
    address: SocketAddr,
    /// How long a call may take.
    call_timeout: Duration,
    queue: mpsc::Receiver<Call>,
    inbox: mpsc::Sender<T>,
    /// Calls that were written and not answered.
    in_flight: VecDeque<Written>,
    activity: ConnectionActivity,
}

/// A call that was written.
struct Written {
    number: u64,
    at: Instant,
}

/// How a stream ended.
struct Ended {
    /// Whether the counter responded on it, so that a fresh one may follow at once.
    responded: bool,
    /// The call that could not be written whole, which was not added.
    unwritten: Option<Call>,
}

/// The stream is of no more use.
struct Unusable;

impl<T: From<Counted>> CounterConnection<T> {
    /// A connection that is opened with its first call.
    pub fn new(
        index: usize,
        address: SocketAddr,
        call_timeout: Duration,
        queue: mpsc::Receiver<Call>,
        inbox: mpsc::Sender<T>,
        activity: ConnectionActivity,
    ) -> Self {
        let in_flight = VecDeque::new();
        CounterConnection { index, address, call_timeout, queue, inbox, in_flight, activity }
    }

    /// Makes calls until nobody can make any more.
    pub async fn run(mut self) {
        let mut backoff = MIN_BACKOFF;
        let mut next = self.queue.recv().await;
        while let Some(first) = next {
            let connected = timeout(self.call_timeout, TcpStream::connect(self.address)).await;
            let Ended { responded, unwritten } = match connected {
                Ok(Ok(stream)) => self.serve(stream, first).await,
                _ => Ended { responded: false, unwritten: Some(first) },
            };
            // What was written may have been added.
            while let Some(call) = self.in_flight.pop_front() {
                self.report(call.number, Outcome::Reset, 0.0).await;
            }
            if responded {
                backoff = MIN_BACKOFF;
                next = match unwritten {
                    Some(call) => Some(call),
                    None => self.queue.recv().await,
                };
                continue;
            }
            if let Some(call) = unwritten {
                self.report(call.number, Outcome::ConnectFailed, 0.0).await;
            }
            self.back_off(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            next = self.queue.recv().await;
        }
    }

    /// Writes no call for a while, so that a counter that is down gets no storm of connections.
    async fn back_off(&mut self, backoff: Duration) {
        let until = Instant::now() + backoff;
        while let Ok(Some(call)) = timeout_at(until, self.queue.recv()).await {
            self.report(call.number, Outcome::ConnectFailed, 0.0).await;
        }
    }

    /// Makes calls on a stream until it ends.
    async fn serve(&mut self, mut stream: TcpStream, first: Call) -> Ended {
        let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
        let mut responded = false;
        // When a line that has begun is taken for spoilt.
        let mut line_deadline = None;
        if stream.set_nodelay(true).is_err() {
            return Ended { responded: false, unwritten: Some(first) };
        }
        if let Err(call) = self.write(&mut stream, first).await {
            return Ended { responded: false, unwritten: Some(call) };
        }
        loop {
            tokio::select! {
                read = stream.read_buf(&mut buffer) => match read {
                    // Closed while idle is no fault.
                    Ok(0) => {
                        responded |= self.in_flight.is_empty();
                        return Ended { responded, unwritten: None };
                    }
                    Err(_) => return Ended { responded, unwritten: None },
                    Ok(_) => {
                        responded = true;
                        self.activity.received(self.index);
                        if self.read_answers(&mut buffer).await.is_err() {
                            return Ended { responded, unwritten: None };
                        }
                        line_deadline = (!buffer.is_empty()).then(|| Instant::now() + self.call_timeout);
                    }
                },
                () = sleep_until(line_deadline.unwrap_or_else(Instant::now)), if line_deadline.is_some() => {
                    let Unusable = self.spoilt_answer().await;
                    return Ended { responded: true, unwritten: None };
                }
                call = self.queue.recv() => {
                    let Some(call) = call else { return Ended { responded: true, unwritten: None } };
                    if let Some(ended) = self.make(call, &mut stream, responded).await {
                        return ended;
                    }
                }
            }
        }
    }

    /// Makes a call; returns the end of the stream if it ends with that.
    async fn make(&mut self, call: Call, stream: &mut TcpStream, responded: bool) -> Option<Ended> {
        // Everything would wait behind a silent connection. Where others respond, the counter is there, and
        // a fresh connection may follow at once.
        let first = self.in_flight.front();
        let silence = first.map(|written| self.activity.silence(self.index, written.at));
        if let Some(silence) = silence.filter(|silence| silence.is_lost(self.call_timeout)) {
            let responded = responded || silence.is_alone(self.call_timeout);
            return Some(Ended { responded, unwritten: Some(call) });
        }
        // With so many that no call is taken any more, nobody would look at the connection again.
        if self.in_flight.len() >= MAX_CALLS_PER_CONNECTION {
            self.report(call.number, Outcome::Rejected, 0.0).await;
            return None;
        }
        let unwritten = self.write(stream, call).await.err()?;
        Some(Ended { responded, unwritten: Some(unwritten) })
    }

    /// Writes a call; returns it if it could not be written whole, or came too late for that, and was
    /// not added.
    async fn write(&mut self, stream: &mut TcpStream, call: Call) -> Result<(), Call> {
        let Call { number, name, amount, life_ms, at } = call;
        // By now the event loop has given it up, and counts it as not reported.
        if at.elapsed() >= self.call_timeout {
            self.report(number, Outcome::ConnectFailed, 0.0).await;
            return Ok(());
        }
        let life = life_ms.ceil().clamp(1.0, MAX_KEY_TTL_MS);
        let text = format!("bump {name:016x} {amount} {life}\r\n");
        match timeout_at(at + self.call_timeout, stream.write_all(text.as_bytes())).await {
            Ok(Ok(())) => {
                self.in_flight.push_back(Written { number, at: Instant::now() });
                self.activity.wrote(self.index, number);
                Ok(())
            }
            _ => Err(call),
        }
    }

    /// Takes whole lines off the buffer.
    async fn read_answers(&mut self, buffer: &mut BytesMut) -> Result<(), Unusable> {
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(end + 1);
            let answer = std::str::from_utf8(&line).ok().and_then(|line| Answer::read(line.trim_end()));
            let Some(Answer { outcome, total }) = answer else { return Err(self.spoilt_answer().await) };
            let call = self.in_flight.pop_front().ok_or(Unusable)?;
            self.report(call.number, outcome, total).await;
        }
        if buffer.len() > MAX_LINE_BYTES {
            return Err(self.spoilt_answer().await);
        }
        Ok(())
    }

    /// Settles the call whose answer can't be read: it was added, to a total that is not known. What comes
    /// after it on the stream can't be told apart.
    async fn spoilt_answer(&mut self) -> Unusable {
        if let Some(call) = self.in_flight.pop_front() {
            self.report(call.number, Outcome::Ok, f64::NAN).await;
        }
        Unusable
    }

    async fn report(&self, number: u64, outcome: Outcome, total: f64) {
        // Fails only when the gateway ends.
        let _ = self.inbox.send(Counted { number, outcome, total }.into()).await;
    }
}

/// A line of the counter.
struct Answer {
    outcome: Outcome,
    total: f64,
}

impl Answer {
    fn read(line: &str) -> Option<Answer> {
        let (outcome, total) = match line.split_once(' ') {
            Some(("ok", total)) => (Outcome::Ok, total.parse().ok().filter(|t: &f64| t.is_finite())?),
            _ if line == "busy" => (Outcome::Rejected, 0.0),
            _ if line == "error" => (Outcome::Error, 0.0),
            _ => return None,
        };
        Some(Answer { outcome, total })
    }
}
