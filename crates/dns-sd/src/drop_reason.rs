//! Why an instance is not on the list.

use std::fmt;

use hickory_proto::rr::Name;

use crate::catalogue::MAX_INSTANCES;
use crate::metadata::TxtError;

/// Why an instance is not on the list, or not by what it says now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Its name is not under the service that points to it.
    NotOfService(Name),
    /// Its name has no label, or a label that is too long.
    NoName,
    /// Its name is not UTF-8.
    NameNotUtf8,
    /// Its name has control characters.
    NameHasControls,
    /// Another instance has its name.
    DuplicateName,
    /// There are [`MAX_INSTANCES`] already.
    TooManyInstances,
    /// Its SRV target is the root (RFC 2782).
    TargetIsRoot,
    /// Its SRV port is 0.
    PortIsZero,
    /// A value of its TXT record is not allowed.
    Txt(TxtError),
    /// Its SRV target has no address.
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
            DropReason::Txt(error) => error.fmt(f),
            DropReason::NoAddress(target) => write!(f, "{target} has no address"),
        }
    }
}

impl std::error::Error for DropReason {}

/// An instance that was dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DroppedInstance {
    /// Its name.
    pub instance: Name,
    /// Why.
    pub reason: DropReason,
}
