//! Pools of connections to backends, and exchanges on them: one request at a time on each.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use gateway_policy::interface::{BackendEndpoint, EndpointState, Outcome};
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, timeout, timeout_at, Instant};

use crate::long::{Passing, MAX_CHUNK_BYTES, STREAM_IDLE_TIMEOUT};
use crate::resp::{self, Lead};

/// Part of the idle time that a backend allows after which a connection is not used again: the
/// backend's clock began earlier than the gateway's.
const IDLE_PART: f64 = 0.8;
/// How long an answer that has begun may pause. Peers write in pieces, and may take seconds for all of them.
const REPLY_PAUSE_TIMEOUT: Duration = Duration::from_millis(250);
/// How long what stands behind a value that was passed on may take.
const COMPLETE_FRAME_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection that has answered rests before the next request.
///
/// Danger: a second answer to the last request, some milliseconds late, taken for that to the next. One that
/// comes while the connection rests shows, and ends it. Harm: a request right behind an answer waits so long
/// where no other connection is idle.
const REST: Duration = Duration::from_millis(20);
/// The most connections to one backend. More requests than that would only wait there.
const MAX_CONNECTIONS: usize = 160;
/// The most at first, where connections follow answers.
const CONNECTIONS_FIRST: usize = 1;

/// A connection that no request is out on.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// What the pool counted when it was opened; another count there makes it stale.
    generation: u64,
    idle_since: Instant,
    /// When it may be used again.
    rests_until: Instant,
    /// Its place among all idle connections, in the order in which they fell idle.
    turn: u64,
    _places: [OwnedSemaphorePermit; 2],
}

/// What a backend tells beside its answer.
#[derive(Debug, Default)]
pub struct Facts {
    pub metered: Option<f64>,
    pub charged: Option<f64>,
    pub load: Vec<f32>,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum Reply {
    Served(Bytes, Facts),
    /// Never [`Outcome::Ok`].
    Failed(Outcome, Facts),
}

impl Reply {
    pub fn failed(outcome: Outcome) -> Reply {
        Reply::Failed(outcome, Facts::default())
    }
}

/// How a connection for a request can be had.
#[derive(Debug)]
pub enum Way {
    /// One is there.
    Open(Connection),
    /// One has just answered, and is there when it has rested.
    Resting(Connection),
    /// One may be opened.
    New(Dial),
    /// There is no room for one.
    Full,
    /// The backend is not known, drains or is gone.
    Closed,
}

/// A connection to be opened.
#[derive(Debug)]
pub struct Dial {
    address: SocketAddr,
    generation: u64,
    places: [OwnedSemaphorePermit; 2],
}

impl Dial {
    /// Opens the connection; `None` if it is not up in time.
    pub async fn open(self, limit: Duration) -> Option<Connection> {
        let stream = timeout(limit, TcpStream::connect(self.address)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (generation, idle_since) = (self.generation, Instant::now());
        let (buffer, turn, rests_until) = (BytesMut::new(), 0, idle_since);
        Some(Connection { stream, buffer, generation, idle_since, rests_until, turn, _places: self.places })
    }
}

#[derive(Debug)]
struct Pool {
    /// It takes work, and does not drain.
    ready: bool,
    started: f64,
    address: SocketAddr,
    generation: u64,
    /// Those that fell idle last stand last.
    idle: VecDeque<Connection>,
    places: Arc<Semaphore>,
    /// The most connections by now, and from when on answers allow more.
    most: usize,
    grows_from: Instant,
}

/// All backends, by the number that the decisions know them by.
#[derive(Debug)]
pub struct Backends {
    pools: HashMap<u32, Pool>,
    /// The pools at each address; there is one, but for a moment.
    at: HashMap<SocketAddr, Vec<u32>>,
    /// Counts what makes connections stale.
    generations: u64,
    /// The backend of each idle connection, in the order in which they fell idle.
    turns: BTreeMap<u64, u32>,
    last_turn: u64,
    places: Arc<Semaphore>,
    idle_most: Duration,
    /// The most connections to a backend at first, and for how long.
    first: (usize, Duration),
    /// A connection that is not up by then has failed.
    pub connect_limit: Duration,
}

/// How long a connection may stand idle and be used again.
fn idle_most(idle_close_ms: f64) -> Duration {
    Duration::from_secs_f64((idle_close_ms * IDLE_PART / 1000.0).clamp(0.0, 3600.0))
}

impl Backends {
    /// Keeps at most so many connections in all.
    pub fn new(connections: usize, idle_close_ms: f64, connect_limit: Duration) -> Self {
        let idle_most = idle_most(idle_close_ms);
        Backends {
            pools: HashMap::new(),
            at: HashMap::new(),
            generations: 0,
            turns: BTreeMap::new(),
            last_turn: 0,
            places: Arc::new(Semaphore::new(connections)),
            idle_most,
            first: (MAX_CONNECTIONS, Duration::ZERO),
            connect_limit,
        }
    }

