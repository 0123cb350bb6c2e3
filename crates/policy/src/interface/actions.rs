//! Actions that a gateway requests: the output of the decisions.

/// An action for the surrounding program, which carries actions out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt. The attempts of a request are numbered from 0.
    SendAttempt {
        /// Request.
        id: u64,
        /// Target of the attempt.
        backend: u32,
        /// Write deadline, ms: the last byte is written by then, or the attempt is not sent. `None`: as long
        /// as the client waits.
        write_deadline_ms: Option<f64>,
    },
    /// Cancels an attempt.
    CancelAttempt {
        /// Request.
        id: u64,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer "rejected": the client can safely retry.
    Reject {
        /// Request.
        id: u64,
        /// Advice to the client when to retry, ms.
        retry_after_ms: Option<f64>,
    },
    /// Final answer "failed": the request may have been executed.
    Fail {
        /// Request.
        id: u64,
    },
    /// Probes a backend.
    Probe {
        /// Backend to probe.
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
        /// Returned with [`TimerExpired`](super::Event::TimerExpired).
        token: u64,
        /// Time at which it expires.
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
