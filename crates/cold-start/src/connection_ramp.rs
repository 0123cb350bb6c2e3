//! When a gateway opens its first connection to each backend, and when the backend may be selected.

mod backend;
mod stage;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use routing::{Subset, MIN_SUBSET_SIZE};

use crate::SlotSchedule;

use backend::{Backend, ConnectionState, QueuedBackend, RankedBackend, SlottedBackend};
pub use stage::RampStage;

/// Backends that are opened in the first round while the list is unconfirmed; twice as many in each further
/// one.
const INITIAL_BACKENDS: usize = MIN_SUBSET_SIZE;
/// Rounds after which that number doubles no more.
const MAX_DOUBLINGS: u64 = 20;
/// Attempts in flight for each further backend that is opened.
const ATTEMPTS_PER_BACKEND: usize = 2;
/// Rounds after the list was confirmed in which backends of the subset may be waited for.
const RELEASE_ROUNDS: f64 = 2.0;
/// The least backoff after a first connection that failed, ms. It doubles with each failure in a row.
const MIN_BACKOFF_MS: f64 = 200.0;
/// The longest backoff, ms, where a round is shorter.
const MAX_BACKOFF_MS: f64 = 20_000.0;
/// Failures in a row after which the backoff doubles no more.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// A slot that has passed for this long, ms, is skipped: gateways that were stopped together and go on
/// together would connect together.
const MAX_LATENESS_MS: f64 = 100.0;
/// How long a gateway waits for its first backend, beside two rounds.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The backends of one gateway that take work by the list: which of them are open, and when the others get
/// their first connection.
///
/// Without it, hundreds of gateways would each find out by requests of their own which backends are gone, and
/// all would connect at once to one that is back. So each backend gets one first connection a slot from the
/// whole fleet: gateway `g` has the slot `(g + key) mod N` of a round for it. In return a backend gets its
/// first work from a gateway up to a round after it was listed.
///
/// A gateway uses slots for its subset, the backends that it prefers by rendezvous hashing, and for as many
/// more as its work needs. The others may be selected once the subset was tried: what overflows to them opens
/// a connection when it needs one.
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
    /// How many backends are [pending](Backend::is_pending).
    pending_count: usize,
    /// When the list was confirmed, Unix time in ms.
    confirmed_ms: Option<f64>,
    /// Whether deferred backends may be selected.
    released: bool,
    /// Attempts that failed before that.
    failed_attempts: usize,
}

impl ConnectionRamp {
    /// The ramp of gateway `gateway_index`, from 0, of `gateways` (0 counts as 1) that starts at `now_ms`,
    /// Unix time, where a backend takes `connections_per_s` first connections a second from all of them, at
    /// least 0.001.
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

    /// This gateway's slots for the backend with that key.
    fn slots_for(&self, key: u64) -> SlotSchedule {
        let gateways = u64::from(self.gateways);
        let index = (u64::from(self.gateway_index) + key % gateways) % gateways;
        SlotSchedule::new(index as u32, self.gateways, self.connections_per_s)
    }

    /// The list names a backend that takes work: its id at this gateway, its key at all gateways, and from
    /// when it is warming up, Unix time in ms. Returns whether it may be selected now; if not,
    /// [`ConnectionRamp::choose`] and [`ConnectionRamp::release`] are to follow once the whole list was
    /// added.
    ///
    /// A later incarnation is empty, so it waits for its slot as a new backend does.
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

    /// A backend drains or was removed from the list. When it takes work again it waits for a slot.
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

