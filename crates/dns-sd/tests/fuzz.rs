//! Random bytes and randomly modified answers are decoded or rejected, and never cause a panic.

use dns_sd::{
    decode_answer, encode_query, Answer, InstanceMetadata, Name, QueryType, Question, UnknownValue,
};
use proptest::prelude::*;

fn question() -> Question {
    Question { name: Name::from_ascii("_till._tcp.example.org.").expect("valid name"), kind: QueryType::Ptr }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..Default::default() })]

    #[test]
    fn decodes_or_rejects_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = decode_answer(&bytes, 7, &question());
    }

    #[test]
    fn decodes_or_rejects_modified_answers(
        labels in prop::collection::vec("[a-z]{1,20}", 1..8),
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut bytes = encode_query(7, &question()).expect("encodes");
        // Turns the query into a response, with its records between the question and the OPT record.
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
        let answer = decode_answer(&bytes, 7, &question());
        let unique_labels = labels.iter().collect::<std::collections::BTreeSet<_>>().len();
        let has_all =
            matches!(&answer, Ok(Answer::Records { records, .. }) if records.len() == unique_labels);
        prop_assert!(has_all, "{answer:?}");
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
        if let Ok(zone) = InstanceMetadata::read(&strings).zone {
            prop_assert!(zone.chars().count() <= 64 && !zone.chars().any(char::is_control));
        }
    }
}

#[test]
fn reads_txt_keys_by_rfc_6763() {
    let read = |strings: &[&str]| {
        let strings: Vec<Box<[u8]>> = strings.iter().map(|s| s.as_bytes().into()).collect();
        InstanceMetadata::read(&strings)
    };
    let metadata =
        read(&["ZONE=room", "type=m", "group=3", "status=Draining", "since=5", "zone=hall", "x=1", "=y"]);
    assert_eq!(
        (metadata.zone, metadata.instance_type, metadata.group, metadata.since_ms),
        (Ok("room".to_string()), Ok("m".to_string()), Ok(3), Ok(5.0))
    );
    assert_eq!(metadata.status, Ok(dns_sd::Status::Draining));
    assert_eq!(read(&[""]), InstanceMetadata::unknown(UnknownValue::Missing));
    for (invalid, key) in [
        ("group=-1", "group"),
        ("group=4294967296", "group"),
        ("group", "group"),
        ("status=up", "status"),
        ("since=1e9", "since"),
        ("zone=a\u{7}", "zone"),
    ] {
        let metadata = read(&[invalid]);
        let reasons =
            [metadata.group.err(), metadata.status.err(), metadata.since_ms.err(), metadata.zone.err()];
        let invalid_keys = reasons.into_iter().filter_map(|reason| match reason {
            Some(UnknownValue::Invalid(error)) => Some(error.key),
            _ => None,
        });
        assert_eq!(invalid_keys.collect::<Vec<_>>(), [key], "{invalid}");
    }
}
