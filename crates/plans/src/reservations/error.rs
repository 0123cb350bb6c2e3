//! Why a reservation is rejected.

use std::fmt;

use super::request::InvalidRequest;
use super::EndReason;

/// Why something is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum ReservationError {
    /// No reservation has that token, and none that is remembered had it.
    Unknown,
    /// Another holder took the reservation over, and has a later token.
    Fenced,
    /// It has ended.
    Ended(EndReason),
    /// The order was given before with another request.
    DifferentRequest,
    /// The ceiling allows no more than these units for that time.
    ExceedsCeiling(f64),
    /// There are as many open reservations as there may be.
    TooMany(usize),
    /// The request is not allowed.
    Invalid(InvalidRequest),
}

impl fmt::Display for ReservationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReservationError::Unknown => f.write_str("no such reservation"),
            ReservationError::Fenced => f.write_str("another holder took it over"),
            ReservationError::Ended(EndReason::Released) => f.write_str("it was released"),
            ReservationError::Ended(EndReason::PeriodOver) => f.write_str("its time is over"),
            ReservationError::Ended(EndReason::LeaseExpired) => {
                f.write_str("its lease ended, as the holder was not heard")
            }
            ReservationError::Ended(EndReason::PlanLowered) => {
                f.write_str("the plan was lowered and leaves no room for it")
            }
            ReservationError::DifferentRequest => {
                f.write_str("that order was given before, for something else")
            }
            ReservationError::ExceedsCeiling(units) => {
                write!(f, "the ceiling leaves {units} units for that time")
            }
            ReservationError::TooMany(max) => write!(f, "{max} are open, which is the most"),
            ReservationError::Invalid(invalid) => invalid.fmt(f),
        }
    }
}

impl std::error::Error for ReservationError {}

impl From<InvalidRequest> for ReservationError {
    fn from(invalid: InvalidRequest) -> ReservationError {
        ReservationError::Invalid(invalid)
    }
}
