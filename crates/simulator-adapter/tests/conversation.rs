//! Replays a recorded conversation with the simulator: the same frames must give the same replies, byte for
//! byte.
//!
//! The recording has every kind of record that the simulator writes and every kind of reply record except
//! two, which are tested in `src/wire/tests.rs`.

use std::collections::BTreeSet;
use std::io::Write;
use std::process::{Command, Stdio};

const CONVERSATION: &str = include_str!("data/conversation.hex");

/// Size of a frame header.
const FRAME_HEADER_BYTES: usize = 20;
/// Size of a reply header.
const REPLY_HEADER_BYTES: usize = 8;

fn decode_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "an even number of digits");
    let pairs = (0..hex.len()).step_by(2);
    pairs.map(|i| u8::from_str_radix(&hex[i..i + 2], 16).expect("hexadecimal digits")).collect()
}

/// Returns the recorded frames (prefix `> `) or replies (prefix `< `), in order.
fn messages(prefix: &str) -> Vec<Vec<u8>> {
    CONVERSATION.lines().filter_map(|line| line.strip_prefix(prefix)).map(decode_hex).collect()
}

/// Returns the codes of the records in `messages`.
fn record_codes(messages: &[Vec<u8>], header: usize) -> BTreeSet<u8> {
    let mut codes = BTreeSet::new();
    for message in messages {
        let mut rest = &message[header..];
        while let [code, a, b, c, d, after @ ..] = rest {
            codes.insert(*code);
            rest = &after[u32::from_be_bytes([*a, *b, *c, *d]) as usize..];
        }
    }
    codes
}

#[test]
fn recorded_frames_give_the_recorded_replies() {
    let (frames, replies) = (messages("> "), messages("< "));
    assert_eq!(frames.len(), replies.len());
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = adapter.stdin.take().expect("input");
    let all = frames.concat();
    let writer = std::thread::spawn(move || input.write_all(&all));
    let output = adapter.wait_with_output().expect("the adapter ends");
    writer.join().expect("no panic").expect("the adapter reads all frames");
    assert!(output.status.success());
    let mut at = 0;
    for (number, reply) in replies.iter().enumerate() {
        let end = (at + reply.len()).min(output.stdout.len());
        assert_eq!(&output.stdout[at..end], reply, "reply {number}");
        at = end;
    }
    assert_eq!(output.stdout.len(), at, "bytes after the last reply");
}

#[test]
fn conversation_has_every_kind_of_record() {
    assert_eq!(record_codes(&messages("> "), FRAME_HEADER_BYTES), (0..=12).collect());
    // All but 5 (report of a panic) and 10 (message to the other gateways).
    assert_eq!(record_codes(&messages("< "), REPLY_HEADER_BYTES), [0, 1, 2, 3, 4, 6, 7, 12, 13].into());
}
