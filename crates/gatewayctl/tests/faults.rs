//! A load combined with a seeded script of faults, orders and a killed agent. Every request that a gateway
//! accepts must get exactly one final answer, and the auditor must find no violation.

mod support;

use std::time::Duration;

use support::{wait_until, Fleet};
use testbed::journal::Event;
use testbed::script::Script;
use testbed::switch::{Fault, Switch};

/// Number of backend faults in the script, which takes about six seconds.
const FAULTS: usize = 9;

#[test]
fn faults_and_orders_under_load_lose_no_request() {
    let seed = 0xbeec_0020;
    let script = Script::generate(seed, 5, FAULTS);
    println!("{script}");
    let mut fleet = Fleet::start(3, 6);
    fleet.wait_until_healthy();
    let running_load = fleet.start_load(3, 150.0);
    // The last backend stays drained throughout and has no faults.
    assert_eq!(fleet.cli_json(&["drain", "till-5", "--wait"]).code, 0);
    fleet.journal.note(Event::BackendDrained { backend: "till-5".to_string(), gateway: None });
    let switches: Vec<Switch> = fleet.backends[..5].iter().map(|b| b.switch.clone()).collect();
    let script_task = {
        let script = script.clone();
        fleet.runtime.spawn(async move { script.play(&switches).await })
    };
    let mut round = 0;
    while !script_task.is_finished() {
        let (backend, group) = (format!("till-{}", round % 4), format!("group/{}", round % 2));
        let subject = if round % 3 == 0 { group } else { backend };
        let drained = fleet.cli_json(&["drain", &subject]);
        assert!([0, 3, 4].contains(&drained.code), "{seed:#x}: {}", drained.stderr);
        if round == 3 {
            fleet.kill_agent();
            fleet.start_agent();
        }
        if round == 5 {
            fleet.discovery.switch.set(Fault::Silent);
            fleet.counter.switch.set(Fault::Silent);
        }
        std::thread::sleep(Duration::from_millis(120));
        let undrained = fleet.cli_json(&["undrain", &subject]);
        assert!([0, 3, 4, 5].contains(&undrained.code), "{seed:#x}: {}", undrained.stderr);
        round += 1;
    }
    assert!(round > 6, "the script ended after {round} rounds, before all steps had run");
    fleet.discovery.switch.set(Fault::None);
    fleet.counter.switch.set(Fault::None);
    fleet.wait_until_healthy();
    let earlier = running_load.load.counts().served;
    wait_until("requests are served again", || running_load.load.counts().served > earlier + 150);
    let counts = fleet.finish_load(running_load);
    println!("{counts:?}");
    assert_eq!(counts.lost, 0, "{seed:#x}: {counts:?}");
    assert!(counts.served * 2 > counts.sent, "{seed:#x}: too few requests were served: {counts:?}");
    fleet.assert_no_violation();
}

#[test]
fn faulty_clients_do_not_affect_others() {
    let fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    // Slow backends, so that requests are in flight when a client disconnects.
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::Slow(Duration::from_millis(30))));
    let (faulty, healthy) = (fleet.start_load(2, 100.0), fleet.start_load_from(2, 100.0, 1 << 41));
    for fault in [Fault::Resetting, Fault::Silent, Fault::Slow(Duration::from_millis(50)), Fault::Resetting] {
        faulty.load.switch.set(fault);
        let earlier = healthy.load.counts().served;
        wait_until("the healthy clients are served", || healthy.load.counts().served > earlier + 60);
    }
    faulty.load.switch.set(Fault::None);
    let earlier = faulty.load.counts().served;
    wait_until("the recovered clients are served", || faulty.load.counts().served > earlier + 30);
    let (faulty, healthy) = (fleet.finish_load(faulty), fleet.finish_load(healthy));
    assert!(faulty.abandoned > 60, "{faulty:?}");
    assert_eq!((faulty.lost, healthy.lost, healthy.abandoned), (0, 0, 0), "{faulty:?} {healthy:?}");
    wait_until("no request is open", || (0..2).all(|index| fleet.state(index).statistics.requests == 0));
    fleet.assert_no_violation();
}
