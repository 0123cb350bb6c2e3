//! A log of a test's steps with their times and seed, to understand and reproduce a failure.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Rng;

/// A log of steps, and the seed from which their times and targets are drawn. Clones share the steps.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// Seed of the test.
    pub seed: u64,
    started: Instant,
    steps: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Timeline {
    /// Creates an empty timeline that starts now.
    #[must_use]
    pub fn new(seed: u64) -> Timeline {
        Timeline { seed, started: Instant::now(), steps: Arc::default() }
    }

    /// Returns a random number generator seeded with the timeline's seed.
    #[must_use]
    pub fn rng(&self) -> Rng {
        Rng::new(self.seed)
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records a step at the current time.
    pub fn note(&self, step: impl Into<String>) {
        let step = (self.now(), step.into());
        self.steps.lock().unwrap_or_else(PoisonError::into_inner).push(step);
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {:#x}", self.seed)?;
        let steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        steps.iter().try_for_each(|(at, step)| write!(f, "\n  {:>9.3} s  {step}", at.as_secs_f64()))
    }
}
