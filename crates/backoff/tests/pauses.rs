//! The pauses of fleets of 1 to 500 gateways.

use std::time::Duration;

use backoff::Backoff;
use proptest::prelude::*;

const FIRST: Duration = Duration::from_millis(50);
const MOST: Duration = Duration::from_millis(1_000);
const EACH: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_millis(3_000);
/// The longest that the first call may wait.
const START: Duration = Duration::from_millis(250);

fn fleet(gateways: u32, seed: u64) -> Vec<Backoff> {
    let of = |g: u64| {
        Backoff::new(FIRST, MOST, EACH, LIMIT, gateways, seed ^ g.wrapping_mul(0x5851_f42d_4c95_7f2d))
    };
    (0..u64::from(gateways)).map(of).collect()
}

proptest! {
    /// However many there are, a gateway is never later than it may be; and as far as that allows, all of
    /// them that fail all the time call no more often than the service bears, and spread out.
    #[test]
    fn no_gateway_is_late_and_calls_are_spread(gateways in 1u32..=1_000, seed: u64) {
        let mut calls = Vec::new();
        for pauses in &mut fleet(gateways, seed) {
            let mut at = pauses.initial_delay(EACH, START, gateways);
            prop_assert!(at <= START, "the first call after {at:?}");
            while at < Duration::from_secs(90) {
                calls.push(at);
                let pause = pauses.next_delay();
                prop_assert!(pause <= LIMIT, "a pause of {pause:?}");
                at += pause;
            }
        }
        // In the long run a quarter of what it bears is asked; a single gateway asks once a second, and one
        // of more than there is time for after 2 s on the mean.
        let late = calls.iter().filter(|at| **at >= Duration::from_secs(60)).count() as f64 / 30.0;
        let share = (1.0 / EACH.as_secs_f64() / 4.0).max(f64::from(gateways) / 2.0);
        let most = share.min(f64::from(gateways) / MOST.as_secs_f64());
        prop_assert!(late < most * 1.5 + 0.5, "{late} a second");
        // Those that start together do not call together: at most three times the mean of the spread.
        for ms in (0..10_000).step_by(100) {
            let (from, to) = (Duration::from_millis(ms), Duration::from_millis(ms + 100));
            let together = calls.iter().filter(|at| **at >= from && **at < to).count();
            let spread = (EACH * gateways).min(START).as_secs_f64();
            let borne = (f64::from(gateways) * 0.1 / spread).max(0.1 / EACH.as_secs_f64());
            prop_assert!(together as f64 <= 3.0 * borne + 10.0, "{together} calls in 100 ms from {ms} ms on");
        }
    }

    /// The law has no brink: one gateway more makes the pauses longer by its share, or leaves them.
    #[test]
    fn one_gateway_more_changes_little(gateways in 1u32..500, seed: u64) {
        let longest = |n: u32| Backoff::new(FIRST, MOST, EACH, LIMIT, n, seed).max_delay();
        let (with, without) = (longest(gateways + 1), longest(gateways));
        prop_assert!(with >= without && with - without <= EACH * 6);
    }

    /// Pauses grow, stay within their bounds, and begin anew after an answer.
    #[test]
    fn pauses_double_within_their_bounds(gateways in 1u32..=500, seed: u64, failures in 1usize..20) {
        let mut pauses = Backoff::new(FIRST, MOST, EACH, LIMIT, gateways, seed);
        for _ in 0..failures {
            let pause = pauses.next_delay();
            prop_assert!(pause >= FIRST / 2 && pause <= pauses.max_delay());
        }
        pauses.reset();
        let again = pauses.next_delay();
        prop_assert!(again <= FIRST.max(EACH * gateways) * 3 / 2);
    }
}

#[test]
fn few_gateways_pause_like_one() {
    for gateways in [0, 1, 2] {
        let mut pauses = Backoff::new(FIRST, MOST, EACH, LIMIT, gateways, 7);
        assert!(pauses.next_delay() < FIRST * 3 / 2);
        assert_eq!(pauses.max_delay(), MOST * 3 / 2);
    }
}
