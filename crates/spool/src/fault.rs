//! What is wrong with the segments on the disk.

use std::fmt;
use std::path::PathBuf;

/// A fault that was found at the start. No record that can be read is removed because of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpoolFault {
    /// The last segment ends within a frame: a write was cut short. It is continued after its last record.
    Truncated {
        /// File of the segment.
        path: PathBuf,
        /// Records before.
        records: usize,
    },
    /// A segment is not what was written.
    Corrupt {
        /// File of the segment.
        path: PathBuf,
        /// Records before.
        records: usize,
    },
    /// A segment does not follow the one before: that one was cut short, replaced or is missing.
    BrokenChain {
        /// File of the segment.
        path: PathBuf,
    },
    /// The header of a segment is not valid. The file is renamed to `.spoilt` and left out.
    Unreadable {
        /// File of the segment, before it was renamed.
        path: PathBuf,
    },
}

impl fmt::Display for SpoolFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SpoolFault::Truncated { path, records } => {
                write!(f, "{}: cut off after {records} records; it goes on there", path.display())
            }
            SpoolFault::Corrupt { path, records } => {
                write!(f, "{}: spoilt after {records} records", path.display())
            }
            SpoolFault::BrokenChain { path } => {
                write!(f, "{}: does not follow on the segment before", path.display())
            }
            SpoolFault::Unreadable { path } => {
                write!(f, "{}: no header that can be read; renamed to .spoilt", path.display())
            }
        }
    }
}
