//! Rules that always hold, tested with a single gateway: no unsafe retries, one final answer before the
//! deadline, no work for draining or removed backends, the budget of warming backends, and ceilings.

mod support;

use gateway_policy::interface::*;
use support::*;

const MAY_HAVE_EXECUTED: [Outcome; 4] =
    [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled];
const NEVER_EXECUTED: [Outcome; 2] = [Outcome::Rejected, Outcome::ConnectFailed];

#[test]
fn non_idempotent_request_that_may_have_executed_is_failed() {
    for outcome in MAY_HAVE_EXECUTED {
        let mut rig = Rig::new(settings(), 4);
        let backend = sent_to(&rig.submit(request(1, 2, 3, 1.0))).expect("sent");
        let actions = rig.end_attempt(1, 0, backend, outcome);
        assert_eq!(sent_to(&actions), None, "{outcome:?}");
        assert!(!is_rejected(&actions) && is_failed(&actions), "{outcome:?}");
    }
}

#[test]
fn non_idempotent_request_that_never_executed_is_retried() {
    for outcome in NEVER_EXECUTED {
        let mut rig = Rig::new(settings(), 4);
        let backend = sent_to(&rig.submit(request(1, 2, 3, 1.0))).expect("sent");
        assert!(sent_to(&rig.end_attempt(1, 0, backend, outcome)).is_some(), "{outcome:?}");
    }
}

#[test]
fn keyed_retry_stays_in_its_cell_and_window() {
    for outcome in MAY_HAVE_EXECUTED {
        let mut rig = Rig::new(settings(), 8);
        let first = sent_to(&rig.submit(request(1, 1, 3, 1.0))).expect("sent");
        let again = sent_to(&rig.end_attempt(1, 0, first, outcome)).expect("retried");
        assert_eq!(first / 2, again / 2, "{outcome:?}: another cell");
        let mut rig = Rig::new(settings(), 8);
        let first = sent_to(&rig.submit(request(1, 1, 3, 1.0))).expect("sent");
        rig.now += 500.0;
        let late = rig.end_attempt(1, 0, first, outcome);
        assert_eq!(sent_to(&late), None, "{outcome:?}: after the window");
        assert!(is_failed(&late) && !is_rejected(&late));
    }
}

/// Sends a keyed request, applies a change of the list while it is in flight, and then loses its answer.
/// Returns whether it is sent again.
fn is_repeated_after(
    scope: DeduplicationScope,
    listed: &[BackendEndpoint],
    change: impl Fn(u32) -> Vec<BackendEndpoint>,
) -> bool {
    let mut settings = settings();
    settings.classes[1].deduplication_scope = scope;
    let mut rig = Rig::new(settings, 0);
    rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: listed });
    let first = sent_to(&rig.submit(request(1, 1, 3, 1.0))).expect("sent");
    let changed = change(first);
    rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &changed });
    // So the repeat can only go to another backend.
    rig.handle(Event::ProcessLost { id: 1, attempt: 0 });
    let actions = rig.end_attempt(1, 0, first, Outcome::Reset);
    assert!(sent_to(&actions).is_some() || is_failed(&actions) && !is_rejected(&actions));
    sent_to(&actions).is_some()
}

/// Guards against a repeat at a backend that does not drop it: unknown cells and zones are not equal.
#[test]
fn keyed_retry_needs_a_known_scope() {
    for scope in [DeduplicationScope::Cell, DeduplicationScope::Zone] {
        let entry = |id, known: bool| {
            let known = known.then_some(0);
            BackendEndpoint { cell: known, zone: known, ..backend(id, None) }
        };
        let repeated = |known: [bool; 4]| {
            let listed: Vec<BackendEndpoint> = (0..4).map(|id| entry(id, known[id as usize])).collect();
            is_repeated_after(scope, &listed, |_| Vec::new())
        };
        assert!(repeated([true; 4]), "{scope:?}");
        assert!(!repeated([false; 4]), "{scope:?}");
    }
    let unknown: Vec<BackendEndpoint> = (0..4).map(|id| backend(id, None)).collect();
    assert!(is_repeated_after(DeduplicationScope::All, &unknown, |_| Vec::new()));
}

