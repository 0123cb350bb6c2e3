//! The management address of the built gateway: commands and their responses, bans and drains, on loopback
//! sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use gateway_rig::loopback_address::unused_loopback_address;
use gateway_rig::*;
use serde_json::json;

/// Starts a gateway with a management address; returns that address too.
fn managed_rig(backends: usize) -> (Rig, SocketAddr) {
    let management = unused_loopback_address();
    (Rig::with_config(backends, |config| config["management"] = json!(management.to_string())), management)
}

/// Sends bytes to the management address and returns the response, which must be a single line.
fn send_command(management: SocketAddr, line: &[u8]) -> String {
    let mut stream = TcpStream::connect(management).expect("connect to the gateway");
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    stream.write_all(line).expect("write to the socket");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("read the response");
    assert!(answer.ends_with("\r\n") && answer.matches('\n').count() == 1, "not a single line: {answer:?}");
    answer
}

/// Sends a command that must succeed.
fn expect_success(management: SocketAddr, line: &str) -> String {
    let answer = send_command(management, format!("{line}\r\n").as_bytes());
    assert!(answer.starts_with("SUCCESS"), "{line}: {answer}");
    answer
}

/// Sends a command that must fail.
fn expect_failure(management: SocketAddr, line: &str) -> String {
    let answer = send_command(management, format!("{line}\n").as_bytes());
    assert!(answer.starts_with("FAILURE"), "{line}: {answer}");
    answer
}

#[test]
fn invalid_commands_fail_with_reason() {
    let (rig, management) = managed_rig(1);
    assert!(expect_success(management, "READY").contains("ready"));
    for (line, reason) in [
        ("REBOOT", "unknown call"),
        ("", "empty"),
        ("DISABLE", "missing"),
        ("READY now", "more words"),
        ("DISABLE nobody", "no backend has this id"),
        ("ENABLE nobody", "no backend has this id"),
        (&format!("DISABLE {}", "x".repeat(10_000)), "10000 bytes"),
        (&"x".repeat(40_000), "more than"),
    ] {
        let answer = expect_failure(management, line);
        assert!(answer.contains(reason), "{answer}");
    }
    assert!(send_command(management, b"DISABLE \xff\xfe\n").contains("a line of text"));
    // An incomplete command, after which the client shuts down its sending side.
    let mut incomplete = TcpStream::connect(management).expect("connect to the gateway");
    incomplete.write_all(b"DRA").expect("write to the socket");
    incomplete.shutdown(std::net::Shutdown::Write).expect("socket is open");
    let mut answer = String::new();
    incomplete.read_to_string(&mut answer).expect("read the response");
    assert!(answer.starts_with("FAILURE"), "{answer}");
    assert_eq!(rig.gateway.client().request(&["PING"]), "+PONG");
}

#[test]
fn silent_connections_do_not_block_commands() {
    let (rig, management) = managed_rig(1);
    let silent: Vec<TcpStream> = (0..100)
        .map(|i| {
            let mut stream = TcpStream::connect(management).expect("connect to the gateway");
            stream.write_all(if i % 2 == 0 { b"" } else { b"REA" }).expect("write to the socket");
            stream
        })
        .collect();
    for _ in 0..5 {
        expect_success(management, "READY");
    }
    drop(silent);
    assert_eq!(rig.gateway.client().request(&["PING"]), "+PONG");
}

#[test]
fn banned_backend_gets_no_requests_until_enabled() {
    let (rig, management) = managed_rig(2);
    let both = |since: f64| {
        let listed = |i: usize| endpoint(&format!("s-{i}"), rig.backends[i].address, 1, "SERVING", since);
        [listed(0), listed(1)]
    };
    rig.send_snapshot(&both(0.0));
    let mut client = rig.gateway.client();
    expect_success(management, "DISABLE s-0");
    assert!(expect_success(management, "DISABLE s-0").contains("already"));
    let assert_not_served_by_banned = |client: &mut Client, from: u64| {
        for id in from..from + 8 {
            assert_eq!(rig.serve_one(client, id).0, 1);
        }
    };
    assert_not_served_by_banned(&mut client, 1);
    // The backend restarts, then a new snapshot arrives.
    rig.agent.deliver(&list(42, false, &both(1_000.0)[..1]));
    assert_not_served_by_banned(&mut client, 20);
    rig.agent.deliver(&list(43, true, &both(2_000.0)));
    assert_not_served_by_banned(&mut client, 40);
    // It is removed from the list and added again: the ban stays.
    rig.agent.deliver(&list(44, true, &both(0.0)[1..]));
    rig.agent.deliver(&list(45, true, &both(3_000.0)));
    assert_not_served_by_banned(&mut client, 60);
    expect_success(management, "ENABLE s-0");
    let mut served = false;
    for id in 100..400 {
        served |= rig.serve_one(&mut client, id).0 == 0;
    }
    assert!(served, "the enabled backend gets no requests");
    // With all backends banned, requests are rejected at once instead of queued.
    expect_success(management, "DISABLE s-0");
    expect_success(management, "DISABLE s-1");
    client.send(&as_strs(&request_args(500, "safe", "free", 1, 8000)));
    assert_eq!(client.read(), "-BUSY");
}

