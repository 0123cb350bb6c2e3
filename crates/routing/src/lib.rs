//! Where a request of a gateway may go, at a cost that does not grow with the fleet.
//!
//! It does no I/O, reads no clock and decides nothing: the decisions draw candidates from it and read its
//! sums. Times are milliseconds on the caller's clock, which never runs backwards.
//!
//! ```text
//!   the list ──────▶ Index ─┬─ slots, by number           the caller's record of each backend
//!   what is learned ─▶      ├─ groups: fleet, home, each zone, cell and type
//!                           │     open │ ejected           drawn from by chance, in constant time
//!                           │     draining, cold           counts
//!                           ├─ warm push                   sums that fade, in place of scans
//!                           ├─ agendas                     who is warm by now; who is to be looked at
//!                           └─ Subset                      which backends are this gateway's home
//! ```

mod agenda;
mod group;
mod index;
mod subset;

pub use group::Counts;
pub use index::{Facts, Filed, From, Index, Listing, Reach, MIN_SUBSET_SIZE};
pub use subset::Subset;