    /// Removes all backends that a whole list does not name.
    pub fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        let removed: Vec<u32> = self.backends.keys().copied().filter(|id| !is_listed(*id)).collect();
        for id in removed {
            self.remove(id);
        }
    }

    /// The cached list was confirmed, at `now_ms`.
    pub fn confirm(&mut self, now_ms: f64) {
        self.confirmed_ms.get_or_insert(now_ms);
    }

    /// Whether the list was confirmed.
    #[must_use]
    pub fn confirmed(&self) -> bool {
        self.confirmed_ms.is_some()
    }

    /// An attempt at an open backend failed. While few are open, another is opened in its place.
    pub fn record_failure(&mut self) {
        if !self.released {
            self.failed_attempts = self.failed_attempts.saturating_add(1).min(self.backends.len());
        }
    }

    /// How far the gateway has come.
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

    /// How many backends may be selected.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// How many backends on the list may not be selected yet.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.backends.len() - self.open_count
    }

    /// How many backends are to be open or to have a slot at `now_ms`.
    ///
    /// Half of an unconfirmed list may be gone, and a fleet whose gateways all tried all of it would only
    /// find that out. So a gateway keeps to few backends until then; all of them if that takes ten rounds.
    fn wanted_count(&self, now_ms: f64, attempts_in_flight: usize) -> usize {
        let until_ms = self.confirmed_ms.unwrap_or(now_ms);
        let rounds = ((until_ms - self.started_ms).max(0.0) / self.round_ms) as u64;
        let by_time = INITIAL_BACKENDS.saturating_mul(1 << rounds.min(MAX_DOUBLINGS));
        by_time.saturating_add(attempts_in_flight / ATTEMPTS_PER_BACKEND).saturating_add(self.failed_attempts)
    }

    /// Gives slots to as many deferred backends as are wanted, those whose slots come first; once the list
    /// was confirmed, to the whole subset. A backend whose first connection failed does not count: another is
    /// tried in its place.
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

    /// The first deferred backend of the subset, once the list was confirmed.
    fn next_of_subset(&self, subset_degree: f64) -> Option<u32> {
        let first = self.deferred_by_rank.first().filter(|_| self.confirmed())?;
        (f64::from_bits(first.rank) < subset_degree).then_some(first.id)
    }

    /// The deferred backend whose slot comes first.
    fn next_by_slot(&self, now_ms: f64) -> Option<u32> {
        let present = self.slots_for(0).slot_index_at(now_ms);
        let later = self.deferred_by_slot.range(SlottedBackend { slot_index: present + 1, id: 0 }..).next();
        later.or(self.deferred_by_slot.first()).map(|backend| backend.id)
    }

    /// Opens the deferred backends, once the list was confirmed and all that have a slot were tried or had
    /// two rounds for it. Returns those that may be selected from now on.
    pub fn release(&mut self, now_ms: f64) -> Vec<u32> {
        let Some(confirmed_ms) = self.confirmed_ms else { return Vec::new() };
        let waited_enough = self.pending_count == 0 || now_ms - confirmed_ms > RELEASE_ROUNDS * self.round_ms;
        self.released |= waited_enough && !self.backends.is_empty();
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

    /// When to look again, Unix time in ms: at the next slot, or when more backends are wanted. None if only
    /// an update of the list changes anything.
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

    /// A backend to which the first connection is to be opened now;
    /// [`ConnectionRamp::first_connection_ended`] is to follow. To be called until there is none.
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
            // Its next slot lies ahead, so this ends.
            self.enqueue(id, now_ms);
        }
    }

    /// The first connection to a backend was opened or has failed; `warming_from_ms` tells to which
    /// incarnation. Returns whether the backend may be selected from now on.
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
        // A backend that is gone for good is tried less and less.
        let doublings = backend.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff_ms = self.round_ms.max(MIN_BACKOFF_MS) * f64::from(1u32 << doublings);
        self.enqueue(id, now_ms + backoff_ms.min(MAX_BACKOFF_MS.max(self.round_ms)));
        false
    }

    /// Gives a backend this gateway's first slot for it from a moment on. It is called after the moment of
    /// the last slot, so that no round has two.
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

    /// Length of a round: time for a first connection of each gateway to one backend.
    #[must_use]
    pub fn round(&self) -> Duration {
        Duration::from_secs_f64(self.round_ms / 1_000.0)
    }

    /// How long a gateway with backends on its list waits for the first that is open before it is ready: two
    /// rounds and a response. Before, it would reject every client.
    #[must_use]
    pub fn readiness_timeout(&self) -> Duration {
        Duration::from_secs_f64(2.0 * self.round_ms / 1_000.0) + FIRST_RESPONSE_TIMEOUT
    }
}
