//! Exponential backoff for a gateway that calls a service which it shares with all gateways of its fleet.
//! The crate does no I/O and reads no clock.
//!
//! A delay that suits one gateway overloads the service when a hundred gateways use it: clients that are
//! rejected together retry together, and the capacity that the service spends on rejections is missing for
//! answers. Each gateway therefore calls at its share of the fleet's call rate, halves that rate after each
//! failure and randomizes its delays (exponential backoff with equal jitter, Brooker, "Exponential Backoff
//! And Jitter", 2015). Delays are a continuous function of the number of gateways, and a few gateways wait
//! no longer than a single one.

use std::time::Duration;

/// Number of times that a large fleet doubles its first delay.
const MAX_DOUBLINGS: u32 = 2;
/// Smallest jitter factor of a delay. The random part adds up to 1 to it.
const MIN_JITTER: f64 = 0.5;
/// Upper bound of the jitter factor.
const MAX_JITTER: f64 = 1.5;

/// Delays of one gateway after calls that fail: before jitter, each is twice the one before, up to a
/// maximum.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Duration,
    max_delay: Duration,
    /// Delay after the next failure, before jitter.
    next: Duration,
    random_state: u64,
}

impl Backoff {
    /// Creates the backoff of one of `gateways` gateways (0 counts as 1) that share a service.
    ///
    /// The first delay after a success is `first` and the longest is `max`. Both are longer in a fleet so
    /// large that a gateway's share of the call rate is lower: one call per `gateways x call_time`, where
    /// `call_time` is the time that the service is assumed to need for a call. Each gateway needs a `seed`
    /// of its own; equal seeds give equal delays.
    ///
    /// No delay exceeds `limit`, however many gateways there are, because a gateway must receive updates
    /// within that time. A fleet of more than `limit / call_time` gateways therefore calls more often than
    /// the service is assumed to sustain while it rejects them.
    #[must_use]
    pub fn new(
        first: Duration,
        max: Duration,
        call_time: Duration,
        limit: Duration,
        gateways: u32,
        seed: u64,
    ) -> Backoff {
        let fair_interval = call_time.saturating_mul(gateways.max(1));
        let limit = limit.mul_f64(1.0 / MAX_JITTER);
        let first = first.max(fair_interval).min(limit);
        let max_delay = max.max(fair_interval.saturating_mul(1 << MAX_DOUBLINGS)).min(limit).max(first);
        Backoff { first, max_delay, next: first, random_state: seed }
    }

    /// Returns a random delay before the first call, below the time that calls of all other gateways take
    /// together and below `limit`.
    ///
    /// The delay spreads the calls of gateways that start together. `limit` bounds the time for which a
    /// gateway uses an endpoint list from before its start.
    pub fn initial_delay(&mut self, call_time: Duration, limit: Duration, gateways: u32) -> Duration {
        let fraction = self.random_fraction();
        call_time.saturating_mul(gateways.saturating_sub(1)).min(limit).mul_f64(fraction)
    }

    /// Resets the delay to the first one, after a call that was answered.
    pub fn reset(&mut self) {
        self.next = self.first;
    }

    /// Returns the delay after a call that failed, with a random jitter factor in [0.5, 1.5), and doubles
    /// the next one.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max_delay);
        let fraction = self.random_fraction();
        delay.mul_f64(MIN_JITTER + fraction)
    }

    /// Upper bound of all delays, with jitter.
    #[must_use]
    pub fn max_delay(&self) -> Duration {
        self.max_delay.mul_f64(MAX_JITTER)
    }

    /// Returns a random number in [0, 1), by SplitMix64 (Steele, Lea and Flood, 2014).
    fn random_fraction(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.random_state;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
        (x >> 11) as f64 / (1u64 << 53) as f64
    }
}