    /// From now on there is one connection to a backend for so long, and then each answer allows one more.
    ///
    /// Danger: a backend that has just started, and as many connections from each gateway as a burst there
    /// has requests. Harm: that burst goes to other backends, or is refused.
    pub fn grow_after(&mut self, time: Duration) {
        self.first = (CONNECTIONS_FIRST, time);
    }

    /// The first connection to a backend has answered: the time of one connection begins now.
    pub fn opened(&mut self, backend: u32, now: Instant) {
        self.pools.get_mut(&backend).into_iter().for_each(|pool| pool.grows_from = now + self.first.1);
    }

    /// A backend has answered.
    pub fn answered(&mut self, backend: u32, now: Instant) {
        let grows = |p: &&mut Pool| p.most < MAX_CONNECTIONS && p.grows_from <= now;
        if let Some(pool) = self.pools.get_mut(&backend).filter(grows) {
            pool.most += 1;
            pool.places.add_permits(1);
        }
    }

    /// Places for connections that there are yet.
    pub fn places(&self) -> Arc<Semaphore> {
        Arc::clone(&self.places)
    }

    /// Goes by other limits from now on; connections that stand have them at their next use.
    pub fn limit(&mut self, idle_close_ms: f64, connect_limit: Duration) {
        (self.idle_most, self.connect_limit) = (idle_most(idle_close_ms), connect_limit);
    }

    /// Takes in a line of the list. Gives the backends that are not at its address any more, as one that
    /// started later is; the one of the line may be among them.
    pub fn update(&mut self, entry: &BackendEndpoint, address: SocketAddr) -> Vec<u32> {
        if entry.state == EndpointState::Removed {
            self.remove(entry.id);
            return Vec::new();
        }
        let others = self.at.get(&address).into_iter().flatten().copied().filter(|id| *id != entry.id);
        let newer = |id: &u32| self.pools.get(id).is_some_and(|p| p.started > entry.started_ms);
        let (newer, replaced): (Vec<u32>, Vec<u32>) = others.partition(newer);
        if !newer.is_empty() {
            self.remove(entry.id);
            return vec![entry.id];
        }
        replaced.iter().for_each(|id| self.remove(*id));
        let (started, ready) = (entry.started_ms, entry.state == EndpointState::Ready);
        let old = self.pools.get(&entry.id);
        // Danger: connections to a process that is no more, and requests reset on them.
        if old.is_some_and(|p| p.address == address && p.started == started && p.ready == ready) {
            return replaced;
        }
        self.generations += 1;
        // One that started anew has answered nothing.
        let (first, time) = self.first;
        let same = old.filter(|p| p.started == started || first == MAX_CONNECTIONS);
        let (places, most, grows_from) = same.map_or_else(
            || (Arc::new(Semaphore::new(first)), first, Instant::now() + time),
            |p| (Arc::clone(&p.places), p.most, p.grows_from),
        );
        let (generation, idle) = (self.generations, VecDeque::new());
        self.remove(entry.id);
        self.pools
            .insert(entry.id, Pool { ready, started, address, generation, idle, places, most, grows_from });
        self.at.entry(address).or_default().push(entry.id);
        replaced
    }

    fn remove(&mut self, id: u32) {
        let Some(pool) = self.pools.remove(&id) else { return };
        for connection in &pool.idle {
            self.turns.remove(&connection.turn);
        }
        if let Some(at) = self.at.get_mut(&pool.address) {
            at.retain(|other| *other != id);
            if at.is_empty() {
                self.at.remove(&pool.address);
            }
        }
    }

    /// Connections on which nothing is in flight.
    pub fn idle(&self) -> usize {
        self.turns.len()
    }

    pub fn known(&self, backend: u32) -> bool {
        self.pools.contains_key(&backend)
    }

    /// Takes in a whole list: backends that it does not name are gone.
    pub fn keep_only(&mut self, named: impl Fn(u32) -> bool) {
        let gone: Vec<u32> = self.pools.keys().copied().filter(|id| !named(*id)).collect();
        gone.into_iter().for_each(|id| self.remove(id));
    }

