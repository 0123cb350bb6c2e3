//! Turns for those that start, given by an agent that all of them can ask, beside their slots.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{AdaptiveShare, PollOutcome, SlotSchedule};

/// The part of what the service bears that turns may take, beside the half of slots that calls at rest take.
const PACE: f64 = 0.45;
/// The part of that with which turns begin: the tenth of the service that no slot takes.
const FIRST: f64 = 0.22;
/// A turn is given so long before it is due, ms, at most. Danger: turns that were given before the service
/// began to turn calls away.
const AHEAD_MS: f64 = 100.0;
/// One that waits asks again after so long, ms, at least and at most.
const ASK_MS: (f64, f64) = (50.0, 2_000.0);
/// One that does not ask again for so long after it should have, ms, is not waited for any more.
const GONE_MS: f64 = 1_000.0;
/// A list that is so old, ms, is fetched anew.
const FRESH_MS: f64 = 5_000.0;
/// How long one that fetches the list may take, ms, before another does.
const FETCH_MS: f64 = 5_000.0;
/// Gateways that are held at most; further ones keep to their slots.
const MAX_STARTING_GATEWAYS: usize = 10_000;

/// What one that starts is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartTurn {
    /// To make its first call at this moment, Unix time in ms, if its slot does not come before.
    Call {
        /// The moment.
        at_ms: f64,
        /// Whether it is to fetch the whole list and tell it.
        fetch: bool,
    },
    /// To ask again after so long, ms.
    AskAgain {
        /// How long.
        after_ms: f64,
    },
    /// To keep to its slots.
    UseSlots,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Its place in the line.
    Waits(u64),
    /// It had its turn, or was told of the list without one.
    Had,
}

#[derive(Clone, Copy, Debug)]
struct Starter {
    boot: u64,
    state: State,
    /// Until when it is held, Unix time in µs.
    until_us: u64,
}

/// Those of a fleet that start, in the line for turns.
///
/// Danger: some tens of hundreds that start and wait for slots laid out for all, before a service with
/// nothing to do. Harm: calls beside those of the slots, up to 0.45 of what the service is said to bear.
#[derive(Clone, Debug)]
pub struct StartBatches {
    per_s: f64,
    share: AdaptiveShare,
    starters: HashMap<String, Starter>,
    line: BTreeMap<u64, String>,
    /// When each of them is held no more.
    ends: BTreeSet<(u64, String)>,
    next: u64,
    /// The first moment that no turn has taken.
    free_ms: f64,
    /// How long a round of the fleet lasts, by who asked last.
    round_ms: f64,
    list_ms: Option<f64>,
    fetched_by_ms: Option<f64>,
}

impl StartBatches {
    /// For a service that bears `calls_per_s` calls a second from all gateways, 0.001 at least.
    #[must_use]
    pub fn new(calls_per_s: f64) -> StartBatches {
        StartBatches {
            per_s: calls_per_s.max(0.001),
            share: AdaptiveShare::starting_at(FIRST),
            starters: HashMap::new(),
            line: BTreeMap::new(),
            ends: BTreeSet::new(),
            next: 0,
            free_ms: 0.0,
            round_ms: 0.0,
            list_ms: None,
            fetched_by_ms: None,
        }
    }

    /// Turns a second in a fleet of so many, 0 where all of them wait.
    #[must_use]
    pub fn turns_per_s(&self, gateways: u32) -> f64 {
        let waits = self.line.len() as f64 / f64::from(gateways.max(1));
        PACE * self.per_s * self.share.part() * (1.0 - waits).max(0.0)
    }

