//! Settings, events and actions of a [`Gateway`](crate::Gateway), as plain types.
//!
//! Times are milliseconds on the caller's clock, which never runs backwards.

use std::fmt;

/// How often an effect may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Repeats are dropped by the backends of one group, for a while.
    Keyed,
    /// Must never run twice.
    NonIdempotent,
}

/// Which backends drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time earns the full worth.
    pub latency_objective_ms: f64,
    /// The longest a client waits for all its tries.
    pub deadline_ms: f64,
    /// What a request is worth.
    pub priority_weight: f64,
    /// Part of the worth left after the aim.
    pub late_weight: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// For keyed classes: who drops repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For keyed classes: how long they do.
    pub deduplication_window_ms: f64,
    /// Whether answers are streamed.
    pub streaming: bool,
    /// New settings dropped it: no request comes with it any more, and open ones keep it.
    pub retired: bool,
}

impl Class {
    /// Whether two are one class, whether or not either was dropped.
    #[must_use]
    pub fn same_rules(&self, other: &Class) -> bool {
        *self == Class { retired: self.retired, ..other.clone() }
    }
}

/// A plan: quotas that hold for each customer over all gateways together. Zero means no such limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units a second.
    pub rate: f64,
    /// Units the store holds; it starts full.
    pub burst: f64,
    /// Attempts out at once.
    pub max_in_flight: u32,
    /// Units a second of the hard ceiling.
    pub ceiling_rate: f64,
    /// Units the ceiling's store holds.
    pub ceiling_burst: f64,
    /// What a request costs that is sent on beyond the quota, as a part of its worth: 0 or more;
    /// above 1 counts as 1.
    pub over_quota_penalty: f64,
    /// Factor of a request's worth.
    pub weight_factor: f64,
}

/// What a load report may tell, in the order of [`Settings::load_fields`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Requests being handled.
    Active,
    /// Requests waiting for a slot.
    Waiting,
    /// Busy part of the cores.
    Busy,
    /// Recent service time.
    ServiceMs,
    /// Anything else.
    Other,
}

/// What a gateway may do.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Attempts of one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of a request may be out at once.
    pub hedges: bool,
    /// Backends may be probed.
    pub probes: bool,
    /// Clients are told when to come again.
    pub retry_advice: bool,
    /// The longest such advice.
    pub max_retry_after_ms: f64,
    /// A connection not up by then counts as failed.
    pub connect_timeout_ms: f64,
}

/// Figures of the rules on cold backends.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Part of its capacity a backend starts at, at least.
    pub initial_capacity: f64,
    /// It is warm after this, at the latest.
    pub warm_up_ms: f64,
    /// Work of more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long makes it fall.
    pub overload_window_ms: f64,
}

/// How many backends a gateway looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Routing {
    /// Up to so many backends are all looked at for each request.
    pub scan_all_up_to: usize,
    /// So many are drawn and looked at where there are more.
    pub choices: usize,
    /// Backends that a gateway keeps to while they do, beside its part of those that `coverage` calls for.
    pub subset_size: u32,
    /// Gateways that each backend has for this, where there are as many.
    pub coverage: u32,
}

impl Default for Routing {
    fn default() -> Self {
        Routing { scan_all_up_to: 16, choices: 8, subset_size: 5, coverage: 3 }
    }
}

/// All a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this gateway, from 0.
    pub gateway_index: u32,
    /// Gateways in all.
    pub gateway_count: u32,
    /// Zone of this gateway.
    pub zone: u32,
    /// Shortest time between two events that are not at the same moment.
    pub clock_granularity_ms: f64,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// Whether there is a shared counter.
    pub shared_counter: bool,
    /// An unanswered call to the counter ends after this.
    pub counter_timeout_ms: f64,
    /// Period of the meter of use; 0 for none.
    pub usage_meter_period_ms: f64,
    /// Messages a second a gateway takes from its peers; 0 where they can't talk.
    pub peer_messages_per_s: f64,
    /// The most units one request counts.
    pub max_request_units: f64,
    /// What is allowed.
    pub limits: Limits,
    /// Rules on cold backends.
    pub slow_start: SlowStart,
    /// How many backends are looked at.
    pub routing: Routing,
    /// Customers whose store is held, at most.
    pub max_customers: usize,
    /// Values of load reports, in order.
    pub load_fields: Vec<LoadField>,
    /// The list of backends must be asked for.
    pub polls_endpoints: bool,
    /// A gateway that must ask does so within this time.
    pub poll_within_ms: f64,
    /// For so long a backend may be sent to after the gateway was told that it drains or is gone.
    pub drain_grace_ms: f64,
    /// Cost of an attempt that crosses zones, as a part of a request's worth.
    pub cross_zone_cost: f64,
}

