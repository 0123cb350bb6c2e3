//! Accepts client connections.

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

/// Pause after a failed `accept`, and maximum time for writing a rejection.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum number of rejected connections in a lingering close, as these hold no permit.
const MAX_LINGERING: usize = 4;

impl Clients {
    /// Accepts connections until [`Clients::not_accepting`] is cancelled, with at most `total` open at once.
    ///
    /// While the gateway is drained, connections are still accepted, and close when they become idle. The
    /// listener is not closed: the platform may hold the same socket, and connections in its backlog would
    /// wait there.
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

/// The accept loop.
struct Acceptor {
    clients: Arc<Clients>,
    admission: Admission,
    /// Permits for rejected connections in a lingering close.
    lingering: Arc<Semaphore>,
    /// When cancelled, the connections accepted with it close. Each undrain replaces it for later
    /// connections.
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
                    close_at = self.on_drained_changed(*drained.borrow_and_update());
                }
                () = sleep_until(close_at.unwrap_or_else(Instant::now)), if close_at.is_some() => {
                    self.closing.cancel();
                    close_at = None;
                }
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.on_accepted(stream).await,
                    // Keeps the loop from spinning on a lasting error, such as no free file descriptors.
                    Err(_) => sleep(ACCEPT_BACKOFF).await,
                },
                // Polled last: connections left in the backlog would be reset, with requests that clients
                // have already written.
                () = clients.not_accepting.cancelled() => return,
            }
        }
    }

    /// Handles a drain or undrain. Returns when the connections are to close.
    fn on_drained_changed(&mut self, drained: bool) -> Option<Instant> {
        if drained {
            return Some(Instant::now() + DRAIN_GRACE);
        }
        self.closing = self.clients.closing.child_token();
        None
    }

    /// Starts a task for a connection if there is a permit for it, and rejects it otherwise.
    async fn on_accepted(&mut self, stream: TcpStream) {
        // Once accepting has ended, the rest of the backlog is rejected at once if no permit is free: waiting
        // connections would not be served either.
        let may_wait = !self.clients.not_accepting.is_cancelled();
        let Some((permit, activity)) = self.admission.admit(may_wait).await else {
            return self.reject(stream).await;
        };
        let connection = Connection::new(Arc::clone(&self.clients), stream, activity, self.closing.clone());
        self.clients.connections.spawn(async move {
            connection.run().await;
            drop(permit);
        });
    }

    /// Rejects a connection for which there is no permit: answers `BUSY` and closes it.
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
