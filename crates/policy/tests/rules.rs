//! The five rules, each by one gateway alone.

mod support;

use gateway_policy::interface::*;
use support::*;

const MAY_HAVE_RUN: [Outcome; 4] = [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled];
const NEVER_RAN: [Outcome; 2] = [Outcome::Rejected, Outcome::ConnectFailed];

#[test]
fn unsafe_request_that_may_have_run_is_neither_retried_nor_rejected() {
    for outcome in MAY_HAVE_RUN {
        let mut rig = Rig::new(settings(), 4);
        let backend = sent_to(&rig.ask(request(1, 2, 3, 1.0))).expect("sent");
        let actions = rig.end(1, 0, backend, outcome);
        assert_eq!(sent_to(&actions), None, "{outcome:?}");
        assert!(!rejected(&actions) && failed(&actions), "{outcome:?}");
    }
}

#[test]
fn unsafe_request_that_never_ran_is_retried() {
    for outcome in NEVER_RAN {
        let mut rig = Rig::new(settings(), 4);
        let backend = sent_to(&rig.ask(request(1, 2, 3, 1.0))).expect("sent");
        assert!(sent_to(&rig.end(1, 0, backend, outcome)).is_some(), "{outcome:?}");
    }
}

#[test]
fn keyed_retry_stays_in_its_cell_and_window() {
    for outcome in MAY_HAVE_RUN {
        let mut rig = Rig::new(settings(), 8);
        let first = sent_to(&rig.ask(request(1, 1, 3, 1.0))).expect("sent");
        let again = sent_to(&rig.end(1, 0, first, outcome)).expect("repeated");
        assert_eq!(first / 2, again / 2, "{outcome:?}: another cell");
        let mut rig = Rig::new(settings(), 8);
        let first = sent_to(&rig.ask(request(1, 1, 3, 1.0))).expect("sent");
        rig.now += 500.0;
        let late = rig.end(1, 0, first, outcome);
        assert_eq!(sent_to(&late), None, "{outcome:?}: after the window");
        assert!(failed(&late) && !rejected(&late));
    }
}

/// A retry that is chosen in time may begin too late, as its connection comes up late.
#[test]
fn keyed_retry_has_a_write_deadline_from_the_earliest_attempt() {
    let begin_by = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::SendAttempt { write_deadline_ms: begin_by_ms, .. } => Some(*begin_by_ms),
            _ => None,
        })
    };
    let settings = settings();
    let window = settings.classes[1].deduplication_window_ms - settings.clock_granularity_ms;
    let mut rig = Rig::new(settings.clone(), 8);
    let first = rig.ask(request(1, 1, 3, 1.0));
    assert_eq!(begin_by(&first), Some(None), "nothing ran yet");
    rig.now += 10.0;
    // It never ran: the next is the first that may have.
    let second = rig.end(1, 0, sent_to(&first).expect("sent"), Outcome::ConnectFailed);
    assert_eq!(begin_by(&second), Some(None));
    let from = rig.now;
    rig.now += 100.0;
    let third = rig.end(1, 1, sent_to(&second).expect("sent"), Outcome::Reset);
    assert_eq!(begin_by(&third), Some(Some(from + window)));
    rig.now += 100.0;
    let fourth = rig.end(1, 2, sent_to(&third).expect("sent"), Outcome::Reset);
    assert_eq!(begin_by(&fourth), Some(Some(from + window)), "the earliest counts");
    // Classes that may run again, or never, have no window.
    for class in [0, 2] {
        let mut rig = Rig::new(settings.clone(), 8);
        let first = rig.ask(request(1, class, 3, 1.0));
        let outcome = if class == 0 { Outcome::Reset } else { Outcome::ConnectFailed };
        let again = rig.end(1, 0, sent_to(&first).expect("sent"), outcome);
        assert_eq!(begin_by(&again), Some(None), "class {class}");
    }
}

#[test]
fn fleet_wide_keyed_request_is_rejected_after_its_window() {
    let mut rig = Rig::new(settings(), 8);
    let first = sent_to(&rig.ask(request(1, 3, 3, 1.0))).expect("sent");
    rig.now += 500.0;
    assert!(rejected(&rig.end(1, 0, first, Outcome::Error)));
}

