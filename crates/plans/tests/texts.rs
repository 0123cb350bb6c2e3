//! Error texts that the holder of a reservation gets.

use plans::{EndReason, PlanLimits, PlanTimeline, ReservationError, ReservationLedger, ReservationRequest};

#[test]
fn reservation_errors_have_recorded_texts() {
    for (error, text) in [
        (ReservationError::Unknown, "no such reservation"),
        (ReservationError::Fenced, "another holder took it over"),
        (ReservationError::Ended(EndReason::Released), "it was released"),
        (ReservationError::Ended(EndReason::PeriodOver), "its time is over"),
        (ReservationError::Ended(EndReason::LeaseExpired), "its lease ended, as the holder was not heard"),
        (ReservationError::Ended(EndReason::PlanLowered), "the plan was lowered and leaves no room for it"),
        (ReservationError::DifferentRequest, "that order was given before, for something else"),
        (ReservationError::ExceedsCeiling(2.5), "the ceiling leaves 2.5 units for that time"),
        (ReservationError::TooMany(32), "32 are open, which is the most"),
    ] {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn invalid_requests_have_recorded_texts() {
    let valid = ReservationRequest {
        order: "o".to_string(),
        holder: "h".to_string(),
        customer: 1,
        units: 1.0,
        from_ms: 1_000,
        to_ms: 2_000,
        lease_ms: 1_000,
    };
    let order = "an order of 1 to 64 bytes is wanted";
    let holder = "a holder of 1 to 64 bytes is wanted";
    let units = "units above 0 are wanted";
    let end = "an end after the begin is wanted";
    let lease = "a lease of 1 to 3600000 ms is wanted";
    let cases = [
        (0, ReservationRequest { order: String::new(), ..valid.clone() }, order),
        (0, ReservationRequest { order: "o".repeat(65), ..valid.clone() }, order),
        (0, ReservationRequest { order: "o\n".to_string(), holder: String::new(), ..valid.clone() }, order),
        (0, ReservationRequest { holder: String::new(), units: 0.0, ..valid.clone() }, holder),
        (0, ReservationRequest { units: 0.0, to_ms: 0, ..valid.clone() }, units),
        (0, ReservationRequest { units: f64::NAN, ..valid.clone() }, units),
        (0, ReservationRequest { to_ms: 1_000, lease_ms: 0, ..valid.clone() }, end),
        (0, ReservationRequest { lease_ms: 0, ..valid.clone() }, lease),
        (0, ReservationRequest { lease_ms: 3_600_001, ..valid.clone() }, lease),
        (u64::MAX - 3_599_999, valid.clone(), "a time on record is wanted"),
        (2_000, valid.clone(), "a time that is not over is wanted"),
    ];
    let limits = PlanTimeline::always(PlanLimits { rate: 1.0, burst: 10.0, ..PlanLimits::default() });
    for (now_ms, request, text) in cases {
        let result = ReservationLedger::default().reserve(now_ms, request.clone(), &limits).map(|r| r.token);
        assert_eq!(result.map_err(|error| error.to_string()), Err(text.to_string()), "{request:?}");
    }
    let mut ledger = ReservationLedger::default();
    let token = ledger.reserve(0, valid, &limits).expect("reserved").token;
    assert_eq!(ledger.extend(0, token, 0).map_err(|error| error.to_string()), Err(lease.to_string()));
}
