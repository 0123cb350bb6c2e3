//! Selection, ejection and load shedding. Each test reproduces a failure that occurred.

mod support;

use gateway_policy::interface::*;
use support::*;

/// Returns a request of a new customer with plan 3, which has no limits.
fn new_request(rig: &Rig, id: u64) -> Request {
    Request { customer: id, deadline_ms: rig.now + 4_000.0, ..request(id, 0, 3, 1.0) }
}

/// Ends the first attempt of a request successfully.
fn answer(rig: &mut Rig, id: u64, backend: u32, latency_ms: f64) -> Vec<Action> {
    let (metered_use, actual_units) = (None, None);
    let outcome = Outcome::Ok;
    let (attempt, answered, load) = (0, true, &[][..]);
    rig.handle(Event::AttemptEnded {
        id,
        attempt,
        backend,
        outcome,
        latency_ms,
        answered,
        metered_use,
        actual_units,
        load,
    })
}

/// Serves `n` requests one after the other with the latency of their backends, and returns the backends.
fn serve(rig: &mut Rig, n: u64, first: u64, latency_ms: impl Fn(u32) -> f64) -> Vec<u32> {
    let mut backends = Vec::new();
    for id in first..first + n {
        let r = new_request(rig, id);
        let Some(backend) = sent_to(&rig.submit(r)) else { continue };
        rig.now += latency_ms(backend);
        answer(rig, id, backend, latency_ms(backend));
        backends.push(backend);
    }
    backends
}

fn has_probe(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Probe { .. }))
}

#[test]
fn silent_backend_is_ejected_probed_and_readmitted() {
    let mut rig = Rig::new(settings(), 4);
    serve(&mut rig, 100, 0, |_| 50.0);
    // Backend 0 stops answering with a request in flight.
    let mut id = 1_000;
    loop {
        let r = new_request(&rig, id);
        let backend = sent_to(&rig.submit(r)).expect("sent");
        if backend == 0 {
            break;
        }
        rig.now += 50.0;
        answer(&mut rig, id, backend, 50.0);
        id += 1;
    }
    rig.now += 400.0;
    // One of the next arrivals must send the probe. An earlier version lost it in the estimate of the free
    // capacity.
    let mut probes = 0;
    for id in 2_000..2_040 {
        let r = new_request(&rig, id);
        let actions = rig.submit(r);
        probes += u32::from(has_probe(&actions));
        let backend = sent_to(&actions).expect("the others serve");
        assert_ne!(backend, 0, "no new request goes to a silent backend");
        rig.now += 50.0;
        answer(&mut rig, id, backend, 50.0);
    }
    assert!((1..=4).contains(&probes), "{probes} probes in two seconds");
    rig.end_attempt(id, 0, 0, Outcome::Timeout);
    rig.handle(Event::ProbeEnded { backend: 0, outcome: Outcome::Ok, load: &[] });
    rig.now += 20_000.0;
    assert!(serve(&mut rig, 200, 3_000, |_| 50.0).contains(&0), "back after a probe that succeeded");
}

#[test]
fn burst_of_attempts_is_not_taken_for_silence() {
    let mut rig = Rig::new(settings(), 2);
    serve(&mut rig, 100, 0, |_| 100.0);
    let in_flight: Vec<_> = (1_000..1_012)
        .filter_map(|id| {
            let r = new_request(&rig, id);
            sent_to(&rig.submit(r)).map(|backend| (id, backend))
        })
        .collect();
    rig.now += 260.0;
    let r = new_request(&rig, 2_000);
    assert!(!has_probe(&rig.submit(r)), "{} attempts in flight for 260 ms", in_flight.len());
    rig.now += 10.0;
    let r = new_request(&rig, 2_001);
    assert!(!has_probe(&rig.submit(r)));
}

#[test]
fn fast_failing_backend_attracts_no_work() {
    let mut rig = Rig::new(settings(), 4);
    serve(&mut rig, 100, 0, |_| 50.0);
    let mut failing = 0;
    for id in 1_000..1_200 {
        let r = new_request(&rig, id);
        let mut to = sent_to(&rig.submit(r));
        let mut attempt = 0;
        while let Some(backend) = to {
            let fails = backend == 1;
            failing += u32::from(fails);
            rig.now += if fails { 1.0 } else { 50.0 };
            to = match fails {
                true => sent_to(&rig.end_attempt(id, attempt, backend, Outcome::Error)),
                false => sent_to(&answer(&mut rig, id, backend, 50.0)),
            };
            attempt += 1;
        }
    }
    assert!(failing < 20, "{failing} attempts at a backend that only fails");
}