#[test]
fn attempts_stop_at_the_limit() {
    let mut rig = Rig::new(settings(), 12);
    let mut actions = rig.ask(request(1, 0, 3, 1.0));
    let mut attempts = 0;
    while let Some(backend) = sent_to(&actions) {
        actions = rig.end(1, attempts, backend, Outcome::Rejected);
        attempts += 1;
    }
    assert_eq!(attempts, 5);
    assert!(rejected(&actions));
}

#[test]
fn every_request_has_one_final_answer_before_its_deadline() {
    for (class, answer_is_refusal) in [(0, true), (1, false), (2, false), (3, true)] {
        let mut rig = Rig::new(settings(), 4);
        let mut r = request(1, class, 3, 1.0);
        r.deadline_ms = T0 + 300.0;
        let actions = rig.ask(r);
        assert!(sent_to(&actions).is_some());
        let (token, at) = timers(&actions)[0];
        assert!(at <= T0 + 300.0 && at > T0);
        rig.now = at;
        let last = rig.on(Event::TimerExpired { token });
        assert_eq!(rejected(&last), answer_is_refusal, "class {class}");
        assert_eq!(failed(&last), !answer_is_refusal, "class {class}");
        // Nothing more, whatever comes: a late answer, the timer again, the client leaving.
        let backend = 0;
        for event in [
            Event::TimerExpired { token },
            Event::ClientDisconnected { id: 1 },
            Event::TimerExpired { token },
        ] {
            assert!(rig.on(event).iter().all(|a| matches!(a, Action::CancelAttempt { .. })));
        }
        assert!(rig.end(1, 0, backend, Outcome::Timeout).is_empty());
    }
}

#[test]
fn draining_and_unlisted_backends_get_nothing_at_once() {
    let mut rig = Rig::new(settings(), 3);
    let mut drained = backends(1);
    drained[0].state = EndpointState::Draining;
    rig.on(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &drained });
    rig.on(Event::EndpointsUpdated {
        scope: UpdateScope::Full,
        endpoints: &[drained[0].clone(), backends(2)[1].clone()],
    });
    for id in 0..3 {
        let actions = rig.ask(request(id, 0, 3, 1.0));
        assert!(sent_to(&actions).is_none_or(|b| b == 1), "sent to a drained or missing backend");
    }
}

#[test]
fn failed_list_keeps_the_old_one() {
    let mut rig = Rig::new(settings(), 2);
    rig.on(Event::EndpointsUpdated { scope: UpdateScope::Failed, endpoints: &[] });
    assert!(sent_to(&rig.ask(request(1, 0, 3, 1.0))).is_some());
}

#[test]
fn warming_backend_gets_a_small_part_of_its_budget_from_each_gateway() {
    // Work is expected at an eighth of the aim: 125 ms. The cold one may do 0.2 x 2 s of each core's.
    let mut s = settings();
    s.gateway_count = 3;
    let mut rig = Rig::new(s, 1);
    let cold = BackendEndpoint { id: 0, started_ms: T0, ..BackendEndpoint::default() };
    rig.on(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &[cold] });
    let sent = (0..100).filter(|id| {
        let mut r = request(*id, 0, 3, 1.0);
        r.customer = *id;
        sent_to(&rig.ask(r)).is_some()
    });
    let work = sent.count() as f64 * 125.0 * 3.0;
    assert!(work > 0.0 && work <= 0.2 * 3.0 * 2_000.0, "{work} ms of work by all");
}

/// What gateways let through of a customer's flood, each with its own life.
fn flood(rig: &mut Rig, seconds: f64, first: u64) -> f64 {
    let mut passed = 0.0;
    for step in 0..(seconds * 20.0) as u64 {
        rig.now += 50.0;
        let mut r = request(first + step, 0, 1, 4.0);
        r.deadline_ms = rig.now + 4_000.0;
        if let Some(backend) = sent_to(&rig.ask(r)) {
            passed += 4.0;
            rig.end(first + step, 0, backend, Outcome::Ok);
        }
    }
    passed
}

