//! One member's side of the leases over time: what it asks of whom, and when.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Given, Holder, Keeper, Member, Message, Part, Terms, SLOT_UNITS};

/// Questions are asked so often in a lease.
const ASKS: u64 = 3;
/// Members that are asked for a first loan each time.
const LENDERS: usize = 3;
/// Slots of those that are gone that are looked at each time, and that are claimed anew.
const LOOKED_AT: usize = 16;
const CLAIMED: usize = 2;
/// Addresses that are looked at each time.
const PROBED: usize = 8;
/// What one that lends leaves itself beyond its need, in thousandths of that.
const SPARE: u64 = 1_050;

/// Something that the rest of the program is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Out {
    /// To send a message.
    Send {
        /// To the member of this number.
        to: u32,
        /// Of an answer: to the life that asked. Danger: one that is taken for an answer to the next life's.
        life: Option<u64>,
        /// What.
        message: Message,
    },
    /// To open a connection to this member's address, and to tell [`Desk::refused`] if it is refused.
    Probe(Member),
}

/// What is believed of the other members. It decides whom one asks, never what one may use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Believed {
    /// Numbers that are there, this member's own not among them.
    pub alive: Vec<u32>,
    /// Numbers that are gone.
    pub gone: Vec<u32>,
}

/// One member in one life: its word as a keeper, what it has as a holder, and its questions.
#[derive(Debug)]
pub struct Desk {
    terms: Terms,
    keeper: Keeper,
    holder: Holder,
    /// When it asks next.
    next_ms: u64,
    /// Slots that it claims, and until when it asks for each though nothing came of it.
    claims: BTreeMap<u32, u64>,
    /// Since when each that is gone is believed to be.
    gone: BTreeMap<u32, u64>,
    need: u64,
    dice: ChaCha8Rng,
}

impl Desk {
    /// One that starts at `now_ms`; `seed` is its own.
    #[must_use]
    pub fn new(terms: Terms, me: Member, now_ms: u64, seed: u64) -> Desk {
        let (keeper, holder) = (Keeper::new(terms, now_ms), Holder::new(terms, me, now_ms));
        let dice = ChaCha8Rng::seed_from_u64(seed);
        Desk {
            terms,
            keeper,
            holder,
            next_ms: now_ms,
            claims: BTreeMap::new(),
            gone: BTreeMap::new(),
            need: 0,
            dice,
        }
    }

    /// What may be used at `now_ms`. To be asked again at its end at the latest.
    #[must_use]
    pub fn part(&self, now_ms: u64) -> Part {
        self.holder.part(now_ms)
    }

    /// How many slots of others it has some of.
    #[must_use]
    pub fn taken_over(&self, now_ms: u64) -> usize {
        self.holder.taken_over(now_ms)
    }

