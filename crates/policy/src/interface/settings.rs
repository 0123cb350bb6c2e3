//! Settings of a gateway, and whether they can be worked with.

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
    /// Latency objective: an answer within this time earns the full weight.
    pub latency_objective_ms: f64,
    /// The longest a client waits for all its attempts.
    pub deadline_ms: f64,
    /// Priority weight: what a request in time is worth.
    pub priority_weight: f64,
    /// Late weight: part of the weight that is left after the latency objective.
    pub late_weight: f64,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// For keyed classes, the deduplication scope: who drops repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For keyed classes, the deduplication window: how long they do.
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
    /// Units the token bucket holds; it starts full.
    pub burst: f64,
    /// Concurrency limit: attempts in flight at once.
    pub max_in_flight: u32,
    /// Units a second of the ceiling.
    pub ceiling_rate: f64,
    /// Units the ceiling's token bucket holds.
    pub ceiling_burst: f64,
    /// Over-quota penalty: what a request costs that is admitted beyond the quota, as a part of its weight;
    /// 0 or more, and above 1 counts as 1.
    pub over_quota_penalty: f64,
    /// Factor of a request's weight.
    pub weight_factor: f64,
}

/// What a load report may hold, in the order of [`Settings::load_fields`].
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
    /// Hedges are allowed: two attempts of a request in flight at once.
    pub hedges: bool,
    /// Backends may be probed.
    pub probes: bool,
    /// Rejected clients are told when to come again.
    pub retry_advice: bool,
    /// The longest such advice.
    pub max_retry_after_ms: f64,
    /// A connection not up by then counts as failed.
    pub connect_timeout_ms: f64,
}

/// Slow start: how backends warm up, and what overloads them.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Fraction of its capacity that a backend starts at, at least.
    pub initial_capacity: f64,
    /// It is warm after this, at the latest.
    pub warm_up_ms: f64,
    /// Work of more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long overloads it.
    pub overload_window_ms: f64,
}

/// How many backends a gateway looks at for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Routing {
    /// Up to so many backends are all looked at for each request.
    pub scan_all_up_to: usize,
    /// So many are drawn and looked at where there are more.
    pub choices: usize,
    /// Size of a gateway's subset, beside its part of the backends that `coverage` calls for.
    pub subset_size: u32,
    /// Gateways in whose subset each backend is, where there are as many.
    pub coverage: u32,
}

impl Default for Routing {
    fn default() -> Self {
        Routing { scan_all_up_to: 16, choices: 8, subset_size: 5, coverage: 3 }
    }
}

/// All settings of a gateway.
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
    /// Period of the usage meter; 0 for none.
    pub usage_meter_period_ms: f64,
    /// Messages a second that a gateway accepts from its peers; 0 where they can't talk.
    pub peer_messages_per_s: f64,
    /// The most units one request counts.
    pub max_request_units: f64,
    /// What is allowed.
    pub limits: Limits,
    /// How backends warm up.
    pub slow_start: SlowStart,
    /// How many backends are looked at.
    pub routing: Routing,
    /// Customers whose record is kept, at most.
    pub max_customers: usize,
    /// Values of load reports, in order.
    pub load_fields: Vec<LoadField>,
    /// The endpoint list must be polled.
    pub polls_endpoints: bool,
    /// A gateway that must poll does so within this time.
    pub poll_within_ms: f64,
    /// For so long a backend may be sent to after the gateway was told that it is draining or removed.
    pub drain_grace_ms: f64,
    /// Cost of an attempt that crosses zones, as a part of a request's weight.
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
    /// Finds the first field that can't be worked with.
    ///
    /// # Errors
    /// A [`SettingsError`] that names the field.
    pub fn validate(&self) -> Result<(), SettingsError> {
        ensure(
            self.gateway_count > 0 && self.gateway_index < self.gateway_count,
            "gateways",
            "must be above the gateway's own number",
        )?;
        ensure(!self.classes.is_empty(), "classes", "at least one is needed")?;
        for (number, class) in self.classes.iter().enumerate() {
            class.check(&format!("classes[{number}]"))?;
        }
        for (number, plan) in self.plans.iter().enumerate() {
            plan.check(&format!("plans[{number}]"))?;
        }
        self.slow_start.check()?;
        self.routing.check()?;
        ensure(self.max_customers > 0, "customers", "must be above 0")?;
        self.limits.check()?;
        self.check_amounts()
    }

    fn check_amounts(&self) -> Result<(), SettingsError> {
        let not_negative = |amounts: &[f64], fields| {
            ensure(amounts.iter().all(|amount| is_amount(*amount)), fields, "must be 0 or more")
        };
        not_negative(
            &[self.clock_granularity_ms, self.counter_timeout_ms, self.usage_meter_period_ms],
            "tick_ms, counter_timeout_ms, meter_ms",
        )?;
        not_negative(
            &[self.max_request_units, self.peer_messages_per_s, self.poll_within_ms],
            "max_units, peer_messages_per_s, ask_within_ms",
        )?;
        not_negative(&[self.cross_zone_cost, self.drain_grace_ms], "cross_zone_cost, stop_sending_ms")
    }
}

impl Class {
    fn check(&self, field: &str) -> Result<(), SettingsError> {
        let times = is_positive(self.latency_objective_ms)
            && is_positive(self.deadline_ms)
            && is_amount(self.deduplication_window_ms);
        let weights = is_amount(self.priority_weight) && is_amount(self.late_weight);
        ensure(times && weights, field, "needs times above 0 and a worth of 0 or more")
    }
}

impl Plan {
    fn check(&self, field: &str) -> Result<(), SettingsError> {
        let amounts = [
            self.rate,
            self.burst,
            self.ceiling_rate,
            self.ceiling_burst,
            self.over_quota_penalty,
            self.weight_factor,
        ];
        ensure(amounts.into_iter().all(is_amount), field, "needs finite numbers of 0 or more")?;
        let fills = self.rate <= 0.0 || self.burst > 0.0;
        ensure(fills, &format!("{field}.burst"), "must be above 0 where there is a rate")
    }
}

impl SlowStart {
    fn check(&self) -> Result<(), SettingsError> {
        let start = is_positive(self.initial_capacity) && self.initial_capacity <= 1.0;
        ensure(
            start && is_amount(self.warm_up_ms),
            "slow_start",
            "needs a start capacity in (0, 1] and a warm-up of 0 or more",
        )?;
        ensure(
            is_positive(self.overload_multiple) && is_amount(self.overload_window_ms),
            "slow_start",
            "needs a multiple above 0 and a time of 0 or more",
        )
    }
}

impl Routing {
    fn check(&self) -> Result<(), SettingsError> {
        let sound = self.choices > 0 && self.subset_size > 0 && self.coverage > 0;
        ensure(sound, "routing", "choices, subset and coverage must be above 0")
    }
}

impl Limits {
    fn check(&self) -> Result<(), SettingsError> {
        ensure(self.max_attempts > 0, "limits.max_attempts", "must be above 0")?;
        let times = is_amount(self.connect_timeout_ms) && is_amount(self.max_retry_after_ms);
        ensure(times, "limits", "needs times of 0 or more")
    }
}

fn ensure(sound: bool, field: &str, problem: &'static str) -> Result<(), SettingsError> {
    if sound {
        Ok(())
    } else {
        Err(SettingsError { field: field.to_string(), problem })
    }
}

fn is_positive(number: f64) -> bool {
    number.is_finite() && number > 0.0
}

fn is_amount(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}
