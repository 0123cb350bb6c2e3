//! The charged store, its settlement, and what happens without a total.

mod support;

use gateway_policy::interface::*;
use support::*;

fn alone(plan: usize, n: u32) -> (Rig, usize) {
    (Rig::new(settings(), n), plan)
}

/// Sends requests of `units` by one customer of width 1 until one is refused.
fn passes(rig: &mut Rig, plan: usize, units: f64, first: u64) -> u32 {
    let mut passed = 0;
    for id in first.. {
        let mut r = request(id, 0, plan, units);
        r.fan_out = 1.0;
        let actions = rig.ask(r);
        match sent_to(&actions) {
            Some(backend) => rig.end(id, 0, backend, Outcome::Ok),
            None => {
                assert!(rejected(&actions), "refused at once");
                break;
            }
        };
        passed += 1;
    }
    passed
}

#[test]
fn bucket_starts_full_and_refills_at_the_rate() {
    let (mut rig, plan) = alone(0, 4);
    assert_eq!(passes(&mut rig, plan, 4.0, 0), 4, "burst 16");
    rig.now += 3_000.0;
    assert_eq!(passes(&mut rig, plan, 2.0, 100), 3, "2 units a second");
    rig.now += 60_000.0;
    assert_eq!(passes(&mut rig, plan, 4.0, 200), 4, "holds the burst at most");
}

#[test]
fn actual_units_are_settled_from_the_answer() {
    let (mut rig, plan) = alone(0, 4);
    let mut r = request(1, 0, plan, 4.0);
    r.fan_out = 1.0;
    let backend = sent_to(&rig.ask(r)).expect("sent");
    rig.on(Event::AttemptEnded {
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
    assert_eq!(passes(&mut rig, plan, 4.0, 10), 2, "8 of 16 left");
}

#[test]
fn oversized_requests_and_odd_units_are_answered() {
    for units in [17.0, f64::INFINITY, f64::NAN, -1.0, 0.0] {
        let (mut rig, plan) = alone(0, 4);
        let actions = rig.ask(request(1, 0, plan, units));
        assert!(rejected(&actions) || sent_to(&actions).is_some(), "{units}");
        assert_eq!(rejected(&actions), units == 17.0, "{units}");
    }
}

fn with_counter() -> Settings {
    Settings { shared_counter: true, ..settings() }
}

#[test]
fn total_decides_beyond_the_local_allowance() {
    for (others, passes) in [(0.0, true), (8.0, true), (12.0, false)] {
        let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
        let actions = counter.ask(&mut rig, request(1, 0, 0, 2.0));
        let (name, amount) = counted(&actions).expect("one call");
        assert!(amount == 2.0 && sent_to(&actions).is_some(), "told whole, sent by its total");
        // The second total of a customer is the first whose lost refill is told.
        counter.ask(&mut rig, request(2, 0, 0, 2.0));
        counter.add(name, others);
        let actions = rig.ask(request(3, 0, 0, 4.0));
        assert_eq!(sent_to(&actions), None, "waits for the total");
        let actions = counter.settle(&mut rig, actions);
        assert_eq!(sent_to(&actions).is_some(), passes, "{others}");
        assert_eq!(rejected(&actions), !passes, "{others}");
    }
}

#[test]
fn empty_bucket_rejects_without_a_call() {
    let mut rig = Rig::new(with_counter(), 4);
    let (name, _) = counted(&rig.ask(request(1, 0, 0, 4.0))).expect("one call");
    rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total: 100.0 });
    let actions = rig.ask(request(2, 0, 0, 4.0));
    assert!(rejected(&actions));
    assert_eq!(counted(&actions), None);
}

/// A total that others lessened must not be taken for one of a restarted counter, and charged in full once
/// more.
#[test]
fn total_lessened_by_others_is_not_a_counter_restart() {
    let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
    let (name, _) = counted(&counter.ask(&mut rig, request(1, 0, 0, 1.0))).expect("one call");
    counter.ask(&mut rig, request(20, 0, 0, 1.0));
    counter.add(name, 11.0);
    assert!(sent_to(&counter.ask(&mut rig, request(2, 0, 0, 1.0))).is_some());
    // Of the eleven units of others, three are taken back; what is left of the store passes, and no more.
    counter.add(name, -3.0);
    let passed = (3..12).filter(|id| sent_to(&counter.ask(&mut rig, request(*id, 0, 0, 1.0))).is_some());
    assert_eq!(passed.count(), 5, "16 but for 8 and 3");
}

