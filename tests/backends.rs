//! The built gateway and what backends' connections and answers may bring, on loopback sockets.

#[path = "support/net.rs"]
mod net;

use net::*;
use serde_json::json;

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    let rig = Rig::new();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 8000)));
    rig.next().1.say("-ERR failed used=0,cost=2\r\n");
    assert!(client.read().starts_with("-ERR"));
    client.send(&words(&call(2, "unsafe", "free", 1, 8000)));
    // Read whole, then the connection ends.
    rig.next().1.close();
    assert!(client.read().starts_with("-ERR"));
    assert!(rig.idle(), "it went out a second time");
}

#[test]
fn what_a_backend_turned_away_unseen_goes_to_another() {
    let rig = Rig::new();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 8000)));
    let (first, mut arrived) = rig.next();
    arrived.say("-BUSY\r\n");
    let (second, mut arrived) = rig.next();
    assert_ne!(first, second);
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
}

#[test]
fn a_refused_connection_never_ran_and_the_request_goes_to_another_backend() {
    let (_held, gone) = refusing();
    let rig = Rig::with(1, |config| {
        let known = config["known"]["endpoints"].as_array_mut().expect("a list");
        known.push(endpoint("s-9", gone, 1, "SERVING", 0.0));
    });
    let mut client = rig.gateway.client();
    for id in 1..=6 {
        client.send(&words(&call(id, "unsafe", "free", 1, 8000)));
        rig.next().1.serve("fine");
        assert_eq!(client.read(), "fine");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_is_sent_again_within_its_cell_only() {
    let rig = Rig::with(3, |config| config["known"]["endpoints"][2]["group"] = json!(2));
    let mut client = rig.gateway.client();
    for id in 1..=8 {
        client.send(&words(&call(id, "keyed", "free", 1, 8000)));
        let (first, arrived) = rig.next();
        arrived.close();
        if first == 2 {
            // No other backend remembers it.
            assert!(client.read().starts_with("-ERR"));
        } else {
            let (second, mut arrived) = rig.next();
            assert_ne!(second, 2, "sent to a backend that does not know the key");
            arrived.serve("fine");
            assert_eq!(client.read(), "fine");
        }
    }
}

#[test]
fn a_silent_backend_costs_a_request_its_time_and_no_more() {
    let rig = Rig::new();
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "unsafe", "free", 1, 1500)));
    let (_, arrived) = rig.next();
    assert!(client.read().starts_with("-ERR"), "no promise for what may run yet");
    // Giving up closes the connection.
    arrived.closed();
    assert!(rig.idle());
}

#[test]
fn connections_are_used_again_and_not_after_their_backend_closed_them() {
    let rig = Rig::with(1, |_| {});
    let mut client = rig.gateway.client();
    let (_, first) = rig.serve_one(&mut client, 1);
    let (_, second) = rig.serve_one(&mut client, 2);
    assert_eq!((first.connection, second.connection), (0, 0));
    second.close();
    // Unsafe: a write to the closed connection would be a reset that may have run.
    client.send(&words(&call(3, "unsafe", "free", 1, 8000)));
    let (_, mut third) = rig.next();
    assert_eq!(third.connection, 1);
    third.serve("fine");
    assert_eq!(client.read(), "fine");
}

#[test]
fn a_restarted_backend_gets_new_connections() {
    let rig = Rig::with(1, |_| {});
    rig.told(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    assert_eq!(rig.serve_one(&mut client, 1).1.connection, 0);
    rig.agent.tell(&list(42, false, &[endpoint("s-0", rig.backends[0].address, 1, "SERVING", 1000.0)]));
    assert_eq!(rig.serve_one(&mut client, 2).1.connection, 1);
}

#[test]
fn odd_answers_of_a_backend_are_that_attempts_failure() {
    let rig = Rig::with(1, |_| {});
    let mut client = rig.gateway.client();
    for (id, odd) in
        (1..).zip(["*1\r\n$-1\r\n", "*2\r\n:1\r\n$-1\r\n", "nonsense\r\n", "$-1\r\n", "*99999\r\n"])
    {
        client.send(&words(&call(id, "unsafe", "free", 1, 8000)));
        let (_, mut arrived) = rig.next();
        arrived.say(odd);
        assert!(client.read().starts_with("-ERR"), "{odd:?}");
        arrived.closed();
    }
}
