//! Coordinates the lease protocol of one member: which requests it sends, to which members, and when.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Allocation, Grant, LeaseGrantor, LeaseHolder, LeaseTerms, Member, Message, SLOT_UNITS};

/// Number of request rounds in the length of a lease.
const ROUNDS_PER_LEASE: u64 = 3;
/// A round begins early by a random time of up to its length divided by this.
const ROUND_JITTER_DIVISOR: u64 = 4;
/// Maximum number of new lenders that are asked for a loan in a round.
const NEW_LENDERS_PER_ROUND: usize = 3;
/// Number of slots of gone members that are considered for new claims in a round.
const SLOTS_CONSIDERED_PER_ROUND: usize = 16;
/// Maximum number of new claims in a round.
const NEW_CLAIMS_PER_ROUND: usize = 2;
/// Maximum number of silent owners that are probed in a round.
const PROBES_PER_ROUND: usize = 8;
/// Units that a member reserves for itself when it lends, in thousandths of its need.
const RESERVE_PER_MILLE: u64 = 1_050;

/// An action for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message.
    Send {
        /// Number of the receiver.
        to: u32,
        /// For a response, the incarnation that sent the request. Request ids restart with each incarnation,
        /// so a later incarnation must not accept the response as its own.
        incarnation: Option<u64>,
        /// The message.
        message: Message,
    },
    /// Open a connection to this member's address, and call [`LeaseCoordinator::connection_refused`] if the
    /// connection is refused.
    Probe(Member),
}

/// The other members that are believed to be alive or gone.
///
/// The view determines only which members are sent requests. What a member may use follows from grants alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MembershipView {
    /// Numbers of the members that are alive, without the member itself.
    pub alive: Vec<u32>,
    /// Numbers of the members that are gone.
    pub gone: Vec<u32>,
}

/// A planned request for a loan.
#[derive(Clone, Copy, Debug)]
struct LoanPlan {
    lender: u32,
    units: u64,
}

/// One incarnation of a member: its grantor, its holder, and the schedule of its requests.
#[derive(Debug)]
pub struct LeaseCoordinator {
    terms: LeaseTerms,
    grantor: LeaseGrantor,
    holder: LeaseHolder,
    next_tick_ms: u64,
    /// Claimed slots, and when each claim is given up unless something is granted.
    claims: BTreeMap<u32, u64>,
    /// When each gone member was first seen as gone.
    gone_since_ms: BTreeMap<u32, u64>,
    /// Number of units that the member could use.
    need: u64,
    rng: ChaCha8Rng,
}

