//! Units available for reservations under the ceiling, over every span of time.

use super::{Reservation, ReservationRequest};
use crate::timeline::PlanTimeline;

/// Absolute (units) and relative tolerance for rounding errors of sums that fit exactly.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A span of time, Unix time in ms.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    from_ms: u64,
    to_ms: u64,
}

impl Reservation {
    /// Returns whether its period lies within a span.
    pub(super) fn is_within(&self, span: Span) -> bool {
        span.from_ms <= self.request.from_ms && self.request.to_ms <= span.to_ms
    }
}

/// Returns the units reserved within a span.
fn reserved_within(reservations: &[&Reservation], span: Span) -> f64 {
    let within = reservations.iter().filter(|reservation| reservation.is_within(span));
    within.map(|reservation| reservation.request.units).sum()
}

/// Returns the units that can still be reserved for a request's period: the minimum over all spans that
/// contain it. Only spans that begin and end where a reservation or the request does matter, which are at
/// most 33 begins and 33 ends.
pub(super) fn available_units(
    reservations: &[&Reservation],
    request: &ReservationRequest,
    limits: &PlanTimeline,
) -> f64 {
    let requests = || reservations.iter().map(|reservation| &reservation.request);
    let begins = requests().map(|other| other.from_ms).filter(|from_ms| *from_ms <= request.from_ms);
    let ends: Vec<u64> =
        requests().map(|other| other.to_ms).filter(|to_ms| *to_ms >= request.to_ms).collect();
    let mut available = f64::MAX;
    for from_ms in begins.chain([request.from_ms]) {
        for to_ms in ends.iter().copied().chain([request.to_ms]) {
            let reserved = reserved_within(reservations, Span { from_ms, to_ms });
            available = available.min(limits.max_reservable(from_ms, to_ms) - reserved);
        }
    }
    available
}

/// Returns a span within which more is reserved than the limits allow: the shortest of those that begin
/// first.
pub(super) fn overfull_span(reservations: &[&Reservation], limits: &PlanTimeline) -> Option<Span> {
    let mut begins: Vec<u64> = reservations.iter().map(|reservation| reservation.request.from_ms).collect();
    let mut ends: Vec<u64> = reservations.iter().map(|reservation| reservation.request.to_ms).collect();
    begins.sort_unstable();
    ends.sort_unstable();
    let is_overfull = |span: &Span| {
        let allowed = limits.max_reservable(span.from_ms, span.to_ms);
        reserved_within(reservations, *span) > allowed * (1.0 + ROUNDING_TOLERANCE) + ROUNDING_TOLERANCE
    };
    let spans = begins
        .iter()
        .flat_map(|from_ms| ends.iter().map(move |to_ms| Span { from_ms: *from_ms, to_ms: *to_ms }));
    spans.filter(|span| span.from_ms < span.to_ms).find(is_overfull)
}
