//! Bytes of chance, and answers that chance has changed: read or refused, never a panic.

use dns_sd::{decode_answer, encode_query, Answer, InstanceMetadata, Name, QueryType, Question};
use proptest::prelude::*;

fn question() -> Question {
    Question { name: Name::from_ascii("_till._tcp.example.org.").expect("a name"), kind: QueryType::Ptr }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn decodes_or_rejects_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode_answer(&bytes, 7, &question());
    }

    #[test]
    fn decodes_or_rejects_changed_answers(
        labels in prop::collection::vec("[a-z]{1,20}", 1..8),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut bytes = encode_query(7, &question()).expect("it can be written");
        // An answer, with its answers between the question and what follows it.
        bytes[2] |= 0x80;
        bytes[7] = labels.len() as u8;
        let mut records = Vec::new();
        for label in &labels {
            records.extend([0xc0, 12, 0, 12, 0, 1, 0, 0, 0, 9, 0, label.len() as u8 + 3, label.len() as u8]);
            records.extend(label.as_bytes());
            records.extend([0xc0, 12]);
        }
        let end = bytes.len() - 11;
        bytes.splice(end..end, records);
        let good = decode_answer(&bytes, 7, &question());
        let many = labels.iter().collect::<std::collections::BTreeSet<_>>().len();
        let all = matches!(&good, Ok(Answer::Records { records, .. }) if records.len() == many);
        prop_assert!(all, "{good:?}");
        for (at, value) in changes {
            let at = at.index(bytes.len());
            bytes[at] = value;
        }
        let _ = decode_answer(&bytes, 7, &question());
    }

    #[test]
    fn reads_or_rejects_any_txt_strings(
        strings in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
    ) {
        let strings: Vec<Box<[u8]>> = strings.into_iter().map(Into::into).collect();
        if let Ok(traits) = InstanceMetadata::read(&strings) {
            prop_assert!(traits.zone.chars().count() <= 64 && !traits.zone.chars().any(char::is_control));
        }
    }
}

#[test]
fn reads_txt_keys_by_rfc_6763() {
    let read = |all: &[&str]| {
        let all: Vec<Box<[u8]>> = all.iter().map(|s| s.as_bytes().into()).collect();
        InstanceMetadata::read(&all)
    };
    let good =
        read(&["ZONE=room", "type=m", "group=3", "status=Draining", "since=5", "zone=hall", "x=1", "=y"]);
    let good = good.expect("good");
    assert_eq!(
        (good.zone.as_str(), good.instance_type.as_str(), good.group, good.since_ms),
        ("room", "m", 3, 5.0)
    );
    assert_eq!(good.status, dns_sd::Status::Draining);
    assert_eq!(read(&[""]), Ok(InstanceMetadata::default()));
    for (bad, key) in [
        ("group=-1", "group"),
        ("group=4294967296", "group"),
        ("group", "group"),
        ("status=up", "status"),
        ("since=1e9", "since"),
        ("zone=a\u{7}", "zone"),
    ] {
        assert_eq!(read(&[bad]).expect_err(bad).key, key);
    }
}
