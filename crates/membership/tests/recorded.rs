//! Datagrams as released versions write them: recorded bytes are read, and written again to the same.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use membership::lease::{Given, Member, Message};
use membership::wire::{read, write, Body, Dropped, Fleet};

const FLEET: &str = "ub-room";

fn data() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/datagrams.hex")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut all, byte| {
        write!(all, "{byte:02x}").expect("a string takes all");
        all
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("digits"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hex")).collect()
}

/// Each kind of body and message, with small values and the greatest.
fn bodies() -> Vec<(&'static str, Body)> {
    let member = Member { number: 3, life: 1_800_000_000_000 };
    let greatest = Member { number: u32::MAX, life: u64::MAX };
    let lease = |life, message| Body::Lease { from: member, life, message };
    let far = |message| Body::Lease { from: greatest, life: Some(u64::MAX), message };
    let (n, slot) = (300, 65_536);
    vec![
        ("gossip", Body::Gossip(vec![0, 1, 127, 128, 255])),
        ("gossip-empty", Body::Gossip(vec![])),
        ("view", Body::View { from: 1, digest: 0x0123_4567_89ab_cdef }),
        ("view-greatest", Body::View { from: u32::MAX, digest: u64::MAX }),
        ("renew", lease(None, Message::Renew { n })),
        ("renewed-nothing", lease(Some(7), Message::Renewed { n, out: Given::Nothing })),
        ("renewed-lent", lease(Some(7), Message::Renewed { n, out: Given::Lent })),
        ("renewed-whole", lease(Some(7), Message::Renewed { n, out: Given::Whole })),
        ("claim", lease(None, Message::Claim { n, slot })),
        ("claimed-nothing", lease(Some(7), Message::Claimed { n, slot, given: Given::Nothing })),
        ("claimed-lent", lease(Some(7), Message::Claimed { n, slot, given: Given::Lent })),
        ("claimed-whole", lease(Some(7), Message::Claimed { n, slot, given: Given::Whole })),
        ("borrow", lease(None, Message::Borrow { n, units: 0 })),
        ("loan", lease(Some(0), Message::Loan { n, units: 12, lasts_ms: 4_000 })),
        ("claim-greatest", far(Message::Claim { n: u64::MAX, slot: u32::MAX })),
        ("loan-greatest", far(Message::Loan { n: u64::MAX, units: u64::MAX, lasts_ms: u64::MAX })),
    ]
}

fn write_all() -> String {
    let mut text = String::new();
    for (name, body) in bodies() {
        let bytes = write(Fleet::named(FLEET), &body).expect("short");
        writeln!(text, "{name} {}", hex(&bytes)).expect("a string takes all");
    }
    text
}

#[test]
fn writes_the_recorded_bytes() {
    assert_eq!(write_all(), std::fs::read_to_string(data()).expect("recorded"));
}

#[test]
fn reads_recorded_bytes_and_writes_them_again() {
    let recorded = std::fs::read_to_string(data()).expect("recorded");
    assert_eq!(recorded.lines().count(), bodies().len());
    for (line, (name, body)) in recorded.lines().zip(bodies()) {
        let bytes = unhex(line.strip_prefix(name).and_then(|rest| rest.strip_prefix(' ')).expect("a name"));
        let parsed = read(Fleet::named(FLEET), &bytes);
        assert_eq!(parsed, Ok(body.clone()), "{name}");
        assert_eq!(write(Fleet::named(FLEET), &body), Some(bytes), "{name}");
    }
}

#[test]
fn reasons_to_drop_a_datagram_have_their_words() {
    let words = [Dropped::Length, Dropped::Garbled, Dropped::Old, Dropped::Future, Dropped::Foreign]
        .map(|why| why.to_string());
    assert_eq!(words, ["length", "garbled", "old", "future", "foreign"]);
}