    /// A way to send a request to a backend now.
    pub fn way(&mut self, backend: u32, now: Instant) -> Way {
        let Some(pool) = self.pools.get_mut(&backend).filter(|p| p.ready) else {
            return Way::Closed;
        };
        // Those that rest stand last, as they fell idle last; of them the first has rested for longest.
        while !pool.idle.is_empty() {
            let rested = pool.idle.iter().rposition(|c| c.rests_until <= now);
            let Some(connection) = pool.idle.remove(rested.unwrap_or(0)) else { break };
            self.turns.remove(&connection.turn);
            if connection.usable(now, self.idle_most) {
                return if rested.is_some() { Way::Open(connection) } else { Way::Resting(connection) };
            }
        }
        if self.places.available_permits() == 0 {
            self.close_longest_idle();
        }
        let pool = &self.pools[&backend];
        let place = |of: &Arc<Semaphore>| Arc::clone(of).try_acquire_owned().ok();
        match (place(&self.places), place(&pool.places)) {
            (Some(of_all), Some(of_pool)) => {
                let (address, generation) = (pool.address, pool.generation);
                Way::New(Dial { address, generation, places: [of_all, of_pool] })
            }
            _ => Way::Full,
        }
    }

    /// Danger: idle connections elsewhere that hold all the places. One makes room for one: to close them all
    /// would have the requests that follow open them anew, and walk all pools.
    fn close_longest_idle(&mut self) {
        let Some((turn, backend)) = self.turns.pop_first() else { return };
        if let Some(pool) = self.pools.get_mut(&backend) {
            // Of its pool it has been idle for longest as well.
            let first = pool.idle.pop_front();
            debug_assert!(first.is_some_and(|c| c.turn == turn));
        }
    }

    /// The pool of a connection to which a request may still be written.
    fn pool_of(&mut self, backend: u32, connection: &Connection) -> Option<&mut Pool> {
        let pool = self.pools.get_mut(&backend);
        pool.filter(|p| p.ready && p.generation == connection.generation)
    }

    /// Whether a request may still be written to this connection of the backend.
    pub fn current(&mut self, backend: u32, connection: &Connection) -> bool {
        self.pool_of(backend, connection).is_some()
    }

    /// Whether a request may be written to this connection of the backend now that it has rested.
    pub fn rested(&mut self, backend: u32, connection: &Connection) -> bool {
        self.current(backend, connection) && connection.usable(Instant::now(), self.idle_most)
    }

    /// Takes back a connection for further requests, or closes it.
    pub fn put_back(&mut self, backend: u32, mut connection: Connection) {
        let (now, most, turn) = (Instant::now(), self.idle_most, self.last_turn + 1);
        if let Some(pool) = self.pool_of(backend, &connection).filter(|_| connection.usable(now, most)) {
            connection.turn = turn;
            pool.idle.push_back(connection);
            self.turns.insert(turn, backend);
            self.last_turn = turn;
        }
    }

    /// Closes what has stood idle for too long or was closed by the backend.
    pub fn close_idle(&mut self, now: Instant) {
        let (most, turns) = (self.idle_most, &mut self.turns);
        for pool in self.pools.values_mut() {
            pool.idle.retain(|c| {
                let usable = c.usable(now, most);
                if !usable {
                    turns.remove(&c.turn);
                }
                usable
            });
        }
    }
}

impl Connection {
    /// Danger: a request written to a connection that its backend has closed is a reset, which may have
    /// run. So it must be young, and show neither an end nor bytes that nobody asked for.
    fn usable(&self, now: Instant, idle_most: Duration) -> bool {
        let silent = self.stream.try_read(&mut [0; 1]);
        let open = matches!(silent, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock);
        open && self.buffer.is_empty() && now.duration_since(self.idle_since) < idle_most
    }

    /// Waits until it has rested.
    pub async fn rest(self) -> Connection {
        sleep_until(self.rests_until).await;
        self
    }

