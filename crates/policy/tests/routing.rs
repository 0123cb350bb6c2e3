//! Routing in fleets that are too large to compare all backends for each request.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use gateway_policy::interface::*;
use support::*;

const BACKENDS: u32 = 600;

/// Returns one of sixty gateways with 600 backends in cells of ten. Its subset has about 64 of them.
fn rig(seed: u64) -> Rig {
    let mut settings = settings();
    settings.gateway_count = 60;
    // In addition to the thirty that a coverage of three gateways for each backend adds.
    settings.routing.subset_size = 34;
    settings.limits.hedges = false;
    let mut rig = Rig::seeded(settings, 0, seed);
    let entry = |id: u32| BackendEndpoint {
        id,
        key: u64::from(id),
        cell: Some(id / 10),
        zone: Some(id % 3),
        ..BackendEndpoint::default()
    };
    let entries: Vec<BackendEndpoint> = (0..BACKENDS).map(entry).collect();
    rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &entries });
    rig
}

/// Submits a request of a new customer and returns the backend of its first attempt.
fn send(rig: &mut Rig, id: u64, class: usize) -> Option<u32> {
    rig.now += 5.0;
    let deadline_ms = rig.now + 4_000.0;
    sent_to(&rig.submit(Request { customer: id, deadline_ms, ..request(id, class, 3, 1.0) }))
}

/// Answers the first attempt of a request.
fn answer(rig: &mut Rig, id: u64, backend: u32, latency_ms: f64) {
    let (outcome, attempt, answered) = (Outcome::Ok, 0, true);
    let (metered_use, actual_units, load) = (None, None, &[][..]);
    rig.handle(Event::AttemptEnded {
        id,
        attempt,
        backend,
        outcome,
        latency_ms,
        answered,
        metered_use,
        actual_units,
        load,
    });
}

/// Submits `count` requests, each of which is served at once. Returns the number of requests of each backend.
fn serve(rig: &mut Rig, from: u64, count: u64) -> BTreeMap<u32, u32> {
    let mut requests = BTreeMap::new();
    for id in from..from + count {
        let to = send(rig, id, 0).expect("sent");
        rig.end_attempt(id, 0, to, Outcome::Ok);
        *requests.entry(to).or_default() += 1;
    }
    requests
}

#[test]
fn gateway_uses_its_subset_evenly() {
    let requests = serve(&mut rig(1), 0, 6_400);
    assert!((40..=90).contains(&requests.len()), "{} backends", requests.len());
    // Random differences in the estimates give some backends less work while the load is low.
    let mean = 6_400.0 / requests.len() as f64;
    assert!(requests.values().all(|n| *n > 5 && f64::from(*n) < mean * 2.0), "{requests:?}");
}

#[test]
fn one_slow_answer_does_not_starve_a_backend() {
    // Half of the first answers are slow, as on new connections; all later ones are fast.
    let mut rig = rig(6);
    let mut requests: BTreeMap<u32, u32> = BTreeMap::new();
    let mut serve_all = |rig: &mut Rig, from: u64, count: u64| {
        for id in from..from + count {
            let to = send(rig, id, 0).expect("sent");
            let before = requests.entry(to).or_default();
            let latency_ms = if *before == 0 && to.is_multiple_of(2) { 60.0 } else { 20.0 };
            *before += 1;
            answer(rig, id, to, latency_ms);
        }
        requests.clone()
    };
    // Twenty seconds, about sixty requests for each backend.
    let first = serve_all(&mut rig, 0, 4_000);
    let again = serve_all(&mut rig, 4_000, 4_000);
    let starved = again.iter().filter(|(id, n)| **n - first.get(id).copied().unwrap_or(0) < 5).count();
    assert!(again.len() > 40 && starved == 0, "{starved} of {}: {again:?}", again.len());
    assert_eq!(first.len(), again.len(), "each backend is tried within twenty seconds");
}

