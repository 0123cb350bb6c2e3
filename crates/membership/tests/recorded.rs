//! Checks that the recorded datagrams of released versions are decoded, and encoded to the same bytes.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use membership::lease::{Grant, Member, Message};
use membership::wire::{decode, encode, DropReason, FleetId, Payload};

const FLEET: &str = "ub-room";

fn recorded_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/datagrams.hex")
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut all, byte| {
        write!(all, "{byte:02x}").expect("writing to a string succeeds");
        all
    })
}

fn unhex(text: &str) -> Vec<u8> {
    let pairs = text.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("digits"));
    pairs.map(|pair| u8::from_str_radix(pair, 16).expect("hex")).collect()
}

/// Returns each kind of payload and message, with small and with maximum values.
fn payloads() -> Vec<(&'static str, Payload)> {
    let member = Member { number: 3, incarnation: 1_800_000_000_000 };
    let greatest = Member { number: u32::MAX, incarnation: u64::MAX };
    let lease = |incarnation, message| Payload::Lease { from: member, incarnation, message };
    let lease_greatest = |message| Payload::Lease { from: greatest, incarnation: Some(u64::MAX), message };
    let (n, slot) = (300, 65_536);
    vec![
        ("gossip", Payload::Gossip(vec![0, 1, 127, 128, 255])),
        ("gossip-empty", Payload::Gossip(vec![])),
        ("view", Payload::View { from: 1, digest: 0x0123_4567_89ab_cdef }),
        ("view-greatest", Payload::View { from: u32::MAX, digest: u64::MAX }),
        ("renew", lease(None, Message::Renew { request_id: n })),
        ("renewed-nothing", lease(Some(7), Message::Renewed { request_id: n, granted: Grant::Nothing })),
        ("renewed-lent", lease(Some(7), Message::Renewed { request_id: n, granted: Grant::Lent })),
        ("renewed-whole", lease(Some(7), Message::Renewed { request_id: n, granted: Grant::Whole })),
        ("claim", lease(None, Message::Claim { request_id: n, slot })),
        ("claimed-nothing", lease(Some(7), Message::Claimed { request_id: n, slot, grant: Grant::Nothing })),
        ("claimed-lent", lease(Some(7), Message::Claimed { request_id: n, slot, grant: Grant::Lent })),
        ("claimed-whole", lease(Some(7), Message::Claimed { request_id: n, slot, grant: Grant::Whole })),
        ("borrow", lease(None, Message::Borrow { request_id: n, units: 0 })),
        ("loan", lease(Some(0), Message::Loan { request_id: n, units: 12, duration_ms: 4_000 })),
        ("claim-greatest", lease_greatest(Message::Claim { request_id: u64::MAX, slot: u32::MAX })),
        (
            "loan-greatest",
            lease_greatest(Message::Loan { request_id: u64::MAX, units: u64::MAX, duration_ms: u64::MAX }),
        ),
    ]
}

fn encode_all() -> String {
    let mut text = String::new();
    for (name, payload) in payloads() {
        let bytes = encode(FleetId::from_name(FLEET), &payload).expect("payload fits");
        writeln!(text, "{name} {}", hex(&bytes)).expect("writing to a string succeeds");
    }
    text
}

#[test]
fn encodes_to_the_recorded_bytes() {
    assert_eq!(encode_all(), std::fs::read_to_string(recorded_path()).expect("recorded"));
}

#[test]
fn recorded_datagrams_decode_and_encode_unchanged() {
    let recorded = std::fs::read_to_string(recorded_path()).expect("recorded");
    assert_eq!(recorded.lines().count(), payloads().len());
    for (line, (name, payload)) in recorded.lines().zip(payloads()) {
        let bytes = unhex(line.strip_prefix(name).and_then(|rest| rest.strip_prefix(' ')).expect("a name"));
        let parsed = decode(FleetId::from_name(FLEET), &bytes);
        assert_eq!(parsed, Ok(payload.clone()), "{name}");
        assert_eq!(encode(FleetId::from_name(FLEET), &payload), Some(bytes), "{name}");
    }
}

#[test]
fn drop_reasons_have_the_recorded_texts() {
    let texts = [
        DropReason::BadLength,
        DropReason::Corrupt,
        DropReason::OlderVersion,
        DropReason::NewerVersion,
        DropReason::OtherFleet,
    ]
    .map(|why| why.to_string());
    assert_eq!(texts, ["length", "garbled", "old", "future", "foreign"]);
}
