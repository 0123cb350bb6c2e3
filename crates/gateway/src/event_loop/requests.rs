//! Requests of clients that are owed a final answer, or have attempts in flight.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use tokio::sync::oneshot;

use super::timers::TimerKey;
use crate::input::AttemptKey;
use crate::resp::{Answer, Call};

/// Timers of the policy that a request usually has.
const USUAL_TIMERS: usize = 3;

/// A request that is owed a final answer, or has attempts in flight.
struct InFlight {
    call: Arc<Call>,
    expires_ms: f64,
    attempts_made: u32,
    attempts_in_flight: u32,
    /// Where the final answer goes. Giving it takes this, so there is exactly one.
    reply: Option<oneshot::Sender<Answer>>,
    /// Timers of the policy for it that have not expired.
    timers: Vec<TimerKey>,
}

/// An attempt that is about to begin.
pub(super) struct NewAttempt {
    pub key: AttemptKey,
    pub call: Arc<Call>,
    pub expires_ms: f64,
}

/// Another request under the same client's id is in flight.
pub(super) struct Duplicate {
    /// Where the answer to the later one goes.
    pub reply: oneshot::Sender<Answer>,
}

/// All requests in flight, by their numbers.
#[derive(Default)]
pub(super) struct Requests {
    in_flight: HashMap<u64, InFlight>,
    /// The clients' ids of the requests that are owed an answer.
    client_ids: HashSet<u64>,
}

impl Requests {
    /// Takes a request in. A second one under an open one's id is turned away: backends may take it for a
    /// copy of that.
    pub fn admit(
        &mut self,
        id: u64,
        call: Arc<Call>,
        expires_ms: f64,
        reply: oneshot::Sender<Answer>,
    ) -> Result<(), Duplicate> {
        if !self.client_ids.insert(call.id) {
            return Err(Duplicate { reply });
        }
        let request = InFlight {
            call,
            expires_ms,
            attempts_made: 0,
            attempts_in_flight: 0,
            reply: Some(reply),
            timers: Vec::with_capacity(USUAL_TIMERS),
        };
        self.in_flight.insert(id, request);
        Ok(())
    }

    /// Requests that are owed an answer.
    pub fn open(&self) -> usize {
        self.client_ids.len()
    }

    /// The numbers of all requests.
    pub fn ids(&self) -> Vec<u64> {
        self.in_flight.keys().copied().collect()
    }

    /// Whether a request is owed an answer, or has attempts in flight.
    pub fn contains(&self, id: u64) -> bool {
        self.in_flight.contains_key(&id)
    }

    /// Whether a request is still owed its answer.
    pub fn is_owed(&self, id: u64) -> bool {
        self.in_flight.get(&id).is_some_and(|request| request.reply.is_some())
    }

    /// Takes the way to the client of a request that is owed an answer.
    pub fn take_reply(&mut self, id: u64) -> Option<oneshot::Sender<Answer>> {
        let request = self.in_flight.get_mut(&id)?;
        let reply = request.reply.take()?;
        self.client_ids.remove(&request.call.id);
        Some(reply)
    }

    /// Counts an attempt that begins.
    pub fn begin_attempt(&mut self, id: u64) -> Option<NewAttempt> {
        let request = self.in_flight.get_mut(&id)?;
        let key = AttemptKey { request: id, number: request.attempts_made };
        request.attempts_made += 1;
        request.attempts_in_flight += 1;
        Some(NewAttempt { key, call: Arc::clone(&request.call), expires_ms: request.expires_ms })
    }

    /// Counts an attempt that has ended.
    pub fn end_attempt(&mut self, id: u64) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.attempts_in_flight -= 1;
        }
    }

    /// Notes a timer that was set for a request.
    pub fn add_timer(&mut self, id: u64, key: TimerKey) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.timers.push(key);
        }
    }

    /// Forgets a timer that has expired. Its key may be given to another timer: cancelled later, it would
    /// silence that, and a call would never time out, or an attempt never be overdue.
    pub fn forget_timer(&mut self, id: u64, key: TimerKey) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.timers.retain(|timer| *timer != key);
        }
    }

    /// Forgets a request that has its answer and no attempt in flight. Gives its timers, which are to be
    /// cancelled.
    pub fn remove_finished(&mut self, id: u64) -> Option<Vec<TimerKey>> {
        let request = self.in_flight.get(&id)?;
        if request.reply.is_some() || request.attempts_in_flight > 0 {
            return None;
        }
        self.in_flight.remove(&id).map(|request| request.timers)
    }
}