/// The first answer of a backend that returns to a small fleet is slow, because its connection is new. Its
/// estimate must not stay at the mean or above, because random variation always puts another backend a tenth
/// below the mean.
#[test]
fn returned_backend_of_a_small_fleet_gets_work() {
    for seed in 1..=12 {
        let mut rig = Rig::seeded(settings(), 5, seed);
        let mut random_state = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let mut serve_all = |rig: &mut Rig, from: u64, count: u64| {
            let mut requests = [0; 5];
            for id in from..from + count {
                let to = send(rig, id, 0).expect("sent");
                requests[to as usize] += 1;
                random_state = random_state
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                let usual = 5.0 + 10.0 * (random_state >> 40) as f64 / f64::from(1u32 << 24);
                let latency_ms = if to == 0 && requests[0] == 1 { 30.0 } else { usual };
                answer(rig, id, to, latency_ms);
            }
            requests
        };
        serve_all(&mut rig, 0, 400);
        let listed = |state| BackendEndpoint { state, ..backends(1)[0].clone() };
        rig.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            endpoints: &[listed(EndpointState::Removed)],
        });
        assert_eq!(serve_all(&mut rig, 1_000, 400)[0], 0, "removed");
        rig.handle(Event::EndpointsUpdated {
            scope: UpdateScope::Delta,
            endpoints: &[listed(EndpointState::Ready)],
        });
        // Twenty seconds; an even share is 800 requests.
        let requests = serve_all(&mut rig, 2_000, 4_000);
        assert!(requests[0] > 50, "seed {seed}: {requests:?}");
    }
}

#[test]
fn failed_subset_spills_over_to_the_fleet_and_back() {
    let mut rig = rig(2);
    let subset: BTreeSet<u32> = serve(&mut rig, 0, 6_400).into_keys().collect();
    // All backends of the subset refuse connections; the others serve.
    let (mut outside, mut unanswered) = (BTreeSet::new(), 0);
    for id in 10_000..14_000 {
        let Some(mut to) = send(&mut rig, id, 0) else {
            unanswered += 1;
            continue;
        };
        for attempt in 0.. {
            let fails = subset.contains(&to);
            let outcome = if fails { Outcome::ConnectFailed } else { Outcome::Ok };
            let actions = rig.end_attempt(id, attempt, to, outcome);
            if !fails {
                outside.insert(to);
            }
            let Some(next) = sent_to(&actions) else {
                unanswered += u32::from(fails);
                break;
            };
            to = next;
        }
    }
    assert!(unanswered < 200, "{unanswered} of 4,000 without an answer while 500 backends serve");
    assert!(outside.len() > 400, "work spread over {} other backends", outside.len());
    // They are used again after successful probes.
    for backend in &subset {
        rig.handle(Event::ProbeEnded { backend: *backend, outcome: Outcome::Ok, load: &[] });
    }
    let requests = serve(&mut rig, 20_000, 2_000);
    assert!(requests.keys().all(|b| subset.contains(b)), "only the subset is used again");
}

#[test]
fn ejections_hold_until_most_of_the_fleet_is_ejected() {
    let mut rig = rig(3);
    // Every attempt fails, so in the end more than half of the backends are ejected.
    let (mut tried, mut sent) = (BTreeSet::new(), 0);
    for id in 0..6_000 {
        let all: Vec<_> = rig.gateway.backends(rig.now).collect();
        let ejected: BTreeSet<u32> = all.iter().filter(|b| b.ejected).map(|b| b.id).collect();
        let Some(to) = send(&mut rig, id, 2) else { continue };
        sent += 1;
        tried.insert(to);
        if ejected.len() * 2 < all.len() {
            assert!(
                !ejected.contains(&to),
                "{to} got work while only {} of {} are ejected",
                ejected.len(),
                all.len()
            );
        }
        rig.end_attempt(id, 0, to, Outcome::Error);
    }
    // First the subset is ejected, then half of the fleet; from there on all backends get work again.
    assert!(tried.len() > BACKENDS as usize / 2, "{} tried", tried.len());
    let ejected = rig.gateway.backends(rig.now).filter(|b| b.ejected).count();
    assert!(ejected > BACKENDS as usize / 2, "{ejected} ejected");
    assert!(sent > 3_000, "{sent} sent");
}

#[test]
fn warming_backend_outside_the_subset_gets_nothing() {
    let mut rig = rig(7);
    let subset: BTreeSet<u32> = serve(&mut rig, 0, 6_400).into_keys().collect();
    // Every second backend outside the subset restarts, and the whole subset refuses connections.
    let cold = |id: u32| id % 2 == 1 && !subset.contains(&id);
    let started_ms = rig.now;
    let entry = |id: u32| {
        let (key, cell, zone) = (u64::from(id), id / 10, id % 3);
        BackendEndpoint {
            id,
            key,
            cell: Some(cell),
            zone: Some(zone),
            started_ms,
            ..BackendEndpoint::default()
        }
    };
    let entries: Vec<BackendEndpoint> = (0..BACKENDS).filter(|id| cold(*id)).map(entry).collect();
    rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &entries });
    let mut outside = 0;
    for id in 10_000..11_000 {
        let Some(mut to) = send(&mut rig, id, 0) else { continue };
        for attempt in 0.. {
            assert!(!cold(to), "{to} is cold, and other gateways warm it up");
            let fails = subset.contains(&to);
            outside += u32::from(!fails);
            let actions =
                rig.end_attempt(id, attempt, to, if fails { Outcome::ConnectFailed } else { Outcome::Ok });
            let Some(next) = sent_to(&actions) else { break };
            to = next;
        }
    }
    assert!(outside > 500, "{outside} attempts outside the subset");
}

