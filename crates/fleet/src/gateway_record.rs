//! What is known of a gateway, from what was heard of it and when.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::order::Revision;

/// Whether a gateway can be relied on to have carried out what was ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Not heard yet.
    Unknown,
    /// Heard lately, and it holds every order.
    Ok,
    /// Heard lately, and orders are on their way to it.
    Behind,
    /// Not heard in time. What it does is not known; it goes on with the last orders that it had.
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

/// Something that was learned of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered: it runs under this boot id and holds the orders up to this revision.
    Reachable {
        /// New with each start of its process.
        incarnation: u64,
        /// The newest revision that it holds.
        applied_revision: Revision,
    },
    /// It could not be asked, or did not answer.
    Unreachable(String),
}

/// A gateway as the agent knows it.
#[derive(Clone, Debug, Default)]
pub struct GatewayRecord {
    boot: Option<u64>,
    applied_revision: Revision,
    last_seen_ms: Option<f64>,
    lost: Option<(f64, String)>,
    /// How often its process was seen to have started anew.
    pub restarts: u32,
}

impl GatewayRecord {
    /// Takes a sighting in. Tells whether the process is another than before.
    pub fn observe(&mut self, now_ms: f64, sighting: Observation) -> bool {
        match sighting {
            Observation::Reachable { incarnation: boot, applied_revision: holds } => {
                let anew = self.boot.is_some_and(|b| b != boot);
                self.restarts += u32::from(anew);
                (self.boot, self.applied_revision) = (Some(boot), holds);
                (self.last_seen_ms, self.lost) = (Some(now_ms), None);
                anew
            }
            Observation::Unreachable(why) => {
                // Since when it is lost stays; why is the latest reason.
                let since = self.lost.take().map_or(now_ms, |(since, _)| since);
                self.lost = Some((since, why));
                false
            }
        }
    }

    /// Its health, given the newest revision and how long one may be silent, ms.
    #[must_use]
    pub fn health(&self, now_ms: f64, newest: Revision, silent_most_ms: f64) -> Health {
        match (&self.lost, self.last_seen_ms) {
            (Some((_, why)), _) => Health::Unreachable { reason: why.clone() },
            (None, None) => Health::Unknown,
            // Danger: one that was heard once, taken for well ever after.
            (None, Some(heard)) if now_ms - heard > silent_most_ms => {
                Health::Unreachable { reason: format!("silent for {:.0} ms", now_ms - heard) }
            }
            (None, Some(_)) if self.applied_revision < newest => Health::Behind,
            (None, Some(_)) => Health::Ok,
        }
    }

    /// The newest revision that it was heard to hold.
    #[must_use]
    pub fn holds(&self) -> Revision {
        self.applied_revision
    }

    /// When it was last heard.
    #[must_use]
    pub fn heard_ms(&self) -> Option<f64> {
        self.last_seen_ms
    }

    /// Since when it is lost, if it is.
    #[must_use]
    pub fn unreachable_since_ms(&self) -> Option<f64> {
        self.lost.as_ref().map(|(since, _)| *since)
    }
}
