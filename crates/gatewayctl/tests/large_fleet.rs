//! Ten gateways on loopback sockets: killed and started again together, with backends that are replaced, at
//! their cap of connections, or on lists that are wrong.

mod support;

use std::time::Duration;

use support::{wait_until, Fleet};
use testbed::backend::{Backend, Spec};
use testbed::discovery::endpoint_json;
use testbed::journal::Event;
use testbed::platform::WARM_UP_MS;
use testbed::switch::Fault;

const GATEWAYS: usize = 10;

#[test]
fn restart_of_ten_serves_known_list_while_discovery_rejects() {
    let mut fleet = Fleet::start(GATEWAYS, 6);
    fleet.wait_until_healthy();
    fleet.discovery.switch.set(Fault::Busy);
    // Each is ready without an answer of discovery's.
    for place in 0..GATEWAYS {
        fleet.restart(place);
    }
    let loading = fleet.load(GATEWAYS, 300.0);
    wait_until("served by the known list", || loading.load.counts().served > 300);
    let before = fleet.discovery.rejected_calls().0;
    wait_until("each is turned away again and again", || {
        fleet.discovery.rejected_calls().0 > before + 2 * GATEWAYS as u64
    });
    // Not the whole list, as what changed is enough.
    let (all, whole) = fleet.discovery.rejected_calls();
    assert_eq!(whole, 0, "of {all} calls");
    // News that came meanwhile is heard by all, soon after discovery answers.
    let fresh = fleet.runtime.block_on(Backend::start(Spec::plain(6), fleet.journal.clone()));
    let fresh = fresh.expect("it starts");
    fleet.discovery.list(&fresh, "SERVING");
    fleet.discovery.switch.set(Fault::None);
    wait_until("all hear of the new backend", || {
        (0..GATEWAYS).all(|place| fleet.lists(place).contains(&fresh.spec.name))
    });
    let tally = fleet.finish(loading);
    println!("{tally:?}");
    assert_eq!(tally.lost, 0, "{tally:?}");
    assert!(tally.served * 10 > tally.asked * 9, "{tally:?}");
    fleet.assert_no_breach();
}

/// A start must not wait for a discovery that accepts calls and never answers.
#[test]
fn restart_of_ten_serves_known_list_while_discovery_hangs() {
    let mut fleet = Fleet::start(GATEWAYS, 6);
    fleet.wait_until_healthy();
    fleet.discovery.switch.set(Fault::Silent);
    for place in 0..GATEWAYS {
        fleet.restart(place);
    }
    let loading = fleet.load(GATEWAYS, 300.0);
    wait_until("served by the known list", || loading.load.counts().served > 300);
    let fresh = fleet.runtime.block_on(Backend::start(Spec::plain(6), fleet.journal.clone()));
    let fresh = fresh.expect("it starts");
    fleet.discovery.list(&fresh, "SERVING");
    fleet.discovery.switch.set(Fault::None);
    wait_until("all hear of the new backend", || {
        (0..GATEWAYS).all(|place| fleet.lists(place).contains(&fresh.spec.name))
    });
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.failed), (0, 0), "{tally:?}");
    fleet.assert_no_breach();
}

/// Starts one that is cold, under a name.
fn cold(fleet: &Fleet, name: &str, number: usize) -> Backend {
    let cold = Some((5.0, Duration::from_millis(WARM_UP_MS as u64)));
    let spec = Spec { name: name.to_string(), cold, ..Spec::plain(number) };
    fleet.runtime.block_on(Backend::start(spec, fleet.journal.clone())).expect("it starts")
}

