//! All backends by state, kept up to date by events.

use std::collections::{BTreeSet, HashMap};
use std::ops::Bound;

use crate::agenda::Agenda;
use crate::group::{Counts, Group, CELL, FLEET, GROUPS, HOME, KIND, ZONE};
use crate::subset::Subset;

/// What the list says of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It takes work.
    Ready,
    /// It finishes its work and takes no more.
    Draining,
    /// It is not on the list any more; the record is kept as long as the caller wants.
    Gone,
}

/// What a backend is filed by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Facts {
    /// Its number here; never changes.
    pub id: u32,
    /// What it is known by at all gateways; never changes.
    pub key: u64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its type.
    pub kind: u32,
    /// What the list says of it.
    pub listing: Listing,
    /// It failed or fell silent here.
    pub ejected: bool,
    /// From when it is warm, ms.
    pub warm_from: f64,
    /// Its share of new work against those of share 1: above 0, at most 1.
    pub share: f64,
}

/// A record that can be filed.
pub trait Filed {
    /// What it is to be filed by now.
    fn facts(&self) -> Facts;
}

/// Where candidates are drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum From {
    /// This gateway's own backends.
    Home,
    /// All of them.
    Fleet,
    /// Those of a zone.
    Zone(u32),
    /// Those of a cell.
    Cell(u32),
}

/// How much of a group is looked at.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    /// Groups of up to so many are looked at whole.
    pub whole: usize,
    /// So many are drawn from larger ones.
    pub choices: usize,
}

#[derive(Debug)]
struct Slot<T> {
    record: T,
    facts: Facts,
    /// Its places in its groups while it is ready.
    places: [u32; GROUPS],
    home: bool,
    warm: bool,
    /// The degree above which it is this gateway's own.
    threshold: f64,
    /// Work sent lately, and when it was that much.
    pushed: (f64, f64),
}

/// Work pushed lately to the warm ones of the home.
#[derive(Debug, Default)]
struct Push {
    sum: f64,
    /// When it was that much, ms.
    at: f64,
    /// Sum of their shares.
    shares: f64,
    backends: usize,
}

/// Backends that a home has at least, where there are as many.
pub const MIN_SUBSET_SIZE: usize = 4;

/// A key of [`Index::members`]: thresholds are never negative, so their bits sort as they do.
type Rank = (u64, u32);

/// All backends that a gateway knows. A backend keeps its place from [`Index::insert`] to [`Index::remove`].
#[derive(Debug)]
pub struct Index<T> {
    subset: Subset,
    reach: Reach,
    /// Time in which the push fades to 1/e, ms.
    window: f64,
    /// Each by itself. Danger: a list that grows past its room takes it twice over, half of it for nothing.
    slots: Vec<Option<Box<Slot<T>>>>,
    free: Vec<u32>,
    numbers: HashMap<u32, u32>,
    fleet: Group,
    home: Group,
    zones: HashMap<u32, Group>,
    cells: HashMap<u32, Group>,
    kinds: HashMap<u32, Group>,
    /// The ready ones by threshold.
    members: BTreeSet<Rank>,
    /// The threshold below which backends are of the home.
    home_below: f64,
    /// Gateways that share a backend.
    degree: f64,
    push: Push,
    warming: Agenda,
    watched: Agenda,
}

impl<T: Filed> Index<T> {
    /// An empty index. Pushes fade over `window` ms.
    #[must_use]
    pub fn new(subset: Subset, reach: Reach, window: f64) -> Index<T> {
        Index {
            subset,
            reach,
            window: window.max(1.0),
            slots: Vec::new(),
            free: Vec::new(),
            numbers: HashMap::new(),
            fleet: Group::default(),
            home: Group::default(),
            zones: HashMap::new(),
            cells: HashMap::new(),
            kinds: HashMap::new(),
            members: BTreeSet::new(),
            home_below: subset.degree(0),
            degree: subset.degree(0),
            push: Push::default(),
            warming: Agenda::default(),
            watched: Agenda::default(),
        }
    }

    fn slot(&self, place: usize) -> &Slot<T> {
        self.slots[place].as_ref().expect("a place is used only while its backend is there")
    }

    fn slot_mut(&mut self, place: usize) -> &mut Slot<T> {
        self.slots[place].as_mut().expect("a place is used only while its backend is there")
    }