impl LeaseCoordinator {
    /// Returns a coordinator that starts at `now_ms`. Each member must have a different seed.
    #[must_use]
    pub fn new(terms: LeaseTerms, member: Member, now_ms: u64, seed: u64) -> LeaseCoordinator {
        LeaseCoordinator {
            terms,
            grantor: LeaseGrantor::new(terms, now_ms),
            holder: LeaseHolder::new(terms, member, now_ms),
            next_tick_ms: now_ms,
            claims: BTreeMap::new(),
            gone_since_ms: BTreeMap::new(),
            need: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the units that may be used at `now_ms`. The caller reads it again when
    /// [`Allocation::valid_until_ms`] has passed.
    #[must_use]
    pub fn allocation(&self, now_ms: u64) -> Allocation {
        self.holder.allocation(now_ms)
    }

    /// Returns the number of other members' slots of which this member has units.
    #[must_use]
    pub fn slots_taken_over(&self, now_ms: u64) -> usize {
        self.holder.slots_taken_over(now_ms)
    }

    /// Returns when [`LeaseCoordinator::tick`] is due, ms.
    #[must_use]
    pub fn next_tick_ms(&self) -> u64 {
        self.next_tick_ms
    }

    /// Returns the requests that are due. `need` is the number of units that the member could use now.
    pub fn tick(&mut self, now_ms: u64, need: u64, view: &MembershipView) -> Vec<Output> {
        self.need = need;
        if now_ms < self.next_tick_ms {
            return Vec::new();
        }
        self.schedule_next_tick(now_ms);
        let mut outputs = Vec::new();
        self.renew(now_ms, &mut outputs);
        outputs.extend(self.grantor.silent_owners(now_ms).take(PROBES_PER_ROUND).map(Output::Probe));
        let units = self.holder.allocation(now_ms).units;
        self.claim_slots(now_ms, units, view, &mut outputs);
        self.borrow_units(now_ms, units, view, &mut outputs);
        self.deliver_to_self(now_ms, outputs)
    }

    /// Schedules the next tick with jitter, so that members that started at the same time don't send at the
    /// same time.
    fn schedule_next_tick(&mut self, now_ms: u64) {
        let round_ms = self.terms.lease_ms / ROUNDS_PER_LEASE;
        let jitter_ms = self.rng.random_range(0..=round_ms / ROUND_JITTER_DIVISOR);
        self.next_tick_ms = now_ms + round_ms - jitter_ms;
    }

    fn renew(&mut self, now_ms: u64, outputs: &mut Vec<Output>) {
        let request_id = self.holder.request_renewal(now_ms);
        self.send_to_grantors(self.holder.member().number, Message::Renew { request_id }, outputs);
    }

    fn send_to_grantors(&self, slot: u32, message: Message, outputs: &mut Vec<Output>) {
        let grantors = self.terms.grantors(slot).into_iter();
        outputs.extend(grantors.map(|to| Output::Send { to, incarnation: None, message }));
    }

    /// Claims slots of gone members: repeats the current claims, and adds new ones while more units are
    /// needed.
    fn claim_slots(&mut self, now_ms: u64, units: u64, view: &MembershipView, outputs: &mut Vec<Output>) {
        self.release_claims(now_ms, units);
        self.update_gone_members(now_ms, view);
        if units < self.need && !view.gone.is_empty() {
            self.choose_new_claims(now_ms, view);
        }
        let slots: Vec<u32> = self.claims.keys().copied().collect();
        for slot in slots {
            if let Some(request_id) = self.holder.request_claim(now_ms, slot) {
                self.send_to_grantors(slot, Message::Claim { request_id, slot }, outputs);
            }
        }
    }

    /// Gives up claims that are no longer needed or were not granted in time, by not repeating them.
    fn release_claims(&mut self, now_ms: u64, units: u64) {
        let has_spare_slot = units.saturating_sub(self.reserve()) >= SLOT_UNITS;
        let holder = &self.holder;
        self.claims.retain(|slot, claim_until_ms| {
            if holder.claimed_units(now_ms, *slot) > 0 {
                !has_spare_slot
            } else {
                *claim_until_ms > now_ms
            }
        });
    }

    fn update_gone_members(&mut self, now_ms: u64, view: &MembershipView) {
        self.gone_since_ms.retain(|member, _| view.gone.contains(member));
        for member in &view.gone {
            self.gone_since_ms.entry(*member).or_insert(now_ms);
        }
    }

    fn choose_new_claims(&mut self, now_ms: u64, view: &MembershipView) {
        let mut new_claims = 0;
        for _ in 0..SLOTS_CONSIDERED_PER_ROUND {
            let slot = view.gone[self.rng.random_range(0..view.gone.len())];
            if new_claims < NEW_CLAIMS_PER_ROUND
                && !self.claims.contains_key(&slot)
                && self.may_claim(now_ms, slot, view)
            {
                self.claims.insert(slot, now_ms + self.terms.lease_ms);
                new_claims += 1;
            }
        }
    }

    /// Whether this member may claim a slot yet. If all members claimed at once, none would get a majority.
    ///
    /// For each slot the members that are alive have an order. The first may claim immediately, and one more
    /// after each length of a lease, as the members before it may not need any units.
    fn may_claim(&self, now_ms: u64, slot: u32, view: &MembershipView) -> bool {
        let gone_for_ms =
            self.gone_since_ms.get(&slot).map_or(0, |since_ms| now_ms.saturating_sub(*since_ms));
        let turns = (gone_for_ms / self.terms.lease_ms) as usize;
        let own_rank = claim_rank(slot, self.holder.member().number);
        let higher_ranked = view.alive.iter().filter(|other| claim_rank(slot, **other) < own_rank);
        higher_ranked.take(turns + 1).count() <= turns
    }

    /// Requests loans: from the current lenders as far as units are needed, and from further members while
    /// units are missing.
    fn borrow_units(&mut self, now_ms: u64, units: u64, view: &MembershipView, outputs: &mut Vec<Output>) {
        let missing = self.need.saturating_sub(units);
        let mut plans = self.plan_repeated_loans(now_ms, units, missing);
        if missing > 0 && !view.alive.is_empty() {
            for _ in 0..NEW_LENDERS_PER_ROUND {
                let lender = view.alive[self.rng.random_range(0..view.alive.len())];
                if !plans.iter().any(|plan| plan.lender == lender) {
                    plans.push(LoanPlan { lender, units: missing });
                }
            }
        }
        for LoanPlan { lender, units } in plans.into_iter().filter(|plan| plan.units > 0) {
            if let Some(request_id) = self.holder.request_loan(now_ms, lender) {
                let message = Message::Borrow { request_id, units };
                outputs.push(Output::Send { to: lender, incarnation: None, message });
            }
        }
    }

    /// Plans the requests to the current lenders: the units already borrowed, less those no longer needed,
    /// plus the missing ones.
    fn plan_repeated_loans(&self, now_ms: u64, units: u64, missing: u64) -> Vec<LoanPlan> {
        let mut unneeded = units.saturating_sub(self.need);
        let mut plans = Vec::new();
        for loan in self.holder.borrowed(now_ms) {
            let returned = unneeded.min(loan.units);
            unneeded -= returned;
            plans.push(LoanPlan { lender: loan.lender, units: loan.units - returned + missing });
        }
        plans
    }

    /// Returns the units that the member reserves for itself when it lends or gives up slots.
    fn reserve(&self) -> u64 {
        self.need.saturating_mul(RESERVE_PER_MILLE) / 1_000
    }

    /// Handles a message from another member to this incarnation.
    pub fn handle_message(&mut self, now_ms: u64, from: Member, message: Message) -> Vec<Output> {
        match self.respond(now_ms, from, message) {
            Some(message) => {
                vec![Output::Send { to: from.number, incarnation: Some(from.incarnation), message }]
            }
            None => Vec::new(),
        }
    }

    /// Handles a message, and returns the response to a request; `None` if it would grant nothing. A renewal
    /// always has a response, which tells the owner that it was recorded.
    fn respond(&mut self, now_ms: u64, from: Member, message: Message) -> Option<Message> {
        match message {
            Message::Renew { request_id } => {
                Some(Message::Renewed { request_id, granted: self.grantor.renew(now_ms, from) })
            }
            Message::Claim { request_id, slot } => {
                let grant = self.grantor.claim(now_ms, from, slot);
                (grant != Grant::Nothing).then_some(Message::Claimed { request_id, slot, grant })
            }
            Message::Borrow { request_id, units } => {
                let spare = self.holder.allocation(now_ms).units.saturating_sub(self.reserve());
                let loan = self.holder.lend(now_ms, from, units, spare);
                let (units, duration_ms) = (loan.units, loan.duration_ms);
                (units > 0).then_some(Message::Loan { request_id, units, duration_ms })
            }
            Message::Renewed { request_id, granted } => {
                self.holder.renewal_answered(from.number, request_id, granted);
                None
            }
            Message::Claimed { request_id, slot, grant } => {
                self.holder.claim_answered(from.number, request_id, slot, grant);
                None
            }
            Message::Loan { request_id, units, duration_ms } => {
                self.holder.loan_received(from.number, request_id, units, duration_ms);
                None
            }
        }
    }

    /// Records that a connection to the address of `owner`, opened after [`Output::Probe`] for that
    /// incarnation, was refused.
    pub fn connection_refused(&mut self, now_ms: u64, owner: Member) {
        self.grantor.owner_unreachable(now_ms, owner);
    }

    /// Handles the messages from the member to itself without the network. Returns the other outputs.
    fn deliver_to_self(&mut self, now_ms: u64, outputs: Vec<Output>) -> Vec<Output> {
        let member = self.holder.member();
        let mut to_others = Vec::with_capacity(outputs.len());
        let mut to_self: Vec<Message> = Vec::new();
        for output in outputs {
            match output {
                Output::Send { to, message, .. } if to == member.number => to_self.push(message),
                output => to_others.push(output),
            }
        }
        while let Some(message) = to_self.pop() {
            to_self.extend(self.respond(now_ms, member, message));
        }
        to_others
    }
}

/// Returns a member's rank in the order in which members may claim a slot.
fn claim_rank(slot: u32, member: u32) -> u64 {
    let seed = u64::from(slot) << 32 | u64::from(member);
    ChaCha8Rng::seed_from_u64(seed).random::<u64>()
}
