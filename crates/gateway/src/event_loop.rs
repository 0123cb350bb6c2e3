//! Owns the policy: turns what happens on sockets into its events, and carries out its actions.

mod attempts;
mod counter_calls;
mod endpoints;
mod oversight;
mod probing;
mod ramp;
mod requests;
mod sending;
mod timers;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cold_start::CallBudget;
use gateway_policy::interface::{Action, Event, Outcome, Request};
use gateway_policy::reload::ServiceSettings;
use gateway_policy::settings::SettingNames;
use gateway_policy::Policy;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::time::interval;
use tokio_util::time::delay_queue::Expired;

use crate::backend_table::BackendTable;
use crate::clock::Clock;
use crate::counter::{Counted, Counter};
use crate::discovery::EndpointUpdate;
use crate::input::{AttemptKey, Input, ProbePurpose, TimerKind};
use crate::maintenance::{ControlRequest, Partition};
use crate::resp::{Answer, Call};
use crate::upstream::ConnectionPool;
use attempts::Attempts;
use counter_calls::{CounterCalls, NewCall};
use requests::{Duplicate, Requests};
use timers::Timers;

pub use oversight::Oversight;
pub use ramp::StartRamp;

/// What a client's waiting time loses on the way here and back, ms.
const TRAVEL_MARGIN_MS: f64 = 5.0;
/// How often idle connections are looked over.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Inputs handled at once.
const MAX_BATCH: usize = 64;

/// What the event loop works with beside the policy.
pub struct Resources {
    pub pool: ConnectionPool,
    pub counter: Option<Counter>,
    pub inbox: mpsc::Sender<Input>,
    /// The memory budget of requests and answers, bytes.
    pub memory: Arc<Semaphore>,
    /// The memory budget of streamed values, bytes.
    pub streaming_memory: Arc<Semaphore>,
    pub oversight: Oversight,
    /// What requests are read by.
    pub service_settings: watch::Sender<Arc<ServiceSettings>>,
    /// What other processes of this gateway have a part of.
    pub partitions: Vec<Partition>,
    /// First connections to backends in slots; none: as requests need them.
    pub ramp: Option<StartRamp>,
    /// Bounds calls to the counter after the start; none: all may be made.
    pub counter_budget: Option<CallBudget>,
}

/// The event loop and all it owns.
pub struct EventLoop {
    policy: Policy,
    clock: Clock,
    names: SettingNames,
    load_fields: Arc<[String]>,
    service_settings: watch::Sender<Arc<ServiceSettings>>,
    /// Since when the class at an index is dropped, Unix time in ms.
    dropped_classes: HashMap<usize, f64>,
    partitions: Vec<Partition>,
    pool: ConnectionPool,
    table: BackendTable,
    ramp: Option<StartRamp>,
    oversight: Oversight,
    requests: Requests,
    attempts: Attempts,
    counter_calls: CounterCalls,
    timers: Timers,
    inbox: mpsc::Sender<Input>,
    memory: Arc<Semaphore>,
    streaming_memory: Arc<Semaphore>,
    /// Whatever comes has to be answered by then, Unix time in ms: the gateway shuts down.
    answer_by_ms: f64,
    /// What follows from actions at once.
    follow_ups: VecDeque<Input>,
    /// Kept for its capacity.
    actions: Vec<Action>,
}

