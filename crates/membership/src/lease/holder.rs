//! The units of a bound that one member may use: leased, borrowed, and less what it has lent.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{Grant, LeaseTerms, Member, KEPT_UNITS, LENT_UNITS, SLOT_UNITS};

/// Requests of one kind whose responses still count. A further one displaces the oldest.
pub const MAX_PENDING_REQUESTS: usize = 4;
/// The most slots of others that a member claims.
const MAX_CLAIMS: usize = 64;
/// The most members that one borrows from, and the most that it lends to.
const MAX_LOANS: usize = 64;
/// The most loans to one member that are not over.
const MAX_LOANS_PER_BORROWER: usize = 8;

/// The units that may be used now, and until when that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Allocation {
    /// Units, of [`SLOT_UNITS`] for each number of the fleet.
    pub units: u64,
    /// Time of the member's own clock, ms, from which on it may be less. A process that was stopped has to
    /// look at its clock before it uses anything.
    pub valid_until_ms: u64,
    /// Units that are left from that time on.
    pub units_after: u64,
}

/// Units that were lent to another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLoan {
    /// Units; 0 if nothing was lent.
    pub units: u64,
    /// Length of the loan, ms.
    pub duration_ms: u64,
}

impl GrantedLoan {
    const NOTHING: GrantedLoan = GrantedLoan { units: 0, duration_ms: 0 };
}

/// Units that are borrowed from one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BorrowedUnits {
    /// Number of the lender.
    pub lender: u32,
    /// Units.
    pub units: u64,
}

/// A request to the grantors of a slot, and who has granted it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaseRequest {
    request_id: u64,
    sent_ms: u64,
    /// Grantors of the whole slot.
    whole_grantors: BTreeSet<u32>,
    /// Grantors of the lent part at least.
    lent_grantors: BTreeSet<u32>,
}

/// The lease on one slot: requests whose responses still count, and until when each part may be used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SlotLease {
    requests: VecDeque<LeaseRequest>,
    lent_until_ms: u64,
    whole_until_ms: u64,
}

impl SlotLease {
    fn add_request(&mut self, request_id: u64, sent_ms: u64) {
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

    fn request_mut(&mut self, request_id: u64) -> Option<&mut LeaseRequest> {
        self.requests.iter_mut().find(|request| request.request_id == request_id)
    }

    /// Whether the last request is more than `lease_ms` old, or there is none.
    fn is_abandoned(&self, now_ms: u64, lease_ms: u64) -> bool {
        self.requests.back().is_none_or(|request| now_ms.saturating_sub(request.sent_ms) > lease_ms)
    }

    /// Units that are leased beyond `until_ms`.
    fn units_beyond(&self, until_ms: u64) -> u64 {
        match (self.lent_until_ms > until_ms, self.whole_until_ms > until_ms) {
            (_, true) => SLOT_UNITS,
            (true, false) => LENT_UNITS,
            (false, false) => 0,
        }
    }
}

/// Units that are lent or borrowed, and until when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Loan {
    units: u64,
    until_ms: u64,
}

/// A request for a loan whose response still counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct LoanRequest {
    request_id: u64,
    sent_ms: u64,
}

/// One incarnation of a member in its role as a holder of leases and loans.
///
/// Whatever it was granted runs from the moment of its own request, not of the response, so that a response
/// that comes late lengthens nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    terms: LeaseTerms,
    member: Member,
    started_ms: u64,
    last_request_id: u64,
    own_slot: SlotLease,
    /// Grantors that noted this incarnation while nobody else had the whole of its slot.
    acknowledged_by: BTreeSet<u32>,
    claims: BTreeMap<u32, SlotLease>,
    loans_given: BTreeMap<Member, Vec<Loan>>,
    loan_requests: BTreeMap<u32, VecDeque<LoanRequest>>,
    loans_taken: BTreeMap<u32, Loan>,
}

impl LeaseHolder {
    /// A holder that starts at `now_ms` with nothing.
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

    /// The member whose holder this is.
    #[must_use]
    pub fn member(&self) -> Member {
        self.member
    }

    fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Begins a renewal of the member's own slot. Returns the id of the request, which is to go to all of the
    /// slot's grantors.
    pub fn request_renewal(&mut self, now_ms: u64) -> u64 {
        let request_id = self.next_request_id();
        self.own_slot.add_request(request_id, now_ms);
        request_id
    }

    /// A grantor responded to a renewal: `granted` is what another member has of this one's slot.
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

    /// Begins a claim of another member's slot. Returns the id of the request, which is to go to all of the
    /// slot's grantors; none if the slot is the member's own or unknown, or too many are claimed.
    pub fn request_claim(&mut self, now_ms: u64, slot: u32) -> Option<u64> {
        let has_room = self.has_room_for_claim(now_ms, slot);
        if slot == self.member.number || slot >= self.terms.members || !has_room {
            return None;
        }
        let request_id = self.next_request_id();
        self.claims.entry(slot).or_default().add_request(request_id, now_ms);
        Some(request_id)
    }

    /// Whether a slot may be claimed; claims that led to nothing make room.
    fn has_room_for_claim(&mut self, now_ms: u64, slot: u32) -> bool {
        if self.claims.len() >= MAX_CLAIMS && !self.claims.contains_key(&slot) {
            let lease_ms = self.terms.lease_ms;
            self.claims
                .retain(|_, lease| lease.units_beyond(now_ms) > 0 || !lease.is_abandoned(now_ms, lease_ms));
        }
        self.claims.len() < MAX_CLAIMS || self.claims.contains_key(&slot)
    }

