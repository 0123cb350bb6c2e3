//! DNS queries over UDP and TCP, to several resolvers in turn.

use std::fmt;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::num::TryFromIntError;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dns_sd::{decode_answer, encode_query, Answer, AnswerError, Question};
use hickory_proto::op::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{timeout_at, Instant};

/// The most datagrams of a query that are ignored as unrelated: a flood of forged ones must not keep it
/// reading.
const MAX_UNRELATED_DATAGRAMS: usize = 64;

/// An answer, and how it was obtained.
#[derive(Debug)]
pub struct QueryAnswer {
    /// The answer; never a truncated one.
    pub answer: Answer,
    /// The resolver that gave it.
    pub server: SocketAddr,
    /// Whether it was too long for a datagram.
    pub over_tcp: bool,
    /// Time since the first resolver was asked.
    pub took: Duration,
    /// The resolvers that were asked before.
    pub tries: Vec<FailedTry>,
}

/// A resolver that gave no answer.
#[derive(Debug)]
pub struct FailedTry {
    /// The resolver.
    pub server: SocketAddr,
    /// Why.
    pub error: TryError,
}

/// Why a resolver gave no answer.
#[derive(Debug)]
pub enum TryError {
    /// There was no answer in time.
    TimedOut,
    /// There was none in time over TCP, after a truncated one.
    TimedOutOverTcp,
    /// The socket failed.
    Io(io::Error),
    /// The query cannot be encoded, or the answer cannot be used.
    Answer(AnswerError),
    /// Too many datagrams were not meant for the query; the last one for this reason.
    Unrelated(Option<AnswerError>),
    /// The query is too long for TCP.
    QueryLength(TryFromIntError),
    /// The answer was truncated.
    Truncated,
    /// It failed over TCP, after a truncated answer.
    OverTcp(Box<TryError>),
}

impl fmt::Display for TryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TryError::TimedOut => f.write_str("no answer in time"),
            TryError::TimedOutOverTcp => f.write_str("no answer in time, over TCP"),
            TryError::Io(error) => error.fmt(f),
            TryError::Answer(error) => error.fmt(f),
            TryError::Unrelated(last) => {
                write!(f, "{MAX_UNRELATED_DATAGRAMS} datagrams that were not meant for it; ")?;
                last.as_ref().map_or(Ok(()), |last| write!(f, "the last: {last}"))
            }
            TryError::QueryLength(error) => error.fmt(f),
            TryError::Truncated => f.write_str("truncated as well"),
            TryError::OverTcp(error) => write!(f, "over TCP: {error}"),
        }
    }
}

impl std::error::Error for TryError {}

impl From<io::Error> for TryError {
    fn from(error: io::Error) -> TryError {
        TryError::Io(error)
    }
}

impl From<AnswerError> for TryError {
    fn from(error: AnswerError) -> TryError {
        TryError::Answer(error)
    }
}

/// No resolver gave an answer.
#[derive(Debug)]
pub struct QueryFailure {
    /// The resolvers that were asked.
    pub tries: Vec<FailedTry>,
}

impl fmt::Display for QueryFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.tries.is_empty() {
            return f.write_str("no resolver is configured");
        }
        for (i, FailedTry { server, error }) in self.tries.iter().enumerate() {
            let separator = if i == 0 { "" } else { "; " };
            write!(f, "{separator}{server}: {error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for QueryFailure {}

/// Resolvers, each of which answers for all.
#[derive(Debug)]
pub struct Resolver {
    servers: Vec<SocketAddr>,
    timeout: Duration,
    /// Index of the one that answered last. It is asked first.
    first: AtomicUsize,
}

impl Resolver {
    /// A resolver of these servers, with a timeout for each.
    #[must_use]
    pub fn new(servers: Vec<SocketAddr>, timeout: Duration) -> Resolver {
        Resolver { servers, timeout, first: AtomicUsize::new(0) }
    }

    /// Asks the servers one after another, each once, until one answers. With `doubted`, the others come
    /// before the one that answered last. Cancelling leaves nothing behind.
    ///
    /// # Errors
    /// [`QueryFailure`], with what each server did.
    pub async fn query(&self, question: &Question, doubted: bool) -> Result<QueryAnswer, QueryFailure> {
        let begun = Instant::now();
        let mut tries = Vec::new();
        let first = self.first.load(Ordering::Relaxed) + usize::from(doubted);
        for turn in 0..self.servers.len() {
            let index = (first + turn) % self.servers.len();
            let server = self.servers[index];
            match self.query_server(server, question).await {
                Ok((answer, over_tcp)) => {
                    // One doubt makes no other server the first.
                    if !doubted {
                        self.first.store(index, Ordering::Relaxed);
                    }
                    return Ok(QueryAnswer { answer, server, over_tcp, took: begun.elapsed(), tries });
                }
                Err(error) => tries.push(FailedTry { server, error }),
            }
        }
        Err(QueryFailure { tries })
    }

    /// The answer, and whether it came over TCP.
    async fn query_server(
        &self,
        server: SocketAddr,
        question: &Question,
    ) -> Result<(Answer, bool), TryError> {
        let deadline = Instant::now() + self.timeout;
        // The library draws an id that cannot be guessed (RFC 5452), the system the port.
        let id = Message::query().metadata.id;
        let query = encode_query(id, question)?;
        let over_udp = timeout_at(deadline, query_by_udp(server, id, &query, question)).await;
        let answer = over_udp.map_err(|_| TryError::TimedOut)??;
        if answer != Answer::Truncated {
            return Ok((answer, false));
        }
        let over_tcp = timeout_at(deadline, query_by_tcp(server, id, &query, question)).await;
        match over_tcp.map_err(|_| TryError::TimedOutOverTcp)? {
            Ok(Answer::Truncated) => Err(TryError::OverTcp(Box::new(TryError::Truncated))),
            Ok(answer) => Ok((answer, true)),
            Err(error) => Err(TryError::OverTcp(Box::new(error))),
        }
    }
}

/// Asks from a socket of its own that takes nothing from any other address.
async fn query_by_udp(
    server: SocketAddr,
    id: u16,
    query: &[u8],
    question: &Question,
) -> Result<Answer, TryError> {
    let socket = UdpSocket::bind((local_address_for(server), 0)).await?;
    socket.connect(server).await?;
    socket.send(query).await?;
    let mut buffer = vec![0; usize::from(u16::MAX)];
    let mut last = None;
    for _ in 0..MAX_UNRELATED_DATAGRAMS {
        let length = socket.recv(&mut buffer).await?;
        match decode_answer(&buffer[..length], id, question) {
            Err(error) if error.is_unrelated() => last = Some(error),
            decoded => return Ok(decoded?),
        }
    }
    Err(TryError::Unrelated(last))
}

fn local_address_for(server: SocketAddr) -> IpAddr {
    match server.ip() {
        IpAddr::V4(ip) if ip.is_loopback() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        IpAddr::V6(ip) if ip.is_loopback() => Ipv6Addr::LOCALHOST.into(),
        IpAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    }
}

async fn query_by_tcp(
    server: SocketAddr,
    id: u16,
    query: &[u8],
    question: &Question,
) -> Result<Answer, TryError> {
    let mut stream = TcpStream::connect(server).await?;
    let length = u16::try_from(query.len()).map_err(TryError::QueryLength)?;
    let message = [&length.to_be_bytes(), query].concat();
    stream.write_all(&message).await?;
    let length = stream.read_u16().await?;
    let mut answer = vec![0; usize::from(length)];
    stream.read_exact(&mut answer).await?;
    Ok(decode_answer(&answer, id, question)?)
}
