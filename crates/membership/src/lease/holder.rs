//! Units of the bound that one member may use: leased and borrowed units, less the units that it has lent.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::slot_lease::{SlotLease, MAX_PENDING_REQUESTS};
use super::{Grant, LeaseTerms, Member, KEPT_UNITS};

/// Maximum number of other members' slots that a member claims.
const MAX_CLAIMS: usize = 64;
/// Maximum number of members that a member borrows from, and of members that it lends to.
const MAX_LOANS: usize = 64;
/// Maximum number of unexpired loans to one member.
const MAX_LOANS_PER_BORROWER: usize = 8;

/// Units that may be used now, and until when this holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Allocation {
    /// Units; the fleet's bound has [`SLOT_UNITS`](super::SLOT_UNITS) for each member.
    pub units: u64,
    /// Time of the member's own clock, ms, at which `units` expires; fewer units may be left then. A process
    /// that was suspended must check its clock before it uses any units.
    pub valid_until_ms: u64,
    /// Units that are left from `valid_until_ms` on.
    pub units_after: u64,
}

/// Response to a request for a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLoan {
    /// Units lent; 0 if the loan was not granted.
    pub units: u64,
    /// Length of the loan, ms.
    pub duration_ms: u64,
}

impl GrantedLoan {
    const NOTHING: GrantedLoan = GrantedLoan { units: 0, duration_ms: 0 };
}

/// Units borrowed from one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BorrowedUnits {
    /// Number of the lender.
    pub lender: u32,
    /// Units borrowed.
    pub units: u64,
}

/// Units lent or borrowed, and when the loan expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Loan {
    units: u64,
    until_ms: u64,
}

/// A pending request for a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LoanRequest {
    request_id: u64,
    sent_ms: u64,
}

/// One incarnation of a member in its role as a holder of leases and loans.
///
/// Leases and loans start when the holder's own request was sent, not when the response arrived, so that a
/// late response does not extend them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    terms: LeaseTerms,
    member: Member,
    started_ms: u64,
    last_request_id: u64,
    own_slot: SlotLease,
    /// Grantors that recorded a renewal of this incarnation while no other member had the whole of its slot.
    acknowledged_by: BTreeSet<u32>,
    claims: BTreeMap<u32, SlotLease>,
    loans_given: BTreeMap<Member, Vec<Loan>>,
    loan_requests: BTreeMap<u32, VecDeque<LoanRequest>>,
    loans_taken: BTreeMap<u32, Loan>,
}

impl LeaseHolder {
    /// Returns a holder that starts at `now_ms` with no units.
    #[must_use]
    pub fn new(terms: LeaseTerms, member: Member, now_ms: u64) -> LeaseHolder {
        LeaseHolder {
            terms,
            member,
            started_ms: now_ms,
            last_request_id: 0,
            own_slot: SlotLease::default(),
            acknowledged_by: BTreeSet::new(),
            claims: BTreeMap::new(),
            loans_given: BTreeMap::new(),
            loan_requests: BTreeMap::new(),
            loans_taken: BTreeMap::new(),
        }
    }

