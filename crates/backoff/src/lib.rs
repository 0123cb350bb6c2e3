//! Backoff of a gateway that calls a service which it shares with all gateways of its fleet. No I/O, no
//! clock.
//!
//! A pause that suits one gateway is a storm from a hundred: rejected together they come back together, and
//! what the service spends on rejecting them it lacks for answers. So a gateway takes its share of the
//! calls a second that all of them may make, after each failure half of it, and spreads its calls by chance
//! (exponential backoff with equal jitter, Brooker, "Exponential Backoff And Jitter", 2015). The pauses are
//! continuous in the number of gateways: a few of them pause as one does.

use std::time::Duration;

/// Doublings from the first pause of a large fleet to its longest.
const DOUBLINGS: u32 = 2;
/// Least part of a pause that is waited, where chance adds up to a whole pause.
const LEAST_JITTER: f64 = 0.5;
/// The longest that jitter makes a pause, against the pause itself.
const LONGEST_JITTER: f64 = 1.5;

/// Pauses of one gateway between calls that fail.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    max_delay: Duration,
    /// The pause after the next failure, before jitter.
    next: Duration,
    random: u64,
}

impl Backoff {
    /// For one of `gateways` gateways (0 counts as 1) that share a service. The first pause after a success
    /// is `first` and the longest `most`, each longer where the fleet is so large that its share of the
    /// calls is less: one in `gateways x each`, where `each` is the time that the service is taken to need
    /// for a call. `seed` is the gateway's own; equal seeds pause alike.
    ///
    /// No pause is longer than `limit`, however many gateways there are: a gateway that must not receive
    /// updates later than that can't wait longer for its turn. So a fleet of more than `limit / each` calls
    /// more often than the service is taken to bear while it rejects them.
    #[must_use]
    pub fn new(
        first: Duration,
        most: Duration,
        each: Duration,
        limit: Duration,
        gateways: u32,
        seed: u64,
    ) -> Backoff {
        let share = each.saturating_mul(gateways.max(1));
        let limit = limit.mul_f64(1.0 / LONGEST_JITTER);
        let first = first.max(share).min(limit);
        let longest = most.max(share.saturating_mul(1 << DOUBLINGS)).min(limit).max(first);
        Backoff { first, max_delay: longest, next: first, random: seed }
    }

    /// The pause before a call that none came before: from nothing up to this gateway's share of the calls,
    /// and to `limit`. Gateways that start together must not call together; nor may one wait so long for
    /// its turn that it uses an endpoint list from before its start for longer than it may.
    pub fn initial_delay(&mut self, each: Duration, limit: Duration, gateways: u32) -> Duration {
        let chance = self.random_fraction();
        each.saturating_mul(gateways.saturating_sub(1)).min(limit).mul_f64(chance)
    }

    /// A call was answered: the next failure is a first one.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// The pause after a call that failed: by chance from half of the present one to the whole and a half.
    pub fn next_delay(&mut self) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.max_delay);
        let chance = self.random_fraction();
        pause.mul_f64(LEAST_JITTER + chance)
    }

    /// The longest pause there may be.
    #[must_use]
    pub fn max_delay(&self) -> Duration {
        self.max_delay.mul_f64(LONGEST_JITTER)
    }

    /// A number in [0, 1): SplitMix64 (Steele, Lea and Flood, 2014).
    fn random_fraction(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.random;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
        (x >> 11) as f64 / (1u64 << 53) as f64
    }
}