/// An amount must not be reported twice, nor calls be skipped as if the counter were busy.
#[test]
fn unreadable_total_counts_as_added_and_throttles_no_calls() {
    for (outcome, total) in [(Outcome::Ok, f64::NAN), (Outcome::Reset, 0.0)] {
        for customer in 0..20 {
            let mut rig = Rig::new(with_counter(), 4);
            let ask = |id| Request { customer, ..request(id, 0, 0, 2.0) };
            let (key, _) = counted(&rig.ask(ask(1))).expect("one call");
            assert!(sent_to(&rig.on(Event::CounterReplied { key, outcome, total })).is_some());
            let (_, amount) = counted(&rig.ask(ask(2))).expect("a call for the next as well");
            assert_eq!(amount, 2.0);
        }
    }
}

/// A charge rejected in one window and withdrawn in the next would let that one pass too much.
#[test]
fn rejected_charge_is_withdrawn_within_its_window_only() {
    // After 40 s each is in another window.
    for wait_ms in [0.0, 40_000.0] {
        let back = (0..40).filter(|customer| {
            let mut rig = Rig::new(with_counter(), 4);
            let asked = Request { customer: *customer, ..request(1, 0, 0, 4.0) };
            let (name, amount) = counted(&rig.ask(asked)).expect("one call");
            assert_eq!(amount, 4.0);
            rig.now += wait_ms;
            let actions = rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total: 400.0 });
            assert!(rejected(&actions));
            let back = counted(&actions);
            for back in back.into_iter() {
                assert_eq!(back, (name, -4.0));
            }
            back.is_some()
        });
        assert_eq!(back.count(), if wait_ms > 0.0 { 0 } else { 40 });
    }
}

/// In a large fleet each gateway comes to a window that others have long used. Its total decides; a customer
/// that spent no more than the rate gave since the start is not rejected for want of watching.
#[test]
fn past_windows_do_not_affect_the_present_one() {
    let mut rig = Rig::new(with_counter(), 4);
    for id in 0..10 {
        let actions = rig.ask(request(id, 0, 0, 4.0));
        let (name, amount) = counted(&actions).expect("one call");
        let actions = rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total: 8.0 + amount });
        let backend = sent_to(&actions).expect("12 of 16 in this window");
        rig.end(id, 0, backend, Outcome::Ok);
        rig.now += 40_000.0;
    }
}

/// A counter must not get more calls than it can take. They become rare while they fail, and come back.
#[test]
fn silent_counter_holds_no_request_and_is_called_rarely() {
    let mut rig = Rig::new(with_counter(), 16);
    let mut calls = [0; 3];
    for id in 0..900 {
        rig.now += 20.0;
        let r = Request { customer: id, deadline_ms: rig.now + 4_000.0, ..request(id, 0, 0, 1.0) };
        let actions = rig.ask(r);
        let Some((name, amount)) = counted(&actions) else {
            let backend = sent_to(&actions).expect("decided alone");
            rig.end(id, 0, backend, Outcome::Ok);
            continue;
        };
        calls[id as usize / 300] += 1;
        let answers = id >= 300;
        let sent = if answers {
            sent_to(&rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total: amount }))
        } else {
            let (token, at) = *timers(&actions).last().expect("a deadline on the call");
            assert!(at - rig.now <= 30.0);
            rig.now = at;
            let sent = sent_to(&rig.on(Event::TimerExpired { token }));
            rig.on(Event::CounterReplied { key: name, outcome: Outcome::Timeout, total: 0.0 });
            sent
        };
        rig.end(id, 0, sent.expect("goes on"), Outcome::Ok);
    }
    assert!(calls[0] < 120 && calls[2] > 280, "{calls:?}");
}

