//! The bound on customers' stores: what it costs, and what is never lost to it.

mod support;

use gateway_policy::interface::*;
use gateway_policy::Policy;
use support::*;

const MOST: usize = 500;
/// Bytes that a customer takes in all tables.
const RECORD_BYTES: usize = 273;

fn rig(counter: bool) -> Rig {
    let mut settings = settings();
    (settings.max_customers, settings.shared_counter) = (MOST, counter);
    Rig::new(settings, 4)
}

/// One request, served at once if it is sent; a counter that works answers at once as well. Gives whether it
/// was served.
fn one(rig: &mut Rig, counter: &mut Counter, id: u64, customer: u64, plan: usize, units: f64) -> bool {
    let asked = Request { customer, deadline_ms: rig.now + 4_000.0, ..request(id, 0, plan, units) };
    let actions = counter.ask(rig, asked);
    let to = sent_to(&actions);
    for to in to.into_iter() {
        drop(rig.end(id, 0, to, Outcome::Ok));
    }
    to.is_some()
}

#[test]
fn flood_of_new_customers_is_served_within_capacity() {
    let (mut rig, mut counter, mut served) = (rig(true), Counter::default(), 0);
    for id in 0..50_000 {
        rig.now += 1.0 / 26.0;
        // Within the local part, which no total holds; a gateway that is pressed for records tells it.
        served += u32::from(one(&mut rig, &mut counter, id, 1_000 + id, 0, 0.5));
        assert!(rig.gateway.customer_count() <= MOST, "{} stores", rig.gateway.customer_count());
    }
    let (forgotten, units) = rig.gateway.evictions();
    // Each lacked what it had, and no more.
    assert!(served > 45_000 && forgotten > 40_000, "{served} served, {forgotten} forgotten");
    assert!(units <= forgotten as f64 * 0.501, "{units} units for {forgotten}");
}

#[test]
fn spent_ceiling_survives_a_flood() {
    let (mut rig, mut counter) = (rig(true), Counter::default());
    rig.now += 60_000.0;
    // Plan 1: a ceiling of 40 units over two gateways, so 20 here.
    let passed = (0..100).filter(|id| one(&mut rig, &mut counter, *id, 7, 1, 1.0)).count();
    assert!((15..=25).contains(&passed), "{passed}");
    // Its store is full again after this, and the ceiling is not.
    rig.now += 500.0;
    for id in 1_000..11_000 {
        one(&mut rig, &mut counter, id, id, 0, 1.0);
    }
    assert!(rig.gateway.evictions().0 > 5_000);
    let passed = (20_000..20_100).filter(|id| one(&mut rig, &mut counter, *id, 7, 1, 1.0)).count();
    assert!(passed <= 2, "{passed} pass beyond a ceiling that was forgotten");
}

#[test]
fn unreported_charges_survive_a_flood_that_is_rejected() {
    // Without a counter nothing can be told, so nobody may be forgotten before its store is full again.
    let (mut rig, mut counter, mut kept) = (rig(false), Counter::default(), Vec::new());
    for id in 0..5_000 {
        if one(&mut rig, &mut counter, id, id, 0, 1.0) {
            kept.push(id);
        }
    }
    assert_eq!((kept.len(), rig.gateway.customer_count(), rig.gateway.evictions().0), (MOST, MOST, 0));
    // As their stores fill, room comes back.
    rig.now += 20_000.0;
    let served = (10_000..12_000).filter(|id| one(&mut rig, &mut counter, *id, *id, 0, 1.0)).count();
    assert!(served >= MOST, "{served} served after that");
}

#[test]
fn evicted_customer_passes_no_more_than_its_bucket_lacked() {
    let (mut rig, mut counter) = (rig(true), Counter::default());
    // It spends what it has: 16 units of burst, told to the counter.
    let spent = (0..40).filter(|id| one(&mut rig, &mut counter, *id, 7, 0, 1.0)).count();
    assert!((14..=18).contains(&spent), "{spent}");
    for id in 1_000..6_000 {
        one(&mut rig, &mut counter, id, id, 0, 1.0);
    }
    let again = (7_000..7_040).filter(|id| one(&mut rig, &mut counter, *id, 7, 0, 1.0)).count();
    assert!(again <= spent, "{again} after {spent}");
}

/// The bound that a gateway sets by its memory: a number that operators read, and that follows from the bytes
/// of one record.
#[test]
fn customer_capacity_follows_from_the_bytes_of_a_record() {
    assert_eq!(Policy::customers_fitting(0), 1);
    for doubled in [1 << 4, 1 << 12, 1 << 20] {
        // Half of what a table holds once it has doubled, and the room for both while it does.
        let just_fits = RECORD_BYTES * doubled * 3 / 2;
        assert_eq!(Policy::customers_fitting(just_fits), doubled * 7 / 8, "{doubled}");
        assert_eq!(Policy::customers_fitting(just_fits - 1), doubled / 2 * 7 / 8, "{doubled}");
    }
}
