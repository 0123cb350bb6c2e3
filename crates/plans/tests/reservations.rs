//! Reservations: expired leases, repeated orders, takeovers and lowered ceilings.

use plans::{
    EndReason, FencingToken, PlanLimits, PlanTimeline, ReservationError, ReservationLedger,
    ReservationRequest, ReservationState, MAX_RESERVATIONS_PER_CUSTOMER,
};
use proptest::prelude::*;

fn ceiling(rate: f64, burst: f64) -> PlanTimeline {
    let limits = PlanLimits { rate: 1.0, burst: 5.0, ceiling_rate: rate, ceiling_burst: burst };
    PlanTimeline::always(limits)
}

fn request(order: &str, units: f64, from_s: u64, to_s: u64) -> ReservationRequest {
    ReservationRequest {
        order: order.to_string(),
        holder: "desk".to_string(),
        customer: 7,
        units,
        from_ms: from_s * 1_000,
        to_ms: to_s * 1_000,
        lease_ms: 5_000,
    }
}

#[test]
fn reservation_ends_when_its_lease_expires() {
    let (mut ledger, limits) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    let token = ledger.reserve(0, request("a", 30.0, 100, 101), &limits).expect("reserved").token;
    assert!(matches!(
        ledger.reserve(0, request("b", 1.0, 100, 101), &limits),
        Err(ReservationError::ExceedsCeiling(_))
    ));
    assert!(ledger.expire(4_999).is_empty());
    // A confirmed reservation also ends with its lease.
    assert_eq!(ledger.confirm(token).expect("an open reservation").state, ReservationState::Confirmed);
    ledger.extend(4_000, token, 5_000).expect("an open reservation");
    assert!(ledger.expire(8_999).is_empty());
    let ended = ledger.expire(9_000);
    assert_eq!(
        ended.iter().map(|e| (e.reservation.token, e.end)).collect::<Vec<_>>(),
        [(token, EndReason::LeaseExpired)]
    );
    assert_eq!(ledger.extend(9_001, token, 5_000), Err(ReservationError::Ended(EndReason::LeaseExpired)));
    assert!(ledger.reserve(9_001, request("b", 30.0, 100, 101), &limits).is_ok());
}

#[test]
fn repeated_order_keeps_its_reservation_and_takeover_fences() {
    let (mut ledger, limits) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    let first = ledger.reserve(0, request("a", 20.0, 10, 20), &limits).expect("reserved").token;
    assert_eq!(
        ledger.reserve(1, request("a", 20.0, 10, 20), &limits).expect("the same reservation").token,
        first
    );
    assert_eq!(ledger.open().count(), 1);
    assert_eq!(
        ledger.reserve(1, request("a", 21.0, 10, 20), &limits),
        Err(ReservationError::DifferentRequest)
    );
    let other = ReservationRequest { holder: "second desk".to_string(), ..request("a", 20.0, 10, 20) };
    let second = ledger.reserve(2, other, &limits).expect("taken over").token;
    assert!(second > first && ledger.open().count() == 1);
    assert_eq!(ledger.confirm(first), Err(ReservationError::Fenced));
    assert_eq!(ledger.release(3, first), Err(ReservationError::Fenced));
    assert!(ledger.confirm(second).is_ok());
    assert_eq!(ledger.release(4, second).expect("an open reservation").end, EndReason::Released);
    assert_eq!(ledger.release(5, second), Err(ReservationError::Ended(EndReason::Released)));
    // A late repeat of an ended order makes no new reservation.
    assert_eq!(
        ledger.reserve(6, request("a", 20.0, 10, 20), &limits),
        Err(ReservationError::Ended(EndReason::Released))
    );
    assert_eq!(ledger.confirm(FencingToken(99)), Err(ReservationError::Unknown));
}

