//! Accepts connections of clients.

use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, sleep_until, timeout, Instant};
use tokio_util::sync::CancellationToken;

use super::admission::Admission;
use super::connection::Connection;
use super::shutdown::DRAIN_GRACE;
use super::stream::linger;
use super::Clients;

/// Pause after a connection could not be accepted, and the longest that a rejection may take to be written.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Rejected connections that linger, at most: they have no permit.
const MAX_LINGERING: usize = 4;

impl Clients {
    /// Accepts connections until it is told not to, at most `total` at once. Those of a drained gateway close
    /// as they become idle. The listener stays: the platform may hold it as well, and what is in its line
    /// would wait there.
    pub async fn accept(self: Arc<Self>, listener: TcpListener, permits: Arc<Semaphore>, total: usize) {
        let mut acceptor = Acceptor {
            admission: Admission::new(permits, total),
            lingering: Arc::new(Semaphore::new(MAX_LINGERING)),
            closing: self.closing.child_token(),
            clients: self,
        };
        acceptor.run(listener).await;
    }
}

struct Acceptor {
    clients: Arc<Clients>,
    admission: Admission,
    /// Permits for rejected connections that linger.
    lingering: Arc<Semaphore>,
    /// Has the connections that are accepted now close; a new one with each drain that is taken back.
    closing: CancellationToken,
}

impl Acceptor {
    async fn run(&mut self, listener: TcpListener) {
        let mut drained = self.clients.drained.clone();
        let clients = Arc::clone(&self.clients);
        let mut close_at = None;
        loop {
            tokio::select! {
                biased;
                Ok(()) = drained.changed() => {
                    close_at = self.drained_changed(*drained.borrow_and_update());
                }
                () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => {
                    self.closing.cancel();
                    close_at = None;
                }
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.accepted(stream).await,
                    // Without descriptors, or with another failure that lasts, the loop must not spin.
                    Err(_) => sleep(ACCEPT_BACKOFF).await,
                },
                // Last, as connections in the listener's line would be reset with requests that clients have
                // written.
                () = clients.not_accepting.cancelled() => return,
            }
        }
    }

    /// Gives when the connections are to close.
    fn drained_changed(&mut self, drained: bool) -> Option<Instant> {
        if drained {
            return Some(Instant::now() + DRAIN_GRACE);
        }
        self.closing = self.clients.closing.child_token();
        None
    }

    /// Gives a connection a permit and a task, or rejects it.
    async fn accepted(&mut self, stream: TcpStream) {
        // What is in the line when no more are accepted does not wait for a permit: nor would it be served.
        let waited = !self.clients.not_accepting.is_cancelled();
        let Some((permit, activity)) = self.admission.admit(waited).await else {
            return self.reject(stream).await;
        };
        let connection = Connection::new(Arc::clone(&self.clients), stream, activity, self.closing.clone());
        self.clients.connections.spawn(async move {
            connection.run().await;
            drop(permit);
        });
    }

    /// There are more connections than descriptors: whoever comes too late is told so.
    async fn reject(&self, mut stream: TcpStream) {
        let written = timeout(ACCEPT_BACKOFF, stream.write_all(b"-BUSY\r\n")).await;
        let permit = Arc::clone(&self.lingering).try_acquire_owned();
        if let (Ok(Ok(())), Ok(permit)) = (written, permit) {
            self.clients.connections.spawn(async move {
                linger(&mut stream).await;
                drop(permit);
            });
        }
    }
}
