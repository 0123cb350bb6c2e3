//! Ejection, the retry budget and warm-up at one of 1 to 500 gateways with 1 to 1,000 backends.

mod support;

use std::collections::BTreeMap;

use gateway_policy::interface::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::*;

fn rig(gateways: u32, backends: u32, seed: u64) -> Rig {
    let mut settings = settings();
    settings.gateway_count = gateways;
    settings.limits.hedges = false;
    Rig::seeded(settings, backends, seed)
}

/// Submits an idempotent request whose attempts end with the `outcome` of their backend, until there are no
/// more. Returns the backends of the attempts.
fn run_request(rig: &mut Rig, id: u64, mut outcome: impl FnMut(u32) -> Outcome) -> Vec<u32> {
    rig.now += 20.0;
    let deadline_ms = rig.now + 4_000.0;
    let mut actions = rig.submit(Request { customer: id, deadline_ms, ..request(id, 0, 3, 1.0) });
    let mut sent = Vec::new();
    while let Some(to) = sent_to(&actions) {
        sent.push(to);
        actions = rig.end_attempt(id, sent.len() as u32 - 1, to, outcome(to));
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_seed: RngSeed::Fixed(33),
        ..ProptestConfig::default()
    })]

    /// A gateway that rarely sends to a backend must not eject it for one or two failures.
    #[test]
    fn backend_is_ejected_only_after_several_attempts(
        gateways in 1u32..=500, backends in 2u32..=1_000, failures in 1usize..=8, seed in any::<u64>(),
    ) {
        let mut rig = rig(gateways, backends, seed);
        let mut attempts: BTreeMap<u32, usize> = BTreeMap::new();
        for id in 0..400 {
            // The first attempts at each backend fail, and no later ones.
            run_request(&mut rig, id, |to| {
                let attempts = attempts.entry(to).or_default();
                *attempts += 1;
                if *attempts <= failures { Outcome::Error } else { Outcome::Ok }
            });
            let now = rig.now;
            for b in rig.gateway.backends(now).filter(|b| b.ejected) {
                let attempts = attempts.get(&b.id).copied().unwrap_or(0);
                prop_assert!(attempts >= 4, "{} was ejected after {attempts} attempts", b.id);
            }
        }
        if failures < 4 {
            let now = rig.now;
            prop_assert_eq!(rig.gateway.backends(now).filter(|b| b.ejected).count(), 0);
        }
    }

    /// If every backend fails, each request must still be tried, but not at every backend.
    #[test]
    fn retries_stay_within_their_budget_in_a_total_failure(
        gateways in 1u32..=500, backends in 1u32..=1_000, seed in any::<u64>(),
    ) {
        let mut rig = rig(gateways, backends, seed);
        let (mut attempts, requests) = (0, 400);
        for id in 0..requests {
            let sent = run_request(&mut rig, id, |_| Outcome::Error);
            prop_assert!(!sent.is_empty(), "request {id} was not tried");
            attempts += sent.len();
        }
        // A tenth of the requests, plus the initial budget: 20 retries divided among the gateways, between 1
        // and 10 for each.
        let saved = (20.0 / f64::from(gateways)).clamp(1.0, 10.0);
        let limit = 1.1 * requests as f64 + saved + 1.0;
        prop_assert!(attempts as f64 <= limit, "{attempts} attempts, limit {limit}");
    }
}

/// A start time in the future, from another clock or in another unit, must not keep a backend cold for years.
#[test]
fn future_start_time_counts_as_now() {
    for ahead in [50.0, 1e6, 1e15] {
        let mut rig = rig(1, 4, 1);
        let started_ms = rig.now + ahead;
        let entry = BackendEndpoint { started_ms, ..backends(1)[0].clone() };
        rig.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            endpoints: std::slice::from_ref(&entry),
        });
        let capacity = |rig: &Rig| {
            let now = rig.now;
            rig.gateway.backends(now).find(|b| b.id == 0).expect("listed").capacity_fraction
        };
        assert!(capacity(&rig) < 0.3, "cold at first");
        rig.now += 5_000.0;
        // The same entry again is not another start.
        rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &[entry] });
        assert!((0.5..0.7).contains(&capacity(&rig)), "{}", capacity(&rig));
        rig.now += 5_000.0;
        assert_eq!(capacity(&rig), 1.0, "{ahead} ms ahead");
    }
}
