//! What is listed for an instance whose records do not state every value: an unknown value grants nothing.
//!
//! This is the only place that replaces an unknown value:
//!
//! - **Restrictions stay.** The last known value is listed, so that an instance that was draining, was
//!   covered by an order on its cell or type, or was warming up, still is. Without a last known value, the
//!   value is the one that the list has always had: empty, 0 or serving.
//! - **Permissions end.** The key is listed as unknown, by which readers know that the value must not permit
//!   anything: a repeat of a request in the instance's zone or cell.
//! - **An invalid or contradictory status counts as draining.** Unlike a missing one, it was meant to say
//!   something. If no instance of the list would accept requests, these do, unless they were draining.

use std::collections::BTreeMap;

use crate::metadata::{InstanceMetadata, Status, TxtKey, TxtValue, UnknownValue};

/// Metadata of an instance on the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListedMetadata {
    /// Zone; empty if it was never known.
    pub zone: String,
    /// Instance type; empty if it was never known.
    pub instance_type: String,
    /// Cell; 0 if it was never known.
    pub group: u32,
    /// Start time of the instance, Unix time in ms; `None` if it was never known.
    pub since_ms: Option<f64>,
    /// Keys whose current values are unknown, with the reasons.
    pub unknown: BTreeMap<TxtKey, UnknownValue>,
    /// The last known status; serving if it was never known.
    last_status: Status,
    /// Whether it gets no requests because its status is unreadable and other instances accept requests.
    withheld: bool,
}

impl ListedMetadata {
    /// Returns the metadata of an instance with these records. `last` is its metadata on the list so far.
    #[must_use]
    pub fn new(read: InstanceMetadata, last: Option<&ListedMetadata>) -> ListedMetadata {
        let mut listed = last.cloned().unwrap_or_default();
        listed.unknown.clear();
        listed.withheld = false;
        let unknown = &mut listed.unknown;
        update(&mut listed.zone, read.zone, TxtKey::Zone, unknown);
        update(&mut listed.instance_type, read.instance_type, TxtKey::Type, unknown);
        update(&mut listed.group, read.group, TxtKey::Group, unknown);
        update(&mut listed.since_ms, read.since_ms.map(Some), TxtKey::Since, unknown);
        update(&mut listed.last_status, read.status, TxtKey::Status, unknown);
        listed
    }

    /// Returns whether the instance accepts requests.
    #[must_use]
    pub fn status(&self) -> Status {
        if self.withheld {
            Status::Draining
        } else {
            self.last_status
        }
    }

    /// Returns the keys that are marked as unknown on the list for gateways. A drain that was known stays in
    /// force like one that is known, so its status is not marked.
    pub fn marked_unknown(&self) -> impl Iterator<Item = TxtKey> + '_ {
        let is_drained = self.last_status == Status::Draining;
        self.unknown.keys().copied().filter(move |key| *key != TxtKey::Status || !is_drained)
    }

    /// Returns whether both list the same values, and the same keys as unknown.
    pub(crate) fn lists_the_same(&self, other: &ListedMetadata) -> bool {
        let values = |listed: &ListedMetadata| (listed.group, listed.since_ms, listed.status());
        let texts = |listed: &ListedMetadata| (listed.zone.clone(), listed.instance_type.clone());
        values(self) == values(other)
            && texts(self) == texts(other)
            && self.unknown.keys().eq(other.unknown.keys())
    }

    fn has_unreadable_status(&self) -> bool {
        let reason = self.unknown.get(&TxtKey::Status);
        matches!(reason, Some(UnknownValue::Invalid(_) | UnknownValue::Contradictory))
    }
}

fn update<T>(listed: &mut T, read: TxtValue<T>, key: TxtKey, unknown: &mut BTreeMap<TxtKey, UnknownValue>) {
    match read {
        Ok(value) => *listed = value,
        Err(reason) => {
            unknown.insert(key, reason);
        }
    }
}

/// Withholds requests from the instances with an unreadable status, unless no other one accepts requests.
pub(crate) fn withhold_unreadable(list: &mut [&mut ListedMetadata]) {
    let accepts = |metadata: &ListedMetadata| {
        metadata.last_status == Status::Serving && !metadata.has_unreadable_status()
    };
    let others_accept = list.iter().any(|metadata| accepts(metadata));
    for metadata in list {
        metadata.withheld = others_accept && metadata.has_unreadable_status();
    }
}
