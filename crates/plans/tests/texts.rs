//! What a holder of a reservation is told when something is not done.

use plans::{EndReason, PlanLimits, PlanTimeline, ReservationError, ReservationLedger, ReservationRequest};

#[test]
fn reservation_errors_have_recorded_texts() {
    for (refused, text) in [
        (ReservationError::Unknown, "no such reservation"),
        (ReservationError::Fenced, "another holder took it over"),
        (ReservationError::Ended(EndReason::Released), "it was released"),
        (ReservationError::Ended(EndReason::PeriodOver), "its time is over"),
        (ReservationError::Ended(EndReason::LeaseExpired), "its lease ended, as the holder was not heard"),
        (ReservationError::Ended(EndReason::PlanLowered), "the plan was lowered and leaves no room for it"),
        (ReservationError::DifferentRequest, "that order was given before, for something else"),
        (ReservationError::NoRoom(2.5), "the ceiling leaves 2.5 units for that time"),
        (ReservationError::TooMany(32), "32 are open, which is the most"),
    ] {
        assert_eq!(refused.to_string(), text);
    }
}

#[test]
fn invalid_requests_have_recorded_texts() {
    let good = ReservationRequest {
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
        (0, ReservationRequest { order: String::new(), ..good.clone() }, order),
        (0, ReservationRequest { order: "o".repeat(65), ..good.clone() }, order),
        (0, ReservationRequest { order: "o\n".to_string(), holder: String::new(), ..good.clone() }, order),
        (0, ReservationRequest { holder: String::new(), units: 0.0, ..good.clone() }, holder),
        (0, ReservationRequest { units: 0.0, to_ms: 0, ..good.clone() }, units),
        (0, ReservationRequest { units: f64::NAN, ..good.clone() }, units),
        (0, ReservationRequest { to_ms: 1_000, lease_ms: 0, ..good.clone() }, end),
        (0, ReservationRequest { lease_ms: 0, ..good.clone() }, lease),
        (0, ReservationRequest { lease_ms: 3_600_001, ..good.clone() }, lease),
        (u64::MAX - 3_599_999, good.clone(), "a time on record is wanted"),
        (2_000, good.clone(), "a time that is not over is wanted"),
    ];
    let terms = PlanTimeline::always(PlanLimits { rate: 1.0, burst: 10.0, ..PlanLimits::default() });
    for (now_ms, ask, text) in cases {
        let refused = ReservationLedger::default().reserve(now_ms, ask.clone(), &terms).map(|r| r.token);
        assert_eq!(refused.map_err(|refused| refused.to_string()), Err(text.to_string()), "{ask:?}");
    }
    let mut ledger = ReservationLedger::default();
    let token = ledger.reserve(0, good, &terms).expect("room").token;
    assert_eq!(ledger.extend(0, token, 0).map_err(|refused| refused.to_string()), Err(lease.to_string()));
}
