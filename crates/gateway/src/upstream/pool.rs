//! Connections to backends on which nothing is in flight, and how many there may be.

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

/// Part of the idle time that a backend allows after which a connection is not used again: the backend's
/// clock began earlier than the gateway's.
const IDLE_SAFETY_FRACTION: f64 = 0.8;
/// The longest idle time, s, whatever a backend allows.
const MAX_IDLE_S: f64 = 3600.0;
/// The most connections to one backend. More requests than that would only wait there.
const MAX_CONNECTIONS_PER_BACKEND: usize = 160;
/// The most at first, where connections follow a ramp.
const INITIAL_CONNECTIONS: usize = 1;

/// How a connection for a request can be had.
#[derive(Debug)]
pub enum Checkout {
    /// One is there.
    Idle(Connection),
    /// One has just answered, and is there when it has cooled down.
    CoolingDown(Connection),
    /// One may be opened.
    Open(PendingConnection),
    /// There is no permit for one.
    Exhausted,
    /// The backend is not known, drains or is gone.
    NotReady,
}

/// The connections to one backend.
#[derive(Debug)]
struct BackendPool {
    /// It takes work, and does not drain.
    ready: bool,
    started_ms: f64,
    address: SocketAddr,
    generation: u64,
    /// Those that became idle last stand last.
    idle: VecDeque<Connection>,
    growth: Growth,
}

/// How many connections to a backend there may be by now.
#[derive(Clone, Debug)]
struct Growth {
    permits: Arc<Semaphore>,
    /// All permits by now.
    total: usize,
    /// From when on each answer allows one more.
    grows_from: Instant,
}

/// How many connections to a backend there are at first, and for how long.
#[derive(Clone, Copy, Debug)]
struct InitialLimit {
    connections: usize,
    lasts: Duration,
}

impl Growth {
    fn new(limit: InitialLimit) -> Growth {
        Growth {
            permits: Arc::new(Semaphore::new(limit.connections)),
            total: limit.connections,
            grows_from: Instant::now() + limit.lasts,
        }
    }
}

/// The connections to all backends, by the number that the policy knows them by.
#[derive(Debug)]
pub struct ConnectionPool {
    backends: HashMap<u32, BackendPool>,
    /// The backends at each address; there is one, but for a moment.
    by_address: HashMap<SocketAddr, Vec<u32>>,
    /// Counts what makes connections stale.
    generations: u64,
    /// The backend of each idle connection, in the order in which they became idle.
    idle_order: BTreeMap<u64, u32>,
    last_idle_number: u64,
    permits: Arc<Semaphore>,
    idle_max: Duration,
    initial_limit: InitialLimit,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Duration,
}

/// How long a connection may be idle and be used again.
fn idle_max(idle_close_ms: f64) -> Duration {
    Duration::from_secs_f64((idle_close_ms * IDLE_SAFETY_FRACTION / 1000.0).clamp(0.0, MAX_IDLE_S))
}

impl ConnectionPool {
    /// Keeps at most so many connections in all.
    pub fn new(connections: usize, idle_close_ms: f64, connect_timeout: Duration) -> Self {
        ConnectionPool {
            backends: HashMap::new(),
            by_address: HashMap::new(),
            generations: 0,
            idle_order: BTreeMap::new(),
            last_idle_number: 0,
            permits: Arc::new(Semaphore::new(connections)),
            idle_max: idle_max(idle_close_ms),
            initial_limit: InitialLimit { connections: MAX_CONNECTIONS_PER_BACKEND, lasts: Duration::ZERO },
            connect_timeout,
        }
    }

    /// From now on there is one connection to a backend for so long, and then each answer allows one more.
    ///
    /// Without, a backend that has just started gets as many connections from each gateway as a burst there
    /// has requests. The price: that burst goes to other backends, or is rejected.
    pub fn grow_after(&mut self, time: Duration) {
        self.initial_limit = InitialLimit { connections: INITIAL_CONNECTIONS, lasts: time };
    }

    /// The first connection to a backend has answered: the time of one connection begins now.
    pub fn first_connection_answered(&mut self, backend: u32, now: Instant) {
        if let Some(pool) = self.backends.get_mut(&backend) {
            pool.growth.grows_from = now + self.initial_limit.lasts;
        }
    }

    /// A backend has answered.
    pub fn attempt_answered(&mut self, backend: u32, now: Instant) {
        let Some(pool) = self.backends.get_mut(&backend) else { return };
        let growth = &mut pool.growth;
        if growth.total < MAX_CONNECTIONS_PER_BACKEND && growth.grows_from <= now {
            growth.total += 1;
            growth.permits.add_permits(1);
        }
    }

    /// Permits for connections.
    pub fn permits(&self) -> Arc<Semaphore> {
        Arc::clone(&self.permits)
    }

    /// Goes by other limits from now on; connections that stand have them at their next use.
    pub fn set_limits(&mut self, idle_close_ms: f64, connect_timeout: Duration) {
        self.idle_max = idle_max(idle_close_ms);
        self.connect_timeout = connect_timeout;
    }