#[test]
fn reservations_fit_the_ceiling_over_every_span() {
    let (mut ledger, limits) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    // Burst 20 and 10 units per second: 30 units in 1 s, 120 in 10 s.
    assert_eq!(
        ledger.reserve(0, request("a", 31.0, 100, 101), &limits),
        Err(ReservationError::ExceedsCeiling(30.0))
    );
    ledger.reserve(0, request("b", 25.0, 100, 101), &limits).expect("reserved");
    ledger.reserve(0, request("c", 90.0, 100, 110), &limits).expect("reserved");
    assert_eq!(
        ledger.reserve(0, request("d", 6.0, 105, 110), &limits),
        Err(ReservationError::ExceedsCeiling(5.0))
    );
    assert!(ledger.reserve(0, request("d", 5.0, 105, 110), &limits).is_ok());
    // The limit of another customer is separate.
    let other = ReservationRequest { customer: 8, ..request("e", 30.0, 100, 101) };
    assert!(ledger.reserve(0, other, &limits).is_ok());
    // Without a ceiling the quota is the limit.
    let quota = PlanTimeline::always(PlanLimits { rate: 1.0, burst: 5.0, ..PlanLimits::default() });
    let third = ReservationRequest { customer: 9, ..request("f", 7.0, 100, 101) };
    assert_eq!(ledger.reserve(0, third, &quota), Err(ReservationError::ExceedsCeiling(6.0)));
}

#[test]
fn lowered_plan_ends_pending_and_newest_reservations_first() {
    let (mut ledger, limits) = (ReservationLedger::default(), ceiling(10.0, 40.0));
    let long = |order: &str, units, from, to| ReservationRequest {
        lease_ms: 3_600_000,
        ..request(order, units, from, to)
    };
    let confirmed = ledger.reserve(0, long("old", 15.0, 100, 101), &limits).expect("reserved").token;
    let pending = ledger.reserve(0, long("pending", 15.0, 100, 101), &limits).expect("reserved").token;
    let newest = ledger.reserve(0, long("new", 15.0, 100, 101), &limits).expect("reserved").token;
    let elsewhere = ledger.reserve(0, long("elsewhere", 15.0, 500, 501), &limits).expect("reserved").token;
    ledger.confirm(confirmed).expect("an open reservation");
    ledger.confirm(newest).expect("an open reservation");
    let lowered = ceiling(10.0, 20.0);
    let lost: Vec<FencingToken> =
        ledger.plan_lowered(1, 7, &lowered).iter().map(|e| e.reservation.token).collect();
    assert_eq!(lost, [pending]);
    let more: Vec<FencingToken> =
        ledger.plan_lowered(2, 7, &ceiling(5.0, 10.0)).iter().map(|e| e.reservation.token).collect();
    assert_eq!(more, [newest]);
    // The next call of the holder reports the end.
    assert_eq!(ledger.extend(3, newest, 1_000), Err(ReservationError::Ended(EndReason::PlanLowered)));
    assert!(ledger.confirm(elsewhere).is_ok() && ledger.confirm(confirmed).is_ok());
}

#[test]
fn reservation_ends_with_period_and_invalid_requests_fail() {
    let (mut ledger, limits) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    let long = ReservationRequest { lease_ms: 3_600_000, ..request("a", 5.0, 10, 20) };
    ledger.reserve(0, long, &limits).expect("reserved");
    assert_eq!(ledger.expire(60_000)[0].end, EndReason::PeriodOver);
    for invalid in [
        ReservationRequest { units: f64::NAN, ..request("x", 1.0, 10, 20) },
        ReservationRequest { units: 0.0, ..request("x", 1.0, 10, 20) },
        ReservationRequest { to_ms: 10_000, ..request("x", 1.0, 10, 20) },
        ReservationRequest { lease_ms: 0, ..request("x", 1.0, 10, 20) },
        ReservationRequest { lease_ms: u64::MAX, ..request("x", 1.0, 10, 20) },
        ReservationRequest { order: String::new(), ..request("x", 1.0, 10, 20) },
        ReservationRequest { holder: "x".repeat(65), ..request("x", 1.0, 10, 20) },
    ] {
        assert!(
            matches!(ledger.reserve(0, invalid.clone(), &limits), Err(ReservationError::Invalid(_))),
            "{invalid:?}"
        );
    }
    assert!(matches!(
        ledger.reserve(20_000, request("late", 1.0, 10, 20), &limits),
        Err(ReservationError::Invalid(_))
    ));
    for i in 0..MAX_RESERVATIONS_PER_CUSTOMER as u64 {
        ledger.reserve(0, request(&format!("n{i}"), 0.1, 10 + i, 12 + i), &limits).expect("reserved");
    }
    assert_eq!(
        ledger.reserve(0, request("one more", 0.1, 10, 12), &limits),
        Err(ReservationError::TooMany(MAX_RESERVATIONS_PER_CUSTOMER))
    );
}

