//! Plans in service: which limits a customer has at an instant, what a change of plan within a window does to
//! what was counted, and reservations of allowance. No I/O, no clock: times are Unix time in ms, given by the
//! caller.
//!
//! - [`read_catalogue`]: the catalogue's file, as operators write it
//! - [`Catalogue`]: plans, their versions, and which customer has which plan from when on
//! - [`CatalogueFence`]: the newest revision that a gateway was given
//! - [`PlanTimeline`]: a customer's limits over time; refill and levels of token buckets across changes
//! - [`ReservationLedger`]: reservations with fencing tokens, within what the ceiling allows

mod catalogue;
mod catalogue_file;
mod fence;
mod reservations;
mod timeline;

pub use catalogue::{Assignment, Catalogue, CatalogueError, Plan, MAX_CUSTOMERS, MAX_PLANS};
pub use catalogue_file::{read_catalogue, CatalogueFileError, FileFault};
pub use fence::{CatalogueFence, FenceOutcome};
pub use reservations::{
    EndReason, EndedReservation, FencingToken, InvalidRequest, Reservation, ReservationError,
    ReservationLedger, ReservationRequest, ReservationState, MAX_ENDED_RESERVATIONS, MAX_RESERVATIONS,
    MAX_RESERVATIONS_PER_CUSTOMER,
};
pub use timeline::{PlanLimits, PlanTimeline};
