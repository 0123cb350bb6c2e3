//! Follows the list in this gateway's own slots, where all gateways share one list service.

use std::net::SocketAddr;
use std::time::Duration;

use cold_start::{Poll, PollOutcome, PollSchedule, SlotSchedule};
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::connection::{ListConnection, ListResponse};
use super::list_state::{Accepted, ListState};
use super::start_order::{AgentMessage, FirstCallResult, SlotRequest, StartOrder};
use super::EndpointUpdate;
use crate::clock::Clock;

/// How long a connection may take to come up: a service that is gone without a word must not be waited for
/// as long as one that is slow.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls the list service.
struct Poller {
    agent: SocketAddr,
    state: ListState,
    /// Kept from call to call as long as it stands.
    connection: Option<ListConnection>,
}

/// Follows the list for good and tells the event loop of it.
pub async fn follow<T: From<EndpointUpdate>>(
    agent: SocketAddr,
    index: Option<u64>,
    schedule: SlotSchedule,
    clock: Clock,
    order: Option<StartOrder>,
    inbox: mpsc::Sender<T>,
) {
    let mut calls = PollSchedule::new(schedule);
    let mut poller = Poller { agent, state: ListState::new(index), connection: None };
    let mut slot_request = order.map(|order| SlotRequest::start(order, index));
    loop {
        let (mut call, mut fetch) = (calls.next(clock.now_ms()), false);
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
            let fetched =
                update.as_ref().filter(|_| fetch).and_then(|update| update.text(poller.state.index?));
            slot_request.report(FirstCallResult { result: outcome, took, fetched });
        }
        let Some(update) = update else { continue };
        if inbox.send(update.into()).await.is_err() {
            return;
        }
    }
}

/// What the agent gives next, if it is asked.
async fn next_message(slot_request: &mut Option<SlotRequest>) -> Option<AgentMessage> {
    slot_request.as_mut()?.messages.recv().await
}

impl Poller {
    /// One call, until it is given up; for the whole list if that is wanted.
    async fn call(
        &mut self,
        call: Poll,
        until: Instant,
        whole: bool,
    ) -> (PollOutcome, Option<EndpointUpdate>) {
        let Some(mut connection) = self.connect().await else { return (PollOutcome::Failed, None) };
        let since = self.state.index.filter(|_| !whole).map(|index| (index, call.wait));
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
            None => ListConnection::open(self.agent, CONNECT_TIMEOUT).await,
        }
    }
}
