//! Streamed values and slow peers at the built gateway, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

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
