//! Follows the list in this gateway's own slots, where all gateways share one list service.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use beechrudder_coldstart::{Calendar, Call, Calls, Came};
use slatelock::interface::ListScope;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::connection::{ListConnection, ListResponse};
use super::start_order::{AgentMessage, FirstCallReport, SlotRequest, StartOrder};
use super::{log_rejected, EndpointUpdate};
use crate::clock::Clock;
use crate::endpoint_list::EndpointList;

/// How long a connection may take to come up: a service that is gone without a word must not be waited for
/// as long as one that is slow.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What the gateway holds of the list and of the service.
struct ListState {
    agent: SocketAddr,
    /// The version; none where the whole list is to be asked for.
    index: Option<u64>,
    connection: Option<ListConnection>,
    /// Whether the last answer could not be read, which is said once.
    unreadable: bool,
}

/// Follows the list for good and tells the event loop of it.
pub async fn follow<T: From<EndpointUpdate>>(
    agent: SocketAddr,
    index: Option<u64>,
    calendar: Calendar,
    clock: Clock,
    order: Option<StartOrder>,
    inbox: mpsc::Sender<T>,
) {
    let (mut calls, mut state) =
        (Calls::new(calendar), ListState { agent, index, connection: None, unreadable: false });
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
                    let Some(update) = state.adopt(list) else { continue };
                    if inbox.send(update.into()).await.is_err() {
                        return;
                    }
                }
                AgentMessage::Slot { fetch: wanted } => {
                    let Some(now) = calls.first_now(clock.now_ms()) else { continue };
                    (call, fetch) = (now, wanted);
                    break;
                }
            }
        }
        if calls.missed(call, clock.now_ms()) {
            continue;
        }
        let (came, update) = state.call(call, clock.instant(call.until_ms), fetch).await;
        calls.came(clock.now_ms(), came);
        if let Some(slot_request) = slot_request.as_mut().filter(|slot_request| slot_request.wants_report()) {
            let took = Duration::from_secs_f64((clock.now_ms() - call.at_ms).max(0.0) / 1_000.0);
            let fetched = update.as_ref().filter(|_| fetch).and_then(|update| update.text(state.index?));
            slot_request.report(FirstCallReport { result: came, took, fetched });
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

impl ListState {
    /// Takes a list that the agent hands out, if it is newer than what is held.
    fn adopt(&mut self, list: EndpointList) -> Option<EndpointUpdate> {
        if self.index.is_some_and(|held| held >= list.index) {
            return None;
        }
        self.index = Some(list.index);
        Some(EndpointUpdate { scope: ListScope::Cached, endpoints: list.endpoints, unread: Vec::new() })
    }

    /// One call, until it is given up; for the whole list if that is wanted.
    async fn call(&mut self, call: Call, until: Instant, whole: bool) -> (Came, Option<EndpointUpdate>) {
        // A connection is kept from call to call as long as it stands.
        let kept = self.connection.take().filter(|connection| !connection.is_closed());
        let mut connection = match kept {
            Some(connection) => connection,
            None => match ListConnection::open(self.agent, CONNECT_TIMEOUT).await {
                Some(connection) => connection,
                None => return (Came::Broken, None),
            },
        };
        let changed = self.index.filter(|_| !whole).map(|i| (i, call.wait));
        match timeout_at(until, connection.get(changed)).await {
            Ok(ListResponse::List(list)) => {
                (self.connection, self.unreadable) = (Some(connection), false);
                self.accept(list)
            }
            Ok(ListResponse::Rejected(told)) => (Came::TurnedAway(told), None),
            Ok(ListResponse::Unreadable(why)) => {
                // Said once, as it is asked for again until it can be read.
                if !std::mem::replace(&mut self.unreadable, true) {
                    tracing::warn!("discovery: {why}; the list held stays in force");
                }
                self.index = None;
                (Came::Broken, None)
            }
            // Another service may be at the address, with versions of its own: the list is asked for anew.
            Ok(ListResponse::Lost) => {
                self.index = None;
                (Came::Broken, None)
            }
            Err(_) => (Came::Silent, None),
        }
    }

    fn accept(&mut self, list: EndpointList) -> (Came, Option<EndpointUpdate>) {
        log_rejected("discovery", &list);
        // A service that began anew: its changes must not be read as those of the list held.
        if !list.snapshot && self.index.is_some_and(|held| list.index < held) {
            self.index = None;
            return (Came::Older, None);
        }
        let came = if self.index == Some(list.index) { Came::Same } else { Came::News };
        self.index = Some(list.index);
        let scope = if list.snapshot { ListScope::Full } else { ListScope::Delta };
        let unread = list.unread_names();
        (came, Some(EndpointUpdate { scope, endpoints: list.endpoints, unread }))
    }
}
