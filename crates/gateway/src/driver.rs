//! Owns the decisions: turns what happens on sockets into events, and carries out the actions.

mod opening;
mod overseen;
mod probing;

use std::collections::{HashMap, HashSet, VecDeque};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cold_start::CallBudget;
use gateway_policy::interface::{
    Action, BackendEndpoint, EndpointState, Event, Outcome, Request, UpdateScope,
};
use gateway_policy::reload::ServiceSettings;
use gateway_policy::settings::SettingNames;
use gateway_policy::Policy;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{interval, Instant};
use tokio_util::time::delay_queue::{self, Expired};
use tokio_util::time::DelayQueue;

use crate::backends::{self, Backends, Connection, Facts, Reply, Way};
use crate::clock::Clock;
use crate::counter::{self, Counted, Counter};
use crate::discovery::News;
use crate::input::{Due, Input, Key, Purpose};
use crate::listing::{Endpoint, Status};
use crate::long::Long;
use crate::order::Order;
use crate::part::Part;
use crate::resp::{Answer, Call};
use crate::roster::{Roster, Wanted};

pub use opening::Opening;
pub use overseen::Overseen;

/// What a client's waiting time loses on the way here and back, ms.
const MARGIN_MS: f64 = 5.0;
/// How often idle connections are looked over.
const LOOK_OVER: Duration = Duration::from_secs(2);
/// Inputs taken in at once.
const BATCH: usize = 64;

/// A request that is owed a final answer or has attempts out.
struct Held {
    call: Arc<Call>,
    expires_ms: f64,
    /// Attempts made so far, and those out.
    attempts: u32,
    out: u32,
    /// Where the final answer goes. Giving it takes this, so there is exactly one.
    answer: Option<oneshot::Sender<Answer>>,
    /// Timers of the decisions for it that did not ring yet.
    timers: Vec<delay_queue::Key>,
}

/// A call to the counter whose outcome the decisions don't have yet.
struct Counting {
    name: u64,
    made: Instant,
    timer: delay_queue::Key,
}

/// An attempt whose outcome the decisions don't have yet.
struct Attempt {
    call: Arc<Call>,
    backend: u32,
    sent_ms: f64,
    expires_ms: f64,
    /// Its last byte has to be written by then.
    begin_by_ms: f64,
    /// When its answer began to come.
    began_ms: Option<f64>,
    phase: Phase,
}

/// How far an attempt has come.
enum Phase {
    /// Nothing is written; it never ran.
    Connecting,
    /// Writing has begun. Ending the task closes the connection.
    Writing(AbortHandle),
}

/// What a driver works with beside the decisions.
pub struct Around {
    pub backends: Backends,
    pub counter: Option<Counter>,
    pub inbox: mpsc::Sender<Input>,
    /// Bytes of requests and answers that there may be yet.
    pub room: Arc<Semaphore>,
    /// The same of values that are passed on as they come.
    pub passing: Arc<Semaphore>,
    pub overseen: Overseen,
    /// What requests are read by.
    pub terms: watch::Sender<Arc<ServiceSettings>>,
    /// What other processes of this gateway may have a part of.
    pub parts: Vec<Part>,
    /// First connections to backends by turns; none: as requests need them.
    pub opening: Option<Opening>,
    /// Calls to the counter after the start; none: all.
    pub allowance: Option<CallBudget>,
}

