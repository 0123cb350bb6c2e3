//! Gateways that start together before a list service that bears ten calls a second, as real processes.

mod support;

use std::time::Duration;

use support::cold_fleet::{max_in_window, ColdFleet, FleetShape, LIST_CALL_TIME};
use testbed::backend::{Backend, Spec};
use testbed::discovery::DiscoveryCall;
use testbed::harness::{Condition, Direction};
use testbed::switch::Fault;

const SECOND: Duration = Duration::from_secs(1);

/// Calls in any second are those of the slots, with room for a machine that is late with some; the pauses of
/// the usual law make thirty in the first quarter of it.
fn spread(calls: &[DiscoveryCall]) {
    let most = max_in_window(calls, SECOND);
    assert!(most <= 18, "{most} calls in a second where ten are borne");
}

/// A round of thirty gateways at nine tenths of ten calls a second.
fn round() -> Duration {
    LIST_CALL_TIME.mul_f64(30.0 / 0.9)
}

/// Calls of each gateway since a moment.
fn by_door(fleet: &ColdFleet, since: Duration) -> Vec<usize> {
    let mut calls = vec![0; fleet.nodes.len()];
    fleet.service.calls().iter().filter(|c| c.at >= since).for_each(|c| calls[c.listener_index] += 1);
    calls
}

#[test]
fn restart_of_all_under_load_with_replaced_backends_and_no_counter() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_01, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    let loading = fleet.load(150.0);
    fleet.wait_until_served(&loading, 50);
    fleet.kill(fleet.all());
    // Half of the backends go, cold ones come, and the counter is down.
    for gone in fleet.backends.drain(..4) {
        fleet.service.delete(&gone);
    }
    for i in 8..12 {
        let spec = Spec { cold: Some((4.0, Duration::from_secs(4))), ..Spec::plain(i) };
        let new = fleet.runtime.block_on(Backend::start(spec, fleet.journal.clone())).expect("it starts");
        fleet.service.list(&new, "SERVING");
        fleet.backends.push(new);
    }
    fleet.counter.switch.set(Fault::Refusing);
    let since = fleet.service.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_served(&loading, 50);
    let last = fleet.wait_until_all_answered(fleet.all(), since);
    let calls: Vec<DiscoveryCall> =
        fleet.service.calls().into_iter().filter(|c| c.at >= since && c.at <= last).collect();
    spread(&calls);
    assert!(calls.len() as f64 <= 1.3 * 30.0, "{} calls until all were told", calls.len());
    assert_eq!(calls.iter().filter(|c| c.rejected || c.after.is_none()).count(), 0, "{calls:?}");
    fleet.wait_until_served(&loading, 100);
    let tally = fleet.finish(loading);
    assert!(tally.served > 200, "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn start_without_list_takes_one_call_each() {
    let mut fleet = ColdFleet::new(FleetShape { known: false, seed: 0x41_02, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    // Whoever is ready has somebody to send to.
    let told = fleet.first_answers(Duration::ZERO);
    assert_eq!(told.len(), 30, "ready without a list: {told:?}");
    let calls = fleet.service.calls();
    spread(&calls);
    let loading = fleet.load(100.0);
    fleet.wait_until_served(&loading, 100);
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.refused), (0, 0), "{tally:?}");
    fleet.assert_no_breach();
}

/// Away for two rounds in some way, then back: all are told in one more.
fn away(fault: Fault, seed: u64) {
    let mut fleet = ColdFleet::new(FleetShape { seed, ..FleetShape::default() });
    fleet.service.switch.set(fault);
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let loading = fleet.load(100.0);
    fleet.wait_until_served(&loading, 50);
    fleet.sleep(round() * 2);
    let back = fleet.service.now();
    fleet.timeline.note("the service is back");
    fleet.service.switch.set(Fault::None);
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    spread(&fleet.service.calls());
    // Once a round, while it is away and until it has answered.
    let by_door = by_door(&fleet, Duration::ZERO);
    let rounds = (fleet.service.now().as_secs_f64() / round().as_secs_f64()).ceil() as usize;
    assert!(by_door.iter().all(|n| *n <= rounds + 1), "{by_door:?} in {rounds} rounds, back after {back:?}");
    let tally = fleet.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn rejecting_list_service_is_called_once_a_round() {
    away(Fault::Busy, 0x41_03);
}

#[test]
fn silent_list_service_is_called_once_a_round() {
    away(Fault::Silent, 0x41_04);
}

#[test]
fn garbling_list_service_is_called_once_a_round() {
    away(Fault::Garbled, 0x41_05);
}

#[test]
fn half_rejecting_list_service_answers_all_in_the_end() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_0c, ..FleetShape::default() });
    fleet.service.switch.set(Fault::AlternateBusy);
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    let calls = fleet.service.calls();
    spread(&calls);
    // The first of each, and its second is answered.
    let turned_away = calls.iter().filter(|c| c.rejected).count();
    assert!(turned_away >= 30, "{turned_away} of {} were turned away", calls.len());
}

#[test]
fn slow_list_service_is_not_called_twice() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_0d, ..FleetShape::default() });
    fleet.service.switch.set(Fault::Slow(2 * SECOND));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let last = fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    let calls: Vec<DiscoveryCall> = fleet.service.calls().into_iter().filter(|c| c.at <= last).collect();
    spread(&calls);
    // A call that was given up would be made again before its answer.
    let first_again = |door| calls.iter().filter(|c| c.listener_index == door).nth(1).map(|c| c.at);
    let told = fleet.first_answers(Duration::ZERO);
    assert!(fleet.all().all(|door| first_again(door).is_none_or(|at| at >= told[&door])), "{calls:?}");
    assert_eq!(calls.iter().filter(|c| c.after.is_none()).count(), 0);
}

