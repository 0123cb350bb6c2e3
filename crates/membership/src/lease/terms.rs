//! The lease terms that all members of a fleet share, and the grantors of each slot.

use rand::seq::index::sample;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Units of one slot. A fleet's bound is this many units for each member number.
pub const SLOT_UNITS: u64 = 1_000_000;
/// Units of a slot that its owner keeps while its process is alive, even if it is partitioned from the
/// others.
pub const KEPT_UNITS: u64 = 700_000;
/// Units of a slot that its owner has only while a majority of the slot's grantors receives its renewals.
pub const LENT_UNITS: u64 = SLOT_UNITS - KEPT_UNITS;
/// Maximum number of grantors of one slot. In a fleet of up to this size every member is a grantor.
pub const MAX_GRANTORS: usize = 7;

/// Denominator of [`LeaseTerms::max_drift_per_mille`].
const PER_MILLE: u64 = 1_000;

/// Terms of a fleet's leases, which must be the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerms {
    /// Number of members of the fleet, and of slots of its bound: at least 1.
    pub members: u32,
    /// Length of a lease, ms.
    pub lease_ms: u64,
    /// Maximum deviation of a member's clock rate from true time, in thousandths: 0 to 100.
    pub max_drift_per_mille: u64,
    /// Whether a refused connection proves that no process is running at an address.
    pub trust_refusals: bool,
}

impl LeaseTerms {
    /// Returns how long a grantor waits until what it granted for `duration_ms` has certainly expired, ms of
    /// its own clock, rounded up.
    #[must_use]
    pub fn grantor_hold_ms(&self, duration_ms: u64) -> u64 {
        duration_ms.saturating_mul(PER_MILLE + self.max_drift_per_mille).div_ceil(PER_MILLE)
    }

    /// Returns how long after its request a holder may use what was granted for `duration_ms`, ms of its own
    /// clock, rounded down.
    #[must_use]
    pub fn holder_use_ms(&self, duration_ms: u64) -> u64 {
        duration_ms.saturating_mul(PER_MILLE.saturating_sub(self.max_drift_per_mille)) / PER_MILLE
    }

    /// Returns the grantors of a slot in ascending order, the same at all members.
    ///
    /// In a fleet of up to [`MAX_GRANTORS`] members all of them are grantors. In a larger one the grantors
    /// are drawn from the members other than the slot's owner, so that a crash of the owner does not remove a
    /// grantor.
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

    /// Returns the number of a slot's grantors that form a majority.
    #[must_use]
    pub fn majority(&self, slot: u32) -> usize {
        self.grantors(slot).len() / 2 + 1
    }
}
