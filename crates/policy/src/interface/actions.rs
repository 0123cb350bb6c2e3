//! What a gateway wants done: the output of the decisions.

/// What a gateway wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt; they count from 0 for each request.
    SendAttempt {
        /// The request.
        id: u64,
        /// Where to.
        backend: u32,
        /// Write deadline, ms: the last byte is written by then, or nothing is sent at all. None: as long
        /// as the client waits.
        write_deadline_ms: Option<f64>,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// The request.
        id: u64,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer, rejected: nothing ran, and trying again is harmless.
    Reject {
        /// The request.
        id: u64,
        /// When to come again.
        retry_after_ms: Option<f64>,
    },
    /// Final answer, failed: nothing is promised.
    Fail {
        /// The request.
        id: u64,
    },
    /// Probes a backend.
    Probe {
        /// The backend.
        backend: u32,
    },
    /// Counter call: adds to a total of the shared counter.
    IncrementCounter {
        /// Its key.
        key: u64,
        /// What to add.
        amount: f64,
        /// Life of a new key, ms.
        ttl_ms: f64,
    },
    /// Sets a timer.
    ScheduleTimer {
        /// Comes back with its event.
        token: u64,
        /// When.
        at_ms: f64,
    },
    /// Sends a message to all other gateways.
    BroadcastToPeers {
        /// The message.
        body: Vec<u8>,
    },
    /// Polls the endpoint list.
    PollEndpoints,
}
