//! A bounded spool of usage records on a disk.
//!
//! Records are appended to the open segment. A full segment is closed and another one begun; when all
//! segments together reach their limit, further records are dropped and counted. Unsent records are offered
//! oldest first, and whole segments are removed once their records are acknowledged.
//!
//! Calls block on the disk, so they belong on a thread of their own. A spool has one owner. A call that is
//! cut short by a kill leaves at most a truncated frame, which the next start removes.

mod fault;
mod store;

pub use fault::SpoolFault;
pub use store::{AppendOutcome, FsyncPolicy, Spool, SpoolLimits, UnsentRecords};
