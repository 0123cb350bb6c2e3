//! Streamed values and slow peers at the built gateway, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use gateway_rig::*;

/// Length of a streamed value in bytes.
const LONG_VALUE: usize = 4 << 20;

/// Returns a text whose neighbouring bytes differ, so that a shift is detected.
fn varied_text(length: usize) -> String {
    (0..length).map(|i| char::from(b'a' + (i % 23) as u8)).collect()
}

/// Starts a response with the first `first` bytes of a value, and returns the part that is still to be sent.
fn start_response<'a>(arrived: &mut IncomingMessage, value: &'a str, first: usize) -> &'a str {
    arrived.reply(&format!("*3\r\n${}\r\n{}", value.len(), &value[..first]));
    &value[first..]
}

/// Reads the header of a value and its first byte; returns the length of the value and that byte.
fn read_first_byte(stream: &mut TcpStream) -> (usize, u8) {
    let (mut head, mut byte) = (String::new(), [0]);
    while !head.ends_with("\r\n") {
        stream.read_exact(&mut byte).expect("read the header");
        head.push(char::from(byte[0]));
    }
    stream.read_exact(&mut byte).expect("read the first byte");
    (head.trim().trim_start_matches('$').parse().expect("length"), byte[0])
}

/// Sends a request on a new connection; returns the connection and the request as the backend received it.
fn open_request(rig: &Rig, id: u64) -> (TcpStream, IncomingMessage) {
    let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    stream
        .write_all(&command(&as_strs(&request_args(id, "safe", "free", 1, 8000))))
        .expect("write to the socket");
    (stream, rig.next_request().1)
}

