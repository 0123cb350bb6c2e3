//! A connection to a backend.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, timeout, Instant};

/// How long a connection that has answered cools down before the next request.
///
/// A second answer to the last request, some milliseconds late, would be taken for that to the next. One that
/// comes during the cool-down shows, and ends the connection. The price: a request right behind an answer
/// waits so long where no other connection is idle.
const COOL_DOWN: Duration = Duration::from_millis(20);

/// Permits that a connection holds: one of all connections to backends, and one of those to its own.
pub(super) type Permits = [OwnedSemaphorePermit; 2];

/// A connection that no request is in flight on.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: BytesMut,
    /// The pool's generation when it was opened; with another one there it is stale.
    pub(super) generation: u64,
    idle_since: Instant,
    /// When it may be used again.
    cooled_down_at: Instant,
    /// Its number among all idle connections, in the order in which they became idle.
    pub(super) idle_number: u64,
    _permits: Permits,
}

impl Connection {
    /// Whether a request may be written to it. One that is written to a connection that its backend has
    /// closed is a reset, which may have run. So the connection must be young, and show neither an end nor
    /// bytes that nobody asked for.
    pub(super) fn is_usable(&self, now: Instant, idle_max: Duration) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        let is_silent = matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock);
        is_silent && self.buffer.is_empty() && now.duration_since(self.idle_since) < idle_max
    }

    /// Whether it has cooled down.
    pub(super) fn is_cool(&self, now: Instant) -> bool {
        self.cooled_down_at <= now
    }

    /// It has just answered: it is idle, and cools down.
    pub(super) fn begin_cool_down(&mut self) {
        self.idle_since = Instant::now();
        self.cooled_down_at = self.idle_since + COOL_DOWN;
    }

    /// Waits until it has cooled down.
    pub async fn cool_down(self) -> Connection {
        sleep_until(self.cooled_down_at).await;
        self
    }
}

/// A connection that may be opened.
#[derive(Debug)]
pub struct PendingConnection {
    pub(super) address: SocketAddr,
    pub(super) generation: u64,
    pub(super) permits: Permits,
}

impl PendingConnection {
    /// Opens the connection; `None` if it is not up in time.
    pub async fn open(self, limit: Duration) -> Option<Connection> {
        let stream = timeout(limit, TcpStream::connect(self.address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let now = Instant::now();
        Some(Connection {
            stream,
            buffer: BytesMut::new(),
            generation: self.generation,
            idle_since: now,
            cooled_down_at: now,
            idle_number: 0,
            _permits: self.permits,
        })
    }
}
