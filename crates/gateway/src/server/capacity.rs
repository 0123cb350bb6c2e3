//! Divides the socket and memory limits of a configuration into budgets.

use std::sync::Arc;

use tokio::sync::Semaphore;

use crate::config::Config;
use crate::maintenance::{self, Partition};
use crate::memory::{MemoryBudget, MemoryLimits};
use crate::upstream::ConnectionPool;

/// File descriptors reserved for everything but clients and backends: the runtime, the log, and two sets of
/// connections to the counter and discovery, as the old ones may still be open after a reload changes
/// addresses.
const RESERVED_SOCKETS: usize = 32;
/// Fractions of the memory limit are given in this unit.
const SIXTEENTH: usize = 16;
/// Memory for everything that peers make the gateway buffer, sixteenths of the limit. The rest is for the
/// program, the tasks of connections, customers' records and what the allocator keeps.
const BUFFERS_SIXTEENTHS: usize = 7;
/// The part of the buffers for requests, sixteenths of the limit.
const REQUESTS_SIXTEENTHS: usize = 4;
/// The part of the buffers for commands that are being received, sixteenths of the limit.
const PARTIAL_COMMANDS_SIXTEENTHS: usize = 3;
/// Divisor of the memory limit that gives the memory for customers' records.
const CUSTOMERS_DIVISOR: usize = 8;

/// Number of connections and bytes of memory that the limits of a configuration allow.
#[derive(Clone, Copy)]
pub(super) struct Capacity {
    /// Number of client connections, and likewise of backend connections.
    pub connections: usize,
    /// Memory for buffers.
    pub memory: MemoryLimits,
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
            memory: MemoryLimits {
                total: memory_bytes / SIXTEENTH * BUFFERS_SIXTEENTHS,
                requests: memory_bytes / SIXTEENTH * REQUESTS_SIXTEENTHS,
                partial_commands: memory_bytes / SIXTEENTH * PARTIAL_COMMANDS_SIXTEENTHS,
            },
            customer_bytes: memory_bytes / CUSTOMERS_DIVISOR,
        }
    }
}

/// Shared budgets of the client connections and their requests.
pub(super) struct Budgets {
    /// Memory for buffers.
    pub memory: MemoryBudget,
    /// Permits for client connections.
    pub client_permits: Arc<Semaphore>,
}

impl Budgets {
    pub fn new(capacity: Capacity) -> Budgets {
        Budgets {
            memory: MemoryBudget::new(capacity.memory),
            client_permits: Arc::new(Semaphore::new(capacity.connections)),
        }
    }

    /// Returns the budgets that are shared with other processes of this gateway.
    pub fn partitions(&self, capacity: Capacity, pool: &ConnectionPool) -> Vec<Partition> {
        let connections = [Arc::clone(&self.client_permits), pool.permits()];
        let connections = connections.into_iter().map(|permits| (permits, capacity.connections));
        let memory = self.memory.semaphores(capacity.memory);
        connections.chain(memory).map(|(permits, total)| Partition::new(permits, total)).collect()
    }
}
