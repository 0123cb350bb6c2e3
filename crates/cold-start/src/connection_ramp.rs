//! When a gateway opens its first connection to each backend, and when its decisions hear of one.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::time::Duration;

use routing::{Subset, MIN_SUBSET_SIZE};

use crate::SlotSchedule;

/// So many backends are opened while the list is unconfirmed, in the first round; twice as many in the next.
const FEW: usize = MIN_SUBSET_SIZE;
/// Attempts that are out at once for each further backend that is opened.
const BUSY: usize = 2;
/// The rounds after which `FEW` is doubled no more.
const MAX_DOUBLINGS: u64 = 20;
/// After so many rounds with a list that was confirmed all of it is told, whatever is not open by then.
const RELEASED_ROUNDS: f64 = 2.0;
/// Pause after a first try that failed, ms: the least, and the most where a round is shorter.
const PAUSE_MS: (f64, f64) = (200.0, 20_000.0);
/// A slot that has passed for so long, ms, is left out. Danger: some hundred gateways that were stopped
/// together, and go on together.
const LATE_MS: f64 = 100.0;
/// How long a gateway with backends on its list waits for the first that answers, beside two rounds.
const FIRST: Duration = Duration::from_millis(500);

/// How far a gateway has come since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampStage {
    /// It knows no backend that takes work.
    Empty,
    /// It knows some by a list that nobody confirmed since.
    Known,
    /// The list was confirmed; some backends on it are not open.
    Confirmed,
    /// All backends on a list that was confirmed are open.
    Warm,
}

impl fmt::Display for RampStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RampStage::Empty => "empty",
            RampStage::Known => "known, not confirmed",
            RampStage::Confirmed => "confirmed",
            RampStage::Warm => "warm",
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Door {
    /// It is not this gateway's own, and was not needed yet.
    Aside,
    /// It has its turn at this moment, Unix time in µs.
    Waits { at_us: u64 },
    /// A first connection is being opened.
    Tried,
    /// The decisions have it.
    Open,
}

#[derive(Clone, Copy, Debug)]
struct Backend {
    key: u64,
    /// From when it is cold, Unix time in ms: tells its lives apart.
    life_ms: f64,
    /// Its rank among all for this gateway, as the bits of [`Subset::threshold`], which sort as it does.
    rank: u64,
    door: Door,
    /// First tries in a row that failed.
    failed: u32,
}

/// The backends of one gateway that take work by the list: those that are open, and those that wait for their
/// turn.
///
/// Of all gateways together each backend gets one first connection a slot, as gateway `g` has the slot
/// `(g + key) mod N` of the round for it. A gateway takes turns for its home, those that it is to keep to by
/// rendezvous hashing, and for as many more as its work wants. The others are told to the decisions once the
/// home was tried: what is sent there is spilt over, with a connection when it is needed.
///
/// Danger: hundreds of gateways that each find out by requests of their own which backends are gone, and that
/// all open connections to one that is back. Harm: a backend gets its first work from a gateway up to a round
/// after it was listed.
#[derive(Clone, Debug)]
pub struct ConnectionRamp {
    subset: Subset,
    place: u32,
    gateways: u32,
    per_s: f64,
    round_ms: f64,
    begun_ms: f64,
    backends: HashMap<u32, Backend>,
    /// Those that are aside, by rank, and by the place of their slot in a round.
    aside: BTreeSet<(u64, u32)>,
    by_place: BTreeSet<(u32, u32)>,
    /// Those that wait, by their moments.
    queue: BTreeSet<(u64, u32)>,
    open_count: usize,
    /// Those that had no failure yet and are not open, of those that got a turn.
    pending: usize,
    /// When the list was confirmed, Unix time in ms.
    confirmed_ms: Option<f64>,
    /// Whether those aside are told.
    released: bool,
    /// Attempts that failed before that.
    faults: usize,
}

impl ConnectionRamp {
    /// Those of gateway `place`, from 0, of `gateways` (0 counts as 1) with homes by `subset`, that starts at
    /// `now_ms`, Unix time, where a backend takes `per_s` first connections a second from all of them, 0.001
    /// at least.
    #[must_use]
    pub fn new(place: u32, gateways: u32, subset: Subset, per_s: f64, now_ms: f64) -> ConnectionRamp {
        let round_ms = SlotSchedule::new(0, gateways, per_s).round().as_secs_f64() * 1_000.0;
        ConnectionRamp {
            subset,
            place,
            gateways: gateways.max(1),
            per_s,
            round_ms,
            begun_ms: now_ms,
            backends: HashMap::new(),
            aside: BTreeSet::new(),
            by_place: BTreeSet::new(),
            queue: BTreeSet::new(),
            open_count: 0,
            pending: 0,
            confirmed_ms: None,
            released: false,
            faults: 0,
        }
    }