/// Guards against a repeat in a cell that a record was changed to, or from, while the request was in flight.
#[test]
fn keyed_retry_needs_a_scope_that_has_not_changed_since() {
    let cell = DeduplicationScope::Cell;
    let listed = backends(4);
    let peer = |first: u32| first ^ 1;
    // Other entries, and entries that repeat what is known, change nothing.
    assert!(is_repeated_after(cell, &listed, |first| vec![backend(peer(first), Some(first / 2))]));
    assert!(is_repeated_after(cell, &listed, |first| vec![backend((first + 2) % 4, Some(7))]));
    // The cell of the attempted backend, and that of all others, as if the records were exchanged.
    assert!(!is_repeated_after(cell, &listed, |first| vec![backend(first, Some(7))]));
    assert!(!is_repeated_after(cell, &listed, |first| vec![backend(first, None)]));
    let exchanged =
        |first: u32| (0..4).filter(move |id| *id != first).map(|id| backend(id, Some(1 - id / 2)));
    assert!(!is_repeated_after(cell, &listed, |first| exchanged(first).collect()));
    // A change that is taken back is a change.
    assert!(!is_repeated_after(cell, &listed, |first| {
        let there_and_back = [Some(7), Some(first / 2)];
        there_and_back.map(|cell| backend(peer(first), cell)).to_vec()
    }));
    assert!(!is_repeated_after(cell, &listed, |first| {
        let restarted = BackendEndpoint { started_ms: T0, ..backend(peer(first), None) };
        vec![restarted, BackendEndpoint { started_ms: T0, ..backend(peer(first), Some(first / 2)) }]
    }));
    // A backend that leaves does not end the repeats at its peers, nor does the restart of a peer.
    assert!(is_repeated_after(cell, &listed, |first| {
        vec![BackendEndpoint { state: EndpointState::Removed, ..backend(first, Some(first / 2)) }]
    }));
}

/// Guards against a repeat at a backend of another cell that leaves the list and joins it again, in the cell
/// of the first attempt, while the request is in flight.
#[test]
#[ignore = "KNOWN-RED.txt, entry 3"]
fn keyed_retry_avoids_backend_that_has_joined_again_in_another_cell() {
    let listed: Vec<BackendEndpoint> = (0..2).map(|id| backend(id, Some(id))).collect();
    assert!(!is_repeated_after(DeduplicationScope::Cell, &listed, |first| {
        let other = backend(1 - first, Some(1 - first));
        let joined_again = BackendEndpoint { id: 2, cell: Some(first), ..other.clone() };
        vec![BackendEndpoint { state: EndpointState::Removed, ..other }, joined_again]
    }));
}

/// If the process that an attempt reached may have ended, another one may have its address: a repeat there
/// could run twice.
#[test]
fn keyed_retry_avoids_backend_whose_process_was_lost() {
    let mut rig = Rig::new(settings(), 8);
    let first = sent_to(&rig.submit(request(1, 1, 3, 1.0))).expect("sent");
    rig.handle(Event::ProcessLost { id: 1, attempt: 0 });
    let second = sent_to(&rig.end_attempt(1, 0, first, Outcome::Reset)).expect("retried");
    assert!(second != first && second / 2 == first / 2, "{first}, then {second}");
    rig.handle(Event::ProcessLost { id: 1, attempt: 1 });
    let actions = rig.end_attempt(1, 1, second, Outcome::Reset);
    assert_eq!(sent_to(&actions), None, "no backend of the cell is left");
    assert!(is_failed(&actions));
}

