//! Follows the list by watches (long polls): each call waits for the next change. Failures are retried with
//! backoff.

use std::net::SocketAddr;
use std::time::Duration;

use backoff::Backoff;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use super::connection::{reconnect, ListConnection, ListResponse};
use super::list_state::{Accepted, ListState};
use super::{EndpointUpdate, FollowOptions};

/// How long a watch may wait. Kept short because a service that stopped responding is noticed only after it.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Time allowed for a response, beyond the wait of a watch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest and longest backoff after a failed call, for a small fleet.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time that discovery is assumed to need for one call. Delays grow with the number of gateways by this
/// much each. Otherwise all gateways of a large fleet would call at the same time when they start, and
/// all rejected ones would retry together. The cost is that gateways of larger fleets call later.
const CALL_SHARE: Duration = Duration::from_millis(20);
/// Fraction of `stop_within` in which the first call is made; the rest is left for the response.
const START_FRACTION: f64 = 0.5;
/// Upper limit of the backoff in fleets of any size. An update counts as delivered 6 s after discovery
/// has it, whether or not a gateway asked; the other half of that time is for a call that hangs and the
/// response.
const BACKOFF_LIMIT: Duration = Duration::from_millis(3_000);
/// Shortest time between watches that return no change. Discovery treats a watch as continuing if the
/// next one arrives within 200 ms.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Follows the list and sends updates to the event loop; never returns.
pub(super) async fn follow<T: From<EndpointUpdate>>(
    address: SocketAddr,
    options: FollowOptions,
    inbox: mpsc::Sender<T>,
) {
    let FollowOptions { known_version, gateways, stop_within, seed, .. } = options;
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF, CALL_SHARE, BACKOFF_LIMIT, gateways, seed);
    let max_initial_delay = stop_within.mul_f64(START_FRACTION);
    sleep(backoff.initial_delay(CALL_SHARE, max_initial_delay, gateways)).await;
    let mut watcher = Watcher { address, state: ListState::new(known_version), inbox };
    let mut silent = false;
    loop {
        let end = watcher.session(silent.then_some(max_initial_delay)).await;
        if end.answered {
            backoff.reset();
        }
        // A discovery service that responds again must not find a gateway in a backoff of seconds:
        // updates sent in the meantime count as delivered to it. The call that timed out already served
        // as the backoff, so the next call is made within the delay allowed for the first call after a
        // start, and further ones at that interval. The cost is that a fleet calls an unresponsive
        // service more often.
        silent = end.reason == EndReason::Silent;
        sleep(if silent {
            backoff.initial_delay(CALL_SHARE, max_initial_delay, gateways)
        } else {
            backoff.next_delay()
        })
        .await;
    }
}

/// How a connection to discovery ended.
struct SessionEnd {
    reason: EndReason,
    /// Whether any call on it was answered.
    answered: bool,
}

/// Why a connection to discovery ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EndReason {
    /// The connection could not be opened.
    NeverOpened,
    /// The connection broke, or a response could not be parsed.
    Lost,
    /// A call on the connection timed out.
    Silent,
    /// Discovery rejected a call.
    Rejected,
}

struct Watcher<T> {
    address: SocketAddr,
    state: ListState,
    inbox: mpsc::Sender<T>,
}

impl<T: From<EndpointUpdate>> Watcher<T> {
    /// Opens a connection and makes calls on it until one fails. With a `reconnect_interval`, the service had
    /// stopped responding and is called at that interval until it responds.
    async fn session(&mut self, reconnect_interval: Option<Duration>) -> SessionEnd {
        let opened = match reconnect_interval {
            Some(interval) => reconnect(self.address, interval, ANSWER_TIMEOUT)
                .await
                .map(|(connection, response)| (connection, Some(response))),
            None => {
                ListConnection::open(self.address, ANSWER_TIMEOUT).await.map(|connection| (connection, None))
            }
        };
        let Some((connection, first)) = opened else {
            return SessionEnd { reason: EndReason::NeverOpened, answered: false };
        };
        let mut answered = false;
        let reason = self.watch(connection, first, &mut answered).await;
        match reason {
            EndReason::Lost | EndReason::Silent => self.state.forget(),
            // The version stays: fetching the whole list would add load to a service that is too busy.
            EndReason::NeverOpened | EndReason::Rejected => {}
        }
        SessionEnd { reason, answered }
    }

    /// Makes calls on one connection until one fails. `first` is the response to a call for the whole
    /// list that was already made on it. Sets `answered` when a call is answered.
    async fn watch(
        &mut self,
        mut connection: ListConnection,
        mut first: Option<ListResponse>,
        answered: &mut bool,
    ) -> EndReason {
        loop {
            let called_at = Instant::now();
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
                    // Versions may go back repeatedly; the pause keeps the retries from becoming a busy loop.
                    sleep(MIN_WATCH_INTERVAL).await;
                    continue;
                }
                Accepted::Same(update) => (update, true),
                Accepted::New(update) => (update, false),
            };
            if self.inbox.send(update.into()).await.is_err() {
                return EndReason::Lost;
            }
            // The pause prevents a busy loop with a service that answers watches immediately.
            if is_same && called_at.elapsed() < MIN_WATCH_INTERVAL {
                sleep(MIN_WATCH_INTERVAL).await;
            }
        }
    }

    /// Makes one call, for the changes since the cached version or for the whole list. Returns `None` if
    /// it times out.
    async fn call(&self, connection: &mut ListConnection) -> Option<ListResponse> {
        let since = self.state.version.map(|version| (version, WATCH_TIMEOUT));
        let wait = if since.is_some() { WATCH_TIMEOUT } else { Duration::ZERO };
        timeout(wait + ANSWER_TIMEOUT, connection.get(since)).await.ok()
    }
}