    /// How many wait for a turn.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.line.len()
    }

    /// A gateway of a fleet of so many starts, or asks again: its name, and its process.
    pub fn request_turn(&mut self, now_ms: f64, name: &str, boot: u64, gateways: u32) -> StartTurn {
        self.expire(now_ms);
        self.round_ms = SlotSchedule::new(0, gateways, self.per_s).round().as_secs_f64() * 1_000.0;
        let place = match self.starters.get(name).map(|starter| starter.state) {
            // Danger: one that crashes in a loop, each time the next in line.
            Some(State::Had) => return StartTurn::UseSlots,
            // One that crashed while it waited keeps its place.
            Some(State::Waits(place)) => place,
            None if self.starters.len() >= MAX_STARTING_GATEWAYS => return StartTurn::UseSlots,
            None => {
                self.next += 1;
                self.line.insert(self.next, name.to_string());
                self.hold(name, boot, State::Waits(self.next), now_ms);
                self.next
            }
        };
        let (first, pace) =
            (self.line.first_key_value().map_or(place, |(first, _)| *first), self.turns_per_s(gateways));
        let apart_ms = 1_000.0 / pace.max(1e-6);
        let free_ms = self.free_ms.max(now_ms);
        let due_ms = free_ms + (place - first) as f64 * apart_ms;
        if pace > 0.0 && due_ms <= now_ms + AHEAD_MS {
            self.free_ms = free_ms + apart_ms;
            self.had(name, boot, now_ms);
            return StartTurn::Call { at_ms: free_ms, fetch: self.fetches(now_ms) };
        }
        let after_ms = (due_ms - now_ms - AHEAD_MS / 2.0).clamp(ASK_MS.0, ASK_MS.1);
        self.hold(name, boot, State::Waits(place), now_ms + after_ms + GONE_MS);
        StartTurn::AskAgain { after_ms }
    }

    /// What the first call of one that starts came to, after so long, ms, in its turn or in a slot before;
    /// and whether it told the whole list.
    pub fn call_ended(
        &mut self,
        now_ms: f64,
        name: &str,
        boot: u64,
        came: PollOutcome,
        took_ms: f64,
        list: bool,
    ) {
        self.expire(now_ms);
        if list {
            (self.list_ms, self.fetched_by_ms) = (Some(now_ms), None);
        }
        // Danger: what another process of that name came to, or one that never asked.
        if self.starters.get(name).is_none_or(|starter| starter.boot != boot) {
            return;
        }
        match came {
            PollOutcome::Updated | PollOutcome::Unchanged => {
                self.share.record_response(Some(took_ms.max(0.0)))
            }
            PollOutcome::Rejected(_) | PollOutcome::TimedOut => self.share.refused(true),
            PollOutcome::OlderVersion | PollOutcome::Failed => {}
        }
        self.had(name, boot, now_ms);
    }

    /// Whether who calls now is to fetch the list for all.
    fn fetches(&mut self, now_ms: f64) -> bool {
        let fresh = self.list_ms.is_some_and(|at| now_ms - at < FRESH_MS);
        let fetched = self.fetched_by_ms.is_some_and(|by| now_ms < by);
        if !fresh && !fetched {
            self.fetched_by_ms = Some(now_ms + FETCH_MS);
        }
        !fresh && !fetched
    }

    /// It has no other turn for a round.
    fn had(&mut self, name: &str, boot: u64, now_ms: f64) {
        if let Some(Starter { state: State::Waits(place), .. }) = self.starters.get(name) {
            self.line.remove(place);
        }
        self.hold(name, boot, State::Had, now_ms + self.round_ms);
    }

    fn hold(&mut self, name: &str, boot: u64, state: State, until_ms: f64) {
        let until_us = (until_ms.max(0.0) * 1_000.0) as u64;
        let old = self.starters.insert(name.to_string(), Starter { boot, state, until_us });
        if let Some(old) = old {
            self.ends.remove(&(old.until_us, name.to_string()));
        }
        self.ends.insert((until_us, name.to_string()));
    }

    /// Forgets those whose time is over.
    fn expire(&mut self, now_ms: f64) {
        let now_us = (now_ms.max(0.0) * 1_000.0) as u64;
        while self.ends.first().is_some_and(|(until_us, _)| *until_us < now_us) {
            let Some((_, name)) = self.ends.pop_first() else { return };
            if let Some(Starter { state: State::Waits(place), .. }) = self.starters.remove(&name) {
                self.line.remove(&place);
            }
        }
    }
}
