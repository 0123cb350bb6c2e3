//! The backends that a gateway knows, indexed so that selecting one for a request costs the same however
//! many there are.
//!
//! It does no I/O, reads no clock and decides nothing: the decisions draw candidates from it and read its
//! sums. Times are milliseconds on the caller's clock, which never runs backwards.
//!
//! ```text
//!   endpoint list ─────▶ Index ─┬─ slots                     the caller's record of each backend
//!   what is learned ───▶        ├─ groups: fleet, subset, each zone, cell and instance type
//!                               │     available │ ejected    drawn from by chance, in constant time
//!                               │     draining, warming up   counts
//!                               ├─ warm push                 decayed sums, in place of scans
//!                               ├─ schedules                 who is warm by now; who is due for a check
//!                               └─ membership                which backends are this gateway's subset
//! ```

mod attributes;
mod group;
mod groups;
mod index;
mod membership;
mod push;
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
