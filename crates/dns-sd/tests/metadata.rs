//! The keys of a TXT record and the exact error texts for invalid values.

use dns_sd::{InstanceMetadata, Status};

fn read(strings: &[&[u8]]) -> Result<InstanceMetadata, String> {
    let strings: Vec<Box<[u8]>> = strings.iter().map(|s| Box::from(*s)).collect();
    InstanceMetadata::read(&strings).map_err(|error| error.to_string())
}

#[test]
fn reads_each_key() {
    let strings: [&[u8]; 5] =
        [b"zone=room-1", b"type=m5", b"group=4294967295", b"status=draining", b"since=9007199254740991"];
    let expected = InstanceMetadata {
        zone: "room-1".to_string(),
        instance_type: "m5".to_string(),
        group: u32::MAX,
        status: Status::Draining,
        since_ms: 9_007_199_254_740_991.0,
    };
    assert_eq!(read(&strings), Ok(expected));
    let defaults = InstanceMetadata {
        zone: String::new(),
        instance_type: String::new(),
        group: 0,
        status: Status::Serving,
        since_ms: 0.0,
    };
    assert_eq!(read(&[]), Ok(defaults.clone()));
    // Unknown keys, keys with extra spaces, a string without a key, and an empty string.
    assert_eq!(read(&[b"weight=5", b" zone=a", b"zone =a", b"=zone", b"", b"name=x"]), Ok(defaults));
}

#[test]
fn keys_are_case_insensitive_and_the_first_occurrence_counts() {
    let metadata = read(&[b"ZONE=a=b", b"zone=c", b"Group=007", b"STATUS=Serving", b"status=odd", b"Type"])
        .expect("valid");
    assert_eq!(
        (&metadata.zone[..], metadata.group, metadata.status, &metadata.instance_type[..]),
        ("a=b", 7, Status::Serving, "")
    );
}

#[test]
fn length_limit_of_values_counts_characters() {
    let long = format!("zone={}", "ä".repeat(64));
    assert_eq!(read(&[long.as_bytes()]).expect("valid").zone.chars().count(), 64);
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
        assert_eq!(read(&[string]).as_ref(), Err(text), "{:?}", String::from_utf8_lossy(string));
    }
    // The error is that of the first invalid value, in the order of the strings.
    assert_eq!(read(&[b"zone=a", b"since=x", b"group=x"]), Err(since));
}
