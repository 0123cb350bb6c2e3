//! Life cycle stage of this process, and the number of other running processes of its gateway.

use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;

/// Life cycle stage of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not accepting clients yet.
    Starting,
    /// Accepting clients.
    Serving,
    /// Shutting down after SIGTERM.
    ShuttingDown,
}

/// Status of this process and count of the others of its gateway, shared by the controller and the shutdown.
/// Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct ProcessStatus {
    stage: Arc<AtomicU8>,
    other_processes: Arc<AtomicUsize>,
}

impl ProcessStatus {
    const SERVING: u8 = 1;
    const SHUTTING_DOWN: u8 = 2;

    /// Records that the process now accepts clients.
    pub fn set_serving(&self) {
        self.stage.store(ProcessStatus::SERVING, Ordering::Relaxed);
    }

    /// Records that the shutdown of the process has begun.
    pub fn set_shutting_down(&self) {
        self.stage.store(ProcessStatus::SHUTTING_DOWN, Ordering::Relaxed);
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Relaxed) {
            ProcessStatus::SERVING => Stage::Serving,
            ProcessStatus::SHUTTING_DOWN => Stage::ShuttingDown,
            _ => Stage::Starting,
        }
    }

    /// Returns the last known number of other running processes of this gateway.
    pub fn other_processes(&self) -> usize {
        self.other_processes.load(Ordering::Relaxed)
    }

    /// Sets the number of other running processes; returns whether it has changed.
    pub fn set_other_processes(&self, count: usize) -> bool {
        self.other_processes.swap(count, Ordering::Relaxed) != count
    }
}
