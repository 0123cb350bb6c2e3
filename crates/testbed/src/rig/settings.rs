//! The gateway settings of a scenario.

use gateway_policy::interface::{Class, DeduplicationScope, Idempotency, Limits, Plan, Routing, Settings};

use super::{Chooser, Scenario};

/// Timeout of connection attempts, ms.
pub(super) const CONNECT_TIMEOUT_MS: f64 = 250.0;

pub(super) fn settings(scenario: &Scenario, gateway: u32) -> Settings {
    let (objective, deadline) = scenario.objective_and_deadline;
    let (latency_objective_ms, deadline_ms) =
        (objective * scenario.service_time_ms, deadline * scenario.service_time_ms);
    let class = |idempotency| Class {
        latency_objective_ms,
        deadline_ms,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency,
        deduplication_scope: DeduplicationScope::Cell,
        deduplication_window_ms: 5_000.0,
        streaming: false,
        retired: false,
    };
    let routing = match scenario.chooser {
        Chooser::FullScan => Routing {
            scan_all_up_to: usize::MAX,
            subset_size: u32::MAX,
            coverage: u32::MAX,
            ..Routing::default()
        },
        _ => Routing::default(),
    };
    Settings {
        gateway_index: gateway,
        gateway_count: scenario.gateways,
        zone: gateway % scenario.zones.max(1),
        clock_granularity_ms: 1.0,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![Plan { weight_factor: 1.0, ..Plan::default() }],
        shared_counter: false,
        counter_timeout_ms: 50.0,
        usage_meter_period_ms: 0.0,
        peer_messages_per_s: 0.0,
        max_request_units: 4.0,
        limits: Limits {
            max_attempts: 4,
            cancel: true,
            hedges: false,
            probes: true,
            retry_advice: false,
            max_retry_after_ms: 0.0,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
        },
        slow_start: scenario.slow_start.clone(),
        routing,
        max_customers: 1_000,
        load_fields: Vec::new(),
        polls_endpoints: false,
        poll_within_ms: 10_000.0,
        drain_grace_ms: 500.0,
        cross_zone_cost: 0.0,
    }
}
