//! The built gateway and signals: the drain and new configurations, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::json;

#[test]
fn sigterm_lets_what_was_taken_finish_and_closes_idle_connections() {
    let mut rig = Rig::with_config(1, |_| {});
    let (mut client, mut idle) = (rig.gateway.client(), rig.gateway.client());
    assert_eq!(idle.ask(&["PING"]), "+PONG");
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    rig.gateway.terminate();
    assert_eq!(idle.read(), "(end)");
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert_eq!(client.read(), "(end)");
    assert!(rig.gateway.wait_for_exit().success());
}

#[test]
fn connections_in_use_are_served_on_for_a_while_after_sigterm() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    rig.serve_one(&mut client, 1);
    let start = Instant::now();
    rig.gateway.terminate();
    for id in 2.. {
        if client.ask_or_end(&["PING"]) == "(end)" {
            break;
        }
        client.send(&words(&call(id, "safe", "free", 1, 8000)));
        let Some(mut arrived) = rig.backends[0].within(Duration::from_secs(1)) else { break };
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
        sleep(Duration::from_millis(20));
    }
    assert!(start.elapsed() > Duration::from_secs(1));
    assert!(rig.gateway.wait_for_exit().success());
}

/// Guards against a command that crosses the end of a connection.
#[test]
fn after_sigterm_a_quiet_connection_closes_behind_its_next_answer() {
    let mut rig = Rig::with_config(1, |_| {});
    let (mut busy, mut quiet) = (rig.gateway.client(), rig.gateway.client());
    assert_eq!(quiet.ask(&["PING"]), "+PONG");
    rig.gateway.terminate();
    // One that is always asking is closed behind an answer as soon as connections close.
    while busy.ask_or_end(&["PING"]) != "(end)" {}
    assert_eq!(quiet.ask(&["PING"]), "+PONG", "closed as it was quiet");
    assert_eq!(quiet.read(), "(end)");
    assert!(rig.gateway.wait_for_exit().success());
}

#[test]
fn what_does_not_finish_after_sigterm_fails_before_the_kill() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let _silent = rig.next_request();
    rig.gateway.terminate();
    assert!(client.read().starts_with("-ERR"));
    assert!(rig.gateway.wait_for_exit().success());
}

/// Whole lists that begin watches.
fn tells(agent: &Agent, backend: &StandIn) {
    agent.tell(&list(7, true, &[serving(0, backend)]));
}

#[test]
fn sighup_goes_over_to_the_discovery_and_the_counter_that_the_file_names_by_then() {
    let mut rig = Rig::with_config(1, roomy);
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "paid", 60, 8000)));
    // The old counter owes an answer, and never gives it.
    let owed = rig.counter.next();
    for _ in 0..2 {
        let (agent, counter, fresh) = (Agent::start(), StandIn::counter(), StandIn::backend());
        let mut config = rig.config.clone();
        config["discovery"] = json!(agent.address.to_string());
        config["counter"] = json!(counter.address.to_string());
        rig.gateway.reload(&config.to_string());
        tells(&agent, &fresh);
        (rig.agent, rig.counter) = (agent, counter);
        rig.backends.push(fresh);
    }
    // Settled without a total; the store decides.
    let (_, mut arrived) = rig.next_request();
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    owed.closed();
    // The last list named the last backend alone, and the last counter is asked.
    for id in 2..14 {
        client.send(&words(&call(id, "safe", "paid", 60, 8000)));
        let (place, mut arrived) = next_of(&[&rig.counter, &rig.backends[2]]);
        if place == 0 {
            assert_eq!(arrived.words[0], "bump");
            return;
        }
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
    }
    panic!("the new counter was not asked");
}

#[test]
fn sighup_with_a_file_that_cannot_be_used_keeps_the_old_configuration() {
    let mut rig = Rig::with_config(1, |_| {});
    rig.gateway.reload("{");
    let line = rig.gateway.next_log_line();
    assert!(line.contains("not JSON"), "{line}");
    rig.serve_one(&mut rig.gateway.client(), 1);
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
}

#[test]
fn sighup_during_the_drain_does_not_end_it() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    rig.gateway.terminate();
    rig.gateway.reload("{");
    assert!(rig.gateway.next_log_line().contains("not JSON"));
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert!(rig.gateway.wait_for_exit().success());
}