#[test]
fn ceiling_holds_over_two_gateways_and_a_restart() {
    let mut total = 0.0;
    for _ in 0..2 {
        let mut first = Rig::new(settings(), 4);
        total += flood(&mut first, 20.0, 0);
        // Killed and started again: what its earlier life spent is not there again.
        let now = first.now;
        let mut second =
            Rig { gateway: gateway_policy::Policy::new(settings(), 2, now).expect("settings"), now };
        second.on(Event::EndpointsUpdated { scope: UpdateScope::Cached, endpoints: &backends(4) });
        total += flood(&mut second, 20.0, 1_000);
    }
    assert!(total <= 40.0 + 4.0 * 40.0, "{total} units over the ceiling's store");
    assert!(total >= 0.5 * 4.0 * 40.0, "{total} units: the ceiling's refill is not used");
}

#[test]
fn stale_ids_and_timers_do_nothing() {
    let mut rig = Rig::new(settings(), 2);
    for event in [
        Event::ClientDisconnected { id: 9 },
        Event::TimerExpired { token: 9 << 2 },
        Event::TimerExpired { token: 9 << 2 | 1 },
        Event::TimerExpired { token: 9 << 2 | 2 },
        Event::CounterReplied { key: 9, outcome: Outcome::Ok, total: 1.0 },
        Event::ProbeEnded { backend: 9, outcome: Outcome::Ok, load: &[1.0] },
        Event::StreamStarted { id: 9, attempt: 0, backend: 9 },
        Event::PeerMessage { from: 3, body: &[1, 2] },
    ] {
        assert!(rig.on(event.clone()).is_empty(), "{event:?}");
    }
    assert!(rig.end(9, 3, 9, Outcome::Ok).is_empty());
}

#[test]
fn ceiling_holds_when_every_counter_call_is_lost() {
    let mut rig = Rig::new(Settings { shared_counter: true, ..settings() }, 4);
    let mut passed = 0.0;
    for id in 0..400 {
        rig.now += 50.0;
        let mut r = request(id, 0, 1, 4.0);
        r.deadline_ms = rig.now + 4_000.0;
        let mut actions = rig.ask(r);
        if let Some((name, _)) = counted(&actions) {
            actions = rig.on(Event::CounterReplied { key: name, outcome: Outcome::Timeout, total: 0.0 });
        }
        if let Some(backend) = sent_to(&actions) {
            passed += 4.0;
            rig.end(id, 0, backend, Outcome::Ok);
        }
    }
    // Half of the ceiling's refill in 20 s, as the customer comes through two gateways.
    assert!((20.0..=0.5 * 4.0 * 20.0).contains(&passed), "{passed}");
}

/// An answer that is being streamed must not be cut off as another attempt of its request ends.
#[test]
fn streamed_answer_outlasts_the_other_attempt() {
    let mut rig = Rig::new(settings(), 4);
    let actions = rig.ask(request(1, 0, 3, 1.0));
    let first = sent_to(&actions).expect("sent");
    // Overdue: a second attempt goes out beside it, and its answer begins to come.
    let mut due = timers(&actions);
    due.sort_by(|a, b| a.1.total_cmp(&b.1));
    let second = due.into_iter().find_map(|(token, at)| {
        rig.now = at;
        sent_to(&rig.on(Event::TimerExpired { token }))
    });
    let second = second.expect("a second attempt");
    let began = rig.on(Event::StreamStarted { id: 1, attempt: 1, backend: second });
    assert!(began.contains(&Action::CancelAttempt { id: 1, attempt: 0 }), "{began:?}");
    let end = Event::AttemptEnded {
        id: 1,
        attempt: 0,
        backend: first,
        outcome: Outcome::Cancelled,
        latency_ms: 10.0,
        answered: true,
        metered_use: None,
        actual_units: None,
        load: &[],
    };
    let after = rig.on(end);
    assert!(!after.contains(&Action::CancelAttempt { id: 1, attempt: 1 }), "{after:?}");
}
