//! A slot for each gateway of a fleet, in rounds of the clock that all of them share.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The part of what a service bears that the slots of all gateways ask of it, at most.
const HEADROOM: f64 = 0.9;

/// The calls that one gateway may make to a service that all gateways share: one in each round.
///
/// Round `k` begins at `k` times the round's length in Unix time, and slot `p` of it belongs to gateway `p`.
/// So a gateway keeps its slot when it starts again, and any part of a fleet, started at any moments, calls
/// one after another.
///
/// Danger: gateways that start together call together; those that are turned away together come back
/// together; one that crashes in a loop calls at each start. Harm: a gateway waits for its slot, up to a
/// round.
#[derive(Clone, Copy, Debug)]
pub struct SlotSchedule {
    slot_ms: f64,
    round_ms: f64,
    slot_index: u32,
}

impl SlotSchedule {
    /// That of gateway `place`, from 0, of `gateways` (0 counts as 1; a place beyond them is counted round)
    /// that share a service of `calls_per_s` calls a second, 0.001 at least.
    #[must_use]
    pub fn new(place: u32, gateways: u32, calls_per_s: f64) -> SlotSchedule {
        let gateways = gateways.max(1);
        let slot_ms = 1_000.0 / (HEADROOM * calls_per_s.max(0.001));
        SlotSchedule { slot_ms, round_ms: slot_ms * f64::from(gateways), slot_index: place % gateways }
    }

    /// How long a round lasts: time for a call of each gateway.
    #[must_use]
    pub fn round(&self) -> Duration {
        Duration::from_secs_f64(self.round_ms / 1_000.0)
    }

    /// How long a slot lasts.
    #[must_use]
    pub fn slot(&self) -> Duration {
        Duration::from_secs_f64(self.slot_ms / 1_000.0)
    }

    /// The round that a moment lies in.
    #[must_use]
    pub fn round_at(&self, at_ms: f64) -> u64 {
        (at_ms.max(0.0) / self.round_ms) as u64
    }

    /// The place of the slot that a moment lies in.
    #[must_use]
    pub fn slot_index_at(&self, at_ms: f64) -> u32 {
        (at_ms.max(0.0) % self.round_ms / self.slot_ms) as u32
    }

    /// This gateway's place.
    #[must_use]
    pub fn place(&self) -> u32 {
        self.slot_index
    }

    /// This gateway's moment in a round. It lies anywhere in its slot, by chance and by the round.
    ///
    /// Danger: clocks that differ by just so much that the same two gateways meet in every round.
    #[must_use]
    pub fn slot_start_ms(&self, round: u64) -> f64 {
        let seed = round.wrapping_mul(1 << 20).wrapping_add(u64::from(self.slot_index));
        let within: f64 = ChaCha8Rng::seed_from_u64(seed).random();
        round as f64 * self.round_ms + (f64::from(self.slot_index) + within) * self.slot_ms
    }

    /// The first round whose moment is at `from_ms` or later, and after the round `after` if there is one;
    /// and that moment.
    #[must_use]
    pub fn next(&self, from_ms: f64, after: Option<u64>) -> (u64, f64) {
        let first = self.round_at(from_ms).max(after.map_or(0, |last| last + 1));
        let moment = self.slot_start_ms(first);
        if moment >= from_ms {
            (first, moment)
        } else {
            (first + 1, self.slot_start_ms(first + 1))
        }
    }
}
