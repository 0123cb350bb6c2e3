//! The built gateway and what clients may not do to it, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::{json, Value};

#[test]
fn the_attempt_of_a_client_that_left_is_given_up() {
    // Far more time than the test waits, so that no deadline ends the attempt.
    let rig =
        Rig::with_config(1, |config| config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0));
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 600_000)));
    let (_, arrived) = rig.next_request();
    drop(client);
    arrived.closed();
}

#[test]
fn malformed_commands_are_told_so_and_end_the_connection() {
    let mut rig = Rig::with_config(1, |_| {});
    let long = format!("*5\r\n$9\r\nAPI.WRITE\r\n$65537\r\n{}", "x".repeat(65_537));
    let many = format!("*5\r\n$60000\r\n{0}\r\n$60000\r\n{0}", "x".repeat(60_000));
    let deep = "*1\r\n".repeat(16_000);
    for bytes in
        ["GET / HTTP/1.1\r\n\r\n", "*1\r\n$-5\r\n", "*1\r\n$1\r\nxyz", "*99999999\r\n", &long, &many, &deep]
    {
        let mut client = rig.gateway.client();
        client.write(bytes.as_bytes());
        assert!(client.read().starts_with("-ERR"), "{:?}", &bytes[..16]);
        assert_eq!(client.read(), "(end)");
    }
    assert!(rig.gateway.is_running() && rig.backends_idle());
}

#[test]
fn commands_that_are_none_of_the_service_are_refused_one_by_one() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let good = call(1, "safe", "free", 1, 8000);
    let with = |place: usize, from: &str, to: &str| {
        let mut changed = good.clone();
        changed[place] = changed[place].replace(from, to);
        changed
    };
    let bad = [
        with(0, "API.READ", "API.DELETE"),
        with(0, "API.READ", "API.WRITE"),
        with(1, "00000000", "ffffffff"),
        with(1, "b4d65521", "nonsense"),
        with(2, "0001", "1"),
        with(3, "c=safe", "c=other"),
        with(3, "t=free", "t=other"),
        with(3, "d=8000", "d=soon"),
        with(3, "d=8000,", ""),
        with(3, "units=1", "units=NaN"),
        with(3, "units=1", "units=-1"),
        with(3, "units=1", "units=0"),
        with(3, "units=1", "units=9"),
        with(3, "d=8000", "d=0"),
        with(3, "d=8000", "d=1e3"),
        with(3, "spread=2", "spread=0"),
        with(3, "spread=2", "spread=3"),
        with(3, "spread=2", "spread=1.5"),
        with(3, "first=0", "first=2"),
        with(3, ",first=0", ""),
        with(3, "spread=2", "spread="),
        with(3, ",", ";"),
        good[..3].to_vec(),
        vec!["SUBSCRIBE".to_string()],
    ];
    for words in bad {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        assert!(client.ask(&words).starts_with("-ERR"), "{words:?}");
    }
    // A keyed class without its key.
    let mut keyless = call(2, "keyed", "free", 1, 8000);
    keyless[3] = keyless[3].replace(",k=5c0f6e1a2b3d4c59", "");
    assert!(client.ask(&words(&keyless)).starts_with("-ERR"));
    assert!(rig.backends_idle(), "something was sent on");
    rig.serve_one(&mut client, 9);
}

/// A configuration with descriptors for one client and one backend.
fn narrow(config: &mut Value) {
    config["limits"]["sockets"] = json!(34);
}

#[test]
fn connections_beyond_the_descriptors_are_told_to_come_again() {
    let rig = Rig::with_config(1, narrow);
    // The one that asked whether it is ready may still be closing.
    let mut kept = rig.gateway.client();
    while kept.ask_or_end(&["PING"]) != "+PONG" {
        kept = rig.gateway.client();
    }
    kept.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    assert_eq!(rig.gateway.client().read(), "-BUSY");
    arrived.serve("fine");
    assert_eq!(kept.read(), "fine");
}

#[test]
fn a_connection_that_is_not_used_makes_room_for_a_new_one() {
    let rig = Rig::with_config(1, narrow);
    // One that asks once and stays, then one that says nothing at all.
    let mut idle = rig.gateway.client();
    while idle.ask_or_end(&["PING"]) != "+PONG" {
        idle = rig.gateway.client();
    }
    let mut silent = rig.gateway.client();
    while silent.read() == "-BUSY" {
        silent = rig.gateway.client();
    }
    assert_eq!(idle.read(), "(end)");
    let mut client = rig.gateway.client();
    while client.ask_or_end(&["PING"]) != "+PONG" {
        client = rig.gateway.client();
    }
    rig.serve_one(&mut client, 1);
}

