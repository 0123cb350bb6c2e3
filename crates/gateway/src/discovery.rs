//! Follows the list of backends: from the version that is known, else the whole list; then watches.

mod connection;
mod slots;
mod start_order;

use std::net::SocketAddr;
use std::time::Duration;

use backoff::Backoff;
use cold_start::SlotSchedule;
use gateway_policy::interface::UpdateScope;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, Instant};

use crate::clock::Clock;
use crate::endpoint_list::{Endpoint, EndpointList};
use connection::{reconnect, ListConnection, ListResponse};
pub use start_order::StartOrder;

/// How long a watch may wait. Short, as a silent agent shows only after it.
const WATCH_MAX: Duration = Duration::from_millis(4_000);
/// How long any answer may take beyond that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff after a call that failed: the first, and the longest, of a gateway with few beside it.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
const BACKOFF_MAX: Duration = Duration::from_millis(1_000);
/// Time that discovery is taken to need for a call. Otherwise all gateways of a large fleet would call at once
/// when they start, and all that are turned away again together. The price: the more there are, the later each
/// calls.
const CALL_SHARE: Duration = Duration::from_millis(20);
/// Part of the time that a gateway may go on after it was told to stop in which its first call is made: the
/// answer needs the rest.
const START_FRACTION: f64 = 0.5;
/// The longest backoff. What discovery has to tell counts as told 6 s later, whether or not it was asked; a
/// call that hangs, and the answer, need the other half.
const BACKOFF_LIMIT: Duration = Duration::from_millis(3_000);
/// Least time between watches that tell nothing; a watch goes on if the next comes within 200 ms.
const WATCH_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// So many lines that are left out are named at most, of one answer.
const LOGGED_MAX: usize = 10;

/// An update of the endpoint list.
#[derive(Debug)]
pub struct EndpointUpdate {
    pub scope: UpdateScope,
    pub endpoints: Vec<Endpoint>,
    /// Backends whose lines could not be read: what is known of them stays.
    pub unread: Vec<String>,
}

impl EndpointUpdate {
    /// The text of an answer that is this whole list, with its version.
    fn text(&self, index: u64) -> Option<(u64, String)> {
        (self.scope == UpdateScope::Full).then(|| (index, EndpointList::text(index, &self.endpoints)))
    }
}

/// What is known of the list by now.
#[derive(Clone, Copy, Debug)]
pub struct FollowOptions {
    /// The version held; none where the next call is to ask for the whole list.
    pub index: Option<u64>,
    /// Gateways that share discovery, this one among them.
    pub gateways: u32,
    /// For so long a gateway may go on sending to a backend after it was told to stop.
    pub stop_within: Duration,
    /// This gateway's own, for its pauses.
    pub seed: u64,
    /// Its slots, where the fleet's operators share out the calls; none: it goes by pauses alone.
    pub slots: Option<(SlotSchedule, Clock)>,
}

/// Follows the list for good and tells the event loop of it. `order`: whom it asks for a turn when it starts,
/// where it has slots.
pub async fn follow<T: From<EndpointUpdate>>(
    agent: SocketAddr,
    known: FollowOptions,
    order: Option<StartOrder>,
    inbox: mpsc::Sender<T>,
) {
    if let Some((calendar, clock)) = known.slots {
        return slots::follow(agent, known.index, calendar, clock, order, inbox).await;
    }
    let FollowOptions { mut index, gateways, stop_within, seed, .. } = known;
    let mut pauses = Backoff::new(BACKOFF_MIN, BACKOFF_MAX, CALL_SHARE, BACKOFF_LIMIT, gateways, seed);
    sleep(pauses.initial_delay(CALL_SHARE, stop_within.mul_f64(START_FRACTION), gateways)).await;
    let (mut unreadable, mut silent) = (false, false);
    let soon = stop_within.mul_f64(START_FRACTION);
    loop {
        let connection = if silent {
            reconnect(agent, soon, ANSWER_TIMEOUT)
                .await
                .map(|(connection, response)| (connection, Some(response)))
        } else {
            ListConnection::open(agent, ANSWER_TIMEOUT).await.map(|connection| (connection, None))
        };
        let end = match connection {
            Some((connection, response)) => {
                session(connection, response, &mut index, &inbox, &mut unreadable).await
            }
            None => SessionEnd::NeverOpened,
        };
        // A discovery that fell silent and is back must not find a gateway that waits for seconds without a
        // call by which it could be told: what is told meanwhile counts as told to it. A call that was given
        // up has been its pause, so the next follows within the time that the start has for its first, and
        // others so long after each. The price: a fleet calls a silent discovery that much more often.
        silent = matches!(end, SessionEnd::Silent { .. });
        match end {
            SessionEnd::NeverOpened => {}
            // Another discovery may be at the address, with versions of its own: the list is asked for anew.
            SessionEnd::Lost { heard } | SessionEnd::Silent { heard } => {
                index = None;
                if heard {
                    pauses.reset();
                }
            }
            // A discovery that is too busy for this call is not asked for the whole list in its place.
            SessionEnd::Rejected { heard } => {
                if heard {
                    pauses.reset();
                }
            }
        }
        sleep(if silent { pauses.initial_delay(CALL_SHARE, soon, gateways) } else { pauses.next_delay() })
            .await;
    }
}

