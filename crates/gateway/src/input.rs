//! Inputs of the event loop, sent by the tasks that own sockets.

use std::sync::Arc;

use fleet::wire::{GatewayRequest, GatewayResponse};
use tokio::sync::oneshot;

use crate::counter::{Counter, CounterReply};
use crate::discovery::EndpointUpdate;
use crate::resp::{Answer, Call};
use crate::streaming::StreamedValue;
use crate::upstream::{Connection, Reply};

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// Number of the request within this gateway.
    pub request: u64,
    /// Number of the attempt within the request, from 0.
    pub number: u32,
}

/// An input of the event loop.
pub enum Input {
    /// A client sent a request; the final answer goes to `reply`.
    Request { id: u64, call: Arc<Call>, reply: oneshot::Sender<Answer> },
    /// The client of a request has disconnected.
    ClientDisconnected { id: u64 },
    /// The connection for an attempt is open; `None` if it failed or timed out.
    Connected { key: AttemptKey, backend: u32, connection: Option<Connection> },
    /// The connection for an attempt has cooled down.
    CooledDown { key: AttemptKey, backend: u32, connection: Connection },
    /// A backend has begun to answer an attempt. `streamed` is set if the value is too long to be buffered.
    ResponseStarted { key: AttemptKey, backend: u32, streamed: Option<StreamedValue> },
    /// An attempt has ended. `connection` is set if it can be reused.
    AttemptEnded { key: AttemptKey, backend: u32, reply: Reply, connection: Option<Connection> },
    /// The connection for a probe is open; `None` if it failed or timed out.
    ProbeConnected { backend: u32, connection: Option<Connection>, purpose: ProbePurpose },
    /// A probe has ended. `connection` is set if it can be reused.
    Probed { backend: u32, reply: Reply, connection: Option<Connection>, purpose: ProbePurpose },
    /// A counter call has ended.
    Counted(CounterReply),
    /// A reload has changed the address of the shared counter.
    CounterMoved(Counter),
    /// Discovery has sent an update of the endpoint list.
    EndpointUpdate(EndpointUpdate),
    /// A timer has expired.
    TimerExpired(TimerKind),
    /// An operator or the agent sent a request to the admin listener.
    AdminRequest { request: GatewayRequest, reply: oneshot::Sender<GatewayResponse> },
    /// The gateway is shutting down. Requests from now on must be answered by `answer_by_ms`, Unix time in
    /// ms.
    ShuttingDown { answer_by_ms: f64 },
    /// The process is about to exit: requests that await an answer fail now, and new ones are rejected.
    FailUnanswered,
}

/// The purpose of a probe.
#[derive(Clone, Copy, Debug)]
pub enum ProbePurpose {
    /// Tests for the policy whether an ejected backend answers again.
    Health,
    /// Opens the first connection to the incarnation of a backend that started at `started_ms`, Unix time
    /// in ms.
    FirstConnection { started_ms: f64 },
}

/// The purpose of a timer.
pub enum TimerKind {
    /// A timer of the policy, by its token.
    Policy(u64),
    /// The timeout of a counter call, by its number.
    CounterCall(u64),
    /// The next slot of the connection ramp, in which a first connection to a backend is opened.
    ConnectionRamp,
}

impl From<CounterReply> for Input {
    fn from(reply: CounterReply) -> Self {
        Input::Counted(reply)
    }
}

impl From<EndpointUpdate> for Input {
    fn from(update: EndpointUpdate) -> Self {
        Input::EndpointUpdate(update)
    }
}
