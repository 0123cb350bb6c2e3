//! What all members of a fleet have to have the same.

use rand::seq::index::sample;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Units of a slot; a bound has so many times the fleet's numbers.
pub const SLOT_UNITS: u64 = 1_000_000;
/// Those of them that the owner keeps while it lives, whatever it hears.
pub const KEPT_UNITS: u64 = 700_000;
/// Those that it has as long as a majority of the keepers hears it.
pub const LENT_UNITS: u64 = SLOT_UNITS - KEPT_UNITS;
/// Keepers of a slot, where there are more members than that; else all are.
pub const MAX_GRANTORS: usize = 7;

/// The terms of a fleet's leases. All members are to have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Numbers of the fleet, and so slots of a bound: 1 at least.
    pub members: u32,
    /// How long a lease lasts, ms.
    pub lease_ms: u64,
    /// How much faster or slower than true time a member's clock may run, in thousandths: 0 to 100.
    pub drift: u64,
    /// Whether a refused connection proves that nobody is at an address.
    pub trust_refusals: bool,
}

impl Terms {
    /// How long one's word is held to, ms, by the clock of who gave it: rounded up.
    #[must_use]
    pub fn held_ms(&self, lasts_ms: u64) -> u64 {
        lasts_ms.saturating_mul(1_000 + self.drift).div_ceil(1_000)
    }

    /// How long what was given may be used, ms, by the clock of who asked: rounded down.
    #[must_use]
    pub fn used_ms(&self, lasts_ms: u64) -> u64 {
        lasts_ms.saturating_mul(1_000u64.saturating_sub(self.drift)) / 1_000
    }

    /// The keepers of a slot, the same at all members: all of them where they are few, its owner among
    /// them; of more [`MAX_GRANTORS`] others than the owner. Danger: an owner that crashes and takes a word
    /// with it.
    #[must_use]
    pub fn keepers(&self, slot: u32) -> Vec<u32> {
        let members = self.members.max(1);
        if members as usize <= MAX_GRANTORS {
            return (0..members).collect();
        }
        let others = members as usize - 1;
        let mut dice = ChaCha8Rng::seed_from_u64(u64::from(slot) << 32 | u64::from(self.members));
        let drawn = sample(&mut dice, others, MAX_GRANTORS).into_iter();
        let mut keepers: Vec<u32> =
            drawn.map(|i| if (i as u32) < slot { i as u32 } else { i as u32 + 1 }).collect();
        keepers.sort_unstable();
        keepers
    }

    /// How many of a slot's keepers are a majority.
    #[must_use]
    pub fn majority(&self, slot: u32) -> usize {
        self.keepers(slot).len() / 2 + 1
    }
}