impl EventLoop {
    /// An event loop over a policy, with nothing in flight.
    pub fn new(policy: Policy, clock: Clock, resources: Resources) -> Self {
        let names = resources.service_settings.borrow().names.clone();
        EventLoop {
            policy,
            clock,
            load_fields: names.load_fields.clone().into(),
            names,
            service_settings: resources.service_settings,
            dropped_classes: HashMap::new(),
            partitions: resources.partitions,
            pool: resources.pool,
            table: BackendTable::new(),
            ramp: resources.ramp,
            oversight: resources.oversight,
            requests: Requests::default(),
            attempts: Attempts::default(),
            counter_calls: CounterCalls::new(resources.counter, resources.counter_budget),
            timers: Timers::new(clock),
            inbox: resources.inbox,
            memory: resources.memory,
            streaming_memory: resources.streaming_memory,
            answer_by_ms: f64::MAX,
            follow_ups: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut control: mpsc::Receiver<ControlRequest>,
    ) {
        let mut idle_check = interval(IDLE_CHECK_INTERVAL);
        let mut batch = Vec::with_capacity(MAX_BATCH);
        loop {
            tokio::select! {
                biased;
                // First, so that no operator's command waits behind a flood of requests. There are few, one
                // after another.
                Some(request) = control.recv() => self.control(request),
                n = inputs.recv_many(&mut batch, MAX_BATCH) => {
                    if n == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|input| self.take(input));
                }
                Some(timer) = self.timers.expired() => {
                    self.forget_timer(&timer);
                    self.take(Input::TimerExpired(timer.into_inner()));
                }
                now = idle_check.tick() => {
                    self.pool.close_idle(now);
                    self.partitions.iter_mut().for_each(Partition::settle);
                }
            }
        }
    }

    /// Forgets the key of a timer that has expired.
    fn forget_timer(&mut self, timer: &Expired<TimerKind>) {
        let TimerKind::Policy(token) = timer.get_ref() else { return };
        if let Some(request) = Policy::request_of_timer(*token) {
            self.requests.forget_timer(request, timer.key());
        }
    }

    /// Handles what happened, and all that follows from it at once.
    pub fn take(&mut self, input: Input) {
        self.dispatch(input);
        while let Some(input) = self.follow_ups.pop_front() {
            self.dispatch(input);
        }
    }

    fn dispatch(&mut self, input: Input) {
        match input {
            Input::Request { id, call, reply } => self.request(id, call, reply),
            Input::ClientDisconnected { id } => self.client_disconnected(id),
            Input::Connected { key, backend, connection } => self.connected(key, backend, connection),
            Input::CooledDown { key, backend, connection } => self.cooled_down(key, backend, connection),
            Input::ResponseStarted { key, backend, streamed } => {
                self.response_started(key, backend, streamed);
            }
            Input::AttemptEnded { key, backend, reply, connection } => {
                if let Some(connection) = connection {
                    self.pool.check_in(backend, connection);
                }
                self.attempt_ended(key, reply);
            }
            Input::ProbeConnected { backend, connection, purpose } => {
                self.probe_connected(backend, connection, purpose);
            }
            Input::Probed { backend, reply, connection, purpose } => {
                if let Some(connection) = connection {
                    self.pool.check_in(backend, connection);
                }
                self.probed(backend, reply, purpose);
            }
            Input::Counted(counted) => self.counted(counted),
            Input::CounterMoved(counter) => self.move_counter(counter),
            Input::EndpointUpdate(EndpointUpdate { scope, endpoints, unread }) => {
                self.update_endpoints(scope, endpoints, &unread);
            }
            Input::TimerExpired(TimerKind::Policy(token)) => self.handle(Event::TimerExpired { token }),
            Input::TimerExpired(TimerKind::CounterCall(number)) => self.counter_call_timed_out(number),
            Input::TimerExpired(TimerKind::ConnectionRamp) => self.ramp_due(),
            Input::AdminRequest { request, reply } => {
                let response = self.admin_request(request);
                // Fails only when whoever asked is gone.
                let _ = reply.send(response);
            }
            Input::ShuttingDown { answer_by_ms } => self.answer_by_ms = answer_by_ms,
            Input::FailAll => self.fail_all(),
        }
    }

