//! Turns that the fleet's agent gives to starting gateways, in addition to their slots.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::{AdaptiveShare, PollOutcome, SlotSchedule};

/// Fraction of the service's capacity that turns may use. Polls of the other gateways use half of the slots.
const CAPACITY_FOR_TURNS: f64 = 0.45;
/// Fraction of [`CAPACITY_FOR_TURNS`] that turns use at first: about the tenth of the service's capacity that
/// no slot uses.
const INITIAL_SHARE: f64 = 0.22;
/// Minimum capacity of a service, calls a second.
const MIN_CALLS_PER_S: f64 = 0.001;
/// Lower limit on the rate from which the interval between two turns is computed, turns a second.
const MIN_TURNS_PER_S: f64 = 1e-6;
/// Maximum time between the response to a gateway and its turn, ms. It is short because the service may start
/// to reject calls at any time.
const MAX_LEAD_MS: f64 = 100.0;
/// Minimum time after which a waiting gateway asks again, ms.
const MIN_ASK_AGAIN_MS: f64 = 50.0;
/// Maximum time after which a waiting gateway asks again, ms.
const MAX_ASK_AGAIN_MS: f64 = 2_000.0;
/// How late a waiting gateway may ask again, ms, before it loses its position in the queue.
const ASK_AGAIN_GRACE_MS: f64 = 1_000.0;
/// Age from which a list is fetched again, ms.
const LIST_FRESH_MS: f64 = 5_000.0;
/// Time that a gateway has to fetch the list, ms, before another one is told to fetch it.
const FETCH_TIMEOUT_MS: f64 = 5_000.0;
/// Maximum number of gateways that are tracked. Further ones use their slots.
const MAX_STARTING_GATEWAYS: usize = 10_000;

/// Instruction to a starting gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StartTurn {
    /// Make the first call, unless the gateway's slot comes earlier.
    Call {
        /// When to call, Unix time in ms.
        at_ms: f64,
        /// Whether to fetch the whole list and report it to the agent.
        fetch: bool,
    },
    /// Ask again.
    AskAgain {
        /// After this time, ms.
        after_ms: f64,
    },
    /// Use the gateway's slots.
    UseSlots,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum StartState {
    /// Waits for a turn at this position of the queue.
    Waiting { position: u64 },
    /// Was given a turn, or finished its first call without one.
    Done,
}

#[derive(Clone, Copy, Debug)]
struct StartingGateway {
    incarnation: u64,
    state: StartState,
    /// When the entry is removed, Unix time in µs.
    expires_us: u64,
}

/// When the entry of a gateway is removed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at_us: u64,
    name: String,
}

/// The starting gateways of a fleet, and their queue for turns.
///
/// Slots are sized for a start of the whole fleet. If only a part of it starts while the service is idle,
/// turns come sooner. They use up to 0.45 of the service's stated capacity in addition to the slots.
#[derive(Clone, Debug)]
pub struct StartBatches {
    calls_per_s: f64,
    share: AdaptiveShare,
    gateways: HashMap<String, StartingGateway>,
    queue: BTreeMap<u64, String>,
    expiries: BTreeSet<Expiry>,
    last_position: u64,
    /// Earliest time of the next turn, Unix time in ms.
    free_from_ms: f64,
    /// Length of a round, ms, for the fleet size that the last request stated.
    round_ms: f64,
    /// When a list was last fetched, Unix time in ms.
    list_fetched_ms: Option<f64>,
    /// When the gateway that fetches the list times out, Unix time in ms.
    fetch_deadline_ms: Option<f64>,
}

impl StartBatches {
    /// Returns an empty queue for a service that handles `calls_per_s` calls a second from all gateways;
    /// values below 0.001 count as 0.001.
    #[must_use]
    pub fn new(calls_per_s: f64) -> StartBatches {
        StartBatches {
            calls_per_s: calls_per_s.max(MIN_CALLS_PER_S),
            share: AdaptiveShare::starting_at(INITIAL_SHARE),
            gateways: HashMap::new(),
            queue: BTreeMap::new(),
            expiries: BTreeSet::new(),
            last_position: 0,
            free_from_ms: 0.0,
            round_ms: 0.0,
            list_fetched_ms: None,
            fetch_deadline_ms: None,
        }
    }

    /// Returns the turns a second in a fleet of `fleet_size` gateways; 0 if all of them wait.
    #[must_use]
    pub fn turns_per_s(&self, fleet_size: u32) -> f64 {
        let waiting_fraction = self.queue.len() as f64 / f64::from(fleet_size.max(1));
        CAPACITY_FOR_TURNS * self.calls_per_s * self.share.fraction() * (1.0 - waiting_fraction).max(0.0)
    }

