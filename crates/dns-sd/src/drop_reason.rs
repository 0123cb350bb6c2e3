//! Reasons for which an instance is left out of the list.

use std::fmt;

use hickory_proto::rr::Name;

use crate::catalogue::MAX_INSTANCES;

/// Reason for which the records of an instance are not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Its name is not a subdomain of the service whose PTR record names it.
    NotOfService(Name),
    /// Its name has no first label, or one that is too long.
    NoName,
    /// Its first label is not valid UTF-8.
    NameNotUtf8,
    /// Its first label contains control characters.
    NameHasControls,
    /// Another instance has the same name.
    DuplicateName,
    /// The list already has [`MAX_INSTANCES`] instances.
    TooManyInstances,
    /// Its SRV target is the root: the service is not available (RFC 2782).
    TargetIsRoot,
    /// Its SRV port is 0.
    PortIsZero,
    /// Its SRV target has neither an A nor an AAAA record.
    NoAddress(Name),
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DropReason::NotOfService(service) => write!(f, "it is no instance of {service}"),
            DropReason::NoName => f.write_str("it has no name"),
            DropReason::NameNotUtf8 => f.write_str("its name is no UTF-8"),
            DropReason::NameHasControls => f.write_str("its name has control characters"),
            DropReason::DuplicateName => f.write_str("another instance has that name"),
            DropReason::TooManyInstances => write!(f, "there are {MAX_INSTANCES} already"),
            DropReason::TargetIsRoot => f.write_str("its SRV target is the root: not available here"),
            DropReason::PortIsZero => f.write_str("its SRV port is 0"),
            DropReason::NoAddress(target) => write!(f, "{target} has no address"),
        }
    }
}

impl std::error::Error for DropReason {}

/// An instance that was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DroppedInstance {
    /// Domain name of the instance.
    pub instance: Name,
    /// Reason for the drop.
    pub reason: DropReason,
}