    /// Hands an event to the policy and carries out what it wants.
    fn handle(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(self.clock.now_ms(), event, &mut actions);
        actions.drain(..).for_each(|action| self.carry_out(action));
        self.actions = actions;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, backend, write_deadline_ms } => {
                self.send(id, backend, write_deadline_ms);
            }
            Action::CancelAttempt { id, attempt } => self.cancel(AttemptKey { request: id, number: attempt }),
            Action::Reject { id, retry_after_ms } => {
                // Rounded down it would be too early.
                let after = retry_after_ms.map(|ms| ms.ceil().max(1.0) as u64);
                self.answer(id, Answer::Rejected(after));
            }
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Probe { backend } => self.probe(backend, ProbePurpose::Health),
            Action::IncrementCounter { key, amount, ttl_ms } => {
                self.count(&NewCall { key, amount, ttl_ms });
            }
            Action::ScheduleTimer { token, at_ms } => self.set_policy_timer(token, at_ms),
            // Gateways have no way to talk to each other here, and discovery is always watched.
            Action::BroadcastToPeers { .. } | Action::PollEndpoints => {}
        }
    }

    /// Sets a timer of the policy, unless it is for a request that is over.
    fn set_policy_timer(&mut self, token: u64, at_ms: f64) {
        let request = Policy::request_of_timer(token);
        if request.is_some_and(|id| !self.requests.contains(id)) {
            return;
        }
        let key = self.timers.set_at_ms(TimerKind::Policy(token), at_ms);
        if let Some(id) = request {
            self.requests.add_timer(id, key);
        }
    }

    fn request(&mut self, id: u64, call: Arc<Call>, reply: oneshot::Sender<Answer>) {
        let now_ms = self.clock.now_ms();
        let expires_ms = (now_ms + (call.wait_ms - TRAVEL_MARGIN_MS).max(0.0)).min(self.answer_by_ms);
        let request = Request {
            id,
            customer: call.customer,
            plan: call.plan,
            class: call.class,
            units: call.units,
            fan_out: call.fan_out,
            deadline_ms: expires_ms,
            retry: call.retry,
        };
        match self.requests.admit(id, call, expires_ms, reply) {
            Ok(()) => self.handle(Event::Request(request)),
            // Fails only when the client is gone.
            Err(Duplicate { reply }) => drop(reply.send(Answer::Invalid("id is open already"))),
        }
    }

    fn client_disconnected(&mut self, id: u64) {
        if self.requests.take_reply(id).is_some() {
            self.handle(Event::ClientDisconnected { id });
            self.release(id);
        }
    }

    /// Sends a request its final answer, if it has none.
    fn answer(&mut self, id: u64, answer: Answer) {
        if let Some(reply) = self.requests.take_reply(id) {
            // Fails only if the client has disconnected, which is an input of its own.
            let _ = reply.send(answer);
            self.release(id);
        }
    }

    /// Forgets a request that is over, with its timers, which would only wake.
    fn release(&mut self, id: u64) {
        for timer in self.requests.remove_finished(id).into_iter().flatten() {
            self.timers.cancel(&timer);
        }
    }

    /// Fails all that is open, and from now on all that comes.
    fn fail_all(&mut self) {
        self.answer_by_ms = f64::MIN;
        for id in self.requests.ids() {
            self.answer(id, Answer::Failed);
            self.handle(Event::ClientDisconnected { id });
        }
    }

    fn count(&mut self, call: &NewCall) {
        let now_ms = self.clock.now_ms();
        let refused = self.counter_calls.start(call, now_ms, &mut self.timers);
        self.follow_ups.extend(refused.map(Input::Counted));
    }

    fn counted(&mut self, Counted { number, outcome, total }: Counted) {
        if let Some(key) = self.counter_calls.settle(number, &mut self.timers) {
            self.handle(Event::CounterReplied { key, outcome, total });
        }
    }

    fn counter_call_timed_out(&mut self, number: u64) {
        if let Some((key, outcome)) = self.counter_calls.time_out(number) {
            self.handle(Event::CounterReplied { key, outcome, total: 0.0 });
        }
    }

    /// Goes over to another counter. Calls that are in flight at the old one are settled at once, so that
    /// none of its answers comes after one of the new.
    fn move_counter(&mut self, counter: Counter) {
        let in_flight = self.counter_calls.replace(counter);
        let reset = |number| Input::Counted(Counted { number, outcome: Outcome::Reset, total: 0.0 });
        self.follow_ups.extend(in_flight.into_iter().map(reset));
    }
}
