//! Follows the list of backends: the whole list first, then watches.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use slatelock::interface::{ListScope, Readiness};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::task::AbortOnDropHandle;

/// How long a watch may wait. Short, as a silent agent shows only after it.
const WATCH_MS: u64 = 4_000;
/// How long any answer may take beyond that.
const ANSWER: Duration = Duration::from_millis(1_000);
/// Pause after a call that failed: the first, and the longest.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1_000));
/// Least time between watches that tell nothing; a watch goes on if the next comes within 200 ms.
const SPACING: Duration = Duration::from_millis(100);
/// The longest answer.
const BODY_MOST: usize = 4 << 20;

/// The list of backends or a part of it.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    pub index: u64,
    pub snapshot: bool,
    pub endpoints: Vec<Endpoint>,
}

/// News of the list.
#[derive(Debug)]
pub struct News {
    pub scope: ListScope,
    pub endpoints: Vec<Endpoint>,
}

/// A backend.
#[derive(Clone, Debug, Deserialize)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// What kind of machine it is; orders may name it.
    #[serde(default, rename = "type")]
    pub kind: String,
    pub group: u32,
    pub status: Status,
    #[serde(default)]
    pub weight: f64,
    #[serde(default)]
    pub since_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Status {
    Serving,
    Draining,
    Deleted,
}

impl From<Status> for Readiness {
    fn from(status: Status) -> Self {
        match status {
            Status::Serving => Readiness::Ready,
            Status::Draining => Readiness::Draining,
            Status::Deleted => Readiness::Gone,
        }
    }
}

/// Follows the list for good and tells the driver of it.
pub async fn follow<T: From<News>>(agent: SocketAddr, inbox: mpsc::Sender<T>) {
    let mut pause = PAUSE.0;
    loop {
        let heard = session(agent, &inbox).await;
        pause = if heard { PAUSE.0 } else { (pause * 2).min(PAUSE.1) };
        sleep(pause).await;
    }
}

/// Calls on one connection until one fails; tells whether any was answered.
async fn session<T: From<News>>(agent: SocketAddr, inbox: &mpsc::Sender<T>) -> bool {
    let Ok(Ok(stream)) = timeout(ANSWER, TcpStream::connect(agent)).await else { return false };
    let _ = stream.set_nodelay(true);
    let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(stream)).await else { return false };
    // Danger: a watch of an agent that is no longer asked, kept open until it answers.
    let _connection = AbortOnDropHandle::new(tokio::spawn(connection));
    let mut index = None;
    loop {
        let (path, wait) = match index {
            None => ("/discovery/hosts".to_string(), Duration::ZERO),
            Some(i) => {
                (format!("/discovery/hosts?after={i}&wait_ms={WATCH_MS}"), Duration::from_millis(WATCH_MS))
            }
        };
        let asked = Instant::now();
        let Ok(Some(list)) = timeout(wait + ANSWER, get(&mut sender, agent, &path)).await else {
            return index.is_some();
        };
        let news = index != Some(list.index);
        index = Some(list.index);
        let scope = if list.snapshot { ListScope::Full } else { ListScope::Delta };
        if inbox.send(News { scope, endpoints: list.endpoints }.into()).await.is_err() {
            return true;
        }
        // Danger: an agent that answers watches at once, asked again and again without a pause.
        if !news && asked.elapsed() < SPACING {
            sleep(SPACING).await;
        }
    }
}

/// One call; `None` if it fails or its answer can't be read.
async fn get(sender: &mut http1::SendRequest<Empty<Bytes>>, agent: SocketAddr, path: &str) -> Option<List> {
    let request = Request::get(path).header(HOST, agent.to_string()).body(Empty::new()).ok()?;
    let response = sender.send_request(request).await.ok()?;
    let good = response.status().is_success();
    let body = Limited::new(response.into_body(), BODY_MOST).collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok().filter(|_| good)
}
