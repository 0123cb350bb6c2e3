//! DNS queries over UDP and TCP to several resolvers, one after another.

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

/// Number of unrelated datagrams after which an attempt fails, so that a flood of forged ones ends it.
const MAX_UNRELATED_DATAGRAMS: usize = 64;

/// An answer and how it was obtained.
#[derive(Debug)]
pub struct QueryAnswer {
    /// The answer; never [`Answer::Truncated`].
    pub answer: Answer,
    /// The resolver that gave it.
    pub server: SocketAddr,
    /// Whether the answer came over TCP, as it was too long for a datagram.
    pub over_tcp: bool,
    /// Duration of the query, from the first attempt on.
    pub took: Duration,
    /// Failed attempts before the answer.
    pub attempts: Vec<FailedAttempt>,
}

/// An attempt at one resolver that failed.
#[derive(Debug)]
pub struct FailedAttempt {
    /// The resolver.
    pub server: SocketAddr,
    /// The error.
    pub error: AttemptError,
}

/// Reason for which an attempt failed.
#[derive(Debug)]
pub enum AttemptError {
    /// The attempt timed out.
    TimedOut,
    /// The attempt timed out over TCP, after a truncated answer over UDP.
    TimedOutOverTcp,
    /// A socket operation failed.
    Io(io::Error),
    /// The query cannot be encoded, or the answer cannot be used.
    Answer(AnswerError),
    /// Too many unrelated datagrams arrived; contains the error of the last one.
    Unrelated(Option<AnswerError>),
    /// The query is too long for TCP.
    QueryLength(TryFromIntError),
    /// The answer over TCP was truncated.
    Truncated,
    /// The attempt failed over TCP, after a truncated answer over UDP.
    OverTcp(Box<AttemptError>),
}

impl fmt::Display for AttemptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AttemptError::TimedOut => f.write_str("no answer in time"),
            AttemptError::TimedOutOverTcp => f.write_str("no answer in time, over TCP"),
            AttemptError::Io(error) => error.fmt(f),
            AttemptError::Answer(error) => error.fmt(f),
            AttemptError::Unrelated(last) => {
                write!(f, "{MAX_UNRELATED_DATAGRAMS} datagrams that were not meant for it; ")?;
                last.as_ref().map_or(Ok(()), |last| write!(f, "the last: {last}"))
            }
            AttemptError::QueryLength(error) => error.fmt(f),
            AttemptError::Truncated => f.write_str("truncated as well"),
            AttemptError::OverTcp(error) => write!(f, "over TCP: {error}"),
        }
    }
}

impl std::error::Error for AttemptError {}

impl From<io::Error> for AttemptError {
    fn from(error: io::Error) -> AttemptError {
        AttemptError::Io(error)
    }
}

impl From<AnswerError> for AttemptError {
    fn from(error: AnswerError) -> AttemptError {
        AttemptError::Answer(error)
    }
}

/// Failure of a query at all resolvers.
#[derive(Debug)]
pub struct QueryFailure {
    /// The attempts, in order. Empty if no resolver is configured.
    pub attempts: Vec<FailedAttempt>,
}

