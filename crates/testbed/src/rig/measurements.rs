//! The report at the end of a simulation.

use std::collections::HashSet;

use super::backend::Backend;
use super::simulation::Simulation;
use super::{Chooser, Report};

impl Simulation<'_> {
    pub(super) fn close(mut self) -> Report {
        let (mut all, mut wasted) = (0.0, 0.0);
        for attempt in &self.attempts {
            let takes = attempt.service_time_ms.unwrap_or(0.0);
            all += takes;
            wasted += if attempt.served_client { 0.0 } else { takes };
        }
        self.report.wasted = if all > 0.0 { wasted / all } else { 0.0 };
        for request in self.requests.values() {
            self.report.wrongly_answered += u64::from(request.answers != 1);
            // The ideal one is held to no rule but to answer once.
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
        let well: Vec<f64> =
            self.backends.iter().filter(|b| !b.had_fault && b.started <= 0.0).map(|b| b.work_sent).collect();
        self.report.calls = self.discovery_calls.counts();
        let mean = well.iter().sum::<f64>() / well.len().max(1) as f64;
        let off = well.iter().map(|w| (w - mean).powi(2)).sum::<f64>() / well.len().max(1) as f64;
        self.report.spread = (well.iter().fold(0.0, |a: f64, b| a.max(*b)) / mean, off.sqrt() / mean);
        let cold: Vec<&Backend> = self.backends.iter().filter(|b| b.started > 0.0).collect();
        for (most, told) in cold.iter().map(|b| b.max_slow_start_use()) {
            self.report.max_slow_start_use = self.report.max_slow_start_use.max(most);
            self.report.max_notified_slow_start_use = self.report.max_notified_slow_start_use.max(told);
        }
        let part = |b: &Backend| 1.0 - (self.elapsed(b.started) / self.scenario.duration_ms).min(0.999);
        let least = cold.iter().map(|b| b.work_sent / (mean * part(b))).fold(f64::MAX, f64::min);
        self.report.min_slow_start_work = if cold.is_empty() { 0.0 } else { least };
        self.report
    }
}