#[test]
fn replaced_backends_take_over_all_work() {
    let mut fleet = Fleet::start(GATEWAYS, 6);
    fleet.wait_until_healthy();
    let loading = fleet.load(GATEWAYS, 300.0);
    wait_until("it runs", || loading.load.counts().served > 300);
    // Half of them come under new names, half under their own with a new start; all at new addresses.
    let old = std::mem::take(&mut fleet.backends);
    for (number, before) in old.iter().enumerate() {
        let name = if number % 2 == 0 { format!("new-{number}") } else { before.spec.name.clone() };
        let new = cold(&fleet, &name, number);
        fleet.discovery.list(&new, "SERVING");
        if number % 2 == 0 {
            fleet.journal.note(Event::BackendDrained { backend: before.spec.name.clone(), gateway: None });
            fleet.discovery.delete(before);
        }
        fleet.backends.push(new);
    }
    let names: Vec<String> = fleet.backends.iter().map(|b| b.spec.name.clone()).collect();
    wait_until("all hear of them", || {
        (0..GATEWAYS).all(|place| {
            let list = fleet.lists(place);
            list.len() == names.len() && names.iter().all(|name| list.contains(name))
        })
    });
    // What is out at the old ones ends there.
    wait_until("nothing new goes to the old ones", || {
        let before: u64 = old.iter().map(Backend::arrived).sum();
        std::thread::sleep(Duration::from_millis(300));
        before == old.iter().map(Backend::arrived).sum::<u64>()
    });
    drop(old);
    let served = loading.load.counts().served;
    wait_until("served by the new ones", || loading.load.counts().served > served + 600);
    assert!(fleet.backends.iter().all(|b| b.served() > 0));
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.failed), (0, 0), "{tally:?}");
    fleet.assert_no_breach();
}

/// A backend that has no more connections is neither dead nor overloaded.
#[test]
fn connection_cap_of_backends_fails_no_request() {
    let mut fleet = Fleet::start(GATEWAYS, 0);
    for number in 0..6 {
        let spec = Spec { connections: 4, ..Spec::plain(number) };
        let backend = fleet.runtime.block_on(Backend::start(spec, fleet.journal.clone()));
        fleet.backends.push(backend.expect("it starts"));
        fleet.discovery.list(&fleet.backends[number], "SERVING");
    }
    wait_until("all hear of them", || (0..GATEWAYS).all(|place| fleet.lists(place).len() == 6));
    let loading = fleet.load(GATEWAYS, 300.0);
    wait_until("some had no more", || fleet.backends.iter().any(|b| b.refused_connections() > 0));
    let served = loading.load.counts().served;
    wait_until("served on", || loading.load.counts().served > served + 1_500);
    let tally = fleet.finish(loading);
    println!(
        "{tally:?}, beyond {:?}",
        fleet.backends.iter().map(Backend::refused_connections).collect::<Vec<_>>()
    );
    assert_eq!((tally.lost, tally.failed), (0, 0), "{tally:?}");
    assert!(tally.served * 10 > tally.asked * 9, "{tally:?}");
    fleet.assert_no_breach();
}

/// The list in a gateway's own settings may be out of date as a whole, and lines of discovery unreadable.
#[test]
fn stale_known_list_and_invalid_lines_stop_nobody() {
    let mut fleet = Fleet::start(2, 3);
    fleet.wait_until_healthy();
    let old = std::mem::take(&mut fleet.backends);
    for b in &old {
        fleet.discovery.delete(b);
    }
    drop(old);
    for number in 3..6 {
        let backend = fleet.runtime.block_on(Backend::start(Spec::plain(number), fleet.journal.clone()));
        fleet.backends.push(backend.expect("it starts"));
        fleet.discovery.list(&fleet.backends[number - 3], "SERVING");
    }
    // Their own settings still have the three that are gone.
    (0..2).for_each(|place| fleet.restart(place));
    let names = ["till-3", "till-4", "till-5"].map(str::to_string);
    wait_until("both have the new list", || (0..2).all(|place| fleet.lists(place) == names));
    let mut wrong = endpoint_json(&fleet.backends[0], "SERVING");
    wrong["address"] = "nowhere".into();
    fleet.discovery.publish("till-3", wrong);
    let mut ahead = endpoint_json(&fleet.backends[1], "SERVING");
    ahead["since_ms"] = 4e15.into();
    fleet.discovery.publish("till-4", ahead);
    let mut other = endpoint_json(&fleet.backends[2], "SERVING");
    (other["name"], other["address"]) = ("till-9".into(), "[::1]:9".into());
    fleet.discovery.publish("till-9", other);
    wait_until("the wrong line is named", || {
        (0..2).all(|place| {
            fleet.gateways[place].process.log_text().contains("\"till-3\": invalid socket address")
        })
    });
    let names = ["till-3", "till-4", "till-5", "till-9"].map(str::to_string);
    wait_until("the others are in force", || (0..2).all(|place| fleet.lists(place) == names));
    let loading = fleet.load(2, 200.0);
    wait_until("the last that was known of each holds", || fleet.backends.iter().all(|b| b.served() > 0));
    let tally = fleet.finish(loading);
    assert_eq!((tally.lost, tally.failed), (0, 0), "{tally:?}");
    fleet.assert_no_breach();
}