#[test]
fn crash_loop_does_not_starve_other_gateways() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_06, ..FleetShape::default() });
    let since = fleet.service.now();
    fleet.start(fleet.all());
    let (loops, others) = (0..10, 10..30);
    for _ in 0..6 {
        fleet.sleep(Duration::from_millis(600));
        fleet.kill(loops.clone());
        fleet.start(loops.clone());
    }
    fleet.wait_until_all_answered(others.clone(), since);
    spread(&fleet.service.calls());
    let by_door = by_door(&fleet, since);
    let rounds = (fleet.service.now().as_secs_f64() / round().as_secs_f64()).ceil() as usize;
    // A start that falls into another moment of the same slot may call again in it.
    assert!(by_door[loops.clone()].iter().all(|n| *n <= rounds + 2), "{by_door:?} in {rounds} rounds");
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(loops, since);
}

#[test]
fn slow_links_do_not_delay_other_gateways() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_07, ..FleetShape::default() });
    for link in &fleet.links[..3] {
        let slow = Condition { delay: Duration::from_millis(900), loss: 0.2, ..Condition::HEALTHY };
        link.set_both(slow);
    }
    fleet.timeline.note("0, 1, 2 behind slow links");
    let since = fleet.service.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(3..30, since);
    fleet.wait_until_all_answered(0..3, since);
    spread(&fleet.service.calls());
    // What comes late is taken, not asked for again.
    let early: Vec<DiscoveryCall> =
        fleet.service.calls().into_iter().filter(|c| c.listener_index < 3).collect();
    assert!(early.iter().all(|c| c.after.is_some()), "a whole list: {early:?}");
}

#[test]
fn overlapping_releases_keep_within_slots() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_08, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let loading = fleet.load(100.0);
    fleet.sleep(round() / 2);
    fleet.kill(fleet.all());
    let since = fleet.service.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), since);
    spread(&fleet.service.calls());
    fleet.wait_until_served(&loading, 50);
    fleet.finish(loading);
    fleet.assert_no_breach();
}

#[test]
fn resumed_gateways_do_not_call_together() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_09, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    // Some are stopped before their call, some between it and the answer.
    fleet.sleep(round() / 3);
    fleet.timeline.note("5 to 29 stopped");
    fleet.nodes[5..].iter_mut().for_each(testbed::harness::Node::suspend);
    fleet.sleep(round() * 3 / 2);
    fleet.timeline.note("they go on");
    let since = fleet.service.now();
    fleet.nodes[5..].iter_mut().for_each(testbed::harness::Node::resume);
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet.sleep(round());
    let calls: Vec<DiscoveryCall> = fleet.service.calls().into_iter().filter(|c| c.at >= since).collect();
    spread(&calls);
    let at_once = max_in_window(&calls[..calls.len().min(40)], Duration::from_millis(300));
    assert!(at_once <= 10, "{at_once} calls within 0.3 s: {calls:?}");
}

#[test]
fn list_service_with_lower_versions_is_accepted() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_0a, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet.timeline.note("0 to 4 cut off on the way back; another service, versions from 3 on");
    fleet.links[..5].iter().for_each(|link| link.set(Direction::ToClient, Condition::CUT));
    fleet.service.restart_at_index(3);
    let since = fleet.service.now();
    let whole =
        |fleet: &ColdFleet, place: usize| {
            fleet.service.calls().iter().any(|c| {
                c.listener_index == place && c.at >= since && c.after.is_none() && c.answered.is_some()
            })
        };
    fleet.wait_until("all but those cut off have its list", |fleet| (5..30).all(|place| whole(fleet, place)));
    fleet.timeline.note("healed, and their connections reset");
    for link in &fleet.links[..5] {
        link.set_both(Condition::HEALTHY);
        link.reset();
    }
    fleet.wait_until("those have it too", |fleet| (0..5).all(|place| whole(fleet, place)));
    spread(&fleet.service.calls());
    let loading = fleet.load(100.0);
    fleet.wait_until_served(&loading, 50);
    let tally = fleet.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    fleet.assert_no_breach();
}

/// Thirty gateways that learn of a change in one moment must not make thirty calls in the next.
#[test]
fn list_change_reaches_all_without_a_storm_of_calls() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_0b, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    // Until all of them watch.
    fleet.wait_until("all watch", |fleet| {
        let calls = fleet.service.calls();
        (0..30).all(|door| {
            calls.iter().any(|c| c.listener_index == door && !c.wait.is_zero() && c.answered.is_none())
        })
    });
    let since = fleet.service.now();
    fleet.timeline.note("a backend drains");
    fleet.service.list(&fleet.backends[0], "DRAINING");
    fleet.wait_until("all have heard", |fleet| {
        let calls = fleet.service.calls();
        let heard =
            |door| calls.iter().any(|c| c.listener_index == door && c.answered.is_some_and(|at| at >= since));
        (0..30).all(heard)
    });
    fleet.sleep(round());
    let calls: Vec<DiscoveryCall> = fleet.service.calls().into_iter().filter(|c| c.at >= since).collect();
    spread(&calls);
    assert!(calls.len() >= 20, "{} calls in a round", calls.len());
}
