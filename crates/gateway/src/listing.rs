//! The list of backends as discovery tells it, read line by line. No I/O, no clock.
//!
//! Danger: one line that can't be read, and with it no news of all the others for as long as it stands. What
//! is wrong is left out and named; a backend that it names stays as it was.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

use gateway_policy::interface::EndpointState;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The list of backends or a part of it.
#[derive(Clone, Debug)]
pub struct List {
    /// Its version.
    pub index: u64,
    /// Whether it is whole.
    pub snapshot: bool,
    /// Each name once.
    pub endpoints: Vec<Endpoint>,
    /// Lines that are left out, in their order.
    pub wrong: Vec<Wrong>,
}

/// A backend.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// What kind of machine it is; orders may name it.
    #[serde(default, rename = "type")]
    pub kind: String,
    pub group: u32,
    pub status: Status,
    #[serde(default)]
    pub weight: f64,
    #[serde(default)]
    pub since_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Status {
    Serving,
    Draining,
    Deleted,
}

impl From<Status> for EndpointState {
    fn from(status: Status) -> Self {
        match status {
            Status::Serving => EndpointState::Ready,
            Status::Draining => EndpointState::Draining,
            Status::Deleted => EndpointState::Removed,
        }
    }
}

/// A line that is left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wrong {
    /// Its place on the list, from 0.
    pub place: usize,
    /// The backend, if that much can be read.
    pub name: Option<String>,
    /// Why.
    pub why: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "endpoints[{}]", self.place)?;
        if let Some(name) = &self.name {
            write!(f, " {name:?}")?;
        }
        write!(f, ": {}", self.why)
    }
}

/// An answer before its lines are read. Danger: a list of thousands as a tree of values, which takes ten
/// times what it does itself.
#[derive(Deserialize)]
struct Raw<'a> {
    index: u64,
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

impl List {
    /// An empty one of version 0.
    #[must_use]
    pub fn empty() -> List {
        List { index: 0, snapshot: true, endpoints: Vec::new(), wrong: Vec::new() }
    }

    /// Reads an answer. Of lines with one name the last holds; the others are left out.
    ///
    /// # Errors
    /// What is wrong with the answer as a whole, where nothing of it can be used.
    pub fn read(text: &[u8]) -> Result<List, serde_json::Error> {
        let Raw { index, snapshot, endpoints: lines } = serde_json::from_slice(text)?;
        let (mut read, mut wrong) = (Vec::with_capacity(lines.len()), Vec::new());
        for (place, line) in lines.into_iter().enumerate() {
            match endpoint(line.get()) {
                Ok(endpoint) => read.push((place, endpoint)),
                Err(why) => {
                    let name = serde_json::from_str(line.get()).ok().map(|Named { name }| name);
                    wrong.push(Wrong { place, name, why });
                }
            }
        }
        let last: HashMap<String, usize> = read.iter().map(|(at, e)| (e.name.clone(), *at)).collect();
        let mut endpoints = Vec::with_capacity(last.len());
        for (place, endpoint) in read {
            let holds = last[&endpoint.name];
            if holds == place {
                endpoints.push(endpoint);
            } else {
                let why = format!("named again by endpoints[{holds}], which holds");
                wrong.push(Wrong { place, name: Some(endpoint.name), why });
            }
        }
        wrong.sort_by_key(|w| w.place);
        Ok(List { index, snapshot, endpoints, wrong })
    }

    /// The text of an answer with a whole list.
    #[must_use]
    pub fn text(index: u64, endpoints: &[Endpoint]) -> String {
        serde_json::json!({"index": index, "snapshot": true, "endpoints": endpoints}).to_string()
    }

    /// Names of lines that are left out and that no other line has: what is known of them stays.
    #[must_use]
    pub fn unsaid(&self) -> Vec<String> {
        let said: std::collections::HashSet<&str> = self.endpoints.iter().map(|e| e.name.as_str()).collect();
        let names = self.wrong.iter().filter_map(|w| w.name.clone());
        names.filter(|name| !said.contains(name.as_str())).collect()
    }
}

