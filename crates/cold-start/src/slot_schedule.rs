//! Time slots of the gateways of a fleet, in rounds of a shared clock.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Fraction of a service's capacity that the slots of all gateways use.
const UTILIZATION: f64 = 0.9;
/// Minimum capacity of a service, calls a second.
const MIN_CALLS_PER_S: f64 = 0.001;
/// Distance between the seeds of consecutive rounds. It exceeds the number of gateways, so that no two slots
/// have the same seed.
const SEEDS_PER_ROUND: u64 = 1 << 20;

/// A gateway's slot in one round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slot {
    /// Number of the round, counted from the Unix epoch.
    pub round: u64,
    /// When in the slot the gateway makes its call, Unix time in ms.
    pub start_ms: f64,
}

/// Times at which one gateway may call a service that a fleet shares: one slot in each round.
///
/// Round `k` begins at `k` times the round's length in Unix time, and its slot `i` belongs to gateway `i`. So
/// a gateway keeps its slot across restarts, even in a crash loop, and the calls of any set of gateways are
/// spread over the round, whenever the gateways start or are rejected. The cost is that a gateway waits up to
/// a round.
#[derive(Clone, Copy, Debug)]
pub struct SlotSchedule {
    slot_ms: f64,
    round_ms: f64,
    slot_index: u32,
}

impl SlotSchedule {
    /// Returns the schedule of gateway `index` (from 0) of `gateways` (0 counts as 1; a larger index wraps
    /// around) that share a service of `calls_per_s` calls a second; values below 0.001 count as 0.001.
    #[must_use]
    pub fn new(index: u32, gateways: u32, calls_per_s: f64) -> SlotSchedule {
        let gateways = gateways.max(1);
        let slot_ms = 1_000.0 / (UTILIZATION * calls_per_s.max(MIN_CALLS_PER_S));
        SlotSchedule { slot_ms, round_ms: slot_ms * f64::from(gateways), slot_index: index % gateways }
    }

    /// Returns the length of a round: the time for one call of each gateway.
    #[must_use]
    pub fn round(&self) -> Duration {
        Duration::from_secs_f64(self.round_ms / 1_000.0)
    }

    /// Returns the length of a slot.
    #[must_use]
    pub fn slot(&self) -> Duration {
        Duration::from_secs_f64(self.slot_ms / 1_000.0)
    }

    /// Returns the number of the round that contains `at_ms`.
    #[must_use]
    pub fn round_at(&self, at_ms: f64) -> u64 {
        (at_ms.max(0.0) / self.round_ms) as u64
    }

    /// Returns the index of the slot that contains `at_ms`.
    #[must_use]
    pub fn slot_index_at(&self, at_ms: f64) -> u32 {
        (at_ms.max(0.0) % self.round_ms / self.slot_ms) as u32
    }

    /// Returns this gateway's slot index.
    #[must_use]
    pub fn slot_index(&self) -> u32 {
        self.slot_index
    }

    /// Returns the time of this gateway's call in a round, Unix time in ms.
    ///
    /// It is drawn at random within the slot, for each round anew, so that two gateways whose clocks differ
    /// do not collide in every round.
    #[must_use]
    pub fn slot_start_ms(&self, round: u64) -> f64 {
        let seed = round.wrapping_mul(SEEDS_PER_ROUND).wrapping_add(u64::from(self.slot_index));
        let within_slot: f64 = ChaCha8Rng::seed_from_u64(seed).random();
        round as f64 * self.round_ms + (f64::from(self.slot_index) + within_slot) * self.slot_ms
    }

    /// Returns this gateway's first slot at `from_ms` or later, in a round after `last_round` if that is
    /// given.
    #[must_use]
    pub fn next_slot(&self, from_ms: f64, last_round: Option<u64>) -> Slot {
        let first_round = self.round_at(from_ms).max(last_round.map_or(0, |last| last + 1));
        let slot = self.slot_in(first_round);
        if slot.start_ms >= from_ms {
            slot
        } else {
            self.slot_in(first_round + 1)
        }
    }

    fn slot_in(&self, round: u64) -> Slot {
        Slot { round, start_ms: self.slot_start_ms(round) }
    }
}
