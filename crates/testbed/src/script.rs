//! Fault scripts drawn from a seed: the same seed gives the same faults at the same times.

use std::fmt;
use std::time::Duration;

use tokio::time::sleep;

use crate::switch::{Fault, Switch};
use crate::Rng;

/// A fault of one stand-in for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time of its beginning since the script's start.
    pub at: Duration,
    /// Index of the stand-in.
    pub stand_in: usize,
    /// The fault.
    pub fault: Fault,
    /// How long it lasts.
    pub duration: Duration,
}

/// Faults of several stand-ins, one after another: at most one stand-in has a fault at any time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    /// The seed that the faults were drawn from.
    pub seed: u64,
    /// The faults in order of time.
    pub steps: Vec<Step>,
}

impl Script {
    /// Draws this many faults over `stand_ins` stand-ins, each 200 to 700 ms long with pauses of 100 to 400
    /// ms.
    #[must_use]
    pub fn generate(seed: u64, stand_ins: usize, faults: usize) -> Script {
        let mut rng = Rng::new(seed);
        let mut at = Duration::ZERO;
        let mut steps = Vec::with_capacity(faults);
        for _ in 0..faults {
            at += Duration::from_millis(100 + rng.below(300));
            let duration = Duration::from_millis(200 + rng.below(500));
            let kinds = [
                Fault::Slow(Duration::from_millis(50 + rng.below(200))),
                Fault::Silent,
                Fault::Refusing,
                Fault::Resetting,
                Fault::Failing,
                Fault::Busy,
                Fault::Garbled,
            ];
            let fault = kinds[rng.below(kinds.len() as u64) as usize];
            steps.push(Step { at, stand_in: rng.below(stand_ins as u64) as usize, fault, duration });
            at += duration;
        }
        Script { seed, steps }
    }

    /// Applies the faults to the switches in real time, and leaves no fault set.
    pub async fn play(&self, switches: &[Switch]) {
        let mut now = Duration::ZERO;
        for step in &self.steps {
            sleep(step.at.saturating_sub(now)).await;
            let Some(switch) = switches.get(step.stand_in) else { continue };
            switch.set(step.fault);
            sleep(step.duration).await;
            switch.set(Fault::None);
            now = step.at + step.duration;
        }
    }
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {:#x}:", self.seed)?;
        self.steps.iter().try_for_each(|s| write!(f, " {:?}@{}", s.fault, s.stand_in))
    }
}
