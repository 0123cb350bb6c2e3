//! The keys of a TXT record and the exact error texts for invalid values.

use dns_sd::{InstanceMetadata, Status, TxtKey, TxtValue, UnknownValue};

fn strings(strings: &[&[u8]]) -> Vec<Box<[u8]>> {
    strings.iter().map(|string| Box::from(*string)).collect()
}

fn read(texts: &[&[u8]]) -> InstanceMetadata {
    InstanceMetadata::read(&strings(texts))
}

fn read_all(records: &[&[&[u8]]]) -> InstanceMetadata {
    let records: Vec<Vec<Box<[u8]>>> = records.iter().map(|record| strings(record)).collect();
    InstanceMetadata::read_all(records.iter().map(Vec::as_slice))
}

/// Returns the error texts of the keys with invalid values, in the order of [`TxtKey`].
fn errors(metadata: &InstanceMetadata) -> Vec<String> {
    fn error<T>(value: &TxtValue<T>) -> Option<String> {
        value.as_ref().err().filter(|reason| **reason != UnknownValue::Missing).map(ToString::to_string)
    }
    let InstanceMetadata { zone, instance_type, group, status, since_ms } = metadata;
    let errors = [error(zone), error(instance_type), error(group), error(status), error(since_ms)];
    errors.into_iter().flatten().collect()
}

#[test]
fn reads_each_key() {
    let strings: [&[u8]; 5] =
        [b"zone=room-1", b"type=m5", b"group=4294967295", b"status=draining", b"since=9007199254740991"];
    let expected = InstanceMetadata {
        zone: Ok("room-1".to_string()),
        instance_type: Ok("m5".to_string()),
        group: Ok(u32::MAX),
        status: Ok(Status::Draining),
        since_ms: Ok(9_007_199_254_740_991.0),
    };
    assert_eq!(read(&strings), expected);
    let missing = InstanceMetadata::unknown(UnknownValue::Missing);
    assert_eq!(read(&[]), missing);
    // Unknown keys, keys with extra spaces, a string without a key, and an empty string.
    assert_eq!(read(&[b"weight=5", b" zone=a", b"zone =a", b"=zone", b"", b"name=x"]), missing);
    assert_eq!(read_all(&[]), missing);
}

#[test]
fn keys_are_case_insensitive_and_the_first_occurrence_counts() {
    let metadata = read(&[b"ZONE=a=b", b"zone=c", b"Group=007", b"STATUS=Serving", b"status=odd", b"Type"]);
    assert_eq!(
        (metadata.zone, metadata.group, metadata.status, metadata.instance_type),
        (Ok("a=b".to_string()), Ok(7), Ok(Status::Serving), Ok(String::new()))
    );
    let invalid_first = read(&[b"group=x", b"group=7"]);
    assert!(invalid_first.group.is_err(), "{invalid_first:?}");
}

/// Guards against a value from one of several records where another one contradicts it, or has no key at all.
#[test]
fn several_records_have_to_agree() {
    let metadata = read_all(&[&[b"group=1", b"zone=a", b"since=5"], &[b"group=2", b"zone=a"], &[b"v=x"]]);
    assert_eq!(metadata.group, Err(UnknownValue::Contradictory));
    assert_eq!((metadata.zone, metadata.since_ms), (Ok("a".to_string()), Ok(5.0)));
    assert_eq!(metadata.status, Err(UnknownValue::Missing));
    for records in [[&[b"group=1" as &[u8]], &[b"group=x" as &[u8]]], [&[b"group=x"], &[b"group=1"]]] {
        let metadata = read_all(&[records[0], records[1]]);
        assert!(matches!(metadata.group, Err(UnknownValue::Invalid(_))), "{metadata:?}");
    }
    let three = read_all(&[&[b"group=1"], &[b"group=2"], &[b"group=1"]]);
    assert_eq!(three.group, Err(UnknownValue::Contradictory));
}

#[test]
fn length_limit_of_values_counts_characters() {
    let long = format!("zone={}", "ä".repeat(64));
    assert_eq!(read(&[long.as_bytes()]).zone.expect("valid").chars().count(), 64);
}

#[test]
fn txt_errors_have_recorded_texts() {
    let long = format!("type={}", "a".repeat(65));
    let word = |key| format!("TXT {key}: a word of 64 characters at most is wanted");
    let group = "TXT group: a whole number below 2^32 is wanted".to_string();
    let status = "TXT status: serving or draining is wanted".to_string();
    let since = "TXT since: Unix time in ms is wanted".to_string();
    let cases: [(&[u8], &String); 19] = [
        (b"zone=\xff", &word("zone")),
        (b"zone=a\tb", &word("zone")),
        (b"TYPE=\x7f", &word("type")),
        (long.as_bytes(), &word("type")),
        (b"group", &group),
        (b"group=", &group),
        (b"group=-1", &group),
        (b"group=+1", &group),
        (b"group= 1", &group),
        (b"group=1.0", &group),
        (b"group=4294967296", &group),
        (b"group=99999999999999999999", &group),
        (b"status", &status),
        (b"status=", &status),
        (b"status=deleted", &status),
        (b"status=serving ", &status),
        (b"since=", &since),
        (b"since=1e3", &since),
        (b"since=9007199254740992", &since),
    ];
    for (string, text) in cases {
        assert_eq!(
            &errors(&read(&[string])),
            std::slice::from_ref(text),
            "{:?}",
            String::from_utf8_lossy(string)
        );
    }
    // Each invalid value is reported, and the valid ones are kept.
    let mixed = read(&[b"zone=a", b"since=x", b"group=x"]);
    assert_eq!((errors(&mixed), mixed.zone), (vec![group, since], Ok("a".to_string())));
    let reasons = [UnknownValue::Missing, UnknownValue::Contradictory, UnknownValue::Unanswered];
    let texts = reasons.map(|reason| reason.to_string());
    assert_eq!(texts, ["missing", "several TXT records differ", "TXT unanswered"]);
    assert_eq!(TxtKey::ALL.map(TxtKey::as_str), ["zone", "type", "group", "status", "since"]);
}
