//! This process's part of a resource that all processes of its gateway use together.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Permits for connections, or bytes, of which a part may have to be left to other processes.
#[derive(Debug)]
pub struct Partition {
    resource: Arc<Semaphore>,
    /// All permits of the resource.
    total: usize,
    processes: usize,
    /// Permits that are left to the others.
    reserved: Vec<OwnedSemaphorePermit>,
}

impl Partition {
    /// All of a resource with so many permits.
    pub fn new(resource: Arc<Semaphore>, total: usize) -> Partition {
        Partition { resource, total, processes: 1, reserved: Vec::new() }
    }

    /// So many processes share it from now on.
    pub fn share(&mut self, processes: usize) {
        if processes < self.processes {
            self.reserved.clear();
        }
        self.processes = processes.max(1);
        self.settle();
    }

    /// Reserves as much of the others' part as is free by now; the rest follows when it is.
    pub fn settle(&mut self) {
        let reserved: usize = self.reserved.iter().map(OwnedSemaphorePermit::num_permits).sum();
        let due = (self.total - self.total / self.processes).saturating_sub(reserved);
        let now = due.min(self.resource.available_permits()) as u32;
        if now > 0 {
            self.reserved.extend(Arc::clone(&self.resource).try_acquire_many_owned(now).ok());
        }
    }
}