/// A retry that is selected within the deduplication window may still be written after it, if its connection
/// is established late.
#[test]
fn keyed_retry_has_a_write_deadline_from_the_earliest_attempt() {
    let write_deadline = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::SendAttempt { write_deadline_ms, .. } => Some(*write_deadline_ms),
            _ => None,
        })
    };
    let settings = settings();
    let window = settings.classes[1].deduplication_window_ms - settings.clock_granularity_ms;
    let mut rig = Rig::new(settings.clone(), 8);
    let first = rig.submit(request(1, 1, 3, 1.0));
    assert_eq!(write_deadline(&first), Some(None), "no attempt has been executed");
    rig.now += 10.0;
    // It was never executed, so the next attempt is the first that may have been.
    let second = rig.end_attempt(1, 0, sent_to(&first).expect("sent"), Outcome::ConnectFailed);
    assert_eq!(write_deadline(&second), Some(None));
    let from = rig.now;
    rig.now += 100.0;
    let third = rig.end_attempt(1, 1, sent_to(&second).expect("sent"), Outcome::Reset);
    assert_eq!(write_deadline(&third), Some(Some(from + window)));
    rig.now += 100.0;
    let fourth = rig.end_attempt(1, 2, sent_to(&third).expect("sent"), Outcome::Reset);
    assert_eq!(write_deadline(&fourth), Some(Some(from + window)), "the earliest attempt counts");
    // Idempotent and non-idempotent classes have no deduplication window.
    for class in [0, 2] {
        let mut rig = Rig::new(settings.clone(), 8);
        let first = rig.submit(request(1, class, 3, 1.0));
        let outcome = if class == 0 { Outcome::Reset } else { Outcome::ConnectFailed };
        let again = rig.end_attempt(1, 0, sent_to(&first).expect("sent"), outcome);
        assert_eq!(write_deadline(&again), Some(None), "class {class}");
    }
}

#[test]
fn fleet_wide_keyed_request_is_rejected_after_its_window() {
    let mut rig = Rig::new(settings(), 8);
    let first = sent_to(&rig.submit(request(1, 3, 3, 1.0))).expect("sent");
    rig.now += 500.0;
    assert!(is_rejected(&rig.end_attempt(1, 0, first, Outcome::Error)));
}

#[test]
fn attempts_stop_at_the_limit() {
    let mut rig = Rig::new(settings(), 12);
    let mut actions = rig.submit(request(1, 0, 3, 1.0));
    let mut attempts = 0;
    while let Some(backend) = sent_to(&actions) {
        actions = rig.end_attempt(1, attempts, backend, Outcome::Rejected);
        attempts += 1;
    }
    assert_eq!(attempts, 5);
    assert!(is_rejected(&actions));
}

#[test]
fn every_request_has_one_final_answer_before_its_deadline() {
    for (class, expect_rejection) in [(0, true), (1, false), (2, false), (3, true)] {
        let mut rig = Rig::new(settings(), 4);
        let mut r = request(1, class, 3, 1.0);
        r.deadline_ms = T0 + 300.0;
        let actions = rig.submit(r);
        assert!(sent_to(&actions).is_some());
        let (token, at) = timers(&actions)[0];
        assert!(at <= T0 + 300.0 && at > T0);
        rig.now = at;
        let last = rig.handle(Event::TimerExpired { token });
        assert_eq!(is_rejected(&last), expect_rejection, "class {class}");
        assert_eq!(is_failed(&last), !expect_rejection, "class {class}");
        // No second answer, whatever follows: the timer again, a disconnect, a late end of the attempt.
        let backend = 0;
        for event in [
            Event::TimerExpired { token },
            Event::ClientDisconnected { id: 1 },
            Event::TimerExpired { token },
        ] {
            assert!(rig.handle(event).iter().all(|a| matches!(a, Action::CancelAttempt { .. })));
        }
        assert!(rig.end_attempt(1, 0, backend, Outcome::Timeout).is_empty());
    }
}

#[test]
fn draining_and_unlisted_backends_get_no_work() {
    let mut rig = Rig::new(settings(), 3);
    let mut draining = backends(1);
    draining[0].state = EndpointState::Draining;
    rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &draining });
    rig.handle(Event::EndpointsUpdated {
        scope: UpdateScope::Full,
        endpoints: &[draining[0].clone(), backends(2)[1].clone()],
    });
    for id in 0..3 {
        let actions = rig.submit(request(id, 0, 3, 1.0));
        assert!(sent_to(&actions).is_none_or(|b| b == 1), "sent to a draining or unlisted backend");
    }
}

#[test]
fn failed_list_update_keeps_the_old_list() {
    let mut rig = Rig::new(settings(), 2);
    rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Failed, endpoints: &[] });
    assert!(sent_to(&rig.submit(request(1, 0, 3, 1.0))).is_some());
}