/// The driver and all it owns.
pub struct Driver {
    gateway: Policy,
    clock: Clock,
    names: SettingNames,
    terms: watch::Sender<Arc<ServiceSettings>>,
    parts: Vec<Part>,
    opening: Option<Opening>,
    allowance: Option<CallBudget>,
    /// Since when the class at a place is dropped, ms.
    dropped: HashMap<usize, f64>,
    backends: Backends,
    roster: Roster,
    /// What operators want, and what they are told.
    overseen: Overseen,
    counter: Option<Counter>,
    held: HashMap<u64, Held>,
    /// The clients' names of the requests that are owed an answer.
    open: HashSet<u64>,
    attempts: HashMap<Key, Attempt>,
    calls: HashMap<u64, Counting>,
    last_call: u64,
    timers: DelayQueue<Due>,
    load_fields: Arc<[String]>,
    inbox: mpsc::Sender<Input>,
    /// Bytes of requests and answers that there may be yet.
    room: Arc<Semaphore>,
    /// The same of values that are passed on as they come.
    passing: Arc<Semaphore>,
    /// What comes has to be answered by then, ms: the gateway ends.
    ends_ms: f64,
    /// What follows from actions at once.
    next: VecDeque<Input>,
    actions: Vec<Action>,
}

impl Driver {
    pub fn new(gateway: Policy, clock: Clock, around: Around) -> Self {
        let Around { backends, counter, inbox, room, passing, overseen, terms, parts, opening, allowance } =
            around;
        let names = terms.borrow().names.clone();
        Driver {
            gateway,
            clock,
            load_fields: names.load_fields.clone().into(),
            names,
            terms,
            parts,
            opening,
            allowance,
            dropped: HashMap::new(),
            backends,
            roster: Roster::new(),
            overseen,
            counter,
            held: HashMap::new(),
            open: HashSet::new(),
            attempts: HashMap::new(),
            calls: HashMap::new(),
            last_call: 0,
            timers: DelayQueue::new(),
            inbox,
            room,
            passing,
            ends_ms: f64::MAX,
            next: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Input>, mut orders: mpsc::Receiver<Order>) {
        let mut look_over = interval(LOOK_OVER);
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                biased;
                // Danger: an operator's call behind a flood of requests. There are few, one after another.
                Some(order) = orders.recv() => self.order(order),
                n = queue.recv_many(&mut batch, BATCH) => {
                    if n == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|input| self.take(input));
                }
                Some(timer) = poll_fn(|cx| self.timers.poll_expired(cx)) => {
                    self.rang(&timer);
                    self.take(Input::Due(timer.into_inner()));
                }
                now = look_over.tick() => {
                    self.backends.close_idle(now);
                    self.parts.iter_mut().for_each(Part::settle);
                }
            }
        }
    }

    /// Danger: the key of a timer that rang is given to another one. Kept and used again, it would silence
    /// that: a call that is never out of time, an attempt that is never overdue.
    fn rang(&mut self, timer: &Expired<Due>) {
        let Due::Timer(token) = timer.get_ref() else { return };
        let held = Policy::request_of_timer(*token).and_then(|id| self.held.get_mut(&id));
        held.into_iter().for_each(|h| h.timers.retain(|key| *key != timer.key()));
    }

    /// Takes in what happened, and all that follows from it at once.
    pub fn take(&mut self, input: Input) {
        self.event(input);
        while let Some(input) = self.next.pop_front() {
            self.event(input);
        }
    }

    fn event(&mut self, input: Input) {
        match input {
            Input::Request { id, call, answer } => self.request(id, call, answer),
            Input::Gone { id } => {
                if self.owed(id).is_some() {
                    self.handle(Event::ClientDisconnected { id });
                    self.let_go(id);
                }
            }
            Input::Connected { key, backend, connection } => self.connected(key, backend, connection),
            Input::Rested { key, backend, connection } => self.rested(key, backend, connection),
            Input::Began { key, backend, long } => self.began(key, backend, long),
            Input::Ended { key, backend, reply, connection } => {
                connection.into_iter().for_each(|c| self.backends.put_back(backend, c));
                self.ended(key, reply);
            }
            Input::Opened { backend, connection, purpose } => self.opened(backend, connection, purpose),
            Input::Probed { backend, reply, connection, purpose } => {
                connection.into_iter().for_each(|c| self.backends.put_back(backend, c));
                self.probed(backend, reply, purpose);
            }
            Input::Due(Due::Opening) => self.opening_due(),
            // Danger: the late answer of a call that is out of time, taken for that of another.
            Input::Counted(Counted { number, outcome, total }) => {
                if let Some(Counting { name, timer, .. }) = self.calls.remove(&number) {
                    self.timers.try_remove(&timer);
                    self.handle(Event::CounterReplied { key: name, outcome, total });
                }
            }
            Input::Due(Due::Call(number)) => {
                if let Some(Counting { name, made, .. }) = self.calls.remove(&number) {
                    let outcome =
                        self.counter.as_ref().map_or(Outcome::Timeout, |c| c.overdue(number, name, made));
                    self.handle(Event::CounterReplied { key: name, outcome, total: 0.0 });
                }
            }
            Input::Counter(counter) => {
                self.counter = Some(counter);
                // Danger: answers of the old counter, taken in after those of the new. What is out there may
                // have been added.
                let mut out: Vec<u64> = self.calls.keys().copied().collect();
                out.sort_unstable();
                let settled =
                    |number| Input::Counted(Counted { number, outcome: Outcome::Reset, total: 0.0 });
                self.next.extend(out.into_iter().map(settled));
            }
            Input::List(News { scope, endpoints, unsaid }) => self.list(scope, endpoints, &unsaid),
            Input::Due(Due::Timer(token)) => self.handle(Event::TimerExpired { token }),
            Input::Asked { ask, say } => {
                let answer = self.asked(ask);
                // Fails only when whoever asked is gone.
                let _ = say.send(answer);
            }
            Input::Ending { by_ms } => self.ends_ms = by_ms,
            Input::FailAll => {
                self.ends_ms = f64::MIN;
                let ids: Vec<u64> = self.held.keys().copied().collect();
                for id in ids {
                    self.answer(id, Answer::Failed);
                    self.handle(Event::ClientDisconnected { id });
                }
            }
        }
    }

    /// Hands an event to the decisions and carries out what they want.
    fn handle(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gateway.handle(self.clock.now_ms(), event, &mut actions);
        actions.drain(..).for_each(|action| self.carry_out(action));
        self.actions = actions;
    }

    fn request(&mut self, id: u64, call: Arc<Call>, answer: oneshot::Sender<Answer>) {
        // Danger: a second request under an open one's name. Backends may take it for a copy of that.
        if !self.open.insert(call.id) {
            // Fails only when the client is gone.
            let _ = answer.send(Answer::Unknown("id is open already"));
            return;
        }
        let now = self.clock.now_ms();
        let expires_ms = (now + (call.wait_ms - MARGIN_MS).max(0.0)).min(self.ends_ms);
        let request = Request {
            id,
            customer: call.customer,
            plan: call.plan,
            class: call.class,
            units: call.units,
            fan_out: call.width,
            deadline_ms: expires_ms,
            retry: call.retry,
        };
        let (answer, timers) = (Some(answer), Vec::with_capacity(3));
        self.held.insert(id, Held { call, expires_ms, attempts: 0, out: 0, answer, timers });
        self.handle(Event::Request(request));
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, backend, write_deadline_ms: begin_by_ms } => {
                self.send(id, backend, begin_by_ms)
            }
            Action::CancelAttempt { id, attempt } => self.cancel((id, attempt)),
            Action::Reject { id, retry_after_ms } => {
                // Danger: a time rounded down is a time too early.
                let after = retry_after_ms.map(|ms| ms.ceil().max(1.0) as u64);
                self.answer(id, Answer::Refused(after));
            }
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Probe { backend } => self.probe(backend, Purpose::Health),
            Action::IncrementCounter { key: name, amount, ttl_ms: forget_after_ms } => {
                self.count(name, amount, forget_after_ms);
            }
            Action::ScheduleTimer { token, at_ms } => {
                let held = Policy::request_of_timer(token).map(|id| self.held.get_mut(&id));
                if matches!(held, Some(None)) {
                    return;
                }
                let timer = self.timers.insert_at(Due::Timer(token), self.clock.instant(at_ms));
                held.flatten().into_iter().for_each(|h| h.timers.push(timer));
            }
            // Gateways have no way to talk to each other here, and discovery is always watched.
            Action::BroadcastToPeers { .. } | Action::PollEndpoints => {}
        }
    }

    /// Takes the way to the client of a request that is owed an answer.
    fn owed(&mut self, id: u64) -> Option<oneshot::Sender<Answer>> {
        let held = self.held.get_mut(&id)?;
        let to = held.answer.take()?;
        self.open.remove(&held.call.id);
        Some(to)
    }

    /// Gives a request its final answer, if it has none.
    fn answer(&mut self, id: u64, answer: Answer) {
        if let Some(to) = self.owed(id) {
            // Fails only if the client has gone, which is told by itself.
            let _ = to.send(answer);
            self.let_go(id);
        }
    }

    /// Forgets a request that has its answer and nothing out, with its timers, which would only wake.
    fn let_go(&mut self, id: u64) {
        if self.held.get(&id).is_some_and(|h| h.answer.is_none() && h.out == 0) {
            for timer in self.held.remove(&id).into_iter().flat_map(|h| h.timers) {
                self.timers.try_remove(&timer);
            }
        }
    }

    fn count(&mut self, name: u64, amount: f64, life_ms: f64) {
        self.last_call += 1;
        let (number, at) = (self.last_call, Instant::now());
        let wait = self.counter.as_ref().map_or(Duration::ZERO, |c| c.wait);
        let timer = self.timers.insert_at(Due::Call(number), at + wait);
        self.calls.insert(number, Counting { name, made: at, timer });
        let call = counter::Call { number, name, amount, life_ms, at };
        let now = self.clock.now_ms();
        if self.allowance.is_some_and(|allowance| allowance.is_over(now)) {
            self.allowance = None;
        }
        // Danger: a chance of calls that is learned of the counter alone, and so is one until the bound ends.
        // A call that is left out is one too many.
        let may = self.allowance.as_mut().is_none_or(|allowance| allowance.try_take(now));
        if !may || !self.counter.as_ref().is_some_and(|c| c.call(call)) {
            self.next.push_back(Input::Counted(Counted { number, outcome: Outcome::Rejected, total: 0.0 }));
        }
    }

    fn send(&mut self, id: u64, backend: u32, begin_by_ms: Option<f64>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let key = (id, held.attempts);
        (held.attempts, held.out) = (held.attempts + 1, held.out + 1);
        let (sent_ms, expires_ms) = (self.clock.now_ms(), held.expires_ms);
        let begin_by_ms = begin_by_ms.map_or(expires_ms, |by| by.min(expires_ms));
        let (call, phase, began_ms) = (Arc::clone(&held.call), Phase::Connecting, None);
        let attempt = Attempt { call, backend, sent_ms, expires_ms, begin_by_ms, began_ms, phase };
        self.attempts.insert(key, attempt);
        self.begin(key, backend);
        self.arm_opening();
    }

    /// Writes an attempt, or has it wait for a connection.
    fn begin(&mut self, key: Key, backend: u32) {
        let inbox = self.inbox.clone();
        match self.backends.way(backend, Instant::now()) {
            Way::Open(connection) => self.write(key, connection),
            Way::Resting(connection) => {
                tokio::spawn(async move {
                    let connection = connection.rest().await;
                    let _ = inbox.send(Input::Rested { key, backend, connection }).await;
                });
            }
            Way::New(dial) => {
                let limit = self.backends.connect_limit;
                tokio::spawn(async move {
                    let connection = dial.open(limit).await;
                    let _ = inbox.send(Input::Connected { key, backend, connection }).await;
                });
            }
            // Danger: the gateway's own want of connections, or a list that changed, told as the backend's
            // fault.
            Way::Full | Way::Closed => self.over(key, backend, Outcome::NotSent),
        }
    }

    /// Goes on with an attempt whose connection has rested.
    fn rested(&mut self, key: Key, backend: u32, connection: Connection) {
        // Danger: a second answer, or the end of the connection, that came meanwhile.
        if self.backends.rested(backend, &connection) || !self.attempts.contains_key(&key) {
            self.connected(key, backend, Some(connection));
        } else {
            self.begin(key, backend);
        }
    }

    /// Ends an attempt by something the gateway knows itself.
    fn over(&mut self, key: Key, backend: u32, outcome: Outcome) {
        let reply = Reply::failed(outcome);
        self.next.push_back(Input::Ended { key, backend, reply, connection: None });
    }

    /// Goes on with an attempt when its connection is up, or not in time.
    fn connected(&mut self, key: Key, backend: u32, connection: Option<Connection>) {
        match connection {
            // Danger: a request written to a backend that drains by now.
            Some(c) if !self.backends.current(backend, &c) => self.over(key, backend, Outcome::NotSent),
            Some(c) if self.may_begin(key) => self.write(key, c),
            // The connection may still serve others.
            Some(c) => {
                self.backends.put_back(backend, c);
                self.over(key, backend, Outcome::NotSent);
            }
            None => self.over(key, backend, Outcome::ConnectFailed),
        }
    }

    /// Whether an attempt that waited for its connection may still be written. Danger: a request whose client
    /// has gone or has its answer, also where attempts may not be cancelled; and a repeat after the backends
    /// have forgotten that it ran.
    fn may_begin(&self, key: Key) -> bool {
        let in_time = self.attempts.get(&key).is_some_and(|a| self.clock.now_ms() < a.begin_by_ms);
        in_time && self.held.get(&key.0).is_some_and(|h| h.answer.is_some())
    }

    /// Writes an attempt's request and has its answer sent to the inbox.
    fn write(&mut self, key: Key, connection: Connection) {
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        let wait_ms = (attempt.expires_ms - self.clock.now_ms()).floor().max(1.0) as u64;
        let request = attempt.call.encode(wait_ms);
        let until = self.clock.instant(attempt.expires_ms);
        let written_by = self.clock.instant(attempt.begin_by_ms);
        let (backend, fields, inbox) = (attempt.backend, Arc::clone(&self.load_fields), self.inbox.clone());
        let room = Arc::clone(&self.passing);
        let task = tokio::spawn(async move {
            let read = |frame| backends::called(frame, &fields);
            let told = inbox.clone();
            let begins = |length: Option<usize>| async move {
                let (passing, long) = match length {
                    Some(length) => Long::begin(length, room).await.map(|(p, l)| (Some(p), Some(l)))?,
                    None => (None, None),
                };
                told.send(Input::Began { key, backend, long }).await.ok()?;
                passing
            };
            let (reply, connection) = connection.exchange(request, (written_by, until), begins, read).await;
            let _ = inbox.send(Input::Ended { key, backend, reply, connection }).await;
        });
        attempt.phase = Phase::Writing(task.abort_handle());
    }

    /// Notes that an attempt's answer comes, and passes on a value that is too long to be held. Where nobody
    /// is owed it any more, whoever reads it finds that out.
    fn began(&mut self, key: Key, backend: u32, long: Option<Long>) {
        let now = self.clock.now_ms();
        let Some(attempt) = self.attempts.get_mut(&key) else { return };
        attempt.began_ms = Some(now);
        let Some(long) = long else { return };
        let (id, number) = key;
        if let Some(to) = self.owed(id) {
            // Fails only if the client has gone, which is told by itself.
            let _ = to.send(Answer::Long(long));
            self.handle(Event::StreamStarted { id, attempt: number, backend });
        }
    }

    fn cancel(&mut self, key: Key) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let outcome = match &attempt.phase {
            Phase::Connecting => Outcome::NotSent,
            Phase::Writing(task) => {
                task.abort();
                Outcome::Cancelled
            }
        };
        self.over(key, attempt.backend, outcome);
    }

    /// Takes in the first outcome of an attempt; later ones, as of an answer that crossed a cancel, are
    /// passed over.
    fn ended(&mut self, key: Key, reply: Reply) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        let (id, number) = key;
        self.opening_heard(attempt.backend, &reply);
        self.held.get_mut(&id).into_iter().for_each(|h| h.out -= 1);
        let (outcome, Facts { metered, charged, load }) = match reply {
            Reply::Served(value, facts) => {
                // Danger: answers that nobody reads fill the memory. What has no room there has failed.
                let room = Arc::clone(&self.room).try_acquire_many_owned(value.len() as u32);
                // The value alone, not the buffer that it came in.
                let value = || Bytes::copy_from_slice(&value);
                self.answer(id, room.map_or(Answer::Failed, |room| Answer::Served(value(), room)));
                (Outcome::Ok, facts)
            }
            Reply::Failed(outcome, facts) => (outcome, facts),
        };
        self.handle(Event::AttemptEnded {
            id,
            attempt: number,
            backend: attempt.backend,
            outcome,
            // Danger: a peer that writes for seconds, taken for one with a queue.
            latency_ms: attempt.began_ms.unwrap_or_else(|| self.clock.now_ms()) - attempt.sent_ms,
            answered: self.held.get(&id).is_none_or(|h| h.answer.is_none()),
            metered_use: metered,
            actual_units: charged,
            load: &load,
        });
        self.let_go(id);
    }

    fn list(&mut self, scope: UpdateScope, endpoints: Vec<Endpoint>, unsaid: &[String]) {
        if scope != UpdateScope::Cached {
            let now = self.clock.now_ms();
            self.opening.as_mut().into_iter().for_each(|o| o.confirm(now));
        }
        let mut lines = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            let gone = matches!(endpoint.status, Status::Deleted).then(|| endpoint.name.clone());
            let address = endpoint.address;
            let wanted = Wanted { desired: &self.overseen.desired, book: &self.overseen.book };
            let Some(entry) = self.roster.take(endpoint, wanted, &self.names.zones) else { continue };
            gone.into_iter().for_each(|name| self.roster.remove(&name));
            lines.push((entry, address));
        }
        // Danger: a backend whose line of a whole list can't be read, taken for one that is not on it.
        lines.extend(unsaid.iter().filter_map(|name| self.roster.held(name, &self.names.zones)));
        self.lines(scope, lines);
        let reshared = self.roster.reshare(&self.names.zones);
        if !reshared.is_empty() {
            self.lines(UpdateScope::Delta, reshared);
        }
    }

    /// Takes lines of the list in, as discovery and operators make them together.
    fn lines(&mut self, scope: UpdateScope, lines: Vec<(BackendEndpoint, SocketAddr)>) {
        let mut entries = Vec::with_capacity(lines.len());
        for (entry, address) in lines {
            // Danger: a request for a backend that is no more, sent to the one that has its address now.
            let replaced = self.backends.update(&entry, address);
            entries.push(entry);
            for id in replaced {
                entries.retain(|e: &BackendEndpoint| e.id != id);
                entries.push(BackendEndpoint {
                    id,
                    state: EndpointState::Removed,
                    ..BackendEndpoint::default()
                });
            }
        }
        if matches!(scope, UpdateScope::Full | UpdateScope::Cached) {
            let named: HashSet<u32> = entries.iter().map(|e| e.id).collect();
            self.backends.keep_only(|id| named.contains(&id));
        }
        // Danger: names of backends that came and went, kept for good. A number is never used again.
        let backends = &self.backends;
        self.roster.keep_only(|id| backends.known(id));
        self.hold_back(scope, &mut entries);
        self.handle(Event::EndpointsUpdated { scope, endpoints: &entries });
        self.settle_opening();
    }
}
