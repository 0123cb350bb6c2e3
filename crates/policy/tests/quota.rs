//! Token buckets of quotas: charges, settlement of actual units, counter calls and totals.

mod support;

use gateway_policy::interface::*;
use support::*;

fn rig_without_counter(plan: usize, n: u32) -> (Rig, usize) {
    (Rig::new(settings(), n), plan)
}

/// Sends requests of one customer with fan-out 1 until one is rejected. Returns the number of requests sent.
fn send_until_rejected(rig: &mut Rig, plan: usize, units: f64, first: u64) -> u32 {
    let mut sent = 0;
    for id in first.. {
        let mut r = request(id, 0, plan, units);
        r.fan_out = 1.0;
        let actions = rig.submit(r);
        match sent_to(&actions) {
            Some(backend) => rig.end_attempt(id, 0, backend, Outcome::Ok),
            None => {
                assert!(is_rejected(&actions), "rejected at once");
                break;
            }
        };
        sent += 1;
    }
    sent
}

#[test]
fn bucket_starts_full_and_refills_at_the_rate() {
    let (mut rig, plan) = rig_without_counter(0, 4);
    assert_eq!(send_until_rejected(&mut rig, plan, 4.0, 0), 4, "burst 16");
    rig.now += 3_000.0;
    assert_eq!(send_until_rejected(&mut rig, plan, 2.0, 100), 3, "2 units a second");
    rig.now += 60_000.0;
    assert_eq!(send_until_rejected(&mut rig, plan, 4.0, 200), 4, "holds at most the burst");
}

#[test]
fn answer_settles_the_actual_units() {
    let (mut rig, plan) = rig_without_counter(0, 4);
    let mut r = request(1, 0, plan, 4.0);
    r.fan_out = 1.0;
    let backend = sent_to(&rig.submit(r)).expect("sent");
    rig.handle(Event::AttemptEnded {
        id: 1,
        attempt: 0,
        backend,
        outcome: Outcome::Ok,
        latency_ms: 50.0,
        answered: true,
        metered_use: None,
        actual_units: Some(8.0),
        load: &[],
    });
    assert_eq!(send_until_rejected(&mut rig, plan, 4.0, 10), 2, "8 of 16 left");
}

#[test]
fn oversized_and_invalid_units_are_answered() {
    for units in [17.0, f64::INFINITY, f64::NAN, -1.0, 0.0] {
        let (mut rig, plan) = rig_without_counter(0, 4);
        let actions = rig.submit(request(1, 0, plan, units));
        assert!(is_rejected(&actions) || sent_to(&actions).is_some(), "{units}");
        assert_eq!(is_rejected(&actions), units == 17.0, "{units}");
    }
}

fn with_counter() -> Settings {
    Settings { shared_counter: true, ..settings() }
}

#[test]
fn total_decides_beyond_the_local_allowance() {
    for (others, admitted) in [(0.0, true), (8.0, true), (12.0, false)] {
        let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
        let actions = counter.submit(&mut rig, request(1, 0, 0, 2.0));
        let (key, amount) = counter_call(&actions).expect("a counter call");
        assert!(amount == 2.0 && sent_to(&actions).is_some(), "reported in full, admitted by its total");
        // The refill that a full bucket lost is reported from the second total of a customer on.
        counter.submit(&mut rig, request(2, 0, 0, 2.0));
        counter.add(key, others);
        let actions = rig.submit(request(3, 0, 0, 4.0));
        assert_eq!(sent_to(&actions), None, "waits for the total");
        let actions = counter.answer_calls(&mut rig, actions);
        assert_eq!(sent_to(&actions).is_some(), admitted, "{others}");
        assert_eq!(is_rejected(&actions), !admitted, "{others}");
    }
}

#[test]
fn empty_bucket_rejects_without_a_call() {
    let mut rig = Rig::new(with_counter(), 4);
    let (key, _) = counter_call(&rig.submit(request(1, 0, 0, 4.0))).expect("a counter call");
    rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total: 100.0 });
    let actions = rig.submit(request(2, 0, 0, 4.0));
    assert!(is_rejected(&actions));
    assert_eq!(counter_call(&actions), None);
}

