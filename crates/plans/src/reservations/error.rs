//! Errors of the reservation ledger.

use std::fmt;

use super::request::InvalidRequest;
use super::EndReason;

/// Reason for which a call is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum ReservationError {
    /// No open or remembered reservation has the token.
    Unknown,
    /// Another holder took the reservation over and has a newer token.
    Fenced,
    /// The reservation has ended.
    Ended(EndReason),
    /// The same order was given before with a different request.
    DifferentRequest,
    /// The request exceeds the ceiling; contains the units available for its period.
    ExceedsCeiling(f64),
    /// The maximum number of open reservations is reached; contains that maximum.
    TooMany(usize),
    /// The request is invalid.
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
