//! Servers that hand every message to the test, which writes the answer. They run in threads of their own and
//! panic on errors, so that the test fails.
#![allow(clippy::missing_panics_doc)] // Only tests use this module.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};

mod client;
mod discovery;
mod resp;
mod stand_in;

pub use client::{as_strs, deadline_ms_of, request_args, Client};
pub use discovery::{endpoint, list, serving, DiscoveryStandIn, SERVICE_UNAVAILABLE};
pub use resp::command;
pub use stand_in::{next_from_any, refusing_address, IncomingMessage, StandIn};

/// Maximum wait for any expected message; long, so that a slow machine does not fail a test.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns settings with the classes `safe`, `keyed` (deduplicated per cell) and `unsafe`, and the plans
/// `free` (no limit) and `paid` (a burst of 16 units, refilled by 0.5 per second).
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, group: &str| {
        json!({"aim-ms": 4000.0, "credit": 3.0, "deadline-ms": 8000.0, "effect": effect, "group": group,
               "late-worth": 0.0, "name": name, "streaming": false, "window-ms": 5000.0})
    };
    let plan = |name: &str, rate: f64, burst: f64| {
        json!({"cap-depth": 0.0, "concurrency": 0, "hard-rate": 0.0, "hard-slack": 0.0, "name": name,
               "over-cost": 1.0, "over-worth": 0.0, "quota-rate": rate, "store-size": burst,
               "value-factor": 1.0})
    };
    json!({
        "clients": {"marks-retry": false},
        "contract": {"answer-slack-ms": 16.0, "ask-within-ms": 10000.0, "overload-for-ms": 3000.0,
                     "start-capacity": 0.2, "stop-sending-within-ms": 500.0, "tip-multiple": 3.0,
                     "warm-up-ms": 16000.0},
        "family-info": {"count-fee": 0.005, "count-wait-ms": 400.0, "meter-period-ms": 0.0,
                        "peer-intake": 0.0, "settles": true, "shared-counter": true, "units-top": 8},
        "feedback": {"fields": [], "source": "none"},
        "granularity-ms": 4.0, "group-size": 2, "me": 0,
        "policy-limits": {"cancel": true, "connect-timeout-ms": 5000.0, "idle-close-ms": 15000.0,
                          "max-attempts": 5, "max-retry-after-ms": 2000.0, "max-streams": 32,
                          "may-tell": false, "probing": true, "retry-after": true,
                          "second-copies": false},
        "prices": {"cross-zone": 0.0},
        "profiles": [class("safe", "read_like", "all"), class("keyed", "idempotency_key", "cell"),
                     class("unsafe", "non_idempotent", "all")],
        "registry-mode": "push",
        "tariffs": [plan("free", 0.0, 0.0), plan("paid", 0.5, 16.0)],
        "zone": 0, "zones": ["room"]
    })
}

/// Returns a default configuration, which tests change as needed.
pub fn config(discovery: SocketAddr, counter: SocketAddr, known: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
           "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "counter": counter.to_string(), "known": list(1, true, known), "settings": settings()})
}

/// Sets a burst of 1190 units and a maximum request of 60 units, so that each request of 60 units needs a
/// counter call and many of them fit the burst.
pub fn set_large_burst(config: &mut Value) {
    config["settings"]["tariffs"][1]["store-size"] = json!(1190.0);
    config["settings"]["family-info"]["units-top"] = json!(60);
}
