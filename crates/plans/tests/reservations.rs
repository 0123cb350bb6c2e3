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
fn a_holder_that_dies_holds_nothing_beyond_its_lease() {
    let (mut book, terms) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    let token = book.reserve(0, ask("a", 30.0, 100, 101), &terms).expect("room").token;
    assert!(matches!(book.reserve(0, ask("b", 1.0, 100, 101), &terms), Err(ReservationError::NoRoom(_))));
    assert!(book.expire(4_999).is_empty());
    // Confirmed or not: it is the lease that holds.
    assert_eq!(book.confirm(token).expect("open").state, ReservationState::Confirmed);
    book.extend(4_000, token, 5_000).expect("open");
    assert!(book.expire(8_999).is_empty());
    let ended = book.expire(9_000);
    assert_eq!(
        ended.iter().map(|e| (e.reservation.token, e.end)).collect::<Vec<_>>(),
        [(token, EndReason::LeaseExpired)]
    );
    assert_eq!(book.extend(9_001, token, 5_000), Err(ReservationError::Ended(EndReason::LeaseExpired)));
    assert!(book.reserve(9_001, ask("b", 30.0, 100, 101), &terms).is_ok());
}

#[test]
fn a_repeated_order_is_one_reservation_and_another_holder_fences_the_first() {
    let (mut book, terms) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    let first = book.reserve(0, ask("a", 20.0, 10, 20), &terms).expect("room").token;
    assert_eq!(book.reserve(1, ask("a", 20.0, 10, 20), &terms).expect("the same").token, first);
    assert_eq!(book.live().count(), 1);
    assert_eq!(book.reserve(1, ask("a", 21.0, 10, 20), &terms), Err(ReservationError::OtherAsk));
    let other = ReservationRequest { holder: "second desk".to_string(), ..ask("a", 20.0, 10, 20) };
    let second = book.reserve(2, other, &terms).expect("taken over").token;
    assert!(second > first && book.live().count() == 1);
    assert_eq!(book.confirm(first), Err(ReservationError::Fenced));
    assert_eq!(book.release(3, first), Err(ReservationError::Fenced));
    assert!(book.confirm(second).is_ok());
    assert_eq!(book.release(4, second).expect("open").end, EndReason::Released);
    assert_eq!(book.release(5, second), Err(ReservationError::Ended(EndReason::Released)));
    // An order that ended is not carried out anew by a late repeat.
    assert_eq!(
        book.reserve(6, ask("a", 20.0, 10, 20), &terms),
        Err(ReservationError::Ended(EndReason::Released))
    );
    assert_eq!(book.confirm(FencingToken(99)), Err(ReservationError::Unknown));
}

#[test]
fn a_reservation_has_room_only_in_what_the_ceiling_leaves_over_every_span() {
    let (mut book, terms) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    // 20 and 10 a second: 30 in a second, 120 in ten.
    assert_eq!(book.reserve(0, ask("a", 31.0, 100, 101), &terms), Err(ReservationError::NoRoom(30.0)));
    book.reserve(0, ask("b", 25.0, 100, 101), &terms).expect("room");
    book.reserve(0, ask("c", 90.0, 100, 110), &terms).expect("room");
    assert_eq!(book.reserve(0, ask("d", 6.0, 105, 110), &terms), Err(ReservationError::NoRoom(5.0)));
    assert!(book.reserve(0, ask("d", 5.0, 105, 110), &terms).is_ok());
    // Another customer has its own.
    let other = ReservationRequest { customer: 8, ..ask("e", 30.0, 100, 101) };
    assert!(book.reserve(0, other, &terms).is_ok());
    // Without a ceiling the quota bounds it.
    let quota = PlanTimeline::always(PlanLimits { rate: 1.0, burst: 5.0, ..PlanLimits::default() });
    let third = ReservationRequest { customer: 9, ..ask("f", 7.0, 100, 101) };
    assert_eq!(book.reserve(0, third, &quota), Err(ReservationError::NoRoom(6.0)));
}

