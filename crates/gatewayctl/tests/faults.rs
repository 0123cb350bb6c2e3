//! Everything at once: a load, faults by a seeded script, orders, and an agent that is killed. Every request
//! that a gateway took gets one final answer, and no rule breaks.

mod support;

use std::time::Duration;

use support::{wait_until, Fleet};
use testbed::journal::Event;
use testbed::script::Script;
use testbed::switch::{Fault, Switch};

/// Faults of backends in one run: some six seconds.
const FAULTS: usize = 9;

#[test]
fn faults_and_orders_under_load_lose_no_request() {
    let seed = 0xbeec_0020;
    let script = Script::generate(seed, 5, FAULTS);
    println!("{script}");
    let mut fleet = Fleet::start(3, 6);
    fleet.wait_until_healthy();
    let loading = fleet.load(3, 150.0);
    // The last backend is drained through all of it, and so is none of those that fail.
    assert_eq!(fleet.json(&["drain", "till-5", "--wait"]).code, 0);
    fleet.journal.note(Event::BackendDrained { backend: "till-5".to_string(), gateway: None });
    let switches: Vec<Switch> = fleet.backends[..5].iter().map(|b| b.switch.clone()).collect();
    let playing = {
        let script = script.clone();
        fleet.runtime.spawn(async move { script.play(&switches).await })
    };
    let mut round = 0;
    while !playing.is_finished() {
        let (backend, group) = (format!("till-{}", round % 4), format!("group/{}", round % 2));
        let subject = if round % 3 == 0 { group } else { backend };
        let drained = fleet.json(&["drain", &subject]);
        assert!([0, 3, 4].contains(&drained.code), "{seed:#x}: {}", drained.err);
        if round == 3 {
            fleet.kill_agent();
            fleet.start_agent();
        }
        if round == 5 {
            fleet.discovery.switch.set(Fault::Silent);
            fleet.counter.switch.set(Fault::Silent);
        }
        std::thread::sleep(Duration::from_millis(120));
        let undrained = fleet.json(&["undrain", &subject]);
        assert!([0, 3, 4, 5].contains(&undrained.code), "{seed:#x}: {}", undrained.err);
        round += 1;
    }
    assert!(round > 6, "the script was over before all was tried: {round}");
    fleet.discovery.switch.set(Fault::None);
    fleet.counter.switch.set(Fault::None);
    fleet.wait_until_healthy();
    let then = loading.load.counts().served;
    wait_until("all is served again", || loading.load.counts().served > then + 150);
    let tally = fleet.finish(loading);
    println!("{tally:?}");
    assert_eq!(tally.lost, 0, "{seed:#x}: {tally:?}");
    assert!(tally.served * 2 > tally.asked, "{seed:#x}: hardly anything was served: {tally:?}");
    fleet.assert_no_breach();
}

#[test]
fn faulty_clients_do_not_affect_others() {
    let fleet = Fleet::start(2, 4);
    fleet.wait_until_healthy();
    // So that something is in flight when a client leaves.
    fleet.backends.iter().for_each(|b| b.switch.set(Fault::Slow(Duration::from_millis(30))));
    let (bad, good) = (fleet.load(2, 100.0), fleet.load_from(2, 100.0, 1 << 41));
    for fault in [Fault::Resetting, Fault::Silent, Fault::Slow(Duration::from_millis(50)), Fault::Resetting] {
        bad.load.switch.set(fault);
        let then = good.load.counts().served;
        wait_until("the others are served", || good.load.counts().served > then + 60);
    }
    bad.load.switch.set(Fault::None);
    let then = bad.load.counts().served;
    wait_until("they are served as well", || bad.load.counts().served > then + 30);
    let (bad, good) = (fleet.finish(bad), fleet.finish(good));
    assert!(bad.left > 60, "{bad:?}");
    assert_eq!((bad.lost, good.lost, good.left), (0, 0, 0), "{bad:?} {good:?}");
    wait_until("nothing is left open", || (0..2).all(|place| fleet.state(place).statistics.requests == 0));
    fleet.assert_no_breach();
}
