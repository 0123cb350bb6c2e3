//! The second address of the built gateway: calls and their answers, bans, a drain, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use gateway_rig::loopback_address::unused_loopback_address;
use gateway_rig::*;
use serde_json::json;

fn managed(backends: usize) -> (Rig, SocketAddr) {
    let at = unused_loopback_address();
    (Rig::with_config(backends, |config| config["management"] = json!(at.to_string())), at)
}

fn say(at: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).expect("connect to the gateway");
    stream.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
    stream.write_all(line).expect("write to the socket");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("read the response");
    assert!(answer.ends_with("\r\n") && answer.matches('\n').count() == 1, "one line: {answer:?}");
    answer
}

fn yes(at: SocketAddr, line: &str) -> String {
    let answer = say(at, format!("{line}\r\n").as_bytes());
    assert!(answer.starts_with("SUCCESS"), "{line}: {answer}");
    answer
}

fn no(at: SocketAddr, line: &str) -> String {
    let answer = say(at, format!("{line}\n").as_bytes());
    assert!(answer.starts_with("FAILURE"), "{line}: {answer}");
    answer
}

#[test]
fn calls_that_are_none_get_a_no_with_the_reason() {
    let (rig, at) = managed(1);
    assert!(yes(at, "READY").contains("ready"));
    for (line, why) in [
        ("REBOOT", "unknown call"),
        ("", "empty"),
        ("DISABLE", "missing"),
        ("READY now", "more words"),
        ("DISABLE nobody", "no backend has this id"),
        ("ENABLE nobody", "no backend has this id"),
        (&format!("DISABLE {}", "x".repeat(10_000)), "10000 bytes"),
        (&"x".repeat(40_000), "more than"),
    ] {
        let answer = no(at, line);
        assert!(answer.contains(why), "{answer}");
    }
    assert!(say(at, b"DISABLE \xff\xfe\n").contains("a line of text"));
    // Half a call that ends.
    let mut half = TcpStream::connect(at).expect("connect to the gateway");
    half.write_all(b"DRA").expect("write to the socket");
    half.shutdown(std::net::Shutdown::Write).expect("socket is open");
    let mut answer = String::new();
    half.read_to_string(&mut answer).expect("read the response");
    assert!(answer.starts_with("FAILURE"), "{answer}");
    assert_eq!(rig.gateway.client().ask(&["PING"]), "+PONG");
}

#[test]
fn callers_that_say_nothing_keep_nobody_out() {
    let (rig, at) = managed(1);
    let silent: Vec<TcpStream> = (0..100)
        .map(|i| {
            let mut stream = TcpStream::connect(at).expect("connect to the gateway");
            stream.write_all(if i % 2 == 0 { b"" } else { b"REA" }).expect("write to the socket");
            stream
        })
        .collect();
    for _ in 0..5 {
        yes(at, "READY");
    }
    drop(silent);
    assert_eq!(rig.gateway.client().ask(&["PING"]), "+PONG");
}

#[test]
fn a_banned_backend_gets_nothing_whatever_discovery_says_until_the_call_back() {
    let (rig, at) = managed(2);
    let both = |since: f64| {
        let line = |i: usize| endpoint(&format!("s-{i}"), rig.backends[i].address, 1, "SERVING", since);
        [line(0), line(1)]
    };
    rig.send_snapshot(&both(0.0));
    let mut client = rig.gateway.client();
    yes(at, "DISABLE s-0");
    assert!(yes(at, "DISABLE s-0").contains("already"));
    let none_to_it = |client: &mut Client, from: u64| {
        for id in from..from + 8 {
            assert_eq!(rig.serve_one(client, id).0, 1);
        }
    };
    none_to_it(&mut client, 1);
    // Another life of it, and the whole list anew.
    rig.agent.tell(&list(42, false, &both(1_000.0)[..1]));
    none_to_it(&mut client, 20);
    rig.agent.tell(&list(43, true, &both(2_000.0)));
    none_to_it(&mut client, 40);
    // It leaves the list and comes back: the ban stands.
    rig.agent.tell(&list(44, true, &both(0.0)[1..]));
    rig.agent.tell(&list(45, true, &both(3_000.0)));
    none_to_it(&mut client, 60);
    yes(at, "ENABLE s-0");
    let mut met = false;
    for id in 100..400 {
        met |= rig.serve_one(&mut client, id).0 == 0;
    }
    assert!(met, "one that was given back gets work");
    // All are banned: refused at once, not queued.
    yes(at, "DISABLE s-0");
    yes(at, "DISABLE s-1");
    client.send(&words(&call(500, "safe", "free", 1, 8000)));
    assert_eq!(client.read(), "-BUSY");
}

#[test]
fn a_connection_from_before_the_ban_is_not_used_after_it() {
    let (rig, at) = managed(1);
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    let (_, before) = rig.serve_one(&mut client, 1);
    yes(at, "DISABLE s-0");
    before.closed();
    yes(at, "ENABLE s-0");
    let (_, after) = rig.serve_one(&mut client, 2);
    assert_ne!(before.connection, after.connection);
}

#[test]
fn a_drained_gateway_says_no_finishes_what_it_has_and_takes_clients_again() {
    let (rig, at) = managed(1);
    let (mut client, mut idle) = (rig.gateway.client(), rig.gateway.client());
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    yes(at, "DRAIN");
    assert!(rig.gateway.client().ask(&["PING"]).starts_with("-ERR"));
    assert!(no(at, "READY").contains("drained"));
    // Nothing is open on it: it is closed. The other owes an answer.
    assert_eq!(idle.read(), "(end)");
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert_eq!(client.read(), "(end)");
    // Connections that come later are told no, and closed after it.
    let mut late = rig.gateway.client();
    assert!(late.ask(&["PING"]).starts_with("-ERR"));
    assert_eq!(late.read(), "(end)");
    yes(at, "UNDRAIN");
    yes(at, "READY");
    let mut again = rig.gateway.client();
    assert_eq!(again.ask(&["PING"]), "+PONG");
    rig.serve_one(&mut again, 2);
    // Again within a moment: the last call holds.
    yes(at, "DRAIN");
    yes(at, "UNDRAIN");
    yes(at, "DRAIN");
    assert!(rig.gateway.client().ask(&["PING"]).starts_with("-ERR"));
    assert_eq!(again.read(), "(end)");
}

#[test]
fn a_drain_ends_connections_that_never_fall_quiet() {
    let (rig, at) = managed(1);
    let mut busy = rig.gateway.client();
    yes(at, "DRAIN");
    let start = Instant::now();
    // Always one more command on its way than answers read.
    busy.send(&["PING"]);
    loop {
        assert!(start.elapsed() < PATIENCE, "it goes on for good");
        if busy.ask_or_end(&["PING"]) == "(end)" {
            break;
        }
    }
}

#[test]
fn ready_is_answered_while_requests_wait() {
    let (rig, at) = managed(1);
    let mut clients: Vec<Client> = (0..64).map(|_| rig.gateway.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        for k in 0..32 {
            client.send(&words(&call((i * 32 + k + 1) as u64, "safe", "free", 1, 8000)));
        }
    }
    let slowest = (0..20)
        .map(|_| {
            let start = Instant::now();
            yes(at, "READY");
            start.elapsed()
        })
        .max();
    // A second is what callers wait; here it takes a few ms, however slow the machine.
    assert!(slowest < Some(Duration::from_secs(1)), "{slowest:?}");
}