    /// Writes a call or a probe, by a moment, and reads its answer, by another. The connection comes back if
    /// it can be used again. What comes first is told to `begins`: a value that is too long to be held whole
    /// has to be taken there.
    pub async fn exchange<B: Future<Output = Option<Passing>>>(
        mut self,
        request: Bytes,
        (written_by, until): (Instant, Instant),
        begins: impl FnOnce(Option<usize>) -> B,
        read: impl FnOnce(BytesFrame) -> Option<Reply>,
    ) -> (Reply, Option<Connection>) {
        match timeout_at(written_by, self.stream.write_all(&request)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return (Reply::failed(Outcome::ConnectFailed), None),
        }
        drop(request);
        let lead = match timeout_at(until, self.lead()).await {
            Ok(Ok(lead)) => lead,
            Ok(Err(outcome)) => return (Reply::failed(outcome), None),
            Err(_) => return (Reply::failed(Outcome::Timeout), None),
        };
        let passed = if let Lead::Long { parts, length, head } = lead {
            let Some(passing) = begins(Some(length)).await else {
                return (Reply::failed(Outcome::Cancelled), None);
            };
            self.buffer.advance(head);
            self.pass(passing).await.and_then(|()| resp::rest(parts).ok_or(Outcome::Error))
        } else {
            begins(None).await;
            Ok(resp::WHOLE)
        };
        let answer = match passed {
            Ok(put_before) => {
                timeout_at(until.max(Instant::now() + COMPLETE_FRAME_TIMEOUT), self.whole(put_before)).await
            }
            Err(outcome) => return (Reply::failed(outcome), None),
        };
        let frame = match answer {
            Ok(Ok(frame)) => frame,
            Ok(Err(outcome)) => return (Reply::failed(outcome), None),
            Err(_) => return (Reply::failed(Outcome::Timeout), None),
        };
        self.idle_since = Instant::now();
        self.rests_until = self.idle_since + REST;
        match read(frame) {
            Some(reply) => (reply, Some(self)),
            None => (Reply::failed(Outcome::Error), None),
        }
    }

    /// Waits until it shows how the answer begins.
    async fn lead(&mut self) -> Result<Lead, Outcome> {
        self.more().await?;
        loop {
            match resp::lead(&self.buffer) {
                // Danger: a spoilt one that never ends holds the request until its time is up.
                Lead::Unknown => self.more_soon().await?,
                lead => return Ok(lead),
            }
        }
    }

    /// More of an answer that has begun.
    async fn more_soon(&mut self) -> Result<(), Outcome> {
        timeout(REPLY_PAUSE_TIMEOUT, self.more()).await.unwrap_or(Err(Outcome::Error))
    }

    /// Passes a value on as it comes.
    async fn pass(&mut self, mut to: Passing) -> Result<(), Outcome> {
        loop {
            while to.left() > 0 && !self.buffer.is_empty() {
                if !to.pass(&mut self.buffer).await {
                    return Err(Outcome::Cancelled);
                }
            }
            if to.left() == 0 {
                return Ok(());
            }
            // Danger: a buffer that grows by what nobody takes yet.
            self.buffer = BytesMut::with_capacity(MAX_CHUNK_BYTES);
            match timeout(STREAM_IDLE_TIMEOUT, self.stream.read_buf(&mut self.buffer)).await {
                Ok(Ok(n)) if n > 0 => {}
                _ => return Err(Outcome::Reset),
            }
        }
    }

    /// The whole answer. Of one whose value was passed on, what came before that stands in.
    async fn whole(&mut self, before: &[u8]) -> Result<BytesFrame, Outcome> {
        if !before.is_empty() {
            let mut buffer = BytesMut::from(before);
            buffer.extend_from_slice(&self.buffer);
            self.buffer = buffer;
        }
        loop {
            match resp::next(&mut self.buffer) {
                Ok(Some(frame)) => {
                    // The rest of the room stays with the frame.
                    self.buffer = BytesMut::from(&self.buffer[..]);
                    return Ok(frame);
                }
                Ok(None) => self.more_soon().await?,
                Err(_) => return Err(Outcome::Error),
            }
        }
    }

    async fn more(&mut self) -> Result<(), Outcome> {
        resp::make_room(&mut self.buffer);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) | Err(_) => Err(Outcome::Reset),
            Ok(_) => Ok(()),
        }
    }
}

/// Reads the answer to a call; `None` if it is none. Danger: noise that is RESP by chance, served as a value.
pub fn called(frame: BytesFrame, fields: &[String]) -> Option<Reply> {
    let BytesFrame::Array(parts) = frame else { return turned_down(frame, fields) };
    let mut parts = parts.into_iter();
    let Some(BytesFrame::BulkString(value)) = parts.next() else { return None };
    let mut facts = Facts::default();
    // Danger: a good value thrown away as what stands beside it can't be read.
    parts.for_each(|part| facts.read(&part, fields));
    Some(Reply::Served(value, facts))
}

/// Reads the answer to a probe; `None` if it is none.
pub fn probed(frame: BytesFrame, fields: &[String]) -> Option<Reply> {
    let mut facts = Facts::default();
    match frame {
        BytesFrame::SimpleString(_) => {}
        BytesFrame::BulkString(_) => facts.read(&frame, fields),
        _ => return turned_down(frame, fields),
    }
    Some(Reply::Served(Bytes::new(), facts))
}

