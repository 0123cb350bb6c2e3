//! Reservations: holders that die, orders that repeat, ceilings that are lowered.

use plans::{
    EndReason, FencingToken, PlanLimits, PlanTimeline, ReservationError, ReservationLedger,
    ReservationRequest, ReservationState, MAX_RESERVATIONS_PER_CUSTOMER,
};
use proptest::prelude::*;

fn ceiling(rate: f64, burst: f64) -> PlanTimeline {
    let terms = PlanLimits { rate: 1.0, burst: 5.0, ceiling_rate: rate, ceiling_burst: burst };
    PlanTimeline::always(terms)
}

fn ask(order: &str, units: f64, from_s: u64, to_s: u64) -> ReservationRequest {
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
fn dead_holder_loses_its_reservation_with_the_lease() {
    let (mut ledger, terms) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    let token = ledger.reserve(0, ask("a", 30.0, 100, 101), &terms).expect("room").token;
    assert!(matches!(
        ledger.reserve(0, ask("b", 1.0, 100, 101), &terms),
        Err(ReservationError::ExceedsCeiling(_))
    ));
    assert!(ledger.expire(4_999).is_empty());
    // Confirmed or not: it is the lease that holds.
    assert_eq!(ledger.confirm(token).expect("open").state, ReservationState::Confirmed);
    ledger.extend(4_000, token, 5_000).expect("open");
    assert!(ledger.expire(8_999).is_empty());
    let ended = ledger.expire(9_000);
    assert_eq!(
        ended.iter().map(|e| (e.reservation.token, e.end)).collect::<Vec<_>>(),
        [(token, EndReason::LeaseExpired)]
    );
    assert_eq!(ledger.extend(9_001, token, 5_000), Err(ReservationError::Ended(EndReason::LeaseExpired)));
    assert!(ledger.reserve(9_001, ask("b", 30.0, 100, 101), &terms).is_ok());
}

#[test]
fn repeated_order_is_one_reservation_and_a_takeover_fences() {
    let (mut ledger, terms) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    let first = ledger.reserve(0, ask("a", 20.0, 10, 20), &terms).expect("room").token;
    assert_eq!(ledger.reserve(1, ask("a", 20.0, 10, 20), &terms).expect("the same").token, first);
    assert_eq!(ledger.open().count(), 1);
    assert_eq!(ledger.reserve(1, ask("a", 21.0, 10, 20), &terms), Err(ReservationError::DifferentRequest));
    let other = ReservationRequest { holder: "second desk".to_string(), ..ask("a", 20.0, 10, 20) };
    let second = ledger.reserve(2, other, &terms).expect("taken over").token;
    assert!(second > first && ledger.open().count() == 1);
    assert_eq!(ledger.confirm(first), Err(ReservationError::Fenced));
    assert_eq!(ledger.release(3, first), Err(ReservationError::Fenced));
    assert!(ledger.confirm(second).is_ok());
    assert_eq!(ledger.release(4, second).expect("open").end, EndReason::Released);
    assert_eq!(ledger.release(5, second), Err(ReservationError::Ended(EndReason::Released)));
    // An order that ended is not carried out anew by a late repeat.
    assert_eq!(
        ledger.reserve(6, ask("a", 20.0, 10, 20), &terms),
        Err(ReservationError::Ended(EndReason::Released))
    );
    assert_eq!(ledger.confirm(FencingToken(99)), Err(ReservationError::Unknown));
}

#[test]
fn reservations_fit_the_ceiling_over_every_span() {
    let (mut ledger, terms) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    // 20 and 10 a second: 30 in a second, 120 in ten.
    assert_eq!(
        ledger.reserve(0, ask("a", 31.0, 100, 101), &terms),
        Err(ReservationError::ExceedsCeiling(30.0))
    );
    ledger.reserve(0, ask("b", 25.0, 100, 101), &terms).expect("room");
    ledger.reserve(0, ask("c", 90.0, 100, 110), &terms).expect("room");
    assert_eq!(
        ledger.reserve(0, ask("d", 6.0, 105, 110), &terms),
        Err(ReservationError::ExceedsCeiling(5.0))
    );
    assert!(ledger.reserve(0, ask("d", 5.0, 105, 110), &terms).is_ok());
    // Another customer has its own.
    let other = ReservationRequest { customer: 8, ..ask("e", 30.0, 100, 101) };
    assert!(ledger.reserve(0, other, &terms).is_ok());
    // Without a ceiling the quota bounds it.
    let quota = PlanTimeline::always(PlanLimits { rate: 1.0, burst: 5.0, ..PlanLimits::default() });
    let third = ReservationRequest { customer: 9, ..ask("f", 7.0, 100, 101) };
    assert_eq!(ledger.reserve(0, third, &quota), Err(ReservationError::ExceedsCeiling(6.0)));
}

#[test]
fn lowered_plan_ends_pending_and_newest_reservations_first() {
    let (mut ledger, terms) = (ReservationLedger::default(), ceiling(10.0, 40.0));
    let long = |order: &str, units, from, to| ReservationRequest {
        lease_ms: 3_600_000,
        ..ask(order, units, from, to)
    };
    let confirmed = ledger.reserve(0, long("old", 15.0, 100, 101), &terms).expect("room").token;
    let pending = ledger.reserve(0, long("pending", 15.0, 100, 101), &terms).expect("room").token;
    let newest = ledger.reserve(0, long("new", 15.0, 100, 101), &terms).expect("room").token;
    let elsewhere = ledger.reserve(0, long("elsewhere", 15.0, 500, 501), &terms).expect("room").token;
    ledger.confirm(confirmed).expect("open");
    ledger.confirm(newest).expect("open");
    let lowered = ceiling(10.0, 20.0);
    let lost: Vec<FencingToken> =
        ledger.plan_lowered(1, 7, &lowered).iter().map(|e| e.reservation.token).collect();
    assert_eq!(lost, [pending]);
    let more: Vec<FencingToken> =
        ledger.plan_lowered(2, 7, &ceiling(5.0, 10.0)).iter().map(|e| e.reservation.token).collect();
    assert_eq!(more, [newest]);
    // The holder hears with the next thing that it asks.
    assert_eq!(ledger.extend(3, newest, 1_000), Err(ReservationError::Ended(EndReason::PlanLowered)));
    assert!(ledger.confirm(elsewhere).is_ok() && ledger.confirm(confirmed).is_ok());
}

#[test]
fn reservation_ends_with_its_period_and_invalid_requests_are_rejected() {
    let (mut ledger, terms) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    let long = ReservationRequest { lease_ms: 3_600_000, ..ask("a", 5.0, 10, 20) };
    ledger.reserve(0, long, &terms).expect("room");
    assert_eq!(ledger.expire(60_000)[0].end, EndReason::PeriodOver);
    for odd in [
        ReservationRequest { units: f64::NAN, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { units: 0.0, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { to_ms: 10_000, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { lease_ms: 0, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { lease_ms: u64::MAX, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { order: String::new(), ..ask("x", 1.0, 10, 20) },
        ReservationRequest { holder: "x".repeat(65), ..ask("x", 1.0, 10, 20) },
    ] {
        assert!(
            matches!(ledger.reserve(0, odd.clone(), &terms), Err(ReservationError::Invalid(_))),
            "{odd:?}"
        );
    }
    assert!(matches!(
        ledger.reserve(20_000, ask("late", 1.0, 10, 20), &terms),
        Err(ReservationError::Invalid(_))
    ));
    for i in 0..MAX_RESERVATIONS_PER_CUSTOMER as u64 {
        ledger.reserve(0, ask(&format!("n{i}"), 0.1, 10 + i, 12 + i), &terms).expect("room");
    }
    assert_eq!(
        ledger.reserve(0, ask("one more", 0.1, 10, 12), &terms),
        Err(ReservationError::TooMany(MAX_RESERVATIONS_PER_CUSTOMER))
    );
}

#[derive(Clone, Debug)]
enum Deed {
    Reserve(u8, u8, f64, u64, u64),
    Confirm(u64),
    Extend(u64, u64),
    Release(u64),
    Wait(u64),
    Lower(f64, f64),
}

fn deed() -> impl Strategy<Value = Deed> {
    prop_oneof![
        4 => (0u8..20, 0u8..2, 0.1f64..30.0, 0u64..40, 1u64..20)
            .prop_map(|(o, h, u, f, l)| Deed::Reserve(o, h, u, f, l)),
        1 => (0u64..30).prop_map(Deed::Confirm),
        1 => (0u64..30, 1u64..8_000).prop_map(|(t, l)| Deed::Extend(t, l)),
        1 => (0u64..30).prop_map(Deed::Release),
        1 => (0u64..4_000).prop_map(Deed::Wait),
        1 => (0.5f64..10.0, 1.0f64..40.0).prop_map(|(r, b)| Deed::Lower(r, b)),
    ]
}

proptest! {
    /// Whatever is asked in whatever order, what is open fits the terms in force, leases are kept, and tokens
    /// only grow.
    #[test]
    fn open_reservations_fit_and_never_outlive_their_lease(
        deeds in proptest::collection::vec(deed(), 1..80),
    ) {
        let (mut ledger, mut now) = (ReservationLedger::default(), 0u64);
        let (mut terms, mut greatest) = (ceiling(10.0, 40.0), FencingToken(0));
        for deed in deeds {
            match deed {
                Deed::Reserve(order, holder, units, from, length) => {
                    let at = now / 1_000 + from;
                    let ask = ask(&format!("o{order}"), units, at, at + length);
                    let ask = ReservationRequest { holder: format!("h{holder}"), ..ask };
                    if let Ok(r) = ledger.reserve(now, ask, &terms) {
                        greatest = greatest.max(r.token);
                    }
                }
                Deed::Confirm(token) => drop(ledger.confirm(FencingToken(token)).cloned()),
                Deed::Extend(token, lease) => drop(ledger.extend(now, FencingToken(token), lease).cloned()),
                Deed::Release(token) => drop(ledger.release(now, FencingToken(token))),
                Deed::Wait(ms) => now += ms,
                Deed::Lower(rate, burst) => {
                    terms = ceiling(rate, burst);
                    ledger.plan_lowered(now, 7, &terms);
                }
            }
            ledger.expire(now);
            let of: Vec<_> = ledger.of_customer(7).cloned().collect();
            prop_assert_eq!(of.len(), ledger.open().count());
            for r in &of {
                prop_assert!(r.lease_end_ms > now && r.request.to_ms > now && r.token <= greatest);
                for other in &of {
                    let (from, to) = (r.request.from_ms, other.request.to_ms.max(r.request.to_ms));
                    let inside = of.iter().filter(|x| from <= x.request.from_ms && x.request.to_ms <= to);
                    let units: f64 = inside.map(|x| x.request.units).sum();
                    prop_assert!(units <= terms.max_reservable(from, to) + 1e-6, "{units} in {from} to {to}");
                }
            }
        }
    }
}
