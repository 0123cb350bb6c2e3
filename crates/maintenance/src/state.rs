//! What operators' calls leave in force.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::command::Call;

/// The most backends that are banned at once.
pub const MAX_BANS: usize = 4_096;
/// The most returns that are remembered. Of more the oldest is forgotten.
pub const MAX_REENABLED: usize = 4_096;

/// Bans of backends, their returns, and whether the gateway is drained.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Book {
    /// Grows with each change.
    revision: u64,
    /// When each was banned, Unix time in ms.
    bans: BTreeMap<String, f64>,
    /// When each was given back, Unix time in ms.
    returns: BTreeMap<String, f64>,
    /// Since when the gateway is drained, Unix time in ms.
    drained_ms: Option<f64>,
}

/// A call that was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// The book has changed.
    Changed,
    /// What is asked for held already.
    Held,
}

/// A call that is turned down. Nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// No backend has this id.
    Unknown,
    /// [`MAX_BANS`] backends are banned already.
    TooMany,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Unknown => f.write_str("no backend has this id"),
            Refused::TooMany => write!(f, "{MAX_BANS} backends are banned already"),
        }
    }
}

impl std::error::Error for Refused {}

impl Book {
    /// Carries a call out at `now_ms`, Unix time; `listed` says whether the backend that it names is on the
    /// list. Bans are no count: two need one call back.
    ///
    /// A ban may be repeated or taken back after its backend has left the list: whoever set it is owed that.
    ///
    /// # Errors
    /// [`Refused`], with nothing changed.
    pub fn carry_out(&mut self, call: &Call, listed: bool, now_ms: f64) -> Result<Done, Refused> {
        let changed = match call {
            Call::Ready => false,
            Call::Drain => {
                let was = self.drained_ms.is_some();
                self.drained_ms.get_or_insert(now_ms);
                !was
            }
            Call::Undrain => self.drained_ms.take().is_some(),
            Call::Disable(id) if self.bans.contains_key(id) => false,
            Call::Disable(_) if !listed => return Err(Refused::Unknown),
            // Danger: bans for ever new names that fill the memory.
            Call::Disable(_) if self.bans.len() >= MAX_BANS => return Err(Refused::TooMany),
            Call::Disable(id) => {
                self.bans.insert(id.clone(), now_ms);
                true
            }
            Call::Enable(id) if self.bans.remove(id).is_some() => {
                self.returns.insert(id.clone(), now_ms);
                self.bound();
                true
            }
            Call::Enable(_) if !listed => return Err(Refused::Unknown),
            Call::Enable(_) => false,
        };
        self.revision += u64::from(changed);
        Ok(if changed { Done::Changed } else { Done::Held })
    }

    fn bound(&mut self) {
        while self.returns.len() > MAX_REENABLED {
            let oldest = self.returns.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(id, _)| id.clone());
            let Some(oldest) = oldest else { return };
            self.returns.remove(&oldest);
        }
    }

    /// Forgets returns from before `since_ms`: those backends are warm. Harm: none but the room they took.
    pub fn forget_returns(&mut self, since_ms: f64) {
        self.returns.retain(|_, at| *at >= since_ms);
    }

    /// Whether this book may take the place of one of `revision`.
    #[must_use]
    pub fn newer_than(&self, revision: u64) -> bool {
        self.revision > revision
    }

    /// Grows with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Since when a backend is banned, Unix time in ms.
    #[must_use]
    pub fn banned_ms(&self, id: &str) -> Option<f64> {
        self.bans.get(id).copied()
    }

    /// When a backend was last given back, Unix time in ms; 0 for never. It counts as started then, as it was
    /// restarted in between.
    #[must_use]
    pub fn returned_ms(&self, id: &str) -> f64 {
        self.returns.get(id).copied().unwrap_or(0.0)
    }

    /// Since when the gateway is drained, Unix time in ms.
    #[must_use]
    pub fn drained_ms(&self) -> Option<f64> {
        self.drained_ms
    }

    /// How many backends are banned.
    #[must_use]
    pub fn bans(&self) -> usize {
        self.bans.len()
    }
}
