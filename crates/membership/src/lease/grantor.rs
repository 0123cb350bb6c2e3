//! Grants of slots, as one of a slot's grantors makes them.

use std::collections::BTreeMap;

use super::{Grant, LeaseTerms, Member};

/// When an owner was last heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OwnerRenewal {
    incarnation: u64,
    at_ms: u64,
}

/// Something of a slot that was granted to another member than its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ActiveGrant {
    holder: Member,
    grant: Grant,
    /// The grantor grants nothing that contradicts this one before that time.
    until_ms: u64,
}

/// What a grantor knows of one slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SlotState {
    last_renewal: Option<OwnerRenewal>,
    /// When the address of that incarnation was first found without a process; none if it renewed since.
    unreachable_since_ms: Option<u64>,
    granted: Option<ActiveGrant>,
}

/// One member in its role as a grantor of slots.
///
/// A grantor that starts anew has forgotten its grants, so it makes none until every earlier one is over. It
/// grants the whole of a slot only after it has heard from the owner's present incarnation itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    terms: LeaseTerms,
    started_ms: u64,
    slots: BTreeMap<u32, SlotState>,
}

impl LeaseGrantor {
    /// A grantor that starts at `now_ms` and has granted nothing.
    #[must_use]
    pub fn new(terms: LeaseTerms, now_ms: u64) -> LeaseGrantor {
        LeaseGrantor { terms, started_ms: now_ms, slots: BTreeMap::new() }
    }

    /// Whether a lease that ran from `since_ms` is over by the clock of every member.
    fn lease_is_over(&self, now_ms: u64, since_ms: u64) -> bool {
        now_ms.saturating_sub(since_ms) >= self.terms.grantor_hold_ms(self.terms.lease_ms)
    }

    /// The owner of a slot renews. Returns what another member is granted of that slot.
    ///
    /// A late message of an earlier incarnation changes nothing and is told [`Grant::Whole`], so that it
    /// takes nothing for its own.
    pub fn renew(&mut self, now_ms: u64, owner: Member) -> Grant {
        let slot = self.slots.entry(owner.number).or_default();
        if slot.last_renewal.is_some_and(|renewal| renewal.incarnation > owner.incarnation) {
            return Grant::Whole;
        }
        slot.last_renewal = Some(OwnerRenewal { incarnation: owner.incarnation, at_ms: now_ms });
        slot.unreachable_since_ms = None;
        match slot.granted {
            Some(active) if active.until_ms > now_ms => active.grant,
            _ => Grant::Nothing,
        }
    }

    /// A connection to the owner's address, begun after `owner` had renewed, was refused: no process is left
    /// there.
    ///
    /// Ignored where the incarnation that renewed last is another one.
    pub fn owner_unreachable(&mut self, now_ms: u64, owner: Member) {
        let Some(slot) = self.slots.get_mut(&owner.number) else { return };
        let is_present = slot.last_renewal.is_some_and(|renewal| renewal.incarnation == owner.incarnation);
        if self.terms.trust_refusals && is_present {
            slot.unreachable_since_ms.get_or_insert(now_ms);
        }
    }

    /// Owners that have not renewed for a lease and whose addresses are still to be probed, in the order of
    /// their numbers.
    pub fn silent_owners(&self, now_ms: u64) -> impl Iterator<Item = Member> + '_ {
        self.slots.iter().filter_map(move |(number, slot)| {
            let renewal = slot.last_renewal.filter(|_| slot.unreachable_since_ms.is_none())?;
            let owner = Member { number: *number, incarnation: renewal.incarnation };
            self.lease_is_over(now_ms, renewal.at_ms).then_some(owner)
        })
    }

    /// A member asks for a slot that is not its own. Returns what it is granted from now on.
    pub fn claim(&mut self, now_ms: u64, claimant: Member, slot: u32) -> Grant {
        if !self.lease_is_over(now_ms, self.started_ms) || claimant.number == slot {
            return Grant::Nothing;
        }
        let state = self.slots.get(&slot).cloned().unwrap_or_default();
        if state.last_renewal.is_some_and(|renewal| !self.lease_is_over(now_ms, renewal.at_ms)) {
            return Grant::Nothing;
        }
        if state.granted.is_some_and(|active| active.holder != claimant && active.until_ms > now_ms) {
            return Grant::Nothing;
        }
        // What the owner had lent on may be in use for a lease after its process ended.
        let owner_is_gone =
            state.unreachable_since_ms.is_some_and(|since_ms| self.lease_is_over(now_ms, since_ms));
        let grant = if owner_is_gone { Grant::Whole } else { Grant::Lent };
        let until_ms = now_ms + self.terms.grantor_hold_ms(self.terms.lease_ms);
        self.slots.entry(slot).or_default().granted = Some(ActiveGrant { holder: claimant, grant, until_ms });
        grant
    }
}
