//! The client side: the listener, and connections on which commands are read and answered in order.

mod admission;
mod connection;
mod idle_policy;
mod input_buffer;
mod listener;
mod pending_answers;
mod shutdown;
mod stream;

use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use gateway_policy::reload::ServiceSettings;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::input::Input;
use crate::memory::MemoryBudget;

pub use shutdown::IDLE_CLOSE_DELAY;

/// State shared by all client connections.
#[derive(Debug)]
pub struct Clients {
    /// Settings by which requests are parsed.
    pub service_settings: watch::Receiver<Arc<ServiceSettings>>,
    /// Channel to the event loop.
    pub inbox: mpsc::Sender<Input>,
    /// Memory budget of requests and answers.
    pub memory: MemoryBudget,
    /// Number of the last request. Numbers are not reused.
    pub last_request: AtomicU64,
    /// When cancelled, each connection closes once all its commands are answered.
    pub closing: CancellationToken,
    /// When cancelled, the listener stops after the connections already in its backlog.
    pub not_accepting: CancellationToken,
    /// When cancelled, streamed values that are held back fail, so that the answers behind them can still be
    /// written before the process exits.
    pub exiting: CancellationToken,
    /// Whether operators have drained the gateway.
    pub drained: watch::Receiver<bool>,
    /// Tasks of the connections.
    pub connections: TaskTracker,
}
