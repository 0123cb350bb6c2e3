//! Cold start of gateway processes that get start batches and the endpoint list from the agent, with a list
//! service that handles ten calls per second.

mod support;

use std::time::Duration;

use support::cold_fleet::{max_in_window, ColdFleet, FleetShape};
use testbed::discovery::DiscoveryCall;
use testbed::switch::Fault;

const SECOND: Duration = Duration::from_secs(1);

/// Shape of a fleet of thirty gateways whose configurations contain no endpoint list.
fn shape(seed: u64) -> FleetShape {
    let register = "unix:{folder}/register.sock";
    let operator_config = format!(
        "[admin]\nlisten = \"unix:{{folder}}/{{name}}.sock\"\nagent = \"{register}\"\n\
         [start]\nlist_calls_per_s = 10\nordered_by_agent = true\n\
         [agent]\nlisten = \"unix:{{folder}}/agent.sock\"\nregister = \"{register}\"\n\
         log = \"{{folder}}/orders.redb\"\nheartbeat_ms = 5000\n"
    );
    FleetShape { seed, operator_config, known: false, ..FleetShape::default() }
}

/// Returns the six gateways that restart while the others are idle: every fifth one.
fn every_fifth(fleet: &ColdFleet) -> Vec<usize> {
    fleet.all().step_by(5).collect()
}

/// Returns the list calls made at or after a time.
fn calls_since(fleet: &ColdFleet, since: Duration) -> Vec<DiscoveryCall> {
    fleet.service.calls().into_iter().filter(|c| c.at >= since).collect()
}

/// Asserts the rate of calls from slots and start batches together: at most 1.35 times the rate that the
/// service handles, with a margin for a slow machine.
fn assert_spread(calls: &[DiscoveryCall]) {
    let max = max_in_window(calls, SECOND);
    assert!(max <= 22, "{max} calls in a second to a service that handles ten");
}

/// Starts the agent and all gateways, and waits until each gateway has the list.
fn start_fleet(seed: u64) -> ColdFleet {
    let mut fleet = ColdFleet::new(shape(seed));
    fleet.start_agent();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet
}

#[test]
fn one_gateway_fetches_the_list_for_all() {
    let mut fleet = start_fleet(0x41f1);
    let calls = fleet.service.calls();
    assert_spread(&calls);
    // Only gateways whose slot came before the agent had the list request it themselves.
    let full_lists = |calls: &[DiscoveryCall]| calls.iter().filter(|c| c.after.is_none()).count();
    assert!(full_lists(&calls) <= 14, "{} full lists for thirty gateways", full_lists(&calls));
    // Six gateways restart without a list while the list service is silent; they serve from the agent's list.
    let restarted = every_fifth(&fleet);
    fleet.kill(restarted.clone());
    fleet.timeline.note("list service silent");
    fleet.service.switch.set(Fault::Silent);
    let since = fleet.service.now();
    fleet.start(restarted.clone());
    fleet.wait_until_ready(restarted.clone());
    let running_load = fleet.start_load(100.0);
    fleet.wait_until_served(&running_load, 100);
    fleet.timeline.note("list service recovers");
    fleet.service.switch.set(Fault::None);
    fleet.wait_until_all_answered(restarted, since);
    let counts = fleet.finish_load(running_load);
    assert_eq!((counts.lost, counts.rejected), (0, 0), "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn starts_use_slots_after_agent_is_killed() {
    let mut fleet = ColdFleet::new(shape(0x41f2));
    fleet.start_agent();
    fleet.start(fleet.all());
    fleet.wait_until("five gateways have the list", |fleet| fleet.first_answers(Duration::ZERO).len() >= 5);
    fleet.timeline.note("agent killed");
    fleet.agent.kill();
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet.wait_until_ready(fleet.all());
    assert_spread(&fleet.service.calls());
    // With an agent again, restarted gateways get start batches again.
    fleet.start_agent();
    let (restarted, since) = (every_fifth(&fleet), fleet.service.now());
    fleet.start(restarted.clone());
    fleet.wait_until_ready(restarted.clone());
    fleet.wait_until_all_answered(restarted, since);
}

#[test]
fn stopped_agent_delays_no_start() {
    let mut fleet = ColdFleet::new(shape(0x41f3));
    fleet.start_agent();
    fleet.timeline.note("agent stopped");
    fleet.agent.suspend();
    fleet.start(fleet.all());
    fleet.wait_until_all_answered(fleet.all(), Duration::ZERO);
    fleet.wait_until_ready(fleet.all());
    let calls = fleet.service.calls();
    assert_eq!(calls.iter().filter(|c| c.rejected).count(), 0);
    // Without start batches only slots allow calls.
    let max = max_in_window(&calls, SECOND);
    assert!(max <= 18, "{max} calls in a second with nine slots");
    fleet.timeline.note("agent resumed");
    fleet.agent.resume();
    let (restarted, since) = (every_fifth(&fleet), fleet.service.now());
    fleet.start(restarted.clone());
    fleet.wait_until_ready(restarted.clone());
    fleet.wait_until_all_answered(restarted, since);
}

#[test]
fn crash_loop_gets_no_extra_calls() {
    let mut fleet = start_fleet(0x41f4);
    let (loops, since) = (every_fifth(&fleet), fleet.service.now());
    for _ in 0..6 {
        fleet.kill(loops.clone());
        fleet.start(loops.clone());
        fleet.sleep(Duration::from_millis(500));
    }
    let others: Vec<usize> = fleet.all().filter(|i| i % 5 == 1).collect();
    fleet.start(others.clone());
    fleet.wait_until_ready(others.clone());
    fleet.wait_until_all_answered(others, since);
    fleet.wait_until_ready(loops.clone());
    fleet.wait_until_all_answered(loops.clone(), since);
    let calls = calls_since(&fleet, since);
    assert_spread(&calls);
    // Each gateway may call once in a start batch and once in its slot per round, and once more if it
    // restarts within its slot.
    let rounds = ((fleet.service.now() - since).as_secs_f64() / (30.0 / 9.0)).ceil() as usize;
    for index in loops {
        let count = calls.iter().filter(|c| c.listener_index == index).count();
        assert!(count <= 2 * (rounds + 1) + 1, "{count} calls of gateway {index} in {rounds} rounds");
    }
}
