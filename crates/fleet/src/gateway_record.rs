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
        why: String,
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
pub enum Sighting {
    /// It answered: it runs under this boot id and holds the orders up to this revision.
    Heard {
        /// New with each start of its process.
        boot: u64,
        /// The newest revision that it holds.
        holds: Revision,
    },
    /// It could not be asked, or did not answer.
    Lost(String),
}

/// A gateway as the agent knows it.
#[derive(Clone, Debug, Default)]
pub struct Member {
    boot: Option<u64>,
    holds: Revision,
    heard_ms: Option<f64>,
    lost: Option<(f64, String)>,
    /// How often its process was seen to have started anew.
    pub restarts: u32,
}

impl Member {
    /// Takes a sighting in. Tells whether the process is another than before.
    pub fn saw(&mut self, now_ms: f64, sighting: Sighting) -> bool {
        match sighting {
            Sighting::Heard { boot, holds } => {
                let anew = self.boot.is_some_and(|b| b != boot);
                self.restarts += u32::from(anew);
                (self.boot, self.holds) = (Some(boot), holds);
                (self.heard_ms, self.lost) = (Some(now_ms), None);
                anew
            }
            Sighting::Lost(why) => {
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
        match (&self.lost, self.heard_ms) {
            (Some((_, why)), _) => Health::Unreachable { why: why.clone() },
            (None, None) => Health::Unknown,
            // Danger: one that was heard once, taken for well ever after.
            (None, Some(heard)) if now_ms - heard > silent_most_ms => {
                Health::Unreachable { why: format!("silent for {:.0} ms", now_ms - heard) }
            }
            (None, Some(_)) if self.holds < newest => Health::Behind,
            (None, Some(_)) => Health::Ok,
        }
    }

    /// The newest revision that it was heard to hold.
    #[must_use]
    pub fn holds(&self) -> Revision {
        self.holds
    }

    /// When it was last heard.
    #[must_use]
    pub fn heard_ms(&self) -> Option<f64> {
        self.heard_ms
    }

    /// Since when it is lost, if it is.
    #[must_use]
    pub fn lost_since_ms(&self) -> Option<f64> {
        self.lost.as_ref().map(|(since, _)| *since)
    }
}