    /// The place of a backend, by its number.
    #[must_use]
    pub fn find(&self, id: u32) -> Option<usize> {
        self.numbers.get(&id).map(|place| *place as usize)
    }

    /// The record at a place.
    ///
    /// # Panics
    /// If there is none.
    #[must_use]
    pub fn get(&self, place: usize) -> &T {
        &self.slot(place).record
    }

    /// The record at a place, for what it is not filed by. What it is filed by goes through
    /// [`Index::update`].
    ///
    /// # Panics
    /// If there is none.
    pub fn learn(&mut self, place: usize) -> &mut T {
        &mut self.slot_mut(place).record
    }

    /// All places, in no order.
    pub fn places(&self) -> impl Iterator<Item = usize> + '_ {
        self.slots.iter().enumerate().filter_map(|(place, slot)| slot.as_ref().map(|_| place))
    }

    /// Takes a backend in, whose number is not known yet; gives its place.
    pub fn insert(&mut self, now: f64, record: T) -> usize {
        let facts = record.facts();
        let threshold = self.subset.threshold(facts.key);
        let places = [0; GROUPS];
        let (home, warm, pushed) = (false, false, (0.0, now));
        let slot = Box::new(Slot { record, facts, places, home, warm, threshold, pushed });
        let place = self.free.pop().unwrap_or(self.slots.len() as u32);
        if place as usize == self.slots.len() {
            self.slots.push(Some(slot));
        } else {
            self.slots[place as usize] = Some(slot);
        }
        self.numbers.insert(facts.id, place);
        self.file(now, place);
        self.resize(now);
        place as usize
    }

    /// Takes a backend out; its place may be another's next.
    ///
    /// # Panics
    /// If there is none.
    pub fn remove(&mut self, now: f64, place: usize) -> T {
        self.unfile(now, place as u32);
        self.watched.clear(place as u32);
        let slot = self.slots[place].take().expect("a place is used only while its backend is there");
        self.numbers.remove(&slot.facts.id);
        self.free.push(place as u32);
        self.resize(now);
        slot.record
    }

    /// Begins a backend's record anew, as of another process under its number: nothing was pushed there yet.
    ///
    /// # Panics
    /// If there is none.
    pub fn renew(&mut self, now: f64, place: usize, record: T) {
        self.unfile(now, place as u32);
        let slot = self.slot_mut(place);
        (slot.facts, slot.pushed, slot.record) = (record.facts(), (0.0, now), record);
        self.file(now, place as u32);
        self.resize(now);
    }

    /// Changes a record, and files it anew where that calls for it.
    ///
    /// # Panics
    /// If there is none.
    pub fn update<R>(&mut self, now: f64, place: usize, change: impl FnOnce(&mut T) -> R) -> R {
        let slot = self.slot_mut(place);
        let result = change(&mut slot.record);
        let (old, new) = (slot.facts, slot.record.facts());
        if old != new {
            debug_assert_eq!((old.id, old.key), (new.id, new.key), "names never change");
            self.unfile(now, place as u32);
            self.slot_mut(place).facts = new;
            self.file(now, place as u32);
            if old.listing != new.listing {
                self.resize(now);
            }
        }
        result
    }

    /// The groups that a backend is in, and where its place in them stands.
    fn groups(&mut self, facts: &Facts, home: bool) -> [Option<(usize, &mut Group)>; GROUPS] {
        [
            Some((FLEET, &mut self.fleet)),
            home.then_some((HOME, &mut self.home)),
            Some((ZONE, self.zones.entry(facts.zone).or_default())),
            Some((CELL, self.cells.entry(facts.cell).or_default())),
            Some((KIND, self.kinds.entry(facts.kind).or_default())),
        ]
    }

    fn file(&mut self, now: f64, place: u32) {
        let degree = self.home_below;
        let slot = self.slot_mut(place as usize);
        slot.warm = slot.facts.warm_from <= now;
        slot.home = slot.facts.listing == Listing::Ready && slot.threshold < degree;
        let (facts, home, warm, rank) = (slot.facts, slot.home, slot.warm, slot.threshold.to_bits());
        match facts.listing {
            Listing::Gone => return,
            Listing::Draining => {
                self.groups(&facts, false).into_iter().flatten().for_each(|(_, g)| g.draining += 1);
                return;
            }
            Listing::Ready => {}
        }
        let mut places = [0; GROUPS];
        for (which, group) in self.groups(&facts, home).into_iter().flatten() {
            places[which] = group.put(place, facts.ejected);
            group.cold += usize::from(!warm);
        }
        self.slot_mut(place as usize).places = places;
        self.members.insert((rank, place));
        self.weigh(now, place, true);
        if !warm {
            self.warming.set(place, facts.warm_from);
        }
    }

    fn unfile(&mut self, now: f64, place: u32) {
        let slot = self.slot(place as usize);
        let (facts, home, warm) = (slot.facts, slot.home, slot.warm);
        let (rank, places) = (slot.threshold.to_bits(), slot.places);
        if facts.listing == Listing::Ready {
            self.weigh(now, place, false);
            self.members.remove(&(rank, place));
            self.warming.clear(place);
        }
        let mut moved = [None; GROUPS];
        for (which, group) in self.groups(&facts, home).into_iter().flatten() {
            match facts.listing {
                Listing::Gone => {}
                Listing::Draining => group.draining -= 1,
                Listing::Ready => {
                    moved[which] = group.take(places[which], facts.ejected);
                    group.cold -= usize::from(!warm);
                }
            }
        }
        for (which, other) in moved.into_iter().enumerate() {
            other.into_iter().for_each(|other| self.slot_mut(other as usize).places[which] = places[which]);
        }
        // Danger: groups that came and went, kept for good.
        for (groups, key) in
            [(&mut self.zones, facts.zone), (&mut self.cells, facts.cell), (&mut self.kinds, facts.kind)]
        {
            if groups.get(&key).is_some_and(Group::is_empty) {
                groups.remove(&key);
            }
        }
    }

    /// Adds a backend to the sums of the home's warm ones, or takes it out of them.
    fn weigh(&mut self, now: f64, place: u32, add: bool) {
        let slot = self.slot(place as usize);
        if !(slot.home && slot.warm) {
            return;
        }
        let (pushed, share, sign) =
            (self.faded(slot.pushed, now), slot.facts.share, if add { 1.0 } else { -1.0 });
        let backends = if add { self.push.backends + 1 } else { self.push.backends - 1 };
        let sum = self.faded((self.push.sum, self.push.at), now) + sign * pushed;
        let shares = self.push.shares + sign * share;
        // What rounding left goes with the last.
        let (sum, shares) = if backends == 0 { (0.0, 0.0) } else { (sum, shares) };
        self.push = Push { sum, at: now, shares, backends };
    }

    /// Moves backends into the home or out of it, as their number calls for.
    fn resize(&mut self, now: f64) {
        let degree = self.subset.degree(self.fleet.counts().ready);
        self.degree = degree;
        // Danger: homes differ in size by chance, and one of a backend or two has nothing left when they
        // fail. Those next in line are taken in, which gives them a gateway more.
        let own = |rank: &Rank| f64::from_bits(rank.0).next_up();
        let least = self.members.iter().nth(MIN_SUBSET_SIZE - 1).or(self.members.last()).map_or(0.0, own);
        let degree = degree.max(least);
        let old = std::mem::replace(&mut self.home_below, degree);
        let (low, high) = (old.min(degree).to_bits(), old.max(degree).to_bits());
        let between = (Bound::Included((low, 0)), Bound::Excluded((high, 0)));
        let moves: Vec<u32> = self.members.range(between).map(|(_, place)| *place).collect();
        for place in moves {
            let joins = degree > old;
            let facts = self.slot(place as usize).facts;
            if joins == self.slot(place as usize).home {
                continue;
            }
            if joins {
                let slot = self.slot_mut(place as usize);
                slot.home = true;
                let warm = slot.warm;
                let at = self.home.put(place, facts.ejected);
                self.slot_mut(place as usize).places[HOME] = at;
                self.home.cold += usize::from(!warm);
                self.weigh(now, place, true);
            } else {
                self.weigh(now, place, false);
                let slot = self.slot_mut(place as usize);
                slot.home = false;
                let (at, warm) = (slot.places[HOME], slot.warm);
                let other = self.home.take(at, facts.ejected);
                self.home.cold -= usize::from(!warm);
                other.into_iter().for_each(|o| self.slot_mut(o as usize).places[HOME] = at);
            }
        }
    }

    /// Takes note of who is warm by now. Before this, sums and counts are those of the time before.
    pub fn advance(&mut self, now: f64) {
        while let Some(place) = self.warming.pop(now) {
            let Some(slot) = self.slots[place as usize].as_ref() else { continue };
            let (facts, home) = (slot.facts, slot.home);
            if slot.warm || facts.listing != Listing::Ready {
                continue;
            }
            if facts.warm_from > now {
                self.warming.set(place, facts.warm_from);
                continue;
            }
            self.slot_mut(place as usize).warm = true;
            self.groups(&facts, home).into_iter().flatten().for_each(|(_, group)| group.cold -= 1);
            self.weigh(now, place, true);
        }
    }

    fn faded(&self, (pushed, at): (f64, f64), now: f64) -> f64 {
        pushed * (-(now - at) / self.window).exp()
    }

    /// Work pushed to a backend lately.
    ///
    /// # Panics
    /// If there is none.
    #[must_use]
    pub fn pushed(&self, place: usize, now: f64) -> f64 {
        self.faded(self.slot(place).pushed, now)
    }

    /// Notes work that is pushed to a backend.
    ///
    /// # Panics
    /// If there is none.
    pub fn push(&mut self, place: usize, now: f64, work: f64) {
        let pushed = self.pushed(place, now) + work;
        let slot = self.slot_mut(place);
        slot.pushed = (pushed, now);
        if slot.home && slot.warm && slot.facts.listing == Listing::Ready {
            let sum = self.faded((self.push.sum, self.push.at), now) + work;
            (self.push.sum, self.push.at) = (sum, now);
        }
    }

    /// Work pushed lately to a warm backend of the home with a share of 1, on the mean; 0 without any.
    #[must_use]
    pub fn warm_push(&self, now: f64) -> f64 {
        if self.push.backends > 0 {
            self.faded((self.push.sum, self.push.at), now).max(0.0) / self.push.shares
        } else {
            0.0
        }
    }

    /// Whether a backend is this gateway's own.
    ///
    /// # Panics
    /// If there is none.
    #[must_use]
    pub fn is_home(&self, place: usize) -> bool {
        self.slot(place).home
    }

    /// Gateways that share each backend now.
    #[must_use]
    pub fn degree(&self) -> f64 {
        self.degree
    }

    /// A group; none if nobody is in it.
    fn group(&self, from: From) -> Option<&Group> {
        match from {
            From::Fleet => Some(&self.fleet),
            From::Home => Some(&self.home),
            From::Zone(zone) => self.zones.get(&zone),
            From::Cell(cell) => self.cells.get(&cell),
        }
    }

    /// How many backends of a group are in each state.
    #[must_use]
    pub fn counts(&self, from: From) -> Counts {
        self.group(from).map(Group::counts).unwrap_or_default()
    }

    /// How many backends of a type are in each state.
    #[must_use]
    pub fn kind(&self, kind: u32) -> Counts {
        self.kinds.get(&kind).map(Group::counts).unwrap_or_default()
    }

    /// Adds candidates that are not there yet: all of a small group, else some by chance (`dice` gives
    /// numbers in [0, 1)). The ejected are among them only where that is wanted.
    pub fn draw(&self, from: From, ejected: bool, dice: &mut impl FnMut() -> f64, into: &mut Vec<usize>) {
        let Some(group) = self.group(from) else { return };
        let (all, begin) = (group.len(ejected), into.len());
        if all <= self.reach.whole {
            for place in (0..all).map(|i| group.at(i) as usize) {
                if !into[..begin].contains(&place) {
                    into.push(place);
                }
            }
            return;
        }
        // Those that were drawn before are passed over; where most were, it ends without the rest.
        for _ in 0..4 * self.reach.choices {
            let place = group.at(((dice() * all as f64) as usize).min(all - 1)) as usize;
            if !into.contains(&place) {
                into.push(place);
                if into.len() == begin + self.reach.choices {
                    return;
                }
            }
        }
    }

    /// Has a backend come up in [`Index::due`] at a time, or sooner if that was asked for before.
    pub fn watch(&mut self, place: usize, at: f64) {
        self.watched.set(place as u32, at);
    }

    /// Takes a backend that is to be looked at by now, the earliest first.
    pub fn due(&mut self, now: f64) -> Option<usize> {
        self.watched.pop(now).map(|place| place as usize)
    }
}
