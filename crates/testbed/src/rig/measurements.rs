//! The report at the end of a simulation.

use std::collections::HashSet;

use super::backend::Backend;
use super::simulation::Simulation;
use super::{Chooser, Report};

impl Simulation<'_> {
    /// Computes the results that are not counted during the run.
    pub(super) fn report(mut self) -> Report {
        let (mut total_work, mut wasted) = (0.0, 0.0);
        for attempt in &self.attempts {
            let service_time = attempt.service_time_ms.unwrap_or(0.0);
            total_work += service_time;
            wasted += if attempt.served_client { 0.0 } else { service_time };
        }
        self.report.wasted = if total_work > 0.0 { wasted / total_work } else { 0.0 };
        for request in self.requests.values() {
            self.report.wrongly_answered += u64::from(request.answers != 1);
            // The ideal chooser may send a keyed request to several cells.
            if request.class == 1 && self.scenario.chooser != Chooser::Ideal {
                let ran = request
                    .attempts
                    .iter()
                    .map(|a| &self.attempts[*a])
                    .filter(|a| a.service_time_ms.is_some());
                let cells: HashSet<u32> = ran.map(|a| self.backends[a.backend as usize].cell).collect();
                self.report.repeated_across_cells += u64::from(cells.len() > 1);
            }
        }
        let work_of_warm: Vec<f64> =
            self.backends.iter().filter(|b| !b.had_fault && b.started <= 0.0).map(|b| b.work_sent).collect();
        self.report.calls = self.discovery_calls.counts();
        let mean = work_of_warm.iter().sum::<f64>() / work_of_warm.len().max(1) as f64;
        let variance =
            work_of_warm.iter().map(|w| (w - mean).powi(2)).sum::<f64>() / work_of_warm.len().max(1) as f64;
        self.report.spread =
            (work_of_warm.iter().fold(0.0, |a: f64, b| a.max(*b)) / mean, variance.sqrt() / mean);
        let cold: Vec<&Backend> = self.backends.iter().filter(|b| b.started > 0.0).collect();
        for (max_use, notified_use) in cold.iter().map(|b| b.max_slow_start_use()) {
            self.report.max_slow_start_use = self.report.max_slow_start_use.max(max_use);
            self.report.max_notified_slow_start_use =
                self.report.max_notified_slow_start_use.max(notified_use);
        }
        let time_fraction =
            |b: &Backend| 1.0 - (self.elapsed(b.started) / self.scenario.duration_ms).min(0.999);
        let min_work = cold.iter().map(|b| b.work_sent / (mean * time_fraction(b))).fold(f64::MAX, f64::min);
        self.report.min_slow_start_work = if cold.is_empty() { 0.0 } else { min_work };
        self.report
    }
}
