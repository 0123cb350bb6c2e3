//! Datagrams: what is read, and what is dropped and why.

use membership::lease::{Given, Member, Message};
use membership::wire::{read, write, Body, Dropped, Fleet, MAX_DATAGRAM_BYTES, VERSION};
use proptest::prelude::*;

fn fleet() -> Fleet {
    Fleet::named("ub-room")
}

fn body() -> impl Strategy<Value = Body> {
    let message = prop_oneof![
        any::<u64>().prop_map(|n| Message::Renew { n }),
        any::<u64>().prop_map(|n| Message::Renewed { n, out: Given::Lent }),
        (any::<u64>(), any::<u32>()).prop_map(|(n, slot)| Message::Claim { n, slot }),
        (any::<u64>(), any::<u32>()).prop_map(|(n, slot)| Message::Claimed { n, slot, given: Given::Whole }),
        (any::<u64>(), any::<u64>()).prop_map(|(n, units)| Message::Borrow { n, units }),
        (any::<u64>(), any::<u64>()).prop_map(|(n, units)| Message::Loan { n, units, lasts_ms: units }),
    ];
    let member = (any::<u32>(), any::<u64>()).prop_map(|(number, life)| Member { number, life });
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..1_300).prop_map(Body::Gossip),
        (member, any::<Option<u64>>(), message).prop_map(|(from, life, message)| Body::Lease {
            from,
            life,
            message
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_written_is_read_and_a_bit_that_fell_over_is_noticed(
        body in body(), bit in any::<prop::sample::Index>()
    ) {
        let mut bytes = write(fleet(), &body).expect("short");
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(read(fleet(), &bytes), Ok(body));
        let bit = bit.index(bytes.len() * 8);
        bytes[bit / 8] ^= 1 << (bit % 8);
        prop_assert_eq!(read(fleet(), &bytes), Err(Dropped::Garbled));
    }

    #[test]
    fn garbage_is_dropped(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        prop_assert!(read(fleet(), &bytes).is_err());
    }
}

/// A datagram with another first byte, and a checksum that is right.
fn of_version(version: u8) -> Vec<u8> {
    let written = write(fleet(), &Body::Gossip(vec![1, 2, 3])).expect("short");
    let mut bytes = written[..written.len() - 8].to_vec();
    bytes[0] = version;
    let sum = blake3::hash(&bytes);
    bytes.extend(&sum.as_bytes()[..8]);
    bytes
}

#[test]
fn other_versions_other_fleets_and_long_ones_are_told_apart() {
    assert_eq!(read(fleet(), &of_version(VERSION)), Ok(Body::Gossip(vec![1, 2, 3])));
    assert_eq!(read(fleet(), &of_version(VERSION - 1)), Err(Dropped::Old));
    assert_eq!(read(fleet(), &of_version(VERSION + 1)), Err(Dropped::Future));
    let other = write(Fleet::named("ub-hall"), &Body::Gossip(vec![1])).expect("short");
    assert_eq!(read(fleet(), &other), Err(Dropped::Foreign));
    assert_eq!(read(fleet(), &[0; MAX_DATAGRAM_BYTES + 1]), Err(Dropped::Length));
    assert_eq!(read(fleet(), &[0; 7]), Err(Dropped::Length));
    assert_eq!(write(fleet(), &Body::Gossip(vec![0; MAX_DATAGRAM_BYTES])), None);
    // What follows a body is not read over.
    let mut long = of_version(VERSION);
    long.truncate(long.len() - 8);
    long.push(7);
    let sum = blake3::hash(&long);
    long.extend(&sum.as_bytes()[..8]);
    assert_eq!(read(fleet(), &long), Err(Dropped::Garbled));
}
