//! Gateways that start together before backends that take ten first connections a second, as real processes.

mod support;

use std::time::Duration;

use support::cold_fleet::{ColdFleet, FleetShape, TIMEOUT};
use testbed::backend::{Backend, Spec};
use testbed::journal::Event;
use testbed::switch::Fault;

const SECOND: Duration = Duration::from_secs(1);
/// A round of thirty gateways at nine tenths of ten first connections a second.
const ROUND: Duration = Duration::from_millis(3_334);
/// Requests a second: each gateway has ten, so that it wants all it may have at once.
const RATE: f64 = 300.0;

fn shape(seed: u64) -> FleetShape {
    with(seed, 10)
}

/// With so many first connections a second.
fn with(seed: u64, per_s: u32) -> FleetShape {
    let operator = format!("[start]\nlist_calls_per_s = 10\nbackend_connections_per_s = {per_s}\n");
    FleetShape { seed, operator, ..FleetShape::default() }
}

/// When connections came to a backend from a moment on, for so long.
fn came(backend: &Backend, since: Duration, time: Duration) -> Vec<Duration> {
    backend.accepted().into_iter().filter(|at| (since..since + time).contains(at)).collect()
}

/// Nine slots a second, with room for a machine that is late with some. For the first round each connection
/// is a first one.
fn spread(backend: &Backend, since: Duration, time: Duration) {
    let at = came(backend, since, time);
    let within = |i: usize| at[i..].iter().take_while(|t| **t < at[i] + SECOND).count();
    let most = (0..at.len()).map(within).max().unwrap_or(0);
    assert!(most <= 14, "{most} connections in a second at {}: {at:?}", backend.spec.name);
}

/// Requests that came to some backends since a moment.
fn requests(fleet: &ColdFleet, names: &[String], since: Duration) -> usize {
    let events = fleet.journal.events();
    let of = |e: &&(Duration, Event)| match &e.1 {
        Event::AttemptReceived { backend, .. } => e.0 >= since && names.contains(backend),
        _ => false,
    };
    events.iter().filter(of).count()
}

#[test]
fn restart_of_all_spares_lost_backends_while_list_service_is_silent() {
    let mut fleet = ColdFleet::new(shape(0x41_21));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let loading = fleet.load(RATE);
    fleet.wait_until_served(&loading, 300);
    fleet.kill(fleet.all());
    fleet.timeline.note("4 of 8 backends and the list service silent");
    fleet.backends[..4].iter().for_each(|b| b.switch.set(Fault::Silent));
    fleet.service.switch.set(Fault::Silent);
    // What was written before the kill has come by then.
    fleet.sleep(Duration::from_millis(300));
    let since = fleet.journal.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_served(&loading, 600);
    let gone: Vec<String> = fleet.backends[..4].iter().map(|b| b.spec.name.clone()).collect();
    assert_eq!(requests(&fleet, &gone, since), 0, "requests found out who is gone");
    fleet.backends.iter().for_each(|b| spread(b, since, ROUND));
    // They come back, and get work.
    fleet.timeline.note("all back");
    fleet.service.switch.set(Fault::None);
    fleet.backends[..4].iter().for_each(|b| b.switch.set(Fault::None));
    fleet.wait_until("those that were gone get work", |fleet| {
        let of = |name: &String| requests(fleet, std::slice::from_ref(name), since);
        gone.iter().all(|name| of(name) > 10)
    });
    let tally = fleet.finish(loading);
    assert!(tally.served > 900, "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn restarted_backend_gets_connections_one_gateway_after_another() {
    let mut fleet = ColdFleet::new(shape(0x41_22));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    let loading = fleet.load(RATE);
    fleet.wait_until_served(&loading, 600);
    // A machine dies, and another is on the list in its place at once, cold; all hear of it in one moment.
    fleet.timeline.note("till-0 dies, till-8 is there");
    let spec = Spec { cold: Some((4.0, Duration::from_secs(4))), ..Spec::plain(8) };
    let new = fleet.runtime.block_on(Backend::start(spec, fleet.journal.clone())).expect("it starts");
    let (since, died) = (fleet.journal.now(), fleet.backends.remove(0));
    fleet.service.replace_backend(&new, &died);
    drop(died);
    let name = [new.spec.name.clone()];
    fleet.wait_until("it has work", |fleet| requests(fleet, &name, since) > 50);
    // Who does not watch at that moment hears of it up to a round of the list later.
    fleet.wait_until("its gateways open it", |_| came(&new, since, TIMEOUT).len() >= 10);
    fleet.sleep(ROUND);
    // Pools that stand for a round grow by what they need.
    let first = came(&new, since, TIMEOUT)[0];
    spread(&new, since, first - since + ROUND);
    fleet.backends.push(new);
    let tally = fleet.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn crash_loop_opens_connections_only_in_its_slots() {
    let mut fleet = ColdFleet::new(shape(0x41_23));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let loading = fleet.load(RATE);
    for _ in 0..4 {
        fleet.sleep(Duration::from_millis(700));
        fleet.kill(0..20);
        fleet.start(0..20);
    }
    fleet.wait_until_ready(0..20);
    fleet.wait_until_served(&loading, 300);
    let tally = fleet.finish(loading);
    // Twenty of thirty start five times, and each time want all that is there.
    for backend in &fleet.backends {
        let at = backend.accepted();
        let lasted = (fleet.journal.now() - at[0]).as_secs_f64();
        let most = 9.0 * lasted + 2.0;
        // Pools of the others grow by what they need once they stand for a round.
        assert!((at.len() as f64) <= 1.5 * most, "{} in {lasted:.1} s at {}", at.len(), backend.spec.name);
    }
    assert!(tally.served > 300, "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn resumed_gateways_do_not_connect_together() {
    let mut fleet = ColdFleet::new(shape(0x41_24));
    // Nobody answers yet, so all wait for turns and for the first that is open.
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::Silent));
    fleet.start(fleet.all());
    fleet.sleep(ROUND / 4);
    fleet.timeline.note("all stopped for two rounds, and the backends are well");
    fleet.nodes.iter_mut().for_each(testbed::harness::Node::suspend);
    fleet.sleep(ROUND * 2);
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::None));
    let since = fleet.journal.now();
    fleet.nodes.iter_mut().for_each(testbed::harness::Node::resume);
    fleet.wait_until_ready(fleet.all());
    let loading = fleet.load(RATE);
    fleet.wait_until_served(&loading, 300);
    fleet.sleep(ROUND.saturating_sub(fleet.journal.now() - since));
    fleet.backends.iter().for_each(|b| spread(b, since, ROUND));
    let tally = fleet.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn ready_and_rejecting_while_no_backend_answers() {
    // A round of 1.1 s.
    let mut fleet = ColdFleet::new(with(0x41_25, 30));
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::Refusing));
    let since = fleet.journal.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    assert!(fleet.journal.now() - since >= ROUND * 2 / 3, "ready with nobody to send to");
    let loading = fleet.load(100.0);
    fleet.wait_until("requests are refused", |_| loading.tally().refused > 50);
    assert_eq!(loading.tally().served, 0);
    fleet.timeline.note("two are back");
    fleet.backends[..2].iter().for_each(|b| b.switch.set(Fault::None));
    fleet.wait_until_served(&loading, 200);
    let tally = fleet.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    fleet.assert_no_breach();
}