    /// Returns the number of gateways that wait for a turn.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Handles a request of a starting or waiting gateway, identified by its name and its incarnation, in a
    /// fleet of `fleet_size` gateways.
    pub fn request_turn(&mut self, now_ms: f64, name: &str, incarnation: u64, fleet_size: u32) -> StartTurn {
        self.remove_expired(now_ms);
        let slots = SlotSchedule::new(0, fleet_size, self.calls_per_s);
        self.round_ms = slots.round().as_secs_f64() * 1_000.0;
        let Some(position) = self.queue_position(now_ms, name, incarnation) else {
            return StartTurn::UseSlots;
        };
        let first = self.queue.first_key_value().map_or(position, |(first, _)| *first);
        let turns_per_s = self.turns_per_s(fleet_size);
        let interval_ms = 1_000.0 / turns_per_s.max(MIN_TURNS_PER_S);
        let free_from_ms = self.free_from_ms.max(now_ms);
        let due_ms = free_from_ms + (position - first) as f64 * interval_ms;
        if turns_per_s > 0.0 && due_ms <= now_ms + MAX_LEAD_MS {
            self.free_from_ms = free_from_ms + interval_ms;
            self.finish(name, incarnation, now_ms);
            return StartTurn::Call { at_ms: free_from_ms, fetch: self.claim_fetch(now_ms) };
        }
        let after_ms = (due_ms - now_ms - MAX_LEAD_MS / 2.0).clamp(MIN_ASK_AGAIN_MS, MAX_ASK_AGAIN_MS);
        let expires_ms = now_ms + after_ms + ASK_AGAIN_GRACE_MS;
        self.track(name, incarnation, StartState::Waiting { position }, expires_ms);
        StartTurn::AskAgain { after_ms }
    }

    /// Returns the gateway's position in the queue, and appends a new gateway. `None` if it is to use its
    /// slots.
    ///
    /// A gateway that crashed while it waited keeps its position. One that had a turn gets no other for a
    /// round, so that a gateway in a crash loop is not always the next.
    fn queue_position(&mut self, now_ms: f64, name: &str, incarnation: u64) -> Option<u64> {
        match self.gateways.get(name).map(|gateway| gateway.state) {
            Some(StartState::Done) => None,
            Some(StartState::Waiting { position }) => Some(position),
            None if self.gateways.len() >= MAX_STARTING_GATEWAYS => None,
            None => {
                self.last_position += 1;
                let position = self.last_position;
                self.queue.insert(position, name.to_string());
                self.track(name, incarnation, StartState::Waiting { position }, now_ms);
                Some(position)
            }
        }
    }

    /// Records that the first call of a starting gateway ended `response_ms` after it was made, in its turn
    /// or in an earlier slot. `has_list` says whether the gateway reported the whole list.
    ///
    /// Only `has_list` counts if this incarnation did not request a turn.
    pub fn call_ended(
        &mut self,
        now_ms: f64,
        name: &str,
        incarnation: u64,
        outcome: PollOutcome,
        response_ms: f64,
        has_list: bool,
    ) {
        self.remove_expired(now_ms);
        if has_list {
            self.list_fetched_ms = Some(now_ms);
            self.fetch_deadline_ms = None;
        }
        if self.gateways.get(name).is_none_or(|gateway| gateway.incarnation != incarnation) {
            return;
        }
        match outcome {
            PollOutcome::Updated | PollOutcome::Unchanged => {
                self.share.record_response(Some(response_ms.max(0.0)));
            }
            PollOutcome::Rejected(_) | PollOutcome::TimedOut => self.share.record_rejection(true),
            PollOutcome::OlderVersion | PollOutcome::Failed => {}
        }
        self.finish(name, incarnation, now_ms);
    }

    /// Returns whether the gateway that gets a turn should fetch the list for all starting gateways. If
    /// so, records that the fetch has begun.
    fn claim_fetch(&mut self, now_ms: f64) -> bool {
        let is_fresh = self.list_fetched_ms.is_some_and(|at_ms| now_ms - at_ms < LIST_FRESH_MS);
        let is_being_fetched = self.fetch_deadline_ms.is_some_and(|deadline_ms| now_ms < deadline_ms);
        if is_fresh || is_being_fetched {
            return false;
        }
        self.fetch_deadline_ms = Some(now_ms + FETCH_TIMEOUT_MS);
        true
    }

    /// Marks a gateway as done: it gets no other turn for a round.
    fn finish(&mut self, name: &str, incarnation: u64, now_ms: f64) {
        if let Some(StartingGateway { state: StartState::Waiting { position }, .. }) = self.gateways.get(name)
        {
            self.queue.remove(position);
        }
        self.track(name, incarnation, StartState::Done, now_ms + self.round_ms);
    }

    fn track(&mut self, name: &str, incarnation: u64, state: StartState, expires_ms: f64) {
        let expires_us = micros(expires_ms);
        let gateway = StartingGateway { incarnation, state, expires_us };
        if let Some(old) = self.gateways.insert(name.to_string(), gateway) {
            self.expiries.remove(&Expiry { at_us: old.expires_us, name: name.to_string() });
        }
        self.expiries.insert(Expiry { at_us: expires_us, name: name.to_string() });
    }

    fn remove_expired(&mut self, now_ms: f64) {
        let now_us = micros(now_ms);
        while self.expiries.first().is_some_and(|expiry| expiry.at_us < now_us) {
            let Some(Expiry { name, .. }) = self.expiries.pop_first() else { return };
            let removed = self.gateways.remove(&name).map(|gateway| gateway.state);
            if let Some(StartState::Waiting { position }) = removed {
                self.queue.remove(&position);
            }
        }
    }
}

/// Converts to whole µs, which compare exactly.
fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1_000.0) as u64
}
