//! What was done to a fleet, and when, so that a failure can be read and played again.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Rng;

/// A record of what was done, and the seed that moments and targets are drawn from. Clones share it.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// The seed.
    pub seed: u64,
    started: Instant,
    steps: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Timeline {
    /// An empty one that begins now.
    #[must_use]
    pub fn new(seed: u64) -> Timeline {
        Timeline { seed, started: Instant::now(), steps: Arc::default() }
    }

    /// The source of chance for what is done, the same for the same seed.
    #[must_use]
    pub fn rng(&self) -> Rng {
        Rng::new(self.seed)
    }

    /// Time since it began.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes what is done now.
    pub fn note(&self, what: impl Into<String>) {
        let step = (self.now(), what.into());
        self.steps.lock().unwrap_or_else(PoisonError::into_inner).push(step);
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {:#x}", self.seed)?;
        let steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        steps.iter().try_for_each(|(at, what)| write!(f, "\n  {:>9.3} s  {what}", at.as_secs_f64()))
    }
}
