use proptest::prelude::*;
use serde_json::{json, Value};

use super::*;

fn line(name: &str, port: u16) -> Value {
    json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "z", "group": 1,
           "status": "SERVING", "weight": 1.0, "since_ms": 0.0})
}

fn read(lines: &[Value]) -> EndpointList {
    let text = json!({"index": 7, "snapshot": true, "endpoints": lines}).to_string();
    EndpointList::read(text.as_bytes()).expect("a list")
}

#[test]
fn names_an_invalid_line_and_keeps_the_others() {
    let mut lines = vec![line("a", 1), line("b", 2), line("c", 3), line("d", 4), line("e", 5)];
    lines[1]["address"] = "till:80".into();
    lines[2]["status"] = "RESTING".into();
    lines[3] = 7.into();
    lines[4]["name"] = "".into();
    let list = read(&lines);
    assert_eq!(list.endpoints.iter().map(|e| e.name.as_str()).collect::<Vec<_>>(), ["a"]);
    let said: Vec<String> = list.rejected.iter().map(ToString::to_string).collect();
    assert!(said[0].starts_with("endpoints[1] \"b\": invalid socket address"), "{said:?}");
    assert!(said[1].starts_with("endpoints[2] \"c\": unknown variant `RESTING`"), "{said:?}");
    assert!(said[2].starts_with("endpoints[3]: invalid type"), "{said:?}");
    assert!(said[3].contains("its name is empty"), "{said:?}");
    assert_eq!(list.unread_names(), ["b", "c", ""]);
}

#[test]
fn an_address_of_the_other_family_is_one() {
    let mut other = line("a", 1);
    other["address"] = "[::1]:80".into();
    let list = read(&[other]);
    assert!(list.endpoints[0].address.is_ipv6() && list.rejected.is_empty());
}

#[test]
fn of_two_lines_with_one_name_the_last_holds() {
    let mut bad = line("b", 9);
    bad["group"] = (-1).into();
    let list = read(&[line("a", 1), line("b", 2), line("a", 3), bad]);
    let held: Vec<(&str, u16)> = list.endpoints.iter().map(|e| (e.name.as_str(), e.address.port())).collect();
    assert_eq!(held, [("b", 2), ("a", 3)]);
    assert_eq!(list.rejected.len(), 2, "{:?}", list.rejected);
    assert!(list.rejected[0].problem.to_string().contains("endpoints[2]"), "{:?}", list.rejected);
    // It is said by another line.
    assert!(list.unread_names().is_empty());
}

#[test]
fn reads_ten_thousand_lines_but_no_truncated_list() {
    let lines: Vec<Value> = (0..10_000).map(|n| line(&format!("till-{n}"), 80)).collect();
    let text = json!({"index": 7, "snapshot": true, "endpoints": lines}).to_string();
    assert_eq!(EndpointList::read(text.as_bytes()).expect("a list").endpoints.len(), 10_000);
    assert!(EndpointList::read(&text.as_bytes()[..text.len() / 2]).is_err());
}

proptest! {
    /// Nothing that comes stops it, and every line is held or named.
    #[test]
    fn each_line_is_kept_or_named(lines in prop::collection::vec((0u8..4, 0u16..5), 0..40)) {
        let lines: Vec<Value> = lines.into_iter().map(|(what, n)| {
            let mut line = line(&format!("n{n}"), n);
            match what {
                0 => line["since_ms"] = Value::Null,
                1 => line = json!([n]),
                _ => {}
            }
            line
        }).collect();
        let list = read(&lines);
        prop_assert_eq!(list.endpoints.len() + list.rejected.len(), lines.len());
    }

    #[test]
    fn any_bytes_are_read_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = EndpointList::read(&bytes);
    }
}
