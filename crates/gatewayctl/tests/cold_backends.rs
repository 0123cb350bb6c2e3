//! Cold start of gateway processes whose backends each accept ten first connections per second.

mod support;

use std::time::Duration;

use support::cold_fleet::{ColdFleet, FleetShape, TIMEOUT};
use testbed::backend::{Backend, Spec};
use testbed::journal::Event;
use testbed::switch::Fault;

const SECOND: Duration = Duration::from_secs(1);
/// Round of the slot schedule: 30 gateways at 9 (nine tenths of 10) first connections per second.
const ROUND: Duration = Duration::from_millis(3_334);
/// Requests per second: 10 for each gateway, so that each needs connections to all backends immediately.
const RATE: f64 = 300.0;

fn shape(seed: u64) -> FleetShape {
    shape_with_rate(seed, 10)
}

/// Shape of a fleet with this limit on first connections per second to a backend.
fn shape_with_rate(seed: u64, per_s: u32) -> FleetShape {
    let operator_config = format!("[start]\nlist_calls_per_s = 10\nbackend_connections_per_s = {per_s}\n");
    FleetShape { seed, operator_config, ..FleetShape::default() }
}

/// Times at which a backend accepted connections within `duration` from `since`.
fn accepted_within(backend: &Backend, since: Duration, duration: Duration) -> Vec<Duration> {
    backend.accepted().into_iter().filter(|at| (since..since + duration).contains(at)).collect()
}

/// Asserts that connections to a backend are spread over the slots: nine per second, with a margin for a slow
/// machine. In the first round each connection is the first of its gateway.
fn assert_spread(backend: &Backend, since: Duration, duration: Duration) {
    let at = accepted_within(backend, since, duration);
    let within = |i: usize| at[i..].iter().take_while(|t| **t < at[i] + SECOND).count();
    let max = (0..at.len()).map(within).max().unwrap_or(0);
    assert!(max <= 14, "{max} connections in a second at {}: {at:?}", backend.spec.name);
}

/// Number of requests that arrived at these backends since a time.
fn arrived_requests(fleet: &ColdFleet, names: &[String], since: Duration) -> usize {
    let events = fleet.journal.events();
    let is_counted = |entry: &&(Duration, Event)| match &entry.1 {
        Event::AttemptReceived { backend, .. } => entry.0 >= since && names.contains(backend),
        _ => false,
    };
    events.iter().filter(is_counted).count()
}

