//! Evidence and the budget of further attempts, at one gateway of 1 to 500 before 1 to 1,000 backends.

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

/// One more request of the safe class; its attempts end as `how` tells by backend, until it is answered.
fn play(rig: &mut Rig, id: u64, mut how: impl FnMut(u32) -> Outcome) -> Vec<u32> {
    rig.now += 20.0;
    let expires_ms = rig.now + 4_000.0;
    let mut actions = rig.ask(Request { customer: id, deadline_ms: expires_ms, ..request(id, 0, 3, 1.0) });
    let mut sent = Vec::new();
    while let Some(to) = sent_to(&actions) {
        sent.push(to);
        actions = rig.end(id, sent.len() as u32 - 1, to, how(to));
    }
    sent
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_seed: RngSeed::Fixed(33),
        ..ProptestConfig::default()
    })]

    /// A gateway that meets each backend seldom must not eject a good one for a failure or two.
    #[test]
    fn few_failures_eject_nobody_and_many_do(
        gateways in 1u32..=500, backends in 2u32..=1_000, failures in 1usize..=8, seed in any::<u64>(),
    ) {
        let mut rig = rig(gateways, backends, seed);
        let mut met: BTreeMap<u32, usize> = BTreeMap::new();
        for id in 0..400 {
            // Each fails at its first meetings, and never after.
            play(&mut rig, id, |to| {
                let met = met.entry(to).or_default();
                *met += 1;
                if *met <= failures { Outcome::Error } else { Outcome::Ok }
            });
            let now = rig.now;
            for b in rig.gateway.backends(now).filter(|b| b.ejected) {
                let met = met.get(&b.id).copied().unwrap_or(0);
                prop_assert!(met >= 4, "{} was ejected after {met} meetings", b.id);
            }
        }
        if failures < 4 {
            let now = rig.now;
            prop_assert_eq!(rig.gateway.backends(now).filter(|b| b.ejected).count(), 0);
        }
    }

    /// Where every backend fails, requests must still be tried, and not each of them everywhere.
    #[test]
    fn total_failure_tries_each_request_within_the_retry_budget(
        gateways in 1u32..=500, backends in 1u32..=1_000, seed in any::<u64>(),
    ) {
        let mut rig = rig(gateways, backends, seed);
        let (mut attempts, asked) = (0, 400);
        for id in 0..asked {
            let sent = play(&mut rig, id, |_| Outcome::Error);
            prop_assert!(!sent.is_empty(), "request {id} was tried nowhere");
            attempts += sent.len();
        }
        // A tenth, and what is saved up: of all gateways together that of a few, one at each at least.
        let saved = (20.0 / f64::from(gateways)).clamp(1.0, 10.0);
        let most = 1.1 * asked as f64 + saved + 1.0;
        prop_assert!(attempts as f64 <= most, "{attempts} attempts, {most} at most");
    }
}

/// A start that lies ahead, by another clock or in another unit, must not keep a backend cold for years.
#[test]
fn future_start_counts_as_now() {
    for ahead in [50.0, 1e6, 1e15] {
        let mut rig = rig(1, 4, 1);
        let started_ms = rig.now + ahead;
        let entry = BackendEndpoint { started_ms, ..backends(1)[0].clone() };
        rig.on(Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            endpoints: std::slice::from_ref(&entry),
        });
        let warmth = |rig: &Rig| {
            let now = rig.now;
            rig.gateway.backends(now).find(|b| b.id == 0).expect("listed").capacity_fraction
        };
        assert!(warmth(&rig) < 0.3, "cold as it begins");
        rig.now += 5_000.0;
        // Told again, it is no other start.
        rig.on(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &[entry] });
        assert!((0.5..0.7).contains(&warmth(&rig)), "{}", warmth(&rig));
        rig.now += 5_000.0;
        assert_eq!(warmth(&rig), 1.0, "{ahead} ms ahead");
    }
}