/// How a connection to discovery ended, and whether a call on it was answered before.
enum SessionEnd {
    /// It never came up.
    NeverOpened,
    /// It broke, or brought what can't be read.
    Lost { heard: bool },
    /// A call on it was not answered in time.
    Silent { heard: bool },
    /// Discovery answered that it won't.
    Rejected { heard: bool },
}

/// Calls on one connection until one fails; `first` is what a call for the whole list on it has come to
/// already. `index` is the version held, `unreadable` whether the last answer could not be read.
async fn session<T: From<EndpointUpdate>>(
    mut connection: ListConnection,
    mut first: Option<ListResponse>,
    index: &mut Option<u64>,
    inbox: &mpsc::Sender<T>,
    unreadable: &mut bool,
) -> SessionEnd {
    let mut heard = false;
    loop {
        let since = index.map(|i| (i, WATCH_MAX));
        let wait = if since.is_some() { WATCH_MAX } else { Duration::ZERO };
        let asked = Instant::now();
        let response = match first.take() {
            Some(response) => Ok(response),
            None => timeout(wait + ANSWER_TIMEOUT, connection.get(since)).await,
        };
        let list = match response {
            Ok(ListResponse::List(list)) => list,
            Ok(ListResponse::Rejected(_)) => return SessionEnd::Rejected { heard },
            Ok(ListResponse::Unreadable(why)) => {
                // Said once, as it is asked for again until it can be read.
                if !std::mem::replace(unreadable, true) {
                    tracing::warn!("discovery: {why}; the list held stays in force");
                }
                return SessionEnd::Lost { heard };
            }
            Ok(ListResponse::Lost) => return SessionEnd::Lost { heard },
            Err(_) => return SessionEnd::Silent { heard },
        };
        (heard, *unreadable) = (true, false);
        log_rejected("discovery", &list);
        // A discovery that began anew: its changes must not be read as those of the list held.
        if !list.snapshot && index.is_some_and(|held| list.index < held) {
            *index = None;
            // Versions may go back again and again: they are not asked about each time at once.
            sleep(WATCH_INTERVAL_MIN).await;
            continue;
        }
        let changed = *index != Some(list.index);
        *index = Some(list.index);
        let scope = if list.snapshot { UpdateScope::Full } else { UpdateScope::Delta };
        let unread = list.unread_names();
        if inbox.send(EndpointUpdate { scope, endpoints: list.endpoints, unread }.into()).await.is_err() {
            return SessionEnd::Lost { heard };
        }
        // An agent that answers watches at once is not asked again and again without a pause.
        if !changed && asked.elapsed() < WATCH_INTERVAL_MIN {
            sleep(WATCH_INTERVAL_MIN).await;
        }
    }
}

/// Names the lines of a list that are left out; of many the first.
pub fn log_rejected(whose: &str, list: &EndpointList) {
    for wrong in list.rejected.iter().take(LOGGED_MAX) {
        tracing::warn!("{whose}: {wrong}; this line is left out");
    }
    let more = list.rejected.len().saturating_sub(LOGGED_MAX);
    if more > 0 {
        tracing::warn!("{whose}: {more} more lines are left out");
    }
}
