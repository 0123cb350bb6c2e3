//! What happens: the input of the decisions.

use super::endpoints::{BackendEndpoint, UpdateScope};

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected unseen, as full.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt is known not to have run.
    #[must_use]
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Never used again.
    pub id: u64,
    /// Whose it is.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of its class.
    pub class: usize,
    /// Units it counts; an estimate where they are settled later.
    pub units: f64,
    /// Fan-out: gateways through which this customer's requests may come.
    pub fan_out: f64,
    /// When the client gives up.
    pub deadline_ms: f64,
    /// Marked as a client's retry.
    pub retry: bool,
}

/// Unreported charges of a customer: those not yet reported to the shared counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnreportedCharge {
    /// Whose they are.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Gateways through which the customer's requests may come.
    pub fan_out: f64,
    /// Units, above 0.
    pub units: f64,
}

/// What happened: all that a gateway acts on.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The endpoint list changed.
    EndpointsUpdated {
        /// How to read it.
        scope: UpdateScope,
        /// Its entries.
        endpoints: &'a [BackendEndpoint],
    },
    /// A request came in.
    Request(Request),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: u64,
        /// Which attempt, from 0.
        attempt: u32,
        /// Where it went.
        backend: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency_ms: f64,
        /// The client has its answer, or has left; nothing is owed any more.
        answered: bool,
        /// The customer's use over all gateways by its usage meter, as a part of its rate (or of its
        /// concurrency limit).
        metered_use: Option<f64>,
        /// The actual units, in place of the estimate.
        actual_units: Option<f64>,
        /// Load report, empty for none.
        load: &'a [f32],
    },
    /// The answer of an attempt has begun to flow to the client.
    StreamStarted {
        /// The request.
        id: u64,
        /// Which attempt.
        attempt: u32,
        /// Where it went.
        backend: u32,
    },
    /// The client has disconnected; nothing is owed any more.
    ClientDisconnected {
        /// The request.
        id: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The backend.
        backend: u32,
        /// How it ended.
        outcome: Outcome,
        /// Load report, empty for none.
        load: &'a [f32],
    },
    /// A counter call ended.
    CounterReplied {
        /// The key.
        key: u64,
        /// How it ended.
        outcome: Outcome,
        /// The value after it, if it ended well; not finite if it was added and the value can't be read.
        total: f64,
    },
    /// A message of another gateway.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The message.
        body: &'a [u8],
    },
    /// A timer fired.
    TimerExpired {
        /// Its token.
        token: u64,
    },
}
