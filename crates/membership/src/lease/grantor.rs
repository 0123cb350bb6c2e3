//! Grants that a member makes as one of a slot's grantors.

use std::collections::BTreeMap;

use super::{Grant, LeaseTerms, Member};

/// Last renewal of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OwnerRenewal {
    incarnation: u64,
    at_ms: u64,
}

/// A grant of a slot, or of a part of it, to a member other than its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ActiveGrant {
    holder: Member,
    grant: Grant,
    /// Before this time the grantor makes no conflicting grant.
    until_ms: u64,
}

/// State of one slot at a grantor.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct SlotState {
    last_renewal: Option<OwnerRenewal>,
    /// When a connection to the owner's address was first refused; none if the owner renewed since.
    unreachable_since_ms: Option<u64>,
    granted: Option<ActiveGrant>,
}

/// One member in its role as a grantor of slots.
///
/// A grantor that restarts has lost its grants, so it makes none until all earlier grants have expired. It
/// grants the whole of a slot only if it has received a renewal from the owner's current incarnation itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseGrantor {
    terms: LeaseTerms,
    started_ms: u64,
    slots: BTreeMap<u32, SlotState>,
}

impl LeaseGrantor {
    /// Returns a grantor that starts at `now_ms` and has granted nothing.
    #[must_use]
    pub fn new(terms: LeaseTerms, now_ms: u64) -> LeaseGrantor {
        LeaseGrantor { terms, started_ms: now_ms, slots: BTreeMap::new() }
    }

    /// Whether a lease that started at `since_ms` has expired by the clock of every member.
    fn has_lease_expired(&self, now_ms: u64, since_ms: u64) -> bool {
        now_ms.saturating_sub(since_ms) >= self.terms.grantor_hold_ms(self.terms.lease_ms)
    }

    /// Handles a renewal by the owner of a slot. Returns what another member is granted of that slot.
    ///
    /// A late message of an earlier incarnation changes nothing. The response to it is [`Grant::Whole`], so
    /// that the earlier incarnation does not consider any part of the slot its own.
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

    /// Records that a connection to the owner's address, opened after `owner` had renewed, was refused: no
    /// process is running there.
    ///
    /// Ignored if another incarnation was the last to renew.
    pub fn owner_unreachable(&mut self, now_ms: u64, owner: Member) {
        let Some(slot) = self.slots.get_mut(&owner.number) else { return };
        let is_current = slot.last_renewal.is_some_and(|renewal| renewal.incarnation == owner.incarnation);
        if self.terms.trust_refusals && is_current {
            slot.unreachable_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the owners that have not renewed for the length of a lease and whose addresses are still to be
    /// probed, in ascending order.
    pub fn silent_owners(&self, now_ms: u64) -> impl Iterator<Item = Member> + '_ {
        self.slots.iter().filter_map(move |(number, slot)| {
            let renewal = slot.last_renewal.filter(|_| slot.unreachable_since_ms.is_none())?;
            let owner = Member { number: *number, incarnation: renewal.incarnation };
            self.has_lease_expired(now_ms, renewal.at_ms).then_some(owner)
        })
    }

    /// Handles a claim of another member's slot. Returns what the claimant is granted from now on.
    pub fn claim(&mut self, now_ms: u64, claimant: Member, slot: u32) -> Grant {
        if !self.has_lease_expired(now_ms, self.started_ms) || claimant.number == slot {
            return Grant::Nothing;
        }
        let state = self.slots.get(&slot).cloned().unwrap_or_default();
        if state.last_renewal.is_some_and(|renewal| !self.has_lease_expired(now_ms, renewal.at_ms)) {
            return Grant::Nothing;
        }
        if state.granted.is_some_and(|active| active.holder != claimant && active.until_ms > now_ms) {
            return Grant::Nothing;
        }
        // Units that the owner had lent may be in use for the length of a lease after its process ended.
        let owner_is_gone =
            state.unreachable_since_ms.is_some_and(|since_ms| self.has_lease_expired(now_ms, since_ms));
        let grant = if owner_is_gone { Grant::Whole } else { Grant::Lent };
        let until_ms = now_ms + self.terms.grantor_hold_ms(self.terms.lease_ms);
        self.slots.entry(slot).or_default().granted = Some(ActiveGrant { holder: claimant, grant, until_ms });
        grant
    }
}
