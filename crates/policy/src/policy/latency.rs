//! Expected latency of requests on an idle backend.

use super::ratio::DecayedRatio;
use crate::interface::{Class, Settings};

/// Fraction of a backend's latency statistics that is kept with each further answer.
pub(crate) const BACKEND_DECAY: f64 = 0.9;
/// Like [`BACKEND_DECAY`], for the statistics of the fleet.
pub(crate) const FLEET_DECAY: f64 = 0.98;
/// Like [`BACKEND_DECAY`], for the statistics of a class.
const CLASS_DECAY: f64 = 0.998;
/// Latency assumed for a mean request before any answer, as a fraction of the latency objective.
pub(crate) const ASSUMED_LATENCY_FRACTION: f64 = 0.125;
/// Weight of a class's assumed latency, in answers, so that a flood of requests at the start is recognised as
/// slowness.
pub(crate) const ASSUMED_LATENCY_ANSWERS: f64 = 20.0;

/// Returns the latency assumed for a mean request of a class on an idle backend before any answer, ms.
fn assumed_work_ms(class: &Class) -> f64 {
    class.latency_objective_ms * ASSUMED_LATENCY_FRACTION
}

/// Latency statistics of a class.
#[derive(Clone, Copy, Debug)]
struct ClassLatency {
    /// Latency divided by the fleet's slowness, over the relative size of the requests.
    latency: DecayedRatio,
    /// Mean expected latency of recent requests on an idle backend, ms.
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

/// An answer as input to the estimates.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnsweredWork {
    pub(crate) class: usize,
    pub(crate) units: f64,
    pub(crate) latency_ms: f64,
    /// Expected latency on an idle backend, ms.
    pub(crate) work_ms: f64,
}

/// Expected latency on an idle backend by class and units. This latency, in ms, is called work.
#[derive(Debug)]
pub(crate) struct LatencyEstimates {
    classes: Vec<ClassLatency>,
    /// Mean units of recent requests.
    units: DecayedRatio,
}

impl LatencyEstimates {
    pub(crate) fn new(classes: &[Class]) -> LatencyEstimates {
        let classes = classes.iter().map(ClassLatency::assumed).collect();
        LatencyEstimates { classes, units: DecayedRatio::default() }
    }

    /// Changes from the classes of the `old` settings to those of the `new` ones. A class that changed
    /// inherits the estimates of the class of the same name, whose index in the old settings is given by
    /// `old_index`.
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

    /// Returns the units of a mean request.
    pub(crate) fn mean_units(&self) -> f64 {
        self.units.value_or(1.0)
    }

    /// Returns the expected latency of a request on an idle backend, ms.
    pub(crate) fn work_ms(&self, class: usize, units: f64) -> f64 {
        let latency = self.classes[class].latency.value_or(0.0);
        (latency * self.relative_size(units)).max(f64::MIN_POSITIVE)
    }

    /// Returns units as a multiple of those of a mean request.
    fn relative_size(&self, units: f64) -> f64 {
        units.max(1.0) / self.mean_units().max(1.0)
    }

    /// Records an answer, given the current slowness of the fleet. Dividing the latency by the slowness keeps
    /// the scale of the classes stable on average, whatever the load. If raw latencies were recorded, the
    /// expected latency would follow the load, and the slowness, which is measured relative to it, would
    /// shrink.
    pub(crate) fn record_answer(&mut self, answer: &AnsweredWork, slowness: f64) {
        let relative_size = self.relative_size(answer.units);
        let class = &mut self.classes[answer.class];
        class.latency.add(answer.latency_ms / slowness, relative_size, CLASS_DECAY);
        class.mean_work_ms += (1.0 - FLEET_DECAY) * (answer.work_ms - class.mean_work_ms);
    }

    /// Returns the smallest latency objective of all classes, as a multiple of the work of its class. Retired
    /// classes do not count.
    pub(crate) fn tightest_objective(&self, classes: &[Class]) -> f64 {
        let in_use = classes.iter().zip(&self.classes).filter(|(class, _)| !class.retired);
        in_use.map(|(class, known)| class.latency_objective_ms / known.mean_work_ms).fold(f64::MAX, f64::min)
    }
}

/// Returns the latency assumed for a mean request of the first class before any answer, ms. It is the initial
/// value for the whole fleet.
pub(crate) fn assumed_fleet_work_ms(classes: &[Class]) -> f64 {
    assumed_work_ms(&classes[0])
}

/// Maxima over all classes, ms.
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
