//! Plans in service: which terms a customer has at an instant, what a change in the middle of a window does
//! to what was counted, and reservations of allowance. Nothing here does input or output or reads a clock:
//! times are Unix milliseconds that the caller gives.
//!
//! ```text
//!  file ─▶ Catalogue: plans, versions, customers ─▶ Fence: newest revision wins, whole or not at all
//!                        │ timeline(customer)
//!                        ▼
//!                    Timeline: terms at an instant, refill between two, level off a total
//!                        ▲
//!  reserve, confirm, extend, release ─▶ Book: leases with fencing tokens, within what the ceiling leaves
//! ```

mod catalogue;
mod catalogue_file;
mod fence;
mod reservations;
mod timeline;

pub use catalogue::{Assignment, Catalogue, CatalogueError, Plan, MAX_CUSTOMERS, MAX_PLANS};
pub use catalogue_file::{read_catalogue, CatalogueFileError, FileFault};
pub use fence::{CatalogueFence, FenceOutcome};
pub use reservations::{
    EndReason, EndedReservation, FencingToken, Reservation, ReservationError, ReservationLedger,
    ReservationRequest, ReservationState, MAX_ENDED_RESERVATIONS, MAX_RESERVATIONS,
    MAX_RESERVATIONS_PER_CUSTOMER,
};
pub use timeline::{PlanLimits, PlanTimeline};