fn endpoint(line: &str) -> Result<Endpoint, String> {
    // Where in the one line is of no use to whoever reads a log.
    let what = |e: serde_json::Error| {
        let text = e.to_string();
        text.split(" at line ").next().unwrap_or_default().to_string()
    };
    let endpoint: Endpoint = serde_json::from_str(line).map_err(what)?;
    if endpoint.name.is_empty() {
        return Err("its name is empty".to_string());
    }
    Ok(endpoint)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use serde_json::{json, Value};

    use super::*;

    fn line(name: &str, port: u16) -> Value {
        json!({"name": name, "address": format!("127.0.0.1:{port}"), "zone": "z", "group": 1,
               "status": "SERVING", "weight": 1.0, "since_ms": 0.0})
    }

    fn read(lines: &[Value]) -> List {
        let text = json!({"index": 7, "snapshot": true, "endpoints": lines}).to_string();
        List::read(text.as_bytes()).expect("a list")
    }

    #[test]
    fn a_line_that_is_wrong_is_named_and_the_others_hold() {
        let mut lines = vec![line("a", 1), line("b", 2), line("c", 3), line("d", 4), line("e", 5)];
        lines[1]["address"] = "till:80".into();
        lines[2]["status"] = "RESTING".into();
        lines[3] = 7.into();
        lines[4]["name"] = "".into();
        let list = read(&lines);
        assert_eq!(list.endpoints.iter().map(|e| e.name.as_str()).collect::<Vec<_>>(), ["a"]);
        let said: Vec<String> = list.wrong.iter().map(ToString::to_string).collect();
        assert!(said[0].starts_with("endpoints[1] \"b\": invalid socket address"), "{said:?}");
        assert!(said[1].starts_with("endpoints[2] \"c\": unknown variant `RESTING`"), "{said:?}");
        assert!(said[2].starts_with("endpoints[3]: invalid type"), "{said:?}");
        assert!(said[3].contains("its name is empty"), "{said:?}");
        assert_eq!(list.unsaid(), ["b", "c", ""]);
    }

    #[test]
    fn an_address_of_the_other_family_is_one() {
        let mut other = line("a", 1);
        other["address"] = "[::1]:80".into();
        let list = read(&[other]);
        assert!(list.endpoints[0].address.is_ipv6() && list.wrong.is_empty());
    }

    #[test]
    fn of_two_lines_with_one_name_the_last_holds() {
        let mut bad = line("b", 9);
        bad["group"] = (-1).into();
        let list = read(&[line("a", 1), line("b", 2), line("a", 3), bad]);
        let held: Vec<(&str, u16)> =
            list.endpoints.iter().map(|e| (e.name.as_str(), e.address.port())).collect();
        assert_eq!(held, [("b", 2), ("a", 3)]);
        assert_eq!(list.wrong.len(), 2, "{:?}", list.wrong);
        assert!(list.wrong[0].why.contains("endpoints[2]"), "{:?}", list.wrong);
        // It is said by another line.
        assert!(list.unsaid().is_empty());
    }

    #[test]
    fn ten_thousand_lines_are_read_and_a_part_of_them_is_not() {
        let lines: Vec<Value> = (0..10_000).map(|n| line(&format!("till-{n}"), 80)).collect();
        let text = json!({"index": 7, "snapshot": true, "endpoints": lines}).to_string();
        assert_eq!(List::read(text.as_bytes()).expect("a list").endpoints.len(), 10_000);
        assert!(List::read(&text.as_bytes()[..text.len() / 2]).is_err());
    }

    proptest! {
        /// Nothing that comes stops it, and every line is held or named.
        #[test]
        fn each_line_is_held_or_named(lines in prop::collection::vec((0u8..4, 0u16..5), 0..40)) {
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
            prop_assert_eq!(list.endpoints.len() + list.wrong.len(), lines.len());
        }

        #[test]
        fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = List::read(&bytes);
        }
    }
}