#[derive(Clone, Debug)]
enum Operation {
    Reserve(u8, u8, f64, u64, u64),
    Confirm(u64),
    Extend(u64, u64),
    Release(u64),
    Wait(u64),
    LowerPlan(f64, f64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0u8..20, 0u8..2, 0.1f64..30.0, 0u64..40, 1u64..20)
            .prop_map(|(o, h, u, f, l)| Operation::Reserve(o, h, u, f, l)),
        1 => (0u64..30).prop_map(Operation::Confirm),
        1 => (0u64..30, 1u64..8_000).prop_map(|(t, l)| Operation::Extend(t, l)),
        1 => (0u64..30).prop_map(Operation::Release),
        1 => (0u64..4_000).prop_map(Operation::Wait),
        1 => (0.5f64..10.0, 1.0f64..40.0).prop_map(|(r, b)| Operation::LowerPlan(r, b)),
    ]
}

proptest! {
    /// After any sequence of operations the open reservations fit the limits in force, none outlives its
    /// lease, and tokens only increase.
    #[test]
    fn open_reservations_fit_limits_and_leases(
        operations in proptest::collection::vec(operation(), 1..80),
    ) {
        let (mut ledger, mut now) = (ReservationLedger::default(), 0u64);
        let (mut limits, mut greatest) = (ceiling(10.0, 40.0), FencingToken(0));
        for operation in operations {
            match operation {
                Operation::Reserve(order, holder, units, from, length) => {
                    let at = now / 1_000 + from;
                    let request = request(&format!("o{order}"), units, at, at + length);
                    let request = ReservationRequest { holder: format!("h{holder}"), ..request };
                    if let Ok(r) = ledger.reserve(now, request, &limits) {
                        greatest = greatest.max(r.token);
                    }
                }
                Operation::Confirm(token) => drop(ledger.confirm(FencingToken(token)).cloned()),
                Operation::Extend(token, lease) => {
                    drop(ledger.extend(now, FencingToken(token), lease).cloned());
                }
                Operation::Release(token) => drop(ledger.release(now, FencingToken(token))),
                Operation::Wait(ms) => now += ms,
                Operation::LowerPlan(rate, burst) => {
                    limits = ceiling(rate, burst);
                    ledger.plan_lowered(now, 7, &limits);
                }
            }
            ledger.expire(now);
            let open: Vec<_> = ledger.of_customer(7).cloned().collect();
            prop_assert_eq!(open.len(), ledger.open().count());
            for r in &open {
                prop_assert!(r.lease_end_ms > now && r.request.to_ms > now && r.token <= greatest);
                for other in &open {
                    let (from, to) = (r.request.from_ms, other.request.to_ms.max(r.request.to_ms));
                    let inside = open.iter().filter(|x| from <= x.request.from_ms && x.request.to_ms <= to);
                    let units: f64 = inside.map(|x| x.request.units).sum();
                    let allowed = limits.max_reservable(from, to) + 1e-6;
                    prop_assert!(units <= allowed, "{units} in {from} to {to}");
                }
            }
        }
    }
}