#[test]
fn connection_from_before_ban_is_not_reused() {
    let (rig, management) = managed_rig(1);
    rig.send_snapshot(&[serving(0, &rig.backends[0])]);
    let mut client = rig.gateway.client();
    let (_, before) = rig.serve_one(&mut client, 1);
    expect_success(management, "DISABLE s-0");
    before.wait_until_closed();
    expect_success(management, "ENABLE s-0");
    let (_, after) = rig.serve_one(&mut client, 2);
    assert_ne!(before.connection, after.connection);
}

#[test]
fn drained_gateway_finishes_requests_and_serves_again_after_undrain() {
    let (rig, management) = managed_rig(1);
    let (mut client, mut idle) = (rig.gateway.client(), rig.gateway.client());
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    expect_success(management, "DRAIN");
    assert!(rig.gateway.client().request(&["PING"]).starts_with("-ERR"));
    assert!(expect_failure(management, "READY").contains("drained"));
    // The idle connection is closed; the other one still awaits a response.
    assert_eq!(idle.read(), "(end)");
    arrived.serve("fine");
    assert_eq!(client.read(), "fine");
    assert_eq!(client.read(), "(end)");
    // Later connections get an error and are then closed.
    let mut late = rig.gateway.client();
    assert!(late.request(&["PING"]).starts_with("-ERR"));
    assert_eq!(late.read(), "(end)");
    expect_success(management, "UNDRAIN");
    expect_success(management, "READY");
    let mut again = rig.gateway.client();
    assert_eq!(again.request(&["PING"]), "+PONG");
    rig.serve_one(&mut again, 2);
    // Commands in quick succession: the last one applies.
    expect_success(management, "DRAIN");
    expect_success(management, "UNDRAIN");
    expect_success(management, "DRAIN");
    assert!(rig.gateway.client().request(&["PING"]).starts_with("-ERR"));
    assert_eq!(again.read(), "(end)");
}

#[test]
fn drain_closes_connections_that_are_never_idle() {
    let (rig, management) = managed_rig(1);
    let mut busy = rig.gateway.client();
    expect_success(management, "DRAIN");
    let start = Instant::now();
    // There is always one more command sent than responses read.
    busy.send(&["PING"]);
    loop {
        assert!(start.elapsed() < MESSAGE_TIMEOUT, "the connection is never closed");
        if busy.request_or_end(&["PING"]) == "(end)" {
            break;
        }
    }
}

#[test]
fn ready_is_answered_while_requests_are_queued() {
    let (rig, management) = managed_rig(1);
    let mut clients: Vec<Client> = (0..64).map(|_| rig.gateway.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        for k in 0..32 {
            client.send(&as_strs(&request_args((i * 32 + k + 1) as u64, "safe", "free", 1, 8000)));
        }
    }
    let slowest = (0..20)
        .map(|_| {
            let start = Instant::now();
            expect_success(management, "READY");
            start.elapsed()
        })
        .max();
    // Callers of READY time out after 1 s; the response takes a few ms even on a slow machine.
    assert!(slowest < Some(Duration::from_secs(1)), "{slowest:?}");
}

/// Length of a value that fits into the socket buffers of the gateway, but not into those of a slow client,
/// bytes.
const SLOWLY_READ_VALUE: usize = 400 * 1024;
/// Bytes that a slow client reads at once.
const SLOW_READ: usize = 8 * 1024;
/// Time between two reads of a slow client.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(40);

