//! Usage of plans: records of final charges, each of which is counted once. No I/O, no clock.
//!
//! - [`Record`]: a final charge with a sequence number of its [`Source`]
//! - [`SegmentWriter`], [`scan`]: segments of records in frames with a hash chain
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
