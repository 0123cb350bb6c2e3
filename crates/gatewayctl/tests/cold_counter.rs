//! Gateways that start together before a counter that bears fifty calls a second, as real processes.

mod support;

use std::time::Duration;

use support::cold_fleet::{ColdFleet, FleetShape};
use testbed::client::LoadProfile;
use testbed::switch::Fault;

/// Customers with quotas ask so often, requests a second: six times what the counter bears.
const RATE: f64 = 300.0;

fn shape(seed: u64) -> FleetShape {
    let operator = "[start]\nlist_calls_per_s = 10\ncounter_calls_per_s = 50\n".to_string();
    FleetShape { seed, operator, counter_takes: Duration::from_millis(20), ..FleetShape::default() }
}

fn plan() -> LoadProfile {
    LoadProfile { rate: RATE, paid: 1.0, customers: 100, ..LoadProfile::default() }
}

/// Calls that came to the counter in a stretch of its time.
fn calls(fleet: &ColdFleet, from: Duration, time: Duration) -> usize {
    fleet.counter.waits().iter().filter(|(at, _)| (from..from + time).contains(at)).count()
}

#[test]
fn restart_of_all_keeps_within_counter_call_budget() {
    let mut fleet = ColdFleet::new(shape(0x41_41));
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let loading = fleet.load_of(plan());
    fleet.wait_until_served(&loading, 200);
    fleet.kill(fleet.all());
    // What stood before the counter is done.
    fleet.sleep(Duration::from_secs(2));
    let since = fleet.counter.now();
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    fleet.wait_until_served(&loading, 100);
    fleet.wait_until("calls grow to what it bears", |fleet| {
        calls(fleet, since + Duration::from_secs(2), Duration::from_secs(60)) > 100
    });
    // A call of each in its slot, and half of what it bears, growing: sixty in the first second, where three
    // hundred are wanted.
    let first = calls(&fleet, since, Duration::from_secs(1));
    assert!(first <= 100, "{first} calls in the first second");
    let tally = fleet.finish(loading);
    assert!(tally.served > 300, "{tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn counter_is_called_again_after_an_outage_at_start() {
    let mut fleet = ColdFleet::new(shape(0x41_42));
    fleet.counter.switch.set(Fault::Refusing);
    fleet.start(fleet.all());
    fleet.wait_until_ready(fleet.all());
    let loading = fleet.load_of(plan());
    fleet.wait_until_served(&loading, 100);
    assert_eq!(fleet.counter.calls(), 0);
    fleet.timeline.note("the counter is back");
    fleet.counter.switch.set(Fault::None);
    fleet.wait_until("it is called", |fleet| fleet.counter.calls() > 100);
    let tally = fleet.finish(loading);
    assert_eq!(tally.lost, 0, "{tally:?}");
    fleet.assert_no_breach();
}
