//! What a platform gives a gateway: a configuration, for the classes and plans that the stand-ins know.

use std::net::SocketAddr;

use serde_json::{json, Value};

/// Classes, by their place in the settings.
pub const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];
/// Plans, by their place in the settings: without limits, and with a quota and a ceiling.
pub const PLANS: [&str; 2] = ["free", "paid"];
/// Units a second of the plan `paid`.
pub const PAID_RATE: f64 = 40.0;
/// Units that its store holds.
pub const PAID_BURST: f64 = 80.0;
/// Its ceiling, times rate and burst.
pub const PAID_CEILING: f64 = 3.0;
/// How long a client waits for all its tries, ms.
pub const DEADLINE_MS: f64 = 3_000.0;
/// Part of its capacity that a backend starts at, at least.
pub const START_CAPACITY: f64 = 0.2;
/// A backend is warm after this, ms.
pub const WARM_UP_MS: f64 = 10_000.0;
/// A cold backend falls under more than this multiple of its capacity ...
pub const TIP_MULTIPLE: f64 = 3.0;
/// ... for this long, ms.
pub const OVERLOAD_FOR_MS: f64 = 2_000.0;
/// A drained backend gets nothing new after this, ms.
pub const STOP_SENDING_MS: f64 = 500.0;

/// The settings of gateway `me` of `gateways`.
#[must_use]
pub fn settings(me: usize, gateways: usize) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"aim-ms": 500.0, "credit": 1.0, "deadline-ms": DEADLINE_MS, "effect": effect, "group": "all",
               "late-worth": 0.0, "name": name, "streaming": false, "window-ms": 5000.0})
    };
    let plan = |name: &str, rate: f64, store: f64, ceiling: f64| {
        json!({"cap-depth": store * ceiling, "concurrency": 0, "hard-rate": rate * ceiling,
               "hard-slack": store * ceiling / 10.0, "name": name, "over-cost": 0.5, "over-worth": 0.0,
               "quota-rate": rate, "store-size": store, "value-factor": 1.0})
    };
    json!({
        "clients": {"marks-retry": false},
        "contract": {"answer-slack-ms": 16.0, "ask-within-ms": 10000.0, "overload-for-ms": OVERLOAD_FOR_MS,
                     "start-capacity": START_CAPACITY, "stop-sending-within-ms": STOP_SENDING_MS,
                     "tip-multiple": TIP_MULTIPLE, "warm-up-ms": WARM_UP_MS},
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

/// The configuration of gateway `me` of `gateways`, which listens on a port of the system's choice unless
/// one is given.
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
