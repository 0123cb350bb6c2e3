//! Whether a request may be attempted again, or rejected, without the risk that it runs twice.
//!
//! No other module decides this. A rejection promises that nothing ran, so it is safe only where another
//! attempt would be safe.

use super::backend::Backend;
use super::request::{Attempt, OpenRequest};
use super::Policy;
use crate::interface::{Class, DeduplicationScope, Idempotency};

impl Policy {
    fn class_of(&self, open: &OpenRequest) -> &Class {
        &self.settings.classes[open.request.class]
    }

    /// Returns whether a request may be rejected.
    pub(super) fn may_reject(&self, open: &OpenRequest) -> bool {
        let class = self.class_of(open);
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !open.may_have_run(),
            Idempotency::Keyed => {
                class.deduplication_scope == DeduplicationScope::All || !open.may_have_run()
            }
        }
    }

    /// Returns whether an attempt of a request may be sent to a backend.
    pub(super) fn may_attempt(&self, open: &OpenRequest, to: &Backend, now: f64) -> bool {
        self.has_attempt_left(open) && self.is_repeat_safe(open, to, now)
    }

    fn has_attempt_left(&self, open: &OpenRequest) -> bool {
        let exhausted = open.attempts.len() >= open.max_attempts as usize;
        let hedge_forbidden = open.has_pending_attempt() && !self.settings.limits.hedges;
        !(open.answered || open.streaming || exhausted || hedge_forbidden)
    }

    fn is_repeat_safe(&self, open: &OpenRequest, to: &Backend, now: f64) -> bool {
        match self.class_of(open).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !open.may_have_run(),
            Idempotency::Keyed => {
                open.attempts_that_may_have_run().all(|attempt| self.deduplicates(open, attempt, to))
                    && self.write_deadline(open).is_none_or(|deadline| now < deadline)
            }
        }
    }

    /// Returns whether a backend drops repeats of an attempt because it is in the same deduplication scope.
    /// An unknown cell or zone is in no scope, and one that has changed since the attempt was sent may have
    /// been another one all along.
    ///
    /// If the process that the request reached there may have ended, another one may have its address, which
    /// the endpoint list may tell of seconds later. That one need not be in the scope.
    fn deduplicates(&self, open: &OpenRequest, attempt: &Attempt, backend: &Backend) -> bool {
        let in_scope = match self.class_of(open).deduplication_scope {
            DeduplicationScope::All => return true,
            DeduplicationScope::Zone => is_same(attempt.zone, backend.entry.zone),
            DeduplicationScope::Cell => is_same(attempt.cell, backend.entry.cell),
        };
        let unchanged = |backend: &Backend| backend.scope_version <= attempt.list_version;
        let attempted = self.backends.find(attempt.backend).map(|slot| self.backends.get(slot));
        in_scope
            && unchanged(backend)
            && attempted.is_none_or(unchanged)
            && !open.has_lost_process_of(backend.entry.id)
    }

    /// Returns the time until which a repeat of a request may be written. A keyed request may be repeated
    /// while the backends of its deduplication scope still drop repeats of its earliest attempt that may have
    /// run. `None` means that only the request's own deadline applies.
    pub(super) fn write_deadline(&self, open: &OpenRequest) -> Option<f64> {
        let class = self.class_of(open);
        if class.idempotency != Idempotency::Keyed {
            return None;
        }
        let earliest =
            open.attempts_that_may_have_run().map(|attempt| attempt.sent_at).min_by(f64::total_cmp)?;
        Some(earliest + class.deduplication_window_ms - self.settings.clock_granularity_ms)
    }
}

/// Returns whether both are known and equal.
fn is_same(first: Option<u32>, second: Option<u32>) -> bool {
    first.is_some() && first == second
}
