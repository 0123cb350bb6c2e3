//! What a member has of a bound.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{Given, Member, Terms, KEPT_UNITS, LENT_UNITS, SLOT_UNITS};

/// Questions of one kind whose answers still count; the oldest gives way.
pub const MAX_PENDING_REQUESTS: usize = 4;
/// Slots of others that a member claims at most.
const MAX_CLAIMS: usize = 64;
/// Members that one borrows from, and lends to, at most; and loans of one of them that are not over.
const MAX_LOANS: usize = 64;
const LOANS_EACH: usize = 8;

/// What may be used now, and for how long that is sure without another look.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    /// Units, of [`SLOT_UNITS`] for each number of the fleet.
    pub units: u64,
    /// It may be less from this moment on, ms of the member's own clock. Danger: a part that is used
    /// without a look at the clock, by one that was stopped.
    pub until_ms: u64,
    /// What is left from that moment on, until another look.
    pub then_units: u64,
}

/// A question that is out, and who answered it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Question {
    n: u64,
    asked_ms: u64,
    /// Keepers by what they said.
    whole: BTreeSet<u32>,
    lent: BTreeSet<u32>,
}

/// The questions about one slot, and until when what came of them may be used.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Asked {
    out: VecDeque<Question>,
    lent_until_ms: u64,
    whole_until_ms: u64,
}

impl Asked {
    fn ask(&mut self, n: u64, asked_ms: u64) {
        if self.out.len() >= MAX_PENDING_REQUESTS {
            self.out.pop_front();
        }
        self.out.push_back(Question { n, asked_ms, whole: BTreeSet::new(), lent: BTreeSet::new() });
    }
}

impl Asked {
    /// Units that are surely this member's until a moment.
    fn sure(&self, until_ms: u64) -> u64 {
        match (self.lent_until_ms > until_ms, self.whole_until_ms > until_ms) {
            (_, true) => SLOT_UNITS,
            (true, false) => LENT_UNITS,
            (false, false) => 0,
        }
    }
}

/// A loan: units, and until when it counts.
type Loan = (u64, u64);

/// What one member in one life has, by the word of keepers, has lent and has borrowed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    terms: Terms,
    me: Member,
    begun_ms: u64,
    last: u64,
    own: Asked,
    /// Keepers that noted this life while nobody else had the whole of its slot.
    noted: BTreeSet<u32>,
    claims: BTreeMap<u32, Asked>,
    lent: BTreeMap<Member, Vec<Loan>>,
    /// What was asked of each, and what it lent.
    asked: BTreeMap<u32, VecDeque<(u64, u64)>>,
    borrowed: BTreeMap<u32, Loan>,
}

impl Holder {
    /// One that starts at `now_ms`, with nothing.
    #[must_use]
    pub fn new(terms: Terms, me: Member, now_ms: u64) -> Holder {
        Holder {
            terms,
            me,
            begun_ms: now_ms,
            last: 0,
            own: Asked::default(),
            noted: BTreeSet::new(),
            claims: BTreeMap::new(),
            lent: BTreeMap::new(),
            asked: BTreeMap::new(),
            borrowed: BTreeMap::new(),
        }
    }

    /// Who it is.
    #[must_use]
    pub fn me(&self) -> Member {
        self.me
    }

    /// A question to all keepers of its own slot, by its number.
    pub fn renew(&mut self, now_ms: u64) -> u64 {
        self.last += 1;
        self.own.ask(self.last, now_ms);
        self.last
    }

    /// A keeper answered: what another has of this member's slot by its word.
    pub fn renewed(&mut self, keeper: u32, n: u64, out: Given) {
        let majority = self.terms.majority(self.me.number);
        if !self.terms.keepers(self.me.number).contains(&keeper) {
            return;
        }
        if out != Given::Whole && self.own.out.iter().any(|q| q.n == n) {
            self.noted.insert(keeper);
        }
        let Some(question) = self.own.out.iter_mut().find(|q| q.n == n) else { return };
        if out == Given::Nothing {
            question.lent.insert(keeper);
        }
        if question.lent.len() >= majority {
            let until_ms = question.asked_ms + self.terms.used_ms(self.terms.lease_ms);
            self.own.lent_until_ms = self.own.lent_until_ms.max(until_ms);
        }
    }