    /// When [`Desk::tick`] is due.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next_ms
    }

    /// Asks what is due. `need` is what it could use now, units.
    pub fn tick(&mut self, now_ms: u64, need: u64, believed: &Believed) -> Vec<Out> {
        self.need = need;
        if now_ms < self.next_ms {
            return Vec::new();
        }
        // By chance, so that members that began together do not ask together.
        let apart = self.terms.lease_ms / ASKS;
        self.next_ms = now_ms + apart - self.dice.random_range(0..=apart / 4);
        let mut out = Vec::new();
        let me = self.holder.me();
        let n = self.holder.renew(now_ms);
        let to = |slot| self.terms.keepers(slot);
        out.extend(to(me.number).into_iter().map(|to| Out::Send {
            to,
            life: None,
            message: Message::Renew { n },
        }));
        out.extend(self.keeper.silent(now_ms).take(PROBED).map(Out::Probe));
        let part = self.holder.part(now_ms).units;
        self.claim(now_ms, part, believed, &mut out);
        self.borrow(now_ms, part, believed, &mut out);
        self.own(now_ms, out)
    }

    /// Asks those that lent to do so again, as far as it is needed, and others while that is not enough.
    fn borrow(&mut self, now_ms: u64, part: u64, believed: &Believed, out: &mut Vec<Out>) {
        let (mut asked, mut spare) = (Vec::new(), part.saturating_sub(self.need));
        let lacks = self.need.saturating_sub(part);
        for (from, units) in self.holder.borrowed(now_ms) {
            let less = spare.min(units);
            spare -= less;
            asked.push((from, units - less + lacks));
        }
        if lacks > 0 && !believed.alive.is_empty() {
            for _ in 0..LENDERS {
                let from = believed.alive[self.dice.random_range(0..believed.alive.len())];
                if !asked.iter().any(|(known, _)| *known == from) {
                    asked.push((from, lacks));
                }
            }
        }
        for (from, units) in asked.into_iter().filter(|(_, units)| *units > 0) {
            if let Some(n) = self.holder.borrow(now_ms, from) {
                out.push(Out::Send { to: from, life: None, message: Message::Borrow { n, units } });
            }
        }
    }

    /// Claims slots of those that are gone: again those that it has, and new ones while it needs more.
    fn claim(&mut self, now_ms: u64, part: u64, believed: &Believed, out: &mut Vec<Out>) {
        let holder = &self.holder;
        // One that it needs no more, or that came to nothing, is let go by not asking again.
        let spare = part.saturating_sub(self.need.saturating_mul(SPARE) / 1_000) >= SLOT_UNITS;
        self.claims.retain(|slot, until_ms| {
            let has = holder.has_of(now_ms, *slot) > 0;
            has && !spare || !has && *until_ms > now_ms
        });
        let gone = &believed.gone;
        self.gone.retain(|slot, _| gone.contains(slot));
        for slot in gone {
            self.gone.entry(*slot).or_insert(now_ms);
        }
        if part < self.need && !gone.is_empty() {
            let mut new = 0;
            for _ in 0..LOOKED_AT {
                let slot = gone[self.dice.random_range(0..gone.len())];
                if new < CLAIMED && !self.claims.contains_key(&slot) && self.is_heir(now_ms, slot, believed) {
                    self.claims.insert(slot, now_ms + self.terms.lease_ms);
                    new += 1;
                }
            }
        }
        let slots: Vec<u32> = self.claims.keys().copied().collect();
        for slot in slots {
            let Some(n) = self.holder.claim(now_ms, slot) else { continue };
            let message = Message::Claim { n, slot };
            out.extend(self.terms.keepers(slot).into_iter().map(|to| Out::Send { to, life: None, message }));
        }
    }

    /// Whether it is its turn for a slot: that of the first of those that are there at once, and of one
    /// more in each lease since, as the first may need nothing.
    ///
    /// Danger: claims of all at once, of which none gets a majority.
    fn is_heir(&self, now_ms: u64, slot: u32, believed: &Believed) -> bool {
        let rank = |member: u32| {
            let seed = u64::from(slot) << 32 | u64::from(member);
            ChaCha8Rng::seed_from_u64(seed).random::<u64>()
        };
        let since_ms = self.gone.get(&slot).map_or(0, |since| now_ms.saturating_sub(*since));
        let (mine, turns) = (rank(self.holder.me().number), since_ms / self.terms.lease_ms);
        let before = believed.alive.iter().filter(|other| rank(**other) < mine);
        before.take(turns as usize + 1).count() <= turns as usize
    }

    /// A message of another member, to this life of this one.
    pub fn heard(&mut self, now_ms: u64, from: Member, message: Message) -> Vec<Out> {
        let to = from.number;
        let answer = match message {
            Message::Renew { n } => Message::Renewed { n, out: self.keeper.renew(now_ms, from) },
            Message::Claim { n, slot } => {
                Message::Claimed { n, slot, given: self.keeper.claim(now_ms, from, slot) }
            }
            Message::Borrow { n, units } => {
                let spare =
                    self.holder.part(now_ms).units.saturating_sub(self.need.saturating_mul(SPARE) / 1_000);
                let (units, lasts_ms) = self.holder.lend(now_ms, from, units, spare);
                Message::Loan { n, units, lasts_ms }
            }
            Message::Renewed { n, out } => {
                self.holder.renewed(to, n, out);
                return Vec::new();
            }
            Message::Claimed { n, slot, given } => {
                self.holder.claimed(to, n, slot, given);
                return Vec::new();
            }
            Message::Loan { n, units, lasts_ms } => {
                self.holder.loan(to, n, units, lasts_ms);
                return Vec::new();
            }
        };
        // What gives nothing needs no answer, but to the owner, which learns that it was noted.
        match answer {
            Message::Claimed { given: Given::Nothing, .. } | Message::Loan { units: 0, .. } => Vec::new(),
            _ => vec![Out::Send { to, life: Some(from.life), message: answer }],
        }
    }

    /// A connection to a member's address, begun after [`Out::Probe`] named that life, was refused.
    pub fn refused(&mut self, now_ms: u64, owner: Member) {
        self.keeper.gone(now_ms, owner);
    }

    /// What is sent to itself needs no network.
    fn own(&mut self, now_ms: u64, out: Vec<Out>) -> Vec<Out> {
        let (me, mut others) = (self.holder.me(), Vec::with_capacity(out.len()));
        let mut own: Vec<Message> = Vec::new();
        for out in out {
            match out {
                Out::Send { to, message, .. } if to == me.number => own.push(message),
                out => others.push(out),
            }
        }
        while let Some(message) = own.pop() {
            for answer in self.heard(now_ms, me, message) {
                if let Out::Send { message, .. } = answer {
                    own.push(message);
                }
            }
        }
        others
    }
}
