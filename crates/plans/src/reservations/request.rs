//! Requests for reservations.

use std::fmt;

/// Maximum lease, ms. It limits how long the reservation of a crashed holder stays open.
pub(super) const MAX_LEASE_MS: u64 = 3_600_000;
/// Maximum length of the name of an order or a holder, bytes.
const MAX_NAME_BYTES: usize = 64;

/// A request for a reservation. Requests with the same `order` refer to the same reservation.
#[derive(Clone, Debug, PartialEq)]
pub struct ReservationRequest {
    /// Name of the order, 1 to 64 bytes, chosen by the requester.
    pub order: String,
    /// Name of the holder, 1 to 64 bytes. Another holder that repeats the order takes the reservation over.
    pub holder: String,
    /// The customer.
    pub customer: u64,
    /// Units, above 0.
    pub units: f64,
    /// Begin of the period, Unix time in ms.
    pub from_ms: u64,
    /// End of the period, Unix time in ms; after its begin.
    pub to_ms: u64,
    /// Duration of the lease, within which the holder has to extend it, ms: 1 to 3,600,000.
    pub lease_ms: u64,
}

/// Reason for which a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// The name of the order is empty, too long or has control characters.
    Order,
    /// The name of the holder is empty, too long or has control characters.
    Holder,
    /// The units are not a finite number above 0.
    Units,
    /// The period does not end after its begin.
    Period,
    /// The period is over already.
    PeriodOver,
    /// The duration of the lease is out of range.
    Lease,
    /// The present time is so great that adding a lease would overflow.
    PresentTime,
}

impl fmt::Display for InvalidRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InvalidRequest::Order => "an order of 1 to 64 bytes is wanted",
            InvalidRequest::Holder => "a holder of 1 to 64 bytes is wanted",
            InvalidRequest::Units => "units above 0 are wanted",
            InvalidRequest::Period => "an end after the begin is wanted",
            InvalidRequest::PeriodOver => "a time that is not over is wanted",
            InvalidRequest::Lease => "a lease of 1 to 3600000 ms is wanted",
            InvalidRequest::PresentTime => "a time on record is wanted",
        })
    }
}

impl std::error::Error for InvalidRequest {}

pub(super) fn validate(now_ms: u64, request: &ReservationRequest) -> Result<(), InvalidRequest> {
    if !is_valid_name(&request.order) {
        return Err(InvalidRequest::Order);
    }
    if !is_valid_name(&request.holder) {
        return Err(InvalidRequest::Holder);
    }
    if !(request.units.is_finite() && request.units > 0.0) {
        return Err(InvalidRequest::Units);
    }
    if request.to_ms <= request.from_ms {
        return Err(InvalidRequest::Period);
    }
    if !(1..=MAX_LEASE_MS).contains(&request.lease_ms) {
        return Err(InvalidRequest::Lease);
    }
    if now_ms.checked_add(MAX_LEASE_MS).is_none() {
        return Err(InvalidRequest::PresentTime);
    }
    Ok(())
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control)
}
