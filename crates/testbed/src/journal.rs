//! A journal of the messages on the sockets, with their times.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The idempotency class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May run several times.
    Safe,
    /// Backends of one group drop repeats with the same idempotency key.
    Keyed,
    /// Must run at most once.
    Unsafe,
}

/// How an attempt ended at its backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Answered with a value.
    Served,
    /// Answered with an error after it ran.
    Failed,
    /// Rejected; it never ran.
    Rejected,
    /// The connection ended, or the gateway gave up, after it began to run.
    Aborted,
}

/// The final answer to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A value.
    Served,
    /// Rejected, with the advised wait until a retry, ms.
    Rejected(Option<u64>),
    /// An error.
    Failed,
    /// No complete answer before the connection ended or the deadline had passed.
    Missing,
    /// Bytes that are not a valid answer to the request.
    Malformed,
    /// No answer is expected: the client disconnected before one arrived.
    Abandoned,
    /// No gateway accepted the connection, so none has received the request.
    NotAccepted,
}

/// A journal event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client is about to send a request.
    RequestSent {
        /// Id of the request.
        id: u64,
        /// Its customer.
        customer: u64,
        /// Its class.
        class: Class,
        /// Units that it is charged.
        units: f64,
        /// Index of the gateway that it is sent to.
        gateway: usize,
    },
    /// A client received the answer, or gave up waiting for it.
    AnswerReceived {
        /// Id of the request.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// A backend received an attempt completely.
    AttemptReceived {
        /// Id of the request.
        id: u64,
        /// Its idempotency key, in a keyed class.
        key: Option<String>,
        /// Its class.
        class: Class,
        /// The backend.
        backend: String,
        /// The backend's group.
        group: u32,
        /// Time of its first byte.
        first_byte_at: Duration,
        /// Whether the backend accepted it to run.
        ran: bool,
    },
    /// An attempt ended at its backend.
    AttemptEnded {
        /// Id of the request.
        id: u64,
        /// The backend.
        backend: String,
        /// How it ended.
        result: AttemptResult,
    },
    /// A backend was drained: it is to receive no new attempts.
    BackendDrained {
        /// The backend.
        backend: String,
        /// Index of the only gateway that was ordered to drain it; `None` if all were.
        gateway: Option<usize>,
    },
    /// A backend was undrained and may receive new attempts.
    BackendUndrained {
        /// The backend.
        backend: String,
    },
    /// A backend started cold.
    BackendStarted {
        /// The backend.
        backend: String,
        /// Number of requests that it runs at once.
        slots: usize,
    },
}

/// Events in the order in which they were recorded, up to a maximum number. Clones share them.
#[derive(Clone, Debug)]
pub struct Journal {
    started: Instant,
    capacity: usize,
    records: Arc<Mutex<Records>>,
}

#[derive(Debug, Default)]
struct Records {
    events: Vec<(Duration, Event)>,
    dropped: u64,
}

impl Journal {
    /// Creates a journal with room for this many events. Further ones are dropped and counted, and an audit
    /// of the journal then fails.
    #[must_use]
    pub fn new(capacity: usize) -> Journal {
        Journal { started: Instant::now(), capacity, records: Arc::default() }
    }

    /// Returns the time since the journal's creation.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records an event at the current time.
    pub fn note(&self, event: Event) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.started.elapsed();
        if records.events.len() < self.capacity {
            records.events.push((at, event));
        } else {
            records.dropped += 1;
        }
    }

    /// Returns all events so far with their times.
    #[must_use]
    pub fn events(&self) -> Vec<(Duration, Event)> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).events.clone()
    }

    /// Returns the number of events that were dropped for lack of room.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }

    /// Removes all events so far.
    pub fn clear(&self) {
        *self.records.lock().unwrap_or_else(PoisonError::into_inner) = Records::default();
    }
}
