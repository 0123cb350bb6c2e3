//! Faults by a seed: the same seed gives the same faults at the same moments.

use std::fmt;
use std::time::Duration;

use tokio::time::sleep;

use crate::switch::{Fault, Switch};
use crate::Rng;

/// A fault of one stand-in for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the start of the script.
    pub at: Duration,
    /// The place of the stand-in.
    pub which: usize,
    /// What is wrong.
    pub fault: Fault,
    /// For how long.
    pub lasts: Duration,
}

/// Faults of some stand-ins, one after the other, so that never more than one is not well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// The faults, in their order.
    pub steps: Vec<Step>,
}

impl Script {
    /// Draws so many faults among `stand_ins`, each 200 to 700 ms long with 100 to 400 ms between.
    #[must_use]
    pub fn generate(seed: u64, stand_ins: usize, faults: usize) -> Script {
        let mut rng = Rng::new(seed);
        let mut at = Duration::ZERO;
        let mut steps = Vec::with_capacity(faults);
        for _ in 0..faults {
            at += Duration::from_millis(100 + rng.below(300));
            let lasts = Duration::from_millis(200 + rng.below(500));
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
            steps.push(Step { at, which: rng.below(stand_ins as u64) as usize, fault, lasts });
            at += lasts;
        }
        Script { seed, steps }
    }

    /// Plays the faults on the switches, and leaves all of them well.
    pub async fn play(&self, switches: &[Switch]) {
        let mut now = Duration::ZERO;
        for step in &self.steps {
            sleep(step.at.saturating_sub(now)).await;
            let Some(switch) = switches.get(step.which) else { continue };
            switch.set(step.fault);
            sleep(step.lasts).await;
            switch.set(Fault::None);
            now = step.at + step.lasts;
        }
    }
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {:#x}:", self.seed)?;
        self.steps.iter().try_for_each(|s| write!(f, " {:?}@{}", s.fault, s.which))
    }
}
