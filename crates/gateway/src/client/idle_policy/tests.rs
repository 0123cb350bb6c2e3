use super::*;
use proptest::prelude::*;

/// Connections that are held where so many a second come, ask once and stay.
fn held(each_second: f64, most: usize) -> usize {
    let over = |n: &usize| *n as f64 > each_second * Usage::Once.idle_limit(*n, most).as_secs_f64();
    (0..=most).find(over).expect("the shortest time holds fewer than there are")
}

#[test]
fn connections_used_once_take_less_than_half_of_the_permits() {
    // 45 a second at 176 places is a day on record, whose clients may hold 128; they held all of them.
    for (pace, most) in [(45.0, 176), (200.0, 176), (45.0, 112), (100.0, 496), (5.0, 16)] {
        let held = held(pace, most);
        assert!(held <= most / 2, "{held} of {most} at {pace} a second");
    }
}

#[test]
fn a_pool_in_steady_use_keeps_its_connections() {
    // Some 30 of 176 are taken on a usual day, and a client of a pool comes back within seconds.
    assert!(Usage::Steady.idle_limit(30, 176) > Duration::from_secs(8));
    assert!(Usage::Steady.idle_limit(176, 176) >= Duration::from_secs(2));
}

proptest! {
    #[test]
    fn idle_limit_falls_in_small_steps_with_each_permit_taken(most in 2usize..2_000) {
        for kind in Usage::ALL {
            prop_assert!(kind.idle_limit(0, most) <= kind.idle_max());
            for taken in 1..=most + 1 {
                let (before, now) = (kind.idle_limit(taken - 1, most), kind.idle_limit(taken, most));
                prop_assert!(now <= before && now >= kind.idle_min());
                let step = (before - now).as_secs_f64();
                let steepest = kind.idle_max().as_secs_f64() * f64::from(kind.steepness()) / most as f64;
                prop_assert!(step <= steepest + 1e-6);
            }
            prop_assert!(Usage::Once.idle_limit(most, most) <= Usage::Steady.idle_limit(most, most));
        }
    }
}
