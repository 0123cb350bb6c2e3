//! How the built gateway handles backend connections, failures and malformed responses, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::{json, Value};

#[test]
fn unsafe_request_that_may_have_run_is_not_retried() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "unsafe", "free", 1, 8000)));
    rig.next_request().1.reply("-ERR failed used=0,cost=2\r\n");
    assert!(client.read().starts_with("-ERR"));
    client.send(&as_strs(&request_args(2, "unsafe", "free", 1, 8000)));
    // The backend reads the whole request, then closes the connection.
    rig.next_request().1.close();
    assert!(client.read().starts_with("-ERR"));
    assert!(rig.backends_idle(), "the request was sent again");
}

#[test]
fn unsafe_request_rejected_by_backend_is_retried_elsewhere() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "unsafe", "free", 1, 8000)));
    let (first, mut arrived) = rig.next_request();
    arrived.reply("-BUSY\r\n");
    let (second, mut arrived) = rig.next_request();
    assert_ne!(first, second);
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
}

#[test]
fn unsafe_request_is_retried_after_refused_connection() {
    let (_held, refusing_address) = refusing_address();
    let rig = Rig::with_config(1, |config| {
        let known = config["known"]["endpoints"].as_array_mut().expect("JSON array");
        known.push(endpoint("s-9", refusing_address, 1, "SERVING", 0.0));
    });
    let mut client = rig.gateway.client();
    for id in 1..=6 {
        client.send(&as_strs(&request_args(id, "unsafe", "free", 1, 8000)));
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
    }
}

#[test]
fn keyed_request_is_retried_only_within_its_cell() {
    let rig = Rig::with_config(3, |config| config["known"]["endpoints"][2]["group"] = json!(2));
    let mut client = rig.gateway.client();
    for id in 1..=8 {
        client.send(&as_strs(&request_args(id, "keyed", "free", 1, 8000)));
        let (first, arrived) = rig.next_request();
        arrived.close();
        if first == 2 {
            // This backend is alone in its cell, so no other backend knows the key.
            assert!(client.read().starts_with("-ERR"));
        } else {
            let (second, mut arrived) = rig.next_request();
            assert_ne!(second, 2, "sent to a backend that does not know the key");
            arrived.serve("fine");
            assert_eq!(client.read(), "fine");
        }
    }
}

#[test]
fn unsafe_request_to_silent_backend_fails_at_deadline() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "unsafe", "free", 1, 1500)));
    let (_, arrived) = rig.next_request();
    assert!(client.read().starts_with("-ERR"), "a request that may still run must fail");
    // Abandoning the attempt closes the connection.
    arrived.wait_until_closed();
    assert!(rig.backends_idle());
}

#[test]
fn backend_connections_are_reused_until_backend_closes_them() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let (_, first) = rig.serve_one(&mut client, 1);
    // A connection is not reused for a moment after a response.
    sleep(Duration::from_millis(30));
    let (_, second) = rig.serve_one(&mut client, 2);
    assert_eq!((first.connection, second.connection), (0, 0));
    second.close();
    sleep(Duration::from_millis(30));
    // The request is unsafe: a reset after a write to the closed connection would leave open whether it ran.
    client.send(&as_strs(&request_args(3, "unsafe", "free", 1, 8000)));
    let (_, mut third) = rig.next_request();
    assert_eq!(third.connection, 1);
    third.serve("fine");
    assert_eq!(client.read(), "fine");
}

#[test]
fn restarted_backend_gets_new_connections() {
    let rig = Rig::with_config(1, |_| {});
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    assert_eq!(rig.serve_one(&mut client, 1).1.connection, 0);
    rig.agent.deliver(&list(42, false, &[endpoint("s-0", rig.backends[0].address, 1, "SERVING", 1000.0)]));
    assert_eq!(rig.serve_one(&mut client, 2).1.connection, 1);
}

/// Sets deadlines far longer than a test waits, so that none ends an attempt.
fn set_long_deadlines(config: &mut Value) {
    for class in config["settings"]["profiles"].as_array_mut().expect("JSON array") {
        class["deadline-ms"] = json!(600_000.0);
    }
}

