//! What the agent knows about a gateway, derived from timestamped observations.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::order::Revision;

/// Whether a gateway is known to have applied all orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Not observed yet.
    Unknown,
    /// It responded recently and has applied every order.
    Ok,
    /// It responded recently but has not applied the newest orders yet.
    Behind,
    /// It did not respond in time. Its state is unknown; it continues with the last orders that it received.
    Unreachable {
        /// Short description of the failure.
        #[serde(rename = "why")]
        reason: String,
    },
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Health::Unknown => "unknown",
            Health::Ok => "ok",
            Health::Behind => "behind",
            Health::Unreachable { .. } => "unreachable",
        })
    }
}

/// The result of one contact of a session with its gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The gateway responded.
    Reachable {
        /// Identifies the gateway's process: a number that differs after each start.
        incarnation: u64,
        /// The newest revision that the gateway has applied.
        applied_revision: Revision,
    },
    /// The gateway could not be reached or did not respond, for this reason.
    Unreachable(String),
}

/// An ongoing outage.
#[derive(Clone, Debug)]
struct Outage {
    since_ms: f64,
    /// Reason of the latest failure.
    reason: String,
}

/// The agent's record of a gateway, without I/O or a clock: callers pass the time in ms.
#[derive(Clone, Debug, Default)]
pub struct GatewayRecord {
    incarnation: Option<u64>,
    applied_revision: Revision,
    last_seen_ms: Option<f64>,
    outage: Option<Outage>,
    /// Number of observed restarts of the gateway's process.
    pub restarts: u32,
}

impl GatewayRecord {
    /// Records an observation. Returns whether it shows a restart of the gateway's process.
    pub fn observe(&mut self, now_ms: f64, observation: Observation) -> bool {
        match observation {
            Observation::Reachable { incarnation, applied_revision } => {
                let restarted = self.incarnation.is_some_and(|known| known != incarnation);
                self.restarts += u32::from(restarted);
                self.incarnation = Some(incarnation);
                self.applied_revision = applied_revision;
                self.last_seen_ms = Some(now_ms);
                self.outage = None;
                restarted
            }
            Observation::Unreachable(reason) => {
                let since_ms = self.unreachable_since_ms().unwrap_or(now_ms);
                self.outage = Some(Outage { since_ms, reason });
                false
            }
        }
    }

    /// Health of the gateway. One that was last seen more than `max_silence_ms` ago is unreachable; one that
    /// has not applied `newest` is behind.
    #[must_use]
    pub fn health(&self, now_ms: f64, newest: Revision, max_silence_ms: f64) -> Health {
        if let Some(outage) = &self.outage {
            return Health::Unreachable { reason: outage.reason.clone() };
        }
        let Some(last_seen_ms) = self.last_seen_ms else { return Health::Unknown };
        let silence_ms = now_ms - last_seen_ms;
        if silence_ms > max_silence_ms {
            Health::Unreachable { reason: format!("silent for {silence_ms:.0} ms") }
        } else if self.applied_revision < newest {
            Health::Behind
        } else {
            Health::Ok
        }
    }

    /// The newest revision that the gateway is known to have applied.
    #[must_use]
    pub fn applied_revision(&self) -> Revision {
        self.applied_revision
    }

    /// Time of the last response, ms.
    #[must_use]
    pub fn last_seen_ms(&self) -> Option<f64> {
        self.last_seen_ms
    }

    /// Start of the current outage, ms, if there is one.
    #[must_use]
    pub fn unreachable_since_ms(&self) -> Option<f64> {
        self.outage.as_ref().map(|outage| outage.since_ms)
    }
}
