//! Requests in flight and their attempts.

use crate::interface::{BackendEndpoint, Request};

/// A request, from its arrival until its last attempt has ended.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    /// Maximum number of attempts, from the settings in force when the request arrived.
    pub(crate) max_attempts: u32,
    /// Units charged to the customer.
    pub(crate) charge: f64,
    /// If positive, units that this request's counter call reports on behalf of requests without a call. If
    /// negative, the part of this request's own charge that is not reported.
    pub(crate) extra_report: f64,
    /// Whether the request waits for the total of a counter call.
    pub(crate) awaits_total: bool,
    /// Whether an answer is being streamed to the client.
    pub(crate) streaming: bool,
    /// Whether the request has its final answer.
    pub(crate) answered: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl OpenRequest {
    pub(crate) fn has_pending_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.pending)
    }

    /// Returns the attempts that may have taken effect on a backend.
    pub(crate) fn attempts_that_may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_run)
    }

    /// Whether the process that an attempt reached at a backend may have ended.
    pub(crate) fn has_lost_process_of(&self, backend: u32) -> bool {
        self.attempts.iter().any(|attempt| attempt.backend == backend && attempt.process_lost)
    }

    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts_that_may_have_run().next().is_some()
    }
}

/// Numbers of attempts in flight at some moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlightCounts {
    /// This gateway's attempts at the selected backend.
    pub(crate) backend: f64,
    /// All of this gateway's attempts.
    pub(crate) gateway: f64,
}

/// One transmission of a request to a backend.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: u32,
    pub(crate) cell: Option<u32>,
    pub(crate) zone: Option<u32>,
    /// Version of the endpoint list when it was sent.
    pub(crate) list_version: u64,
    pub(crate) sent_at: f64,
    /// Time after sending at which the answer is overdue, ms.
    pub(crate) overdue_after_ms: f64,
    /// Attempts in flight when this one was sent.
    pub(crate) in_flight_at_send: InFlightCounts,
    pub(crate) pending: bool,
    pub(crate) overdue: bool,
    pub(crate) may_have_run: bool,
    /// Whether the process that it reached may have ended.
    pub(crate) process_lost: bool,
}

impl Attempt {
    pub(crate) fn new(
        to: &BackendEndpoint,
        list_version: u64,
        now: f64,
        overdue_after_ms: f64,
        in_flight_at_send: InFlightCounts,
    ) -> Self {
        Attempt {
            backend: to.id,
            cell: to.cell,
            zone: to.zone,
            list_version,
            sent_at: now,
            overdue_after_ms,
            in_flight_at_send,
            pending: true,
            overdue: false,
            process_lost: false,
            may_have_run: true,
        }
    }
}
