//! The lease of one slot, as its holder sees it.

use std::collections::{BTreeSet, VecDeque};

use super::{LENT_UNITS, SLOT_UNITS};

/// Maximum number of pending requests of one kind. A further request replaces the oldest one, whose responses
/// are then ignored.
pub const MAX_PENDING_REQUESTS: usize = 4;

/// A request to the grantors of a slot, and the grantors that granted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeaseRequest {
    pub(super) request_id: u64,
    pub(super) sent_ms: u64,
    /// Grantors that granted the whole slot.
    pub(super) whole_grantors: BTreeSet<u32>,
    /// Grantors that granted at least the lent part.
    pub(super) lent_grantors: BTreeSet<u32>,
}

/// Lease on one slot: the pending requests, and until when each part may be used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct SlotLease {
    requests: VecDeque<LeaseRequest>,
    /// Until when the lent part may be used, ms.
    pub(super) lent_until_ms: u64,
    /// Until when the whole slot may be used, ms.
    pub(super) whole_until_ms: u64,
}

impl SlotLease {
    pub(super) fn add_request(&mut self, request_id: u64, sent_ms: u64) {
        if self.requests.len() >= MAX_PENDING_REQUESTS {
            self.requests.pop_front();
        }
        self.requests.push_back(LeaseRequest {
            request_id,
            sent_ms,
            whole_grantors: BTreeSet::new(),
            lent_grantors: BTreeSet::new(),
        });
    }

    pub(super) fn request_mut(&mut self, request_id: u64) -> Option<&mut LeaseRequest> {
        self.requests.iter_mut().find(|request| request.request_id == request_id)
    }

    /// Whether the last request is older than `lease_ms`, or there is none.
    pub(super) fn is_abandoned(&self, now_ms: u64, lease_ms: u64) -> bool {
        self.requests.back().is_none_or(|request| now_ms.saturating_sub(request.sent_ms) > lease_ms)
    }

    /// Returns the units whose lease lasts beyond `until_ms`.
    pub(super) fn units_beyond(&self, until_ms: u64) -> u64 {
        match (self.lent_until_ms > until_ms, self.whole_until_ms > until_ms) {
            (_, true) => SLOT_UNITS,
            (true, false) => LENT_UNITS,
            (false, false) => 0,
        }
    }
}
