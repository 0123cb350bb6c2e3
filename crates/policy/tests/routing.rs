//! Routing in fleets that are too large to be looked at whole.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use gateway_policy::interface::*;
use support::*;

const LISTED: u32 = 600;

/// A gateway of sixty before 600 backends in cells of ten: some 64 of them are its own.
fn rig(seed: u64) -> Rig {
    let mut settings = settings();
    settings.gateway_count = 60;
    // Beside the thirty that three gateways for each backend call for.
    settings.routing.subset_size = 34;
    settings.limits.hedges = false;
    let mut rig = Rig::seeded(settings, 0, seed);
    let entry = |id: u32| BackendEndpoint {
        id,
        key: u64::from(id),
        cell: id / 10,
        zone: id % 3,
        ..BackendEndpoint::default()
    };
    let entries: Vec<BackendEndpoint> = (0..LISTED).map(entry).collect();
    rig.on(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &entries });
    rig
}

fn ask(rig: &mut Rig, id: u64, class: usize) -> Option<u32> {
    rig.now += 5.0;
    let expires_ms = rig.now + 4_000.0;
    sent_to(&rig.ask(Request { customer: id, deadline_ms: expires_ms, ..request(id, class, 3, 1.0) }))
}

/// A first attempt is answered after so long.
fn answered(rig: &mut Rig, id: u64, backend: u32, latency_ms: f64) {
    let (outcome, attempt, closed) = (Outcome::Ok, 0, true);
    let (metered, charged, load) = (None, None, &[][..]);
    rig.on(Event::AttemptEnded {
        id,
        attempt,
        backend,
        outcome,
        latency_ms,
        answered: closed,
        metered_use: metered,
        actual_units: charged,
        load,
    });
}

/// Asks so often, each served at once; gives how often each backend was.
fn served(rig: &mut Rig, from: u64, count: u64) -> BTreeMap<u32, u32> {
    let mut got = BTreeMap::new();
    for id in from..from + count {
        let to = ask(rig, id, 0).expect("sent");
        rig.end(id, 0, to, Outcome::Ok);
        *got.entry(to).or_default() += 1;
    }
    got
}

#[test]
fn gateway_uses_its_subset_evenly() {
    let got = served(&mut rig(1), 0, 6_400);
    assert!((40..=90).contains(&got.len()), "{} backends", got.len());
    // Which of them seem a little slower is chance, and they get less while nothing presses.
    let mean = 6_400.0 / got.len() as f64;
    assert!(got.values().all(|n| *n > 5 && f64::from(*n) < mean * 2.0), "{got:?}");
}

#[test]
fn one_slow_answer_does_not_starve_a_backend() {
    // Of all first answers half are slow, as those on new connections are; all later ones are quick.
    let mut rig = rig(6);
    let mut got: BTreeMap<u32, u32> = BTreeMap::new();
    let mut ask_all = |rig: &mut Rig, from: u64, count: u64| {
        for id in from..from + count {
            let to = ask(rig, id, 0).expect("sent");
            let before = got.entry(to).or_default();
            let latency_ms = if *before == 0 && to.is_multiple_of(2) { 60.0 } else { 20.0 };
            *before += 1;
            answered(rig, id, to, latency_ms);
        }
        got.clone()
    };
    // Twenty seconds, some sixty requests for each.
    let first = ask_all(&mut rig, 0, 4_000);
    let again = ask_all(&mut rig, 4_000, 4_000);
    let starved = again.iter().filter(|(id, n)| **n - first.get(id).copied().unwrap_or(0) < 5).count();
    assert!(again.len() > 40 && starved == 0, "{starved} of {}: {again:?}", again.len());
    assert_eq!(first.len(), again.len(), "each was tried within twenty seconds");
}

