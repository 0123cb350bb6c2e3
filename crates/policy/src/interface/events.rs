//! Events: the input of the decisions.

use super::endpoints::{BackendEndpoint, UpdateScope};

/// Result of an attempt, a probe or a counter call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have been executed.
    Error,
    /// Rejected for lack of capacity; not executed.
    Rejected,
    /// No answer in time; may have been executed.
    Timeout,
    /// No connection could be established; not executed.
    ConnectFailed,
    /// The connection was lost; may have been executed.
    Reset,
    /// Cancelled; may have been executed.
    Cancelled,
    /// Not sent; not executed.
    NotSent,
}

impl Outcome {
    /// Whether the attempt is known not to have been executed.
    #[must_use]
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Identifier that is never reused.
    pub id: u64,
    /// Customer that sent it.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of the class.
    pub class: usize,
    /// Units that it is charged; an estimate if the actual units are reported later.
    pub units: f64,
    /// Fan-out: number of gateways that can receive requests of this customer.
    pub fan_out: f64,
    /// Deadline: time at which the client gives up, ms.
    pub deadline_ms: f64,
    /// Whether the client marked it as a retry.
    pub retry: bool,
}

/// Charges of a customer that have not been reported to the shared counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnreportedCharge {
    /// Customer that was charged.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Fan-out: number of gateways that can receive requests of this customer.
    pub fan_out: f64,
    /// Units, above 0.
    pub units: f64,
}

/// An input of the decisions.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The endpoint list changed.
    EndpointsUpdated {
        /// Which entries it has.
        scope: UpdateScope,
        /// Entries.
        endpoints: &'a [BackendEndpoint],
    },
    /// A request arrived.
    Request(Request),
    /// The process that an attempt reached may have ended, and another one may have its address: the
    /// connection was reset or refused, and none from before is left. Precedes the end of the attempt.
    ProcessLost {
        /// Identifier of the request.
        id: u64,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Identifier of the request.
        id: u64,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Number of the attempt's backend.
        backend: u32,
        /// Result.
        outcome: Outcome,
        /// Time since it was sent, ms.
        latency_ms: f64,
        /// Whether the client has received its answer or has disconnected, so that none is due any more.
        answered: bool,
        /// Use of the customer over all gateways, from its usage meter, as a fraction of its rate (or of its
        /// concurrency limit).
        metered_use: Option<f64>,
        /// Actual units, which replace the estimate.
        actual_units: Option<f64>,
        /// Load report; empty if there is none.
        load: &'a [f32],
    },
    /// The answer of an attempt has started to be streamed to the client.
    StreamStarted {
        /// Identifier of the request.
        id: u64,
        /// Number of the attempt.
        attempt: u32,
        /// Number of the attempt's backend.
        backend: u32,
    },
    /// The client has disconnected; no answer is due any more.
    ClientDisconnected {
        /// Identifier of the request.
        id: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// Number of the probed backend.
        backend: u32,
        /// Result.
        outcome: Outcome,
        /// Load report; empty if there is none.
        load: &'a [f32],
    },
    /// A counter call ended.
    CounterReplied {
        /// Key of the total.
        key: u64,
        /// Result.
        outcome: Outcome,
        /// Total after a successful call; not finite if the amount was added and the total is unreadable.
        total: f64,
    },
    /// Another gateway sent a message.
    PeerMessage {
        /// Number of that gateway.
        from: u32,
        /// Message.
        body: &'a [u8],
    },
    /// A timer expired.
    TimerExpired {
        /// Token of the timer.
        token: u64,
    },
}
