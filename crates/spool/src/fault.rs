//! Faults of segments on the disk.

use std::fmt;
use std::path::PathBuf;

/// A fault that was found when the spool was opened. Readable records are never removed because of a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SpoolFault {
    /// The last segment ends within a frame, as a write was interrupted. That frame is removed.
    Truncated {
        /// File of the segment.
        path: PathBuf,
        /// Number of valid records before the fault.
        records: usize,
    },
    /// A segment has a corrupt frame, or one that is truncated although it is not the last segment.
    Corrupt {
        /// File of the segment.
        path: PathBuf,
        /// Number of valid records before the fault.
        records: usize,
    },
    /// A segment does not continue the hash chain of the previous one, which was truncated, replaced or is
    /// missing.
    BrokenChain {
        /// File of the segment.
        path: PathBuf,
    },
    /// The header of a segment is invalid. The file is renamed to `.spoilt` and ignored.
    Unreadable {
        /// File of the segment before it was renamed.
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
