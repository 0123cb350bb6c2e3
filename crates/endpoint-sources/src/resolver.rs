//! Questions over UDP and TCP, to several resolvers in turn.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dns_sd::{decode_answer, encode_query, Answer, AnswerError, Question};
use hickory_proto::op::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{timeout_at, Instant};

/// Datagrams that may be passed over as not meant for us, for one question. Danger: a flood of forged ones
/// that keeps us reading for good.
const MAX_UNEXPECTED_DATAGRAMS: usize = 64;

/// An answer, and how it was had.
#[derive(Clone, Debug)]
pub struct QueryAnswer {
    /// What it says; never truncated.
    pub answer: Answer,
    /// Who gave it.
    pub server: SocketAddr,
    /// Whether it was too long for a datagram.
    pub over_tcp: bool,
    /// From the first question to it.
    pub took: Duration,
    /// Who was asked before, and why that was none.
    pub tries: Vec<(SocketAddr, String)>,
}

/// No resolver gave an answer.
#[derive(Clone, Debug)]
pub struct QueryFailure {
    /// Each that was asked, and what came of it.
    pub tries: Vec<(SocketAddr, String)>,
}

impl fmt::Display for QueryFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.tries.is_empty() {
            return write!(f, "no resolver is configured");
        }
        let all: Vec<String> = self.tries.iter().map(|(server, why)| format!("{server}: {why}")).collect();
        write!(f, "{}", all.join("; "))
    }
}

impl std::error::Error for QueryFailure {}

/// Resolvers, of which each answers for all.
#[derive(Debug)]
pub struct Resolver {
    servers: Vec<SocketAddr>,
    each: Duration,
    /// The one that answered last is asked first.
    first: AtomicUsize,
}

impl Resolver {
    /// Asks these resolvers, each for so long at the most.
    #[must_use]
    pub fn new(servers: Vec<SocketAddr>, each: Duration) -> Resolver {
        Resolver { servers, each, first: AtomicUsize::new(0) }
    }

    /// Asks until one answers, each resolver once: at the most as long as all may take. With `doubted`,
    /// others come before the one that answered last. Cancelling leaves nothing behind.
    ///
    /// # Errors
    /// [`Unanswered`], with what each resolver did.
    pub async fn query(&self, question: &Question, doubted: bool) -> Result<QueryAnswer, QueryFailure> {
        let (begun, mut tries) = (Instant::now(), Vec::new());
        let first = self.first.load(Ordering::Relaxed) + usize::from(doubted);
        for turn in 0..self.servers.len() {
            let place = (first + turn) % self.servers.len();
            let server = self.servers[place];
            match self.one(server, question).await {
                Ok((answer, over_tcp)) => {
                    // One doubt makes no other resolver the first.
                    if !doubted {
                        self.first.store(place, Ordering::Relaxed);
                    }
                    return Ok(QueryAnswer { answer, server, over_tcp, took: begun.elapsed(), tries });
                }
                Err(why) => tries.push((server, why)),
            }
        }
        Err(QueryFailure { tries })
    }

    async fn one(&self, server: SocketAddr, question: &Question) -> Result<(Answer, bool), String> {
        let until = Instant::now() + self.each;
        // Danger: an id that can be guessed (RFC 5452). The library draws it, the system the port.
        let id = Message::query().metadata.id;
        let bytes = encode_query(id, question).map_err(|e| e.to_string())?;
        match timeout_at(until, by_udp(server, id, &bytes, question)).await {
            Err(_) => return Err("no answer in time".to_string()),
            Ok(Err(why)) => return Err(why),
            Ok(Ok(Answer::Truncated)) => {}
            Ok(Ok(answer)) => return Ok((answer, false)),
        }
        match timeout_at(until, by_tcp(server, id, &bytes, question)).await {
            Err(_) => Err("no answer in time, over TCP".to_string()),
            Ok(Err(why)) => Err(format!("over TCP: {why}")),
            Ok(Ok(Answer::Truncated)) => Err("over TCP: truncated as well".to_string()),
            Ok(Ok(answer)) => Ok((answer, true)),
        }
    }
}

async fn by_udp(server: SocketAddr, id: u16, bytes: &[u8], question: &Question) -> Result<Answer, String> {
    let from: IpAddr = match server.ip() {
        IpAddr::V4(ip) if ip.is_loopback() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V4(_) => Ipv4Addr::UNSPECIFIED.into(),
        IpAddr::V6(ip) if ip.is_loopback() => Ipv6Addr::LOCALHOST.into(),
        IpAddr::V6(_) => Ipv6Addr::UNSPECIFIED.into(),
    };
    let failed = |e: std::io::Error| e.to_string();
    // A port of its own for each question, and nothing taken from any other address.
    let socket = UdpSocket::bind((from, 0)).await.map_err(failed)?;
    socket.connect(server).await.map_err(failed)?;
    socket.send(bytes).await.map_err(failed)?;
    let mut buffer = vec![0; usize::from(u16::MAX)];
    let mut last = None;
    for _ in 0..MAX_UNEXPECTED_DATAGRAMS {
        let length = socket.recv(&mut buffer).await.map_err(failed)?;
        match decode_answer(&buffer[..length], id, question) {
            Ok(answer) => return Ok(answer),
            Err(strange) if strange.strange() => last = Some(strange),
            Err(bad) => return Err(bad.to_string()),
        }
    }
    Err(format!("{MAX_UNEXPECTED_DATAGRAMS} datagrams that were not meant for it; {}", said(last)))
}

fn said(last: Option<AnswerError>) -> String {
    last.map_or(String::new(), |last| format!("the last: {last}"))
}

async fn by_tcp(server: SocketAddr, id: u16, bytes: &[u8], question: &Question) -> Result<Answer, String> {
    let failed = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect(server).await.map_err(failed)?;
    let length = u16::try_from(bytes.len()).map_err(|e| e.to_string())?;
    let message = [&length.to_be_bytes(), bytes].concat();
    stream.write_all(&message).await.map_err(failed)?;
    let length = stream.read_u16().await.map_err(failed)?;
    let mut answer = vec![0; usize::from(length)];
    stream.read_exact(&mut answer).await.map_err(failed)?;
    decode_answer(&answer, id, question).map_err(|e| e.to_string())
}
