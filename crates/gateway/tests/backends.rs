//! The built gateway and what backends' connections and answers may bring, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::Duration;

use gateway_rig::*;
use serde_json::{json, Value};

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 8000)));
    rig.next_request().1.say("-ERR failed used=0,cost=2\r\n");
    assert!(client.read().starts_with("-ERR"));
    client.send(&words(&call(2, "unsafe", "free", 1, 8000)));
    // Read whole, then the connection ends.
    rig.next_request().1.close();
    assert!(client.read().starts_with("-ERR"));
    assert!(rig.backends_idle(), "it went out a second time");
}

#[test]
fn what_a_backend_turned_away_unseen_goes_to_another() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 8000)));
    let (first, mut arrived) = rig.next_request();
    arrived.say("-BUSY\r\n");
    let (second, mut arrived) = rig.next_request();
    assert_ne!(first, second);
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
}

#[test]
fn a_refused_connection_never_ran_and_the_request_goes_to_another_backend() {
    let (_held, gone) = refusing();
    let rig = Rig::with_config(1, |config| {
        let known = config["known"]["endpoints"].as_array_mut().expect("JSON array");
        known.push(endpoint("s-9", gone, 1, "SERVING", 0.0));
    });
    let mut client = rig.gateway.client();
    for id in 1..=6 {
        client.send(&words(&call(id, "unsafe", "free", 1, 8000)));
        rig.next_request().1.serve("fine");
        assert_eq!(client.read(), "fine");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_is_sent_again_within_its_cell_only() {
    let rig = Rig::with_config(3, |config| config["known"]["endpoints"][2]["group"] = json!(2));
    let mut client = rig.gateway.client();
    for id in 1..=8 {
        client.send(&words(&call(id, "keyed", "free", 1, 8000)));
        let (first, arrived) = rig.next_request();
        arrived.close();
        if first == 2 {
            // No other backend remembers it.
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
fn a_silent_backend_costs_a_request_its_time_and_no_more() {
    let rig = Rig::with_two_backends();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 1500)));
    let (_, arrived) = rig.next_request();
    assert!(client.read().starts_with("-ERR"), "no promise for what may run yet");
    // Giving up closes the connection.
    arrived.closed();
    assert!(rig.backends_idle());
}

#[test]
fn connections_are_used_again_and_not_after_their_backend_closed_them() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let (_, first) = rig.serve_one(&mut client, 1);
    // It rests for a moment behind an answer.
    sleep(Duration::from_millis(30));
    let (_, second) = rig.serve_one(&mut client, 2);
    assert_eq!((first.connection, second.connection), (0, 0));
    second.close();
    sleep(Duration::from_millis(30));
    // Unsafe: a write to the closed connection would be a reset that may have run.
    client.send(&words(&call(3, "unsafe", "free", 1, 8000)));
    let (_, mut third) = rig.next_request();
    assert_eq!(third.connection, 1);
    third.serve("fine");
    assert_eq!(client.read(), "fine");
}

#[test]
fn a_restarted_backend_gets_new_connections() {
    let rig = Rig::with_config(1, |_| {});
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    assert_eq!(rig.serve_one(&mut client, 1).1.connection, 0);
    rig.agent.tell(&list(42, false, &[endpoint("s-0", rig.backends[0].address, 1, "SERVING", 1000.0)]));
    assert_eq!(rig.serve_one(&mut client, 2).1.connection, 1);
}

/// Far more time than a test waits, so that no deadline ends an attempt.
fn patient(config: &mut Value) {
    for class in config["settings"]["profiles"].as_array_mut().expect("JSON array") {
        class["deadline-ms"] = json!(600_000.0);
    }
}

#[test]
fn odd_answers_of_a_backend_are_that_attempts_failure_at_once() {
    let rig = Rig::with_config(1, patient);
    let mut client = rig.gateway.client();
    let odd = ["*1\r\n$-1\r\n", "*2\r\n:1\r\n$-1\r\n", "nonsense\r\n", "$-1\r\n", "*99999\r\n"];
    // What only probes get, noise without an end of line, and answers that never end.
    let more = ["+PONG\r\n", "$4\r\nfine\r\n", "noise", "*3\r\n$9\r\nfine", "-ERR", "-NOISE\r\n"];
    for (id, odd) in (1..).zip(odd.into_iter().chain(more)) {
        client.send(&words(&call(id, "unsafe", "free", 1, 600_000)));
        let (_, mut arrived) = rig.next_request();
        arrived.say(odd);
        assert!(client.read().starts_with("-ERR"), "{odd:?}");
        arrived.closed();
    }
}

#[test]
fn a_good_value_is_served_whatever_stands_beside_it() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    for (id, beside) in (1..).zip([":7\r\n$-1\r\n", "$3\r\n=,=\r\n+odd\r\n", "$8\r\ncost=NaN\r\n$-1\r\n"]) {
        client.send(&words(&call(id, "unsafe", "free", 1, 8000)));
        rig.next_request().1.say(&format!("*3\r\n$4\r\nfine\r\n{beside}"));
        assert_eq!(client.read(), "fine", "{beside:?}");
    }
}

#[test]
fn a_second_copy_of_an_answer_is_not_the_next_requests() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, mut first) = rig.next_request();
    let copy = "*3\r\n$4\r\nfine\r\n$-1\r\n$-1\r\n";
    first.say(&copy.repeat(2));
    assert_eq!(client.read(), "fine");
    first.closed();
    let (_, second) = rig.serve_one(&mut client, 2);
    assert_eq!(second.connection, 1);
}

#[test]
fn a_backend_whose_address_another_one_has_now_gets_nothing() {
    let rig = Rig::with_two_backends();
    rig.send_snapshot(&[serving(0, &rig.backends[0]), serving(1, &rig.backends[1])]);
    // The list has not noticed yet that the first is gone; what came in its place drains already.
    let new = endpoint("s-new", rig.backends[0].address, 1, "DRAINING", 1000.0);
    rig.agent.tell(&list(42, false, &[new]));
    let mut client = rig.gateway.client();
    for id in 0..10 {
        assert_eq!(rig.serve_one(&mut client, id).0, 1);
    }
}
