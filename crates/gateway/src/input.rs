//! What happens to a gateway, as tasks on sockets tell it to the driver.

use std::sync::Arc;

use fleet::wire::{GatewayRequest, GatewayResponse};
use tokio::sync::oneshot;

use crate::backends::{Connection, Reply};
use crate::counter::{Counted, Counter};
use crate::discovery::News;
use crate::long::Long;
use crate::resp::{Answer, Call};

/// An attempt: the request's number and the attempt's, from 0.
pub type Key = (u64, u32);

/// What happens to a gateway.
pub enum Input {
    Request {
        id: u64,
        call: Arc<Call>,
        answer: oneshot::Sender<Answer>,
    },
    /// The client of a request is gone.
    Gone {
        id: u64,
    },
    Connected {
        key: Key,
        backend: u32,
        connection: Option<Connection>,
    },
    /// The connection that an attempt is to use has rested.
    Rested {
        key: Key,
        backend: u32,
        connection: Connection,
    },
    /// The answer of an attempt has begun to come; a value that is too long to be held whole comes with it.
    Began {
        key: Key,
        backend: u32,
        long: Option<Long>,
    },
    Ended {
        key: Key,
        backend: u32,
        reply: Reply,
        connection: Option<Connection>,
    },
    /// The connection that a probe waited for is up, or not in time.
    Opened {
        backend: u32,
        connection: Option<Connection>,
        purpose: Purpose,
    },
    Probed {
        backend: u32,
        reply: Reply,
        connection: Option<Connection>,
        purpose: Purpose,
    },
    Counted(Counted),
    /// The counter is at another address now.
    Counter(Counter),
    List(News),
    Due(Due),
    /// An operator, or the agent, asks.
    Asked {
        ask: GatewayRequest,
        say: oneshot::Sender<GatewayResponse>,
    },
    /// The gateway is told to end: what comes from now on has to be answered by a moment, Unix time in ms.
    Ending {
        by_ms: f64,
    },
    /// The gateway is about to end: what is still open fails now, and what comes is refused.
    FailAll,
}

/// What a probe is for.
#[derive(Clone, Copy, Debug)]
pub enum Purpose {
    /// The decisions want to know whether an ejected backend answers again.
    Health,
    /// It is the first connection to a backend, of the life that began then, Unix time in ms.
    FirstConnection { life_ms: f64 },
}

/// What a timer is for.
pub enum Due {
    /// A token of the decisions.
    Timer(u64),
    /// A call to the counter, by its number, is out of time.
    Call(u64),
    /// A backend's turn for a first connection.
    Opening,
}

impl From<Counted> for Input {
    fn from(counted: Counted) -> Self {
        Input::Counted(counted)
    }
}

impl From<News> for Input {
    fn from(news: News) -> Self {
        Input::List(news)
    }
}