/// A total that another gateway reduced must not be taken for that of a restarted counter, as the whole total
/// would be charged again.
#[test]
fn total_reduced_by_others_is_not_a_counter_restart() {
    let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
    let (key, _) = counter_call(&counter.submit(&mut rig, request(1, 0, 0, 1.0))).expect("a counter call");
    counter.submit(&mut rig, request(20, 0, 0, 1.0));
    counter.add(key, 11.0);
    assert!(sent_to(&counter.submit(&mut rig, request(2, 0, 0, 1.0))).is_some());
    // Three of the eleven units of others are withdrawn. Exactly the rest of the bucket is admitted.
    counter.add(key, -3.0);
    let passed = (3..12).filter(|id| sent_to(&counter.submit(&mut rig, request(*id, 0, 0, 1.0))).is_some());
    assert_eq!(passed.count(), 5, "16 minus 8 of others and 3");
}

/// If the total cannot be read, the amount must not be reported twice, and calls must not be throttled as if
/// the counter were overloaded.
#[test]
fn unreadable_total_counts_as_reported_and_throttles_no_calls() {
    for (outcome, total) in [(Outcome::Ok, f64::NAN), (Outcome::Reset, 0.0)] {
        for customer in 0..20 {
            let mut rig = Rig::new(with_counter(), 4);
            let request = |id| Request { customer, ..support::request(id, 0, 0, 2.0) };
            let (key, _) = counter_call(&rig.submit(request(1))).expect("a counter call");
            assert!(sent_to(&rig.handle(Event::CounterReplied { key, outcome, total })).is_some());
            let (_, amount) =
                counter_call(&rig.submit(request(2))).expect("a counter call for the next request");
            assert_eq!(amount, 2.0);
        }
    }
}

/// A rejected charge that is withdrawn in the next window would let that window admit too much.
#[test]
fn rejected_charge_is_withdrawn_within_its_window_only() {
    // After 40 s every customer is in another window.
    for wait_ms in [0.0, 40_000.0] {
        let withdrawn = (0..40).filter(|customer| {
            let mut rig = Rig::new(with_counter(), 4);
            let request = Request { customer: *customer, ..request(1, 0, 0, 4.0) };
            let (key, amount) = counter_call(&rig.submit(request)).expect("a counter call");
            assert_eq!(amount, 4.0);
            rig.now += wait_ms;
            let actions = rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total: 400.0 });
            assert!(is_rejected(&actions));
            let withdrawal = counter_call(&actions);
            for withdrawal in withdrawal.into_iter() {
                assert_eq!(withdrawal, (key, -4.0));
            }
            withdrawal.is_some()
        });
        assert_eq!(withdrawn.count(), if wait_ms > 0.0 { 0 } else { 40 });
    }
}

/// In a large fleet a gateway often sees a customer first in a window that other gateways have used already.
/// The total of the window decides: a customer within its rate must not be rejected because this gateway did
/// not observe the earlier windows.
#[test]
fn earlier_windows_do_not_affect_the_present_one() {
    let mut rig = Rig::new(with_counter(), 4);
    for id in 0..10 {
        let actions = rig.submit(request(id, 0, 0, 4.0));
        let (key, amount) = counter_call(&actions).expect("a counter call");
        let actions = rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total: 8.0 + amount });
        let backend = sent_to(&actions).expect("12 of 16 in this window");
        rig.end_attempt(id, 0, backend, Outcome::Ok);
        rig.now += 40_000.0;
    }
}

/// A counter that does not answer must not get more calls than it can handle, and must not delay requests.
/// Calls become rare while they fail, and recover afterwards.
#[test]
fn silent_counter_delays_no_request_and_is_called_rarely() {
    let mut rig = Rig::new(with_counter(), 16);
    let mut calls = [0; 3];
    for id in 0..900 {
        rig.now += 20.0;
        let r = Request { customer: id, deadline_ms: rig.now + 4_000.0, ..request(id, 0, 0, 1.0) };
        let actions = rig.submit(r);
        let Some((key, amount)) = counter_call(&actions) else {
            let backend = sent_to(&actions).expect("admitted without a total");
            rig.end_attempt(id, 0, backend, Outcome::Ok);
            continue;
        };
        calls[id as usize / 300] += 1;
        let answers = id >= 300;
        let sent = if answers {
            sent_to(&rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total: amount }))
        } else {
            let (token, at) = *timers(&actions).last().expect("a timeout of the call");
            assert!(at - rig.now <= 30.0);
            rig.now = at;
            let sent = sent_to(&rig.handle(Event::TimerExpired { token }));
            rig.handle(Event::CounterReplied { key, outcome: Outcome::Timeout, total: 0.0 });
            sent
        };
        rig.end_attempt(id, 0, sent.expect("sent"), Outcome::Ok);
    }
    assert!(calls[0] < 120 && calls[2] > 280, "{calls:?}");
}

