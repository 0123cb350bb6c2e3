//! A list of 500 backends, of which a third turn bad under load: gateways that keep to subsets of it.

mod support;

use std::time::Duration;

use support::{wait_until, Fleet};
use testbed::switch::Fault;

const BACKENDS: usize = 500;

#[test]
fn third_of_500_backends_failing_loses_no_request() {
    // Half of the backends for each of the four, so two gateways for each backend.
    let fleet = Fleet::with(4, BACKENDS, &[], "\n[routing]\nsubset = 60\ncoverage = 2");
    fleet.wait_until_healthy();
    let arrived = |bad: bool| -> u64 {
        let all = fleet.backends.iter().enumerate();
        all.filter(|(i, _)| (i % 3 == 0) == bad).map(|(_, b)| b.arrived()).sum()
    };
    let loading = fleet.load(4, 500.0);
    wait_until("work is spread", || {
        let served = fleet.backends.iter().filter(|b| b.served() > 0).count();
        served > BACKENDS * 8 / 10
    });
    // Each of five kinds for some.
    let faults = [
        Fault::Refusing,
        Fault::Failing,
        Fault::Silent,
        Fault::Resetting,
        Fault::Slow(Duration::from_millis(400)),
    ];
    for (i, backend) in fleet.backends.iter().enumerate().filter(|(i, _)| i % 3 == 0) {
        backend.switch.set(faults[i / 3 % faults.len()]);
    }
    let then = loading.load.counts();
    wait_until("served through it", || loading.load.counts().served > then.served + 1_500);
    let before = (arrived(true), arrived(false));
    wait_until("served on", || loading.load.counts().served > then.served + 2_500);
    let (bad, well) = (arrived(true) - before.0, arrived(false) - before.1);
    // A third of the work at first, if nobody had learned.
    assert!(bad * 6 < well, "{bad} to the bad ones, {well} to the others");
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::None));
    let now = loading.load.counts().served;
    wait_until("all is served again", || loading.load.counts().served > now + 500);
    let tally = fleet.finish(loading);
    println!("{tally:?}");
    assert_eq!(tally.lost, 0, "{tally:?}");
    // One in ten is the budget of further attempts; what never ran costs none, and never arrived.
    let attempts = arrived(true) + arrived(false);
    assert!(attempts * 10 <= tally.asked * 11 + 400, "{attempts} attempts for {tally:?}");
    assert!(tally.served * 10 > tally.asked * 8, "{tally:?}");
    fleet.assert_no_breach();
}