impl fmt::Display for QueryFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.attempts.is_empty() {
            return f.write_str("no resolver is configured");
        }
        for (i, FailedAttempt { server, error }) in self.attempts.iter().enumerate() {
            let separator = if i == 0 { "" } else { "; " };
            write!(f, "{separator}{server}: {error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for QueryFailure {}

/// A client of several equivalent resolvers.
#[derive(Debug)]
pub struct Resolver {
    servers: Vec<SocketAddr>,
    timeout: Duration,
    /// Index of the server that answered last, which is asked first.
    first: AtomicUsize,
}

impl Resolver {
    /// Creates a client of these servers with a timeout for each attempt.
    #[must_use]
    pub fn new(servers: Vec<SocketAddr>, timeout: Duration) -> Resolver {
        Resolver { servers, timeout, first: AtomicUsize::new(0) }
    }

    /// Asks the servers one after another, each once, until one answers. With `prefer_others`, the server
    /// that answered last is asked last. Cancelling the future closes its sockets.
    ///
    /// # Errors
    /// A [`QueryFailure`] with the error of each server.
    pub async fn query(&self, question: &Question, prefer_others: bool) -> Result<QueryAnswer, QueryFailure> {
        let start = Instant::now();
        let mut attempts = Vec::new();
        let first = self.first.load(Ordering::Relaxed) + usize::from(prefer_others);
        for offset in 0..self.servers.len() {
            let index = (first + offset) % self.servers.len();
            let server = self.servers[index];
            match self.query_server(server, question).await {
                Ok((answer, over_tcp)) => {
                    // A confirmation query does not change which server is asked first.
                    if !prefer_others {
                        self.first.store(index, Ordering::Relaxed);
                    }
                    return Ok(QueryAnswer { answer, server, over_tcp, took: start.elapsed(), attempts });
                }
                Err(error) => attempts.push(FailedAttempt { server, error }),
            }
        }
        Err(QueryFailure { attempts })
    }

    /// Asks one server. Returns the answer and whether it came over TCP.
    async fn query_server(
        &self,
        server: SocketAddr,
        question: &Question,
    ) -> Result<(Answer, bool), AttemptError> {
        let deadline = Instant::now() + self.timeout;
        // The library chooses an unpredictable id and the operating system the source port (RFC 5452).
        let id = Message::query().metadata.id;
        let query = encode_query(id, question)?;
        let over_udp = timeout_at(deadline, query_by_udp(server, id, &query, question)).await;
        let answer = over_udp.map_err(|_| AttemptError::TimedOut)??;
        if answer != Answer::Truncated {
            return Ok((answer, false));
        }
        let over_tcp = timeout_at(deadline, query_by_tcp(server, id, &query, question)).await;
        match over_tcp.map_err(|_| AttemptError::TimedOutOverTcp)? {
            Ok(Answer::Truncated) => Err(AttemptError::OverTcp(Box::new(AttemptError::Truncated))),
            Ok(answer) => Ok((answer, true)),
            Err(error) => Err(AttemptError::OverTcp(Box::new(error))),
        }
    }
}

/// Queries over a new UDP socket that is connected to the server, so that it receives from no other address.
async fn query_by_udp(
    server: SocketAddr,
    id: u16,
    query: &[u8],
    question: &Question,
) -> Result<Answer, AttemptError> {
    let socket = UdpSocket::bind((local_address_for(server), 0)).await?;
    socket.connect(server).await?;
    socket.send(query).await?;
    let mut buffer = vec![0; usize::from(u16::MAX)];
    let mut last_error = None;
    for _ in 0..MAX_UNRELATED_DATAGRAMS {
        let length = socket.recv(&mut buffer).await?;
        match decode_answer(&buffer[..length], id, question) {
            Err(error) if error.is_unrelated() => last_error = Some(error),
            decoded => return Ok(decoded?),
        }
    }
    Err(AttemptError::Unrelated(last_error))
}

/// Returns the address to bind a socket for `server` to.
fn local_address_for(server: SocketAddr) -> IpAddr {
    match server.ip() {
        IpAddr::V4(ip) if ip.is_loopback() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        IpAddr::V6(ip) if ip.is_loopback() => Ipv6Addr::LOCALHOST.into(),
        IpAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    }
}

/// Queries over a new TCP connection.
async fn query_by_tcp(
    server: SocketAddr,
    id: u16,
    query: &[u8],
    question: &Question,
) -> Result<Answer, AttemptError> {
    let mut stream = TcpStream::connect(server).await?;
    let length = u16::try_from(query.len()).map_err(AttemptError::QueryLength)?;
    let message = [&length.to_be_bytes(), query].concat();
    stream.write_all(&message).await?;
    let length = stream.read_u16().await?;
    let mut answer = vec![0; usize::from(length)];
    stream.read_exact(&mut answer).await?;
    Ok(decode_answer(&answer, id, question)?)
}
