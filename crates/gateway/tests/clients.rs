//! How the built gateway protects itself against disconnected, malformed, idle or excessive clients, on
//! loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::thread::sleep;
use std::time::{Duration, Instant};

use gateway_rig::*;
use serde_json::{json, Value};

#[test]
fn attempt_is_cancelled_when_client_disconnects() {
    // The deadline is far longer than the test waits, so it does not end the attempt.
    let rig =
        Rig::with_config(1, |config| config["settings"]["profiles"][0]["deadline-ms"] = json!(600_000.0));
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 600_000)));
    let (_, arrived) = rig.next_request();
    drop(client);
    arrived.wait_until_closed();
}

#[test]
fn malformed_command_gets_error_and_closes_connection() {
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
fn invalid_commands_get_errors_and_connection_stays_open() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let good = request_args(1, "safe", "free", 1, 8000);
    let with = |index: usize, from: &str, to: &str| {
        let mut changed = good.clone();
        changed[index] = changed[index].replace(from, to);
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
        assert!(client.request(&words).starts_with("-ERR"), "{words:?}");
    }
    // A keyed class without an idempotency key.
    let mut keyless = request_args(2, "keyed", "free", 1, 8000);
    keyless[3] = keyless[3].replace(",k=5c0f6e1a2b3d4c59", "");
    assert!(client.request(&as_strs(&keyless)).starts_with("-ERR"));
    assert!(rig.backends_idle(), "a command was forwarded");
    rig.serve_one(&mut client, 9);
}

/// Limits the file descriptors to one client and one backend.
fn limit_to_one_client(config: &mut Value) {
    config["limits"]["sockets"] = json!(34);
}

#[test]
fn connection_beyond_descriptor_limit_is_rejected() {
    let rig = Rig::with_config(1, limit_to_one_client);
    // The connection with which the rig checked readiness may still be closing.
    let mut kept = rig.gateway.client();
    while kept.request_or_end(&["PING"]) != "+PONG" {
        kept = rig.gateway.client();
    }
    kept.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    assert_eq!(rig.gateway.client().read(), "-BUSY");
    arrived.serve("fine");
    assert_eq!(kept.read(), "fine");
}

#[test]
fn idle_connection_is_closed_for_new_one_at_limit() {
    let rig = Rig::with_config(1, limit_to_one_client);
    // First a client that sends one command and stays, then one that sends nothing.
    let mut idle = rig.gateway.client();
    while idle.request_or_end(&["PING"]) != "+PONG" {
        idle = rig.gateway.client();
    }
    let mut silent = rig.gateway.client();
    while silent.read() == "-BUSY" {
        silent = rig.gateway.client();
    }
    assert_eq!(idle.read(), "(end)");
    let mut client = rig.gateway.client();
    while client.request_or_end(&["PING"]) != "+PONG" {
        client = rig.gateway.client();
    }
    rig.serve_one(&mut client, 1);
}

/// Guards against idle connections that are kept until the gateway has no descriptors left: the clients may
/// reach their own limits long before.
#[test]
fn idle_connections_close_while_half_of_descriptors_are_free() {
    let rig = Rig::with_config(1, |config| config["limits"]["sockets"] = json!(48));
    let mut idle: Vec<Client> = (0..5).map(|_| rig.gateway.client()).collect();
    for client in &mut idle {
        assert_eq!(client.request(&["PING"]), "+PONG");
    }
    let since = Instant::now();
    sleep(Duration::from_millis(2_500));
    let mut new = rig.gateway.client();
    assert_eq!(new.request(&["PING"]), "+PONG");
    assert_eq!(idle[0].read(), "(end)");
    // The idle timeout alone would close it after 15 s.
    assert!(since.elapsed() < Duration::from_secs(12));
}

