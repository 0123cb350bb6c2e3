//! How far this process is, and how many others of its gateway live.

use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::Arc;

/// How far a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It does not accept clients yet.
    Starting,
    /// It accepts clients.
    Serving,
    /// It was told to end.
    ShuttingDown,
}

/// What the controller and the shutdown know of this process and the others of its gateway. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ProcessStatus {
    stage: Arc<AtomicU8>,
    other_processes: Arc<AtomicUsize>,
}

impl ProcessStatus {
    const SERVING: u8 = 1;
    const SHUTTING_DOWN: u8 = 2;

    /// The process accepts clients from now on.
    pub fn set_serving(&self) {
        self.stage.store(ProcessStatus::SERVING, Ordering::Relaxed);
    }

    /// The process was told to end.
    pub fn set_shutting_down(&self) {
        self.stage.store(ProcessStatus::SHUTTING_DOWN, Ordering::Relaxed);
    }

    /// How far the process is.
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Relaxed) {
            ProcessStatus::SERVING => Stage::Serving,
            ProcessStatus::SHUTTING_DOWN => Stage::ShuttingDown,
            _ => Stage::Starting,
        }
    }

    /// Other processes of this gateway that live, as far as is known.
    pub fn other_processes(&self) -> usize {
        self.other_processes.load(Ordering::Relaxed)
    }

    /// Notes how many live; tells whether that is another number than before.
    pub fn set_other_processes(&self, count: usize) -> bool {
        self.other_processes.swap(count, Ordering::Relaxed) != count
    }
}
