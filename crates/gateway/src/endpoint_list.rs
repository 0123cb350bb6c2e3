//! The endpoint list as received from discovery, parsed entry by entry. No I/O and no clock.
//!
//! One invalid entry must not block updates of all other backends for as long as it is on the list. It is
//! rejected and reported, and the backend that it names keeps its previous state.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

use gateway_policy::interface::EndpointState;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;

use crate::unknown_fields::UnknownFields;

/// The endpoint list, or a delta of it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Version of the list.
    pub version: u64,
    /// Whether this is the whole list, not a delta.
    pub snapshot: bool,
    /// Valid entries; each name occurs once.
    pub endpoints: Vec<Endpoint>,
    /// Rejected entries, in the order of the list.
    pub rejected: Vec<RejectedEndpoint>,
}

/// A backend's entry on the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(from = "RawEndpoint")]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Instance type, which orders may refer to.
    #[serde(rename = "type")]
    pub instance_type: String,
    /// Cell of the backend.
    pub group: u32,
    pub status: Status,
    /// Size relative to the other backends; 0 if unknown.
    pub weight: f64,
    /// Start of the backend, Unix time in ms; 0 if discovery does not report it.
    pub since_ms: f64,
    /// Fields whose values are not known: the last known or a default value stands for each.
    #[serde(skip_serializing_if = "UnknownFields::is_empty")]
    pub unknown: UnknownFields,
    /// Whether it was draining when its status was last known.
    #[serde(skip)]
    last_known_draining: bool,
}

impl Endpoint {
    /// Replaces unknown values by those of the previous entry, so that the restrictions that follow from them
    /// stay in force: a drain, an order on the cell or instance type, and a warm-up.
    #[must_use]
    pub fn with_last_known(mut self, previous: &Endpoint) -> Endpoint {
        if self.unknown.zone {
            self.zone.clone_from(&previous.zone);
        }
        if self.unknown.instance_type {
            self.instance_type.clone_from(&previous.instance_type);
        }
        if self.unknown.group {
            self.group = previous.group;
        }
        if self.unknown.since {
            self.since_ms = self.since_ms.max(previous.since_ms);
        }
        if self.unknown.status {
            self.last_known_draining = previous.last_known_draining;
            if self.last_known_draining && matches!(self.status, Status::Serving) {
                self.status = Status::Draining;
            }
        }
        self
    }
}

/// An entry as received. The instance type and the start time are unknown if they are missing.
#[derive(Deserialize)]
#[serde(rename = "Endpoint", expecting = "struct Endpoint")]
struct RawEndpoint {
    name: String,
    address: SocketAddr,
    zone: String,
    #[serde(default, rename = "type", deserialize_with = "present")]
    instance_type: Option<String>,
    group: u32,
    status: Status,
    #[serde(default)]
    weight: f64,
    #[serde(default, deserialize_with = "present")]
    since_ms: Option<f64>,
    #[serde(default)]
    unknown: UnknownFields,
}

/// Deserializes a field that may be missing, but not null.
fn present<'de, T: Deserialize<'de>, D: Deserializer<'de>>(deserializer: D) -> Result<Option<T>, D::Error> {
    T::deserialize(deserializer).map(Some)
}

impl From<RawEndpoint> for Endpoint {
    fn from(raw: RawEndpoint) -> Self {
        let unknown = UnknownFields {
            instance_type: raw.unknown.instance_type || raw.instance_type.is_none(),
            since: raw.unknown.since || raw.since_ms.is_none(),
            ..raw.unknown
        };
        Endpoint {
            name: raw.name,
            address: raw.address,
            zone: raw.zone,
            instance_type: raw.instance_type.unwrap_or_default(),
            group: raw.group,
            status: raw.status,
            weight: raw.weight,
            since_ms: raw.since_ms.unwrap_or_default(),
            unknown,
            last_known_draining: !unknown.status && matches!(raw.status, Status::Draining),
        }
    }
}

/// State of a backend as reported by discovery.
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

/// An entry that was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RejectedEndpoint {
    /// Index on the list, from 0.
    pub index: usize,
    /// Name of the backend, if it could be parsed.
    pub name: Option<String>,
    /// Reason for the rejection.
    pub problem: EndpointProblem,
}

/// Why an entry was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointProblem {
    /// The entry can't be parsed. Holds the parser's message.
    Unreadable(String),
    /// The name is empty.
    Unnamed,
    /// A later entry, at this index, has the same name and is used instead.
    DuplicateName(usize),
}

impl fmt::Display for EndpointProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointProblem::Unreadable(why) => f.write_str(why),
            EndpointProblem::Unnamed => f.write_str("its name is empty"),
            EndpointProblem::DuplicateName(kept) => {
                write!(f, "named again by endpoints[{kept}], used instead")
            }
        }
    }
}

