//! Actions that a gateway requests: the output of the decisions.

/// An action for the surrounding program, which carries actions out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt. The attempts of a request are numbered from 0.
    SendAttempt {
        /// Identifier of the request.
        id: u64,
        /// Number of the backend that the attempt is sent to.
        backend: u32,
        /// Write deadline, ms: unless its last byte is written by then, the attempt is not sent. `None`: only
        /// the request's own deadline applies.
        write_deadline_ms: Option<f64>,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// Identifier of the request.
        id: u64,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer "rejected": the client can safely retry.
    Reject {
        /// Identifier of the request.
        id: u64,
        /// Time after which the client should retry, ms from now; `None` for no advice.
        retry_after_ms: Option<f64>,
    },
    /// Final answer "failed": the request may have been executed.
    Fail {
        /// Identifier of the request.
        id: u64,
    },
    /// Probes a backend.
    Probe {
        /// Number of the backend to probe.
        backend: u32,
    },
    /// Counter call: adds to a total of the shared counter.
    IncrementCounter {
        /// Key of the total.
        key: u64,
        /// Amount to add; negative to withdraw a charge.
        amount: f64,
        /// Time to live of a new key, ms.
        ttl_ms: f64,
    },
    /// Sets a timer.
    ScheduleTimer {
        /// Token that [`TimerExpired`](super::Event::TimerExpired) returns.
        token: u64,
        /// Time at which it expires, ms.
        at_ms: f64,
    },
    /// Sends a message to all other gateways.
    BroadcastToPeers {
        /// Message.
        body: Vec<u8>,
    },
    /// Polls the endpoint list.
    PollEndpoints,
}