    /// Returns the member that this holder belongs to.
    #[must_use]
    pub fn member(&self) -> Member {
        self.member
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Begins a renewal of the member's own slot. Returns the id of the request, which the caller sends to
    /// all grantors of the slot.
    pub fn request_renewal(&mut self, now_ms: u64) -> u64 {
        let request_id = self.next_request_id();
        self.own_slot.add_request(request_id, now_ms);
        request_id
    }

    /// Handles a grantor's response to a renewal: `granted` is what another member has of this member's slot.
    pub fn renewal_answered(&mut self, grantor: u32, request_id: u64, granted: Grant) {
        let majority = self.terms.majority(self.member.number);
        if !self.terms.grantors(self.member.number).contains(&grantor) {
            return;
        }
        let Some(request) = self.own_slot.request_mut(request_id) else { return };
        if granted != Grant::Whole {
            self.acknowledged_by.insert(grantor);
        }
        if granted == Grant::Nothing {
            request.lent_grantors.insert(grantor);
        }
        if request.lent_grantors.len() >= majority {
            let until_ms = request.sent_ms + self.terms.holder_use_ms(self.terms.lease_ms);
            self.own_slot.lent_until_ms = self.own_slot.lent_until_ms.max(until_ms);
        }
    }

    /// Begins a claim of another member's slot. Returns the id of the request, which the caller sends to all
    /// grantors of the slot. `None` if the slot is the member's own or unknown, or too many slots are
    /// claimed.
    pub fn request_claim(&mut self, now_ms: u64, slot: u32) -> Option<u64> {
        let has_room = self.has_room_for_claim(now_ms, slot);
        if slot == self.member.number || slot >= self.terms.members || !has_room {
            return None;
        }
        let request_id = self.next_request_id();
        self.claims.entry(slot).or_default().add_request(request_id, now_ms);
        Some(request_id)
    }

    /// Whether a slot may be claimed. If there are too many claims, abandoned ones without units are removed.
    fn has_room_for_claim(&mut self, now_ms: u64, slot: u32) -> bool {
        if self.claims.len() >= MAX_CLAIMS && !self.claims.contains_key(&slot) {
            let lease_ms = self.terms.lease_ms;
            self.claims
                .retain(|_, lease| lease.units_beyond(now_ms) > 0 || !lease.is_abandoned(now_ms, lease_ms));
        }
        self.claims.len() < MAX_CLAIMS || self.claims.contains_key(&slot)
    }

    /// Handles a grantor's response to a claim: `grant` is what that grantor grants this member of the slot.
    pub fn claim_answered(&mut self, grantor: u32, request_id: u64, slot: u32, grant: Grant) {
        let majority = self.terms.majority(slot);
        if !self.terms.grantors(slot).contains(&grantor) {
            return;
        }
        let Some(lease) = self.claims.get_mut(&slot) else { return };
        let Some(request) = lease.request_mut(request_id) else { return };
        match grant {
            Grant::Nothing => return,
            Grant::Lent => {}
            Grant::Whole => {
                request.whole_grantors.insert(grantor);
            }
        }
        request.lent_grantors.insert(grantor);
        let has_lent_part = request.lent_grantors.len() >= majority;
        let has_whole = request.whole_grantors.len() >= majority;
        let until_ms = request.sent_ms + self.terms.holder_use_ms(self.terms.lease_ms);
        if has_lent_part {
            lease.lent_until_ms = lease.lent_until_ms.max(until_ms);
        }
        if has_whole {
            lease.whole_until_ms = lease.whole_until_ms.max(until_ms);
        }
    }

    /// Whether this incarnation owns the kept part of its slot.
    ///
    /// It waits for the length of a lease after its start, because units that an earlier incarnation lent may
    /// be in use for that long.
    #[must_use]
    pub fn owns_kept_units(&self, now_ms: u64) -> bool {
        let since_start_ms = now_ms.saturating_sub(self.started_ms);
        let earlier_loans_expired = since_start_ms >= self.terms.grantor_hold_ms(self.terms.lease_ms);
        earlier_loans_expired && self.acknowledged_by.len() >= self.terms.majority(self.member.number)
    }

    /// Returns the units borrowed at `now_ms`, by lender in ascending order.
    pub fn borrowed(&self, now_ms: u64) -> impl Iterator<Item = BorrowedUnits> + '_ {
        let current = self.loans_taken.iter().filter(move |(_, loan)| loan.until_ms > now_ms);
        current.map(|(lender, loan)| BorrowedUnits { lender: *lender, units: loan.units })
    }

    /// Returns the units that this member has of another member's slot.
    #[must_use]
    pub fn claimed_units(&self, now_ms: u64, slot: u32) -> u64 {
        self.claims.get(&slot).map_or(0, |lease| lease.units_beyond(now_ms))
    }

    /// Returns the number of other members' slots of which this member has units.
    #[must_use]
    pub fn slots_taken_over(&self, now_ms: u64) -> usize {
        self.claims.values().filter(|lease| lease.units_beyond(now_ms) > 0).count()
    }

    /// Returns the units that this member owns or leases at `now_ms` and still has at `until_ms`.
    fn leased_units(&self, now_ms: u64, until_ms: u64) -> u64 {
        let kept = if self.owns_kept_units(now_ms) { KEPT_UNITS } else { 0 };
        let claimed: u64 = self.claims.values().map(|lease| lease.units_beyond(until_ms)).sum();
        kept + self.own_slot.units_beyond(until_ms) + claimed
    }

    /// Returns the units that other members may be using through loans from this member.
    ///
    /// A borrower uses one loan at a time, as a new loan replaces the previous one; so only its largest loan
    /// counts.
    fn lent_units(&self, now_ms: u64) -> u64 {
        let largest = |loans: &Vec<Loan>| {
            loans.iter().filter(|loan| loan.until_ms > now_ms).map(|loan| loan.units).max()
        };
        self.loans_given.values().filter_map(largest).sum()
    }

