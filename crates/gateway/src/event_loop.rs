//! The event loop: owns the policy, turns socket activity into policy events and performs the resulting
//! actions.

mod attempts;
mod control_plane;
mod counter_calls;
mod endpoints;
mod probing;
mod ramp;
mod requests;
mod sending;
mod timers;

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cold_start::CallBudget;
use gateway_policy::interface::{Action, Event, Idempotency, Outcome, Request};
use gateway_policy::reload::ServiceSettings;
use gateway_policy::settings::SettingNames;
use gateway_policy::Policy;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::interval;
use tokio_util::time::delay_queue::Expired;

use crate::backend_table::BackendTable;
use crate::clock::Clock;
use crate::counter::{Counter, CounterReply};
use crate::discovery::EndpointUpdate;
use crate::input::{AttemptKey, Input, ProbePurpose, TimerKind};
use crate::maintenance::{ControlRequest, Partition};
use crate::memory::MemoryBudget;
use crate::resp::{Answer, Call};
use crate::sent_requests::SentRequests;
use crate::upstream::ConnectionPool;
use attempts::Attempts;
use counter_calls::{CounterCalls, NewCall};
use requests::{Duplicate, Requests};
use timers::Timers;

pub use control_plane::ControlPlane;
pub use ramp::StartRamp;

/// Part of a client's waiting time that is set aside for network transit in both directions, ms.
const TRANSIT_MARGIN_MS: f64 = 5.0;
/// Interval between sweeps that close idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of inputs handled per iteration.
const MAX_BATCH: usize = 64;

/// Everything the event loop needs besides the policy.
pub struct Resources {
    pub pool: ConnectionPool,
    pub counter: Option<Counter>,
    pub inbox: mpsc::Sender<Input>,
    /// The memory budget of requests and answers.
    pub memory: MemoryBudget,
    pub control_plane: ControlPlane,
    /// The settings that client tasks parse requests with.
    pub service_settings: watch::Sender<Arc<ServiceSettings>>,
    /// Ids of requests that must not be sent again.
    pub sent_requests: SentRequests,
    /// Resources that are shared with other processes of this gateway.
    pub partitions: Vec<Partition>,
    /// Slots for first connections to backends. `None`: connections are opened when requests need them.
    pub ramp: Option<StartRamp>,
    /// Limits calls to the counter after the start. `None`: unlimited.
    pub counter_budget: Option<CallBudget>,
}

/// The event loop and its state.
pub struct EventLoop {
    policy: Policy,
    clock: Clock,
    names: SettingNames,
    load_fields: Arc<[String]>,
    service_settings: watch::Sender<Arc<ServiceSettings>>,
    /// By class index, when a reload removed the class, Unix time in ms.
    dropped_classes: HashMap<usize, f64>,
    partitions: Vec<Partition>,
    pool: ConnectionPool,
    table: BackendTable,
    ramp: Option<StartRamp>,
    control_plane: ControlPlane,
    requests: Requests,
    sent_requests: SentRequests,
    attempts: Attempts,
    counter_calls: CounterCalls,
    timers: Timers,
    inbox: mpsc::Sender<Input>,
    memory: MemoryBudget,
    /// Upper bound for the deadline of new requests, Unix time in ms; set when the gateway shuts down.
    answer_by_ms: f64,
    /// Inputs produced while performing actions, handled right after the current one.
    follow_ups: VecDeque<Input>,
    /// Reused buffer for the policy's actions.
    actions: Vec<Action>,
}

