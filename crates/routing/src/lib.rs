//! An index of the backends that a gateway knows. The cost of selecting one for a request is independent of
//! their number.
//!
//! The crate does no I/O, reads no clock and makes no decisions: the caller draws candidates from the index
//! and reads its sums. Times are milliseconds on the caller's clock, which never runs backwards.
//!
//! ```text
//!   endpoint list ─────▶ Index ─┬─ slots                     the caller's record of each backend
//!   observations ──────▶        ├─ groups: fleet, subset, each zone, cell and instance type
//!                               │     available │ ejected    sampled at random, in constant time
//!                               │     draining, warming up   counts
//!                               ├─ warm work                 decaying sums, instead of scans
//!                               ├─ schedules                 ends of warm-ups; due checks
//!                               └─ membership                the backends of this gateway's subset
//! ```

mod attributes;
mod group;
mod groups;
mod index;
mod membership;
mod recent_work;
mod sampling;
mod schedule;
mod subset;

pub use attributes::{Attributes, Indexed, ListState};
pub use group::Counts;
pub use groups::Scope;
pub use index::Index;
pub use membership::MIN_SUBSET_SIZE;
pub use sampling::Sampling;
pub use subset::Subset;