#[test]
fn requests_are_sent_while_every_backend_fails() {
    let mut rig = Rig::new(settings(), 4);
    let mut passed = 0;
    for id in 0..200 {
        let r = new_request(&rig, id);
        let mut to = sent_to(&rig.submit(r));
        passed += u32::from(id >= 100 && to.is_some());
        for attempt in 0.. {
            let Some(backend) = to else { break };
            rig.now += 20.0;
            to = sent_to(&rig.end_attempt(id, attempt, backend, Outcome::Reset));
        }
    }
    assert!(passed > 50, "{passed} of 100 sent while every backend fails");
}

#[test]
fn slow_backend_gets_less_work_under_light_load() {
    let mut rig = Rig::new(settings(), 2);
    let backends = serve(&mut rig, 400, 0, |backend| if backend == 0 { 10.0 } else { 30.0 });
    let slow = backends[100..].iter().filter(|b| **b == 1).count();
    assert!(slow < 60, "{slow} of 300 to the slow backend");
    let r = new_request(&rig, 1_000);
    assert_eq!(sent_to(&rig.submit(r)), Some(0));
}

/// Rejections start when answers become slow, and end when the load is gone.
#[test]
fn slow_fleet_rejects_at_arrival_and_recovers() {
    for gateways in [1, 12] {
        let mut s = settings();
        s.gateway_count = gateways;
        let mut rig = Rig::new(s, 24);
        serve(&mut rig, 300, 0, |_| 100.0);
        let mut rejections = 0;
        for id in 1_000..1_300 {
            let r = new_request(&rig, id);
            let actions = rig.submit(r);
            rejections += u32::from(is_rejected(&actions));
            if let Some(backend) = sent_to(&actions) {
                answer(&mut rig, id, backend, 900.0);
            }
            rig.now += 10.0;
        }
        assert!(rejections > 100, "{gateways} gateways: {rejections} of 300 rejected");
        rig.now += 20_000.0;
        let passed = serve(&mut rig, 100, 5_000, |_| 100.0).len();
        assert!(passed > 80, "{gateways} gateways: {passed} of 100 sent after the overload");
    }
}

/// Before the first answer, the age of the requests in flight is the only sign of overload. It must suffice
/// in fleets of every size.
#[test]
fn new_gateway_stops_admitting_without_answers() {
    for gateways in [1, 4, 400] {
        let mut rig = Rig::new(Settings { gateway_count: gateways, ..settings() }, 8);
        let sent = (0..200).filter(|id| {
            rig.now += 10.0;
            let r = new_request(&rig, *id);
            sent_to(&rig.submit(r)).is_some()
        });
        let sent = sent.count();
        assert!((1..=60).contains(&sent), "{gateways} gateways: {sent} of 200 sent");
    }
}

/// A gateway that has just started must not take its first requests in flight for overload.
#[test]
fn first_requests_after_a_start_are_not_overload() {
    for gateways in [1, 4] {
        let mut rig = Rig::new(Settings { gateway_count: gateways, ..settings() }, 8);
        // One request each 5 ms, answered after 100 ms: twenty are in flight at any time.
        let mut in_flight = std::collections::VecDeque::new();
        for id in 0..200 {
            rig.now += 5.0;
            let r = new_request(&rig, id);
            let backend = sent_to(&rig.submit(r)).expect("sent");
            in_flight.push_back((id, backend));
            if in_flight.len() > 20 {
                let (id, backend) = in_flight.pop_front().expect("not empty");
                answer(&mut rig, id, backend, 100.0);
            }
        }
    }
}

#[test]
fn past_customers_do_not_limit_new_ones() {
    let mut rig = Rig::new(Settings { gateway_count: 1, ..settings() }, 4);
    for id in 0..5_000 {
        rig.now += 50.0;
        let mut r = new_request(&rig, id);
        (r.plan, r.fan_out) = (0, 1.0);
        let backend = sent_to(&rig.submit(r)).expect("a new customer's bucket is full");
        answer(&mut rig, id, backend, 50.0);
    }
}

#[test]
fn started_stream_has_no_deadline_and_no_retries() {
    let mut s = settings();
    s.classes[0].streaming = true;
    let mut rig = Rig::new(s, 4);
    let r = new_request(&rig, 1);
    let actions = rig.submit(r);
    let backend = sent_to(&actions).expect("sent");
    rig.handle(Event::StreamStarted { id: 1, attempt: 0, backend });
    for (token, at) in timers(&actions) {
        rig.now = at;
        assert!(rig.handle(Event::TimerExpired { token }).is_empty());
    }
}

