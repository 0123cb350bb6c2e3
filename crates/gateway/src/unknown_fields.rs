//! Fields of an endpoint whose values discovery does not know. Such a value permits nothing, but a
//! restriction that follows from the last known one stays.

use serde::{Deserialize, Serialize};

/// The fields of an endpoint that are unknown, on the wire a list of their names. Other names are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(from = "Vec<String>", into = "Vec<&'static str>")]
pub struct UnknownFields {
    pub zone: bool,
    pub instance_type: bool,
    pub group: bool,
    pub status: bool,
    pub since: bool,
}

impl UnknownFields {
    /// Returns whether all fields are known.
    pub fn is_empty(&self) -> bool {
        *self == UnknownFields::default()
    }
}

impl From<Vec<String>> for UnknownFields {
    fn from(names: Vec<String>) -> Self {
        let has = |name: &str| names.iter().any(|other| other == name);
        UnknownFields {
            zone: has("zone"),
            instance_type: has("type"),
            group: has("group"),
            status: has("status"),
            since: has("since"),
        }
    }
}

impl From<UnknownFields> for Vec<&'static str> {
    fn from(unknown: UnknownFields) -> Self {
        let UnknownFields { zone, instance_type, group, status, since } = unknown;
        let names =
            [(zone, "zone"), (instance_type, "type"), (group, "group"), (status, "status"), (since, "since")];
        names.into_iter().filter(|(is_unknown, _)| *is_unknown).map(|(_, name)| name).collect()
    }
}
