//! Connections to the discovery service, calls on them, and reconnecting to a service that stopped
//! responding.

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

/// Maximum size of a response body, bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum number of concurrent calls to a discovery service that does not respond.
const MAX_CALLS_IN_FLIGHT: u32 = 4;

/// An HTTP connection to the discovery service.
pub struct ListConnection {
    address: SocketAddr,
    sender: http1::SendRequest<Empty<Bytes>>,
    /// Closes the connection when this value is dropped. Otherwise an abandoned long poll would stay open
    /// until discovery responds.
    _connection: AbortOnDropHandle<hyper::Result<()>>,
}

/// The result of a call.
pub enum ListResponse {
    /// The whole list or a delta.
    List(EndpointList),
    /// Discovery rejected the call, with the `Retry-After` time if one was given.
    Rejected(Option<Duration>),
    /// The response can't be parsed, for this reason.
    Unreadable(String),
    /// The connection broke.
    Lost,
}

impl ListConnection {
    /// Opens a connection; `None` if it fails or takes longer than `connect_timeout`.
    pub async fn open(address: SocketAddr, connect_timeout: Duration) -> Option<ListConnection> {
        let stream = timeout(connect_timeout, TcpStream::connect(address)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        Some(ListConnection {
            address,
            sender,
            _connection: AbortOnDropHandle::new(tokio::spawn(connection)),
        })
    }

    /// Returns whether the connection has been closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Makes one call: for the whole list, or, with `since`, a long poll for the changes since a version that
    /// waits for up to the given time.
    pub async fn get(&mut self, since: Option<(u64, Duration)>) -> ListResponse {
        let path = match since {
            None => "/discovery/hosts".to_string(),
            Some((version, wait)) => format!("/discovery/hosts?after={version}&wait_ms={}", wait.as_millis()),
        };
        let request = Request::get(path).header(HOST, self.address.to_string()).body(Empty::new());
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
        match EndpointList::parse(&body.to_bytes()) {
            Ok(list) => ListResponse::List(list),
            Err(e) => ListResponse::Unreadable(e.to_string()),
        }
    }
}

/// Fetches the whole list from a discovery service that stopped responding, until a call completes. Each
/// call uses its own connection and times out after `call_timeout`. Calls start every `call_interval`, but at
/// most [`MAX_CALLS_IN_FLIGHT`] run at once. Returns `None` if a connection can't be opened.
///
/// Calls overlap because a call that was sent during the outage is not answered when the service is back,
/// while updates sent in the meantime count as delivered. The cost is that a service slower than
/// `call_interval` receives up to [`MAX_CALLS_IN_FLIGHT`] calls instead of one.
pub async fn reconnect(
    address: SocketAddr,
    call_interval: Duration,
    call_timeout: Duration,
) -> Option<(ListConnection, ListResponse)> {
    let mut calls = JoinSet::new();
    let mut next = interval(call_interval.max(call_timeout / MAX_CALLS_IN_FLIGHT));
    // A suspended process must not make up for all missed calls when it resumes.
    next.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            Some(done) = calls.join_next(), if !calls.is_empty() => {
                // Otherwise the call timed out.
                if let Ok(Ok(answered)) = done {
                    return answered;
                }
            }
            _ = next.tick() => {
                calls.spawn(timeout(call_timeout, async move {
                    let mut connection = ListConnection::open(address, call_timeout).await?;
                    let response = connection.get(None).await;
                    Some((connection, response))
                }));
            }
        }
    }
}
