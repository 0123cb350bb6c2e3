//! PollSchedule to the shared counter, one behind another on a few connections.

#[cfg(test)]
mod tests;

mod activity;
mod connection;
mod silence;

use std::net::SocketAddr;
use std::time::Duration;

use gateway_policy::interface::Outcome;
use tokio::sync::mpsc;
use tokio::time::Instant;

use activity::ConnectionActivity;
use connection::CounterConnection;

/// Connections; the counter holds 32 of a gateway. A slow call holds up those behind it on its own only.
const CONNECTIONS: usize = 4;
/// PollSchedule that may wait on one connection; the counter is long lost when there are more.
const MAX_CALLS_PER_CONNECTION: usize = 64;
/// A call.
#[derive(Debug)]
pub struct Call {
    /// Given back with the outcome.
    pub number: u64,
    pub name: u64,
    pub amount: f64,
    pub life_ms: f64,
    /// When it was made.
    pub at: Instant,
}

/// How a call ended.
#[derive(Clone, Copy, Debug)]
pub struct Counted {
    pub number: u64,
    pub outcome: Outcome,
    /// The name's value after it, where the outcome is [`Outcome::Ok`]; not finite if it can't be read.
    pub total: f64,
}

/// The counter as the event loop sees it.
#[derive(Debug)]
pub struct Counter {
    /// How long a call may take.
    pub timeout: Duration,
    connections: Vec<mpsc::Sender<Call>>,
    activity: ConnectionActivity,
}

impl Counter {
    /// Sets up the connections; each is opened with its first call. Outcomes go to the inbox, in the order
    /// of the calls of a name. Whoever calls keeps the time: an outcome may come late, or never while the
    /// counter is silent.
    pub fn start<T>(address: SocketAddr, timeout: Duration, inbox: &mpsc::Sender<T>) -> Self
    where
        T: From<Counted> + Send + 'static,
    {
        let activity = ConnectionActivity::new();
        let open = |index| {
            let (calls, queue) = mpsc::channel(MAX_CALLS_PER_CONNECTION);
            let connection =
                CounterConnection::new(index, address, timeout, queue, inbox.clone(), activity.clone());
            tokio::spawn(connection.run());
            calls
        };
        Counter { timeout, connections: (0..CONNECTIONS).map(open).collect(), activity }
    }

    /// Makes a call; `false` if there is no room for it. PollSchedule of one name share a connection, so that
    /// their answers come in order.
    pub fn call(&self, call: Call) -> bool {
        self.connections[connection_of(call.name)].try_send(call).is_ok()
    }

    /// How a call ended that was made then and has no answer in time. One connection that fell silent is no
    /// sign of a counter that is crowded, for which hardly a call would be made; and what was never written
    /// was not counted.
    pub fn overdue(&self, number: u64, name: u64, made: Instant) -> Outcome {
        let index = connection_of(name);
        let written = self.activity.has_written(index, number);
        match (written, self.activity.silence(index, made).is_alone(self.timeout)) {
            (true, true) => Outcome::Reset,
            (true, false) => Outcome::Timeout,
            (false, true) => Outcome::NotSent,
            (false, false) => Outcome::ConnectFailed,
        }
    }
}

/// The index of the connection that a name is always on.
fn connection_of(name: u64) -> usize {
    (name % CONNECTIONS as u64) as usize
}
