//! Client requests that await a final answer or have attempts in flight.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use tokio::sync::oneshot;

use super::timers::TimerKey;
use crate::input::AttemptKey;
use crate::resp::{Answer, Call};

/// Typical number of policy timers per request.
const TYPICAL_TIMERS: usize = 3;

/// A request that awaits a final answer or has attempts in flight.
struct InFlight {
    call: Arc<Call>,
    /// Deadline, Unix time in ms.
    expires_ms: f64,
    attempts_made: u32,
    attempts_in_flight: u32,
    /// Channel for the final answer. Taken when the answer is sent, so that there is exactly one.
    reply: Option<oneshot::Sender<Answer>>,
    /// Pending policy timers of the request.
    timers: Vec<TimerKey>,
}

/// Data for an attempt that is about to begin.
pub(super) struct NewAttempt {
    pub key: AttemptKey,
    pub call: Arc<Call>,
    /// Deadline of the request, Unix time in ms.
    pub expires_ms: f64,
}

/// A request was refused because another one with the same client request id is in flight.
pub(super) struct Duplicate {
    /// Channel for the answer to the refused request.
    pub reply: oneshot::Sender<Answer>,
}

/// All requests in flight, by number.
#[derive(Default)]
pub(super) struct Requests {
    in_flight: HashMap<u64, InFlight>,
    /// Client request ids of the requests that await an answer.
    client_ids: HashSet<u64>,
}

impl Requests {
    /// Adds a request. Refuses one whose id belongs to an open request: backends might deduplicate it as
    /// a copy of that request.
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
            timers: Vec::with_capacity(TYPICAL_TIMERS),
        };
        self.in_flight.insert(id, request);
        Ok(())
    }

    /// Whether a request with this client request id awaits an answer.
    pub fn is_open(&self, client_id: u64) -> bool {
        self.client_ids.contains(&client_id)
    }

    /// Returns the client request id of a request.
    pub fn client_id(&self, id: u64) -> Option<u64> {
        self.in_flight.get(&id).map(|request| request.call.id)
    }

    /// Number of requests that await an answer.
    pub fn awaiting_answer(&self) -> usize {
        self.client_ids.len()
    }

    /// Numbers of the requests that await an answer.
    pub fn ids_awaiting_answer(&self) -> Vec<u64> {
        let awaiting = self.in_flight.iter().filter(|(_, request)| request.reply.is_some());
        awaiting.map(|(id, _)| *id).collect()
    }

    /// Returns whether a request awaits an answer or has attempts in flight.
    pub fn contains(&self, id: u64) -> bool {
        self.in_flight.contains_key(&id)
    }

    /// Returns whether a request still awaits its answer.
    pub fn awaits_answer(&self, id: u64) -> bool {
        self.in_flight.get(&id).is_some_and(|request| request.reply.is_some())
    }

    /// Takes the answer channel of a request; `None` if it was already answered.
    pub fn take_reply(&mut self, id: u64) -> Option<oneshot::Sender<Answer>> {
        let request = self.in_flight.get_mut(&id)?;
        let reply = request.reply.take()?;
        self.client_ids.remove(&request.call.id);
        Some(reply)
    }

    /// Registers a new attempt of a request and returns its data.
    pub fn begin_attempt(&mut self, id: u64) -> Option<NewAttempt> {
        let request = self.in_flight.get_mut(&id)?;
        let key = AttemptKey { request: id, number: request.attempts_made };
        request.attempts_made += 1;
        request.attempts_in_flight += 1;
        Some(NewAttempt { key, call: Arc::clone(&request.call), expires_ms: request.expires_ms })
    }

    /// Records that an attempt of a request has ended.
    pub fn end_attempt(&mut self, id: u64) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.attempts_in_flight -= 1;
        }
    }

    /// Records a timer that was set for a request.
    pub fn add_timer(&mut self, id: u64, key: TimerKey) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.timers.push(key);
        }
    }

    /// Removes the key of an expired timer. The queue may reuse the key for another timer; cancelling it
    /// later would then cancel that timer, and a counter call or an attempt would never time out.
    pub fn forget_timer(&mut self, id: u64, key: TimerKey) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.timers.retain(|timer| *timer != key);
        }
    }

    /// Removes a request that was answered and has no attempt in flight. Returns its pending timers,
    /// which the caller must cancel.
    pub fn remove_finished(&mut self, id: u64) -> Option<Vec<TimerKey>> {
        let request = self.in_flight.get(&id)?;
        if request.reply.is_some() || request.attempts_in_flight > 0 {
            return None;
        }
        self.in_flight.remove(&id).map(|request| request.timers)
    }
}