#[test]
fn endpoint_list_is_polled_again_after_a_failure() {
    let mut rig = Rig::new(Settings { polls_endpoints: true, ..settings() }, 0);
    let mut poll_after = |scope| {
        let actions = rig.handle(Event::EndpointsUpdated { scope, endpoints: &[] });
        let (token, at) = timers(&actions)[0];
        assert!(at <= T0 + 10_000.0);
        rig.handle(Event::TimerExpired { token })
    };
    assert_eq!(poll_after(UpdateScope::Cached), [Action::PollEndpoints]);
    assert_eq!(poll_after(UpdateScope::Failed), [Action::PollEndpoints]);
}

#[test]
fn request_without_backends_is_rejected() {
    let mut rig = Rig::new(settings(), 0);
    let r = new_request(&rig, 1);
    assert!(is_rejected(&rig.submit(r)));
}

#[test]
fn invalid_settings_are_rejected_by_field_name() {
    type Change = fn(&mut Settings);
    let cases: [(&str, Change); 6] = [
        ("gateways", |s| s.gateway_index = 2),
        ("classes", |s| s.classes.clear()),
        ("classes[1]", |s| s.classes[1].latency_objective_ms = f64::NAN),
        ("plans[0].burst", |s| s.plans[0].burst = 0.0),
        ("limits.max_attempts", |s| s.limits.max_attempts = 0),
        ("slow_start", |s| s.slow_start.initial_capacity = 0.0),
    ];
    for (field, invalidate) in cases {
        let mut s = settings();
        invalidate(&mut s);
        let error = gateway_policy::Policy::new(s, 1, 0.0).expect_err(field);
        assert_eq!(error.field, field);
        assert!(error.to_string().contains(field));
    }
}

/// A backend that rejects the requests of one plan only, and slowly, would delay that plan if it were tried
/// first.
#[test]
fn backend_full_for_a_plan_comes_last_for_that_plan_only() {
    let mut rig = Rig::new(Settings { gateway_count: 100, ..settings() }, 4);
    let mut sent = [[0u32; 4]; 2];
    for id in 0..400 {
        rig.now += 500.0;
        let plan = 2 + (id % 2) as usize;
        let r = Request { plan, ..new_request(&rig, id) };
        let Some(mut backend) = sent_to(&rig.submit(r)) else { continue };
        for attempt in 0.. {
            sent[plan - 2][backend as usize] += 1;
            let full = plan == 2 && backend == 1;
            let actions =
                rig.end_attempt(id, attempt, backend, if full { Outcome::Rejected } else { Outcome::Ok });
            let Some(next) = sent_to(&actions) else { break };
            backend = next;
        }
    }
    assert!(sent[0][1] < 25 && sent[0][1] > 0, "avoided, but tried again occasionally: {sent:?}");
    assert!(sent[1][1] > 25, "the other plan still uses it: {sent:?}");
}

/// If each gateway's share of a warming backend is less than one request, the backend could get nothing until
/// it is warm, or too much. The test counts requests of all gateways, which see the same start.
#[test]
fn gateways_together_give_a_warming_backend_its_share() {
    let gateways = 200;
    let (mut cold, mut all) = (0.0, 0.0);
    for index in 0..gateways {
        let mut rig = Rig::seeded(
            Settings { gateway_count: gateways, gateway_index: index, ..settings() },
            10,
            u64::from(index),
        );
        serve(&mut rig, 20, 0, |_| 50.0);
        let entry = BackendEndpoint {
            id: 3,
            cell: Some(1),
            zone: Some(0),
            started_ms: rig.now,
            ..BackendEndpoint::default()
        };
        rig.handle(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &[entry] });
        let backends = serve(&mut rig, 10, 1_000, |_| 50.0);
        cold += backends.iter().filter(|b| **b == 3).count() as f64;
        all += backends.len() as f64;
    }
    let even_share = all / 10.0;
    assert!(
        cold > 0.05 * even_share && cold < 0.6 * even_share,
        "{cold} of {even_share} at a fifth of its capacity"
    );
}

/// An old report of an empty queue would attract all work to a backend that is full by now.
#[test]
fn stale_report_of_an_empty_queue_is_ignored() {
    let mut s = Settings { gateway_count: 100, ..settings() };
    s.load_fields = vec![LoadField::Waiting];
    let mut rig = Rig::new(s, 4);
    for (backend, waiting) in [(0, 0.0), (1, 9.0), (2, 9.0), (3, 9.0)] {
        for _ in 0..100 {
            rig.handle(Event::ProbeEnded { backend, outcome: Outcome::Ok, load: &[waiting] });
        }
    }
    let requests_to_0 = |rig: &mut Rig, from: u64| {
        let backends = (from..from + 40).filter_map(|id| {
            let r = new_request(rig, id);
            let backend = sent_to(&rig.submit(r))?;
            answer(rig, id, backend, 50.0);
            Some(backend)
        });
        backends.filter(|b| *b == 0).count()
    };
    let new = requests_to_0(&mut rig, 0);
    rig.now += 60_000.0;
    let old = requests_to_0(&mut rig, 100);
    assert!(new > 30 && old < 25, "{new} requests while the report was new, {old} a minute later");
}

