//! Schedules a gateway's first connection to each backend, and decides when the backend may be selected.

mod backend;
mod stage;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use routing::{Subset, MIN_SUBSET_SIZE};

use crate::SlotSchedule;

use backend::{Backend, ConnectionState, QueuedBackend, RankedBackend, SlottedBackend};
pub use stage::RampStage;

/// Number of backends that are opened in the first round while the list is unconfirmed. It doubles with each
/// further round.
const INITIAL_BACKENDS: usize = MIN_SUBSET_SIZE;
/// Number of rounds after which [`INITIAL_BACKENDS`] is doubled no further.
const MAX_DOUBLINGS: u64 = 20;
/// Attempts in flight for which one more backend is opened.
const ATTEMPTS_PER_BACKEND: usize = 2;
/// Maximum number of rounds after the confirmation of the list that the other backends wait for the subset.
const RELEASE_ROUNDS: f64 = 2.0;
/// Minimum backoff after a first connection failed, ms. It doubles with each consecutive failure.
const MIN_BACKOFF_MS: f64 = 200.0;
/// Maximum backoff, ms, unless a round is longer.
const MAX_BACKOFF_MS: f64 = 20_000.0;
/// Consecutive failures after which the backoff doubles no further.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// A slot that is missed by this time, ms, is skipped. Otherwise gateways that were suspended and resumed at
/// the same time would all connect at once.
const MAX_LATENESS_MS: f64 = 100.0;
/// How long a gateway waits for its first backend, in addition to two rounds.
const FIRST_RESPONSE_ALLOWANCE: Duration = Duration::from_millis(500);

/// The listed backends of one gateway that accept requests: which of them are open, and when each of the
/// others gets its first connection.
///
/// Without the ramp, each of hundreds of gateways would use its own requests to find out which backends are
/// gone, and all of them would connect at once to a backend that returns. So a backend gets at most one first
/// connection per slot from the whole fleet: gateway `g` of `N` has the slot `(g + key) mod N` of each round
/// for it. The cost is that a backend gets its first request from a gateway up to a round after it was
/// listed.
///
/// A gateway uses slots for its subset, the backends that it prefers by rendezvous hashing, and for as many
/// others as its load needs. The remaining backends may be selected once the subset was tried; requests that
/// spill over to one of them open a connection to it when they need one.
#[derive(Clone, Debug)]
pub struct ConnectionRamp {
    subset: Subset,
    gateway_index: u32,
    gateways: u32,
    connections_per_s: f64,
    round_ms: f64,
    started_ms: f64,
    backends: HashMap<u32, Backend>,
    deferred_by_rank: BTreeSet<RankedBackend>,
    deferred_by_slot: BTreeSet<SlottedBackend>,
    queue: BTreeSet<QueuedBackend>,
    open_count: usize,
    /// Number of [pending](Backend::is_pending) backends.
    pending_count: usize,
    /// When the list was confirmed, Unix time in ms.
    confirmed_ms: Option<f64>,
    /// Whether deferred backends may be selected.
    released: bool,
    /// Number of attempts that failed before the deferred backends were released.
    failed_attempts: usize,
}

impl ConnectionRamp {
    /// Returns the ramp of gateway `gateway_index` (from 0) of `gateways` (0 counts as 1) that starts at
    /// `now_ms`, Unix time. A backend accepts `connections_per_s` first connections a second from all
    /// gateways; values below 0.001 count as 0.001.
    #[must_use]
    pub fn new(
        gateway_index: u32,
        gateways: u32,
        subset: Subset,
        connections_per_s: f64,
        now_ms: f64,
    ) -> ConnectionRamp {
        let round = SlotSchedule::new(0, gateways, connections_per_s).round();
        ConnectionRamp {
            subset,
            gateway_index,
            gateways: gateways.max(1),
            connections_per_s,
            round_ms: round.as_secs_f64() * 1_000.0,
            started_ms: now_ms,
            backends: HashMap::new(),
            deferred_by_rank: BTreeSet::new(),
            deferred_by_slot: BTreeSet::new(),
            queue: BTreeSet::new(),
            open_count: 0,
            pending_count: 0,
            confirmed_ms: None,
            released: false,
            failed_attempts: 0,
        }
    }

    /// Returns this gateway's slots for the backend with that key.
    fn slots_for(&self, key: u64) -> SlotSchedule {
        let gateways = u64::from(self.gateways);
        let index = (u64::from(self.gateway_index) + key % gateways) % gateways;
        SlotSchedule::new(index as u32, self.gateways, self.connections_per_s)
    }

    /// Adds a listed backend that accepts requests: `id` is local to this gateway, `key` is the same at all
    /// gateways, and `warming_from_ms` is when its warm-up started, Unix time in ms. Returns whether it may
    /// be selected now. If not, the caller calls [`ConnectionRamp::choose`] and [`ConnectionRamp::release`]
    /// once the whole list was added.
    ///
    /// A later incarnation has no connections, so it waits for its slot like a new backend.
    pub fn add(&mut self, id: u32, key: u64, warming_from_ms: f64) -> bool {
        let known = self.backends.get(&id).filter(|backend| backend.warming_from_ms >= warming_from_ms);
        if let Some(known) = known {
            return known.state == ConnectionState::Open;
        }
        self.remove(id);
        let rank = self.subset.threshold(key).to_bits();
        let state = ConnectionState::Deferred;
        self.backends.insert(id, Backend { key, warming_from_ms, rank, state, failures: 0 });
        self.deferred_by_rank.insert(RankedBackend { rank, id });
        self.deferred_by_slot.insert(SlottedBackend { slot_index: self.slots_for(key).slot_index(), id });
        false
    }

