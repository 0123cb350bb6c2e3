//! A keeper's word on slots.

use std::collections::BTreeMap;

use super::{Given, Member, Terms};

/// What it said of one slot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Slot {
    /// The owner's life that was heard last, and when.
    heard: Option<(u64, u64)>,
    /// Since when nobody was found at that life's address, if it was not heard since.
    gone_ms: Option<u64>,
    /// To whom it gave some of it, what, and until when it holds to that.
    given: Option<(Member, Given, u64)>,
}

/// What one member in one life gave its word for, as a keeper of the slots of others.
///
/// Danger: one that starts anew and has forgotten what it gave its word for. It gives none until all of
/// that is over; and the whole of a slot never before it has heard the owner, or a later life of it,
/// itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Keeper {
    terms: Terms,
    begun_ms: u64,
    slots: BTreeMap<u32, Slot>,
}

impl Keeper {
    /// One that starts at `now_ms`.
    #[must_use]
    pub fn new(terms: Terms, now_ms: u64) -> Keeper {
        Keeper { terms, begun_ms: now_ms, slots: BTreeMap::new() }
    }

    /// Whether a time that is to be waited out in full has passed since a moment.
    fn over(&self, now_ms: u64, since_ms: u64) -> bool {
        now_ms.saturating_sub(since_ms) >= self.terms.held_ms(self.terms.lease_ms)
    }

    /// The owner of a slot is there. Gives what another has of the slot by this keeper's word.
    pub fn renew(&mut self, now_ms: u64, owner: Member) -> Given {
        let slot = self.slots.entry(owner.number).or_default();
        // Danger: a message of an earlier life that comes late, and undoes what is known of the present one.
        if slot.heard.is_some_and(|(life, _)| life > owner.life) {
            return Given::Whole;
        }
        (slot.heard, slot.gone_ms) = (Some((owner.life, now_ms)), None);
        match slot.given {
            Some((_, given, until_ms)) if until_ms > now_ms => given,
            _ => Given::Nothing,
        }
    }

    /// Nobody is at the address of the owner of a slot: a connection that was begun after this life of it was
    /// heard was refused.
    pub fn gone(&mut self, now_ms: u64, owner: Member) {
        let Some(slot) = self.slots.get_mut(&owner.number) else { return };
        // Danger: what was found of an earlier life, held against the present one.
        if self.terms.trust_refusals && slot.heard.is_some_and(|(life, _)| life == owner.life) {
            slot.gone_ms.get_or_insert(now_ms);
        }
    }

    /// The owners that were not heard for a lease: whose addresses are to be looked at, each with the life
    /// that was heard.
    pub fn silent(&self, now_ms: u64) -> impl Iterator<Item = Member> + '_ {
        self.slots.iter().filter_map(move |(number, slot)| {
            let (life, at_ms) = slot.heard.filter(|_| slot.gone_ms.is_none())?;
            self.over(now_ms, at_ms).then_some(Member { number: *number, life })
        })
    }

    /// A member would have a slot that is not its own. Gives what it has of it from now on.
    pub fn claim(&mut self, now_ms: u64, by: Member, slot: u32) -> Given {
        if !self.over(now_ms, self.begun_ms) || by.number == slot {
            return Given::Nothing;
        }
        let over = |since_ms| self.over(now_ms, since_ms);
        let held = self.slots.get(&slot).cloned().unwrap_or_default();
        if held.heard.is_some_and(|(_, at_ms)| !over(at_ms)) {
            return Given::Nothing;
        }
        if held.given.is_some_and(|(to, _, until_ms)| to != by && until_ms > now_ms) {
            return Given::Nothing;
        }
        let given = if held.gone_ms.is_some_and(over) { Given::Whole } else { Given::Lent };
        let until_ms = now_ms + self.terms.held_ms(self.terms.lease_ms);
        self.slots.entry(slot).or_default().given = Some((by, given, until_ms));
        given
    }
}