impl EventLoop {
    /// Creates an event loop over a policy, with nothing in flight.
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
            control_plane: resources.control_plane,
            requests: Requests::default(),
            sent_requests: resources.sent_requests,
            attempts: Attempts::default(),
            counter_calls: CounterCalls::new(resources.counter, resources.counter_budget),
            timers: Timers::new(clock),
            inbox: resources.inbox,
            memory: resources.memory,
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
                // Polled first so that operators' commands do not wait behind a flood of requests. Control
                // requests are few and sent one after another.
                Some(request) = control.recv() => self.handle_control_request(request),
                n = inputs.recv_many(&mut batch, MAX_BATCH) => {
                    if n == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|input| self.handle_input(input));
                }
                Some(timer) = self.timers.expired() => {
                    self.forget_timer(&timer);
                    self.handle_input(Input::TimerExpired(timer.into_inner()));
                }
                now = idle_check.tick() => {
                    self.pool.close_idle(now);
                    self.partitions.iter_mut().for_each(Partition::reserve);
                }
            }
        }
    }

    /// Drops the key of an expired timer from its request.
    fn forget_timer(&mut self, timer: &Expired<TimerKind>) {
        let TimerKind::Policy(token) = timer.get_ref() else { return };
        if let Some(request) = Policy::request_of_timer(*token) {
            self.requests.forget_timer(request, timer.key());
        }
    }

    /// Handles an input and every follow-up input that it causes.
    pub fn handle_input(&mut self, input: Input) {
        self.dispatch(input);
        while let Some(input) = self.follow_ups.pop_front() {
            self.dispatch(input);
        }
    }

    fn dispatch(&mut self, input: Input) {
        match input {
            Input::Request { id, call, reply } => self.handle_request(id, call, reply),
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
            Input::Counted(reply) => self.counter_replied(reply),
            Input::CounterMoved(counter) => self.replace_counter(counter),
            Input::EndpointUpdate(EndpointUpdate { scope, endpoints, unreadable }) => {
                self.update_endpoints(scope, endpoints, &unreadable);
            }
            Input::TimerExpired(TimerKind::Policy(token)) => self.handle_event(Event::TimerExpired { token }),
            Input::TimerExpired(TimerKind::CounterCall(number)) => self.counter_call_timed_out(number),
            Input::TimerExpired(TimerKind::ConnectionRamp) => self.ramp_timer_expired(),
            Input::AdminRequest { request, reply } => {
                let response = self.admin_request(request);
                // Fails only if the requester no longer waits.
                let _ = reply.send(response);
            }
            Input::ShuttingDown { answer_by_ms } => self.answer_by_ms = answer_by_ms,
            Input::FailUnanswered => self.fail_unanswered(),
        }
    }

    /// Passes an event to the policy and performs the actions it returns.
    fn handle_event(&mut self, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(self.clock.now_ms(), event, &mut actions);
        actions.drain(..).for_each(|action| self.perform(action));
        self.actions = actions;
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::SendAttempt { id, backend, write_deadline_ms } => {
                self.start_attempt(id, backend, write_deadline_ms);
            }
            Action::CancelAttempt { id, attempt } => self.cancel(AttemptKey { request: id, number: attempt }),
            Action::Reject { id, retry_after_ms } => {
                // Rounded up: rounding down would allow the retry too early.
                let retry_after_ms = retry_after_ms.map(|ms| ms.ceil().max(1.0) as u64);
                if let Some(client_id) = self.requests.client_id(id) {
                    self.sent_requests.remove(client_id);
                }
                self.answer(id, Answer::Rejected(retry_after_ms));
            }
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Probe { backend } => self.probe(backend, ProbePurpose::Health),
            Action::IncrementCounter { key, amount, ttl_ms } => {
                self.call_counter(&NewCall { key, amount, ttl_ms });
            }
            Action::ScheduleTimer { token, at_ms } => self.set_policy_timer(token, at_ms),
            // This gateway has no channel to its peers, and it watches discovery all the time.
            Action::BroadcastToPeers { .. } | Action::PollEndpoints => {}
        }
    }

    /// Sets a timer for the policy, unless it belongs to a finished request.
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

    fn handle_request(&mut self, id: u64, call: Arc<Call>, reply: oneshot::Sender<Answer>) {
        let now_ms = self.clock.now_ms();
        // The client's time runs while the request waits behind others on its connection, and for memory.
        let waited_ms = call.received_at.elapsed().as_secs_f64() * 1000.0;
        let left_ms = (call.wait_ms - TRANSIT_MARGIN_MS - waited_ms).max(0.0);
        let expires_ms = (now_ms + left_ms).min(self.answer_by_ms);
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
        if self.was_sent_before(&call, now_ms) {
            // Fails only if the client has disconnected.
            let _ = reply.send(Answer::Invalid("id was sent already"));
            return;
        }
        match self.requests.admit(id, call, expires_ms, reply) {
            Ok(()) => self.handle_event(Event::Request(request)),
            // Fails only if the client has disconnected.
            Err(Duplicate { reply }) => drop(reply.send(Answer::Invalid("id is open already"))),
        }
    }

    /// Whether a request with the same id was sent to a backend before, and must not run again.
    fn was_sent_before(&mut self, call: &Call, now_ms: f64) -> bool {
        let is_repeatable = self.is_idempotent(call.class);
        !is_repeatable && !self.requests.is_open(call.id) && self.sent_requests.contains(call.id, now_ms)
    }

    /// Whether requests of a class may run any number of times.
    fn is_idempotent(&self, class: usize) -> bool {
        let classes = &self.service_settings.borrow().settings.classes;
        classes.get(class).is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    fn client_disconnected(&mut self, id: u64) {
        if self.requests.take_reply(id).is_some() {
            self.handle_event(Event::ClientDisconnected { id });
            self.release(id);
        }
    }

    /// Sends the final answer of a request, unless one was already sent.
    fn answer(&mut self, id: u64, answer: Answer) {
        if let Some(reply) = self.requests.take_reply(id) {
            // Fails only if the client has disconnected, which arrives as a separate input.
            let _ = reply.send(answer);
            self.release(id);
        }
    }

    /// Removes a finished request and cancels its timers, which would only cause needless wake-ups.
    fn release(&mut self, id: u64) {
        for timer in self.requests.remove_finished(id).into_iter().flatten() {
            self.timers.cancel(&timer);
        }
    }

    /// Fails all requests that await an answer. New ones get a deadline in the past from now on.
    ///
    /// Requests whose value is being streamed have their answer: cancelling their attempts would cut it off.
    fn fail_unanswered(&mut self) {
        self.answer_by_ms = f64::MIN;
        for id in self.requests.ids_awaiting_answer() {
            self.answer(id, Answer::Failed);
            self.handle_event(Event::ClientDisconnected { id });
        }
    }

    fn call_counter(&mut self, call: &NewCall) {
        let now_ms = self.clock.now_ms();
        let rejected = self.counter_calls.start(call, now_ms, &mut self.timers);
        self.follow_ups.extend(rejected.map(Input::Counted));
    }

    fn counter_replied(&mut self, CounterReply { number, outcome, total }: CounterReply) {
        if let Some(key) = self.counter_calls.complete(number, &mut self.timers) {
            self.handle_event(Event::CounterReplied { key, outcome, total });
        }
    }

    fn counter_call_timed_out(&mut self, number: u64) {
        if let Some((key, outcome)) = self.counter_calls.time_out(number) {
            self.handle_event(Event::CounterReplied { key, outcome, total: 0.0 });
        }
    }

    /// Switches to another counter. Calls in flight at the old one end immediately as reset, so that no reply
    /// of the old counter is processed after one of the new counter.
    fn replace_counter(&mut self, counter: Counter) {
        let in_flight = self.counter_calls.replace_counter(counter);
        let reset = |number| Input::Counted(CounterReply { number, outcome: Outcome::Reset, total: 0.0 });
        self.follow_ups.extend(in_flight.into_iter().map(reset));
    }
}