/// Guards against quiet connections kept until places here run short, when clients may hold no more long
/// before.
#[test]
fn quiet_connections_are_closed_while_half_of_the_places_are_free_yet() {
    let rig = Rig::with_config(1, |config| config["limits"]["sockets"] = json!(48));
    let mut quiet: Vec<Client> = (0..5).map(|_| rig.gateway.client()).collect();
    for client in &mut quiet {
        assert_eq!(client.ask(&["PING"]), "+PONG");
    }
    let since = Instant::now();
    sleep(Duration::from_millis(2_500));
    let mut new = rig.gateway.client();
    assert_eq!(new.ask(&["PING"]), "+PONG");
    assert_eq!(quiet[0].read(), "(end)");
    // One that nobody needs the place of is closed after 15 s.
    assert!(since.elapsed() < Duration::from_secs(12));
}

/// Guards against a place kept by a client that has asked once, while others wait for one; and one taken from
/// a client that comes back again and again.
#[test]
fn a_place_kept_by_a_client_that_asked_once_goes_to_others_before_that_of_one_in_use() {
    let rig = Rig::with_config(1, |config| config["limits"]["sockets"] = json!(48));
    let (mut steady, mut once) = (rig.gateway.client(), rig.gateway.client());
    (0..2).for_each(|_| assert_eq!(steady.ask(&["PING"]), "+PONG"));
    assert_eq!(once.ask(&["PING"]), "+PONG");
    let ended = std::thread::spawn(move || once.read());
    let mut others = Vec::new();
    while !ended.is_finished() {
        let mut new = rig.gateway.client();
        let _ = new.ask_or_end(&["PING"]);
        others.push(new);
        sleep(Duration::from_millis(20));
    }
    assert_eq!(ended.join().expect("it read"), "(end)");
    assert_eq!(steady.ask_or_end(&["PING"]), "+PONG");
}

#[test]
fn a_client_that_says_nothing_or_half_a_command_is_turned_away() {
    let rig = Rig::with_config(1, |_| {});
    let (mut silent, mut half) = (rig.gateway.client(), rig.gateway.client());
    half.write(b"*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n0000");
    assert_eq!(silent.read(), "(end)");
    assert!(half.read().starts_with("-ERR"));
    assert_eq!(half.read(), "(end)");
}

#[test]
fn a_second_request_under_an_open_ones_id_is_an_error_and_the_first_is_served() {
    let rig = Rig::with_config(1, |_| {});
    let (mut client, mut other) = (rig.gateway.client(), rig.gateway.client());
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    assert!(other.ask(&words(&call(1, "safe", "free", 1, 8000))).starts_with("-ERR"));
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert!(rig.backends_idle(), "sent on twice");
    // It is free again.
    rig.serve_one(&mut other, 1);
}

#[test]
fn requests_that_the_memory_has_no_room_for_are_refused_until_it_has() {
    // Room for 256 KiB.
    let rig = Rig::with_config(1, |config| config["limits"]["memory_mb"] = json!(1));
    let large = |id| {
        let mut large = call(id, "unsafe", "free", 1, 8000);
        large[4] = "x".repeat(60_000);
        large
    };
    let (mut client, mut other) = (rig.gateway.client(), rig.gateway.client());
    (1..5).for_each(|id| client.send(&words(&large(id))));
    let mut arrived: Vec<Arrived> = (1..5).map(|_| rig.next_request().1).collect();
    assert_eq!(other.ask(&words(&large(5))), "-BUSY");
    for a in &mut arrived {
        a.serve("fine");
    }
    (1..5).for_each(|_| assert_eq!(client.read(), "fine"));
    other.send(&words(&large(6)));
    rig.next_request().1.serve("fine");
    assert_eq!(other.read(), "fine");
    assert!(rig.backends_idle(), "what was refused went on");
}

#[test]
fn an_answer_that_the_memory_has_no_room_for_has_failed() {
    // Room for 256 KiB, of which answers that wait behind an open request take most.
    let rig = Rig::with_config(1, |config| config["limits"]["memory_mb"] = json!(1));
    let mut client = rig.gateway.client();
    (1..31).for_each(|id| client.send(&words(&call(id, "unsafe", "free", 1, 8000))));
    let mut arrived: Vec<Arrived> = (1..31).map(|_| rig.next_request().1).collect();
    arrived.sort_by_key(|a| a.words[2].clone());
    let value = "x".repeat(60_000);
    arrived.iter_mut().skip(1).for_each(|a| a.serve(&value));
    let mut last = rig.gateway.client();
    rig.serve_one(&mut last, 31);
    arrived[0].serve("fine");
    assert_eq!(client.read(), "fine");
    let answers: Vec<String> = (2..31).map(|_| client.read()).collect();
    assert!(answers.iter().all(|a| *a == value || a.starts_with("-ERR")));
    assert!(answers.contains(&value) && answers.iter().any(|a| a.starts_with("-ERR")));
}
