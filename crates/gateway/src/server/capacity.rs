//! What the limits of a configuration come to: connections, and shares of the memory.

use std::sync::Arc;

use tokio::sync::Semaphore;

use crate::config::Config;
use crate::maintenance::{self, Partition};
use crate::upstream::ConnectionPool;

/// Descriptors for all but clients and backends: the runtime, the log, and the counter and discovery twice,
/// as the old connections may still stand when a new configuration names others.
const RESERVED_SOCKETS: usize = 32;
/// Of the memory, one in so many bytes may be taken by requests and answers, and as many by streamed values:
/// buffers that are being read and written take about another part.
const BUFFERS_DIVISOR: usize = 4;
/// Of the memory, one in so many bytes may be taken by records of customers.
const CUSTOMERS_DIVISOR: usize = 8;
/// What the limits of a configuration come to.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    /// Connections of clients, and as many to backends.
    pub connections: usize,
    /// Bytes of requests and answers, and as many of streamed values.
    pub buffer_bytes: usize,
    /// Bytes of customers' records.
    pub customer_bytes: usize,
}

impl Capacity {
    pub fn of(config: &Config) -> Capacity {
        let commands = if config.management.is_some() { maintenance::MAX_CONNECTIONS } else { 0 };
        let sockets = config.sockets.saturating_sub(RESERVED_SOCKETS).saturating_sub(commands);
        let memory_bytes = config.memory_mb << 20;
        Capacity {
            connections: sockets / 2,
            buffer_bytes: memory_bytes / BUFFERS_DIVISOR,
            customer_bytes: memory_bytes / CUSTOMERS_DIVISOR,
        }
    }
}

/// What clients and values may take together.
pub(super) struct Budgets {
    /// Bytes of requests and answers.
    pub memory: Arc<Semaphore>,
    /// Bytes of streamed values.
    pub streaming_memory: Arc<Semaphore>,
    /// Connections of clients.
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

    /// What other processes of this gateway may have a part of.
    pub fn partitions(&self, capacity: Capacity, pool: &ConnectionPool) -> Vec<Partition> {
        vec![
            Partition::new(Arc::clone(&self.client_permits), capacity.connections),
            Partition::new(pool.permits(), capacity.connections),
            Partition::new(Arc::clone(&self.memory), capacity.buffer_bytes),
            Partition::new(Arc::clone(&self.streaming_memory), capacity.buffer_bytes),
        ]
    }
}
