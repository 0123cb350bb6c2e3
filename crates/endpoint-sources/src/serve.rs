//! `GET /discovery/hosts`: the endpoint list for gateways, as a snapshot or a delta.

use std::convert::Infallible;
use std::num::ParseIntError;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

use crate::table::EndpointTable;

const PATH: &str = "/discovery/hosts";
/// Maximum number of connections: one for each gateway and some more. Further ones wait in the listen
/// backlog.
const MAX_CONNECTIONS: usize = 12_000;
/// Maximum duration of a long poll, ms.
const MAX_WAIT_MS: u64 = 60_000;
/// Timeout for a request's header, which also closes idle connections.
const HEADER_TIMEOUT: Duration = Duration::from_secs(75);
/// Pause after a failed `accept`. Without file descriptors it fails at once, and the loop would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the list until it is cancelled. Cancelling closes the listener; open connections are still served.
pub async fn serve(listener: TcpListener, table: watch::Receiver<Arc<EndpointTable>>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, table.clone(), permit));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    table: watch::Receiver<Arc<EndpointTable>>,
    _permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| respond(request, table.clone()));
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    // An error ends the connection, and there is no peer left to report it to.
    let _ = http.serve_connection(TokioIo::new(stream), service).await;
}

/// Query parameters of a poll.
#[derive(Clone, Copy, Debug)]
struct PollQuery {
    /// Version that the gateway has.
    after: Option<u64>,
    /// Maximum time to wait for a later version.
    wait_ms: Option<u64>,
}

impl PollQuery {
    fn parse(query: &str) -> Result<PollQuery, ParseIntError> {
        Ok(PollQuery { after: parameter(query, "after")?, wait_ms: parameter(query, "wait_ms")? })
    }
}

/// Parses the first value of a query parameter. Unknown parameters are ignored.
fn parameter(query: &str, key: &str) -> Result<Option<u64>, ParseIntError> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(name, _)| *name == key).map(|(_, value)| value);
    value.map(str::parse).transpose()
}

async fn respond(
    request: Request<Incoming>,
    mut table: watch::Receiver<Arc<EndpointTable>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() != PATH {
        return Ok(text_response(StatusCode::NOT_FOUND, "GET /discovery/hosts is served here"));
    }
    if request.method() != Method::GET {
        return Ok(text_response(StatusCode::METHOD_NOT_ALLOWED, "GET is wanted"));
    }
    let Ok(poll) = PollQuery::parse(request.uri().query().unwrap_or_default()) else {
        return Ok(text_response(StatusCode::BAD_REQUEST, "after and wait_ms are whole numbers"));
    };
    if let Some(after) = poll.after {
        let wait = Duration::from_millis(poll.wait_ms.unwrap_or(0).min(MAX_WAIT_MS));
        let updated = table.wait_for(|table| table.is_known() && !table.is_current(after));
        // After a timeout the response is a delta without endpoints.
        let _ = timeout(wait, updated).await;
    }
    let table = Arc::clone(&table.borrow());
    Ok(list_response(&table, poll.after))
}

fn list_response(table: &EndpointTable, after: Option<u64>) -> Response<Full<Bytes>> {
    if !table.is_known() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "no source has told its list yet");
    }
    let Ok(body) = serde_json::to_vec(&table.updates_after(after)) else {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, "the list can't be written");
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
