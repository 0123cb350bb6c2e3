//! Settings and helpers that the tests share.
#![allow(dead_code)]

use gateway_policy::interface::*;
use gateway_policy::Policy;

/// Time at which the tests start, ms.
pub const T0: f64 = 1_000_000.0;

/// Returns settings for two gateways.
///
/// Classes: 0 idempotent, 1 keyed with deduplication in a cell, 2 non-idempotent, 3 keyed with deduplication
/// by all backends. Plans: 0 rate only, 1 with a ceiling, 2 with only a concurrency limit, 3 without limits.
pub fn settings() -> Settings {
    let class = |idempotency, deduplication_scope| Class {
        latency_objective_ms: 1_000.0,
        deadline_ms: 4_000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        deduplication_scope,
        deduplication_window_ms: 500.0,
        streaming: false,
        retired: false,
    };
    let plan = Plan { rate: 2.0, burst: 16.0, weight_factor: 1.0, ..Plan::default() };
    Settings {
        gateway_index: 0,
        gateway_count: 2,
        zone: 0,
        clock_granularity_ms: 4.0,
        classes: vec![
            class(Idempotency::Idempotent, DeduplicationScope::All),
            class(Idempotency::Keyed, DeduplicationScope::Cell),
            class(Idempotency::NonIdempotent, DeduplicationScope::All),
            class(Idempotency::Keyed, DeduplicationScope::All),
        ],
        plans: vec![
            plan.clone(),
            Plan { rate: 1_000.0, burst: 1_000.0, ceiling_rate: 4.0, ceiling_burst: 40.0, ..plan },
            Plan { max_in_flight: 4, weight_factor: 1.0, ..Plan::default() },
            Plan::default(),
        ],
        shared_counter: false,
        counter_timeout_ms: 30.0,
        usage_meter_period_ms: 0.0,
        peer_messages_per_s: 0.0,
        max_request_units: 8.0,
        limits: Limits {
            max_attempts: 5,
            cancel: true,
            hedges: true,
            probes: true,
            retry_advice: false,
            max_retry_after_ms: 0.0,
            connect_timeout_ms: 250.0,
        },
        slow_start: SlowStart {
            initial_capacity: 0.2,
            warm_up_ms: 10_000.0,
            overload_multiple: 3.0,
            overload_window_ms: 2_000.0,
        },
        routing: Routing::default(),
        max_customers: 10_000,
        load_fields: Vec::new(),
        polls_endpoints: false,
        poll_within_ms: 10_000.0,
        drain_grace_ms: 500.0,
        cross_zone_cost: 0.0,
    }
}

/// Returns the entries of `n` ready backends, two in each cell.
pub fn backends(n: u32) -> Vec<BackendEndpoint> {
    (0..n).map(|id| backend(id, Some(id / 2))).collect()
}

/// Returns the entry of a ready backend in zone 0.
pub fn backend(id: u32, cell: Option<u32>) -> BackendEndpoint {
    BackendEndpoint { id, key: u64::from(id), cell, zone: Some(0), ..BackendEndpoint::default() }
}

/// Returns a request of customer 7 with a fan-out of 2 and a deadline after ten minutes.
pub fn request(id: u64, class: usize, plan: usize, units: f64) -> Request {
    let (customer, deadline_ms) = (7, T0 + 600_000.0);
    Request { id, customer, class, plan, units, fan_out: 2.0, deadline_ms, retry: false }
}

/// A gateway with its clock.
pub struct Rig {
    pub gateway: Policy,
    pub now: f64,
}

impl Rig {
    pub fn new(settings: Settings, n: u32) -> Rig {
        Rig::seeded(settings, n, 1)
    }

    pub fn seeded(settings: Settings, n: u32, seed: u64) -> Rig {
        let gateway = Policy::new(settings, seed, T0).expect("settings");
        let mut rig = Rig { gateway, now: T0 };
        rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Cached, endpoints: &backends(n) });
        rig
    }

    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        actions
    }

    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.handle(Event::Request(request))
    }

    /// Ends an attempt after 50 ms. The client has its answer if the outcome is [`Outcome::Ok`].
    pub fn end_attempt(&mut self, id: u64, attempt: u32, backend: u32, outcome: Outcome) -> Vec<Action> {
        self.handle(Event::AttemptEnded {
            id,
            attempt,
            backend,
            outcome,
            latency_ms: 50.0,
            answered: outcome == Outcome::Ok,
            metered_use: None,
            actual_units: None,
            load: &[],
        })
    }
}

/// Returns the backend of the first attempt in `actions`.
pub fn sent_to(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|a| match a {
        Action::SendAttempt { backend, .. } => Some(*backend),
        _ => None,
    })
}

pub fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Returns the key and the amount of the first counter call in `actions`.
pub fn counter_call(actions: &[Action]) -> Option<(u64, f64)> {
    actions.iter().find_map(|a| match a {
        Action::IncrementCounter { key, amount, .. } => Some((*key, *amount)),
        _ => None,
    })
}

/// Returns the token and the time, ms, of each timer in `actions`.
pub fn timers(actions: &[Action]) -> Vec<(u64, f64)> {
    let timer = |a: &Action| match a {
        Action::ScheduleTimer { token, at_ms } => Some((*token, *at_ms)),
        _ => None,
    };
    actions.iter().filter_map(timer).collect()
}

/// Totals of a shared counter that answers every call without delay.
#[derive(Default)]
pub struct Counter {
    totals: std::collections::BTreeMap<u64, f64>,
}

impl Counter {
    /// Adds an amount to a total and returns the new total.
    pub fn add(&mut self, key: u64, amount: f64) -> f64 {
        let total = self.totals.entry(key).or_default();
        *total += amount;
        *total
    }

    /// Answers all counter calls, including those that result from the answers, and returns all actions.
    pub fn answer_calls(&mut self, rig: &mut Rig, actions: Vec<Action>) -> Vec<Action> {
        let mut all = Vec::new();
        let mut next = std::collections::VecDeque::from(actions);
        while let Some(action) = next.pop_front() {
            if let Action::IncrementCounter { key, amount, .. } = action {
                let total = self.add(key, amount);
                next.extend(rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total }));
            }
            all.push(action);
        }
        all
    }

    /// Submits a request and answers all counter calls.
    pub fn submit(&mut self, rig: &mut Rig, request: Request) -> Vec<Action> {
        let actions = rig.submit(request);
        self.answer_calls(rig, actions)
    }
}