#[test]
fn restarted_gateways_avoid_silent_backends_without_list_service() {
    let mut fleet = ColdFleet::new(shape(0x41_21));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let running_load = fleet.start_load(RATE);
    fleet.wait_until_served(&running_load, 300);
    fleet.kill(fleet.all());
    fleet.timeline.note("4 of 8 backends and the list service silent");
    fleet.backends[..4].iter().for_each(|b| b.switch.set(Fault::Silent));
    fleet.service.switch.set(Fault::Silent);
    // Requests that were sent before the kill arrive within this time.
    fleet.sleep(Duration::from_millis(300));
    let since = fleet.journal.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_served(&running_load, 600);
    let silent: Vec<String> = fleet.backends[..4].iter().map(|b| b.spec.name.clone()).collect();
    assert_eq!(arrived_requests(&fleet, &silent, since), 0, "requests were sent to silent backends");
    fleet.backends.iter().for_each(|b| assert_spread(b, since, ROUND));
    // The backends recover and receive requests again.
    fleet.timeline.note("all recovered");
    fleet.service.switch.set(Fault::None);
    fleet.backends[..4].iter().for_each(|b| b.switch.set(Fault::None));
    fleet.wait_until("the recovered backends receive requests", |fleet| {
        let arrived = |name: &String| arrived_requests(fleet, std::slice::from_ref(name), since);
        silent.iter().all(|name| arrived(name) > 10)
    });
    let counts = fleet.finish_load(running_load);
    assert!(counts.served > 900, "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn replacement_backend_gets_connections_in_slots() {
    let mut fleet = ColdFleet::new(shape(0x41_22));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    let running_load = fleet.start_load(RATE);
    fleet.wait_until_served(&running_load, 600);
    // A backend fails, and a cold one replaces it on the list. All gateways learn of it at the same time.
    fleet.timeline.note("till-8 replaces till-0");
    let spec = Spec { cold: Some((4.0, Duration::from_secs(4))), ..Spec::plain(8) };
    let new =
        fleet.runtime.block_on(Backend::start(spec, fleet.journal.clone())).expect("the start succeeds");
    let (since, failed) = (fleet.journal.now(), fleet.backends.remove(0));
    fleet.service.replace_backend(&new, &failed);
    drop(failed);
    let name = [new.spec.name.clone()];
    fleet.wait_until("the new backend receives requests", |fleet| arrived_requests(fleet, &name, since) > 50);
    // A gateway without an open watch learns of the change up to one round of list calls later.
    fleet.wait_until("ten gateways connect to it", |_| accepted_within(&new, since, TIMEOUT).len() >= 10);
    fleet.sleep(ROUND);
    // A pool that has existed for a round may grow on demand, so only the first round is checked.
    let first = accepted_within(&new, since, TIMEOUT)[0];
    assert_spread(&new, since, first - since + ROUND);
    fleet.backends.push(new);
    let counts = fleet.finish_load(running_load);
    assert_eq!(counts.lost, 0, "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn crash_loop_opens_connections_only_in_its_slots() {
    let mut fleet = ColdFleet::new(shape(0x41_23));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let running_load = fleet.start_load(RATE);
    for _ in 0..4 {
        fleet.sleep(Duration::from_millis(700));
        fleet.kill(0..20);
        fleet.start(0..20);
    }
    fleet.wait_until_ready(0..20);
    fleet.wait_until_served(&running_load, 300);
    let counts = fleet.finish_load(running_load);
    // Twenty of thirty gateways start five times and need all backends each time.
    for backend in &fleet.backends {
        let at = backend.accepted();
        let elapsed_s = (fleet.journal.now() - at[0]).as_secs_f64();
        let max = 9.0 * elapsed_s + 2.0;
        // The pools of the other gateways may grow on demand after a round.
        assert!((at.len() as f64) <= 1.5 * max, "{} in {elapsed_s:.1} s at {}", at.len(), backend.spec.name);
    }
    assert!(counts.served > 300, "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn resumed_gateways_do_not_connect_together() {
    let mut fleet = ColdFleet::new(shape(0x41_24));
    // No backend answers, so all gateways wait for their slots and for a first open connection.
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::Silent));
    fleet.start(fleet.all());
    fleet.sleep(ROUND / 4);
    fleet.timeline.note("all gateways stopped for two rounds; backends recover");
    fleet.nodes.iter_mut().for_each(testbed::harness::Node::suspend);
    fleet.sleep(ROUND * 2);
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::None));
    let since = fleet.journal.now();
    fleet.nodes.iter_mut().for_each(testbed::harness::Node::resume);
    fleet.wait_until_ready(fleet.all());
    let running_load = fleet.start_load(RATE);
    fleet.wait_until_served(&running_load, 300);
    fleet.sleep(ROUND.saturating_sub(fleet.journal.now() - since));
    fleet.backends.iter().for_each(|b| assert_spread(b, since, ROUND));
    let counts = fleet.finish_load(running_load);
    assert_eq!(counts.lost, 0, "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn ready_and_rejecting_while_no_backend_answers() {
    // 30 first connections per second make a round of 1.1 s.
    let mut fleet = ColdFleet::new(shape_with_rate(0x41_25, 30));
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::Refusing));
    let since = fleet.journal.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    assert!(fleet.journal.now() - since >= ROUND * 2 / 3, "ready too early, without a backend");
    let running_load = fleet.start_load(100.0);
    fleet.wait_until("requests are rejected", |_| running_load.counts().rejected > 50);
    assert_eq!(running_load.counts().served, 0);
    fleet.timeline.note("two backends recover");
    fleet.backends[..2].iter().for_each(|b| b.switch.set(Fault::None));
    fleet.wait_until_served(&running_load, 200);
    let counts = fleet.finish_load(running_load);
    assert_eq!(counts.lost, 0, "{counts:?}");
    fleet.assert_no_violation();
}
