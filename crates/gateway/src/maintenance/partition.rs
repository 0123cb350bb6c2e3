//! This process's share of a resource that all processes of a gateway use together.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A limited resource (permits for connections or for bytes of memory), of which a part may be reserved
/// for other processes.
#[derive(Debug)]
pub struct Partition {
    resource: Arc<Semaphore>,
    /// Number of permits of the whole resource.
    total: usize,
    /// Number of processes that share the resource, including this one.
    processes: usize,
    /// Permits withheld from this process for the others.
    reserved: Vec<OwnedSemaphorePermit>,
}

impl Partition {
    /// Creates a partition with all `total` permits of a resource.
    pub fn new(resource: Arc<Semaphore>, total: usize) -> Partition {
        Partition { resource, total, processes: 1, reserved: Vec::new() }
    }

    /// Sets the number of processes that share the resource, including this one.
    pub fn set_process_count(&mut self, processes: usize) {
        if processes < self.processes {
            self.reserved.clear();
        }
        self.processes = processes.max(1);
        self.reserve();
    }

    /// Reserves those of the other processes' permits that are free now. Must be called repeatedly until the
    /// rest are free as well.
    pub fn reserve(&mut self) {
        let reserved: usize = self.reserved.iter().map(OwnedSemaphorePermit::num_permits).sum();
        let missing = (self.total - self.total / self.processes).saturating_sub(reserved);
        let count = missing.min(self.resource.available_permits()) as u32;
        if count > 0 {
            self.reserved.extend(Arc::clone(&self.resource).try_acquire_many_owned(count).ok());
        }
    }
}