    /// This gateway's slots for a backend.
    fn calendar(&self, key: u64) -> SlotSchedule {
        let n = u64::from(self.gateways);
        SlotSchedule::new(((u64::from(self.place) + key % n) % n) as u32, self.gateways, self.per_s)
    }

    /// The list names a backend that takes work: its number here, what it is known by at all gateways, and
    /// from when it is cold, Unix time in ms. Whether the decisions may have it now; where not,
    /// [`Openings::choose`] and [`Openings::release`] are to follow once the whole list was taken in.
    ///
    /// Danger: one that started anew and is empty, to which all gateways hear at once that they may send. A
    /// later life waits for its turn as a new backend does.
    pub fn add(&mut self, id: u32, key: u64, life_ms: f64) -> bool {
        let held = self.backends.get(&id).filter(|b| b.life_ms >= life_ms);
        if let Some(held) = held {
            return held.door == Door::Open;
        }
        self.remove(id);
        let rank = self.subset.threshold(key).to_bits();
        self.aside.insert((rank, id));
        self.by_place.insert((self.calendar(key).place(), id));
        self.backends.insert(id, Backend { key, life_ms, rank, door: Door::Aside, failed: 0 });
        false
    }

    /// A backend drains, or is gone. When it takes work again it waits for its turn.
    pub fn remove(&mut self, id: u32) {
        let Some(b) = self.backends.remove(&id) else { return };
        match b.door {
            Door::Aside => self.no_longer_aside(id, b.rank, b.key),
            Door::Waits { at_us } => drop(self.queue.remove(&(at_us, id))),
            Door::Tried => {}
            Door::Open => self.open_count -= 1,
        }
        let turn = matches!(b.door, Door::Waits { .. } | Door::Tried);
        self.pending -= usize::from(turn && b.failed == 0);
    }

    /// A whole list was told: backends that it does not name are gone.
    pub fn retain(&mut self, named: impl Fn(u32) -> bool) {
        let gone: Vec<u32> = self.backends.keys().copied().filter(|id| !named(*id)).collect();
        gone.into_iter().for_each(|id| self.remove(id));
    }

    /// The list held is the one that there is, at `now_ms`.
    pub fn confirm(&mut self, now_ms: f64) {
        self.confirmed_ms.get_or_insert(now_ms);
    }

    /// Whether the list was confirmed.
    #[must_use]
    pub fn confirmed(&self) -> bool {
        self.confirmed_ms.is_some()
    }

    /// An attempt at a backend that was open has failed. Danger: few are open, and they fail one by one.
    pub fn record_failure(&mut self) {
        if !self.released {
            self.faults = self.faults.saturating_add(1).min(self.backends.len());
        }
    }

    /// How far it has come.
    #[must_use]
    pub fn stage(&self) -> RampStage {
        match (self.backends.is_empty(), self.confirmed(), self.released && self.pending == 0) {
            (true, ..) => RampStage::Empty,
            (_, false, _) => RampStage::Known,
            (_, true, true) => RampStage::Warm,
            _ => RampStage::Confirmed,
        }
    }

