//! The limit on customer records: what evictions cost, and which records are never evicted.

mod support;

use gateway_policy::interface::*;
use gateway_policy::Policy;
use support::*;

const MAX_CUSTOMERS: usize = 500;
/// Memory of a customer's record, bytes: the hash table's slot and the key in the sampling order.
const RECORD_BYTES: usize = 273;

fn rig(shared_counter: bool) -> Rig {
    let mut settings = settings();
    (settings.max_customers, settings.shared_counter) = (MAX_CUSTOMERS, shared_counter);
    Rig::new(settings, 4)
}

/// Submits a request, which is served at once if it is sent. Counter calls are answered at once. Returns
/// whether the request was served.
fn serve_one(rig: &mut Rig, counter: &mut Counter, id: u64, customer: u64, plan: usize, units: f64) -> bool {
    let request = Request { customer, deadline_ms: rig.now + 4_000.0, ..request(id, 0, plan, units) };
    let actions = counter.submit(rig, request);
    let backend = sent_to(&actions);
    for backend in backend.into_iter() {
        drop(rig.end_attempt(id, 0, backend, Outcome::Ok));
    }
    backend.is_some()
}

#[test]
fn many_new_customers_are_served_within_capacity() {
    let (mut rig, mut counter, mut served) = (rig(true), Counter::default(), 0);
    for id in 0..50_000 {
        rig.now += 1.0 / 26.0;
        // Admitted from the local allowance, which is in no total. The gateway reports it to free the record.
        served += u32::from(serve_one(&mut rig, &mut counter, id, 1_000 + id, 0, 0.5));
        assert!(rig.gateway.customer_count() <= MAX_CUSTOMERS, "{} records", rig.gateway.customer_count());
    }
    let (evicted, units) = rig.gateway.evictions();
    // Each eviction gave back at most the units of its customer's only request.
    assert!(served > 45_000 && evicted > 40_000, "{served} served, {evicted} evicted");
    assert!(units <= evicted as f64 * 0.501, "{units} units for {evicted} records");
}

#[test]
fn spent_ceiling_survives_many_new_customers() {
    let (mut rig, mut counter) = (rig(true), Counter::default());
    rig.now += 60_000.0;
    // Plan 1 has a ceiling of 40 units over two gateways, so 20 here.
    let passed = (0..100).filter(|id| serve_one(&mut rig, &mut counter, *id, 7, 1, 1.0)).count();
    assert!((15..=25).contains(&passed), "{passed}");
    // After this the quota's bucket is full again, but not the ceiling's.
    rig.now += 500.0;
    for id in 1_000..11_000 {
        serve_one(&mut rig, &mut counter, id, id, 0, 1.0);
    }
    assert!(rig.gateway.evictions().0 > 5_000);
    let passed = (20_000..20_100).filter(|id| serve_one(&mut rig, &mut counter, *id, 7, 1, 1.0)).count();
    assert!(passed <= 2, "{passed} pass beyond the ceiling after an eviction");
}

#[test]
fn unreported_charges_survive_many_rejected_customers() {
    // Without a counter, charges cannot be reported, so no record may be evicted before its bucket is full.
    let (mut rig, mut counter, mut kept) = (rig(false), Counter::default(), Vec::new());
    for id in 0..5_000 {
        if serve_one(&mut rig, &mut counter, id, id, 0, 1.0) {
            kept.push(id);
        }
    }
    assert_eq!(
        (kept.len(), rig.gateway.customer_count(), rig.gateway.evictions().0),
        (MAX_CUSTOMERS, MAX_CUSTOMERS, 0)
    );
    // Records become evictable as their buckets refill.
    rig.now += 20_000.0;
    let served = (10_000..12_000).filter(|id| serve_one(&mut rig, &mut counter, *id, *id, 0, 1.0)).count();
    assert!(served >= MAX_CUSTOMERS, "{served} served after the refill");
}

#[test]
fn evicted_customer_regains_no_more_than_it_spent() {
    let (mut rig, mut counter) = (rig(true), Counter::default());
    // The customer spends its burst of 16 units, which is reported to the counter.
    let spent = (0..40).filter(|id| serve_one(&mut rig, &mut counter, *id, 7, 0, 1.0)).count();
    assert!((14..=18).contains(&spent), "{spent}");
    for id in 1_000..6_000 {
        serve_one(&mut rig, &mut counter, id, id, 0, 1.0);
    }
    let again = (7_000..7_040).filter(|id| serve_one(&mut rig, &mut counter, *id, 7, 0, 1.0)).count();
    assert!(again <= spent, "{again} after {spent}");
}

/// The gateway derives its maximum number of customers from its memory budget and the size of a record. A
/// larger record would lower that number, which operators read.
#[test]
fn customer_capacity_follows_from_the_bytes_of_a_record() {
    assert_eq!(Policy::customers_fitting(0), 1);
    for doubled in [1 << 4, 1 << 12, 1 << 20] {
        // The memory of a table after doubling plus that of the old table, half as large.
        let just_fits = RECORD_BYTES * doubled * 3 / 2;
        assert_eq!(Policy::customers_fitting(just_fits), doubled * 7 / 8, "{doubled}");
        assert_eq!(Policy::customers_fitting(just_fits - 1), doubled / 2 * 7 / 8, "{doubled}");
    }
}