    /// Lends up to `units` to another member. At most `max_spare` units are taken in addition to those
    /// already lent to it. Lent units may not be used here until the loan has expired.
    pub fn lend(&mut self, now_ms: u64, borrower: Member, units: u64, max_spare: u64) -> GrantedLoan {
        self.remove_expired_loans(now_ms);
        if !self.may_lend_to(borrower) {
            return GrantedLoan::NOTHING;
        }
        let duration_ms = self.terms.lease_ms;
        let until_ms = now_ms + self.terms.grantor_hold_ms(duration_ms);
        let loans = self.loans_given.get(&borrower).map_or(&[][..], Vec::as_slice);
        let already_lent = loans.iter().map(|loan| loan.units).max().unwrap_or(0);
        // Units that this borrower already has may be lent to it again.
        let lent_to_others = self.lent_units(now_ms) - already_lent;
        let available = self
            .leased_units(now_ms, until_ms)
            .saturating_sub(lent_to_others)
            .min(max_spare.saturating_add(already_lent));
        let units = units.min(available);
        if units == 0 {
            return GrantedLoan::NOTHING;
        }
        self.loans_given.entry(borrower).or_default().push(Loan { units, until_ms });
        GrantedLoan { units, duration_ms }
    }

    fn remove_expired_loans(&mut self, now_ms: u64) {
        self.loans_given.retain(|_, loans| {
            loans.retain(|loan| loan.until_ms > now_ms);
            !loans.is_empty()
        });
    }

    fn may_lend_to(&self, borrower: Member) -> bool {
        if borrower.number == self.member.number {
            return false;
        }
        match self.loans_given.get(&borrower) {
            Some(loans) => loans.len() < MAX_LOANS_PER_BORROWER,
            None => self.loans_given.len() < MAX_LOANS,
        }
    }

    /// Begins a request for a loan. Returns its id, which the caller sends to the lender. `None` if the
    /// lender is the member itself or there are too many lenders.
    pub fn request_loan(&mut self, now_ms: u64, lender: u32) -> Option<u64> {
        if lender == self.member.number || !self.has_room_for_lender(now_ms, lender) {
            return None;
        }
        let request_id = self.next_request_id();
        let requests = self.loan_requests.entry(lender).or_default();
        if requests.len() >= MAX_PENDING_REQUESTS {
            requests.pop_front();
        }
        requests.push_back(LoanRequest { request_id, sent_ms: now_ms });
        Some(request_id)
    }

    /// Whether a member may be asked for a loan. If there are too many lenders, those that were last
    /// asked longer than a lease ago are removed.
    fn has_room_for_lender(&mut self, now_ms: u64, lender: u32) -> bool {
        if self.loan_requests.len() < MAX_LOANS || self.loan_requests.contains_key(&lender) {
            return true;
        }
        let lease_ms = self.terms.lease_ms;
        let is_recent = |request: &LoanRequest| now_ms.saturating_sub(request.sent_ms) <= lease_ms;
        self.loan_requests.retain(|_, requests| requests.back().is_some_and(is_recent));
        self.loans_taken.retain(|_, loan| loan.until_ms > now_ms);
        self.loan_requests.len() < MAX_LOANS
    }

    /// Handles a lender's response: it lends `units` for `duration_ms`.
    ///
    /// Ignored if the request is unknown. A loan is used for the length of a lease at most.
    pub fn loan_received(&mut self, lender: u32, request_id: u64, units: u64, duration_ms: u64) {
        let Some(requests) = self.loan_requests.get(&lender) else { return };
        let Some(request) = requests.iter().find(|request| request.request_id == request_id) else { return };
        let until_ms = request.sent_ms + self.terms.holder_use_ms(duration_ms.min(self.terms.lease_ms));
        // Only one loan of each lender is in use: the one that lasts longer.
        if self.loans_taken.get(&lender).is_none_or(|loan| loan.until_ms < until_ms) {
            self.loans_taken.insert(lender, Loan { units, until_ms });
        }
    }

    /// Returns the units that may be used at `now_ms`.
    #[must_use]
    pub fn allocation(&self, now_ms: u64) -> Allocation {
        let leases = std::iter::once(&self.own_slot).chain(self.claims.values());
        let lease_expiries = leases.flat_map(|lease| [lease.lent_until_ms, lease.whole_until_ms]);
        let loan_expiries = self.loans_taken.values().map(|loan| loan.until_ms);
        let next_expiry = lease_expiries.chain(loan_expiries).filter(|expiry_ms| *expiry_ms > now_ms).min();
        Allocation {
            units: self.usable_units(now_ms, now_ms),
            valid_until_ms: next_expiry.unwrap_or(u64::MAX),
            // After the next expiry, only units that never expire count until the allocation is read again.
            units_after: self.usable_units(now_ms, u64::MAX - 1),
        }
    }

    /// Returns the units that may be used at `now_ms` and have not expired at `until_ms`.
    fn usable_units(&self, now_ms: u64, until_ms: u64) -> u64 {
        let own = self.leased_units(now_ms, until_ms).saturating_sub(self.lent_units(now_ms));
        let borrowed = self.loans_taken.values().filter(|loan| loan.until_ms > until_ms);
        own + borrowed.map(|loan| loan.units).sum::<u64>()
    }
}
