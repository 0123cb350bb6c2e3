//! What operators' calls leave in force.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::command::Command;

/// The most backends that are banned at once.
pub const MAX_BANS: usize = 4_096;
/// The most returns that are remembered. Of more the oldest is forgotten.
pub const MAX_REENABLED: usize = 4_096;

/// Bans of backends, their returns, and whether the gateway is drained.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceState {
    /// Grows with each change.
    revision: u64,
    /// When each was banned, Unix time in ms.
    ban_count: BTreeMap<String, f64>,
    /// When each was given back, Unix time in ms.
    returns: BTreeMap<String, f64>,
    /// Since when the gateway is drained, Unix time in ms.
    drained_ms: Option<f64>,
}

/// A call that was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The book has changed.
    Changed,
    /// What is asked for held already.
    AlreadyInForce,
}

/// A call that is turned down. Nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandRejected {
    /// No backend has this id.
    UnknownBackend,
    /// [`MAX_BANS`] backends are banned already.
    TooManyBans,
}

impl fmt::Display for CommandRejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandRejected::UnknownBackend => f.write_str("no backend has this id"),
            CommandRejected::TooManyBans => write!(f, "{MAX_BANS} backends are banned already"),
        }
    }
}

impl std::error::Error for CommandRejected {}

impl MaintenanceState {
    /// Carries a call out at `now_ms`, Unix time; `listed` says whether the backend that it names is on the
    /// list. Bans are no count: two need one call back.
    ///
    /// A ban may be repeated or taken back after its backend has left the list: whoever set it is owed that.
    ///
    /// # Errors
    /// [`Refused`], with nothing changed.
    pub fn execute(
        &mut self,
        call: &Command,
        listed: bool,
        now_ms: f64,
    ) -> Result<CommandOutcome, CommandRejected> {
        let changed = match call {
            Command::Ready => false,
            Command::Drain => {
                let was = self.drained_ms.is_some();
                self.drained_ms.get_or_insert(now_ms);
                !was
            }
            Command::Undrain => self.drained_ms.take().is_some(),
            Command::Disable(id) if self.ban_count.contains_key(id) => false,
            Command::Disable(_) if !listed => return Err(CommandRejected::UnknownBackend),
            // Danger: bans for ever new names that fill the memory.
            Command::Disable(_) if self.ban_count.len() >= MAX_BANS => {
                return Err(CommandRejected::TooManyBans)
            }
            Command::Disable(id) => {
                self.ban_count.insert(id.clone(), now_ms);
                true
            }
            Command::Enable(id) if self.ban_count.remove(id).is_some() => {
                self.returns.insert(id.clone(), now_ms);
                self.bound();
                true
            }
            Command::Enable(_) if !listed => return Err(CommandRejected::UnknownBackend),
            Command::Enable(_) => false,
        };
        self.revision += u64::from(changed);
        Ok(if changed { CommandOutcome::Changed } else { CommandOutcome::AlreadyInForce })
    }

    fn bound(&mut self) {
        while self.returns.len() > MAX_REENABLED {
            let oldest = self.returns.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(id, _)| id.clone());
            let Some(oldest) = oldest else { return };
            self.returns.remove(&oldest);
        }
    }

    /// Forgets returns from before `since_ms`: those backends are warm. Harm: none but the room they took.
    pub fn forget_reenabled(&mut self, since_ms: f64) {
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
        self.ban_count.get(id).copied()
    }

    /// When a backend was last given back, Unix time in ms; 0 for never. It counts as started then, as it was
    /// restarted in between.
    #[must_use]
    pub fn reenabled_ms(&self, id: &str) -> f64 {
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
        self.ban_count.len()
    }
}