/// A setting that can't be worked with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Tells the first field that can't be worked with.
    ///
    /// # Errors
    /// A [`SettingsError`] that names the field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let bad = |field: &str, problem| Err(SettingsError { field: field.to_string(), problem });
        let positive = |x: f64| x.is_finite() && x > 0.0;
        let amount = |x: f64| x.is_finite() && x >= 0.0;
        if self.gateway_count == 0 || self.gateway_index >= self.gateway_count {
            return bad("gateways", "must be above the gateway's own number");
        }
        if self.classes.is_empty() {
            return bad("classes", "at least one is needed");
        }
        for (i, c) in self.classes.iter().enumerate() {
            let times = positive(c.latency_objective_ms)
                && positive(c.deadline_ms)
                && amount(c.deduplication_window_ms);
            if !times || !amount(c.priority_weight) || !amount(c.late_weight) {
                return bad(&format!("classes[{i}]"), "needs times above 0 and a worth of 0 or more");
            }
        }
        for (i, p) in self.plans.iter().enumerate() {
            let all =
                [p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.over_quota_penalty, p.weight_factor];
            if !all.into_iter().all(amount) {
                return bad(&format!("plans[{i}]"), "needs finite numbers of 0 or more");
            }
            if p.rate > 0.0 && p.burst <= 0.0 {
                return bad(&format!("plans[{i}].burst"), "must be above 0 where there is a rate");
            }
        }
        let s = &self.slow_start;
        if !(positive(s.initial_capacity) && s.initial_capacity <= 1.0 && amount(s.warm_up_ms)) {
            return bad("slow_start", "needs a start capacity in (0, 1] and a warm-up of 0 or more");
        }
        if !(positive(s.overload_multiple) && amount(s.overload_window_ms)) {
            return bad("slow_start", "needs a multiple above 0 and a time of 0 or more");
        }
        if self.routing.choices == 0 || self.routing.subset_size == 0 || self.routing.coverage == 0 {
            return bad("routing", "choices, subset and coverage must be above 0");
        }
        if self.max_customers == 0 {
            return bad("customers", "must be above 0");
        }
        if self.limits.max_attempts == 0 {
            return bad("limits.max_attempts", "must be above 0");
        }
        if !(amount(self.limits.connect_timeout_ms) && amount(self.limits.max_retry_after_ms)) {
            return bad("limits", "needs times of 0 or more");
        }
        if !(amount(self.clock_granularity_ms)
            && amount(self.counter_timeout_ms)
            && amount(self.usage_meter_period_ms))
        {
            return bad("tick_ms, counter_timeout_ms, meter_ms", "must be 0 or more");
        }
        if !(amount(self.max_request_units)
            && amount(self.peer_messages_per_s)
            && amount(self.poll_within_ms))
        {
            return bad("max_units, peer_messages_per_s, ask_within_ms", "must be 0 or more");
        }
        if !(amount(self.cross_zone_cost) && amount(self.drain_grace_ms)) {
            return bad("cross_zone_cost, stop_sending_ms", "must be 0 or more");
        }
        Ok(())
    }
}

/// State of a backend, as the list tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Removed.
    Removed,
}

/// A line of the list of backends.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendEndpoint {
    /// Its number at this gateway.
    pub id: u32,
    /// What it is known by at all gateways.
    pub key: u64,
    /// Its state.
    pub state: EndpointState,
    /// Its cell.
    pub cell: u32,
    /// Its zone.
    pub zone: u32,
    /// Its type.
    pub kind: u32,
    /// When it started; 0 for long ago.
    pub started_ms: f64,
    /// When operators gave it back after a ban, in which it was restarted; 0 for never.
    pub reenabled_ms: f64,
    /// Its registered size against the others', where known.
    pub weight: f64,
    /// Its share of new work against those of share 1, as operators want it: above 0, at most 1.
    pub weight_share: f64,
}

impl Default for BackendEndpoint {
    fn default() -> Self {
        let (state, started_ms, returned_ms, weight, share) = (EndpointState::Ready, 0.0, 0.0, 0.0, 1.0);
        BackendEndpoint {
            id: 0,
            key: 0,
            state,
            cell: 0,
            zone: 0,
            kind: 0,
            started_ms,
            reenabled_ms: returned_ms,
            weight,
            weight_share: share,
        }
    }
}