fn submit_for_counter_call(rig: &mut Rig, customer: u64, id: u64) -> Option<(u64, f64)> {
    counter_call(&rig.submit(Request { customer, deadline_ms: rig.now + 4_000.0, ..request(id, 0, 0, 2.0) }))
}

/// If the charge of one call were scaled up for the skipped calls of other customers, it would empty a bucket
/// of a few requests.
#[test]
fn skipped_charge_of_a_new_customer_is_reported_in_full_later() {
    let mut settings = with_counter();
    settings.plans[0].rate = 0.02;
    let mut rig = Rig::new(settings, 4);
    let call_is_rejected = |rig: &mut Rig, customer| {
        let call = submit_for_counter_call(rig, customer, customer);
        let rejection = |(key, _)| Event::CounterReplied { key, outcome: Outcome::Rejected, total: 0.0 };
        call.map(|call| rig.handle(rejection(call))).is_some()
    };
    let skipped =
        (0..100).find(|customer| !call_is_rejected(&mut rig, *customer)).expect("a customer without a call");
    for other in 1_000..1_100 {
        rig.now += 100.0;
        if let Some((key, total)) = submit_for_counter_call(&mut rig, other, other) {
            rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total });
        }
    }
    let reported = submit_for_counter_call(&mut rig, skipped, 2_000).map_or(0.0, |c| c.1);
    assert!((3.7..=4.0).contains(&reported), "{reported}: both charges minus the refill since");
}

/// Charges that are only assumed of other gateways must not reject a request: without its call, no total
/// would correct the assumption.
#[test]
fn bucket_emptied_by_assumed_charges_calls_the_counter() {
    let mut rig = Rig::new(with_counter(), 4);
    for id in 1..3 {
        let (key, _) = counter_call(&rig.submit(request(id, 0, 0, 4.0))).expect("a counter call");
        let actions = rig.handle(Event::CounterReplied { key, outcome: Outcome::Reset, total: 0.0 });
        assert!(sent_to(&actions).is_some());
    }
    // Of 16 units, 8 are spent here and 8 are assumed of others.
    let (key, _) = counter_call(&rig.submit(request(3, 0, 0, 4.0))).expect("a counter call");
    let actions = rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total: 12.0 });
    assert!(sent_to(&actions).is_some());
    // The bucket was full at the first request. The refill lost until then is reported after a total.
    let lost = counter_call(&actions).map_or(0.0, |(key, lost)| {
        rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total: 12.0 + lost });
        lost
    });
    for (id, total) in [(4, 16.0 + lost), (5, 32.0 + lost)] {
        let Some((key, _)) = counter_call(&rig.submit(request(id, 0, 0, 4.0))) else { continue };
        let actions = rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total });
        assert_eq!(sent_to(&actions).is_some(), id == 4);
    }
}

/// Calls must be throttled as soon as their latency grows, before they all time out.
#[test]
fn calls_are_throttled_as_answers_slow_down() {
    let calls = |latency: f64| {
        let mut rig = Rig::new(with_counter(), 4);
        let call = |id| {
            rig.now += 1.0;
            let (key, total) = submit_for_counter_call(&mut rig, id, id)?;
            rig.now += if id == 0 { 5.0 } else { latency };
            let backend = sent_to(&rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total }))?;
            rig.end_attempt(id, 0, backend, Outcome::Ok);
            Some(())
        };
        (0..200).filter_map(call).count()
    };
    assert_eq!(calls(10.0), 200);
    assert!(calls(25.0) < 100);
}

/// Charges that were assumed of others while a call was unanswered must be returned when the next total shows
/// none.
#[test]
fn assumed_charges_are_returned_with_the_next_total() {
    let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
    let (key, amount) = counter_call(&rig.submit(request(1, 0, 0, 4.0))).expect("a counter call");
    counter.add(key, amount);
    rig.handle(Event::CounterReplied { key, outcome: Outcome::Reset, total: 0.0 });
    for id in 2..5 {
        assert!(sent_to(&counter.submit(&mut rig, request(id, 0, 0, 4.0))).is_some(), "{id}");
    }
}

