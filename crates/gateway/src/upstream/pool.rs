//! Pools of idle connections to backends, and limits on the number of connections.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway_policy::interface::{BackendEndpoint, EndpointState};
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::connection::{Connection, PendingConnection};

/// Fraction of the idle time allowed by backends for which a connection is reused. A backend begins to count
/// the idle time before the gateway does.
const IDLE_SAFETY_FRACTION: f64 = 0.8;
/// Upper bound of the idle time, s, whatever backends allow.
const MAX_IDLE_S: f64 = 3600.0;
/// Maximum number of connections to one backend. More concurrent requests would only queue there.
const MAX_CONNECTIONS_PER_BACKEND: usize = 160;
/// Initial limit of connections to a backend, if connections follow a ramp.
const INITIAL_CONNECTIONS: usize = 1;

/// The result of asking the pool for a connection.
#[derive(Debug)]
pub enum Checkout {
    /// An idle connection.
    Idle(Connection),
    /// A connection that has just answered, and can be used when it has cooled down.
    CoolingDown(Connection),
    /// A new connection may be opened.
    Open(PendingConnection),
    /// No connection is idle, and there is no permit for a new one.
    Exhausted,
    /// The backend is unknown, draining or removed.
    NotReady,
}

/// The idle connections to one backend.
#[derive(Debug)]
struct BackendPool {
    /// Whether the backend accepts requests, and is not draining.
    ready: bool,
    /// Start of the backend, Unix time in ms.
    started_ms: f64,
    address: SocketAddr,
    /// Generation of the connections that may be used. Older ones are stale.
    generation: u64,
    /// Idle connections, in the order in which they became idle.
    idle: VecDeque<Connection>,
    limit: ConnectionLimit,
}

/// The current limit of connections to a backend.
#[derive(Clone, Debug)]
struct ConnectionLimit {
    permits: Arc<Semaphore>,
    /// Current number of permits, free and taken.
    total: usize,
    /// From this time on, each answer adds a permit.
    grows_from: Instant,
}

/// The initial limit of connections to a backend.
#[derive(Clone, Copy, Debug)]
struct InitialLimit {
    connections: usize,
    /// How long the limit does not grow.
    duration: Duration,
}

impl ConnectionLimit {
    fn new(initial: InitialLimit) -> ConnectionLimit {
        ConnectionLimit {
            permits: Arc::new(Semaphore::new(initial.connections)),
            total: initial.connections,
            grows_from: Instant::now() + initial.duration,
        }
    }
}

/// The idle connections to all backends, by the policy's number of the backend.
#[derive(Debug)]
pub struct ConnectionPool {
    backends: HashMap<u32, BackendPool>,
    /// The backends at each address: one, except while an update is being applied.
    by_address: HashMap<SocketAddr, Vec<u32>>,
    /// The last generation that was assigned. A backend gets a new one when its connections become stale.
    last_generation: u64,
    /// The backend of each idle connection, in the order in which they became idle.
    idle_order: BTreeMap<u64, u32>,
    last_idle_number: u64,
    permits: Arc<Semaphore>,
    idle_max: Duration,
    initial_limit: InitialLimit,
    /// Maximum time for opening a connection.
    pub connect_timeout: Duration,
}

/// Returns how long a connection may be idle and still be reused.
fn idle_max(idle_close_ms: f64) -> Duration {
    Duration::from_secs_f64((idle_close_ms * IDLE_SAFETY_FRACTION / 1000.0).clamp(0.0, MAX_IDLE_S))
}

impl ConnectionPool {
    /// Creates a pool that allows at most `connections` connections, to backends that close idle connections
    /// after `idle_close_ms`.
    pub fn new(connections: usize, idle_close_ms: f64, connect_timeout: Duration) -> Self {
        ConnectionPool {
            backends: HashMap::new(),
            by_address: HashMap::new(),
            last_generation: 0,
            idle_order: BTreeMap::new(),
            last_idle_number: 0,
            permits: Arc::new(Semaphore::new(connections)),
            idle_max: idle_max(idle_close_ms),
            initial_limit: InitialLimit {
                connections: MAX_CONNECTIONS_PER_BACKEND,
                duration: Duration::ZERO,
            },
            connect_timeout,
        }
    }

