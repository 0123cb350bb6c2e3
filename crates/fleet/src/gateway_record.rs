//! What is known of a gateway, from observations and when they were made.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::order::Revision;

/// Whether a gateway can be relied on to have applied all orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Not observed yet.
    Unknown,
    /// It answered lately, and holds every order.
    Ok,
    /// It answered lately, and orders are on their way to it.
    Behind,
    /// It did not answer in time. What it does is not known; it goes on with the last orders that it had.
    Unreachable {
        /// Why, in a few words.
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

/// What a session learned of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered.
    Reachable {
        /// Its process: new with each start.
        incarnation: u64,
        /// The newest revision that it holds.
        applied_revision: Revision,
    },
    /// It could not be asked, or did not answer, for this reason.
    Unreachable(String),
}

/// An outage that lasts.
#[derive(Clone, Debug)]
struct Outage {
    since_ms: f64,
    /// The latest reason.
    reason: String,
}

/// A gateway as the agent knows it.
#[derive(Clone, Debug, Default)]
pub struct GatewayRecord {
    incarnation: Option<u64>,
    applied_revision: Revision,
    last_seen_ms: Option<f64>,
    outage: Option<Outage>,
    /// How often its process was seen to have restarted.
    pub restarts: u32,
}

impl GatewayRecord {
    /// Takes in an observation. Returns whether the process is another than before.
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

    /// Its health, given the newest revision and how long it may be silent, ms.
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

    /// The newest revision that it is known to hold.
    #[must_use]
    pub fn applied_revision(&self) -> Revision {
        self.applied_revision
    }

    /// When it last answered.
    #[must_use]
    pub fn last_seen_ms(&self) -> Option<f64> {
        self.last_seen_ms
    }

    /// Since when it is unreachable, if it is.
    #[must_use]
    pub fn unreachable_since_ms(&self) -> Option<f64> {
        self.outage.as_ref().map(|outage| outage.since_ms)
    }
}
