use super::*;
use proptest::prelude::*;

/// Returns the number of open connections in equilibrium if `opened_per_s` are opened, used once and kept
/// open by the client until the idle timeout.
fn open_in_equilibrium(opened_per_s: f64, total: usize) -> usize {
    let exceeds = |taken: &usize| {
        let limit = ConnectionUsage::UsedOnce.idle_limit(*taken, total);
        *taken as f64 > opened_per_s * limit.as_secs_f64()
    };
    (0..=total).find(exceeds).expect("the shortest timeout keeps fewer connections than there are permits")
}

#[test]
fn connections_used_once_take_less_than_half_of_the_permits() {
    // 45 connections per second at 176 permits is a recorded day, whose clients may hold 128 connections and
    // held all of them.
    for (opened_per_s, total) in [(45.0, 176), (200.0, 176), (45.0, 112), (100.0, 496), (5.0, 16)] {
        let open = open_in_equilibrium(opened_per_s, total);
        assert!(open <= total / 2, "{open} of {total} permits at {opened_per_s} connections per second");
    }
}

#[test]
fn reused_connections_outlast_the_pauses_of_a_client_pool() {
    // On a usual day some 30 of 176 permits are taken, and a client pool reuses a connection within seconds.
    assert!(ConnectionUsage::Reused.idle_limit(30, 176) > Duration::from_secs(8));
    assert!(ConnectionUsage::Reused.idle_limit(176, 176) >= Duration::from_secs(2));
}

proptest! {
    #[test]
    fn idle_limit_falls_in_small_steps_per_permit(total in 2usize..2_000) {
        for usage in ConnectionUsage::ALL {
            prop_assert!(usage.idle_limit(0, total) <= usage.idle_max());
            for taken in 1..=total + 1 {
                let (before, now) = (usage.idle_limit(taken - 1, total), usage.idle_limit(taken, total));
                prop_assert!(now <= before && now >= usage.idle_min());
                let step = (before - now).as_secs_f64();
                let steepest = usage.idle_max().as_secs_f64() * f64::from(usage.exponent()) / total as f64;
                prop_assert!(step <= steepest + 1e-6);
            }
            let (once, reused) = (ConnectionUsage::UsedOnce, ConnectionUsage::Reused);
            prop_assert!(once.idle_limit(total, total) <= reused.idle_limit(total, total));
        }
    }
}
