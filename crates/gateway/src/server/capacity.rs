//! Divides the socket and memory limits of a configuration into budgets.

use std::sync::Arc;

use tokio::sync::Semaphore;

use crate::config::Config;
use crate::maintenance::{self, Partition};
use crate::upstream::ConnectionPool;

/// File descriptors reserved for everything but clients and backends: the runtime, the log, and two sets of
/// connections to the counter and discovery, as the old ones may still be open after a reload changes
/// addresses.
const RESERVED_SOCKETS: usize = 32;
/// Divisor of the memory limit that gives the budget of requests and answers, and the equal one of streamed
/// values. Buffers being read and written take about another such part.
const BUFFERS_DIVISOR: usize = 4;
/// Divisor of the memory limit that gives the memory for customers' records.
const CUSTOMERS_DIVISOR: usize = 8;

/// Number of connections and bytes of memory that the limits of a configuration allow.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    /// Number of client connections, and likewise of backend connections.
    pub connections: usize,
    /// Memory for requests and answers, and likewise for streamed values, bytes.
    pub buffer_bytes: usize,
    /// Memory for customers' records, bytes.
    pub customer_bytes: usize,
}

impl Capacity {
    pub fn of(config: &Config) -> Capacity {
        let management = if config.management.is_some() { maintenance::MAX_CONNECTIONS } else { 0 };
        let sockets = config.sockets.saturating_sub(RESERVED_SOCKETS).saturating_sub(management);
        let memory_bytes = config.memory_mb << 20;
        Capacity {
            connections: sockets / 2,
            buffer_bytes: memory_bytes / BUFFERS_DIVISOR,
            customer_bytes: memory_bytes / CUSTOMERS_DIVISOR,
        }
    }
}

/// Shared budgets of the client connections and their requests.
pub(super) struct Budgets {
    /// Memory for requests and answers, bytes.
    pub memory: Arc<Semaphore>,
    /// Memory for streamed values, bytes.
    pub streaming_memory: Arc<Semaphore>,
    /// Permits for client connections.
    pub client_permits: Arc<Semaphore>,
}

impl Budgets {
    pub fn new(capacity: Capacity) -> Budgets {
        Budgets {
            memory: Arc::new(Semaphore::new(capacity.buffer_bytes)),
            streaming_memory: Arc::new(Semaphore::new(capacity.buffer_bytes)),
            client_permits: Arc::new(Semaphore::new(capacity.connections)),
        }
    }

    /// Returns the budgets that are shared with other processes of this gateway.
    pub fn partitions(&self, capacity: Capacity, pool: &ConnectionPool) -> Vec<Partition> {
        vec![
            Partition::new(Arc::clone(&self.client_permits), capacity.connections),
            Partition::new(pool.permits(), capacity.connections),
            Partition::new(Arc::clone(&self.memory), capacity.buffer_bytes),
            Partition::new(Arc::clone(&self.streaming_memory), capacity.buffer_bytes),
        ]
    }
}
