//! Settings of a gateway, and their validation.

use std::fmt;

/// Whether a request can be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Can safely be repeated.
    Idempotent,
    /// Carries an idempotency key: the backends of a deduplication scope drop repeats within a window.
    Keyed,
    /// Must not be executed twice.
    NonIdempotent,
}

/// Backends that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All backends.
    All,
    /// Backends of one zone.
    Zone,
    /// Backends of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective, ms: an answer within this time has the full priority weight.
    pub latency_objective_ms: f64,
    /// Longest time that a client waits for an answer, ms, over all attempts.
    pub deadline_ms: f64,
    /// Priority weight: value of an answer within the latency objective.
    pub priority_weight: f64,
    /// Late weight: fraction of the priority weight that a later answer has.
    pub late_weight: f64,
    /// Whether a request can be executed again.
    pub idempotency: Idempotency,
    /// Deduplication scope of a keyed class: the backends that drop repeats.
    pub deduplication_scope: DeduplicationScope,
    /// Deduplication window of a keyed class, ms: the time for which repeats are dropped.
    pub deduplication_window_ms: f64,
    /// Whether answers are streamed.
    pub streaming: bool,
    /// Removed by newer settings: new requests cannot use it, and open ones keep it.
    pub retired: bool,
}

impl Class {
    /// Whether two classes are equal apart from being retired.
    #[must_use]
    pub fn same_rules(&self, other: &Class) -> bool {
        *self == Class { retired: self.retired, ..other.clone() }
    }
}

/// A plan: limits of each customer, over all gateways together. Zero means that there is no such limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Rate of the quota, units a second.
    pub rate: f64,
    /// Capacity of the token bucket, units. The bucket starts full.
    pub burst: f64,
    /// Concurrency limit: attempts in flight at once.
    pub max_in_flight: u32,
    /// Rate of the ceiling, units a second.
    pub ceiling_rate: f64,
    /// Capacity of the ceiling's token bucket, units.
    pub ceiling_burst: f64,
    /// Over-quota penalty: cost of a request that is admitted beyond the quota, as a fraction of its weight.
    /// 0 or more; values above 1 count as 1.
    pub over_quota_penalty: f64,
    /// Factor applied to the priority weight of a request.
    pub weight_factor: f64,
}

/// A value of load reports. [`Settings::load_fields`] has their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Number of requests being processed.
    Active,
    /// Number of requests waiting for a slot.
    Waiting,
    /// Busy fraction of the cores.
    Busy,
    /// Recent service time, ms.
    ServiceMs,
    /// Any other value.
    Other,
}

/// Limits and permitted actions of a gateway.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether attempts can be cancelled.
    pub cancel: bool,
    /// Whether hedges are allowed: two attempts of a request in flight at once.
    pub hedges: bool,
    /// Whether backends can be probed.
    pub probes: bool,
    /// Whether rejected clients are told when to retry.
    pub retry_advice: bool,
    /// Longest time after which a rejected client is told to retry, ms.
    pub max_retry_after_ms: f64,
    /// Time after which a connection that is not established counts as failed, ms.
    pub connect_timeout_ms: f64,
}

/// Slow start: the warm-up of backends, and the load that overloads them.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// Minimum fraction of its full capacity that a backend has at its start: above 0, at most 1.
    pub initial_capacity: f64,
    /// Longest time until it has its full capacity, ms.
    pub warm_up_ms: f64,
    /// Multiple of its present capacity above which sustained work overloads it.
    pub overload_multiple: f64,
    /// Time for which such work must be sustained to overload it, ms.
    pub overload_window_ms: f64,
}

/// Numbers of backends that a gateway considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Routing {
    /// Up to this number of backends, all are considered for each request.
    pub scan_all_up_to: usize,
    /// Number of candidates that are drawn if there are more.
    pub choices: usize,
    /// Size of a gateway's subset, without the backends that are added for `coverage`.
    pub subset_size: u32,
    /// Minimum number of gateways that have each backend in their subset, if there are as many.
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
    /// Number of gateways.
    pub gateway_count: u32,
    /// Zone of this gateway.
    pub zone: u32,
    /// Granularity of the clock, ms: the shortest time between two events at different times.
    pub clock_granularity_ms: f64,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// Whether the gateways have a shared counter.
    pub shared_counter: bool,
    /// Timeout of a counter call, ms.
    pub counter_timeout_ms: f64,
    /// Period of the usage meter, ms; 0 if there is none.
    pub usage_meter_period_ms: f64,
    /// Messages a second that a gateway accepts from its peers; 0 if they cannot exchange messages.
    pub peer_messages_per_s: f64,
    /// Largest number of units of one request.
    pub max_request_units: f64,
    /// Limits and permitted actions.
    pub limits: Limits,
    /// Slow start of backends.
    pub slow_start: SlowStart,
    /// Numbers of backends that are considered for a request.
    pub routing: Routing,
    /// Maximum number of customer records in memory.
    pub max_customers: usize,
    /// Values of a load report, in order.
    pub load_fields: Vec<LoadField>,
    /// Whether the endpoint list has to be polled.
    pub polls_endpoints: bool,
    /// Longest interval between polls, ms.
    pub poll_within_ms: f64,
    /// Time for which a gateway may send to a backend after the update that it is draining or removed, ms.
    pub drain_grace_ms: f64,
    /// Cost of an attempt in another zone, as a fraction of the request's weight.
    pub cross_zone_cost: f64,
}

/// Error of an invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the field.
    pub field: String,
    /// Description of the problem.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks all fields and stops at the first invalid one.
    ///
    /// # Errors
    /// A [`SettingsError`] with the name of the field.
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
        let has_capacity = self.rate <= 0.0 || self.burst > 0.0;
        ensure(has_capacity, &format!("{field}.burst"), "must be above 0 where there is a rate")
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
        let valid = self.choices > 0 && self.subset_size > 0 && self.coverage > 0;
        ensure(valid, "routing", "choices, subset and coverage must be above 0")
    }
}

impl Limits {
    fn check(&self) -> Result<(), SettingsError> {
        ensure(self.max_attempts > 0, "limits.max_attempts", "must be above 0")?;
        let times = is_amount(self.connect_timeout_ms) && is_amount(self.max_retry_after_ms);
        ensure(times, "limits", "needs times of 0 or more")
    }
}

fn ensure(condition: bool, field: &str, problem: &'static str) -> Result<(), SettingsError> {
    if condition {
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