    /// A question to all keepers of another's slot, by its number; none for its own, or one too many.
    pub fn claim(&mut self, now_ms: u64, slot: u32) -> Option<u64> {
        // Those that came to nothing make room.
        if self.claims.len() >= MAX_CLAIMS && !self.claims.contains_key(&slot) {
            let late = |asked: &Asked| {
                asked.out.back().is_none_or(|q| now_ms.saturating_sub(q.asked_ms) > self.terms.lease_ms)
            };
            self.claims.retain(|_, asked| asked.sure(now_ms) > 0 || !late(asked));
        }
        let room = self.claims.len() < MAX_CLAIMS || self.claims.contains_key(&slot);
        if slot == self.me.number || slot >= self.terms.members || !room {
            return None;
        }
        self.last += 1;
        self.claims.entry(slot).or_default().ask(self.last, now_ms);
        Some(self.last)
    }

    /// A keeper answered: what this member has of a slot by its word.
    pub fn claimed(&mut self, keeper: u32, n: u64, slot: u32, given: Given) {
        let majority = self.terms.majority(slot);
        if !self.terms.keepers(slot).contains(&keeper) {
            return;
        }
        let Some(claim) = self.claims.get_mut(&slot) else { return };
        let Some(question) = claim.out.iter_mut().find(|q| q.n == n) else { return };
        match given {
            Given::Nothing => return,
            Given::Lent => question.lent.insert(keeper),
            Given::Whole => question.whole.insert(keeper) | question.lent.insert(keeper),
        };
        let until_ms = question.asked_ms + self.terms.used_ms(self.terms.lease_ms);
        if question.lent.len() >= majority {
            claim.lent_until_ms = claim.lent_until_ms.max(until_ms);
        }
        if question.whole.len() >= majority {
            claim.whole_until_ms = claim.whole_until_ms.max(until_ms);
        }
    }

    /// Whether the kept part of its slot is its own for this life.
    #[must_use]
    pub fn keeps(&self, now_ms: u64) -> bool {
        // Danger: what an earlier life lent, and its borrowers still use.
        let alone = now_ms.saturating_sub(self.begun_ms) >= self.terms.held_ms(self.terms.lease_ms);
        alone && self.noted.len() >= self.terms.majority(self.me.number)
    }