    /// Limits new backends to one connection for `duration`. After that, each answer allows one more.
    ///
    /// Without this limit, a backend that has just started gets as many connections from each gateway as
    /// there are requests in a burst. In exchange, the burst goes to other backends or is rejected.
    pub fn limit_initial_connections(&mut self, duration: Duration) {
        self.initial_limit = InitialLimit { connections: INITIAL_CONNECTIONS, duration };
    }

    /// Records that the first connection to a backend has answered: the initial limit lasts from now on.
    pub fn first_connection_answered(&mut self, backend: u32, now: Instant) {
        if let Some(pool) = self.backends.get_mut(&backend) {
            pool.limit.grows_from = now + self.initial_limit.duration;
        }
    }

    /// Records that a backend has answered an attempt, which may add a permit for a connection.
    pub fn attempt_answered(&mut self, backend: u32, now: Instant) {
        let Some(pool) = self.backends.get_mut(&backend) else { return };
        let limit = &mut pool.limit;
        if limit.total < MAX_CONNECTIONS_PER_BACKEND && limit.grows_from <= now {
            limit.total += 1;
            limit.permits.add_permits(1);
        }
    }

    /// Permits for connections.
    pub fn permits(&self) -> Arc<Semaphore> {
        Arc::clone(&self.permits)
    }

    /// Changes the idle time and the connect timeout. Connections that are already open are checked against
    /// the new idle time when they are next used.
    pub fn set_limits(&mut self, idle_close_ms: f64, connect_timeout: Duration) {
        self.idle_max = idle_max(idle_close_ms);
        self.connect_timeout = connect_timeout;
    }

    /// Applies an entry of the endpoint list. Of several backends at one address, only the one that started
    /// last is kept. Returns the backends that were replaced, which may include the one of the entry.
    pub fn update(&mut self, entry: &BackendEndpoint, address: SocketAddr) -> Vec<u32> {
        if entry.state == EndpointState::Removed {
            self.remove(entry.id);
            return Vec::new();
        }
        let others = self.by_address.get(&address).into_iter().flatten().copied();
        let started_later =
            |id: &u32| self.backends.get(id).is_some_and(|pool| pool.started_ms > entry.started_ms);
        let (newer, replaced): (Vec<u32>, Vec<u32>) =
            others.filter(|id| *id != entry.id).partition(started_later);
        if !newer.is_empty() {
            self.remove(entry.id);
            return vec![entry.id];
        }
        for id in &replaced {
            self.remove(*id);
        }
        self.set(entry, address);
        replaced
    }

    /// Adds or updates a backend. If anything has changed, its connections become stale: they may lead to a
    /// process that has ended, and requests on them would be reset.
    fn set(&mut self, entry: &BackendEndpoint, address: SocketAddr) {
        let (started_ms, ready) = (entry.started_ms, entry.state == EndpointState::Ready);
        let old = self.backends.get(&entry.id);
        if old.is_some_and(|p| p.address == address && p.started_ms == started_ms && p.ready == ready) {
            return;
        }
        self.last_generation += 1;
        // A backend that has restarted begins with the initial limit again.
        let keeps_limit = |pool: &&BackendPool| {
            pool.started_ms == started_ms || self.initial_limit.connections == MAX_CONNECTIONS_PER_BACKEND
        };
        let limit = old.filter(keeps_limit).map(|pool| pool.limit.clone());
        let limit = limit.unwrap_or_else(|| ConnectionLimit::new(self.initial_limit));
        let (generation, idle) = (self.last_generation, VecDeque::new());
        self.remove(entry.id);
        let pool = BackendPool { ready, started_ms, address, generation, idle, limit };
        self.backends.insert(entry.id, pool);
        self.by_address.entry(address).or_default().push(entry.id);
    }

    fn remove(&mut self, id: u32) {
        let Some(pool) = self.backends.remove(&id) else { return };
        for connection in &pool.idle {
            self.idle_order.remove(&connection.idle_number);
        }
        if let Some(at) = self.by_address.get_mut(&pool.address) {
            at.retain(|other| *other != id);
            if at.is_empty() {
                self.by_address.remove(&pool.address);
            }
        }
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.idle_order.len()
    }

    /// Whether the pool has an entry for a backend.
    pub fn contains(&self, backend: u32) -> bool {
        self.backends.contains_key(&backend)
    }

