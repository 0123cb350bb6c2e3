//! The list of backends as discovery tells it, read line by line. No I/O, no clock.
//!
//! One line that can't be read must not keep updates of all the others out for as long as it stands: it is
//! left out and named, and a backend that it names stays as it was.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::net::SocketAddr;

use gateway_policy::interface::EndpointState;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The list of backends or a part of it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Its version.
    pub index: u64,
    /// Whether it is whole.
    pub snapshot: bool,
    /// Each name once.
    pub endpoints: Vec<Endpoint>,
    /// Lines that are left out, in their order.
    pub rejected: Vec<RejectedEndpoint>,
}

/// A backend's record on the list.
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

/// What discovery says of a backend.
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
pub struct RejectedEndpoint {
    /// Its index on the list, from 0.
    pub index: usize,
    /// The backend, if that much can be read.
    pub name: Option<String>,
    /// Why.
    pub problem: EndpointProblem,
}

/// Why a line is left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointProblem {
    /// It is no record of a backend.
    Unreadable(String),
    /// Its name is empty.
    Unnamed,
    /// The line at this index has the same name, and holds.
    Repeated(usize),
}

impl fmt::Display for EndpointProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointProblem::Unreadable(why) => f.write_str(why),
            EndpointProblem::Unnamed => f.write_str("its name is empty"),
            EndpointProblem::Repeated(by) => write!(f, "named again by endpoints[{by}], which holds"),
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

/// An answer before its lines are read. As a tree of values a list of thousands would take ten times what it
/// does itself.
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

impl EndpointList {
    /// An empty one of version 0.
    #[must_use]
    pub fn empty() -> EndpointList {
        EndpointList { index: 0, snapshot: true, endpoints: Vec::new(), rejected: Vec::new() }
    }

    /// Reads an answer. Of lines with one name the last holds; the others are left out.
    ///
    /// # Errors
    /// What is wrong with the answer as a whole, where nothing of it can be used.
    pub fn read(text: &[u8]) -> Result<EndpointList, serde_json::Error> {
        let Raw { index, snapshot, endpoints: lines } = serde_json::from_slice(text)?;
        let (mut read, mut rejected) = (Vec::with_capacity(lines.len()), Vec::new());
        for (index, line) in lines.into_iter().enumerate() {
            match read_endpoint(line.get()) {
                Ok(endpoint) => read.push((index, endpoint)),
                Err(problem) => {
                    let name = serde_json::from_str(line.get()).ok().map(|Named { name }| name);
                    rejected.push(RejectedEndpoint { index, name, problem });
                }
            }
        }
        let last: HashMap<String, usize> = read.iter().map(|(at, e)| (e.name.clone(), *at)).collect();
        let mut endpoints = Vec::with_capacity(last.len());
        for (index, endpoint) in read {
            let holds = last[&endpoint.name];
            if holds == index {
                endpoints.push(endpoint);
            } else {
                let problem = EndpointProblem::Repeated(holds);
                rejected.push(RejectedEndpoint { index, name: Some(endpoint.name), problem });
            }
        }
        rejected.sort_by_key(|endpoint| endpoint.index);
        Ok(EndpointList { index, snapshot, endpoints, rejected })
    }

    /// The text of an answer with a whole list.
    #[must_use]
    pub fn text(index: u64, endpoints: &[Endpoint]) -> String {
        serde_json::json!({"index": index, "snapshot": true, "endpoints": endpoints}).to_string()
    }

    /// Names of lines that are left out and that no other line has: what is known of them stays.
    #[must_use]
    pub fn unread_names(&self) -> Vec<String> {
        let read: HashSet<&str> = self.endpoints.iter().map(|e| e.name.as_str()).collect();
        let names = self.rejected.iter().filter_map(|endpoint| endpoint.name.clone());
        names.filter(|name| !read.contains(name.as_str())).collect()
    }
}

fn read_endpoint(line: &str) -> Result<Endpoint, EndpointProblem> {
    let endpoint: Endpoint = serde_json::from_str(line).map_err(|e| {
        // Where in the one line is of no use to whoever reads a log.
        let text = e.to_string();
        EndpointProblem::Unreadable(text.split(" at line ").next().unwrap_or_default().to_string())
    })?;
    if endpoint.name.is_empty() {
        return Err(EndpointProblem::Unnamed);
    }
    Ok(endpoint)
}