#[test]
fn malformed_backend_response_fails_attempt_at_once() {
    let rig = Rig::with_config(1, set_long_deadlines);
    let mut client = rig.gateway.client();
    let malformed = ["*1\r\n$-1\r\n", "*2\r\n:1\r\n$-1\r\n", "nonsense\r\n", "$-1\r\n", "*99999\r\n"];
    // Responses that only probes get, and bytes without a line end.
    let more = ["+PONG\r\n", "$4\r\nfine\r\n", "noise", "-NOISE\r\n"];
    for (id, response) in (1..).zip(malformed.into_iter().chain(more)) {
        client.send(&as_strs(&request_args(id, "unsafe", "free", 1, 600_000)));
        let (_, mut arrived) = rig.next_request();
        let replied = Instant::now();
        arrived.reply(response);
        assert!(client.read().starts_with("-ERR"), "{response:?}");
        arrived.wait_until_closed();
        assert!(replied.elapsed() < Duration::from_secs(2), "{response:?}: {:?}", replied.elapsed());
    }
}

/// Guards against responses that are never completed and hold a request for as long as its client would wait.
#[test]
fn response_that_is_never_completed_fails_attempt_long_before_its_deadline() {
    let begin = |response: &'static str| {
        let rig = Rig::with_config(1, set_long_deadlines);
        let mut client = rig.gateway.client();
        client.send(&as_strs(&request_args(1, "unsafe", "free", 1, 600_000)));
        let (_, mut arrived) = rig.next_request();
        arrived.reply(response);
        (rig, client, arrived, response)
    };
    // All at once, as each takes as long as a backend may pause.
    let begun = Instant::now();
    for (_rig, mut client, arrived, response) in ["*3\r\n$9\r\nfine", "-ERR"].map(begin) {
        assert!(client.read().starts_with("-ERR"), "{response:?}");
        arrived.wait_until_closed();
    }
    assert!(begun.elapsed() < MESSAGE_TIMEOUT, "{:?}", begun.elapsed());
}

/// Guards against waiting for the end of a corrupt header, which may never come.
#[test]
fn corrupt_header_without_line_end_fails_attempt_at_once() {
    let rig = Rig::with_config(1, set_long_deadlines);
    let mut client = rig.gateway.client();
    for (id, response) in (1..).zip(["*3\r\n$12x45", "*x", "*3\r\n$99999999999", "*99999\r\n"]) {
        client.send(&as_strs(&request_args(id, "unsafe", "free", 1, 600_000)));
        let (_, mut arrived) = rig.next_request();
        let replied = Instant::now();
        arrived.reply(response);
        assert!(client.read().starts_with("-ERR"), "{response:?}");
        assert!(replied.elapsed() < Duration::from_secs(5), "{response:?}: {:?}", replied.elapsed());
    }
}

#[test]
fn valid_value_is_served_despite_malformed_metadata() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    for (id, metadata) in (1..).zip([":7\r\n$-1\r\n", "$3\r\n=,=\r\n+odd\r\n", "$8\r\ncost=NaN\r\n$-1\r\n"]) {
        client.send(&as_strs(&request_args(id, "unsafe", "free", 1, 8000)));
        rig.next_request().1.reply(&format!("*3\r\n$4\r\nfine\r\n{metadata}"));
        assert_eq!(client.read(), "fine", "{metadata:?}");
    }
}

#[test]
fn duplicate_response_is_not_used_for_next_request() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut first) = rig.next_request();
    let copy = "*3\r\n$4\r\nfine\r\n$-1\r\n$-1\r\n";
    first.reply(&copy.repeat(2));
    assert_eq!(client.read(), "fine");
    first.wait_until_closed();
    let (_, second) = rig.serve_one(&mut client, 2);
    assert_eq!(second.connection, 1);
}

#[test]
fn endpoint_whose_address_was_taken_over_gets_no_requests() {
    let rig = Rig::with_two_backends();
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    // The list still has the first endpoint, though another one, already draining, now has its address.
    let new = endpoint("s-new", rig.backends[0].address, 1, "DRAINING", 1000.0);
    rig.agent.deliver(&list(42, false, &[new]));
    let mut client = rig.gateway.client();
    for id in 0..10 {
        assert_eq!(rig.serve_one(&mut client, id).0, 1);
    }
}
