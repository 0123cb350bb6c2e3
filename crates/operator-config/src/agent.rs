//! `[agent]` and `[[gateway]]`: the agent and the gateways that it manages from its start on.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use crate::problems::Problems;
use crate::{Address, TlsConfig, MAX_GATEWAYS};

/// Settings of the agent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Agent", expecting = "struct Agent")]
pub struct AgentConfig {
    /// Listen address for tools; a Unix socket.
    pub listen: Address,
    /// Listen address for registrations of gateways, and for nothing else. TCP requires `tls`. `None`:
    /// gateways cannot register.
    pub register: Option<Address>,
    /// File of the log of orders, which must not be used for anything else.
    pub log: PathBuf,
    /// Minimum fraction of the serving backends, and of the gateways that respond, that an order has to leave
    /// ready unless it is forced: 0 to 1.
    #[serde(default = "default_least_ready")]
    pub least_ready: f64,
    /// Interval at which each gateway is polled for its state, ms: 50 to 60,000.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Timeout for connecting to a gateway and for its response, ms: 10 to 60,000.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u64,
    /// Maximum number of requests to gateways in flight: 1 to 4,096.
    #[serde(default = "default_fan_out")]
    pub fan_out: usize,
    /// Certificates for TCP connections with gateways.
    pub tls: Option<TlsConfig>,
}

fn default_least_ready() -> f64 {
    0.5
}

fn default_heartbeat_ms() -> u64 {
    1_000
}

fn default_answer_ms() -> u64 {
    1_000
}

fn default_fan_out() -> usize {
    256
}

impl AgentConfig {
    /// Returns [`AgentConfig::heartbeat_ms`] as a duration.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Returns [`AgentConfig::answer_ms`] as a duration.
    #[must_use]
    pub fn response_timeout(&self) -> Duration {
        Duration::from_millis(self.answer_ms)
    }

    pub(crate) fn validate(&self, problems: &mut Problems) {
        if self.tls.is_none() && self.register.as_ref().is_some_and(Address::is_tcp) {
            problems.add("agent.register", "TCP needs [agent.tls]");
        }
        if self.listen.is_tcp() {
            problems.add("agent.listen", "a Unix socket is wanted, as in unix:/run/agent.sock");
        }
        problems.check_range("agent.least_ready", self.least_ready, 0.0..=1.0);
        problems.check_range("agent.heartbeat_ms", self.heartbeat_ms, 50..=60_000);
        problems.check_range("agent.answer_ms", self.answer_ms, 10..=60_000);
        problems.check_range("agent.fan_out", self.fan_out, 1..=4_096);
    }
}

/// A gateway that the agent manages.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
#[serde(rename = "Gateway", expecting = "struct Gateway")]
pub struct GatewayConfig {
    /// Name of the gateway.
    pub name: String,
    /// Address of its admin listener.
    pub admin: Address,
}

/// Checks the list of gateways. `has_tls` states whether the agent has certificates.
pub(crate) fn validate_gateways(gateways: &[GatewayConfig], has_tls: bool, problems: &mut Problems) {
    if gateways.len() > MAX_GATEWAYS {
        problems.add("gateway", format!("too many; {MAX_GATEWAYS} at most"));
    }
    let mut names = BTreeSet::new();
    for (index, gateway) in gateways.iter().enumerate() {
        if !names.insert(&gateway.name) {
            problems.add(format!("gateway[{index}].name"), "named twice");
        }
        if gateway.admin.is_tcp() && !has_tls {
            problems.add(format!("gateway[{index}].admin"), "TCP needs [agent.tls]");
        }
    }
}
