//! One connection to the counter. Calls are pipelined and answered in order.

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
use super::{Call, CounterReply, MAX_CALLS_PER_CONNECTION};

/// Shortest and longest backoff after a connection on which the counter never responded.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum length of a reply line, bytes.
const MAX_LINE_BYTES: usize = 128;
/// Longest time that the counter keeps a key, ms.
const MAX_KEY_TTL_MS: f64 = 60_000.0;
/// Initial size of the read buffer, bytes; holds several replies.
const BUFFER_BYTES: usize = 512;

/// A connection task, which reconnects as calls arrive.
pub(super) struct CounterConnection<T> {
    index: usize,
    address: SocketAddr,
    /// Timeout of a call.
    call_timeout: Duration,
    queue: mpsc::Receiver<Call>,
    inbox: mpsc::Sender<T>,
    /// Calls that were written and not yet answered.
    in_flight: VecDeque<InFlightCall>,
    activity: ConnectionActivity,
}

/// A call that was written and not yet answered.
struct InFlightCall {
    number: u64,
    written_at: Instant,
}

/// How a TCP stream ended.
struct StreamEnd {
    /// Whether the counter responded on it, so that a new stream may be opened without backoff.
    responded: bool,
    /// The call that could not be written completely, and therefore was not counted.
    unwritten: Option<Call>,
}

/// An error: the stream can't be used any more.
struct StreamUnusable;

impl<T: From<CounterReply>> CounterConnection<T> {
    /// Creates a connection that is opened with its first call.
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