    /// Applies a line of the list. Returns the backends that are not at its address any more, as one that
    /// started later is; the one of the line may be among them.
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

    /// Has a backend as a line says. Where anything is other than before, its connections are stale: they may
    /// lead to a process that is no more, and requests would be reset on them.
    fn set(&mut self, entry: &BackendEndpoint, address: SocketAddr) {
        let (started_ms, ready) = (entry.started_ms, entry.state == EndpointState::Ready);
        let old = self.backends.get(&entry.id);
        if old.is_some_and(|p| p.address == address && p.started_ms == started_ms && p.ready == ready) {
            return;
        }
        self.generations += 1;
        // One that started anew has answered nothing.
        let keeps_growth = |pool: &&BackendPool| {
            pool.started_ms == started_ms || self.initial_limit.connections == MAX_CONNECTIONS_PER_BACKEND
        };
        let growth = old.filter(keeps_growth).map(|pool| pool.growth.clone());
        let growth = growth.unwrap_or_else(|| Growth::new(self.initial_limit));
        let (generation, idle) = (self.generations, VecDeque::new());
        self.remove(entry.id);
        let pool = BackendPool { ready, started_ms, address, generation, idle, growth };
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

    /// Connections on which nothing is in flight.
    pub fn idle_connections(&self) -> usize {
        self.idle_order.len()
    }

    /// Whether a backend is on the list.
    pub fn contains(&self, backend: u32) -> bool {
        self.backends.contains_key(&backend)
    }

    /// Applies a whole list: backends that it does not name are gone.
    pub fn retain(&mut self, named: impl Fn(u32) -> bool) {
        let gone: Vec<u32> = self.backends.keys().copied().filter(|id| !named(*id)).collect();
        for id in gone {
            self.remove(id);
        }
    }

    /// A connection for a request to a backend now.
    pub fn check_out(&mut self, backend: u32, now: Instant) -> Checkout {
        let Some(pool) = self.backends.get_mut(&backend).filter(|pool| pool.ready) else {
            return Checkout::NotReady;
        };
        // Those that cool down stand last, as they became idle last; of them the first is ready soonest.
        while !pool.idle.is_empty() {
            let cool = pool.idle.iter().rposition(|connection| connection.is_cool(now));
            let Some(connection) = pool.idle.remove(cool.unwrap_or(0)) else { break };
            self.idle_order.remove(&connection.idle_number);
            if connection.is_usable(now, self.idle_max) {
                let is_cool = cool.is_some();
                return if is_cool { Checkout::Idle(connection) } else { Checkout::CoolingDown(connection) };
            }
        }
        self.open(backend)
    }

    /// A new connection, if there are permits for it.
    fn open(&mut self, backend: u32) -> Checkout {
        if self.permits.available_permits() == 0 {
            self.close_longest_idle();
        }
        let pool = &self.backends[&backend];
        let permit = |of: &Arc<Semaphore>| Arc::clone(of).try_acquire_owned().ok();
        match (permit(&self.permits), permit(&pool.growth.permits)) {
            (Some(of_all), Some(of_backend)) => Checkout::Open(PendingConnection {
                address: pool.address,
                generation: pool.generation,
                permits: [of_all, of_backend],
            }),
            _ => Checkout::Exhausted,
        }
    }

    /// Makes room for one connection where idle ones elsewhere hold all the permits. To close them all would
    /// have the requests that follow open them anew, and walk all pools.
    fn close_longest_idle(&mut self) {
        let Some((number, backend)) = self.idle_order.pop_first() else { return };
        if let Some(pool) = self.backends.get_mut(&backend) {
            // Of its pool it has been idle for longest as well.
            let first = pool.idle.pop_front();
            debug_assert!(first.is_some_and(|connection| connection.idle_number == number));
        }
    }

    /// The pool of a connection to which a request may still be written.
    fn pool_of(&mut self, backend: u32, connection: &Connection) -> Option<&mut BackendPool> {
        let pool = self.backends.get_mut(&backend);
        pool.filter(|pool| pool.ready && pool.generation == connection.generation)
    }

    /// Whether a request may still be written to this connection of the backend.
    pub fn is_current(&mut self, backend: u32, connection: &Connection) -> bool {
        self.pool_of(backend, connection).is_some()
    }

    /// Whether a request may be written to this connection of the backend now that it has cooled down.
    pub fn is_usable(&mut self, backend: u32, connection: &Connection) -> bool {
        self.is_current(backend, connection) && connection.is_usable(Instant::now(), self.idle_max)
    }

    /// Takes back a connection for further requests, or closes it.
    pub fn check_in(&mut self, backend: u32, mut connection: Connection) {
        let (now, idle_max, number) = (Instant::now(), self.idle_max, self.last_idle_number + 1);
        let pool = self.pool_of(backend, &connection);
        let Some(pool) = pool.filter(|_| connection.is_usable(now, idle_max)) else { return };
        connection.idle_number = number;
        pool.idle.push_back(connection);
        self.idle_order.insert(number, backend);
        self.last_idle_number = number;
    }

    /// Closes what has been idle for too long or was closed by the backend.
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
