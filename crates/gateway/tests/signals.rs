//! SIGTERM (drain) and SIGHUP (configuration reload) at the built gateway, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::json;

#[test]
fn sigterm_finishes_open_requests_and_closes_idle_connections() {
    let mut rig = Rig::with_config(1, |_| {});
    let (mut client, mut idle) = (rig.gateway.client(), rig.gateway.client());
    assert_eq!(idle.request(&["PING"]), "+PONG");
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    rig.gateway.terminate();
    assert_eq!(idle.read(), "(end)");
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert_eq!(client.read(), "(end)");
    assert!(rig.gateway.wait_for_exit().success());
}

#[test]
fn active_connections_are_served_for_a_while_after_sigterm() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    rig.serve_one(&mut client, 1);
    let start = Instant::now();
    rig.gateway.terminate();
    for id in 2.. {
        if client.request_or_end(&["PING"]) == "(end)" {
            break;
        }
        client.send(&as_strs(&request_args(id, "safe", "free", 1, 8000)));
        let Some(mut arrived) = rig.backends[0].next_within(Duration::from_secs(1)) else { break };
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
        sleep(Duration::from_millis(20));
    }
    assert!(start.elapsed() > Duration::from_secs(1));
    assert!(rig.gateway.wait_for_exit().success());
}

/// Guards against closing an idle connection while the client is sending a command on it.
#[test]
fn idle_connection_closes_after_next_response_once_sigterm_arrived() {
    let mut rig = Rig::with_config(1, |_| {});
    let (mut busy, mut idle) = (rig.gateway.client(), rig.gateway.client());
    assert_eq!(idle.request(&["PING"]), "+PONG");
    rig.gateway.terminate();
    // A connection in constant use is closed after a response as soon as the gateway closes connections.
    while busy.request_or_end(&["PING"]) != "(end)" {}
    assert_eq!(idle.request(&["PING"]), "+PONG", "closed while idle");
    assert_eq!(idle.read(), "(end)");
    assert!(rig.gateway.wait_for_exit().success());
}

#[test]
fn unfinished_request_fails_before_end_of_sigterm_grace_period() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let _silent = rig.next_request();
    rig.gateway.terminate();
    assert!(client.read().starts_with("-ERR"));
    assert!(rig.gateway.wait_for_exit().success());
}

/// Time from SIGTERM to the earliest SIGKILL: the longest deadline, 3 s at most, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// Starts an answer with a value of `length` bytes, and sends `sent` of them.
fn start_value(arrived: &mut IncomingMessage, length: usize, sent: usize) {
    arrived.reply(&format!("*3\r\n${length}\r\n{}", "x".repeat(sent)));
}

/// Guards against a streamed value that is cut off when the unanswered requests fail, although the backend
/// completes it before SIGKILL.
#[test]
fn streamed_value_goes_on_until_shortly_before_sigkill() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    let (pieces, piece) = (23, 10_000);
    start_value(&mut arrived, pieces * piece, 0);
    let begun = Instant::now();
    rig.gateway.terminate();
    for _ in 0..pieces {
        sleep(Duration::from_millis(150));
        arrived.reply(&"x".repeat(piece));
    }
    arrived.reply("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
    assert!(begun.elapsed() < Duration::from_millis(3_600), "the machine stalled: {:?}", begun.elapsed());
    assert_eq!(client.read().len(), pieces * piece);
    assert!(rig.gateway.wait_for_exit().success());
    assert!(begun.elapsed() < KILL_AFTER, "{:?}", begun.elapsed());
}

/// Guards against a shutdown that SIGKILL has to end, because a value takes longer than the process may run.
#[test]
fn endless_value_does_not_delay_exit_until_sigkill() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    start_value(&mut arrived, 1 << 20, 1_000);
    let begun = Instant::now();
    rig.gateway.terminate();
    assert_eq!(client.read(), "(end)");
    assert!(rig.gateway.wait_for_exit().success());
    assert!(begun.elapsed() < KILL_AFTER, "{:?}", begun.elapsed());
}

/// Guards against a request that gets no answer because a value ahead of it is held back when the process
/// exits.
#[test]
fn request_behind_held_value_is_answered_before_exit() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let safe = command(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let behind = command(&as_strs(&request_args(2, "unsafe", "free", 1, 8000)));
    client.write(&[safe, behind].concat());
    let (_, mut long) = rig.next_request();
    let begun = Instant::now();
    rig.gateway.terminate();
    sleep(Duration::from_millis(3_000));
    start_value(&mut long, 1 << 20, 500_000);
    assert_eq!(client.read(), "-ERR failed");
    // It was not forwarded, and can't be any more.
    assert_eq!(client.read(), "-BUSY");
    assert!(rig.gateway.wait_for_exit().success());
    assert!(begun.elapsed() < KILL_AFTER, "{:?}", begun.elapsed());
    assert!(rig.backends_idle());
}

fn send_snapshot(agent: &DiscoveryStandIn, backend: &StandIn) {
    agent.deliver(&list(7, true, &[serving(0, backend)]));
}

#[test]
fn sighup_switches_to_new_discovery_and_counter_addresses() {
    let mut rig = Rig::with_config(1, set_large_burst);
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "paid", 60, 8000)));
    // The old counter never answers this call.
    let unanswered = rig.counter.next();
    for _ in 0..2 {
        let (agent, counter, fresh) = (DiscoveryStandIn::start(), StandIn::counter(), StandIn::backend());
        let mut config = rig.config.clone();
        config["discovery"] = json!(agent.address.to_string());
        config["counter"] = json!(counter.address.to_string());
        rig.gateway.reload(&config.to_string());
        send_snapshot(&agent, &fresh);
        (rig.agent, rig.counter) = (agent, counter);
        rig.backends.push(fresh);
    }
    // Decided without a total, on the token bucket alone.
    let (_, mut arrived) = rig.next_request();
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    unanswered.wait_until_closed();
    // The last list has only the last backend, and counter calls go to the last counter.
    for id in 2..14 {
        client.send(&as_strs(&request_args(id, "safe", "paid", 60, 8000)));
        let (index, mut arrived) = next_from_any(&[&rig.counter, &rig.backends[2]]);
        if index == 0 {
            assert_eq!(arrived.words[0], "bump");
            return;
        }
        arrived.serve("fine");
        assert_eq!(client.read(), "fine");
    }
    panic!("the new counter got no call");
}

#[test]
fn sighup_with_invalid_file_keeps_old_configuration() {
    let mut rig = Rig::with_config(1, |_| {});
    rig.gateway.reload("{");
    let line = rig.gateway.next_log_line();
    assert!(line.contains("not JSON"), "{line}");
    rig.serve_one(&mut rig.gateway.client(), 1);
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
}

#[test]
fn sighup_during_drain_does_not_end_drain() {
    let mut rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    rig.gateway.terminate();
    rig.gateway.reload("{");
    assert!(rig.gateway.next_log_line().contains("not JSON"));
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert!(rig.gateway.wait_for_exit().success());
}