impl fmt::Display for RejectedEndpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "endpoints[{}]", self.index)?;
        if let Some(name) = &self.name {
            write!(f, " {name:?}")?;
        }
        write!(f, ": {}", self.problem)
    }
}

/// A response whose entries are not parsed yet. Parsed into generic JSON values, a list of thousands of
/// entries would take ten times the memory of its text.
#[derive(Deserialize)]
#[serde(rename = "Raw", expecting = "struct Raw")]
struct RawList<'a> {
    index: u64,
    snapshot: bool,
    #[serde(borrow)]
    endpoints: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(rename = "Named", expecting = "struct Named")]
struct NameOnly {
    name: String,
}

impl EndpointList {
    /// Returns an empty list with version 0.
    #[must_use]
    pub fn empty() -> EndpointList {
        EndpointList { version: 0, snapshot: true, endpoints: Vec::new(), rejected: Vec::new() }
    }

    /// Parses a response. Of several entries with the same name the last is used and the others are rejected.
    ///
    /// # Errors
    /// Returns an error if the response as a whole is invalid.
    pub fn parse(text: &[u8]) -> Result<EndpointList, serde_json::Error> {
        let RawList { index: version, snapshot, endpoints: entries } = serde_json::from_slice(text)?;
        let (mut parsed, mut rejected) = (Vec::with_capacity(entries.len()), Vec::new());
        for (index, entry) in entries.into_iter().enumerate() {
            match parse_endpoint(entry.get()) {
                Ok(endpoint) => parsed.push((index, endpoint)),
                Err(problem) => {
                    let name = serde_json::from_str(entry.get()).ok().map(|NameOnly { name }| name);
                    rejected.push(RejectedEndpoint { index, name, problem });
                }
            }
        }
        let last: HashMap<String, usize> = parsed.iter().map(|(at, e)| (e.name.clone(), *at)).collect();
        let contradicted = contradicted_names(&parsed, &rejected);
        let mut endpoints = Vec::with_capacity(last.len());
        for (index, mut endpoint) in parsed {
            let kept = last[&endpoint.name];
            if kept == index {
                if contradicted.contains(&endpoint.name) {
                    (endpoint.unknown.group, endpoint.unknown.zone) = (true, true);
                }
                endpoints.push(endpoint);
            } else {
                let problem = EndpointProblem::DuplicateName(kept);
                rejected.push(RejectedEndpoint { index, name: Some(endpoint.name), problem });
            }
        }
        rejected.sort_by_key(|endpoint| endpoint.index);
        Ok(EndpointList { version, snapshot, endpoints, rejected })
    }

    /// Encodes a response with the whole list.
    #[must_use]
    pub fn encode_snapshot(version: u64, endpoints: &[Endpoint]) -> String {
        serde_json::json!({"index": version, "snapshot": true, "endpoints": endpoints}).to_string()
    }

    /// Returns the names of rejected entries without a valid entry. These backends keep their previous state.
    #[must_use]
    pub fn unreadable_names(&self) -> Vec<String> {
        let valid: HashSet<&str> = self.endpoints.iter().map(|e| e.name.as_str()).collect();
        let names = self.rejected.iter().filter_map(|endpoint| endpoint.name.clone());
        names.filter(|name| !valid.contains(name.as_str())).collect()
    }
}

/// Returns the names with several entries that differ in their cell or zone, or with an unreadable entry.
fn contradicted_names(parsed: &[(usize, Endpoint)], unreadable: &[RejectedEndpoint]) -> HashSet<String> {
    let mut first: HashMap<&str, &Endpoint> = HashMap::with_capacity(parsed.len());
    let mut contradicted: HashSet<String> =
        unreadable.iter().filter_map(|endpoint| endpoint.name.clone()).collect();
    for (_, endpoint) in parsed {
        let known = *first.entry(&endpoint.name).or_insert(endpoint);
        if (known.group, &known.zone) != (endpoint.group, &endpoint.zone) {
            contradicted.insert(endpoint.name.clone());
        }
    }
    contradicted
}

fn parse_endpoint(text: &str) -> Result<Endpoint, EndpointProblem> {
    let endpoint: Endpoint = serde_json::from_str(text).map_err(|e| {
        // The position within the entry is of no use in a log.
        let message = e.to_string();
        EndpointProblem::Unreadable(message.split(" at line ").next().unwrap_or_default().to_string())
    })?;
    if endpoint.name.is_empty() {
        return Err(EndpointProblem::Unnamed);
    }
    Ok(endpoint)
}
