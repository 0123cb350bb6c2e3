//! This process's part of what all processes of its gateway may take together.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Places, or bytes, of which a part may have to be left to others.
#[derive(Debug)]
pub struct Part {
    of: Arc<Semaphore>,
    most: usize,
    processes: usize,
    left: Vec<OwnedSemaphorePermit>,
}

impl Part {
    /// All of what there is, `most`.
    pub fn new(of: Arc<Semaphore>, most: usize) -> Part {
        Part { of, most, processes: 1, left: Vec::new() }
    }

    /// So many processes share it from now on.
    pub fn share(&mut self, processes: usize) {
        if processes < self.processes {
            self.left.clear();
        }
        self.processes = processes.max(1);
        self.settle();
    }

    /// Leaves as much of the others' part as is free by now; the rest follows when it is.
    pub fn settle(&mut self) {
        let left: usize = self.left.iter().map(OwnedSemaphorePermit::num_permits).sum();
        let due = (self.most - self.most / self.processes).saturating_sub(left);
        let now = due.min(self.of.available_permits()) as u32;
        if now > 0 {
            self.left.extend(Arc::clone(&self.of).try_acquire_many_owned(now).ok());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_part_is_left_as_it_falls_free_and_taken_back() {
        let of = Arc::new(Semaphore::new(10));
        let mut part = Part::new(Arc::clone(&of), 10);
        let used = Arc::clone(&of).try_acquire_many_owned(8).expect("free");
        part.share(2);
        assert_eq!(of.available_permits(), 0, "two are left, three are owed");
        drop(used);
        part.settle();
        assert_eq!(of.available_permits(), 5);
        part.settle();
        assert_eq!(of.available_permits(), 5);
        part.share(3);
        assert_eq!(of.available_permits(), 3);
        part.share(1);
        assert_eq!(of.available_permits(), 10);
    }
}
