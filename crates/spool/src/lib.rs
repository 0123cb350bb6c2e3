//! A bounded on-disk spool of usage records.
//!
//! Records are appended to the open segment. A full segment is closed and a new one begun. When all segments
//! together reach the size limit, further records are dropped and counted. Unsent records are returned oldest
//! first, and a segment is removed once all its records are acknowledged.
//!
//! Calls block on the disk and should run on a dedicated thread. A directory must be used by only one spool
//! at a time. If the process is killed during a call, at most a truncated frame remains, which the next start
//! removes.

mod fault;
mod store;

pub use fault::SpoolFault;
pub use store::{AppendOutcome, FsyncPolicy, Spool, SpoolLimits, UnsentRecords};
