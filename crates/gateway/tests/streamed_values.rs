//! Long values and slow peers at the built gateway, on loopback sockets.

#[path = "support/gateway_rig.rs"]
mod gateway_rig;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use gateway_rig::*;

const LONG: usize = 4 << 20;

/// Text in which every place is told from its neighbours.
fn text(length: usize) -> String {
    (0..length).map(|i| char::from(b'a' + (i % 23) as u8)).collect()
}

/// Answers with a value whose first part alone comes; what is left to say is given back.
fn begin<'a>(arrived: &mut Arrived, value: &'a str, first: usize) -> &'a str {
    arrived.say(&format!("*3\r\n${}\r\n{}", value.len(), &value[..first]));
    &value[first..]
}

/// The head of a value as a client reads it, and the first byte.
fn first_byte(stream: &mut TcpStream) -> (usize, u8) {
    let (mut head, mut byte) = (String::new(), [0]);
    while !head.ends_with("\r\n") {
        stream.read_exact(&mut byte).expect("read the header");
        head.push(char::from(byte[0]));
    }
    stream.read_exact(&mut byte).expect("read the first byte");
    (head.trim().trim_start_matches('$').parse().expect("length"), byte[0])
}

fn open(rig: &Rig, id: u64) -> (TcpStream, Arrived) {
    let mut stream = TcpStream::connect(rig.gateway.address).expect("connect to the gateway");
    stream.set_read_timeout(Some(PATIENCE)).expect("set the read timeout");
    stream.write_all(&command(&words(&call(id, "safe", "free", 1, 8000)))).expect("write to the socket");
    (stream, rig.next_request().1)
}

#[test]
fn a_long_value_goes_on_at_once_and_the_connections_are_used_again() {
    let rig = Rig::with_config(1, |_| {});
    let (mut client, mut arrived) = open(&rig, 1);
    let value = text(LONG);
    let rest = begin(&mut arrived, &value, 1);
    // The first byte is there though the backend has not given more.
    assert_eq!(first_byte(&mut client), (LONG, b'a'));
    let reader = thread::spawn(move || {
        let mut got = vec![0; LONG + 1];
        client.read_exact(&mut got).expect("read the whole value");
        (client, got)
    });
    for piece in rest.as_bytes().chunks(7_777) {
        arrived.say(std::str::from_utf8(piece).expect("UTF-8 text"));
    }
    let (mut client, got) = reader.join().expect("read");
    assert!(got.ends_with(b"\r\n") && &got[..LONG - 1] == rest.as_bytes());
    arrived.say("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
    // Both connections go on. What stands behind the value is read before the backend's serves again.
    client.write_all(&command(&words(&call(2, "safe", "free", 1, 8000)))).expect("write to the socket");
    let (_, mut next) = rig.next_request();
    next.serve("fine");
    let mut answer = [0; 10];
    client.read_exact(&mut answer).expect("read the response");
    assert_eq!(&answer, b"$4\r\nfine\r\n");
}

#[test]
fn a_value_that_breaks_off_ends_the_connection_before_its_length() {
    let rig = Rig::with_config(2, |_| {});
    let (mut client, mut arrived) = open(&rig, 1);
    let value = text(200_000);
    begin(&mut arrived, &value, 100_000);
    arrived.close();
    let mut got = Vec::new();
    let _ = client.read_to_end(&mut got);
    assert!(got.len() < 200_000, "{} bytes", got.len());
    assert!(got.starts_with(b"$200000\r\nabc"));
    // Safe to repeat, but part of it was passed on: there is no other attempt.
    assert!(rig.backends_idle());
}

#[test]
fn small_answers_in_pieces_are_waited_for() {
    let rig = Rig::with_config(1, |_| {});
    let mut client = rig.gateway.client();
    client.send(&words(&call(1, "safe", "free", 1, 8000)));
    let (_, mut arrived) = rig.next_request();
    for byte in "*3\r\n$4\r\nfine\r\n$13\r\nused=0,cost=1\r\n$-1\r\n".chars() {
        arrived.say(&byte.to_string());
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(client.read(), "fine");
}

/// Guards against values that nobody reads yet, held whole. Under 32 MB come twenty of 4 MiB.
#[test]
fn more_long_values_than_memory_holds_pass_to_slow_readers() {
    let rig = Rig::with_config(1, |config| config["limits"]["memory_mb"] = serde_json::json!(32));
    let value = text(LONG);
    let mut readers = Vec::new();
    for id in 1..=20 {
        let (mut client, mut arrived) = open(&rig, id);
        let value = value.clone();
        let writer = thread::spawn(move || {
            begin(&mut arrived, &value, LONG);
            arrived.say("\r\n$13\r\nused=0,cost=1\r\n$-1\r\n");
        });
        assert_eq!(first_byte(&mut client), (LONG, b'a'));
        readers.push((client, writer));
    }
    // All are under way and nobody reads.
    thread::sleep(Duration::from_millis(500));
    let peak = rig.gateway.peak_memory_kb();
    println!("{peak} kB at 20 values of 4 MiB");
    assert!(peak < 32 << 10, "{peak} kB");
    for (mut client, writer) in readers {
        let mut got = vec![0; LONG + 1];
        client.read_exact(&mut got).expect("read the whole value");
        assert!(got.ends_with(b"\r\n") && got[..LONG - 1] == value.as_bytes()[1..]);
        writer.join().expect("written");
    }
}