    /// Removes a backend that drains or is no longer listed. If it accepts requests again, it waits for a new
    /// slot.
    pub fn remove(&mut self, id: u32) {
        let Some(backend) = self.backends.remove(&id) else { return };
        match backend.state {
            ConnectionState::Deferred => self.remove_deferred(id, backend.rank, backend.key),
            ConnectionState::Queued { at_us } => {
                self.queue.remove(&QueuedBackend { at_us, id });
            }
            ConnectionState::Connecting => {}
            ConnectionState::Open => self.open_count -= 1,
        }
        self.pending_count -= usize::from(backend.is_pending());
    }

    fn remove_deferred(&mut self, id: u32, rank: u64, key: u64) {
        self.deferred_by_rank.remove(&RankedBackend { rank, id });
        self.deferred_by_slot.remove(&SlottedBackend { slot_index: self.slots_for(key).slot_index(), id });
    }

    /// Removes all backends that a snapshot of the list does not contain.
    pub fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        let removed: Vec<u32> = self.backends.keys().copied().filter(|id| !is_listed(*id)).collect();
        for id in removed {
            self.remove(id);
        }
    }

    /// Records that the list was confirmed at `now_ms`.
    pub fn confirm(&mut self, now_ms: f64) {
        self.confirmed_ms.get_or_insert(now_ms);
    }

    /// Whether the list was confirmed.
    #[must_use]
    pub fn confirmed(&self) -> bool {
        self.confirmed_ms.is_some()
    }

    /// Records a failed attempt to an open backend. Until the deferred backends are released, one more
    /// backend is opened for each failure.
    pub fn record_failure(&mut self) {
        if !self.released {
            self.failed_attempts = self.failed_attempts.saturating_add(1).min(self.backends.len());
        }
    }

    /// Returns the stage of the gateway's start.
    #[must_use]
    pub fn stage(&self) -> RampStage {
        if self.backends.is_empty() {
            RampStage::Empty
        } else if !self.confirmed() {
            RampStage::Known
        } else if self.released && self.pending_count == 0 {
            RampStage::Warm
        } else {
            RampStage::Confirmed
        }
    }

    /// Returns the number of backends that may be selected.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns the number of listed backends that may not be selected yet.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.backends.len() - self.open_count
    }

    /// Returns how many backends should be open or have a slot at `now_ms`.
    ///
    /// Half of the backends on an unconfirmed list may be gone, and if every gateway tried all of them, the
    /// fleet would spend its first connections on finding that out. So a gateway uses few backends until the
    /// list is confirmed. The number doubles with each round, so that without a confirmation all backends are
    /// in use after ten rounds.
    fn wanted_count(&self, now_ms: f64, attempts_in_flight: usize) -> usize {
        let until_ms = self.confirmed_ms.unwrap_or(now_ms);
        let rounds = ((until_ms - self.started_ms).max(0.0) / self.round_ms) as u64;
        let by_time = INITIAL_BACKENDS.saturating_mul(1 << rounds.min(MAX_DOUBLINGS));
        by_time.saturating_add(attempts_in_flight / ATTEMPTS_PER_BACKEND).saturating_add(self.failed_attempts)
    }

    /// Assigns slots to deferred backends: to the whole subset once the list was confirmed, and to others, in
    /// the order of their slots, until enough backends are open or pending. A backend whose first connection
    /// failed does not count, so that another is tried in its place.
    pub fn choose(&mut self, now_ms: f64, attempts_in_flight: usize) {
        let wanted = if self.released { 0 } else { self.wanted_count(now_ms, attempts_in_flight) };
        let subset_degree = self.subset.degree(self.backends.len());
        loop {
            let mut chosen = self.next_of_subset(subset_degree);
            if chosen.is_none() && self.open_count + self.pending_count < wanted {
                chosen = self.next_by_slot(now_ms);
            }
            let Some(id) = chosen else { return };
            let Some(Backend { rank, key, .. }) = self.backends.get(&id).copied() else { return };
            self.remove_deferred(id, rank, key);
            self.pending_count += 1;
            self.enqueue(id, now_ms);
        }
    }

    /// Returns the highest-ranked deferred backend of the subset, once the list was confirmed.
    fn next_of_subset(&self, subset_degree: f64) -> Option<u32> {
        let first = self.deferred_by_rank.first().filter(|_| self.confirmed())?;
        (f64::from_bits(first.rank) < subset_degree).then_some(first.id)
    }

    /// Returns the deferred backend whose slot comes next.
    fn next_by_slot(&self, now_ms: f64) -> Option<u32> {
        let current = self.slots_for(0).slot_index_at(now_ms);
        let later = self.deferred_by_slot.range(SlottedBackend { slot_index: current + 1, id: 0 }..).next();
        later.or(self.deferred_by_slot.first()).map(|backend| backend.id)
    }

    /// Opens the deferred backends once the list was confirmed and either no backend is pending any more or
    /// two rounds have passed since. Returns the backends that may be selected from now on.
    pub fn release(&mut self, now_ms: f64) -> Vec<u32> {
        let Some(confirmed_ms) = self.confirmed_ms else { return Vec::new() };
        let may_release = self.pending_count == 0 || now_ms - confirmed_ms > RELEASE_ROUNDS * self.round_ms;
        self.released |= may_release && !self.backends.is_empty();
        if !self.released {
            return Vec::new();
        }
        self.deferred_by_slot.clear();
        let deferred = std::mem::take(&mut self.deferred_by_rank);
        let ids: Vec<u32> = deferred.into_iter().map(|backend| backend.id).collect();
        for id in &ids {
            self.set_state(*id, ConnectionState::Open);
        }
        self.open_count += ids.len();
        ids
    }

    /// Returns when to advance the ramp next, Unix time in ms: at the next slot, or when more backends are to
    /// be opened. `None` if only an update of the list can change anything.
    #[must_use]
    pub fn next_wakeup_ms(&self, now_ms: f64) -> Option<f64> {
        let next_slot_ms = self.queue.first().map(|queued| queued.at_us as f64 / 1_000.0);
        if self.deferred_by_rank.is_empty() {
            return next_slot_ms;
        }
        let next_round = ((now_ms - self.started_ms).max(0.0) / self.round_ms).floor() + 1.0;
        let next_round_ms = self.started_ms + next_round * self.round_ms;
        Some(next_slot_ms.map_or(next_round_ms, |slot_ms| slot_ms.min(next_round_ms)))
    }

    /// Returns a backend whose first connection is due, until there is none. The caller opens the connection
    /// and reports its result with [`ConnectionRamp::first_connection_ended`].
    pub fn due(&mut self, now_ms: f64) -> Option<u32> {
        loop {
            let QueuedBackend { at_us, id } = *self.queue.first()?;
            let lateness_ms = now_ms - at_us as f64 / 1_000.0;
            if lateness_ms < 0.0 {
                return None;
            }
            self.queue.pop_first();
            if lateness_ms < MAX_LATENESS_MS {
                self.backends.get_mut(&id)?.state = ConnectionState::Connecting;
                return Some(id);
            }
            // The new slot is in the future, so the loop ends.
            self.enqueue(id, now_ms);
        }
    }

    /// Records that the first connection to a backend was opened or has failed; `warming_from_ms` identifies
    /// the incarnation. Returns whether the backend may be selected from now on; `false` for a result of
    /// another incarnation.
    pub fn first_connection_ended(
        &mut self,
        now_ms: f64,
        id: u32,
        warming_from_ms: f64,
        succeeded: bool,
    ) -> bool {
        let is_current = |backend: &&mut Backend| {
            backend.warming_from_ms == warming_from_ms && backend.state == ConnectionState::Connecting
        };
        let Some(backend) = self.backends.get_mut(&id).filter(is_current) else { return false };
        self.pending_count -= usize::from(backend.is_pending());
        if succeeded {
            backend.state = ConnectionState::Open;
            backend.failures = 0;
            self.open_count += 1;
            return true;
        }
        backend.failures = backend.failures.saturating_add(1);
        // A backend that stays unreachable is tried less and less often.
        let doublings = backend.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms = self.round_ms.max(MIN_BACKOFF_MS) * f64::from(1u32 << doublings);
        self.enqueue(id, now_ms + backoff_ms.min(MAX_BACKOFF_MS.max(self.round_ms)));
        false
    }

    /// Assigns to a backend this gateway's next slot for it at `from_ms` or later. `from_ms` is later than
    /// the previous slot, so that no round has two.
    fn enqueue(&mut self, id: u32, from_ms: f64) {
        let Some(key) = self.backends.get(&id).map(|backend| backend.key) else { return };
        let slot = self.slots_for(key).next_slot(from_ms, None);
        let at_us = (slot.start_ms * 1_000.0) as u64;
        self.queue.insert(QueuedBackend { at_us, id });
        self.set_state(id, ConnectionState::Queued { at_us });
    }

    fn set_state(&mut self, id: u32, state: ConnectionState) {
        if let Some(backend) = self.backends.get_mut(&id) {
            backend.state = state;
        }
    }

    /// Returns the length of a round: the time for one first connection from each gateway to one backend.
    #[must_use]
    pub fn round(&self) -> Duration {
        Duration::from_secs_f64(self.round_ms / 1_000.0)
    }

    /// Returns how long a gateway with listed backends waits for the first open one before it reports that it
    /// is ready: two rounds and the time for a response. Until a backend is open it would reject every
    /// request.
    #[must_use]
    pub fn readiness_timeout(&self) -> Duration {
        Duration::from_secs_f64(2.0 * self.round_ms / 1_000.0) + FIRST_RESPONSE_ALLOWANCE
    }
}
