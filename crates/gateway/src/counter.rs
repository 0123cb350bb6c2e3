//! Client of the shared counter: pipelines calls on a few connections.

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

/// Number of connections; the counter accepts 32 from one gateway. A slow call delays only the calls
/// behind it on its own connection.
const CONNECTIONS: usize = 4;
/// Maximum number of calls queued for one connection, and of calls in flight on it. Reaching it means
/// that the counter stopped responding long ago.
const MAX_CALLS_PER_CONNECTION: usize = 64;

/// A counter call: adds an amount to the total of a key.
#[derive(Debug)]
pub struct Call {
    /// Returned with the outcome. Numbers increase from call to call.
    pub number: u64,
    /// Key of the total in the counter.
    pub key: u64,
    pub amount: f64,
    /// Time after which the counter discards the total, ms.
    pub ttl_ms: f64,
    /// When the call was made.
    pub made_at: Instant,
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug)]
pub struct CounterReply {
    /// Number of the call.
    pub number: u64,
    pub outcome: Outcome,
    /// Total of the key after the call if the outcome is [`Outcome::Ok`]; not finite if the reply was
    /// malformed.
    pub total: f64,
}

/// The event loop's handle to the counter.
#[derive(Debug)]
pub struct Counter {
    /// Timeout of a call.
    pub timeout: Duration,
    connections: Vec<mpsc::Sender<Call>>,
    activity: ConnectionActivity,
}

impl Counter {
    /// Starts the connection tasks; each connection is opened with its first call. Outcomes go to the
    /// inbox, for one key in the order of its calls. Callers enforce the timeout themselves: an outcome
    /// may arrive late, or never while the counter does not respond.
    pub fn start<T>(address: SocketAddr, timeout: Duration, inbox: &mpsc::Sender<T>) -> Self
    where
        T: From<CounterReply> + Send + 'static,
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

    /// Queues a call; returns `false` if the queue is full. Calls with the same key share a connection,
    /// so that their replies arrive in order.
    pub fn call(&self, call: Call) -> bool {
        self.connections[connection_of(call.key)].try_send(call).is_ok()
    }

    /// Returns the outcome of a call that was made at `made_at` and timed out.
    ///
    /// If only this connection is silent, the outcome is not a timeout: that would indicate an overloaded
    /// counter, for which the policy makes hardly any calls. A call that was never written was not counted.
    pub fn timeout_outcome(&self, number: u64, key: u64, made_at: Instant) -> Outcome {
        let index = connection_of(key);
        let written = self.activity.has_written(index, number);
        match (written, self.activity.silence(index, made_at).is_connection_fault(self.timeout)) {
            (true, true) => Outcome::Reset,
            (true, false) => Outcome::Timeout,
            (false, true) => Outcome::NotSent,
            (false, false) => Outcome::ConnectFailed,
        }
    }
}

/// Returns the index of the connection that serves a key.
fn connection_of(key: u64) -> usize {
    (key % CONNECTIONS as u64) as usize
}
