//! Stand-ins whose every message a test answers by hand, in threads of their own. They panic where a test
//! is to fail.
#![allow(clippy::missing_panics_doc)] // For tests alone.

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

/// How long anything that must come may take; long, so that a slow machine gives the same verdict.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of classes `safe`, `keyed` (by cell) and `unsafe`, and of plans `free` (no limit) and
/// `paid` (a store of 16 units that fills by 0.5 a second).
pub fn settings() -> Value {
    let class = |name: &str, effect: &str, group: &str| {
        json!({"aim-ms": 4000.0, "credit": 3.0, "deadline-ms": 8000.0, "effect": effect, "group": group,
               "late-worth": 0.0, "name": name, "streaming": false, "window-ms": 5000.0})
    };
    let plan = |name: &str, rate: f64, store: f64| {
        json!({"cap-depth": 0.0, "concurrency": 0, "hard-rate": 0.0, "hard-slack": 0.0, "name": name,
               "over-cost": 1.0, "over-worth": 0.0, "quota-rate": rate, "store-size": store,
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

/// A configuration; what a test needs otherwise it changes.
pub fn config(agent: SocketAddr, counter: SocketAddr, known: &[Value]) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": agent.to_string(),
           "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "counter": counter.to_string(), "known": list(1, true, known), "settings": settings()})
}

/// A store that needs a call for each request of 60 units, and holds many.
pub fn set_large_burst(config: &mut Value) {
    config["settings"]["tariffs"][1]["store-size"] = json!(1190.0);
    config["settings"]["family-info"]["units-top"] = json!(60);
}
