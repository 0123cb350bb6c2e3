//! The keys of a TXT record: which are read, and the exact text of what is wrong.

use dns_sd::{InstanceMetadata, Status};

fn read(strings: &[&[u8]]) -> Result<InstanceMetadata, String> {
    let strings: Vec<Box<[u8]>> = strings.iter().map(|s| Box::from(*s)).collect();
    InstanceMetadata::read(&strings).map_err(|bad| bad.to_string())
}

#[test]
fn reads_each_key() {
    let all: [&[u8]; 5] =
        [b"zone=room-1", b"type=m5", b"group=4294967295", b"status=draining", b"since=9007199254740991"];
    let wanted = InstanceMetadata {
        zone: "room-1".to_string(),
        instance_type: "m5".to_string(),
        group: u32::MAX,
        status: Status::Draining,
        since_ms: 9_007_199_254_740_991.0,
    };
    assert_eq!(read(&all), Ok(wanted));
    let none = InstanceMetadata {
        zone: String::new(),
        instance_type: String::new(),
        group: 0,
        status: Status::Serving,
        since_ms: 0.0,
    };
    assert_eq!(read(&[]), Ok(none.clone()));
    // Unknown keys, keys that only look alike, strings without a key, and an empty one.
    assert_eq!(read(&[b"weight=5", b" zone=a", b"zone =a", b"=zone", b"", b"name=x"]), Ok(none));
}

#[test]
fn reads_keys_in_any_case_and_the_first_of_several() {
    let read = read(&[b"ZONE=a=b", b"zone=c", b"Group=007", b"STATUS=Serving", b"status=odd", b"Type"])
        .expect("sound");
    assert_eq!(
        (&read.zone[..], read.group, read.status, &read.instance_type[..]),
        ("a=b", 7, Status::Serving, "")
    );
}

#[test]
fn reads_values_of_64_characters_whatever_their_bytes() {
    let long = format!("zone={}", "ä".repeat(64));
    assert_eq!(read(&[long.as_bytes()]).expect("sound").zone.chars().count(), 64);
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
    // The first one that does not fit is told, in the order of the strings.
    assert_eq!(read(&[b"zone=a", b"since=x", b"group=x"]), Err(since));
}