fn call_of(rig: &mut Rig, customer: u64, id: u64) -> Option<(u64, f64)> {
    counted(&rig.ask(Request { customer, deadline_ms: rig.now + 4_000.0, ..request(id, 0, 0, 2.0) }))
}

/// One call's charge, reported for those of others as well, would empty buckets of a few requests.
#[test]
fn skipped_charge_of_a_new_customer_is_reported_in_full_later() {
    let mut slow = with_counter();
    slow.plans[0].rate = 0.02;
    let mut rig = Rig::new(slow, 4);
    let crowded = |rig: &mut Rig, customer| {
        let call = call_of(rig, customer, customer);
        let busy = |(name, _)| Event::CounterReplied { key: name, outcome: Outcome::Rejected, total: 0.0 };
        call.map(|call| rig.on(busy(call))).is_some()
    };
    let left_out = (0..100).find(|customer| !crowded(&mut rig, *customer)).expect("one is left out");
    for other in 1_000..1_100 {
        rig.now += 100.0;
        if let Some((name, total)) = call_of(&mut rig, other, other) {
            rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total });
        }
    }
    let told = call_of(&mut rig, left_out, 2_000).map_or(0.0, |c| c.1);
    assert!((3.7..=4.0).contains(&told), "{told}: both, but for what was filled since");
}

/// What is only assumed of others must not reject, as no call would be made that tells better.
#[test]
fn bucket_emptied_by_assumed_charges_calls_the_counter() {
    let mut rig = Rig::new(with_counter(), 4);
    for id in 1..3 {
        let (name, _) = counted(&rig.ask(request(id, 0, 0, 4.0))).expect("one call");
        let actions = rig.on(Event::CounterReplied { key: name, outcome: Outcome::Reset, total: 0.0 });
        assert!(sent_to(&actions).is_some());
    }
    // Of 16 units 8 are spent, and as many assumed.
    let (name, _) = counted(&rig.ask(request(3, 0, 0, 4.0))).expect("one call");
    let actions = rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total: 12.0 });
    assert!(sent_to(&actions).is_some());
    // The store was full when the first came; the refill lost until then is told once a total shows it.
    let lost = counted(&actions).map_or(0.0, |(name, lost)| {
        rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total: 12.0 + lost });
        lost
    });
    for (id, total) in [(4, 16.0 + lost), (5, 32.0 + lost)] {
        let Some((name, _)) = counted(&rig.ask(request(id, 0, 0, 4.0))) else { continue };
        let actions = rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total });
        assert_eq!(sent_to(&actions).is_some(), id == 4);
    }
}

/// Latency that grows must not be borne until calls end too late for all.
#[test]
fn calls_are_throttled_as_answers_slow_down() {
    let calls = |latency: f64| {
        let mut rig = Rig::new(with_counter(), 4);
        let called = |id| {
            rig.now += 1.0;
            let (name, total) = call_of(&mut rig, id, id)?;
            rig.now += if id == 0 { 5.0 } else { latency };
            let backend = sent_to(&rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total }))?;
            rig.end(id, 0, backend, Outcome::Ok);
            Some(())
        };
        (0..200).filter_map(called).count()
    };
    assert_eq!(calls(10.0), 200);
    assert!(calls(25.0) < 100);
}

/// Charges assumed of others while a call had no answer must not stay when the next total shows none.
#[test]
fn assumed_charges_are_returned_with_the_next_total() {
    let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
    let (name, amount) = counted(&rig.ask(request(1, 0, 0, 4.0))).expect("one call");
    counter.add(name, amount);
    rig.on(Event::CounterReplied { key: name, outcome: Outcome::Reset, total: 0.0 });
    for id in 2..5 {
        assert!(sent_to(&counter.ask(&mut rig, request(id, 0, 0, 4.0))).is_some(), "{id}");
    }
}

#[test]
fn without_a_total_a_gateway_keeps_to_its_share() {
    let mut rig = Rig::new(settings(), 4);
    let mut passed = 0.0;
    for id in 0..600 {
        rig.now += 100.0;
        let mut r = request(id, 0, 0, 2.0);
        r.deadline_ms = rig.now + 4_000.0;
        if let Some(backend) = sent_to(&rig.ask(r)) {
            passed += 2.0;
            rig.end(id, 0, backend, Outcome::Ok);
        }
    }
    let even = (16.0 + 2.0 * 60.0) / 2.0;
    assert!((0.8 * even..1.25 * even).contains(&passed), "{passed} of {even}");
}