    /// What each that lent some has lent.
    pub fn borrowed(&self, now_ms: u64) -> impl Iterator<Item = (u32, u64)> + '_ {
        let counts = move |(_, (_, until)): &(&u32, &Loan)| *until > now_ms;
        self.borrowed.iter().filter(counts).map(|(from, (units, _))| (*from, *units))
    }

    /// Units of another's slot that it has.
    #[must_use]
    pub fn has_of(&self, now_ms: u64, slot: u32) -> u64 {
        self.claims.get(&slot).map_or(0, |asked| asked.sure(now_ms))
    }

    /// How many slots of others it has some of.
    #[must_use]
    pub fn taken_over(&self, now_ms: u64) -> usize {
        self.claims.values().filter(|asked| asked.sure(now_ms) > 0).count()
    }

    /// What it has by the word of keepers at `now_ms` and surely until `until_ms`.
    fn has(&self, now_ms: u64, until_ms: u64) -> u64 {
        let claims = self.claims.values().map(|asked| asked.sure(until_ms));
        u64::from(self.keeps(now_ms)) * KEPT_UNITS + self.own.sure(until_ms) + claims.sum::<u64>()
    }

    /// What it lent, and does not use at `now_ms`.
    fn out(&self, now_ms: u64) -> u64 {
        // A borrower uses one loan at a time: the new one in place of the one before.
        let most =
            |loans: &Vec<Loan>| loans.iter().filter(|(_, until)| *until > now_ms).map(|(u, _)| *u).max();
        self.lent.values().filter_map(most).sum()
    }

    /// A member asks for units: what it is lent, and for how long, ms. It is out of use here from now on.
    pub fn lend(&mut self, now_ms: u64, to: Member, units: u64, spare_most: u64) -> (u64, u64) {
        self.lent.retain(|_, loans| {
            loans.retain(|(_, until)| *until > now_ms);
            !loans.is_empty()
        });
        let nothing = (0, 0);
        let known = self.lent.get(&to).map_or(0, Vec::len);
        if to.number == self.me.number || known >= LOANS_EACH || (known == 0 && self.lent.len() >= MAX_LOANS)
        {
            return nothing;
        }
        let lasts_ms = self.terms.lease_ms;
        let until_ms = now_ms + self.terms.held_ms(lasts_ms);
        let same =
            self.lent.get(&to).and_then(|loans| loans.iter().map(|(units, _)| *units).max()).unwrap_or(0);
        // What this borrower has already is in use by it, and may be lent to it again.
        let others = self.out(now_ms) - same;
        let spare = self.has(now_ms, until_ms).saturating_sub(others).min(spare_most.saturating_add(same));
        let units = units.min(spare);
        if units == 0 {
            return nothing;
        }
        self.lent.entry(to).or_default().push((units, until_ms));
        (units, lasts_ms)
    }

    /// A question to a member that has more than it needs, by its number; none where too many were asked.
    pub fn borrow(&mut self, now_ms: u64, from: u32) -> Option<u64> {
        if from == self.me.number {
            return None;
        }
        if self.asked.len() >= MAX_LOANS && !self.asked.contains_key(&from) {
            let late = |asked: &VecDeque<(u64, u64)>| {
                asked.back().is_none_or(|(_, at)| now_ms.saturating_sub(*at) > self.terms.lease_ms)
            };
            self.asked.retain(|_, asked| !late(asked));
            self.borrowed.retain(|_, (_, until_ms)| *until_ms > now_ms);
            if self.asked.len() >= MAX_LOANS {
                return None;
            }
        }
        self.last += 1;
        let asked = self.asked.entry(from).or_default();
        if asked.len() >= MAX_PENDING_REQUESTS {
            asked.pop_front();
        }
        asked.push_back((self.last, now_ms));
        Some(self.last)
    }

    /// It lent some, for so long, ms.
    pub fn loan(&mut self, from: u32, n: u64, units: u64, lasts_ms: u64) {
        let asked_ms = self.asked.get(&from).and_then(|all| all.iter().find(|(asked, _)| *asked == n));
        let Some((_, asked_ms)) = asked_ms else { return };
        let until_ms = asked_ms + self.terms.used_ms(lasts_ms.min(self.terms.lease_ms));
        // One loan of each at a time: the one that lasts longer.
        if self.borrowed.get(&from).is_none_or(|(_, until)| *until < until_ms) {
            self.borrowed.insert(from, (units, until_ms));
        }
    }

    /// What may be used at `now_ms`.
    #[must_use]
    pub fn part(&self, now_ms: u64) -> Part {
        let at = |moment: u64| {
            let lent = self.borrowed.values().filter(|(_, until)| *until > moment).map(|(units, _)| units);
            self.has(now_ms, moment).saturating_sub(self.out(now_ms)) + lent.sum::<u64>()
        };
        let leases = std::iter::once(&self.own).chain(self.claims.values());
        let ends = leases.flat_map(|asked| [asked.lent_until_ms, asked.whole_until_ms]);
        let ends = ends.chain(self.borrowed.values().map(|(_, until)| *until)).filter(|end| *end > now_ms);
        let until_ms = ends.min().unwrap_or(u64::MAX);
        // From then on nothing counts but what is kept for good, until another look.
        let then_units = at(u64::MAX - 1);
        Part { units: at(now_ms), until_ms, then_units }
    }
}
