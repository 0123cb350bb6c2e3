//! Ten gateways on loopback sockets: restarts, replaced backends, backends with a connection limit, and
//! invalid or stale lists.

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
    // Each gateway becomes ready without an answer from the list service.
    for index in 0..GATEWAYS {
        fleet.restart(index);
    }
    let running_load = fleet.start_load(GATEWAYS, 300.0);
    wait_until("requests are served from the known list", || running_load.load.counts().served > 300);
    let before = fleet.discovery.rejected_calls().0;
    wait_until("the list service rejects two calls per gateway", || {
        fleet.discovery.rejected_calls().0 > before + 2 * GATEWAYS as u64
    });
    // No gateway requests the full list, because it needs only the changes to its known list.
    let (all, full) = fleet.discovery.rejected_calls();
    assert_eq!(full, 0, "of {all} calls");
    // All gateways receive a change made in the meantime soon after the list service recovers.
    let new_backend = fleet.runtime.block_on(Backend::start(Spec::plain(6), fleet.journal.clone()));
    let new_backend = new_backend.expect("the start succeeds");
    fleet.discovery.list(&new_backend, "SERVING");
    fleet.discovery.switch.set(Fault::None);
    wait_until("all gateways list the new backend", || {
        (0..GATEWAYS).all(|index| fleet.listed_backends(index).contains(&new_backend.spec.name))
    });
    let counts = fleet.finish_load(running_load);
    println!("{counts:?}");
    assert_eq!(counts.lost, 0, "{counts:?}");
    assert!(counts.served * 10 > counts.sent * 9, "{counts:?}");
    fleet.assert_no_violation();
}

/// A gateway must not wait at its start for a list service that accepts calls and never answers.
#[test]
fn restart_of_ten_serves_known_list_while_discovery_hangs() {
    let mut fleet = Fleet::start(GATEWAYS, 6);
    fleet.wait_until_healthy();
    fleet.discovery.switch.set(Fault::Silent);
    for index in 0..GATEWAYS {
        fleet.restart(index);
    }
    let running_load = fleet.start_load(GATEWAYS, 300.0);
    wait_until("requests are served from the known list", || running_load.load.counts().served > 300);
    let new_backend = fleet.runtime.block_on(Backend::start(Spec::plain(6), fleet.journal.clone()));
    let new_backend = new_backend.expect("the start succeeds");
    fleet.discovery.list(&new_backend, "SERVING");
    fleet.discovery.switch.set(Fault::None);
    wait_until("all gateways list the new backend", || {
        (0..GATEWAYS).all(|index| fleet.listed_backends(index).contains(&new_backend.spec.name))
    });
    let counts = fleet.finish_load(running_load);
    assert_eq!((counts.lost, counts.failed), (0, 0), "{counts:?}");
    fleet.assert_no_violation();
}

/// Starts a backend with this name that needs to warm up.
fn start_cold_backend(fleet: &Fleet, name: &str, number: usize) -> Backend {
    let cold = Some((5.0, Duration::from_millis(WARM_UP_MS as u64)));
    let spec = Spec { name: name.to_string(), cold, ..Spec::plain(number) };
    fleet.runtime.block_on(Backend::start(spec, fleet.journal.clone())).expect("the start succeeds")
}

#[test]
fn replacement_backends_take_over_all_requests() {
    let mut fleet = Fleet::start(GATEWAYS, 6);
    fleet.wait_until_healthy();
    let running_load = fleet.start_load(GATEWAYS, 300.0);
    wait_until("requests are served", || running_load.load.counts().served > 300);
    // Half of the replacements have new names, half keep the name with a new start time. All have new
    // addresses.
    let old = std::mem::take(&mut fleet.backends);
    for (number, before) in old.iter().enumerate() {
        let name = if number % 2 == 0 { format!("new-{number}") } else { before.spec.name.clone() };
        let new = start_cold_backend(&fleet, &name, number);
        fleet.discovery.list(&new, "SERVING");
        if number % 2 == 0 {
            fleet.journal.note(Event::BackendDrained { backend: before.spec.name.clone(), gateway: None });
            fleet.discovery.delete(before);
        }
        fleet.backends.push(new);
    }
    let names: Vec<String> = fleet.backends.iter().map(|b| b.spec.name.clone()).collect();
    wait_until("all gateways list the replacements", || {
        (0..GATEWAYS).all(|index| {
            let list = fleet.listed_backends(index);
            list.len() == names.len() && names.iter().all(|name| list.contains(name))
        })
    });
    // Requests in flight finish at the old backends.
    wait_until("no new request arrives at the old backends", || {
        let before: u64 = old.iter().map(Backend::arrived).sum();
        std::thread::sleep(Duration::from_millis(300));
        before == old.iter().map(Backend::arrived).sum::<u64>()
    });
    drop(old);
    let served = running_load.load.counts().served;
    wait_until("requests are served by the replacements", || {
        running_load.load.counts().served > served + 600
    });
    assert!(fleet.backends.iter().all(|b| b.served() > 0));
    let counts = fleet.finish_load(running_load);
    assert_eq!((counts.lost, counts.failed), (0, 0), "{counts:?}");
    fleet.assert_no_violation();
}

