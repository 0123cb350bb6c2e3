//! The gateway configuration that a platform would supply, with the classes and plans that the stand-ins use.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Class names in the order of the settings.
pub const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];
/// Plan names in the order of the settings: one without limits, and one with a quota and a ceiling.
pub const PLANS: [&str; 2] = ["free", "paid"];
/// Quota rate of the plan `paid`, units per second.
pub const PAID_RATE: f64 = 40.0;
/// Burst of the plan `paid`, units.
pub const PAID_BURST: f64 = 80.0;
/// Ceiling of the plan `paid`, as a multiple of its rate and burst.
pub const PAID_CEILING: f64 = 3.0;
/// Deadline of a request over all its attempts, ms.
pub const DEADLINE_MS: f64 = 3_000.0;
/// Minimum fraction of its full capacity that a backend has at its start.
pub const INITIAL_CAPACITY: f64 = 0.2;
/// Time after which a backend has its full capacity, ms.
pub const WARM_UP_MS: f64 = 10_000.0;
/// Multiple of its current capacity above which the load overloads a warming backend.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Time for which an overload must last until the backend fails, ms.
pub const OVERLOAD_WINDOW_MS: f64 = 2_000.0;
/// Time after a backend's drain from which it receives no new attempts, ms.
pub const DRAIN_GRACE_MS: f64 = 500.0;

/// Returns the settings of the gateway with index `me` of `gateways`.
#[must_use]
pub fn settings(me: usize, gateways: usize) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"aim-ms": 500.0, "credit": 1.0, "deadline-ms": DEADLINE_MS, "effect": effect, "group": "all",
               "late-worth": 0.0, "name": name, "streaming": false, "window-ms": 5000.0})
    };
    let plan = |name: &str, rate: f64, burst: f64, ceiling: f64| {
        json!({"cap-depth": burst * ceiling, "concurrency": 0, "hard-rate": rate * ceiling,
               "hard-slack": burst * ceiling / 10.0, "name": name, "over-cost": 0.5, "over-worth": 0.0,
               "quota-rate": rate, "store-size": burst, "value-factor": 1.0})
    };
    json!({
        "clients": {"marks-retry": false},
        "contract": {"answer-slack-ms": 16.0, "ask-within-ms": 10000.0, "overload-for-ms": OVERLOAD_WINDOW_MS,
                     "start-capacity": INITIAL_CAPACITY, "stop-sending-within-ms": DRAIN_GRACE_MS,
                     "tip-multiple": OVERLOAD_MULTIPLE, "warm-up-ms": WARM_UP_MS},
        "family-info": {"count-fee": 0.01, "count-wait-ms": 50.0, "meter-period-ms": 0.0,
                        "peer-intake": 0.0, "settles": true, "shared-counter": true, "units-top": 4},
        "feedback": {"fields": [], "source": "none"},
        "granularity-ms": 1.0, "group-size": gateways, "me": me,
        "policy-limits": {"cancel": true, "connect-timeout-ms": 250.0, "idle-close-ms": 15000.0,
                          "max-attempts": 4, "max-retry-after-ms": 2000.0, "max-streams": 1,
                          "may-tell": false, "probing": true, "retry-after": true,
                          "second-copies": false},
        "prices": {"cross-zone": 0.0},
        "profiles": [class(CLASSES[0], "read_like"), class(CLASSES[1], "idempotency_key"),
                     class(CLASSES[2], "non_idempotent")],
        "registry-mode": "push",
        "tariffs": [plan(PLANS[0], 0.0, 0.0, 0.0), plan(PLANS[1], PAID_RATE, PAID_BURST, PAID_CEILING)],
        "zone": 0, "zones": ["room"]
    })
}

/// Returns the configuration of the gateway with index `me` of `gateways`, with the endpoint list `known`.
/// It listens on a port of the system's choice unless an address is given.
#[must_use]
pub fn config(
    me: usize,
    gateways: usize,
    discovery: SocketAddr,
    counter: SocketAddr,
    known: &Value,
    listen: Option<SocketAddr>,
) -> Value {
    let listen = listen.map_or("127.0.0.1:0".to_string(), |address| address.to_string());
    json!({"name": format!("n{me}"), "listen": listen, "discovery": discovery.to_string(),
           "seed": format!("{:016x}", 0x5eed + me), "counter": counter.to_string(), "known": known,
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings(me, gateways)})
}