#[test]
fn restarted_counter_rejects_nothing_and_learns_charges() {
    let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
    assert!(sent_to(&counter.ask(&mut rig, request(1, 0, 0, 4.0))).is_some());
    counter = Counter::default();
    let passed = (2..9).filter(|id| sent_to(&counter.ask(&mut rig, request(*id, 0, 0, 4.0))).is_some());
    assert_eq!(passed.count(), 3, "16 but for the 4 before");
    // Another gateway, which asks the same counter, finds the store as empty.
    let mut other = Rig::seeded(with_counter(), 4, 2);
    assert!(rejected(&counter.ask(&mut other, request(20, 0, 0, 4.0))));
}

/// A total of a restarted counter that lacks debts still on their way must not be read as a full bucket.
#[test]
fn total_that_lacks_a_debt_admits_nothing() {
    let (mut rig, mut counter) = (Rig::new(with_counter(), 4), Counter::default());
    let passed = (1..7).filter(|id| sent_to(&counter.ask(&mut rig, request(*id, 0, 0, 2.0))).is_some());
    assert_eq!(passed.count(), 6);
    // The counter is empty now. Four units are left, and both calls out at once.
    let calls = [10, 11].map(|id| counted(&rig.ask(request(id, 0, 0, 2.0))).expect("a call"));
    let mut total = 0.0;
    let told = calls.map(|(name, amount)| {
        total += amount;
        let actions = rig.on(Event::CounterReplied { key: name, outcome: Outcome::Ok, total });
        assert!(sent_to(&actions).is_some());
        counted(&actions).map_or(0.0, |(_, lost)| lost)
    });
    assert!(told[0] >= 12.0 && told[1] == 0.0, "{told:?}: the debt, and once");
    let actions = rig.ask(request(12, 0, 0, 2.0));
    assert!(rejected(&actions) && counted(&actions).is_none(), "{actions:?}");
}

#[test]
fn concurrency_limit_holds_without_a_rate() {
    let mut s = settings();
    s.plans[2].max_in_flight = 4;
    let mut rig = Rig::new(s, 4);
    let out: Vec<bool> = (0..8).map(|id| sent_to(&rig.ask(request(id, 0, 2, 1.0))).is_some()).collect();
    let passed = out.iter().filter(|sent| **sent).count();
    assert!((1..=4).contains(&passed), "{passed} out of a cap of 4");
}

/// After an outage customers must not pass without totals for seconds though the counter is back.
#[test]
fn calls_resume_soon_after_an_outage() {
    let (mut in_outage, mut back) = (0, 0);
    for seed in 1..=8 {
        let mut rig = Rig::seeded(with_counter(), 16, seed);
        let mut first = None;
        for step in 0..500 {
            rig.now += 25.0;
            // 5 s in which each call fails, then answers at once. Customers are new, so calls for them are
            // the first to be left out.
            let (customer, expires_ms) = (1_000 + step, rig.now + 4_000.0);
            let mut actions =
                rig.ask(Request { customer, deadline_ms: expires_ms, ..request(step, 0, 0, 1.0) });
            if let Some((name, amount)) = counted(&actions) {
                let fails = step < 200;
                in_outage += u32::from((160..200).contains(&step));
                let first = if fails { step } else { *first.get_or_insert(step) };
                back += u32::from(!fails && step - first < 40);
                let (outcome, total) = if fails { (Outcome::Timeout, 0.0) } else { (Outcome::Ok, amount) };
                actions = rig.on(Event::CounterReplied { key: name, outcome, total });
            }
            rig.end(step, 0, sent_to(&actions).expect("goes on"), Outcome::Ok);
        }
    }
    // In its last second, and in the second from the first that was answered. Gaining 0.3 a second from the
    // least chance, some eight of forty would be made.
    assert!(in_outage < 8 * 10 && back >= 8 * 20, "{in_outage} and {back} of 320");
}
