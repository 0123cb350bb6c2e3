//! A connection to discovery, one call on it, and how a silent discovery is found again.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{interval, timeout, MissedTickBehavior};
use tokio_util::task::AbortOnDropHandle;

use crate::endpoint_list::EndpointList;

/// The longest answer, bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Calls into a silent discovery that are in flight at once, at most.
const MAX_CALLS_IN_FLIGHT: u32 = 4;

/// A connection to discovery.
pub struct ListConnection {
    agent: SocketAddr,
    sender: http1::SendRequest<Empty<Bytes>>,
    /// Ends the connection with this: a watch of a discovery that is no longer asked would stay open until
    /// it answers.
    _connection: AbortOnDropHandle<hyper::Result<()>>,
}

/// What came of a call.
pub enum ListResponse {
    /// The list, or what changed of it.
    List(EndpointList),
    /// Discovery turned the call away, with the time for which it wants no other, if it tells one.
    Rejected(Option<Duration>),
    /// The answer can't be read, for this reason.
    Unreadable(String),
    /// The connection broke.
    Lost,
}

impl ListConnection {
    /// None where nobody is there, or nothing comes up within a time.
    pub async fn open(agent: SocketAddr, within: Duration) -> Option<ListConnection> {
        let stream = timeout(within, TcpStream::connect(agent)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        Some(ListConnection { agent, sender, _connection: AbortOnDropHandle::new(tokio::spawn(connection)) })
    }

    /// Whether its other side has ended it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// One call: for the whole list, or for what changed since a version, with the wait for it.
    pub async fn get(&mut self, changed: Option<(u64, Duration)>) -> ListResponse {
        let path = match changed {
            None => "/discovery/hosts".to_string(),
            Some((i, wait)) => format!("/discovery/hosts?after={i}&wait_ms={}", wait.as_millis()),
        };
        let request = Request::get(path).header(HOST, self.agent.to_string()).body(Empty::new());
        let Ok(request) = request else { return ListResponse::Lost };
        let Ok(response) = self.sender.send_request(request).await else { return ListResponse::Lost };
        if !response.status().is_success() {
            let retry_after =
                response.headers().get(RETRY_AFTER).and_then(|v| v.to_str().ok()?.trim().parse().ok());
            return ListResponse::Rejected(retry_after.map(Duration::from_secs));
        }
        let Ok(body) = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await else {
            return ListResponse::Lost;
        };
        match EndpointList::read(&body.to_bytes()) {
            Ok(list) => ListResponse::List(list),
            Err(e) => ListResponse::Unreadable(e.to_string()),
        }
    }
}

/// Asks a discovery that fell silent for the whole list until it says anything, each time on a connection of
/// its own: the next call follows after `apart`, a fourth of `within` at least, while those before it stay
/// open for `within`. None where no connection comes up.
///
/// A call that went into the silence is not answered when discovery is back, and what is told meanwhile
/// counts as told: so later calls overlap with it. The price: a discovery that is slower than `apart` is
/// asked for four lists in place of one.
pub async fn reconnect(
    agent: SocketAddr,
    apart: Duration,
    within: Duration,
) -> Option<(ListConnection, ListResponse)> {
    let mut calls = JoinSet::new();
    let mut next = interval(apart.max(within / MAX_CALLS_IN_FLIGHT));
    // A gateway that was stopped must not make all the calls of that time when it goes on.
    next.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(done) = calls.join_next(), if !calls.is_empty() => {
                // Else it was given up.
                if let Ok(Ok(answered)) = done {
                    return answered;
                }
            }
            _ = next.tick() => {
                calls.spawn(timeout(within, async move {
                    let mut connection = ListConnection::open(agent, within).await?;
                    let response = connection.get(None).await;
                    Some((connection, response))
                }));
            }
        }
    }
}
