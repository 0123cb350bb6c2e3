//! The clients' side: the listener, and on each connection commands in and answers out, in order.

mod admission;
mod connection;
mod idle_policy;
mod listener;
mod shutdown;
mod stream;

use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use gateway_policy::reload::ServiceSettings;
use tokio::sync::{mpsc, watch, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::input::Input;

pub use shutdown::IDLE_CLOSE_DELAY;

/// What all client connections share.
#[derive(Debug)]
pub struct Clients {
    /// What requests are read by.
    pub service_settings: watch::Receiver<Arc<ServiceSettings>>,
    pub inbox: mpsc::Sender<Input>,
    /// The memory budget of requests and answers, bytes.
    pub memory: Arc<Semaphore>,
    /// The last number of a request; they are never used again.
    pub last_request: AtomicU64,
    /// Has connections close as soon as they owe no answer.
    pub closing: CancellationToken,
    /// Ends accepting with the connections that have come by then.
    pub not_accepting: CancellationToken,
    /// Whether operators have drained the gateway.
    pub drained: watch::Receiver<bool>,
    /// One task for each connection.
    pub connections: TaskTracker,
}