#[test]
fn streamed_value_is_forwarded_at_once_and_connections_reused() {
    let rig = Rig::with_config(1, |_| {});
    let (mut client, mut arrived) = open_request(&rig, 1);
    let value = varied_text(LONG_VALUE);
    let rest = start_response(&mut arrived, &value, 1);
    // The first byte arrives although the backend has not sent more.
    assert_eq!(read_first_byte(&mut client), (LONG_VALUE, b'a'));
    let reader = thread::spawn(move || {
        let mut received = vec![0; LONG_VALUE + 1];
        client.read_exact(&mut received).expect("read the whole value");
        (client, received)
    });
    for piece in rest.as_bytes().chunks(7_777) {
        arrived.reply(std::str::from_utf8(piece).expect("UTF-8 text"));
    }
    let (mut client, received) = reader.join().expect("reader thread");
    assert!(received.ends_with(b"\r\n") && &received[..LONG_VALUE - 1] == rest.as_bytes());
    arrived.reply("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
    // Both connections are reused; the backend's only after the metadata behind the value has been read.
    client
        .write_all(&command(&as_strs(&request_args(2, "safe", "free", 1, 8000))))
        .expect("write to the socket");
    let (_, mut next) = rig.next_request();
    next.serve("fine");
    let mut answer = [0; 10];
    client.read_exact(&mut answer).expect("read the response");
    assert_eq!(&answer, b"$4\r\nfine\r\n");
}

#[test]
fn truncated_value_closes_client_connection() {
    let rig = Rig::with_config(2, |_| {});
    let (mut client, mut arrived) = open_request(&rig, 1);
    let value = varied_text(200_000);
    start_response(&mut arrived, &value, 100_000);
    arrived.close();
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    assert!(received.len() < 200_000, "{} bytes", received.len());
    assert!(received.starts_with(b"$200000\r\nabc"));
    // The request is safe to retry, but part of the value was forwarded, so there is no other attempt.
    assert!(rig.backends_idle());
}

/// Sends two requests in one write: a safe one, and behind it one that is not idempotent. Returns the client
/// and the first request as its backend received it: the second one waits for the answer to it.
fn open_two_requests(rig: &Rig, first_id: u64) -> (TcpStream, IncomingMessage) {
    let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
    stream.set_read_timeout(Some(MESSAGE_TIMEOUT)).expect("set the read timeout");
    let safe = command(&as_strs(&request_args(first_id, "safe", "free", 1, 8000)));
    let unsafe_one = command(&as_strs(&request_args(first_id + 1, "unsafe", "free", 1, 8000)));
    stream.write_all(&[safe, unsafe_one].concat()).expect("write to the socket");
    let (_, first) = rig.next_request();
    assert_eq!(first.words[0], "API.READ");
    (stream, first)
}

/// Reads `expected` from a client's connection and compares it.
fn assert_reads(client: &mut TcpStream, expected: &str) {
    let mut received = vec![0; expected.len()];
    client.read_exact(&mut received).expect("read the answer");
    assert!(received == expected.as_bytes(), "{:.80?}", String::from_utf8_lossy(&received));
}

/// Guards against a request that was run and never answered: its connection was closed because a value ahead
/// of it had ended early.
#[test]
fn request_behind_truncated_value_is_answered() {
    let rig = Rig::with_config(2, |_| {});
    let (mut client, mut long) = open_two_requests(&rig, 1);
    start_response(&mut long, &varied_text(LONG_VALUE / 4), 500_000);
    thread::sleep(Duration::from_millis(100));
    assert!(rig.backends_idle(), "forwarded before the answer ahead of it was complete");
    long.close();
    assert_reads(&mut client, "-ERR failed\r\n");
    let (_, mut behind) = rig.next_request();
    behind.serve("fine");
    assert_reads(&mut client, "$4\r\nfine\r\n");
}

/// Guards against a request that was run and never answered: the value ahead of it took longer than it may be
/// held back, and ended early after that. The request must not have been forwarded, and the connection ends
/// with a reset, so that the client can tell.
#[test]
fn request_behind_value_truncated_after_its_hold_is_not_forwarded() {
    let rig = Rig::with_config(2, |_| {});
    let (mut client, mut long) = open_two_requests(&rig, 1);
    let value = varied_text(200_000);
    start_response(&mut long, &value, 100_000);
    assert_eq!(read_first_byte(&mut client), (value.len(), b'a'));
    assert!(rig.backends_idle(), "forwarded before the answer ahead of it was complete");
    long.close();
    let mut received = Vec::new();
    let ended = client.read_to_end(&mut received);
    assert!(received.len() < value.len(), "{} bytes", received.len());
    assert_eq!(ended.expect_err("a reset").kind(), std::io::ErrorKind::ConnectionReset);
    thread::sleep(Duration::from_millis(100));
    assert!(rig.backends_idle(), "forwarded, though its connection was closed");
}

/// Guards against parts of a held value that are lost or swapped when it is released.
#[test]
fn value_with_request_behind_it_arrives_whole() {
    let rig = Rig::with_config(2, |_| {});
    let (mut client, mut long) = open_two_requests(&rig, 1);
    let value = varied_text(LONG_VALUE / 4);
    let rest = start_response(&mut long, &value, 500_000);
    thread::sleep(Duration::from_millis(100));
    long.reply(rest);
    long.reply("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
    assert_reads(&mut client, &format!("${}\r\n{value}\r\n", value.len()));
    rig.next_request().1.serve("fine");
    assert_reads(&mut client, "$4\r\nfine\r\n");
}

/// Guards against a value that is held back for as long as its backend takes: what the backend has sent must
/// reach the client within 2 s.
#[test]
fn slow_value_with_request_behind_it_is_begun_in_time() {
    let rig = Rig::with_config(2, |_| {});
    let (mut client, mut long) = open_two_requests(&rig, 1);
    let value = varied_text(LONG_VALUE / 4);
    let begun = Instant::now();
    let rest = start_response(&mut long, &value, 500_000);
    assert_eq!(read_first_byte(&mut client), (value.len(), b'a'));
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
    long.reply(rest);
    long.reply("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
    assert_reads(&mut client, &format!("{}\r\n", &value[1..]));
    rig.next_request().1.serve("fine");
    assert_reads(&mut client, "$4\r\nfine\r\n");
}

/// Guards against telling a backend a time that the client of a request no longer has: the request waited
/// behind others on its connection. One whose time is over is not forwarded.
#[test]
fn request_that_waited_behind_others_has_the_rest_of_its_time() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    let requests = [(1, 8000), (2, 5000), (3, 1000)];
    let all: Vec<u8> = requests
        .iter()
        .flat_map(|(id, d)| command(&as_strs(&request_args(*id, "safe", "free", 1, *d))))
        .collect();
    client.write(&all);
    let (_, mut first) = rig.next_request();
    thread::sleep(Duration::from_millis(1_500));
    first.serve("first");
    assert_eq!(client.read(), "first");
    let (_, mut second) = rig.next_request();
    let told_ms = deadline_ms_of(&second.words[3]);
    assert!((1..=3_500).contains(&told_ms), "{told_ms} ms");
    second.serve("second");
    assert_eq!(client.read(), "second");
    assert_eq!(client.read(), "-BUSY");
    assert!(rig.backends_idle(), "a request whose time was over was forwarded");
}

/// Guards against a request that is taken behind a value that may still end early. A client sends a request
/// again if it was not read.
#[test]
fn request_sent_behind_streamed_value_is_not_forwarded_before_its_end() {
    let rig = Rig::with_config(2, |_| {});
    let (mut client, mut long) = open_request(&rig, 1);
    let value = varied_text(200_000);
    start_response(&mut long, &value, 100_000);
    assert_eq!(read_first_byte(&mut client), (value.len(), b'a'));
    client
        .write_all(&command(&as_strs(&request_args(2, "unsafe", "free", 1, 8000))))
        .expect("write to the socket");
    thread::sleep(Duration::from_millis(100));
    long.close();
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    assert!(received.len() < 200_000, "{} bytes", received.len());
    assert!(rig.backends_idle(), "the second request was forwarded");
}

/// Guards against held values that exceed the memory limit: forty values of 1 MiB with requests behind them.
#[test]
fn held_values_stay_within_memory_limit() {
    let rig = Rig::with_config(2, |config| config["limits"]["memory_mb"] = serde_json::json!(32));
    let value = varied_text(LONG_VALUE / 4);
    let mut readers = Vec::new();
    for number in 0..40 {
        let (client, mut long) = open_two_requests(&rig, 1 + 2 * number);
        let value = value.clone();
        let (finish, may_finish) = mpsc::channel();
        let writer = thread::spawn(move || {
            let rest = start_response(&mut long, &value, value.len() - 1);
            may_finish.recv().expect("the test goes on");
            long.reply(&format!("{rest}\r\n$13\r\nused=0,cost=1\r\n$-1\r\n"));
        });
        readers.push((client, finish, writer));
    }
    thread::sleep(Duration::from_millis(500));
    let peak = rig.gateway.peak_memory_kb();
    println!("peak memory: {peak} kB with 40 values of 1 MiB");
    assert!(peak < 32 << 10, "{peak} kB");
    for (mut client, finish, writer) in readers {
        finish.send(()).expect("the writer waits");
        assert_reads(&mut client, &format!("${}\r\n{value}\r\n", value.len()));
        rig.next_request().1.serve("fine");
        assert_reads(&mut client, "$4\r\nfine\r\n");
        writer.join().expect("writer thread");
    }
}

#[test]
fn small_response_in_pieces_is_assembled() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    for byte in "*3\r\n$4\r\nfine\r\n$13\r\nused=0,cost=1\r\n$-1\r\n".chars() {
        arrived.reply(&byte.to_string());
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(client.read(), "fine");
}

/// Time between two pieces of an answer: more than a round trip, and far less than backends may take.
const PAUSE_BETWEEN_PIECES: Duration = Duration::from_millis(400);

/// Sends one request that is not idempotent, answers it with a value of `length` bytes in pieces that end at
/// `cuts`, with pauses between them, and returns what the client reads.
fn read_value_sent_with_pauses(length: usize, cuts: &[usize]) -> (String, String) {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "unsafe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    let value = varied_text(length);
    let answer = format!("*3\r\n${length}\r\n{value}\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
    let mut begin = 0;
    for end in cuts.iter().copied().chain([answer.len()]) {
        arrived.reply(&answer[begin..end]);
        begin = end;
        thread::sleep(PAUSE_BETWEEN_PIECES);
    }
    let received = client.read();
    // The connection to the backend is used again, so the whole answer was read.
    assert_eq!(rig.serve_one(&mut client, 2).1.connection, 0);
    (value, received)
}

/// Guards against a long value that is cut off because its backend pauses within the header of the answer.
#[test]
fn streamed_value_with_pauses_in_its_header_arrives_whole() {
    let (value, received) = read_value_sent_with_pauses(100 * 1024, &[1, 6, 40_000]);
    assert!(received == value, "{:.80?}", received);
}

/// Guards against a short value that is cut off because its backend pauses.
#[test]
fn buffered_value_with_pauses_arrives_whole() {
    let (value, received) = read_value_sent_with_pauses(60 * 1024, &[1, 6, 40_000]);
    assert!(received == value, "{:.80?}", received);
}

/// Guards against losing what a backend reports behind a value that ends after the request's deadline: it is
/// read however late the value is, and the connection is used again.
#[test]
fn report_behind_value_after_the_deadline_is_read() {
    let rig = Rig::with_config(1, |config| {
        config["settings"]["profiles"][0]["deadline-ms"] = serde_json::json!(1_500.0);
    });
    let mut client = rig.gateway.client();
    client.send(&as_strs(&request_args(1, "safe", "free", 1, 1500)));
    let (_, mut arrived) = rig.next_request();
    let value = varied_text(100 * 1024);
    let rest = start_response(&mut arrived, &value, 1);
    thread::sleep(Duration::from_millis(1_500));
    arrived.reply(rest);
    assert!(client.read() == value);
    thread::sleep(PAUSE_BETWEEN_PIECES);
    arrived.reply("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
    thread::sleep(PAUSE_BETWEEN_PIECES);
    client.send(&as_strs(&request_args(2, "safe", "free", 1, 1500)));
    let (_, mut next) = rig.next_request();
    assert_eq!(next.connection, arrived.connection);
    next.serve("fine");
    assert_eq!(client.read(), "fine");
}

/// Guards against buffering whole values that clients do not read yet: twenty values of 4 MiB are in progress
/// under a memory limit of 32 MB.
#[test]
fn streamed_values_to_slow_readers_stay_within_memory_limit() {
    let rig = Rig::with_config(1, |config| config["limits"]["memory_mb"] = serde_json::json!(32));
    let value = varied_text(LONG_VALUE);
    let mut readers = Vec::new();
    for id in 1..=20 {
        let (mut client, mut arrived) = open_request(&rig, id);
        let value = value.clone();
        let writer = thread::spawn(move || {
            start_response(&mut arrived, &value, LONG_VALUE);
            arrived.reply("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
        });
        assert_eq!(read_first_byte(&mut client), (LONG_VALUE, b'a'));
        readers.push((client, writer));
    }
    // All values are in progress and no client reads.
    thread::sleep(Duration::from_millis(500));
    let peak = rig.gateway.peak_memory_kb();
    println!("peak memory: {peak} kB with 20 values of 4 MiB");
    assert!(peak < 32 << 10, "{peak} kB");
    for (mut client, writer) in readers {
        let mut received = vec![0; LONG_VALUE + 1];
        client.read_exact(&mut received).expect("read the whole value");
        assert!(received.ends_with(b"\r\n") && received[..LONG_VALUE - 1] == value.as_bytes()[1..]);
        writer.join().expect("writer thread");
    }
}
