//! Follows the list in this gateway's own slots, where all gateways share one list service.

use std::net::SocketAddr;
use std::time::Duration;

use cold_start::{Poll, PollOutcome, PollSchedule, SlotSchedule};
use gateway_policy::interface::UpdateScope;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::line::{Got, Line};
use super::ordered::{First, Ordering, Told, Turns};
use super::{name_wrong, News};
use crate::clock::Clock;
use crate::listing::List;

/// How long a connection may take to come up. Danger: a service that is gone without a word, waited for as
/// one that is slow.
const CONNECT: Duration = Duration::from_secs(1);

/// What the gateway holds of the list and of the service.
struct Held {
    agent: SocketAddr,
    /// The version; none where the whole list is to be asked for.
    index: Option<u64>,
    line: Option<Line>,
    /// Whether the last answer could not be read, which is said once.
    unreadable: bool,
}

/// Follows the list for good and tells the driver of it.
pub async fn follow<T: From<News>>(
    agent: SocketAddr,
    index: Option<u64>,
    calendar: SlotSchedule,
    clock: Clock,
    ordering: Option<Ordering>,
    inbox: mpsc::Sender<T>,
) {
    let (mut calls, mut held) =
        (PollSchedule::new(calendar), Held { agent, index, line: None, unreadable: false });
    let mut turns = ordering.map(|ordering| Turns::start(ordering, index));
    loop {
        let (mut call, mut fetch) = (calls.next(clock.now_ms()), false);
        loop {
            let told = tokio::select! {
                () = sleep_until(clock.instant(call.at_ms)) => break,
                Some(told) = heard(&mut turns) => told,
            };
            match told {
                Told::List(list) => {
                    let Some(news) = held.known(list) else { continue };
                    if inbox.send(news.into()).await.is_err() {
                        return;
                    }
                }
                Told::Turn { fetch: wanted } => {
                    let Some(now) = calls.start_now(clock.now_ms()) else { continue };
                    (call, fetch) = (now, wanted);
                    break;
                }
            }
        }
        if calls.missed(call, clock.now_ms()) {
            continue;
        }
        let (came, news) = held.call(call, clock.instant(call.timeout_at_ms), fetch).await;
        calls.poll_ended(clock.now_ms(), came);
        if let Some(turns) = turns.as_mut().filter(|turns| turns.wants()) {
            let took = Duration::from_secs_f64((clock.now_ms() - call.at_ms).max(0.0) / 1_000.0);
            let fetched = news.as_ref().filter(|_| fetch).and_then(|news| news.text(held.index?));
            turns.came(First { came, took, fetched });
        }
        let Some(news) = news else { continue };
        if inbox.send(news.into()).await.is_err() {
            return;
        }
    }
}

/// What the agent says next, if it is asked.
async fn heard(turns: &mut Option<Turns>) -> Option<Told> {
    turns.as_mut()?.told.recv().await
}

impl Held {
    /// Takes a list that the agent hands out, if it is newer than what is held.
    fn known(&mut self, list: List) -> Option<News> {
        if self.index.is_some_and(|held| held >= list.index) {
            return None;
        }
        self.index = Some(list.index);
        Some(News { scope: UpdateScope::Cached, endpoints: list.endpoints, unsaid: Vec::new() })
    }

    /// One call, until it is given up; for the whole list if that is wanted.
    async fn call(&mut self, call: Poll, until: Instant, whole: bool) -> (PollOutcome, Option<News>) {
        // A connection is kept from call to call as long as it stands.
        let kept = self.line.take().filter(|line| !line.is_closed());
        let mut line = match kept {
            Some(line) => line,
            None => match Line::open(self.agent, CONNECT).await {
                Some(line) => line,
                None => return (PollOutcome::Failed, None),
            },
        };
        let changed = self.index.filter(|_| !whole).map(|i| (i, call.wait));
        match timeout_at(until, line.get(changed)).await {
            Ok(Got::List(list)) => {
                (self.line, self.unreadable) = (Some(line), false);
                self.take(list)
            }
            Ok(Got::TurnedAway(told)) => (PollOutcome::Rejected(told), None),
            Ok(Got::Unreadable(why)) => {
                // Said once, as it is asked for again until it can be read.
                if !std::mem::replace(&mut self.unreadable, true) {
                    tracing::warn!("discovery: {why}; the list held stays in force");
                }
                self.index = None;
                (PollOutcome::Failed, None)
            }
            // Danger: another service at the address, with versions of its own. The list is asked for anew.
            Ok(Got::Lost) => {
                self.index = None;
                (PollOutcome::Failed, None)
            }
            Err(_) => (PollOutcome::TimedOut, None),
        }
    }

    fn take(&mut self, list: List) -> (PollOutcome, Option<News>) {
        name_wrong("discovery", &list);
        // Danger: a service that began anew, whose changes would be read as those of the list held.
        if !list.snapshot && self.index.is_some_and(|held| list.index < held) {
            self.index = None;
            return (PollOutcome::OlderVersion, None);
        }
        let came = if self.index == Some(list.index) { PollOutcome::Unchanged } else { PollOutcome::Updated };
        self.index = Some(list.index);
        let scope = if list.snapshot { UpdateScope::Full } else { UpdateScope::Delta };
        let unsaid = list.unsaid();
        (came, Some(News { scope, endpoints: list.endpoints, unsaid }))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: a list that waited with the agent's word while the service told a newer one.
    #[test]
    fn a_list_that_is_handed_out_is_taken_only_if_it_is_newer_than_what_is_held() {
        let agent = SocketAddr::from(([127, 0, 0, 1], 1));
        let mut held = Held { agent, index: None, line: None, unreadable: false };
        let list = |index| List { index, ..List::empty() };
        assert!(held.known(list(5)).is_some());
        assert!(held.known(list(5)).is_none() && held.known(list(4)).is_none());
        assert_eq!(held.index, Some(5));
        assert!(held.known(list(6)).is_some_and(|news| news.scope == UpdateScope::Cached));
    }
}