#[test]
fn retry_never_goes_to_a_tried_backend() {
    let mut rig = rig(4);
    let mut retries = 0;
    for id in 0..3_000 {
        let Some(mut to) = send(&mut rig, id, 0) else { continue };
        let mut tried = BTreeSet::new();
        for attempt in 0.. {
            assert!(tried.insert(to), "request {id} went to {to} again");
            // All attempts of every tenth request fail.
            let fails = id % 10 == 0;
            let actions =
                rig.end_attempt(id, attempt, to, if fails { Outcome::Rejected } else { Outcome::Ok });
            let Some(next) = sent_to(&actions) else { break };
            (to, retries) = (next, retries + 1);
        }
    }
    assert!(retries > 500, "{retries} retries");
    // Also if the tried backend is by far the fastest.
    let (mut rig, mut retries) = (Rig::new(settings(), 3), 0);
    for id in 0..1_000 {
        let Some(mut to) = send(&mut rig, id, 0) else { continue };
        let mut tried = BTreeSet::new();
        for attempt in 0..3 {
            assert!(tried.insert(to), "request {id} went to {to} again");
            let fails = to == 0 && id % 10 == 0;
            let outcome = if fails { Outcome::Error } else { Outcome::Ok };
            let (metered_use, actual_units, load, backend) = (None, None, &[][..], to);
            let (latency_ms, answered) = (if to == 0 { 10.0 } else { 80.0 }, !fails);
            let actions = rig.handle(Event::AttemptEnded {
                id,
                attempt,
                backend,
                outcome,
                latency_ms,
                answered,
                metered_use,
                actual_units,
                load,
            });
            let Some(next) = sent_to(&actions) else { break };
            (to, retries) = (next, retries + 1);
        }
    }
    assert!(retries > 30, "{retries} retries where all backends are compared");
}

#[test]
fn keyed_retry_stays_in_its_cell_beyond_the_subset() {
    let mut rig = rig(5);
    let mut retries = 0;
    for id in 0..2_000 {
        let Some(mut to) = send(&mut rig, id, 1) else { continue };
        let cell = to / 10;
        for attempt in 0.. {
            assert_eq!(to / 10, cell, "request {id}");
            let fails = id % 10 == 0 && attempt < 2;
            let actions = rig.end_attempt(id, attempt, to, if fails { Outcome::Error } else { Outcome::Ok });
            let Some(next) = sent_to(&actions) else { break };
            (to, retries) = (next, retries + 1);
        }
    }
    // About one of the ten backends of a cell is in the subset, so most retries have to leave the subset.
    assert!(retries >= 80, "{retries} retries");
}

#[test]
fn removed_backend_is_kept_only_while_attempts_are_in_flight() {
    let mut rig = rig(6);
    let to = send(&mut rig, 1, 2).expect("sent");
    let removed = BackendEndpoint { id: to, state: EndpointState::Removed, ..BackendEndpoint::default() };
    rig.handle(Event::EndpointsUpdated {
        scope: UpdateScope::Delta,
        endpoints: std::slice::from_ref(&removed),
    });
    assert_eq!(rig.gateway.backends(rig.now).filter(|b| b.id == to).count(), 0);
    // The attempt that stays in flight looks like overload, so some of these requests are rejected.
    let mut sent = 0;
    for id in 100..2_100 {
        let Some(other) = send(&mut rig, id, 0) else { continue };
        assert_ne!(other, to, "no new request goes to a removed backend");
        rig.end_attempt(id, 0, other, Outcome::Ok);
        sent += 1;
    }
    assert!(sent > 500, "{sent} sent");
    rig.end_attempt(1, 0, to, Outcome::Ok);
    // A backend with the same number starts with a new record and is used.
    let returned = BackendEndpoint {
        id: to,
        key: u64::from(to),
        cell: Some(to / 10),
        zone: Some(0),
        ..BackendEndpoint::default()
    };
    rig.handle(Event::EndpointsUpdated {
        scope: UpdateScope::Delta,
        endpoints: std::slice::from_ref(&returned),
    });
    assert!(serve(&mut rig, 10_000, 2_000).contains_key(&to));
}
