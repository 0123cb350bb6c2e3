//! Cold start of gateway processes with a list service that handles ten calls per second.

mod support;

use std::time::Duration;

use support::cold_fleet::{max_in_window, ColdFleet, FleetShape, LIST_CALL_TIME};
use testbed::backend::{Backend, Spec};
use testbed::discovery::DiscoveryCall;
use testbed::harness::{Condition, Direction};
use testbed::switch::Fault;

const SECOND: Duration = Duration::from_secs(1);

/// Asserts that the calls in any second are those of the slots, with a margin for a slow machine. Without
/// slots the thirty gateways call within the first quarter of a second.
fn assert_spread(calls: &[DiscoveryCall]) {
    let max = max_in_window(calls, SECOND);
    assert!(max <= 18, "{max} calls in a second to a service that handles ten");
}

/// Round of the slot schedule: 30 gateways at 9 (nine tenths of 10) calls per second.
fn round() -> Duration {
    LIST_CALL_TIME.mul_f64(30.0 / 0.9)
}

/// Number of calls of each gateway since a time.
fn calls_by_gateway(fleet: &ColdFleet, since: Duration) -> Vec<usize> {
    let mut calls = vec![0; fleet.nodes.len()];
    fleet.service.calls().iter().filter(|c| c.at >= since).for_each(|c| calls[c.listener_index] += 1);
    calls
}

#[test]
fn restart_with_replaced_backends_and_no_counter_keeps_slots() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_01, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    let running_load = fleet.start_load(150.0);
    fleet.wait_until_served(&running_load, 50);
    fleet.kill(fleet.all());
    // Cold backends replace half of the backends, and the counter is unavailable.
    for removed in fleet.backends.drain(..4) {
        fleet.service.delete(&removed);
    }
    for i in 8..12 {
        let spec = Spec { cold: Some((4.0, Duration::from_secs(4))), ..Spec::plain(i) };
        let new =
            fleet.runtime.block_on(Backend::start(spec, fleet.journal.clone())).expect("the start succeeds");
        fleet.service.list(&new, "SERVING");
        fleet.backends.push(new);
    }
    fleet.counter.switch.set(Fault::Refusing);
    let since = fleet.service.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_served(&running_load, 50);
    let last = fleet.wait_until_all_answered(fleet.all(), since);
    let calls: Vec<DiscoveryCall> =
        fleet.service.calls().into_iter().filter(|c| c.at >= since && c.at <= last).collect();
    assert_spread(&calls);
    assert!(calls.len() as f64 <= 1.3 * 30.0, "{} calls until all gateways had the list", calls.len());
    assert_eq!(calls.iter().filter(|c| c.rejected || c.after.is_none()).count(), 0, "{calls:?}");
    fleet.wait_until_served(&running_load, 100);
    let counts = fleet.finish_load(running_load);
    assert!(counts.served > 200, "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn start_without_list_takes_one_call_each() {
    let mut fleet = ColdFleet::new(FleetShape { known: false, seed: 0x41_02, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    // A gateway must not be ready without a list.
    let first_answers = fleet.first_answers(Duration::ZERO);
    assert_eq!(first_answers.len(), 30, "ready without a list: {first_answers:?}");
    let calls = fleet.service.calls();
    assert_spread(&calls);
    let running_load = fleet.start_load(100.0);
    fleet.wait_until_served(&running_load, 100);
    let counts = fleet.finish_load(running_load);
    assert_eq!((counts.lost, counts.rejected), (0, 0), "{counts:?}");
    fleet.assert_no_violation();
}

/// Applies a fault to the list service for two rounds and checks that each gateway calls once per round and
/// receives the list after the service has recovered.
fn check_list_service_outage(fault: Fault, seed: u64) {
    let mut fleet = ColdFleet::new(FleetShape { seed, ..FleetShape::default() });
    fleet.service.switch.set(fault);
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let running_load = fleet.start_load(100.0);
    fleet.wait_until_served(&running_load, 50);
    fleet.sleep(round() * 2);
    let recovered_at = fleet.service.now();
    fleet.timeline.note("list service recovers");
    fleet.service.switch.set(Fault::None);
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    assert_spread(&fleet.service.calls());
    // Each gateway calls once per round during the fault and until it has its answer.
    let calls_by_gateway = calls_by_gateway(&fleet, Duration::ZERO);
    let rounds = (fleet.service.now().as_secs_f64() / round().as_secs_f64()).ceil() as usize;
    assert!(
        calls_by_gateway.iter().all(|n| *n <= rounds + 1),
        "{calls_by_gateway:?} in {rounds} rounds, recovered at {recovered_at:?}"
    );
    let counts = fleet.finish_load(running_load);
    assert_eq!(counts.lost, 0, "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn rejecting_list_service_is_called_once_a_round() {
    check_list_service_outage(Fault::Busy, 0x41_03);
}

#[test]
fn silent_list_service_is_called_once_a_round() {
    check_list_service_outage(Fault::Silent, 0x41_04);
}

#[test]
fn list_service_with_garbled_answers_is_called_once_a_round() {
    check_list_service_outage(Fault::Garbled, 0x41_05);
}

#[test]
fn rejecting_every_second_call_delays_but_reaches_all() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_0c, ..FleetShape::default() });
    fleet.service.switch.set(Fault::AlternateBusy);
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    let calls = fleet.service.calls();
    assert_spread(&calls);
    // The first call of each gateway is rejected and its second is answered.
    let rejected = calls.iter().filter(|c| c.rejected).count();
    assert!(rejected >= 30, "{rejected} of {} calls were rejected", calls.len());
}

