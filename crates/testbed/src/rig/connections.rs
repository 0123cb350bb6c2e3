//! Connections between gateways and backends, for scenarios in which they have costs and limits.

use gateway_policy::interface::Outcome;

use super::event::SimulationEvent;
use super::fleet_events::FleetEvent;
use super::simulation::Simulation;

impl Simulation<'_> {
    /// Takes an idle connection to a backend; returns the backend's incarnation, or `None` without one.
    pub(super) fn take_idle_connection(&mut self, g: u32, backend: u32) -> Option<u32> {
        let incarnation = self.backends[backend as usize].incarnation;
        self.scenario.connections?;
        self.nodes.get_mut(g as usize)?.take_idle(backend, incarnation).then_some(incarnation)
    }

    /// Opens a connection to a running backend; returns its incarnation, or `None` at its connection limit.
    pub(super) fn open_connection(&mut self, backend: u32) -> Option<u32> {
        // The ideal chooser has no gateways, and so no connections.
        let Some(connections) = self.scenario.connections.filter(|_| !self.nodes.is_empty()) else {
            return Some(0);
        };
        let b = &mut self.backends[backend as usize];
        if b.connected >= connections.max_per_backend {
            self.report.connects.1 += 1;
            return None;
        }
        b.connected += 1;
        self.report.connects.0 += 1;
        self.report.peak_connections = self.report.peak_connections.max(b.connected);
        Some(b.incarnation)
    }

    pub(super) fn close_connection(&mut self, backend: u32, incarnation: u32) {
        let b = &mut self.backends[backend as usize];
        if self.scenario.connections.is_some() && !self.nodes.is_empty() && b.incarnation == incarnation {
            b.connected -= 1;
        }
    }

    /// Returns an attempt's connection to the idle ones, or closes it if it carried no answer.
    pub(super) fn release_connection(&mut self, index: usize, g: u32, outcome: Outcome) {
        let Some(connections) = self.scenario.connections else { return };
        let attempt = &mut self.attempts[index];
        let (backend, Some(incarnation)) = (attempt.backend, attempt.connection.take()) else { return };
        let answered = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let Some(node) = self.nodes.get_mut(g as usize).filter(|_| answered) else {
            return self.close_connection(backend, incarnation);
        };
        node.put_idle(self.now, backend, incarnation);
        let (incarnation, since) = (node.incarnation, self.now);
        self.schedule(
            connections.idle_ms,
            SimulationEvent::Fleet(FleetEvent::CloseIdle(g, incarnation, backend, since)),
        );
    }
}
