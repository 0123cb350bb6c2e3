//! Encoding of replies that the recorded conversation does not cover: a message to the other gateways, the
//! report of a panic, and an attempt with a write deadline.

use super::*;
use gateway_policy::interface::Action;

#[test]
fn broadcast_to_peers_is_encoded_exactly() {
    let mut reply = Reply::new(258);
    reply.action(3, &Action::BroadcastToPeers { body: b"abc".to_vec() });
    let expected = [
        &[0, 0, 1, 2, 0, 0, 0, 19][..],
        &[4, 0, 0, 0, 2, 0, 3],
        &[10, 0, 0, 0, 7, 0xff, 0xff, 0, 3, b'a', b'b', b'c'],
    ];
    assert_eq!(reply.finish(), expected.concat());
}

#[test]
fn panic_report_is_encoded_exactly_and_truncated() {
    let mut reply = Reply::new(1);
    reply.panic(2, "oh");
    let expected =
        [&[0, 0, 0, 1, 0, 0, 0, 16][..], &[4, 0, 0, 0, 2, 0, 2], &[5, 0, 0, 0, 4, 0, 2, b'o', b'h']];
    assert_eq!(reply.finish(), expected.concat());

    let mut reply = Reply::new(1);
    reply.panic(2, &"x".repeat(70_000));
    let encoded = reply.finish();
    assert_eq!(encoded[8..22], [4, 0, 0, 0, 2, 0, 2, 5, 0, 1, 0, 1, 0xff, 0xff]);
    assert_eq!(encoded.len(), 22 + 65_535);
}

#[test]
fn attempt_is_encoded_without_its_write_deadline() {
    let mut reply = Reply::new(1);
    for write_deadline_ms in [None, Some(1.0)] {
        reply.action(2, &Action::SendAttempt { id: 9, backend: 77, write_deadline_ms });
    }
    let send = [&[6, 0, 0, 0, 20][..], &9u64.to_be_bytes(), &77u32.to_be_bytes(), &[0; 8]].concat();
    let expected = [&[0, 0, 0, 1, 0, 0, 0, 57][..], &[4, 0, 0, 0, 2, 0, 2], &send, &send];
    assert_eq!(reply.finish(), expected.concat());
}
