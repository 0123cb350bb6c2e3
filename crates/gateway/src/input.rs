//! What happens to a gateway, as tasks on sockets send it to the event loop.

use std::sync::Arc;

use fleet::wire::{GatewayRequest, GatewayResponse};
use tokio::sync::oneshot;

use crate::counter::{Counter, CounterReply};
use crate::discovery::EndpointUpdate;
use crate::resp::{Answer, Call};
use crate::streaming::StreamedValue;
use crate::upstream::{Connection, Reply};

/// Names an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptKey {
    /// The request's number.
    pub request: u64,
    /// The attempt's number among those of the request, from 0.
    pub number: u32,
}

/// What happens to a gateway.
pub enum Input {
    /// A client's request.
    Request { id: u64, call: Arc<Call>, reply: oneshot::Sender<Answer> },
    /// The client of a request has disconnected.
    ClientDisconnected { id: u64 },
    /// The connection that an attempt waited for is up, or not in time.
    Connected { key: AttemptKey, backend: u32, connection: Option<Connection> },
    /// The connection that an attempt is to use has cooled down.
    CooledDown { key: AttemptKey, backend: u32, connection: Connection },
    /// The answer of an attempt has begun to come; a value that is too long to be buffered whole comes with
    /// it.
    ResponseStarted { key: AttemptKey, backend: u32, streamed: Option<StreamedValue> },
    /// An attempt has ended; its connection comes with it if it can be used again.
    AttemptEnded { key: AttemptKey, backend: u32, reply: Reply, connection: Option<Connection> },
    /// The connection that a probe waited for is up, or not in time.
    ProbeConnected { backend: u32, connection: Option<Connection>, purpose: Purpose },
    /// A probe has ended; its connection comes with it if it can be used again.
    Probed { backend: u32, reply: Reply, connection: Option<Connection>, purpose: Purpose },
    /// A call to the counter has ended.
    Counted(CounterReply),
    /// The counter is at another address now.
    CounterMoved(Counter),
    /// Discovery has an update of the endpoint list.
    EndpointUpdate(EndpointUpdate),
    /// A timer has expired.
    TimerExpired(Due),
    /// A request of an operator or the agent at the admin listener.
    AdminRequest { request: GatewayRequest, reply: oneshot::Sender<GatewayResponse> },
    /// The gateway is asked to shut down: what comes from now on has to be answered by then, Unix time in ms.
    ShuttingDown { answer_by_ms: f64 },
    /// The gateway is about to end: what is still open fails now, and what comes is rejected.
    FailAll,
}

/// What a probe is for.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// The policy wants to know whether an ejected backend answers again.
    Health,
    /// It is the first connection to a backend, of the incarnation that started then, Unix time in ms.
    FirstConnection { started_ms: f64 },
}

/// What a timer is for.
pub enum Due {
    /// A timer of the policy, by its token.
    Policy(u64),
    /// A call to the counter, by its number, is out of time.
    Call(u64),
    /// A backend's slot for a first connection.
    Ramp,
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