/// Connects a client whose system takes little before the client reads it.
fn connect_slow_client(rig: &Rig) -> TcpStream {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("create a socket");
    socket.set_recv_buffer_size(32 * 1024).expect("set the receive buffer");
    socket.connect(&rig.gateway.address.into()).expect("connect to the gateway");
    let stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    stream
}

/// Reads a value slowly, and sends another request after half of it. Returns the number of bytes up to the
/// end of the value or of the connection.
fn read_slowly_and_send_on(stream: &mut TcpStream, next_id: u64) -> usize {
    let whole = format!("${SLOWLY_READ_VALUE}\r\n").len() + SLOWLY_READ_VALUE + 2;
    let (mut received, mut sent, mut buffer) = (0, false, [0; SLOW_READ]);
    while received < whole {
        if !sent && received > SLOWLY_READ_VALUE / 2 {
            sent = true;
            let request = command(&as_strs(&request_args(next_id, "unsafe", "free", 1, 8000)));
            stream.write_all(&request).expect("write to the gateway");
        }
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 => received += n,
            end => {
                println!("{received} of {whole} bytes, then {end:?}");
                return received;
            }
        }
        std::thread::sleep(SLOW_READ_INTERVAL);
    }
    received
}

/// Sends a request of a slow client, and has the backend write the whole of a long value for it.
fn begin_slow_value(rig: &Rig, id: u64) -> TcpStream {
    let mut stream = connect_slow_client(rig);
    let request = command(&as_strs(&request_args(id, "unsafe", "free", 1, 8000)));
    stream.write_all(&request).expect("write to the gateway");
    let (_, mut arrived) = rig.next_request();
    arrived.serve(&"x".repeat(SLOWLY_READ_VALUE));
    stream
}

/// Guards against a value that is cut off by a drain: it is written, but the client has not read all of it,
/// and sends on when the gateway has closed the connection.
#[test]
fn value_that_is_read_slowly_arrives_whole_during_drain() {
    let (rig, management) = managed_rig(1);
    let mut stream = begin_slow_value(&rig, 1);
    expect_success(management, "DRAIN");
    let received = read_slowly_and_send_on(&mut stream, 2);
    assert!(received > SLOWLY_READ_VALUE, "{received} bytes");
    // The connection ends behind the value, as it is drained.
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.is_empty() && rig.backends_idle(), "the next request was forwarded on a drained connection");
}

/// Guards against a connection that counts as idle and is closed for a new one while its client still reads a
/// value.
#[test]
fn value_that_is_read_slowly_arrives_whole_while_others_wait_for_its_connection() {
    let rig = Rig::with_config(1, |config| config["limits"]["sockets"] = json!(34));
    // The connection that the rig used is closed by now, or soon.
    std::thread::sleep(Duration::from_millis(200));
    let mut stream = begin_slow_value(&rig, 1);
    let address = rig.gateway.address;
    let others = std::thread::spawn(move || {
        for _ in 0..10 {
            let mut other = Client::connect(address);
            assert_eq!(other.read(), "-BUSY");
        }
    });
    let received = read_slowly_and_send_on(&mut stream, 2);
    assert!(received > SLOWLY_READ_VALUE, "{received} bytes");
    others.join().expect("the other clients");
}

/// Whether the gateway holds a socket of a client, from `/proc/net/tcp`: sockets that were closed have no
/// inode.
fn has_client_connections(gateway: &Gateway) -> bool {
    const LISTENING: &str = "0A";
    const NO_INODE: &str = "0";
    let port = format!(":{:04X}", gateway.address.port());
    let path = format!("/proc/{}/net/tcp", gateway.pid());
    let text = std::fs::read_to_string(path).expect("read procfs of the gateway process");
    text.lines().skip(1).any(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns[1].ends_with(&port) && columns[3] != LISTENING && columns[9] != NO_INODE
    })
}

/// Guards against a client that reads nothing and keeps its connection from being closed for ever.
#[test]
fn connection_of_client_that_stops_reading_is_closed_during_drain() {
    let (rig, management) = managed_rig(1);
    let stream = begin_slow_value(&rig, 1);
    expect_success(management, "DRAIN");
    let begun = Instant::now();
    while has_client_connections(&rig.gateway) {
        assert!(begun.elapsed() < MESSAGE_TIMEOUT, "still open");
        std::thread::sleep(Duration::from_millis(100));
    }
    drop(stream);
}
