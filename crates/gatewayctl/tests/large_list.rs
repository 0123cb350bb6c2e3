//! Gateways that use subsets of a list of 500 backends, of which a third fail under load.

mod support;

use std::time::Duration;

use support::{wait_until, Fleet};
use testbed::switch::Fault;

const BACKENDS: usize = 500;

#[test]
fn third_of_500_backends_failing_loses_no_request() {
    // Each of the four gateways uses half of the backends, so two gateways use each backend.
    let fleet = Fleet::start_with(4, BACKENDS, &[], "\n[routing]\nsubset = 60\ncoverage = 2");
    fleet.wait_until_healthy();
    let arrived = |faulty: bool| -> u64 {
        let all = fleet.backends.iter().enumerate();
        all.filter(|(i, _)| (i % 3 == 0) == faulty).map(|(_, b)| b.arrived()).sum()
    };
    let running_load = fleet.start_load(4, 500.0);
    wait_until("most backends serve requests", || {
        let served = fleet.backends.iter().filter(|b| b.served() > 0).count();
        served > BACKENDS * 8 / 10
    });
    // Each of the five faults affects a fifth of the faulty backends.
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
    let earlier = running_load.load.counts();
    wait_until("requests are served despite the faults", || {
        running_load.load.counts().served > earlier.served + 1_500
    });
    let before = (arrived(true), arrived(false));
    wait_until("further requests are served", || running_load.load.counts().served > earlier.served + 2_500);
    let (to_faulty, to_healthy) = (arrived(true) - before.0, arrived(false) - before.1);
    // Gateways that had not reacted to the faults would send a third of the requests to faulty backends.
    assert!(to_faulty * 6 < to_healthy, "{to_faulty} to faulty backends, {to_healthy} to healthy ones");
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::None));
    let before_recovery = running_load.load.counts().served;
    wait_until("requests are served after recovery", || {
        running_load.load.counts().served > before_recovery + 500
    });
    let counts = fleet.finish_load(running_load);
    println!("{counts:?}");
    assert_eq!(counts.lost, 0, "{counts:?}");
    // The retry budget allows one further attempt per ten requests. Attempts that never reached a backend
    // cost nothing and are not counted as arrived.
    let attempts = arrived(true) + arrived(false);
    assert!(attempts * 10 <= counts.sent * 11 + 400, "{attempts} attempts for {counts:?}");
    assert!(counts.served * 10 > counts.sent * 8, "{counts:?}");
    fleet.assert_no_violation();
}
