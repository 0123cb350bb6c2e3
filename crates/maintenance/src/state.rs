//! The maintenance state set by operators' commands.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::command::Command;

/// Maximum number of banned backends. Prevents a client that bans ever new names from exhausting the memory.
pub const MAX_BANS: usize = 4_096;
/// Maximum number of ended bans that are remembered. Another one displaces the oldest.
pub const MAX_REENABLED: usize = 4_096;

/// Bans of backends, the ends of earlier bans, and whether the gateway is drained.
///
/// The stored form depends on the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceState {
    /// Incremented with each change.
    revision: u64,
    /// By backend, start of its ban, Unix time in ms.
    bans: BTreeMap<String, f64>,
    /// By backend, end of its last ban, Unix time in ms.
    reenabled: BTreeMap<String, f64>,
    /// When the gateway was drained, Unix time in ms; `None` if it is not drained.
    drained_ms: Option<f64>,
}

/// The effect of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command changed the state.
    Changed,
    /// The command changed nothing: the requested state was already in force.
    AlreadyInForce,
}

/// Why a command was rejected. The state is unchanged.
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
    /// Executes a command at `now_ms`, Unix time; `is_listed` tells whether the backend that it names is
    /// on the endpoint list.
    ///
    /// Bans do not nest: one ENABLE ends a ban after any number of DISABLEs. A ban can be repeated or
    /// ended after its backend has left the list.
    ///
    /// # Errors
    /// Returns why the command was rejected; the state is unchanged.
    pub fn execute(
        &mut self,
        command: &Command,
        is_listed: bool,
        now_ms: f64,
    ) -> Result<CommandOutcome, CommandRejected> {
        let changed = match command {
            Command::Ready => false,
            Command::Drain => self.drain(now_ms),
            Command::Undrain => self.drained_ms.take().is_some(),
            Command::Disable(id) => self.ban(id, is_listed, now_ms)?,
            Command::Enable(id) => self.end_ban(id, is_listed, now_ms)?,
        };
        if !changed {
            return Ok(CommandOutcome::AlreadyInForce);
        }
        self.revision += 1;
        Ok(CommandOutcome::Changed)
    }

    fn drain(&mut self, now_ms: f64) -> bool {
        let changes = self.drained_ms.is_none();
        self.drained_ms.get_or_insert(now_ms);
        changes
    }

    fn ban(&mut self, id: &str, is_listed: bool, now_ms: f64) -> Result<bool, CommandRejected> {
        if self.bans.contains_key(id) {
            return Ok(false);
        }
        if !is_listed {
            return Err(CommandRejected::UnknownBackend);
        }
        if self.bans.len() >= MAX_BANS {
            return Err(CommandRejected::TooManyBans);
        }
        self.bans.insert(id.to_string(), now_ms);
        Ok(true)
    }

    fn end_ban(&mut self, id: &str, is_listed: bool, now_ms: f64) -> Result<bool, CommandRejected> {
        if self.bans.remove(id).is_some() {
            self.reenabled.insert(id.to_string(), now_ms);
            self.limit_reenabled();
            return Ok(true);
        }
        if is_listed {
            Ok(false)
        } else {
            Err(CommandRejected::UnknownBackend)
        }
    }

    fn limit_reenabled(&mut self) {
        while self.reenabled.len() > MAX_REENABLED {
            let oldest = self.reenabled.iter().min_by(|a, b| a.1.total_cmp(b.1));
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else { return };
            self.reenabled.remove(&oldest);
        }
    }

    /// Forgets bans that ended before `since_ms`, Unix time, because those backends have warmed up.
    pub fn forget_reenabled(&mut self, since_ms: f64) {
        self.reenabled.retain(|_, at_ms| *at_ms >= since_ms);
    }

    /// Returns whether this state is newer than one of the given revision.
    #[must_use]
    pub fn newer_than(&self, revision: u64) -> bool {
        self.revision > revision
    }

    /// Returns the revision, which is incremented with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the start of a backend's ban, Unix time in ms; `None` if it is not banned.
    #[must_use]
    pub fn banned_ms(&self, id: &str) -> Option<f64> {
        self.bans.get(id).copied()
    }

    /// Returns when the last ban of a backend ended, Unix time in ms; 0 if no end is known. The backend
    /// is assumed to have been restarted during the ban, so it warms up from then on.
    #[must_use]
    pub fn reenabled_ms(&self, id: &str) -> f64 {
        self.reenabled.get(id).copied().unwrap_or(0.0)
    }

    /// Returns when the gateway was drained, Unix time in ms; `None` if it is not drained.
    #[must_use]
    pub fn drained_ms(&self) -> Option<f64> {
        self.drained_ms
    }

    /// Returns the number of banned backends.
    #[must_use]
    pub fn bans(&self) -> usize {
        self.bans.len()
    }
}
