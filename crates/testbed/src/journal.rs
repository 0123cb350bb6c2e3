//! What passed on the sockets, with the time of each.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The class of a request, as far as the rules know classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Safe to repeat.
    Safe,
    /// Repeats with the same key are dropped by the backends of one group.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// How a backend ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// With its value.
    Served,
    /// With an error, after it ran.
    Failed,
    /// Turned away unseen; it never ran.
    Rejected,
    /// The connection broke, or its gateway gave up, after it began.
    Aborted,
}

/// The final answer that a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value.
    Served,
    /// Refused; when to come again, ms.
    Rejected(Option<u64>),
    /// Failed.
    Failed,
    /// The connection ended with no whole answer.
    Missing,
    /// Bytes that are no answer.
    Malformed,
    /// None is owed: the client left before one came.
    Abandoned,
    /// No gateway accepted the connection, so none has taken the request.
    NotAccepted,
}

/// Something that passed.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client wrote a request whole.
    RequestSent {
        /// The request.
        id: u64,
        /// Its customer.
        customer: u64,
        /// Its class.
        class: Class,
        /// Units that it takes.
        units: f64,
        /// The place of the gateway that got it.
        gateway: usize,
    },
    /// A client got an answer, or the end of the connection.
    AnswerReceived {
        /// The request.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// A request came whole to a backend.
    AttemptReceived {
        /// The request.
        id: u64,
        /// Its key, in a keyed class.
        key: Option<String>,
        /// Its class.
        class: Class,
        /// The backend.
        backend: String,
        /// Its group.
        group: u32,
        /// When the first byte came.
        began: Duration,
        /// Whether the backend began to run it.
        ran: bool,
    },
    /// A backend has ended a request.
    AttemptEnded {
        /// The request.
        id: u64,
        /// The backend.
        backend: String,
        /// How.
        ended: AttemptResult,
    },
    /// Nothing new is to go to a backend from now on; `gateway` says to which it was told, none to all.
    BackendDrained {
        /// The backend.
        backend: String,
        /// The place of the gateway that was told.
        gateway: Option<usize>,
    },
    /// A backend takes new work again.
    BackendUndrained {
        /// The backend.
        backend: String,
    },
    /// A backend has started, cold.
    BackendStarted {
        /// The backend.
        backend: String,
        /// Requests at once that it bears warm.
        slots: usize,
    },
}

/// What passed, in the order of its coming, up to a bound. Clones share it.
#[derive(Clone, Debug)]
pub struct Journal {
    begun: Instant,
    most: usize,
    kept: Arc<Mutex<Kept>>,
}

#[derive(Debug, Default)]
struct Kept {
    events: Vec<(Duration, Event)>,
    dropped: u64,
}

impl Journal {
    /// Keeps at most so many events; further ones are only counted, and an audit says so.
    #[must_use]
    pub fn new(most: usize) -> Journal {
        Journal { begun: Instant::now(), most, kept: Arc::default() }
    }

    /// Time since it began.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.begun.elapsed()
    }

    /// Notes something, now.
    pub fn note(&self, event: Event) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let at = self.begun.elapsed();
        if kept.events.len() < self.most {
            kept.events.push((at, event));
        } else {
            kept.dropped += 1;
        }
    }

    /// All events so far.
    #[must_use]
    pub fn events(&self) -> Vec<(Duration, Event)> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner).events.clone()
    }

    /// Events that there was no room for.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner).dropped
    }

    /// Forgets all events so far.
    pub fn clear(&self) {
        *self.kept.lock().unwrap_or_else(PoisonError::into_inner) = Kept::default();
    }
}