/// Reads an error line; `None` if it is none that backends say.
fn turned_down(frame: BytesFrame, fields: &[String]) -> Option<Reply> {
    let BytesFrame::Error(line) = frame else { return None };
    let mut words = line.split(' ');
    let outcome = match words.next() {
        Some("BUSY") => Outcome::Rejected,
        Some("ERR") => Outcome::Error,
        _ => return None,
    };
    let mut facts = Facts::default();
    words.for_each(|word| facts.take(word, fields));
    Some(Reply::Failed(outcome, facts))
}

impl Facts {
    /// Takes what a part of an answer tells, if it can be read.
    fn read(&mut self, part: &BytesFrame, fields: &[String]) {
        if let BytesFrame::BulkString(text) = part {
            std::str::from_utf8(text).into_iter().for_each(|text| self.take(text, fields));
        }
    }

    /// Takes figures on use or a load report out of a word such as `used=37,cost=4`; passes over others.
    fn take(&mut self, word: &str, fields: &[String]) {
        let mut load = vec![f32::NAN; fields.len()];
        for (name, value) in word.split(',').filter_map(|pair| pair.split_once('=')) {
            let Some(value) = resp::amount(value) else { continue };
            match name {
                "used" => self.metered = Some(value / 100.0),
                "cost" if value > 0.0 => self.charged = Some(value),
                _ => {
                    let place = fields.iter().position(|f| f == name);
                    place.into_iter().for_each(|p| load[p] = value as f32);
                }
            }
        }
        if load.iter().any(|v| v.is_finite()) {
            self.load = load;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::net::TcpListener;

    #[tokio::test]
    async fn when_places_run_out_the_connection_idle_for_longest_is_closed_and_no_other() {
        let limit = Duration::from_secs(20);
        let mut backends = Backends::new(3, 60_000.0, limit);
        let mut listeners = Vec::new();
        for id in 1..=3 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
            let address = listener.local_addr().expect("bound");
            backends.update(&BackendEndpoint { id, ..BackendEndpoint::default() }, address);
            listeners.push(listener);
        }
        let mut open = Vec::new();
        for id in [2, 1, 2] {
            let Way::New(dial) = backends.way(id, Instant::now()) else { panic!("a new one is wanted") };
            open.push((id, dial.open(limit).await.expect("it listens")));
        }
        open.into_iter().for_each(|(id, connection)| backends.put_back(id, connection));
        assert_eq!(backends.idle(), 3);
        let way = backends.way(3, Instant::now());
        assert!(matches!(way, Way::New(_)), "{way:?}");
        assert_eq!(backends.idle(), 2);
        // That of 2 which fell idle first is closed; of each one is left.
        let (first, second) = (backends.way(1, Instant::now()), backends.way(2, Instant::now()));
        assert!(matches!((&first, &second), (Way::Open(_), Way::Open(_))), "{first:?} {second:?}");
        assert_eq!(backends.idle(), 0);
        // Nothing is idle, and all places are taken.
        let none = backends.way(3, Instant::now());
        assert!(matches!(none, Way::Full), "{none:?}");
    }

    #[tokio::test]
    async fn idle_connections_of_a_backend_that_is_gone_are_not_counted_and_hold_no_places() {
        let limit = Duration::from_secs(20);
        let mut backends = Backends::new(1, 60_000.0, limit);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let address = listener.local_addr().expect("bound");
        let entry = |id, state| BackendEndpoint { id, state, ..BackendEndpoint::default() };
        backends.update(&entry(1, EndpointState::Ready), address);
        let Way::New(dial) = backends.way(1, Instant::now()) else { panic!("a new one is wanted") };
        let connection = dial.open(limit).await.expect("it listens");
        backends.put_back(1, connection);
        backends.update(&entry(1, EndpointState::Removed), address);
        assert_eq!(backends.idle(), 0);
        backends.update(&entry(2, EndpointState::Ready), address);
        assert!(matches!(backends.way(2, Instant::now()), Way::New(_)));
    }

    #[test]
    fn use_is_told_in_percent_of_the_rate_and_nothing_is_told_of_what_is_missing() {
        let facts = |words: &str| {
            let line = BytesFrame::Error(format!("ERR failed {words}").into());
            match turned_down(line, &["rps".to_string()]) {
                Some(Reply::Failed(Outcome::Error, facts)) => facts,
                other => panic!("{other:?}"),
            }
        };
        for (words, metered) in [("used=37", Some(0.37)), ("used=0,cost=4", Some(0.0)), ("cost=4", None)] {
            assert_eq!(facts(words).metered, metered, "{words}");
        }
        let both = facts("used=250,cost=4 rps=12.5");
        assert_eq!((both.metered, both.charged, &both.load[..]), (Some(2.5), Some(4.0), &[12.5][..]));
    }
}
