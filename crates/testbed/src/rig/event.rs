//! The simulation's events, ordered by time and, at equal times, by their scheduling.

use gateway_policy::interface::Outcome;

use super::fleet_events::FleetEvent;

#[derive(Debug)]
pub(super) enum SimulationEvent {
    /// The next request arrives.
    Arrival,
    /// An attempt, by index, reaches its backend.
    AttemptReached(usize),
    /// The work of an attempt is done.
    WorkDone(usize),
    /// An attempt's outcome reaches its gateway.
    OutcomeReported(usize, Outcome),
    /// A timer expires: gateway, its incarnation, token.
    Timer(u32, u32, u64),
    /// A probe ended: gateway, its incarnation, backend, success.
    ProbeEnded(u32, u32, u32, bool),
    /// A fault, by index, begins (true) or ends (false).
    FaultChanged(usize, bool),
    ColdBackendsStart,
    Fleet(FleetEvent),
}

pub(super) struct ScheduledEvent {
    pub at: f64,
    pub sequence: u64,
    pub event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}
