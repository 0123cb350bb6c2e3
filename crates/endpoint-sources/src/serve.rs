//! `GET /discovery/hosts`: the list, whole or as what changed, for gateways.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};
use tokio::time::{sleep, timeout};

use crate::table::EndpointTable;

/// Connections at once, each gateway's one and some more; further ones wait in the listener's line.
const MAX_CONNECTIONS: usize = 12_000;
/// The longest that a watch waits, ms.
const MAX_WATCH_WAIT_MS: u64 = 60_000;
/// How long a connection may take for the head of a request, and say nothing between two.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(75);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves the list until the task ends. Cancelling closes the listener; answers under way go on.
pub async fn serve(listener: TcpListener, table: watch::Receiver<Arc<EndpointTable>>) {
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            // Danger: no descriptor left, and a loop that does nothing but fail.
            Err(_) => {
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let table = table.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| answer(request, table.clone()));
            let mut http = http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(REQUEST_HEAD_TIMEOUT);
            // Whatever ends the connection, there is nobody left to tell.
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
            drop(place);
        });
    }
}

async fn answer(
    request: Request<Incoming>,
    mut table: watch::Receiver<Arc<EndpointTable>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.uri().path() != "/discovery/hosts" {
        return Ok(plain(StatusCode::NOT_FOUND, "GET /discovery/hosts is served here"));
    }
    if request.method() != Method::GET {
        return Ok(plain(StatusCode::METHOD_NOT_ALLOWED, "GET is wanted"));
    }
    let number = |key: &str| -> Result<Option<u64>, ()> {
        let pairs = request.uri().query().unwrap_or_default().split('&');
        let value = pairs.filter_map(|pair| pair.split_once('=')).find(|(k, _)| *k == key);
        value.map(|(_, v)| v.parse().map_err(|_| ())).transpose()
    };
    let (Ok(after), Ok(wait)) = (number("after"), number("wait_ms")) else {
        return Ok(plain(StatusCode::BAD_REQUEST, "after and wait_ms are whole numbers"));
    };
    if let Some(after) = after {
        let wait = Duration::from_millis(wait.unwrap_or(0).min(MAX_WATCH_WAIT_MS));
        let newer = table.wait_for(|t| t.known() && !t.current(after));
        // Nothing new in time is told as just that.
        let _ = timeout(wait, newer).await;
    }
    let now = Arc::clone(&table.borrow());
    if !now.known() {
        // Danger: an agent that knows nothing yet, taken for a fleet with nobody in it.
        return Ok(plain(StatusCode::SERVICE_UNAVAILABLE, "no source has told its list yet"));
    }
    let Ok(body) = serde_json::to_vec(&now.updates_after(after)) else {
        return Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, "the list can't be written"));
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    Ok(response)
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
