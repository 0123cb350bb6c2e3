use proptest::prelude::*;
use serde_json::{json, Value};

use super::*;

fn entry(name: &str, port: u16) -> Value {
    json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "z", "group": 1,
           "status": "SERVING", "weight": 1.0, "since_ms": 0.0})
}

fn parse(entries: &[Value]) -> EndpointList {
    let text = json!({"index": 7, "snapshot": true, "endpoints": entries}).to_string();
    EndpointList::parse(text.as_bytes()).expect("a valid list")
}

#[test]
fn rejects_invalid_entries_by_name_and_keeps_the_others() {
    let mut entries = vec![entry("a", 1), entry("b", 2), entry("c", 3), entry("d", 4), entry("e", 5)];
    entries[1]["address"] = "backend:80".into();
    entries[2]["status"] = "IDLE".into();
    entries[3] = 7.into();
    entries[4]["name"] = "".into();
    let list = parse(&entries);
    assert_eq!(list.endpoints.iter().map(|e| e.name.as_str()).collect::<Vec<_>>(), ["a"]);
    let messages: Vec<String> = list.rejected.iter().map(ToString::to_string).collect();
    assert!(messages[0].starts_with("endpoints[1] \"b\": invalid socket address"), "{messages:?}");
    assert!(messages[1].starts_with("endpoints[2] \"c\": unknown variant `IDLE`"), "{messages:?}");
    assert!(messages[2].starts_with("endpoints[3]: invalid type"), "{messages:?}");
    assert!(messages[3].contains("its name is empty"), "{messages:?}");
    assert_eq!(list.unreadable_names(), ["b", "c", ""]);
}

#[test]
fn accepts_an_ipv6_address() {
    let mut ipv6 = entry("a", 1);
    ipv6["address"] = "[::1]:80".into();
    let list = parse(&[ipv6]);
    assert!(list.endpoints[0].address.is_ipv6() && list.rejected.is_empty());
}

#[test]
fn uses_the_last_of_two_entries_with_one_name() {
    let mut invalid = entry("b", 9);
    invalid["group"] = (-1).into();
    let list = parse(&[entry("a", 1), entry("b", 2), entry("a", 3), invalid]);
    let kept: Vec<(&str, u16)> = list.endpoints.iter().map(|e| (e.name.as_str(), e.address.port())).collect();
    assert_eq!(kept, [("b", 2), ("a", 3)]);
    assert_eq!(list.rejected.len(), 2, "{:?}", list.rejected);
    assert!(list.rejected[0].problem.to_string().contains("endpoints[2]"), "{:?}", list.rejected);
    // The last entry for "b" is invalid, but an earlier one is valid.
    assert!(list.unreadable_names().is_empty());
}

/// Guards against a cell or zone from one of several entries of a backend that contradict each other.
#[test]
fn contradicting_entries_of_a_name_leave_its_cell_and_zone_unknown() {
    let unknown = |entries: &[Value]| {
        let list = parse(entries);
        let endpoint = list.endpoints.iter().find(|endpoint| endpoint.name == "a").expect("listed");
        (endpoint.unknown.group, endpoint.unknown.zone)
    };
    let (mut other_cell, mut other_zone, mut unreadable) = (entry("a", 1), entry("a", 1), entry("a", 1));
    other_cell["group"] = 2.into();
    other_zone["zone"] = "y".into();
    unreadable["group"] = "first".into();
    assert_eq!(unknown(&[entry("a", 1), entry("a", 2), entry("b", 3)]), (false, false));
    for other in [other_cell, other_zone, unreadable] {
        assert_eq!(unknown(&[other.clone(), entry("a", 1)]), (true, true), "{other}");
        assert_eq!(unknown(&[entry("a", 1), other.clone()]), (true, true), "{other}");
    }
}

/// The marks of unknown fields survive a list that a gateway passes on; entries without marks have no new
/// key.
#[test]
fn unknown_fields_are_passed_on() {
    let mut marked = entry("a", 1);
    marked["unknown"] = json!(["group", "since"]);
    let complete = json!({"name": "b", "address": "127.0.0.1:2", "zone": "z", "type": "m", "group": 1,
                          "status": "SERVING", "weight": 1.0, "since_ms": 0.0});
    let list = parse(&[marked, complete.clone()]);
    let text = EndpointList::encode_snapshot(7, &list.endpoints);
    let sent: Value = serde_json::from_str(&text).expect("JSON");
    // The first entry has no `type` either.
    assert_eq!(sent["endpoints"][0]["unknown"], json!(["type", "group", "since"]));
    assert_eq!(sent["endpoints"][1], complete);
}

#[test]
fn parses_ten_thousand_entries_and_rejects_a_truncated_list() {
    let entries: Vec<Value> = (0..10_000).map(|n| entry(&format!("backend-{n}"), 80)).collect();
    let text = json!({"index": 7, "snapshot": true, "endpoints": entries}).to_string();
    assert_eq!(EndpointList::parse(text.as_bytes()).expect("a list").endpoints.len(), 10_000);
    assert!(EndpointList::parse(&text.as_bytes()[..text.len() / 2]).is_err());
}

proptest! {
    /// Invalid entries never fail the list as a whole.
    #[test]
    fn each_entry_is_kept_or_rejected(entries in prop::collection::vec((0u8..4, 0u16..5), 0..40)) {
        let entries: Vec<Value> = entries.into_iter().map(|(kind, n)| {
            let mut entry = entry(&format!("n{n}"), n);
            match kind {
                0 => entry["since_ms"] = Value::Null,
                1 => entry = json!([n]),
                _ => {}
            }
            entry
        }).collect();
        let list = parse(&entries);
        prop_assert_eq!(list.endpoints.len() + list.rejected.len(), entries.len());
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = EndpointList::parse(&bytes);
    }
}
