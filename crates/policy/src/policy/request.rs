//! Requests that are in flight, and their attempts.

use crate::interface::{BackendEndpoint, Request};

/// A request from its arrival until its last attempt has ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// Attempts that it may have, by the settings it came under.
    pub(crate) max_attempts: u32,
    /// Units charged to its customer.
    pub(crate) charge: f64,
    /// Units that its counter call reports for requests without a call; below 0, those of its own charge
    /// that nobody reports.
    pub(crate) extra_report: f64,
    /// It waits for the total of a counter call.
    pub(crate) awaits_total: bool,
    /// An answer is on its way to the client.
    pub(crate) streaming: bool,
    /// It has its final answer.
    pub(crate) answered: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl OpenRequest {
    pub(crate) fn has_pending_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.pending)
    }

    /// Attempts that may have had their effect.
    pub(crate) fn attempts_that_may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_run)
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts_that_may_have_run().next().is_some()
    }
}

/// Attempts in flight at a moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightCounts {
    /// Those at the backend that was chosen.
    pub(crate) backend: f64,
    /// All of this gateway's.
    pub(crate) gateway: f64,
}

/// One send of a request to a backend.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: u32,
    pub(crate) cell: u32,
    pub(crate) zone: u32,
    pub(crate) sent_at: f64,
    /// Time after which its answer is overdue, ms.
    pub(crate) overdue_after_ms: f64,
    /// What was in flight when it was sent.
    pub(crate) in_flight_at_send: InFlightCounts,
    pub(crate) pending: bool,
    pub(crate) overdue: bool,
    pub(crate) may_have_run: bool,
}

impl Attempt {
    pub(crate) fn new(
        to: &BackendEndpoint,
        now: f64,
        overdue_after_ms: f64,
        in_flight_at_send: InFlightCounts,
    ) -> Self {
        Attempt {
            backend: to.id,
            cell: to.cell,
            zone: to.zone,
            sent_at: now,
            overdue_after_ms,
            in_flight_at_send,
            pending: true,
            overdue: false,
            may_have_run: true,
        }
    }
}