#[test]
fn slow_list_service_is_not_called_twice() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_0d, ..FleetShape::default() });
    fleet.service.switch.set(Fault::Slow(2 * SECOND));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let last = fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    let calls: Vec<DiscoveryCall> = fleet.service.calls().into_iter().filter(|c| c.at <= last).collect();
    assert_spread(&calls);
    // A gateway that gave a call up would call again before the answer.
    let second_call = |listener| calls.iter().filter(|c| c.listener_index == listener).nth(1).map(|c| c.at);
    let first_answers = fleet.first_answers(Duration::ZERO);
    assert!(
        fleet.all().all(|listener| second_call(listener).is_none_or(|at| at >= first_answers[&listener])),
        "{calls:?}"
    );
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
    assert_spread(&fleet.service.calls());
    let calls_by_gateway = calls_by_gateway(&fleet, since);
    let rounds = (fleet.service.now().as_secs_f64() / round().as_secs_f64()).ceil() as usize;
    // A gateway that restarts within its slot may call again in the same slot.
    assert!(
        calls_by_gateway[loops.clone()].iter().all(|n| *n <= rounds + 2),
        "{calls_by_gateway:?} in {rounds} rounds"
    );
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
    fleet.timeline.note("gateways 0 to 2 behind slow links");
    let since = fleet.service.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(3..30, since);
    fleet.wait_until_all_answered(0..3, since);
    assert_spread(&fleet.service.calls());
    // Late answers are used instead of repeating the call.
    let slow_calls: Vec<DiscoveryCall> =
        fleet.service.calls().into_iter().filter(|c| c.listener_index < 3).collect();
    assert!(slow_calls.iter().all(|c| c.after.is_some()), "a full list was requested: {slow_calls:?}");
}

#[test]
fn restart_within_a_round_keeps_within_slots() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_08, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let running_load = fleet.start_load(100.0);
    fleet.sleep(round() / 2);
    fleet.kill(fleet.all());
    let since = fleet.service.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), since);
    assert_spread(&fleet.service.calls());
    fleet.wait_until_served(&running_load, 50);
    fleet.finish_load(running_load);
    fleet.assert_no_violation();
}

#[test]
fn resumed_gateways_do_not_call_together() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_09, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    // Some gateways are stopped before their call and some between the call and its answer.
    fleet.sleep(round() / 3);
    fleet.timeline.note("gateways 5 to 29 stopped");
    fleet.nodes[5..].iter_mut().for_each(testbed::harness::Node::suspend);
    fleet.sleep(round() * 3 / 2);
    fleet.timeline.note("gateways 5 to 29 resumed");
    let since = fleet.service.now();
    fleet.nodes[5..].iter_mut().for_each(testbed::harness::Node::resume);
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet.sleep(round());
    let calls: Vec<DiscoveryCall> = fleet.service.calls().into_iter().filter(|c| c.at >= since).collect();
    assert_spread(&calls);
    let max = max_in_window(&calls[..calls.len().min(40)], Duration::from_millis(300));
    assert!(max <= 10, "{max} calls within 0.3 s: {calls:?}");
}

#[test]
fn list_service_with_lower_versions_is_accepted() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_0a, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet.timeline.note("gateways 0 to 4 receive no answers; another list service with versions from 3");
    fleet.links[..5].iter().for_each(|link| link.set(Direction::ToClient, Condition::CUT));
    fleet.service.restart_at_index(3);
    let since = fleet.service.now();
    let has_full_list =
        |fleet: &ColdFleet, index: usize| {
            fleet.service.calls().iter().any(|c| {
                c.listener_index == index && c.at >= since && c.after.is_none() && c.answered.is_some()
            })
        };
    fleet.wait_until("all connected gateways have the new list", |fleet| {
        (5..30).all(|index| has_full_list(fleet, index))
    });
    fleet.timeline.note("links restored and connections reset");
    for link in &fleet.links[..5] {
        link.set_both(Condition::HEALTHY);
        link.reset();
    }
    fleet.wait_until("the other gateways have the new list", |fleet| {
        (0..5).all(|index| has_full_list(fleet, index))
    });
    assert_spread(&fleet.service.calls());
    let running_load = fleet.start_load(100.0);
    fleet.wait_until_served(&running_load, 50);
    let counts = fleet.finish_load(running_load);
    assert_eq!(counts.lost, 0, "{counts:?}");
    fleet.assert_no_violation();
}

/// Thirty gateways that learn of a change at the same time must not all call again at the same time.
#[test]
fn list_change_causes_no_burst_of_calls() {
    let mut fleet = ColdFleet::new(FleetShape { seed: 0x41_0b, ..FleetShape::default() });
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    // A watch is a call that may wait and has no answer yet.
    fleet.wait_until("all gateways have an open watch", |fleet| {
        let calls = fleet.service.calls();
        (0..30).all(|listener| {
            calls.iter().any(|c| c.listener_index == listener && !c.wait.is_zero() && c.answered.is_none())
        })
    });
    let since = fleet.service.now();
    fleet.timeline.note("backend till-0 is listed as draining");
    fleet.service.list(&fleet.backends[0], "DRAINING");
    fleet.wait_until("all gateways receive the change", |fleet| {
        let calls = fleet.service.calls();
        let received = |listener| {
            calls.iter().any(|c| c.listener_index == listener && c.answered.is_some_and(|at| at >= since))
        };
        (0..30).all(received)
    });
    fleet.sleep(round());
    let calls: Vec<DiscoveryCall> = fleet.service.calls().into_iter().filter(|c| c.at >= since).collect();
    assert_spread(&calls);
    assert!(calls.len() >= 20, "{} calls in a round", calls.len());
}
