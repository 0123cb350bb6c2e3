//! Connections to backends.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{sleep_until, timeout, Instant};

/// Time from an answer on a connection to the next request on it.
///
/// A backend may send a second answer to a request some milliseconds late, which would be taken for the
/// answer to the next request. During the cool-down such an answer is detected, and the connection is closed.
/// One that the backend's system holds back arrives one round trip after the cool-down begins (see
/// [`Connection::begin_cool_down`]). In exchange, a request right after an answer waits this long if no other
/// connection is idle.
const COOL_DOWN: Duration = Duration::from_millis(20);

/// The permits that a connection holds: one of the whole pool, and one of its backend.
pub(super) type Permits = [OwnedSemaphorePermit; 2];

/// A connection to a backend on which no request is in flight.
#[derive(Debug)]
pub struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: BytesMut,
    /// Generation of the backend's pool when the connection was opened. The connection is stale if the pool
    /// has another generation.
    pub(super) generation: u64,
    idle_since: Instant,
    /// When the connection may be used again.
    cooled_down_at: Instant,
    /// Sequence number among all idle connections, in the order in which they became idle.
    pub(super) idle_number: u64,
    _permits: Permits,
}

impl Connection {
    /// Whether a request may be written to the connection: it has been idle for less than `idle_max`, the
    /// backend has not closed it, and there is no unexpected input. A request written to a connection that
    /// the backend has closed would end in a reset, after which it is unknown whether it ran.
    pub(super) fn is_usable(&self, now: Instant, idle_max: Duration) -> bool {
        self.is_open() && self.buffer.is_empty() && now.duration_since(self.idle_since) < idle_max
    }

    /// Whether the backend has neither closed the connection nor sent unexpected input.
    pub(super) fn is_open(&self) -> bool {
        let read = self.stream.try_read(&mut [0; 1]);
        matches!(read, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the connection has cooled down.
    pub(super) fn has_cooled_down(&self, now: Instant) -> bool {
        self.cooled_down_at <= now
    }

    /// Marks the connection as idle, and starts its cool-down.
    ///
    /// Acknowledges the answer at once. Until then, the backend's system may hold a second answer back
    /// (Nagle's algorithm, RFC 896), and a delayed acknowledgement would be sent with the next request only.
    pub(super) fn begin_cool_down(&mut self) {
        // Fails only on a connection that is broken, which is detected when it is used again.
        let _ = self.stream.set_quickack(true);
        self.idle_since = Instant::now();
        self.cooled_down_at = self.idle_since + COOL_DOWN;
    }

    /// Waits until the connection has cooled down.
    pub async fn cool_down(self) -> Connection {
        sleep_until(self.cooled_down_at).await;
        self
    }
}

/// A connection that the pool allows to open.
#[derive(Debug)]
pub struct PendingConnection {
    pub(super) address: SocketAddr,
    pub(super) generation: u64,
    pub(super) permits: Permits,
}

impl PendingConnection {
    /// Opens the connection; `None` if that fails or times out.
    pub async fn open(self, connect_timeout: Duration) -> Option<Connection> {
        let stream = timeout(connect_timeout, TcpStream::connect(self.address)).await.ok()?.ok()?;
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