/// A backend of a small fleet that returns has a slow first answer, as its connection is new. It must not be
/// taken for as slow as the mean at best, while chance alone puts another a tenth before that.
#[test]
fn returned_backend_of_a_small_fleet_gets_work() {
    for seed in 1..=12 {
        let mut rig = Rig::seeded(settings(), 5, seed);
        let mut dice = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let mut ask_all = |rig: &mut Rig, from: u64, count: u64| {
            let mut got = [0; 5];
            for id in from..from + count {
                let to = ask(rig, id, 0).expect("sent");
                got[to as usize] += 1;
                dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                let usual = 5.0 + 10.0 * (dice >> 40) as f64 / f64::from(1u32 << 24);
                let latency_ms = if to == 0 && got[0] == 1 { 30.0 } else { usual };
                answered(rig, id, to, latency_ms);
            }
            got
        };
        ask_all(&mut rig, 0, 400);
        let listed = |state| BackendEndpoint { state, ..backends(1)[0].clone() };
        rig.on(Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            endpoints: &[listed(EndpointState::Removed)],
        });
        assert_eq!(ask_all(&mut rig, 1_000, 400)[0], 0, "gone");
        rig.on(Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            endpoints: &[listed(EndpointState::Ready)],
        });
        // Twenty seconds, 800 requests for each if they were even.
        let got = ask_all(&mut rig, 2_000, 4_000);
        assert!(got[0] > 50, "seed {seed}: {got:?}");
    }
}

#[test]
fn lost_subset_spills_over_to_the_fleet_and_back() {
    let mut rig = rig(2);
    let home: BTreeSet<u32> = served(&mut rig, 0, 6_400).into_keys().collect();
    // All of its own refuse connections; the others serve.
    let (mut outside, mut refused) = (BTreeSet::new(), 0);
    for id in 10_000..14_000 {
        let Some(mut to) = ask(&mut rig, id, 0) else {
            refused += 1;
            continue;
        };
        for attempt in 0.. {
            let bad = home.contains(&to);
            let outcome = if bad { Outcome::ConnectFailed } else { Outcome::Ok };
            let actions = rig.end(id, attempt, to, outcome);
            if !bad {
                outside.insert(to);
            }
            let Some(next) = sent_to(&actions) else {
                refused += u32::from(bad);
                break;
            };
            to = next;
        }
    }
    assert!(refused < 200, "{refused} of 4,000 without an answer while 500 backends are well");
    assert!(outside.len() > 400, "work spread over {} of the others", outside.len());
    // They are back when probes say so.
    for backend in &home {
        rig.on(Event::ProbeEnded { backend: *backend, outcome: Outcome::Ok, load: &[] });
    }
    let back = served(&mut rig, 20_000, 2_000);
    assert!(back.keys().all(|b| home.contains(b)), "back home");
}

#[test]
fn ejections_are_ignored_only_when_most_of_the_fleet_has_them() {
    let mut rig = rig(3);
    // Each backend that is tried fails; so in the end more than half of all are ejected.
    let (mut tried, mut sent) = (BTreeSet::new(), 0);
    for id in 0..6_000 {
        let all: Vec<_> = rig.gateway.backends(rig.now).collect();
        let ejected: BTreeSet<u32> = all.iter().filter(|b| b.ejected).map(|b| b.id).collect();
        let Some(to) = ask(&mut rig, id, 2) else { continue };
        sent += 1;
        tried.insert(to);
        if ejected.len() * 2 < all.len() {
            assert!(
                !ejected.contains(&to),
                "{to} got work while {} of {} are well",
                ejected.len(),
                all.len()
            );
        }
        rig.end(id, 0, to, Outcome::Error);
    }
    // First the home, then the fleet, up to the half of it; from there on all get work again.
    assert!(tried.len() > LISTED as usize / 2, "{} tried", tried.len());
    let ejected = rig.gateway.backends(rig.now).filter(|b| b.ejected).count();
    assert!(ejected > LISTED as usize / 2, "{ejected} ejected");
    assert!(sent > 3_000, "{sent} sent");
}

#[test]
fn warming_backend_outside_the_subset_gets_nothing() {
    let mut rig = rig(7);
    let home: BTreeSet<u32> = served(&mut rig, 0, 6_400).into_keys().collect();
    // Every second one outside begins anew, and all of the home refuses connections.
    let cold = |id: u32| id % 2 == 1 && !home.contains(&id);
    let started_ms = rig.now;
    let entry = |id: u32| {
        let (key, cell, zone) = (u64::from(id), id / 10, id % 3);
        BackendEndpoint { id, key, cell, zone, started_ms, ..BackendEndpoint::default() }
    };
    let entries: Vec<BackendEndpoint> = (0..LISTED).filter(|id| cold(*id)).map(entry).collect();
    rig.on(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &entries });
    let mut outside = 0;
    for id in 10_000..11_000 {
        let Some(mut to) = ask(&mut rig, id, 0) else { continue };
        for attempt in 0.. {
            assert!(!cold(to), "{to} is cold, and other gateways' to warm up");
            let bad = home.contains(&to);
            outside += u32::from(!bad);
            let actions = rig.end(id, attempt, to, if bad { Outcome::ConnectFailed } else { Outcome::Ok });
            let Some(next) = sent_to(&actions) else { break };
            to = next;
        }
    }
    assert!(outside > 500, "{outside} beyond the home");
}