#[test]
fn gateway_without_a_counter_keeps_to_its_share() {
    let mut rig = Rig::new(settings(), 4);
    let mut passed = 0.0;
    for id in 0..600 {
        rig.now += 100.0;
        let mut r = request(id, 0, 0, 2.0);
        r.deadline_ms = rig.now + 4_000.0;
        if let Some(backend) = sent_to(&rig.submit(r)) {
            passed += 2.0;
            rig.end_attempt(id, 0, backend, Outcome::Ok);
        }
    }
    let even_share = (16.0 + 2.0 * 60.0) / 2.0;
    assert!((0.8 * even_share..1.25 * even_share).contains(&passed), "{passed} of {even_share}");
}

#[test]
fn restarted_counter_gets_the_charges_again() {
    let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
    assert!(sent_to(&counter.submit(&mut rig, request(1, 0, 0, 4.0))).is_some());
    counter = Counter::default();
    let passed = (2..9).filter(|id| sent_to(&counter.submit(&mut rig, request(*id, 0, 0, 4.0))).is_some());
    assert_eq!(passed.count(), 3, "16 minus the 4 before");
    // Another gateway with the same counter finds the bucket empty as well.
    let mut other = Rig::seeded(with_counter(), 4, 2);
    assert!(is_rejected(&counter.submit(&mut other, request(20, 0, 0, 4.0))));
}

/// A total of a restarted counter lacks charges that are still being reported. It must not be read as that of
/// a full bucket.
#[test]
fn total_without_unreported_charges_admits_nothing() {
    let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
    let passed = (1..7).filter(|id| sent_to(&counter.submit(&mut rig, request(*id, 0, 0, 2.0))).is_some());
    assert_eq!(passed.count(), 6);
    // The counter restarts. Four units are left, and two calls are in flight at once.
    let calls = [10, 11].map(|id| counter_call(&rig.submit(request(id, 0, 0, 2.0))).expect("a counter call"));
    let mut total = 0.0;
    let reported = calls.map(|(key, amount)| {
        total += amount;
        let actions = rig.handle(Event::CounterReplied { key, outcome: Outcome::Ok, total });
        assert!(sent_to(&actions).is_some());
        counter_call(&actions).map_or(0.0, |(_, lost)| lost)
    });
    assert!(reported[0] >= 12.0 && reported[1] == 0.0, "{reported:?}: all charges, reported once");
    let actions = rig.submit(request(12, 0, 0, 2.0));
    assert!(is_rejected(&actions) && counter_call(&actions).is_none(), "{actions:?}");
}

#[test]
fn concurrency_limit_holds_without_a_rate() {
    let mut s = settings();
    s.plans[2].max_in_flight = 4;
    let mut rig = Rig::new(s, 4);
    let sent: Vec<bool> = (0..8).map(|id| sent_to(&rig.submit(request(id, 0, 2, 1.0))).is_some()).collect();
    let passed = sent.iter().filter(|sent| **sent).count();
    assert!((1..=4).contains(&passed), "{passed} with a limit of 4");
}

/// After an outage of the counter, customers must not be admitted without totals for seconds.
#[test]
fn calls_resume_soon_after_an_outage() {
    let (mut during_outage, mut after_outage) = (0, 0);
    for seed in 1..=8 {
        let mut rig = Rig::seeded(with_counter(), 16, seed);
        let mut first = None;
        for step in 0..500 {
            rig.now += 25.0;
            // Every call fails for 5 s, then every call is answered at once. The customers are new, so calls
            // for them are the first to be skipped.
            let (customer, deadline_ms) = (1_000 + step, rig.now + 4_000.0);
            let mut actions = rig.submit(Request { customer, deadline_ms, ..request(step, 0, 0, 1.0) });
            if let Some((key, amount)) = counter_call(&actions) {
                let fails = step < 200;
                during_outage += u32::from((160..200).contains(&step));
                let first = if fails { step } else { *first.get_or_insert(step) };
                after_outage += u32::from(!fails && step - first < 40);
                let (outcome, total) = if fails { (Outcome::Timeout, 0.0) } else { (Outcome::Ok, amount) };
                actions = rig.handle(Event::CounterReplied { key, outcome, total });
            }
            rig.end_attempt(step, 0, sent_to(&actions).expect("sent"), Outcome::Ok);
        }
    }
    // Calls in the last second of the outage, and in the second after the first answer. If the probability of
    // a call grew from its minimum by only 0.3 a second, about eight of forty calls would be made.
    assert!(during_outage < 8 * 10 && after_outage >= 8 * 20, "{during_outage} and {after_outage} of 320");
}