#[test]
fn a_lowered_plan_ends_pending_ones_first_and_of_each_the_newest() {
    let (mut book, terms) = (ReservationLedger::default(), ceiling(10.0, 40.0));
    let long = |order: &str, units, from, to| ReservationRequest {
        lease_ms: 3_600_000,
        ..ask(order, units, from, to)
    };
    let confirmed = book.reserve(0, long("old", 15.0, 100, 101), &terms).expect("room").token;
    let pending = book.reserve(0, long("pending", 15.0, 100, 101), &terms).expect("room").token;
    let newest = book.reserve(0, long("new", 15.0, 100, 101), &terms).expect("room").token;
    let elsewhere = book.reserve(0, long("elsewhere", 15.0, 500, 501), &terms).expect("room").token;
    book.confirm(confirmed).expect("open");
    book.confirm(newest).expect("open");
    let lowered = ceiling(10.0, 20.0);
    let lost: Vec<FencingToken> = book.lowered(1, 7, &lowered).iter().map(|e| e.reservation.token).collect();
    assert_eq!(lost, [pending]);
    let more: Vec<FencingToken> =
        book.lowered(2, 7, &ceiling(5.0, 10.0)).iter().map(|e| e.reservation.token).collect();
    assert_eq!(more, [newest]);
    // The holder hears with the next thing that it asks.
    assert_eq!(book.extend(3, newest, 1_000), Err(ReservationError::Ended(EndReason::PlanLowered)));
    assert!(book.confirm(elsewhere).is_ok() && book.confirm(confirmed).is_ok());
}

#[test]
fn a_reservation_ends_with_its_time_and_odd_asks_are_named() {
    let (mut book, terms) = (ReservationLedger::default(), ceiling(10.0, 20.0));
    let long = ReservationRequest { lease_ms: 3_600_000, ..ask("a", 5.0, 10, 20) };
    book.reserve(0, long, &terms).expect("room");
    assert_eq!(book.expire(60_000)[0].end, EndReason::PeriodOver);
    for odd in [
        ReservationRequest { units: f64::NAN, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { units: 0.0, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { to_ms: 10_000, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { lease_ms: 0, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { lease_ms: u64::MAX, ..ask("x", 1.0, 10, 20) },
        ReservationRequest { order: String::new(), ..ask("x", 1.0, 10, 20) },
        ReservationRequest { holder: "x".repeat(65), ..ask("x", 1.0, 10, 20) },
    ] {
        assert!(matches!(book.reserve(0, odd.clone(), &terms), Err(ReservationError::Bad(_))), "{odd:?}");
    }
    assert!(matches!(book.reserve(20_000, ask("late", 1.0, 10, 20), &terms), Err(ReservationError::Bad(_))));
    for i in 0..MAX_RESERVATIONS_PER_CUSTOMER as u64 {
        book.reserve(0, ask(&format!("n{i}"), 0.1, 10 + i, 12 + i), &terms).expect("room");
    }
    assert_eq!(
        book.reserve(0, ask("one more", 0.1, 10, 12), &terms),
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
    fn what_is_open_always_fits_and_never_outlives_its_lease(
        deeds in proptest::collection::vec(deed(), 1..80),
    ) {
        let (mut book, mut now) = (ReservationLedger::default(), 0u64);
        let (mut terms, mut greatest) = (ceiling(10.0, 40.0), FencingToken(0));
        for deed in deeds {
            match deed {
                Deed::Reserve(order, holder, units, from, length) => {
                    let at = now / 1_000 + from;
                    let ask = ask(&format!("o{order}"), units, at, at + length);
                    let ask = ReservationRequest { holder: format!("h{holder}"), ..ask };
                    if let Ok(r) = book.reserve(now, ask, &terms) {
                        greatest = greatest.max(r.token);
                    }
                }
                Deed::Confirm(token) => drop(book.confirm(FencingToken(token)).cloned()),
                Deed::Extend(token, lease) => drop(book.extend(now, FencingToken(token), lease).cloned()),
                Deed::Release(token) => drop(book.release(now, FencingToken(token))),
                Deed::Wait(ms) => now += ms,
                Deed::Lower(rate, burst) => {
                    terms = ceiling(rate, burst);
                    book.lowered(now, 7, &terms);
                }
            }
            book.expire(now);
            let of: Vec<_> = book.of(7).cloned().collect();
            prop_assert_eq!(of.len(), book.live().count());
            for r in &of {
                prop_assert!(r.lease_end_ms > now && r.ask.to_ms > now && r.token <= greatest);
                for other in &of {
                    let (from, to) = (r.ask.from_ms, other.ask.to_ms.max(r.ask.to_ms));
                    let inside = of.iter().filter(|x| from <= x.ask.from_ms && x.ask.to_ms <= to);
                    let units: f64 = inside.map(|x| x.ask.units).sum();
                    prop_assert!(units <= terms.most_between(from, to) + 1e-6, "{units} in {from} to {to}");
                }
            }
        }
    }
}
