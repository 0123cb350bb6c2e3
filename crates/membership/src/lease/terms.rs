//! The lease terms that all members of a fleet share, and the grantors of each slot.

use rand::seq::index::sample;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Units of one slot. A fleet's bound is this many units for each of its numbers.
pub const SLOT_UNITS: u64 = 1_000_000;
/// Units of a slot that its owner keeps while its process lives, even when it is cut off from the others.
pub const KEPT_UNITS: u64 = 700_000;
/// Units of a slot that its owner has only while a majority of the slot's grantors hears from it.
pub const LENT_UNITS: u64 = SLOT_UNITS - KEPT_UNITS;
/// The most grantors of one slot. In a fleet of this size or smaller every member is one.
pub const MAX_GRANTORS: usize = 7;

/// Unit of [`LeaseTerms::max_drift_per_mille`].
const PER_MILLE: u64 = 1_000;

/// The terms of a fleet's leases. They have to be the same at every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Numbers of the fleet, and so slots of a bound: at least 1.
    pub members: u32,
    /// Length of a lease, ms.
    pub lease_ms: u64,
    /// How much faster or slower than true time a member's clock may run, in thousandths: 0 to 100.
    pub max_drift_per_mille: u64,
    /// Whether a refused connection proves that no process is left at an address.
    pub trust_refusals: bool,
}

impl LeaseTerms {
    /// How long a grantor waits until something that was granted for `duration_ms` is surely over, ms of its
    /// own clock, rounded up.
    #[must_use]
    pub fn grantor_hold_ms(&self, duration_ms: u64) -> u64 {
        duration_ms.saturating_mul(PER_MILLE + self.max_drift_per_mille).div_ceil(PER_MILLE)
    }

    /// How long a holder may use what was granted for `duration_ms`, ms of its own clock from its request on,
    /// rounded down.
    #[must_use]
    pub fn holder_use_ms(&self, duration_ms: u64) -> u64 {
        duration_ms.saturating_mul(PER_MILLE.saturating_sub(self.max_drift_per_mille)) / PER_MILLE
    }

    /// The grantors of a slot in ascending order, the same at all members.
    ///
    /// In a fleet of up to [`MAX_GRANTORS`] they are all members. In a larger one they are drawn from the
    /// members other than the slot's owner, so that a crash of the owner costs no grant.
    #[must_use]
    pub fn grantors(&self, slot: u32) -> Vec<u32> {
        let members = self.members.max(1);
        if members as usize <= MAX_GRANTORS {
            return (0..members).collect();
        }
        let others = members as usize - 1;
        let mut rng = ChaCha8Rng::seed_from_u64(u64::from(slot) << 32 | u64::from(self.members));
        let drawn = sample(&mut rng, others, MAX_GRANTORS).into_iter().map(|index| index as u32);
        let mut grantors: Vec<u32> =
            drawn.map(|index| if index < slot { index } else { index + 1 }).collect();
        grantors.sort_unstable();
        grantors
    }

    /// How many of a slot's grantors are a majority.
    #[must_use]
    pub fn majority(&self, slot: u32) -> usize {
        self.grantors(slot).len() / 2 + 1
    }
}