impl BackendEndpoint {
    /// From when it is cold: its start, or its return after a ban, whichever came last.
    #[must_use]
    pub fn slow_start_from_ms(&self) -> f64 {
        self.started_ms.max(self.reenabled_ms)
    }
}

/// How a list event is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateScope {
    /// Changed lines only.
    Delta,
    /// All lines.
    Full,
    /// All lines, as this gateway last saw them.
    Cached,
    /// An answer could not be had; the old list stays.
    Failed,
}

/// How an attempt, a probe or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt is known not to have run.
    #[must_use]
    pub fn never_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Never used again.
    pub id: u64,
    /// Whose it is.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Index of its class.
    pub class: usize,
    /// Units it counts; a guess where they are settled later.
    pub units: f64,
    /// Gateways through which this customer's requests may come.
    pub fan_out: f64,
    /// When the client gives this try up.
    pub deadline_ms: f64,
    /// Marked as a client's repeat.
    pub retry: bool,
}

/// Charges of a customer that the counter was not told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnreportedCharge {
    /// Whose they are.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: usize,
    /// Gateways through which the customer's requests may come.
    pub fan_out: f64,
    /// Units, above 0.
    pub units: f64,
}

/// What a gateway is told.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// News of the list of backends.
    EndpointsUpdated {
        /// How to read it.
        scope: UpdateScope,
        /// Its lines.
        endpoints: &'a [BackendEndpoint],
    },
    /// A request came in.
    Request(Request),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: u64,
        /// Which attempt, from 0.
        attempt: u32,
        /// Where it went.
        backend: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        latency_ms: f64,
        /// The client has its answer; nothing is owed any more.
        answered: bool,
        /// The customer's use over all gateways, as a part of its rate (or open attempts, of their cap).
        metered_use: Option<f64>,
        /// The true units, in place of the guess.
        actual_units: Option<f64>,
        /// Load report, empty for none.
        load: &'a [f32],
    },
    /// The answer of an attempt has begun to flow to the client.
    StreamStarted {
        /// The request.
        id: u64,
        /// Which attempt.
        attempt: u32,
        /// Where it went.
        backend: u32,
    },
    /// The client has left; nothing is owed any more.
    ClientDisconnected {
        /// The request.
        id: u64,
    },
    /// A probe ended.
    ProbeEnded {
        /// The backend.
        backend: u32,
        /// How it ended.
        outcome: Outcome,
        /// Load report, empty for none.
        load: &'a [f32],
    },
    /// A call to the counter ended.
    CounterReplied {
        /// The name.
        key: u64,
        /// How it ended.
        outcome: Outcome,
        /// The value after it, if it ended well; not finite if it was added and the value can't be read.
        total: f64,
    },
    /// A message of another gateway.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The message.
        body: &'a [u8],
    },
    /// A timer rang.
    TimerExpired {
        /// Its token.
        token: u64,
    },
}

/// What a gateway wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt; they count from 0 for each request.
    SendAttempt {
        /// The request.
        id: u64,
        /// Where to.
        backend: u32,
        /// The last byte of the request has to be written by then, ms; later it must not be sent at all.
        /// None: as long as the client waits.
        write_deadline_ms: Option<f64>,
    },
    /// Ends the wait for an attempt.
    CancelAttempt {
        /// The request.
        id: u64,
        /// Which attempt.
        attempt: u32,
    },
    /// Final answer: trying again is harmless.
    Reject {
        /// The request.
        id: u64,
        /// When to come again.
        retry_after_ms: Option<f64>,
    },
    /// Final answer: nothing is promised.
    Fail {
        /// The request.
        id: u64,
    },
    /// Probes a backend.
    Probe {
        /// The backend.
        backend: u32,
    },
    /// Adds to a number of the shared counter.
    IncrementCounter {
        /// Its name.
        key: u64,
        /// What to add.
        amount: f64,
        /// When a new name is to be forgotten.
        ttl_ms: f64,
    },
    /// Asks for a timer event.
    ScheduleTimer {
        /// Given back with it.
        token: u64,
        /// When.
        at_ms: f64,
    },
    /// Sends a message to all other gateways.
    BroadcastToPeers {
        /// The message.
        body: Vec<u8>,
    },
    /// Subscribes to the list of backends.
    PollEndpoints,
}