#[test]
fn retry_never_goes_to_a_tried_backend() {
    let mut rig = rig(4);
    let mut further = 0;
    for id in 0..3_000 {
        let Some(mut to) = ask(&mut rig, id, 0) else { continue };
        let mut tried = BTreeSet::new();
        for attempt in 0.. {
            assert!(tried.insert(to), "request {id} went to {to} again");
            // One in ten fails at first, and each of its further attempts.
            let bad = id % 10 == 0;
            let actions = rig.end(id, attempt, to, if bad { Outcome::Rejected } else { Outcome::Ok });
            let Some(next) = sent_to(&actions) else { break };
            (to, further) = (next, further + 1);
        }
    }
    assert!(further > 500, "{further} further attempts");
    // Also where the one that was tried is the fastest by far.
    let (mut rig, mut further) = (Rig::new(settings(), 3), 0);
    for id in 0..1_000 {
        let Some(mut to) = ask(&mut rig, id, 0) else { continue };
        let mut tried = BTreeSet::new();
        for attempt in 0..3 {
            assert!(tried.insert(to), "request {id} went to {to} again");
            let bad = to == 0 && id % 10 == 0;
            let outcome = if bad { Outcome::Error } else { Outcome::Ok };
            let (metered, charged, load, backend) = (None, None, &[][..], to);
            let (latency_ms, closed) = (if to == 0 { 10.0 } else { 80.0 }, !bad);
            let actions = rig.on(Event::AttemptEnded {
                id,
                attempt,
                backend,
                outcome,
                latency_ms,
                answered: closed,
                metered_use: metered,
                actual_units: charged,
                load,
            });
            let Some(next) = sent_to(&actions) else { break };
            (to, further) = (next, further + 1);
        }
    }
    assert!(further > 30, "{further} further attempts where all is looked at");
}

#[test]
fn keyed_retry_stays_in_its_cell_beyond_the_subset() {
    let mut rig = rig(5);
    let mut further = 0;
    for id in 0..2_000 {
        let Some(mut to) = ask(&mut rig, id, 1) else { continue };
        let cell = to / 10;
        for attempt in 0.. {
            assert_eq!(to / 10, cell, "request {id}");
            let bad = id % 10 == 0 && attempt < 2;
            let actions = rig.end(id, attempt, to, if bad { Outcome::Error } else { Outcome::Ok });
            let Some(next) = sent_to(&actions) else { break };
            (to, further) = (next, further + 1);
        }
    }
    // Of ten in a cell about one is this gateway's own, so most had to go beyond.
    assert!(further >= 80, "{further} further attempts");
}

#[test]
fn removed_backend_is_kept_only_while_attempts_are_in_flight() {
    let mut rig = rig(6);
    let to = ask(&mut rig, 1, 2).expect("sent");
    let gone = BackendEndpoint { id: to, state: EndpointState::Removed, ..BackendEndpoint::default() };
    rig.on(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: std::slice::from_ref(&gone) });
    assert_eq!(rig.gateway.backends(rig.now).filter(|b| b.id == to).count(), 0);
    // One that waits for so long looks like a jam, so some of these are refused.
    let mut sent = 0;
    for id in 100..2_100 {
        let Some(other) = ask(&mut rig, id, 0) else { continue };
        assert_ne!(other, to, "nothing new goes there");
        rig.end(id, 0, other, Outcome::Ok);
        sent += 1;
    }
    assert!(sent > 500, "{sent} sent");
    rig.end(1, 0, to, Outcome::Ok);
    // Back under its number with nothing of its past, and used again.
    let back = BackendEndpoint { id: to, key: u64::from(to), cell: to / 10, ..BackendEndpoint::default() };
    rig.on(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: std::slice::from_ref(&back) });
    assert!(served(&mut rig, 10_000, 2_000).contains_key(&to));
}