    /// A grantor responded to a claim: `grant` is what this member has of the slot by that grantor.
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
    /// It waits for a lease after its start: what an earlier incarnation lent may be in use for as long.
    #[must_use]
    pub fn owns_kept_units(&self, now_ms: u64) -> bool {
        let since_start_ms = now_ms.saturating_sub(self.started_ms);
        let earlier_loans_are_over = since_start_ms >= self.terms.grantor_hold_ms(self.terms.lease_ms);
        earlier_loans_are_over && self.acknowledged_by.len() >= self.terms.majority(self.member.number)
    }

    /// Units borrowed at `now_ms`, by lender in ascending order.
    pub fn borrowed(&self, now_ms: u64) -> impl Iterator<Item = BorrowedUnits> + '_ {
        let current = self.loans_taken.iter().filter(move |(_, loan)| loan.until_ms > now_ms);
        current.map(|(lender, loan)| BorrowedUnits { lender: *lender, units: loan.units })
    }

    /// Units that it has of another member's slot.
    #[must_use]
    pub fn claimed_units(&self, now_ms: u64, slot: u32) -> u64 {
        self.claims.get(&slot).map_or(0, |lease| lease.units_beyond(now_ms))
    }

    /// How many slots of others it has units of.
    #[must_use]
    pub fn slots_taken_over(&self, now_ms: u64) -> usize {
        self.claims.values().filter(|lease| lease.units_beyond(now_ms) > 0).count()
    }

    /// Units that it owns or leases at `now_ms` and still has at `until_ms`.
    fn leased_units(&self, now_ms: u64, until_ms: u64) -> u64 {
        let kept = if self.owns_kept_units(now_ms) { KEPT_UNITS } else { 0 };
        let claimed: u64 = self.claims.values().map(|lease| lease.units_beyond(until_ms)).sum();
        kept + self.own_slot.units_beyond(until_ms) + claimed
    }

    /// Units that others may be using by a loan of this member.
    ///
    /// A borrower uses one loan at a time, the new one in place of the one before; so the largest counts.
    fn lent_units(&self, now_ms: u64) -> u64 {
        let largest = |loans: &Vec<Loan>| {
            loans.iter().filter(|loan| loan.until_ms > now_ms).map(|loan| loan.units).max()
        };
        self.loans_given.values().filter_map(largest).sum()
    }

    /// Lends up to `units` to another member, of which at most `max_spare` are taken from what is in use
    /// here. What is lent may not be used here until the loan is over.
    pub fn lend(&mut self, now_ms: u64, borrower: Member, units: u64, max_spare: u64) -> GrantedLoan {
        self.forget_ended_loans(now_ms);
        if !self.may_lend_to(borrower) {
            return GrantedLoan::NOTHING;
        }
        let duration_ms = self.terms.lease_ms;
        let until_ms = now_ms + self.terms.grantor_hold_ms(duration_ms);
        let loans = self.loans_given.get(&borrower).map_or(&[][..], Vec::as_slice);
        let already_lent = loans.iter().map(|loan| loan.units).max().unwrap_or(0);
        // What this borrower has already is in use by it and may be lent to it again.
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

    fn forget_ended_loans(&mut self, now_ms: u64) {
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

    /// Begins a request for a loan. Returns its id, which is to go to the lender; none if the lender is the
    /// member itself or too many were asked.
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

    /// Whether a member may be asked for a loan; those that were not asked for a lease make room.
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

    /// A lender responded: it lends `units` for `duration_ms`.
    ///
    /// Ignored if the request is unknown. A loan is used for no longer than a lease, whatever its length.
    pub fn loan_received(&mut self, lender: u32, request_id: u64, units: u64, duration_ms: u64) {
        let Some(requests) = self.loan_requests.get(&lender) else { return };
        let Some(request) = requests.iter().find(|request| request.request_id == request_id) else { return };
        let until_ms = request.sent_ms + self.terms.holder_use_ms(duration_ms.min(self.terms.lease_ms));
        // One loan of each lender at a time: the one that lasts longer.
        if self.loans_taken.get(&lender).is_none_or(|loan| loan.until_ms < until_ms) {
            self.loans_taken.insert(lender, Loan { units, until_ms });
        }
    }

    /// The units that may be used at `now_ms`.
    #[must_use]
    pub fn allocation(&self, now_ms: u64) -> Allocation {
        let leases = std::iter::once(&self.own_slot).chain(self.claims.values());
        let lease_ends = leases.flat_map(|lease| [lease.lent_until_ms, lease.whole_until_ms]);
        let loan_ends = self.loans_taken.values().map(|loan| loan.until_ms);
        let next_end = lease_ends.chain(loan_ends).filter(|end_ms| *end_ms > now_ms).min();
        Allocation {
            units: self.usable_units(now_ms, now_ms),
            valid_until_ms: next_end.unwrap_or(u64::MAX),
            // From then on only what never ends counts, until the next look.
            units_after: self.usable_units(now_ms, u64::MAX - 1),
        }
    }

    /// Units that may be used at `now_ms` and will not have ended at `until_ms`.
    fn usable_units(&self, now_ms: u64, until_ms: u64) -> u64 {
        let own = self.leased_units(now_ms, until_ms).saturating_sub(self.lent_units(now_ms));
        let borrowed = self.loans_taken.values().filter(|loan| loan.until_ms > until_ms);
        own + borrowed.map(|loan| loan.units).sum::<u64>()
    }
}