    /// Makes the queued calls until all senders are dropped.
    pub async fn run(mut self) {
        let mut backoff = MIN_BACKOFF;
        let mut next = self.queue.recv().await;
        while let Some(first) = next {
            let connected = timeout(self.call_timeout, TcpStream::connect(self.address)).await;
            let StreamEnd { responded, unwritten } = match connected {
                Ok(Ok(stream)) => self.serve(stream, first).await,
                _ => StreamEnd { responded: false, unwritten: Some(first) },
            };
            // The counter may have counted the calls that were written.
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

    /// Fails all calls for the duration of the backoff, to avoid a connection storm to a counter that is
    /// down.
    async fn back_off(&mut self, backoff: Duration) {
        let until = Instant::now() + backoff;
        while let Ok(Some(call)) = timeout_at(until, self.queue.recv()).await {
            self.report(call.number, Outcome::ConnectFailed, 0.0).await;
        }
    }

    /// Makes calls on one stream until it ends.
    async fn serve(&mut self, mut stream: TcpStream, first: Call) -> StreamEnd {
        let mut buffer = BytesMut::with_capacity(BUFFER_BYTES);
        let mut responded = false;
        // When an incomplete reply line is treated as unreadable.
        let mut line_deadline = None;
        if stream.set_nodelay(true).is_err() {
            return StreamEnd { responded: false, unwritten: Some(first) };
        }
        if let Err(call) = self.write(&mut stream, first).await {
            return StreamEnd { responded: false, unwritten: Some(call) };
        }
        loop {
            tokio::select! {
                read = stream.read_buf(&mut buffer) => match read {
                    // An idle connection may be closed by the counter without an error.
                    Ok(0) => {
                        responded |= self.in_flight.is_empty();
                        return StreamEnd { responded, unwritten: None };
                    }
                    Err(_) => return StreamEnd { responded, unwritten: None },
                    Ok(_) => {
                        responded = true;
                        self.activity.record_received(self.index);
                        if self.read_replies(&mut buffer).await.is_err() {
                            return StreamEnd { responded, unwritten: None };
                        }
                        line_deadline = (!buffer.is_empty()).then(|| Instant::now() + self.call_timeout);
                    }
                },
                () = sleep_until(line_deadline.unwrap_or_else(Instant::now)), if line_deadline.is_some() => {
                    let StreamUnusable = self.complete_unreadable_call().await;
                    return StreamEnd { responded: true, unwritten: None };
                }
                call = self.queue.recv() => {
                    let Some(call) = call else { return StreamEnd { responded: true, unwritten: None } };
                    if let Some(ended) = self.make_call(call, &mut stream, responded).await {
                        return ended;
                    }
                }
            }
        }
    }

    /// Makes a call. Returns how the stream ended, if it can't be used any more.
    async fn make_call(&mut self, call: Call, stream: &mut TcpStream, responded: bool) -> Option<StreamEnd> {
        // All later calls would wait behind the unanswered one on a silent connection. If the counter
        // responds on others, a new connection may be opened without backoff.
        let first = self.in_flight.front();
        let silence = first.map(|call| self.activity.silence(self.index, call.written_at));
        if let Some(silence) = silence.filter(|silence| silence.needs_replacement(self.call_timeout)) {
            let responded = responded || silence.is_connection_fault(self.call_timeout);
            return Some(StreamEnd { responded, unwritten: Some(call) });
        }
        // This call is rejected here instead of being left in the queue: if the queue filled up, no
        // further call would arrive and the check above would never run again.
        if self.in_flight.len() >= MAX_CALLS_PER_CONNECTION {
            self.report(call.number, Outcome::Rejected, 0.0).await;
            return None;
        }
        let unwritten = self.write(stream, call).await.err()?;
        Some(StreamEnd { responded, unwritten: Some(unwritten) })
    }

    /// Writes a call. Returns the call as an error if it could not be written completely in time, in
    /// which case it was not counted.
    async fn write(&mut self, stream: &mut TcpStream, call: Call) -> Result<(), Call> {
        let Call { number, key, amount, ttl_ms, made_at } = call;
        // The event loop has already timed this call out, and keeps its amount as unreported.
        if made_at.elapsed() >= self.call_timeout {
            self.report(number, Outcome::ConnectFailed, 0.0).await;
            return Ok(());
        }
        let ttl_ms = ttl_ms.ceil().clamp(1.0, MAX_KEY_TTL_MS);
        let text = format!("bump {key:016x} {amount} {ttl_ms}\r\n");
        match timeout_at(made_at + self.call_timeout, stream.write_all(text.as_bytes())).await {
            Ok(Ok(())) => {
                self.in_flight.push_back(InFlightCall { number, written_at: Instant::now() });
                self.activity.record_written(self.index, number);
                Ok(())
            }
            _ => Err(call),
        }
    }

    /// Processes the complete lines in the buffer.
    async fn read_replies(&mut self, buffer: &mut BytesMut) -> Result<(), StreamUnusable> {
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line = buffer.split_to(end + 1);
            let reply = std::str::from_utf8(&line).ok().and_then(|line| ReplyLine::parse(line.trim_end()));
            let Some(ReplyLine { outcome, total }) = reply else {
                return Err(self.complete_unreadable_call().await);
            };
            let call = self.in_flight.pop_front().ok_or(StreamUnusable)?;
            self.report(call.number, outcome, total).await;
        }
        if buffer.len() > MAX_LINE_BYTES {
            return Err(self.complete_unreadable_call().await);
        }
        Ok(())
    }

    /// Completes the call whose reply is malformed: it was counted, but the total is unknown. Later
    /// replies on the stream can't be matched to their calls.
    async fn complete_unreadable_call(&mut self) -> StreamUnusable {
        if let Some(call) = self.in_flight.pop_front() {
            self.report(call.number, Outcome::Ok, f64::NAN).await;
        }
        StreamUnusable
    }

    async fn report(&self, number: u64, outcome: Outcome, total: f64) {
        // Fails only if the event loop has ended.
        let _ = self.inbox.send(CounterReply { number, outcome, total }.into()).await;
    }
}

/// A reply line of the counter.
struct ReplyLine {
    outcome: Outcome,
    total: f64,
}

impl ReplyLine {
    /// Parses a line without its line end; `None` if it is malformed.
    fn parse(line: &str) -> Option<ReplyLine> {
        let (outcome, total) = match line.split_once(' ') {
            Some(("ok", total)) => (Outcome::Ok, total.parse().ok().filter(|t: &f64| t.is_finite())?),
            _ if line == "busy" => (Outcome::Rejected, 0.0),
            _ if line == "error" => (Outcome::Error, 0.0),
            _ => return None,
        };
        Some(ReplyLine { outcome, total })
    }
}
