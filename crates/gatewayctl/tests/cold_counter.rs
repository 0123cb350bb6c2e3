//! Cold start of gateway processes with a shared counter that handles fifty calls per second.

mod support;

use std::time::Duration;

use support::cold_fleet::{ColdFleet, FleetShape};
use testbed::client::LoadProfile;
use testbed::switch::Fault;

/// Requests per second of customers with quotas: six times as many as the counter handles calls.
const RATE: f64 = 300.0;

fn shape(seed: u64) -> FleetShape {
    let operator_config = "[start]\nlist_calls_per_s = 10\ncounter_calls_per_s = 50\n".to_string();
    FleetShape {
        seed,
        operator_config,
        counter_call_time: Duration::from_millis(20),
        ..FleetShape::default()
    }
}

fn profile() -> LoadProfile {
    LoadProfile { rate: RATE, paid: 1.0, customers: 100, ..LoadProfile::default() }
}

/// Number of calls that the counter received within `duration` from a time on its clock.
fn calls_within(fleet: &ColdFleet, from: Duration, duration: Duration) -> usize {
    fleet.counter.waits().iter().filter(|(at, _)| (from..from + duration).contains(at)).count()
}

#[test]
fn restart_of_all_keeps_within_counter_call_budget() {
    let mut fleet = ColdFleet::new(shape(0x41_41));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let running_load = fleet.start_load_with(profile());
    fleet.wait_until_served(&running_load, 200);
    fleet.kill(fleet.all());
    // The counter finishes the waiting calls within this time.
    fleet.sleep(Duration::from_secs(2));
    let since = fleet.counter.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_served(&running_load, 100);
    fleet.wait_until("calls increase to the counter's rate", |fleet| {
        calls_within(fleet, since + Duration::from_secs(2), Duration::from_secs(60)) > 100
    });
    // Each gateway makes a call in its slot, and further calls start at half of the counter's rate and
    // increase. That makes about 60 calls in the first second; without a limit the load would cause 300.
    let first = calls_within(&fleet, since, Duration::from_secs(1));
    assert!(first <= 100, "{first} calls in the first second");
    let counts = fleet.finish_load(running_load);
    assert!(counts.served > 300, "{counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn counter_is_called_again_after_an_outage_at_start() {
    let mut fleet = ColdFleet::new(shape(0x41_42));
    fleet.counter.switch.set(Fault::Refusing);
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let running_load = fleet.start_load_with(profile());
    fleet.wait_until_served(&running_load, 100);
    assert_eq!(fleet.counter.calls(), 0);
    fleet.timeline.note("counter recovers");
    fleet.counter.switch.set(Fault::None);
    fleet.wait_until("the counter is called", |fleet| fleet.counter.calls() > 100);
    let counts = fleet.finish_load(running_load);
    assert_eq!(counts.lost, 0, "{counts:?}");
    fleet.assert_no_violation();
}
