//! A recorded conversation with the simulator: the same frames have the same replies, byte for byte.
//!
//! It holds each kind of record and event that the simulator writes, and each reply that the decisions bring
//! forth; `src/wire/tests.rs` has the two replies that no conversation does.

use std::collections::BTreeSet;
use std::io::Write;
use std::process::{Command, Stdio};

const CONVERSATION: &str = include_str!("data/conversation.hex");

/// Bytes of a frame's header.
const FRAME_HEADER: usize = 20;
/// Bytes of a reply's header.
const REPLY_HEADER: usize = 8;

fn bytes(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "whole bytes");
    let pairs = (0..hex.len()).step_by(2);
    pairs.map(|i| u8::from_str_radix(&hex[i..i + 2], 16).expect("hexadecimal digits")).collect()
}

/// The frames (`> `) or the replies (`< `), in order.
fn side(mark: &str) -> Vec<Vec<u8>> {
    CONVERSATION.lines().filter_map(|line| line.strip_prefix(mark)).map(bytes).collect()
}

/// The kinds of records that some messages hold.
fn kinds(messages: &[Vec<u8>], header: usize) -> BTreeSet<u8> {
    let mut kinds = BTreeSet::new();
    for message in messages {
        let mut rest = &message[header..];
        while let [kind, a, b, c, d, after @ ..] = rest {
            kinds.insert(*kind);
            rest = &after[u32::from_be_bytes([*a, *b, *c, *d]) as usize..];
        }
    }
    kinds
}

#[test]
fn recorded_frames_have_the_recorded_replies() {
    let (frames, replies) = (side("> "), side("< "));
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
fn the_conversation_holds_every_kind_of_record() {
    assert_eq!(kinds(&side("> "), FRAME_HEADER), (0..=12).collect());
    // All but 5, the report of a panic, and 10, a message to other gateways.
    assert_eq!(kinds(&side("< "), REPLY_HEADER), [0, 1, 2, 3, 4, 6, 7, 12, 13].into());
}
