//! A link between two parties: a relay on loopback whose state a test sets.

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

/// Bytes that are read at once.
const CHUNK_BYTES: usize = 8 * 1024;
/// Pieces of one direction of a connection that may be on their way.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;
/// How much later a piece comes that is lost at first, as when it is sent again.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);

/// One of the two ways over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From who connects to who listens.
    ToServer,
    /// The other.
    ToClient,
}

/// The state of one way over a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Nothing comes through, and nobody is told; what is written waits until the way is whole again.
    pub cut: bool,
    /// Each piece comes so much later.
    pub delay: Duration,
    /// The part of the pieces that is lost at first and comes 0.2 s later, 0 to 1.
    pub loss: f64,
    /// Bytes a second at most; none: no bound.
    pub bytes_per_s: Option<u64>,
    /// The end of one side's sending is not passed on, so that the other side waits on a connection that
    /// nobody holds.
    pub half_open: bool,
}

impl Condition {
    /// Whole and quick.
    pub const HEALTHY: Condition =
        Condition { cut: false, delay: Duration::ZERO, loss: 0.0, bytes_per_s: None, half_open: false };
    /// Cut.
    pub const CUT: Condition = Condition { cut: true, ..Condition::HEALTHY };
}

#[derive(Clone, Copy, Debug)]
struct State {
    to_server: Condition,
    to_client: Condition,
    /// Grows with each reset.
    resets: u64,
}

/// A link. It ends with the value, and all its connections with it.
///
/// A connection over a cut link comes up as far as the relay, where the system takes it in, and stays silent;
/// one to a party that does not listen is reset.
#[derive(Debug)]
pub struct Link {
    /// Where to connect instead of the party behind it.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    task: JoinHandle<()>,
}

impl Link {
    /// A link that is well, to a party; `seed` says which pieces are lost.
    ///
    /// # Errors
    /// The system's, if there is no port.
    pub async fn to(party: SocketAddr, seed: u64) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let well = State { to_server: Condition::HEALTHY, to_client: Condition::HEALTHY, resets: 0 };
        let state = Arc::new(watch::Sender::new(well));
        let task = tokio::spawn(relay(listener, party, Arc::clone(&state), seed));
        Ok(Link { address, state, task })
    }

    /// Sets one way.
    pub fn set(&self, way: Direction, condition: Condition) {
        self.state.send_modify(|state| match way {
            Direction::ToServer => state.to_server = condition,
            Direction::ToClient => state.to_client = condition,
        });
    }

    /// Sets both ways.
    pub fn set_both(&self, condition: Condition) {
        self.state.send_modify(|state| (state.to_server, state.to_client) = (condition, condition));
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(listener: TcpListener, party: SocketAddr, state: Arc<watch::Sender<State>>, seed: u64) {
    let (mut pairs, mut rng) = (JoinSet::new(), Rng::new(seed));
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    pairs.spawn(pair(stream, party, state.subscribe(), rng.next_u64()));
                }
            }
            Some(_) = pairs.join_next(), if !pairs.is_empty() => {}
        }
    }
}

/// One connection, until both sides have ended it or it is reset.
async fn pair(from: TcpStream, party: SocketAddr, mut state: watch::Receiver<State>, seed: u64) {
    let resets = state.borrow().resets;
    // Nothing of a connection comes through while the way there is cut.
    if state.wait_for(|s| !s.to_server.cut || s.resets != resets).await.is_err() {
        return;
    }
    let Ok(to) = TcpStream::connect(party).await else {
        let _ = from.set_zero_linger();
        return;
    };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let ((from_reads, from_writes), (to_reads, to_writes)) = (from.into_split(), to.into_split());
    let to_server = way(from_reads, to_writes, state.clone(), Direction::ToServer, seed, resets);
    let to_client = way(to_reads, from_writes, state, Direction::ToClient, seed ^ 1, resets);
    tokio::join!(to_server, to_client);
}

fn condition(state: &State, way: Direction) -> Condition {
    match way {
        Direction::ToServer => state.to_server,
        Direction::ToClient => state.to_client,
    }
}

/// One way of a connection: reads pieces, and writes each when its time has come.
async fn way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    way: Direction,
    seed: u64,
    resets: u64,
) {
    let (sent, mut coming) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_CHUNKS_IN_FLIGHT);
    let (mut rng, reading, mut reset) = (Rng::new(seed), state.clone(), state.clone());
    let read = async move {
        loop {
            let mut piece = vec![0; CHUNK_BYTES];
            let Ok(n @ 1..) = from.read(&mut piece).await else { return };
            piece.truncate(n);
            let now = condition(&reading.borrow(), way);
            let again = if rng.next_f64() < now.loss { RETRANSMISSION_DELAY } else { Duration::ZERO };
            if sent.send((Instant::now() + now.delay + again, piece)).await.is_err() {
                return;
            }
        }
    };
    let writer = &mut to;
    let write = async move {
        while let Some((at, piece)) = coming.recv().await {
            sleep_until(at).await;
            if state.wait_for(|s| !condition(s, way).cut).await.is_err()
                || writer.write_all(&piece).await.is_err()
            {
                return;
            }
            let bound = condition(&state.borrow(), way).bytes_per_s;
            if let Some(bytes) = bound {
                sleep(Duration::from_secs_f64(piece.len() as f64 / bytes.max(1) as f64)).await;
            }
        }
        // The sender's end is passed on, unless the link is to be left half open.
        if state.wait_for(|s| !condition(s, way).half_open && !condition(s, way).cut).await.is_ok() {
            let _ = writer.shutdown().await;
        }
    };
    let is_reset = tokio::select! {
        _ = reset.wait_for(|s| s.resets != resets) => true,
        ((), ()) = async { tokio::join!(read, write) } => false,
    };
    if is_reset {
        // Danger: an end where a reset is wanted: a half that is dropped says one before its socket is
        // closed.
        let _ = to.as_ref().set_zero_linger();
        to.forget();
    }
}
