//! What requests are expected to take on an idle backend.

use super::ratio::DecayedRatio;
use crate::interface::{Class, Settings};

/// Part of a backend's latency figures that each further answer leaves.
pub(crate) const BACKEND_DECAY: f64 = 0.9;
/// The same of the whole fleet's.
pub(crate) const FLEET_DECAY: f64 = 0.98;
/// The same of a class's.
const CLASS_DECAY: f64 = 0.998;
/// Latency of a mean request before any was seen, as a part of the latency objective.
pub(crate) const ASSUMED_LATENCY_FRACTION: f64 = 0.125;
/// Answers that the assumed latency of a class counts for, so that a flood at the start shows as slowness.
pub(crate) const ASSUMED_LATENCY_ANSWERS: f64 = 20.0;

/// Latency of a mean request of a class on an idle backend before any was seen, ms.
fn assumed_work_ms(class: &Class) -> f64 {
    class.latency_objective_ms * ASSUMED_LATENCY_FRACTION
}

/// What is known of a class.
#[derive(Clone, Copy, Debug)]
struct ClassLatency {
    /// Latency, freed of the fleet's slowness, over the relative size of the requests.
    latency: DecayedRatio,
    /// Expected latency of its requests of late, ms.
    mean_work_ms: f64,
}

impl ClassLatency {
    fn assumed(class: &Class) -> ClassLatency {
        let assumed_ms = assumed_work_ms(class);
        let latency = DecayedRatio {
            observed: assumed_ms * ASSUMED_LATENCY_ANSWERS,
            expected: ASSUMED_LATENCY_ANSWERS,
        };
        ClassLatency { latency, mean_work_ms: assumed_ms }
    }
}

/// An answer, as the estimates learn from it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredWork {
    pub(crate) class: usize,
    pub(crate) units: f64,
    pub(crate) latency_ms: f64,
    /// What was expected of it on an idle backend.
    pub(crate) work_ms: f64,
}

/// Expected latency on an idle backend, by class and units. "Work" is this latency, in ms.
#[derive(Debug)]
pub(crate) struct LatencyEstimates {
    classes: Vec<ClassLatency>,
    /// Units of the requests that came.
    units: DecayedRatio,
}

impl LatencyEstimates {
    pub(crate) fn new(classes: &[Class]) -> LatencyEstimates {
        let classes = classes.iter().map(ClassLatency::assumed).collect();
        LatencyEstimates { classes, units: DecayedRatio::default() }
    }

    /// Changes from the classes of `old` settings to those of `new` ones. What was learned of a class that
    /// changed goes with its name, whose earlier place `place_before` gives.
    pub(crate) fn change_classes(
        &mut self,
        old: &[Class],
        new: &[Class],
        old_index: impl Fn(usize) -> Option<usize>,
    ) {
        for (index, class) in new.iter().enumerate() {
            if old.get(index).is_some_and(|old| old.same_rules(class)) {
                continue;
            }
            let latency = match old_index(index).filter(|i| *i < old.len()) {
                Some(old_index) => self.classes[old_index],
                None => ClassLatency::assumed(class),
            };
            if index < self.classes.len() {
                self.classes[index] = latency;
            } else {
                self.classes.push(latency);
            }
        }
    }

    /// Records the units of a request that arrived.
    pub(crate) fn request_received(&mut self, units: f64) {
        self.units.add(units.max(1.0), 1.0, FLEET_DECAY);
    }

    /// Units of a mean request.
    pub(crate) fn mean_units(&self) -> f64 {
        self.units.value_or(1.0)
    }

    /// Expected latency on an idle backend, ms.
    pub(crate) fn work_ms(&self, class: usize, units: f64) -> f64 {
        let latency = self.classes[class].latency.value_or(0.0);
        (latency * self.relative_size(units)).max(f64::MIN_POSITIVE)
    }

    /// Units against those of a mean request.
    fn relative_size(&self, units: f64) -> f64 {
        units.max(1.0) / self.mean_units().max(1.0)
    }

    /// Learns from an answer, while the fleet is as slow as `slowness` says. Learned against the present
    /// slowness, classes keep their scale on the whole, whatever the load; learned from the latency as it
    /// is, the yardstick would shrink by its own use.
    pub(crate) fn record_answer(&mut self, answer: &AnsweredWork, slowness: f64) {
        let relative_size = self.relative_size(answer.units);
        let class = &mut self.classes[answer.class];
        class.latency.add(answer.latency_ms / slowness, relative_size, CLASS_DECAY);
        class.mean_work_ms += (1.0 - FLEET_DECAY) * (answer.work_ms - class.mean_work_ms);
    }

    /// The least of the classes' latency objectives, as a multiple of their work. Classes that were dropped
    /// do not count.
    pub(crate) fn tightest_objective(&self, classes: &[Class]) -> f64 {
        let in_use = classes.iter().zip(&self.classes).filter(|(class, _)| !class.retired);
        in_use.map(|(class, known)| class.latency_objective_ms / known.mean_work_ms).fold(f64::MAX, f64::min)
    }
}

/// Latency of a mean request of the first class before any was seen, ms: it stands for the fleet's at
/// first.
pub(crate) fn assumed_fleet_work_ms(classes: &[Class]) -> f64 {
    assumed_work_ms(&classes[0])
}

/// The longest times of all classes, ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LongestTimes {
    pub(crate) objective_ms: f64,
    pub(crate) deadline_ms: f64,
}

impl LongestTimes {
    pub(crate) fn from_settings(settings: &Settings) -> LongestTimes {
        let longest = |time: fn(&Class) -> f64| settings.classes.iter().map(time).fold(1.0, f64::max);
        LongestTimes {
            objective_ms: longest(|c| c.latency_objective_ms),
            deadline_ms: longest(|c| c.deadline_ms),
        }
    }
}
