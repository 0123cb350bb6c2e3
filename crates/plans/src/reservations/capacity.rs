//! What the ceiling leaves for reservations, over every span of time.

use super::{Reservation, ReservationRequest};
use crate::timeline::PlanTimeline;

/// What rounding may make of sums that fit exactly, in units and as a part of them.
const ROUNDING: f64 = 1e-9;

/// A span of time, Unix time in ms.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    from_ms: u64,
    to_ms: u64,
}

impl Reservation {
    /// Whether its time lies within a span.
    pub(super) fn is_within(&self, span: Span) -> bool {
        span.from_ms <= self.request.from_ms && self.request.to_ms <= span.to_ms
    }
}

/// Units that are reserved within a span.
fn reserved_within(reservations: &[&Reservation], span: Span) -> f64 {
    let within = reservations.iter().filter(|reservation| reservation.is_within(span));
    within.map(|reservation| reservation.request.units).sum()
}

/// The units that may still be reserved for a request's time: the least that any span around it leaves. Only
/// spans that begin and end where a reservation does matter; there are at most 33 of each.
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

/// A span within which more is reserved than the limits allow: of those that begin first the shortest.
pub(super) fn overfull_span(reservations: &[&Reservation], limits: &PlanTimeline) -> Option<Span> {
    let mut begins: Vec<u64> = reservations.iter().map(|reservation| reservation.request.from_ms).collect();
    let mut ends: Vec<u64> = reservations.iter().map(|reservation| reservation.request.to_ms).collect();
    begins.sort_unstable();
    ends.sort_unstable();
    let is_overfull = |span: &Span| {
        let allowed = limits.max_reservable(span.from_ms, span.to_ms);
        reserved_within(reservations, *span) > allowed * (1.0 + ROUNDING) + ROUNDING
    };
    let spans = begins
        .iter()
        .flat_map(|from_ms| ends.iter().map(move |to_ms| Span { from_ms: *from_ms, to_ms: *to_ms }));
    spans.filter(|span| span.from_ms < span.to_ms).find(is_overfull)
}