/// A backend that accepts no further connections must be treated as neither failed nor overloaded.
#[test]
fn connection_limit_of_backends_fails_no_request() {
    let mut fleet = Fleet::start(GATEWAYS, 0);
    for number in 0..6 {
        let spec = Spec { connections: 4, ..Spec::plain(number) };
        let backend = fleet.runtime.block_on(Backend::start(spec, fleet.journal.clone()));
        fleet.backends.push(backend.expect("the start succeeds"));
        fleet.discovery.list(&fleet.backends[number], "SERVING");
    }
    wait_until("all gateways list the backends", || {
        (0..GATEWAYS).all(|index| fleet.listed_backends(index).len() == 6)
    });
    let running_load = fleet.start_load(GATEWAYS, 300.0);
    wait_until("a backend reaches its connection limit", || {
        fleet.backends.iter().any(|b| b.refused_connections() > 0)
    });
    let served = running_load.load.counts().served;
    wait_until("requests are still served", || running_load.load.counts().served > served + 1_500);
    let counts = fleet.finish_load(running_load);
    println!(
        "{counts:?}, connections over the limit {:?}",
        fleet.backends.iter().map(Backend::refused_connections).collect::<Vec<_>>()
    );
    assert_eq!((counts.lost, counts.failed), (0, 0), "{counts:?}");
    assert!(counts.served * 10 > counts.sent * 9, "{counts:?}");
    fleet.assert_no_violation();
}

/// The list in a gateway's configuration may be entirely out of date, and the list service may send invalid
/// entries.
#[test]
fn stale_known_list_and_invalid_entries_fail_no_request() {
    let mut fleet = Fleet::start(2, 3);
    fleet.wait_until_healthy();
    let old = std::mem::take(&mut fleet.backends);
    for b in &old {
        fleet.discovery.delete(b);
    }
    drop(old);
    for number in 3..6 {
        let backend = fleet.runtime.block_on(Backend::start(Spec::plain(number), fleet.journal.clone()));
        fleet.backends.push(backend.expect("the start succeeds"));
        fleet.discovery.list(&fleet.backends[number - 3], "SERVING");
    }
    // The gateways' configurations still list the three removed backends.
    (0..2).for_each(|index| fleet.restart(index));
    let names = ["till-3", "till-4", "till-5"].map(str::to_string);
    wait_until("both gateways have the new list", || {
        (0..2).all(|index| fleet.listed_backends(index) == names)
    });
    let mut invalid = endpoint_json(&fleet.backends[0], "SERVING");
    invalid["address"] = "nowhere".into();
    fleet.discovery.publish("till-3", invalid);
    let mut future = endpoint_json(&fleet.backends[1], "SERVING");
    future["since_ms"] = 4e15.into();
    fleet.discovery.publish("till-4", future);
    let mut renamed = endpoint_json(&fleet.backends[2], "SERVING");
    (renamed["name"], renamed["address"]) = ("till-9".into(), "[::1]:9".into());
    fleet.discovery.publish("till-9", renamed);
    wait_until("the invalid entry is logged", || {
        (0..2).all(|index| {
            fleet.gateways[index].process.log_text().contains("\"till-3\": invalid socket address")
        })
    });
    let names = ["till-3", "till-4", "till-5", "till-9"].map(str::to_string);
    wait_until("the valid entries are applied", || (0..2).all(|index| fleet.listed_backends(index) == names));
    let running_load = fleet.start_load(2, 200.0);
    wait_until("every backend serves by its last valid entry", || {
        fleet.backends.iter().all(|b| b.served() > 0)
    });
    let counts = fleet.finish_load(running_load);
    assert_eq!((counts.lost, counts.failed), (0, 0), "{counts:?}");
    fleet.assert_no_violation();
}