#[test]
fn warming_backend_gets_its_budget_from_all_gateways_together() {
    // A request is expected to need an eighth of the latency objective: 125 ms. A cold backend accepts 0.2 x
    // 2 s of work for each core.
    let mut s = settings();
    s.gateway_count = 3;
    let mut rig = Rig::new(s, 1);
    let cold = BackendEndpoint { id: 0, started_ms: T0, ..BackendEndpoint::default() };
    rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Full, endpoints: &[cold] });
    let sent = (0..100).filter(|id| {
        let mut r = request(*id, 0, 3, 1.0);
        r.customer = *id;
        sent_to(&rig.submit(r)).is_some()
    });
    let work = sent.count() as f64 * 125.0 * 3.0;
    assert!(work > 0.0 && work <= 0.2 * 3.0 * 2_000.0, "{work} ms of work from all gateways");
}

/// Submits more units than the ceiling of plan 1 for `seconds`. Returns the units that are sent.
fn exceed_ceiling(rig: &mut Rig, seconds: f64, first: u64) -> f64 {
    let mut passed = 0.0;
    for step in 0..(seconds * 20.0) as u64 {
        rig.now += 50.0;
        let mut r = request(first + step, 0, 1, 4.0);
        r.deadline_ms = rig.now + 4_000.0;
        if let Some(backend) = sent_to(&rig.submit(r)) {
            passed += 4.0;
            rig.end_attempt(first + step, 0, backend, Outcome::Ok);
        }
    }
    passed
}

#[test]
fn ceiling_holds_over_two_gateways_and_a_restart() {
    let mut total = 0.0;
    for _ in 0..2 {
        let mut first = Rig::new(settings(), 4);
        total += exceed_ceiling(&mut first, 20.0, 0);
        // Killed and restarted: units that were spent before the restart are not available again.
        let now = first.now;
        let mut second =
            Rig { gateway: gateway_policy::Policy::new(settings(), 2, now).expect("settings"), now };
        second.handle(Event::EndpointsUpdated { scope: UpdateScope::Cached, endpoints: &backends(4) });
        total += exceed_ceiling(&mut second, 20.0, 1_000);
    }
    assert!(total <= 40.0 + 4.0 * 40.0, "{total} units exceed the ceiling");
    assert!(total >= 0.5 * 4.0 * 40.0, "{total} units: the refill of the ceiling is not used");
}

#[test]
fn events_with_unknown_ids_do_nothing() {
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
        assert!(rig.handle(event.clone()).is_empty(), "{event:?}");
    }
    assert!(rig.end_attempt(9, 3, 9, Outcome::Ok).is_empty());
}

#[test]
fn ceiling_holds_when_every_counter_call_is_lost() {
    let mut rig = Rig::new(Settings { shared_counter: true, ..settings() }, 4);
    let mut passed = 0.0;
    for id in 0..400 {
        rig.now += 50.0;
        let mut r = request(id, 0, 1, 4.0);
        r.deadline_ms = rig.now + 4_000.0;
        let mut actions = rig.submit(r);
        if let Some((key, _)) = counter_call(&actions) {
            actions = rig.handle(Event::CounterReplied { key, outcome: Outcome::Timeout, total: 0.0 });
        }
        if let Some(backend) = sent_to(&actions) {
            passed += 4.0;
            rig.end_attempt(id, 0, backend, Outcome::Ok);
        }
    }
    // At most half of the ceiling's refill in 20 s, because the customer uses two gateways.
    assert!((20.0..=0.5 * 4.0 * 20.0).contains(&passed), "{passed}");
}

/// A streamed answer must not be cancelled when another attempt of its request ends.
#[test]
fn streamed_answer_outlasts_the_other_attempt() {
    let mut rig = Rig::new(settings(), 4);
    let actions = rig.submit(request(1, 0, 3, 1.0));
    let first = sent_to(&actions).expect("sent");
    // The first attempt is overdue, so a hedge is sent, whose answer starts to be streamed.
    let mut due = timers(&actions);
    due.sort_by(|a, b| a.1.total_cmp(&b.1));
    let second = due.into_iter().find_map(|(token, at)| {
        rig.now = at;
        sent_to(&rig.handle(Event::TimerExpired { token }))
    });
    let second = second.expect("a hedge");
    let actions = rig.handle(Event::StreamStarted { id: 1, attempt: 1, backend: second });
    assert!(actions.contains(&Action::CancelAttempt { id: 1, attempt: 0 }), "{actions:?}");
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
    let after = rig.handle(end);
    assert!(!after.contains(&Action::CancelAttempt { id: 1, attempt: 1 }), "{after:?}");
}