/// Reports that arrive seconds late, such as of an empty queue that has become full, must not attract work to
/// a backend whose answers are slow.
#[test]
fn late_reports_do_not_outweigh_answers() {
    let late_ms = 4_800.0;
    let mut s = Settings { gateway_count: 3, ..settings() };
    s.load_fields = vec![LoadField::Waiting];
    let mut rig = Rig::new(s, 4);
    // Requests sent while the reports are wrong: to backend 0, and to all backends.
    let mut sent = [0; 2];
    for id in 0..600 {
        rig.now += 25.0;
        let (since, slow) = (rig.now - T0, |at: f64| at > 5_000.0);
        // Backend 0 is slow from 5 s on; its reports say so 4.8 s later.
        let waiting = if slow(since - late_ms) { 20.0 } else { 0.0 };
        rig.handle(Event::ProbeEnded { backend: 0, outcome: Outcome::Ok, load: &[waiting] });
        let r = new_request(&rig, id);
        let Some(backend) = sent_to(&rig.submit(r)) else { continue };
        let latency = if backend == 0 && slow(since) { 600.0 } else { 50.0 };
        answer(&mut rig, id, backend, latency);
        // From one second after the slowdown, while the reports still show an empty queue.
        let reported_empty = since > 6_000.0 && since < 5_000.0 + late_ms;
        sent[1] += u32::from(reported_empty);
        sent[0] += u32::from(reported_empty && backend == 0);
    }
    assert!(sent[1] > 100 && sent[0] * 8 < sent[1], "{sent:?}: an even share is a quarter");
}

/// The retry budgets of many gateways together must not cause a retry storm at the first fault.
#[test]
fn gateways_together_retry_little_when_all_fails() {
    let (mut first_attempts, mut retries) = (0, 0);
    for index in 0..100 {
        let mut rig = Rig::seeded(
            Settings { gateway_count: 100, gateway_index: index, ..settings() },
            10,
            u64::from(index),
        );
        for id in 0..5 {
            rig.now += 1_000.0;
            let r = new_request(&rig, id);
            let mut to = sent_to(&rig.submit(r));
            first_attempts += u32::from(to.is_some());
            for attempt in 0.. {
                let Some(backend) = to else { break };
                to = sent_to(&rig.end_attempt(id, attempt, backend, Outcome::Error));
                retries += u32::from(to.is_some());
            }
        }
    }
    assert!(first_attempts > 300 && retries * 3 < first_attempts, "{retries} retries for {first_attempts}");
}

/// Work for a client that disconnects before the answer is ready is wasted.
#[test]
fn request_without_enough_time_is_not_sent() {
    let mut rig = Rig::new(settings(), 4);
    serve(&mut rig, 200, 0, |_| 200.0);
    let r = Request { deadline_ms: rig.now + 60.0, ..new_request(&rig, 1_000) };
    assert!(is_rejected(&rig.submit(r)));
    let r = Request { deadline_ms: rig.now + 900.0, ..new_request(&rig, 1_001) };
    assert!(sent_to(&rig.submit(r)).is_some());
}

/// Timeouts must not count as successes and so offset earlier errors.
#[test]
fn timeouts_do_not_offset_errors() {
    let rig = &mut Rig::new(settings(), 2);
    let errors = [Outcome::Error; 3];
    let mut outcomes = errors.into_iter().chain([Outcome::Timeout; 5]).chain([Outcome::Error]);
    let mut id = 0;
    let mut next = |rig: &mut Rig| {
        (id, rig.now) = (id + 1, rig.now + 1.0);
        let r = new_request(rig, id);
        (id, sent_to(&rig.submit(r)).expect("sent"))
    };
    let mut outcome = outcomes.next();
    while let Some(current) = outcome {
        let (id, backend) = next(rig);
        if backend == 1 {
            rig.end_attempt(id, 0, backend, current);
            rig.handle(Event::ClientDisconnected { id });
            outcome = outcomes.next();
        } else {
            answer(rig, id, backend, 1.0);
        }
    }
    // Ejected by the last error, because the timeouts did not offset the first three.
    for _ in 0..60 {
        let (id, backend) = next(rig);
        assert_eq!(backend, 0);
        answer(rig, id, backend, 20.0);
    }
}