/// Guards against keeping the connection of a client that sent a single command while others wait for a
/// descriptor, and against closing that of a client that sends commands repeatedly.
#[test]
fn connection_used_once_is_closed_before_one_used_repeatedly() {
    let rig = Rig::with_config(1, |config| config["limits"]["sockets"] = json!(48));
    let (mut repeated, mut once) = (rig.gateway.client(), rig.gateway.client());
    (0..2).for_each(|_| assert_eq!(repeated.request(&["PING"]), "+PONG"));
    assert_eq!(once.request(&["PING"]), "+PONG");
    let ended = std::thread::spawn(move || once.read());
    let mut others = Vec::new();
    while !ended.is_finished() {
        let mut new = rig.gateway.client();
        let _ = new.request_or_end(&["PING"]);
        others.push(new);
        sleep(Duration::from_millis(20));
    }
    assert_eq!(ended.join().expect("reader thread"), "(end)");
    assert_eq!(repeated.request_or_end(&["PING"]), "+PONG");
}

#[test]
fn silent_client_and_incomplete_command_are_disconnected() {
    let rig = Rig::with_config(1, |_| {});
    let (mut silent, mut incomplete) = (rig.gateway.client(), rig.gateway.client());
    incomplete.write(b"*5\r\n$9\r\nAPI.WRITE\r\n$16\r\n0000");
    assert_eq!(silent.read(), "(end)");
    assert!(incomplete.read().starts_with("-ERR"));
    assert_eq!(incomplete.read(), "(end)");
}

#[test]
fn duplicate_id_gets_error_and_open_request_is_served() {
    let rig = Rig::with_config(1, |_| {});
    let (mut client, mut other) = (rig.gateway.client(), rig.gateway.client());
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    assert!(other.request(&as_strs(&request_args(1, "safe", "free", 1, 8000))).starts_with("-ERR"));
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert!(rig.backends_idle(), "forwarded twice");
    // The ID can be used again.
    rig.serve_one(&mut other, 1);
}

#[test]
fn memory_budget_rejects_requests_until_memory_is_freed() {
    // The memory budget is 256 KiB.
    let rig = Rig::with_config(1, |config| config["limits"]["memory_mb"] = json!(1));
    let large = |id| {
        let mut large = request_args(id, "unsafe", "free", 1, 8000);
        large[4] = "x".repeat(60_000);
        large
    };
    let mut other = rig.gateway.client();
    let mut clients: Vec<_> = (1..5).map(|_| rig.gateway.client()).collect();
    for (id, client) in (1..).zip(&mut clients) {
        client.send(&as_strs(&large(id)));
    }
    let mut arrived: Vec<IncomingMessage> = (1..5).map(|_| rig.next_request().1).collect();
    assert_eq!(other.request(&as_strs(&large(5))), "-BUSY");
    for a in &mut arrived {
        a.serve("fine");
    }
    for client in &mut clients {
        assert_eq!(client.read(), "fine");
    }
    other.send(&as_strs(&large(6)));
    rig.next_request().1.serve("fine");
    assert_eq!(other.read(), "fine");
    assert!(rig.backends_idle(), "a rejected request was forwarded");
}

/// Guards against failing requests that have run because other answers take the memory: their answers wait.
#[test]
fn responses_beyond_memory_budget_wait_and_arrive() {
    // The memory budget is 448 KiB, far less than all values.
    let rig = Rig::with_config(1, |config| config["limits"]["memory_mb"] = json!(1));
    let mut clients: Vec<_> = (1..31).map(|_| rig.gateway.client()).collect();
    for (id, client) in (1..).zip(&mut clients) {
        client.send(&as_strs(&request_args(id, "unsafe", "free", 1, 8000)));
    }
    let mut arrived: Vec<IncomingMessage> = (1..31).map(|_| rig.next_request().1).collect();
    let value = "x".repeat(60_000);
    for request in &mut arrived {
        request.serve(&value);
    }
    for client in &mut clients {
        assert!(client.read() == value, "a request that was run failed");
    }
    rig.serve_one(&mut clients[0], 31);
}
