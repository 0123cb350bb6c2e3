//! Use of plans: what was charged, recorded once and counted once. Nothing here does input or output or reads
//! a clock.
//!
//! ```text
//!  a final charge ─▶ Record ─▶ segment: frames with length, check and a hash chain ─▶ scan
//!                                                                                       │
//!  batches ◀─ Ledger: seen by gateway, life and sequence; periods, watermark ◀──────────┘
//! ```

mod ledger;
mod record;
mod segment;

pub use ledger::{Batch, Key, Ledger, Line, Settings, Taken, Totals, MAX_GAPS, MAX_SOURCES};
pub use record::{Record, Source, Units};
pub use segment::{begin, scan, Chain, End, Header, Scan, Writer, FORMAT, MAX_FRAME_BYTES};
