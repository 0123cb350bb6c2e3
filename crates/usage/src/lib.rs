//! Usage of plans: what was charged, recorded once and counted once. No I/O, no clock.
//!
//! - [`Record`]: a final charge, with its place in the sequence of its [`Source`]
//! - [`SegmentWriter`], [`scan`]: segments of records, framed and chained by hashes
//! - [`Ledger`]: counts each record once, in the batch of its period

mod ledger;
mod record;
mod segment;
mod sequences;

pub use ledger::{
    Batch, BatchLine, Ledger, RecordOutcome, Settings, Totals, UsageKey, MAX_GAPS, MAX_SOURCES,
};
pub use record::{Record, Source, Units};
pub use segment::{
    scan, HashChain, ScanEnd, ScannedSegment, SegmentHeader, SegmentWriter, FORMAT, MAX_FRAME_BYTES,
};
pub use sequences::SequenceRange;