    /// Removes the backends for which `keep` returns false, because a snapshot of the endpoint list lacks
    /// them.
    pub fn retain(&mut self, keep: impl Fn(u32) -> bool) {
        let removed: Vec<u32> = self.backends.keys().copied().filter(|id| !keep(*id)).collect();
        for id in removed {
            self.remove(id);
        }
    }

    /// Whether the backend keeps an idle connection open, so that its process has not ended.
    pub fn has_open_idle_connection(&self, backend: u32) -> bool {
        let pool = self.backends.get(&backend);
        pool.is_some_and(|pool| pool.idle.iter().any(Connection::is_open))
    }

    /// Takes a connection for a request to a backend.
    pub fn check_out(&mut self, backend: u32, now: Instant) -> Checkout {
        let Some(pool) = self.backends.get_mut(&backend).filter(|pool| pool.ready) else {
            return Checkout::NotReady;
        };
        // Takes the last connection that has cooled down. Those still cooling down became idle last; if there
        // are no others, the first of them is ready soonest.
        while !pool.idle.is_empty() {
            let cooled_down = pool.idle.iter().rposition(|connection| connection.has_cooled_down(now));
            let Some(connection) = pool.idle.remove(cooled_down.unwrap_or(0)) else { break };
            self.idle_order.remove(&connection.idle_number);
            if connection.is_usable(now, self.idle_max) {
                return match cooled_down {
                    Some(_) => Checkout::Idle(connection),
                    None => Checkout::CoolingDown(connection),
                };
            }
        }
        self.open(backend)
    }

    /// Takes the permits for a new connection, if they are available.
    fn open(&mut self, backend: u32) -> Checkout {
        if self.permits.available_permits() == 0 {
            self.close_longest_idle();
        }
        let pool = &self.backends[&backend];
        let acquire = |permits: &Arc<Semaphore>| Arc::clone(permits).try_acquire_owned().ok();
        match (acquire(&self.permits), acquire(&pool.limit.permits)) {
            (Some(of_pool), Some(of_backend)) => Checkout::Open(PendingConnection {
                address: pool.address,
                generation: pool.generation,
                permits: [of_pool, of_backend],
            }),
            _ => Checkout::Exhausted,
        }
    }

    /// Frees a permit by closing the connection that has been idle longest. Closing all idle connections
    /// instead would walk all pools, and later requests would have to open the connections again.
    fn close_longest_idle(&mut self) {
        let Some((number, backend)) = self.idle_order.pop_first() else { return };
        if let Some(pool) = self.backends.get_mut(&backend) {
            // It is also the longest idle connection of its backend.
            let first = pool.idle.pop_front();
            debug_assert!(first.is_some_and(|connection| connection.idle_number == number));
        }
    }

    /// Returns the pool of a backend, if the backend is ready and the connection is not stale.
    fn pool_of(&mut self, backend: u32, connection: &Connection) -> Option<&mut BackendPool> {
        let pool = self.backends.get_mut(&backend);
        pool.filter(|pool| pool.ready && pool.generation == connection.generation)
    }

    /// Whether the backend is ready and this connection to it is not stale.
    pub fn is_current(&mut self, backend: u32, connection: &Connection) -> bool {
        self.pool_of(backend, connection).is_some()
    }

    /// Whether a request may be written to this connection, which was checked out to cool down.
    pub fn is_usable(&mut self, backend: u32, connection: &Connection) -> bool {
        self.is_current(backend, connection) && connection.is_usable(Instant::now(), self.idle_max)
    }

    /// Returns a connection to the pool, or closes it if it can't be reused.
    pub fn check_in(&mut self, backend: u32, mut connection: Connection) {
        let (now, idle_max, number) = (Instant::now(), self.idle_max, self.last_idle_number + 1);
        let pool = self.pool_of(backend, &connection);
        let Some(pool) = pool.filter(|_| connection.is_usable(now, idle_max)) else { return };
        connection.idle_number = number;
        pool.idle.push_back(connection);
        self.idle_order.insert(number, backend);
        self.last_idle_number = number;
    }

    /// Closes connections that have been idle for too long or were closed by the backend.
    pub fn close_idle(&mut self, now: Instant) {
        let (idle_max, idle_order) = (self.idle_max, &mut self.idle_order);
        for pool in self.backends.values_mut() {
            pool.idle.retain(|connection| {
                let usable = connection.is_usable(now, idle_max);
                if !usable {
                    idle_order.remove(&connection.idle_number);
                }
                usable
            });
        }
    }
}
