//! A link between a client and a server: a TCP relay on loopback whose condition a test sets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};

use crate::Rng;

/// Maximum size of a chunk, the unit in which bytes are relayed.
const CHUNK_BYTES: usize = 8 * 1024;
/// Maximum number of chunks read but not yet written in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;
/// Extra delay of a lost chunk, standing for its retransmission.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// A direction over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the listening side.
    ToServer,
    /// From the listening side to the connecting side.
    ToClient,
}

/// The condition of one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Nothing gets through and no error is reported; written bytes arrive once the cut is over.
    pub cut: bool,
    /// Extra delay of each chunk.
    pub delay: Duration,
    /// Fraction of the chunks, 0 to 1, that is lost and arrives 0.2 s later, as if retransmitted.
    pub loss: f64,
    /// Maximum bytes per second; `None` for no limit.
    pub bytes_per_s: Option<u64>,
    /// Does not relay the end of the stream, so that the receiver waits on a connection whose other end is
    /// gone.
    pub half_open: bool,
}

impl Condition {
    /// No fault.
    pub const HEALTHY: Condition =
        Condition { cut: false, delay: Duration::ZERO, loss: 0.0, bytes_per_s: None, half_open: false };
    /// Cut, without other faults.
    pub const CUT: Condition = Condition { cut: true, ..Condition::HEALTHY };
}

#[derive(Clone, Copy, Debug)]
struct State {
    to_server: Condition,
    to_client: Condition,
    /// Number of resets so far.
    resets: u64,
}

/// A link, closed with all its connections when dropped.
///
/// A connection over a cut link is accepted by the relay and stays silent. A connection to a server that does
/// not listen is accepted and then reset.
#[derive(Debug)]
pub struct Link {
    /// Address to connect to instead of the server's.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Creates a link without faults to a server; `seed` determines which chunks are lost.
    ///
    /// # Errors
    /// Returns the system's error if no port can be bound.
    pub async fn to(server: SocketAddr, seed: u64) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let healthy = State { to_server: Condition::HEALTHY, to_client: Condition::HEALTHY, resets: 0 };
        let state = Arc::new(watch::Sender::new(healthy));
        let task = tokio::spawn(relay(listener, server, Arc::clone(&state), seed));
        Ok(Link { address, state, task })
    }

    /// Sets the condition of one direction.
    pub fn set(&self, direction: Direction, condition: Condition) {
        self.state.send_modify(|state| match direction {
            Direction::ToServer => state.to_server = condition,
            Direction::ToClient => state.to_client = condition,
        });
    }

    /// Sets the condition of both directions.
    pub fn set_both(&self, condition: Condition) {
        self.state.send_modify(|state| (state.to_server, state.to_client) = (condition, condition));
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(listener: TcpListener, server: SocketAddr, state: Arc<watch::Sender<State>>, seed: u64) {
    let (mut connections, mut rng) = (JoinSet::new(), Rng::new(seed));
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(relay_connection(stream, server, state.subscribe(), rng.next_u64()));
                }
            }
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
        }
    }
}

/// Relays one connection until both sides have closed it or it is reset.
async fn relay_connection(from: TcpStream, server: SocketAddr, mut state: watch::Receiver<State>, seed: u64) {
    let resets = state.borrow().resets;
    // The server sees nothing of a connection while the direction to it is cut.
    if state.wait_for(|s| !s.to_server.cut || s.resets != resets).await.is_err() {
        return;
    }
    let Ok(to) = TcpStream::connect(server).await else {
        let _ = from.set_zero_linger();
        return;
    };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let ((from_reads, from_writes), (to_reads, to_writes)) = (from.into_split(), to.into_split());
    let to_server = relay_direction(from_reads, to_writes, state.clone(), Direction::ToServer, seed, resets);
    let to_client = relay_direction(to_reads, from_writes, state, Direction::ToClient, seed ^ 1, resets);
    tokio::join!(to_server, to_client);
}

fn condition(state: &State, direction: Direction) -> Condition {
    match direction {
        Direction::ToServer => state.to_server,
        Direction::ToClient => state.to_client,
    }
}

/// Relays one direction of a connection: reads chunks and writes each when its delay is over.
async fn relay_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    direction: Direction,
    seed: u64,
    resets: u64,
) {
    let (sender, mut delayed) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let (mut rng, reading, mut reset) = (Rng::new(seed), state.clone(), state.clone());
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let Ok(n @ 1..) = from.read(&mut chunk).await else { return };
            chunk.truncate(n);
            let current = condition(&reading.borrow(), direction);
            let retransmission =
                if rng.next_f64() < current.loss { RETRANSMISSION_DELAY } else { Duration::ZERO };
            if sender.send((Instant::now() + current.delay + retransmission, chunk)).await.is_err() {
                return;
            }
        }
    };
    let writer = &mut to;
    let write = async move {
        while let Some((at, chunk)) = delayed.recv().await {
            sleep_until(at).await;
            if state.wait_for(|s| !condition(s, direction).cut).await.is_err()
                || writer.write_all(&chunk).await.is_err()
            {
                return;
            }
            let limit = condition(&state.borrow(), direction).bytes_per_s;
            if let Some(bytes) = limit {
                sleep(Duration::from_secs_f64(chunk.len() as f64 / bytes.max(1) as f64)).await;
            }
        }
        // Relays the end of the stream unless the link is half open or cut.
        if state
            .wait_for(|s| !condition(s, direction).half_open && !condition(s, direction).cut)
            .await
            .is_ok()
        {
            let _ = writer.shutdown().await;
        }
    };
    let is_reset = tokio::select! {
        _ = reset.wait_for(|s| s.resets != resets) => true,
        ((), ()) = async { tokio::join!(read, write) } => false,
    };
    if is_reset {
        // Dropping the write half would shut the connection down with FIN before the socket is closed, so
        // that the peer would see an end of stream instead of a reset.
        let _ = to.as_ref().set_zero_linger();
        to.forget();
    }
}