    /// Backends that the decisions know.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open_count
    }

    /// Backends on the list that they do not know yet.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.backends.len() - self.open_count
    }

    /// How many are to be open or have their turn at `now_ms`, with so many attempts out.
    ///
    /// Danger: while a list is unconfirmed, a fleet whose gateways each try all that is on it: half of it may
    /// be gone. Harm: a gateway keeps to few backends until then, all of them if that takes ten rounds.
    fn wanted(&self, now_ms: f64, out: usize) -> usize {
        let until = self.confirmed_ms.unwrap_or(now_ms);
        let rounds = ((until - self.begun_ms).max(0.0) / self.round_ms) as u64;
        let few = FEW.saturating_mul(1 << rounds.min(MAX_DOUBLINGS));
        few.saturating_add(out / BUSY).saturating_add(self.faults)
    }

    fn no_longer_aside(&mut self, id: u32, rank: u64, key: u64) {
        self.aside.remove(&(rank, id));
        self.by_place.remove(&(self.calendar(key).place(), id));
    }

    /// The one aside whose slot comes first.
    fn soonest(&self, now_ms: f64) -> Option<u32> {
        let place = self.calendar(0).slot_index_at(now_ms);
        let soonest = self.by_place.range((place + 1, 0)..).next().or(self.by_place.first());
        soonest.map(|(_, id)| *id)
    }

    /// Gives turns to as many as are wanted, those whose slots come first; once the list was confirmed, to
    /// all of the home. One whose first try failed is not counted: another comes for it.
    pub fn choose(&mut self, now_ms: f64, out: usize) {
        let degree = self.subset.degree(self.backends.len());
        let more = if self.released { 0 } else { self.wanted(now_ms, out) };
        loop {
            let of_home = self.aside.first().filter(|(rank, _)| f64::from_bits(*rank) < degree);
            let id = match of_home.filter(|_| self.confirmed()) {
                Some((_, id)) => *id,
                None if self.open_count + self.pending >= more => return,
                None => match self.soonest(now_ms) {
                    Some(id) => id,
                    None => return,
                },
            };
            let Some(Backend { rank, key, .. }) = self.backends.get(&id).copied() else { return };
            self.no_longer_aside(id, rank, key);
            self.pending += 1;
            self.turn(id, now_ms);
        }
    }

    /// Those aside, which the decisions may have from now on: once the list was confirmed, and all that have
    /// a turn were tried, or had two rounds for it.
    pub fn release(&mut self, now_ms: f64) -> Vec<u32> {
        let Some(confirmed_ms) = self.confirmed_ms else { return Vec::new() };
        let over = self.pending == 0 || now_ms - confirmed_ms > RELEASED_ROUNDS * self.round_ms;
        self.released |= over && !self.backends.is_empty();
        if !self.released {
            return Vec::new();
        }
        self.by_place.clear();
        let ids: Vec<u32> = std::mem::take(&mut self.aside).into_iter().map(|(_, id)| id).collect();
        for id in &ids {
            self.backends.get_mut(id).into_iter().for_each(|b| b.door = Door::Open);
        }
        self.open_count += ids.len();
        ids
    }

    /// When to look again, Unix time in ms: at the next turn, or when more are wanted. None: only news change
    /// anything.
    #[must_use]
    pub fn next(&self, now_ms: f64) -> Option<f64> {
        let turn = self.queue.first().map(|(at_us, _)| *at_us as f64 / 1_000.0);
        if self.aside.is_empty() {
            return turn;
        }
        let round = ((now_ms - self.begun_ms).max(0.0) / self.round_ms).floor() + 1.0;
        let more = self.begun_ms + round * self.round_ms;
        Some(turn.map_or(more, |turn| turn.min(more)))
    }

    /// The backend to which a first connection is to be opened now, if there is one; [`Openings::tried`] is
    /// to follow. To be asked again until there is none.
    pub fn due(&mut self, now_ms: f64) -> Option<u32> {
        loop {
            let (at_us, id) = *self.queue.first()?;
            let late_ms = now_ms - at_us as f64 / 1_000.0;
            if late_ms < 0.0 {
                return None;
            }
            self.queue.pop_first();
            if late_ms < LATE_MS {
                self.backends.get_mut(&id)?.door = Door::Tried;
                return Some(id);
            }
            // Its next turn lies ahead, so this ends.
            self.turn(id, now_ms);
        }
    }

    /// What the first connection came to, and of which life it was. Whether the decisions may have the
    /// backend from now on.
    pub fn first_connection_ended(&mut self, now_ms: f64, id: u32, life_ms: f64, answered: bool) -> bool {
        let of_life = |b: &&mut Backend| b.life_ms == life_ms && b.door == Door::Tried;
        let Some(b) = self.backends.get_mut(&id).filter(of_life) else { return false };
        self.pending -= usize::from(b.failed == 0);
        if answered {
            (b.door, b.failed) = (Door::Open, 0);
            self.open_count += 1;
            return true;
        }
        b.failed = b.failed.saturating_add(1);
        let rounds = self.round_ms.max(PAUSE_MS.0) * f64::from(1u32 << b.failed.min(8));
        // Danger: one that is gone for good, tried by all in each round.
        self.turn(id, now_ms + rounds.min(PAUSE_MS.1.max(self.round_ms)));
        false
    }

    /// It has its turn in the first slot from a moment on. One that had a slot has it no more in that round,
    /// as this is asked for after its moment.
    fn turn(&mut self, id: u32, from_ms: f64) {
        let Some(key) = self.backends.get(&id).map(|b| b.key) else { return };
        let (_, at_ms) = self.calendar(key).next(from_ms, None);
        let at_us = (at_ms * 1_000.0) as u64;
        self.queue.insert((at_us, id));
        self.backends.get_mut(&id).into_iter().for_each(|b| b.door = Door::Waits { at_us });
    }

    /// How long a round lasts: time for a first connection of each gateway to one backend.
    #[must_use]
    pub fn round(&self) -> Duration {
        Duration::from_secs_f64(self.round_ms / 1_000.0)
    }

    /// How long a gateway with backends on its list waits for the first that answers before it says that it
    /// is ready: two rounds and an answer. Danger: clients that are refused by one that has nobody to send
    /// to.
    #[must_use]
    pub fn first_timeout(&self) -> Duration {
        Duration::from_secs_f64(2.0 * self.round_ms / 1_000.0) + FIRST
    }
}
