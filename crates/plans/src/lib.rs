//! Plans of customers: the limits of a customer at an instant, the effect of a change of plan on token bucket
//! levels, and reservations of units. No I/O, no clock: the caller passes all times, as Unix time in ms.
//!
//! - [`read_catalogue`]: parses the catalogue file that operators write
//! - [`Catalogue`]: plans, their versions, and the assignments of plans to customers
//! - [`CatalogueFence`]: retains the newest revision that a gateway received
//! - [`PlanTimeline`]: a customer's limits over time, with refill and token bucket levels across changes
//! - [`ReservationLedger`]: reservations with leases and fencing tokens, limited by the ceiling

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
