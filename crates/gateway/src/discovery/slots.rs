//! Follows the list in this gateway's own slots, which spread the calls of a fleet over time.

use std::net::SocketAddr;
use std::time::Duration;

use cold_start::{Poll, PollOutcome, PollSchedule, SlotSchedule};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::connection::{ListConnection, ListResponse};
use super::coordinated_start::{AgentMessage, CoordinatedStart, FirstCallResult, SlotRequest};
use super::list_state::{Accepted, ListState};
use super::EndpointUpdate;
use crate::clock::Clock;

/// Timeout for opening a connection. An unreachable service must not be waited for as long as a slow one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the discovery service.
struct Poller {
    address: SocketAddr,
    state: ListState,
    /// Connection of the last call, reused for the next one while it is open.
    connection: Option<ListConnection>,
}

/// Follows the list until the inbox closes, and sends updates to the event loop.
pub async fn follow<T: From<EndpointUpdate>>(
    address: SocketAddr,
    known_version: Option<u64>,
    schedule: SlotSchedule,
    clock: Clock,
    start: Option<CoordinatedStart>,
    inbox: mpsc::Sender<T>,
) {
    let mut calls = PollSchedule::new(schedule);
    let mut poller = Poller { address, state: ListState::new(known_version), connection: None };
    let mut slot_request = start.map(|start| SlotRequest::start(start, known_version));
    loop {
        let (mut call, mut fetch) = (calls.next_poll(clock.now_ms()), false);
        loop {
            let message = tokio::select! {
                () = sleep_until(clock.instant(call.at_ms)) => break,
                Some(message) = next_message(&mut slot_request) => message,
            };
            match message {
                AgentMessage::List(list) => {
                    let Some(update) = poller.state.adopt(list) else { continue };
                    if inbox.send(update.into()).await.is_err() {
                        return;
                    }
                }
                AgentMessage::Slot { fetch: wanted } => {
                    let Some(now) = calls.start_now(clock.now_ms()) else { continue };
                    (call, fetch) = (now, wanted);
                    break;
                }
            }
        }
        if calls.missed(call, clock.now_ms()) {
            continue;
        }
        let (outcome, update) = poller.call(call, clock.instant(call.timeout_at_ms), fetch).await;
        calls.poll_ended(clock.now_ms(), outcome);
        if let Some(slot_request) = slot_request.as_mut().filter(|slot_request| slot_request.wants_report()) {
            let took = Duration::from_secs_f64((clock.now_ms() - call.at_ms).max(0.0) / 1_000.0);
            let fetched = update
                .as_ref()
                .filter(|_| fetch)
                .and_then(|update| update.encode_snapshot(poller.state.version?));
            slot_request.report(FirstCallResult { result: outcome, took, fetched });
        }
        let Some(update) = update else { continue };
        if inbox.send(update.into()).await.is_err() {
            return;
        }
    }
}

/// Returns the next message of the agent; `None` if no slot was requested or there are no more messages.
async fn next_message(slot_request: &mut Option<SlotRequest>) -> Option<AgentMessage> {
    slot_request.as_mut()?.messages.recv().await
}

impl Poller {
    /// Makes one call that ends at `until` at the latest, for the whole list if `whole` is set.
    async fn call(
        &mut self,
        call: Poll,
        until: Instant,
        whole: bool,
    ) -> (PollOutcome, Option<EndpointUpdate>) {
        let Some(mut connection) = self.connect().await else { return (PollOutcome::Failed, None) };
        let since = self.state.version.filter(|_| !whole).map(|version| (version, call.wait));
        match timeout_at(until, connection.get(since)).await {
            Ok(ListResponse::List(list)) => {
                self.connection = Some(connection);
                match self.state.accept(list) {
                    Accepted::Older => (PollOutcome::OlderVersion, None),
                    Accepted::Same(update) => (PollOutcome::Unchanged, Some(update)),
                    Accepted::New(update) => (PollOutcome::Updated, Some(update)),
                }
            }
            Ok(ListResponse::Rejected(retry_after)) => (PollOutcome::Rejected(retry_after), None),
            Ok(ListResponse::Unreadable(why)) => {
                self.state.log_unreadable(&why);
                self.state.forget();
                (PollOutcome::Failed, None)
            }
            Ok(ListResponse::Lost) => {
                self.state.forget();
                (PollOutcome::Failed, None)
            }
            Err(_) => (PollOutcome::TimedOut, None),
        }
    }

    async fn connect(&mut self) -> Option<ListConnection> {
        match self.connection.take().filter(|connection| !connection.is_closed()) {
            Some(connection) => Some(connection),
            None => ListConnection::open(self.address, CONNECT_TIMEOUT).await,
        }
    }
}
