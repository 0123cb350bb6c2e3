//! Gateways that start with turns and a list from the agent, before a list service of ten calls a second, as
//! real processes.

mod support;

use std::time::Duration;

use support::cold_fleet::{max_in_window, ColdFleet, FleetShape};
use testbed::discovery::DiscoveryCall;
use testbed::switch::Fault;

const SECOND: Duration = Duration::from_secs(1);

/// Thirty gateways, of which nobody knows the list unless that is said.
fn shape(seed: u64) -> FleetShape {
    let register = "unix:{folder}/register.sock";
    let operator = format!(
        "[admin]\nlisten = \"unix:{{folder}}/{{name}}.sock\"\nagent = \"{register}\"\n\
         [start]\nlist_calls_per_s = 10\nordered_by_agent = true\n\
         [agent]\nlisten = \"unix:{{folder}}/agent.sock\"\nregister = \"{register}\"\n\
         log = \"{{folder}}/orders.redb\"\nheartbeat_ms = 5000\n"
    );
    FleetShape { seed, operator, known: false, ..FleetShape::default() }
}

/// Every fifth gateway: six that start anew while the others are at rest.
fn sixth(fleet: &ColdFleet) -> Vec<usize> {
    fleet.all().step_by(5).collect()
}

fn since(fleet: &ColdFleet, since: Duration) -> Vec<DiscoveryCall> {
    fleet.service.calls().into_iter().filter(|c| c.at >= since).collect()
}

/// Slots and turns: no more than 1.35 of what the service bears, with room for a machine that is late.
fn spread(calls: &[DiscoveryCall]) {
    let most = max_in_window(calls, SECOND);
    assert!(most <= 22, "{most} calls in a second where ten are borne");
}

/// All run, and were told.
fn at_rest(seed: u64) -> ColdFleet {
    let mut fleet = ColdFleet::new(shape(seed));
    fleet.start_agent();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet
}

#[test]
fn one_gateway_fetches_the_list_for_all() {
    let mut fleet = at_rest(0x41f1);
    let calls = fleet.service.calls();
    spread(&calls);
    // Who had its slot before the agent had the list asked for itself. Ready is who knows somebody.
    let whole = |calls: &[DiscoveryCall]| calls.iter().filter(|c| c.after.is_none()).count();
    assert!(whole(&calls) <= 14, "{} whole lists for thirty", whole(&calls));
    // Six start anew, none of which knows a list, while the service is silent: they serve by the agent's.
    let anew = sixth(&fleet);
    fleet.kill(anew.clone());
    fleet.timeline.note("the list service falls silent");
    fleet.service.switch.set(Fault::Silent);
    let moment = fleet.service.now();
    fleet.start(anew.clone());
    fleet.wait_until_ready(anew.clone());
    let loading = fleet.load(100.0);
    fleet.wait_until_served(&loading, 100);
    fleet.timeline.note("it is back");
    fleet.service.switch.set(Fault::None);
    fleet.wait_until_all_answered(anew, moment);
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.refused), (0, 0), "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn killed_agent_leaves_starts_to_slots() {
    let mut fleet = ColdFleet::new(shape(0x41f2));
    fleet.start_agent();
    fleet.start(fleet.all());
    fleet.wait_until("some are told", |fleet| fleet.first_answers(Duration::ZERO).len() >= 5);
    fleet.timeline.note("the agent is killed");
    fleet.agent.kill();
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet.wait_until_ready(fleet.all());
    spread(&fleet.service.calls());
    // It is back, and those that start anew have turns again.
    fleet.start_agent();
    let (anew, moment) = (sixth(&fleet), fleet.service.now());
    fleet.start(anew.clone());
    fleet.wait_until_ready(anew.clone());
    fleet.wait_until_all_answered(anew, moment);
}

#[test]
fn stopped_agent_delays_no_start() {
    let mut fleet = ColdFleet::new(shape(0x41f3));
    fleet.start_agent();
    fleet.timeline.note("the agent is stopped");
    fleet.agent.suspend();
    fleet.start(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet.wait_until_ready(fleet.all());
    let calls = fleet.service.calls();
    assert_eq!(calls.iter().filter(|c| c.rejected).count(), 0);
    // Slots alone.
    let most = max_in_window(&calls, SECOND);
    assert!(most <= 18, "{most} calls in a second where nine have slots");
    fleet.timeline.note("it goes on");
    fleet.agent.resume();
    let (anew, moment) = (sixth(&fleet), fleet.service.now());
    fleet.start(anew.clone());
    fleet.wait_until_ready(anew.clone());
    fleet.wait_until_all_answered(anew, moment);
}

#[test]
fn crash_loop_gets_no_extra_turns() {
    let mut fleet = at_rest(0x41f4);
    let (loops, moment) = (sixth(&fleet), fleet.service.now());
    for _ in 0..6 {
        fleet.kill(loops.clone());
        fleet.start(loops.clone());
        fleet.sleep(Duration::from_millis(500));
    }
    let others: Vec<usize> = fleet.all().filter(|i| i % 5 == 1).collect();
    fleet.start(others.clone());
    fleet.wait_until_ready(others.clone());
    fleet.wait_until_all_answered(others, moment);
    fleet.wait_until_ready(loops.clone());
    fleet.wait_until_all_answered(loops.clone(), moment);
    let calls = since(&fleet, moment);
    spread(&calls);
    // A turn and a slot in a round each, and one more where a start falls into another moment of its slot.
    let rounds = ((fleet.service.now() - moment).as_secs_f64() / (30.0 / 9.0)).ceil() as usize;
    for place in loops {
        let by_it = calls.iter().filter(|c| c.listener_index == place).count();
        assert!(by_it <= 2 * (rounds + 1) + 1, "{by_it} calls of {place} in {rounds} rounds");
    }
}
