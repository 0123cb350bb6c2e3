//! Follows the list by watches: each call waits for the next change, and failures are followed by a backoff.

use std::net::SocketAddr;
use std::time::Duration;

use backoff::Backoff;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use super::connection::{reconnect, ListConnection, ListResponse};
use super::list_state::{Accepted, ListState};
use super::{EndpointUpdate, FollowOptions};

/// How long a watch may wait. Short, as a silent agent shows only after it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long any answer may take beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff after a call that failed: the first, and the longest, of a gateway with few beside it.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time that discovery is taken to need for a call. Otherwise all gateways of a large fleet would call at
/// once when they start, and all that are turned away again together. The price: the more there are, the
/// later each calls.
const CALL_SHARE: Duration = Duration::from_millis(20);
/// Part of the time that a gateway may go on after it was told to stop in which its first call is made: the
/// answer needs the rest.
const START_FRACTION: f64 = 0.5;
/// The longest backoff. What discovery has to tell counts as told 6 s later, whether or not it was asked; a
/// call that hangs, and the answer, need the other half.
const BACKOFF_LIMIT: Duration = Duration::from_millis(3_000);
/// Least time between watches that tell nothing; a watch goes on if the next comes within 200 ms.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Follows the list for good and sends updates to the event loop.
pub(super) async fn follow<T: From<EndpointUpdate>>(
    agent: SocketAddr,
    options: FollowOptions,
    inbox: mpsc::Sender<T>,
) {
    let FollowOptions { index, gateways, stop_within, seed, .. } = options;
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF, CALL_SHARE, BACKOFF_LIMIT, gateways, seed);
    let soon = stop_within.mul_f64(START_FRACTION);
    sleep(backoff.initial_delay(CALL_SHARE, soon, gateways)).await;
    let mut watcher = Watcher { agent, state: ListState::new(index), inbox };
    let mut silent = false;
    loop {
        let end = watcher.session(silent.then_some(soon)).await;
        if end.answered {
            backoff.reset();
        }
        // A discovery that fell silent and is back must not find a gateway that waits for seconds without a
        // call by which it could be told: what is told meanwhile counts as told to it. A call that was given
        // up has been its backoff, so the next follows within the time that the start has for its first, and
        // others so long after each. The price: a fleet calls a silent discovery that much more often.
        silent = end.reason == EndReason::Silent;
        sleep(if silent { backoff.initial_delay(CALL_SHARE, soon, gateways) } else { backoff.next_delay() })
            .await;
    }
}

/// How a connection to discovery ended.
struct SessionEnd {
    reason: EndReason,
    /// Whether a call on it was answered before.
    answered: bool,
}

/// Why a connection to discovery ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EndReason {
    /// It never came up.
    NeverOpened,
    /// It broke, or brought what can't be read.
    Lost,
    /// A call on it was not answered in time.
    Silent,
    /// Discovery answered that it won't.
    Rejected,
}

struct Watcher<T> {
    agent: SocketAddr,
    state: ListState,
    inbox: mpsc::Sender<T>,
}

impl<T: From<EndpointUpdate>> Watcher<T> {
    /// Opens a connection and calls on it until one call fails. A discovery that fell silent is called anew
    /// each `reconnect_interval` until it answers.
    async fn session(&mut self, reconnect_interval: Option<Duration>) -> SessionEnd {
        let opened = match reconnect_interval {
            Some(interval) => reconnect(self.agent, interval, ANSWER_TIMEOUT)
                .await
                .map(|(connection, response)| (connection, Some(response))),
            None => {
                ListConnection::open(self.agent, ANSWER_TIMEOUT).await.map(|connection| (connection, None))
            }
        };
        let Some((connection, first)) = opened else {
            return SessionEnd { reason: EndReason::NeverOpened, answered: false };
        };
        let mut answered = false;
        let reason = self.watch(connection, first, &mut answered).await;
        match reason {
            EndReason::Lost | EndReason::Silent => self.state.forget(),
            // A discovery that is too busy for this call is not asked for the whole list in its place.
            EndReason::NeverOpened | EndReason::Rejected => {}
        }
        SessionEnd { reason, answered }
    }

    /// Calls on one connection until one call fails; `first` is what a call for the whole list on it has come
    /// to already. Notes whether a call was answered.
    async fn watch(
        &mut self,
        mut connection: ListConnection,
        mut first: Option<ListResponse>,
        answered: &mut bool,
    ) -> EndReason {
        loop {
            let called = Instant::now();
            let response = match first.take() {
                Some(response) => response,
                None => match self.call(&mut connection).await {
                    Some(response) => response,
                    None => return EndReason::Silent,
                },
            };
            let list = match response {
                ListResponse::List(list) => list,
                ListResponse::Rejected(_) => return EndReason::Rejected,
                ListResponse::Unreadable(why) => {
                    self.state.log_unreadable(&why);
                    return EndReason::Lost;
                }
                ListResponse::Lost => return EndReason::Lost,
            };
            *answered = true;
            let (update, is_same) = match self.state.accept(list) {
                Accepted::Older => {
                    // Versions may go back again and again: they are not asked about each time at once.
                    sleep(MIN_WATCH_INTERVAL).await;
                    continue;
                }
                Accepted::Same(update) => (update, true),
                Accepted::New(update) => (update, false),
            };
            if self.inbox.send(update.into()).await.is_err() {
                return EndReason::Lost;
            }
            // An agent that answers watches at once is not asked again and again without a pause.
            if is_same && called.elapsed() < MIN_WATCH_INTERVAL {
                sleep(MIN_WATCH_INTERVAL).await;
            }
        }
    }

    /// Makes one call: for what changed since the cached version, or for the whole list. `None` if there is
    /// no answer in time.
    async fn call(&self, connection: &mut ListConnection) -> Option<ListResponse> {
        let since = self.state.index.map(|index| (index, WATCH_TIMEOUT));
        let wait = if since.is_some() { WATCH_TIMEOUT } else { Duration::ZERO };
        timeout(wait + ANSWER_TIMEOUT, connection.get(since)).await.ok()
    }
}
