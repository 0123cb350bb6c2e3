//! Backoff delays in fleets of 1 to 1,000 gateways.

use std::time::Duration;

use backoff::Backoff;
use proptest::prelude::*;

const FIRST: Duration = Duration::from_millis(50);
const MAX: Duration = Duration::from_millis(1_000);
const CALL_TIME: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_millis(3_000);
/// Longest delay of the first call.
const START_LIMIT: Duration = Duration::from_millis(250);

fn fleet(gateways: u32, seed: u64) -> Vec<Backoff> {
    let backoff = |g: u64| {
        Backoff::new(FIRST, MAX, CALL_TIME, LIMIT, gateways, seed ^ g.wrapping_mul(0x5851_f42d_4c95_7f2d))
    };
    (0..u64::from(gateways)).map(backoff).collect()
}

proptest! {
    /// In fleets of every size no delay exceeds its limit. Within that limit, gateways whose calls all fail
    /// spread them out and call no more often than the service sustains.
    #[test]
    fn delays_keep_their_limits_and_spread_calls(gateways in 1u32..=1_000, seed: u64) {
        let mut calls = Vec::new();
        for backoff in &mut fleet(gateways, seed) {
            let mut at = backoff.initial_delay(CALL_TIME, START_LIMIT, gateways);
            prop_assert!(at <= START_LIMIT, "first call after {at:?}");
            while at < Duration::from_secs(90) {
                calls.push(at);
                let delay = backoff.next_delay();
                prop_assert!(delay <= LIMIT, "a delay of {delay:?}");
                at += delay;
            }
        }
        // In the long run the fleet uses a quarter of the rate that the service sustains. A single gateway
        // calls once a second, and one of a fleet whose delays reach the limit once in 2 s on average.
        let late_rate = calls.iter().filter(|at| **at >= Duration::from_secs(60)).count() as f64 / 30.0;
        let sustained = (1.0 / CALL_TIME.as_secs_f64() / 4.0).max(f64::from(gateways) / 2.0);
        let max_rate = sustained.min(f64::from(gateways) / MAX.as_secs_f64());
        prop_assert!(late_rate < max_rate * 1.5 + 0.5, "{late_rate} calls a second");
        // Gateways that start together do not call together: at most three times the mean of the spread.
        for ms in (0..10_000).step_by(100) {
            let (from, to) = (Duration::from_millis(ms), Duration::from_millis(ms + 100));
            let count = calls.iter().filter(|at| **at >= from && **at < to).count();
            let spread = (CALL_TIME * gateways).min(START_LIMIT).as_secs_f64();
            let mean = (f64::from(gateways) * 0.1 / spread).max(0.1 / CALL_TIME.as_secs_f64());
            prop_assert!(count as f64 <= 3.0 * mean + 10.0, "{count} calls in 100 ms from {ms} ms on");
        }
    }

    /// Delays are continuous in the size of the fleet: one more gateway lengthens them by its share at most.
    #[test]
    fn added_gateway_changes_the_longest_delay_little(gateways in 1u32..500, seed: u64) {
        let max_delay = |n: u32| Backoff::new(FIRST, MAX, CALL_TIME, LIMIT, n, seed).max_delay();
        let (with, without) = (max_delay(gateways + 1), max_delay(gateways));
        prop_assert!(with >= without && with - without <= CALL_TIME * 6);
    }

    /// Delays stay within their bounds and start over after an answer.
    #[test]
    fn delays_keep_their_bounds_and_reset_after_answers(
        gateways in 1u32..=500, seed: u64, failures in 1usize..20,
    ) {
        let mut backoff = Backoff::new(FIRST, MAX, CALL_TIME, LIMIT, gateways, seed);
        for _ in 0..failures {
            let delay = backoff.next_delay();
            prop_assert!(delay >= FIRST / 2 && delay <= backoff.max_delay());
        }
        backoff.reset();
        let delay = backoff.next_delay();
        prop_assert!(delay <= FIRST.max(CALL_TIME * gateways) * 3 / 2);
    }
}

#[test]
fn small_fleets_have_the_delays_of_one_gateway() {
    for gateways in [0, 1, 2] {
        let mut backoff = Backoff::new(FIRST, MAX, CALL_TIME, LIMIT, gateways, 7);
        assert!(backoff.next_delay() < FIRST * 3 / 2);
        assert_eq!(backoff.max_delay(), MAX * 3 / 2);
    }
}
