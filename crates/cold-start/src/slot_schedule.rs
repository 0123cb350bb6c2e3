//! A slot for each gateway of a fleet, in rounds of a clock that all of them share.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The part of a service's capacity that the slots of all gateways use.
const UTILIZATION: f64 = 0.9;
/// The least capacity of a service, calls a second.
const MIN_CALLS_PER_S: f64 = 0.001;
/// Seeds of two rounds are this far apart, more than a fleet has gateways.
const SEEDS_PER_ROUND: u64 = 1 << 20;

/// A gateway's slot in one round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slot {
    /// Number of the round, counted from the begin of Unix time.
    pub round: u64,
    /// The moment in the slot at which the gateway calls, Unix time in ms.
    pub start_ms: f64,
}

/// The moments at which one gateway may call a service that a fleet shares: one in each round.
///
/// Round `k` begins at `k` times the round's length in Unix time, and its slot `i` belongs to gateway `i`. So
/// a gateway keeps its slot over restarts, also when it crashes in a loop, and any part of a fleet calls one
/// after another, at whatever moments it starts or is rejected. In return a gateway waits up to a round.
#[derive(Clone, Copy, Debug)]
pub struct SlotSchedule {
    slot_ms: f64,
    round_ms: f64,
    slot_index: u32,
}

impl SlotSchedule {
    /// The schedule of gateway `index`, from 0, of `gateways` (0 counts as 1; an index beyond them wraps)
    /// that share a service of `calls_per_s` calls a second, at least 0.001.
    #[must_use]
    pub fn new(index: u32, gateways: u32, calls_per_s: f64) -> SlotSchedule {
        let gateways = gateways.max(1);
        let slot_ms = 1_000.0 / (UTILIZATION * calls_per_s.max(MIN_CALLS_PER_S));
        SlotSchedule { slot_ms, round_ms: slot_ms * f64::from(gateways), slot_index: index % gateways }
    }

    /// Length of a round: time for one call of each gateway.
    #[must_use]
    pub fn round(&self) -> Duration {
        Duration::from_secs_f64(self.round_ms / 1_000.0)
    }

    /// Length of a slot.
    #[must_use]
    pub fn slot(&self) -> Duration {
        Duration::from_secs_f64(self.slot_ms / 1_000.0)
    }

    /// The round that a moment lies in.
    #[must_use]
    pub fn round_at(&self, at_ms: f64) -> u64 {
        (at_ms.max(0.0) / self.round_ms) as u64
    }

    /// The index of the slot that a moment lies in.
    #[must_use]
    pub fn slot_index_at(&self, at_ms: f64) -> u32 {
        (at_ms.max(0.0) % self.round_ms / self.slot_ms) as u32
    }

    /// This gateway's slot index.
    #[must_use]
    pub fn slot_index(&self) -> u32 {
        self.slot_index
    }

    /// This gateway's moment in a round, Unix time in ms.
    ///
    /// It lies anywhere in the slot, by chance and anew in each round: two gateways whose clocks differ do
    /// not meet in every one.
    #[must_use]
    pub fn slot_start_ms(&self, round: u64) -> f64 {
        let seed = round.wrapping_mul(SEEDS_PER_ROUND).wrapping_add(u64::from(self.slot_index));
        let within_slot: f64 = ChaCha8Rng::seed_from_u64(seed).random();
        round as f64 * self.round_ms + (f64::from(self.slot_index) + within_slot) * self.slot_ms
    }

    /// This gateway's first slot at `from_ms` or later, and in a round after `last_round` if there is one.
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
