//! Encoding and decoding of datagrams, and the reasons to drop them.

use membership::lease::{Grant, Member, Message};
use membership::wire::{decode, encode, DropReason, FleetId, Payload, MAX_DATAGRAM_BYTES, VERSION};
use proptest::prelude::*;

fn fleet() -> FleetId {
    FleetId::from_name("ub-room")
}

fn payload() -> impl Strategy<Value = Payload> {
    let message = prop_oneof![
        any::<u64>().prop_map(|request_id| Message::Renew { request_id }),
        any::<u64>().prop_map(|request_id| Message::Renewed { request_id, granted: Grant::Lent }),
        (any::<u64>(), any::<u32>()).prop_map(|(request_id, slot)| Message::Claim { request_id, slot }),
        (any::<u64>(), any::<u32>()).prop_map(|(request_id, slot)| Message::Claimed {
            request_id,
            slot,
            grant: Grant::Whole
        }),
        (any::<u64>(), any::<u64>()).prop_map(|(request_id, units)| Message::Borrow { request_id, units }),
        (any::<u64>(), any::<u64>()).prop_map(|(request_id, units)| Message::Loan {
            request_id,
            units,
            duration_ms: units
        }),
    ];
    let member =
        (any::<u32>(), any::<u64>()).prop_map(|(number, incarnation)| Member { number, incarnation });
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..1_300).prop_map(Payload::Gossip),
        (member, any::<Option<u64>>(), message).prop_map(|(from, incarnation, message)| Payload::Lease {
            from,
            incarnation,
            message
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn decodes_encoded_payloads_and_detects_flipped_bits(
        payload in payload(), bit in any::<prop::sample::Index>()
    ) {
        let mut bytes = encode(fleet(), &payload).expect("payload fits");
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(decode(fleet(), &bytes), Ok(payload));
        let bit = bit.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert_eq!(decode(fleet(), &bytes), Err(DropReason::Corrupt));
    }

    #[test]
    fn rejects_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(decode(fleet(), &bytes).is_err());
    }
}

/// Returns a datagram with another version and a valid checksum.
fn datagram_of_version(version: u8) -> Vec<u8> {
    let encoded = encode(fleet(), &Payload::Gossip(vec![1, 2, 3])).expect("payload fits");
    let mut bytes = encoded[..encoded.len() - 8].to_vec();
    bytes[0] = version;
    let checksum = blake3::hash(&bytes);
    bytes.extend(&checksum.as_bytes()[..8]);
    bytes
}

#[test]
fn rejects_other_versions_other_fleets_and_bad_lengths() {
    assert_eq!(decode(fleet(), &datagram_of_version(VERSION)), Ok(Payload::Gossip(vec![1, 2, 3])));
    assert_eq!(decode(fleet(), &datagram_of_version(VERSION - 1)), Err(DropReason::OlderVersion));
    assert_eq!(decode(fleet(), &datagram_of_version(VERSION + 1)), Err(DropReason::NewerVersion));
    let other = encode(FleetId::from_name("ub-hall"), &Payload::Gossip(vec![1])).expect("payload fits");
    assert_eq!(decode(fleet(), &other), Err(DropReason::OtherFleet));
    assert_eq!(decode(fleet(), &[0; MAX_DATAGRAM_BYTES + 1]), Err(DropReason::BadLength));
    assert_eq!(decode(fleet(), &[0; 7]), Err(DropReason::BadLength));
    assert_eq!(encode(fleet(), &Payload::Gossip(vec![0; MAX_DATAGRAM_BYTES])), None);
    // Bytes after the payload are not ignored.
    let mut long = datagram_of_version(VERSION);
    long.truncate(long.len() - 8);
    long.push(7);
    let checksum = blake3::hash(&long);
    long.extend(&checksum.as_bytes()[..8]);
    assert_eq!(decode(fleet(), &long), Err(DropReason::Corrupt));
}
