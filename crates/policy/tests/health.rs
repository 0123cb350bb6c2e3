//! Choice, ejection, room: one test for each failure that was met.

mod support;

use gateway_policy::interface::*;
use support::*;

fn fresh(rig: &Rig, id: u64) -> Request {
    // Plan 3 has no limits; each request is of another customer.
    Request { customer: id, deadline_ms: rig.now + 4_000.0, ..request(id, 0, 3, 1.0) }
}

fn answer(rig: &mut Rig, id: u64, backend: u32, latency_ms: f64) -> Vec<Action> {
    let (metered, charged) = (None, None);
    let outcome = Outcome::Ok;
    let (attempt, closed, load) = (0, true, &[][..]);
    rig.on(Event::AttemptEnded {
        id,
        attempt,
        backend,
        outcome,
        latency_ms,
        answered: closed,
        metered_use: metered,
        actual_units: charged,
        load,
    })
}

/// Plays `n` requests one after the other; each takes what its backend takes.
fn learn(rig: &mut Rig, n: u64, first: u64, takes: impl Fn(u32) -> f64) -> Vec<u32> {
    let mut went = Vec::new();
    for id in first..first + n {
        let r = fresh(rig, id);
        let Some(backend) = sent_to(&rig.ask(r)) else { continue };
        rig.now += takes(backend);
        answer(rig, id, backend, takes(backend));
        went.push(backend);
    }
    went
}

fn probed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Probe { .. }))
}

#[test]
fn silent_backend_is_ejected_probed_and_readmitted() {
    let mut rig = Rig::new(settings(), 4);
    learn(&mut rig, 100, 0, |_| 50.0);
    // Backend 0 falls silent with a request of its own out.
    let mut id = 1_000;
    loop {
        let r = fresh(&rig, id);
        let backend = sent_to(&rig.ask(r)).expect("sent");
        if backend == 0 {
            break;
        }
        rig.now += 50.0;
        answer(&mut rig, id, backend, 50.0);
        id += 1;
    }
    rig.now += 400.0;
    // The probe must leave with some arrival: once, the look-ahead of the room swallowed it.
    let mut probes = 0;
    for id in 2_000..2_040 {
        let r = fresh(&rig, id);
        let actions = rig.ask(r);
        probes += u32::from(probed(&actions));
        let backend = sent_to(&actions).expect("others serve");
        assert_ne!(backend, 0, "nothing new to a silent backend");
        rig.now += 50.0;
        answer(&mut rig, id, backend, 50.0);
    }
    assert!((1..=4).contains(&probes), "{probes} probes in two seconds");
    rig.end(id, 0, 0, Outcome::Timeout);
    rig.on(Event::ProbeEnded { backend: 0, outcome: Outcome::Ok, load: &[] });
    rig.now += 20_000.0;
    assert!(learn(&mut rig, 200, 3_000, |_| 50.0).contains(&0), "back after a probe that succeeded");
}

#[test]
fn burst_of_sends_is_not_silence() {
    let mut rig = Rig::new(settings(), 2);
    learn(&mut rig, 100, 0, |_| 100.0);
    let out: Vec<_> = (1_000..1_012)
        .filter_map(|id| {
            let r = fresh(&rig, id);
            sent_to(&rig.ask(r)).map(|backend| (id, backend))
        })
        .collect();
    rig.now += 260.0;
    let r = fresh(&rig, 2_000);
    assert!(!probed(&rig.ask(r)), "{} attempts out for 260 ms", out.len());
    rig.now += 10.0;
    let r = fresh(&rig, 2_001);
    assert!(!probed(&rig.ask(r)));
}

#[test]
fn fast_failing_backend_attracts_no_work() {
    let mut rig = Rig::new(settings(), 4);
    learn(&mut rig, 100, 0, |_| 50.0);
    let mut failing = 0;
    for id in 1_000..1_200 {
        let r = fresh(&rig, id);
        let mut to = sent_to(&rig.ask(r));
        let mut attempt = 0;
        while let Some(backend) = to {
            let bad = backend == 1;
            failing += u32::from(bad);
            rig.now += if bad { 1.0 } else { 50.0 };
            to = match bad {
                true => sent_to(&rig.end(id, attempt, backend, Outcome::Error)),
                false => sent_to(&answer(&mut rig, id, backend, 50.0)),
            };
            attempt += 1;
        }
    }
    assert!(failing < 20, "{failing} attempts at a backend that only fails");
}

#[test]
fn whole_fleet_is_never_ejected() {
    let mut rig = Rig::new(settings(), 4);
    let mut passed = 0;
    for id in 0..200 {
        let r = fresh(&rig, id);
        let mut to = sent_to(&rig.ask(r));
        passed += u32::from(id >= 100 && to.is_some());
        for attempt in 0.. {
            let Some(backend) = to else { break };
            rig.now += 20.0;
            to = sent_to(&rig.end(id, attempt, backend, Outcome::Reset));
        }
    }
    assert!(passed > 50, "{passed} of 100 sent while every backend fails");
}

#[test]
fn a_slow_backend_gets_less_and_a_long_light_day_does_not_shut_the_gateway() {
    let mut rig = Rig::new(settings(), 2);
    let went = learn(&mut rig, 400, 0, |backend| if backend == 0 { 10.0 } else { 30.0 });
    let slow = went[100..].iter().filter(|b| **b == 1).count();
    assert!(slow < 60, "{slow} of 300 to the slow one");
    let r = fresh(&rig, 1_000);
    assert_eq!(sent_to(&rig.ask(r)), Some(0));
}

/// Latency grows with what is out: refusals start, and end when the load is gone.
#[test]
fn slow_fleet_rejects_at_arrival_and_recovers() {
    for gateways in [1, 12] {
        let mut s = settings();
        s.gateway_count = gateways;
        let mut rig = Rig::new(s, 24);
        learn(&mut rig, 300, 0, |_| 100.0);
        let mut refusals = 0;
        for id in 1_000..1_300 {
            let r = fresh(&rig, id);
            let actions = rig.ask(r);
            refusals += u32::from(rejected(&actions));
            if let Some(backend) = sent_to(&actions) {
                answer(&mut rig, id, backend, 900.0);
            }
            rig.now += 10.0;
        }
        assert!(refusals > 100, "{gateways} gateways: {refusals} refusals of 300");
        rig.now += 20_000.0;
        let passed = learn(&mut rig, 100, 5_000, |_| 100.0).len();
        assert!(passed > 80, "{gateways} gateways: {passed} of 100 after the trouble");
    }
}

/// Nothing learned yet and no answers: time spent by what is out is the only sign, at every size.
#[test]
fn new_gateway_stops_admitting_without_answers() {
    for gateways in [1, 4, 400] {
        let mut rig = Rig::new(Settings { gateway_count: gateways, ..settings() }, 8);
        let sent = (0..200).filter(|id| {
            rig.now += 10.0;
            let r = fresh(&rig, *id);
            sent_to(&rig.ask(r)).is_some()
        });
        let sent = sent.count();
        assert!((1..=60).contains(&sent), "{gateways} gateways: {sent} of 200 sent");
    }
}

/// A gateway that has just started must not take its first requests, still in flight, for overload.
#[test]
fn first_requests_after_a_start_are_not_overload() {
    for gateways in [1, 4] {
        let mut rig = Rig::new(Settings { gateway_count: gateways, ..settings() }, 8);
        // One each 5 ms, each answered after 100 ms: twenty are out at any time.
        let mut out = std::collections::VecDeque::new();
        for id in 0..200 {
            rig.now += 5.0;
            let r = fresh(&rig, id);
            let backend = sent_to(&rig.ask(r)).expect("room");
            out.push_back((id, backend));
            if out.len() > 20 {
                let (id, backend) = out.pop_front().expect("some");
                answer(&mut rig, id, backend, 100.0);
            }
        }
    }
}

#[test]
fn one_customer_after_another_leaves_no_memory_behind_that_hinders() {
    let mut rig = Rig::new(Settings { gateway_count: 1, ..settings() }, 4);
    for id in 0..5_000 {
        rig.now += 50.0;
        let mut r = fresh(&rig, id);
        (r.plan, r.fan_out) = (0, 1.0);
        let backend = sent_to(&rig.ask(r)).expect("a new customer's store is full");
        answer(&mut rig, id, backend, 50.0);
    }
}

#[test]
fn started_stream_has_no_deadline_and_no_retries() {
    let mut s = settings();
    s.classes[0].streaming = true;
    let mut rig = Rig::new(s, 4);
    let r = fresh(&rig, 1);
    let actions = rig.ask(r);
    let backend = sent_to(&actions).expect("sent");
    rig.on(Event::StreamStarted { id: 1, attempt: 0, backend });
    for (token, at) in timers(&actions) {
        rig.now = at;
        assert!(rig.on(Event::TimerExpired { token }).is_empty());
    }
}

#[test]
fn endpoint_list_is_polled_and_polled_again_after_a_failure() {
    let mut rig = Rig::new(Settings { polls_endpoints: true, ..settings() }, 0);
    let mut ring = |scope| {
        let actions = rig.on(Event::EndpointsUpdated { scope, endpoints: &[] });
        let (token, at) = timers(&actions)[0];
        assert!(at <= T0 + 10_000.0);
        rig.on(Event::TimerExpired { token })
    };
    assert_eq!(ring(UpdateScope::Cached), [Action::PollEndpoints]);
    assert_eq!(ring(UpdateScope::Failed), [Action::PollEndpoints]);
}

#[test]
fn request_without_backends_is_rejected() {
    let mut rig = Rig::new(settings(), 0);
    let r = fresh(&rig, 1);
    assert!(rejected(&rig.ask(r)));
}

#[test]
fn invalid_settings_are_named() {
    type Spoil = fn(&mut Settings);
    let cases: [(&str, Spoil); 6] = [
        ("gateways", |s| s.gateway_index = 2),
        ("classes", |s| s.classes.clear()),
        ("classes[1]", |s| s.classes[1].latency_objective_ms = f64::NAN),
        ("plans[0].burst", |s| s.plans[0].burst = 0.0),
        ("limits.max_attempts", |s| s.limits.max_attempts = 0),
        ("slow_start", |s| s.slow_start.initial_capacity = 0.0),
    ];
    for (field, spoil) in cases {
        let mut s = settings();
        spoil(&mut s);
        let error = gateway_policy::Policy::new(s, 1, 0.0).expect_err(field);
        assert_eq!(error.field, field);
        assert!(error.to_string().contains(field));
    }
}

/// A backend that rejects one plan, slowly, though it has room, would take that plan's time.
#[test]
fn backend_full_for_a_plan_comes_last_for_that_plan_only() {
    let mut rig = Rig::new(Settings { gateway_count: 100, ..settings() }, 4);
    let mut sent = [[0u32; 4]; 2];
    for id in 0..400 {
        rig.now += 500.0;
        let plan = 2 + (id % 2) as usize;
        let r = Request { plan, ..fresh(&rig, id) };
        let Some(mut backend) = sent_to(&rig.ask(r)) else { continue };
        for attempt in 0.. {
            sent[plan - 2][backend as usize] += 1;
            let full = plan == 2 && backend == 1;
            let actions = rig.end(id, attempt, backend, if full { Outcome::Rejected } else { Outcome::Ok });
            let Some(next) = sent_to(&actions) else { break };
            backend = next;
        }
    }
    assert!(sent[0][1] < 25 && sent[0][1] > 0, "avoided, tried again sparingly: {sent:?}");
    assert!(sent[1][1] > 25, "the other plan goes on there: {sent:?}");
}

/// With each gateway's share under one request a backend that warms up would get nothing until it is warm, or
/// too much. Counted over all gateways, which see the same start.
#[test]
fn gateways_together_give_a_warming_backend_its_share() {
    let gateways = 200;
    let (mut cold, mut all) = (0.0, 0.0);
    for me in 0..gateways {
        let mut rig = Rig::seeded(
            Settings { gateway_count: gateways, gateway_index: me, ..settings() },
            10,
            u64::from(me),
        );
        learn(&mut rig, 20, 0, |_| 50.0);
        let entry = BackendEndpoint { id: 3, cell: 1, started_ms: rig.now, ..BackendEndpoint::default() };
        rig.on(Event::EndpointsUpdated { scope: UpdateScope::Delta, endpoints: &[entry] });
        let went = learn(&mut rig, 10, 1_000, |_| 50.0);
        cold += went.iter().filter(|b| **b == 3).count() as f64;
        all += went.len() as f64;
    }
    let even = all / 10.0;
    assert!(cold > 0.05 * even && cold < 0.6 * even, "{cold} of an even part of {even}, at a fifth");
}

/// An old report of an empty queue would draw all work to a backend that has long been full.
#[test]
fn stale_report_of_an_empty_queue_is_not_idleness() {
    let mut s = Settings { gateway_count: 100, ..settings() };
    s.load_fields = vec![LoadField::Waiting];
    let mut rig = Rig::new(s, 4);
    for (backend, waiting) in [(0, 0.0), (1, 9.0), (2, 9.0), (3, 9.0)] {
        for _ in 0..100 {
            rig.on(Event::ProbeEnded { backend, outcome: Outcome::Ok, load: &[waiting] });
        }
    }
    let firsts = |rig: &mut Rig, from: u64| {
        let went = (from..from + 40).filter_map(|id| {
            let r = fresh(rig, id);
            let backend = sent_to(&rig.ask(r))?;
            answer(rig, id, backend, 50.0);
            Some(backend)
        });
        went.filter(|b| *b == 0).count()
    };
    let new = firsts(&mut rig, 0);
    rig.now += 60_000.0;
    let old = firsts(&mut rig, 100);
    assert!(new > 30 && old < 25, "{new} to it while the report was new, {old} a minute later");
}

/// Reports that are seconds old when they come, as of an empty queue that has long been full, must not draw
/// work to a backend whose answers tell otherwise.
#[test]
fn late_reports_do_not_outweigh_answers() {
    let late_ms = 4_800.0;
    let mut s = Settings { gateway_count: 3, ..settings() };
    s.load_fields = vec![LoadField::Waiting];
    let mut rig = Rig::new(s, 4);
    let mut to_slow = [0; 2];
    for id in 0..600 {
        rig.now += 25.0;
        let (since, slow) = (rig.now - T0, |at: f64| at > 5_000.0);
        // Backend 0 is slow from 5 s on; its reports say so 4.8 s later.
        let waiting = if slow(since - late_ms) { 20.0 } else { 0.0 };
        rig.on(Event::ProbeEnded { backend: 0, outcome: Outcome::Ok, load: &[waiting] });
        let r = fresh(&rig, id);
        let Some(backend) = sent_to(&rig.ask(r)) else { continue };
        let latency = if backend == 0 && slow(since) { 600.0 } else { 50.0 };
        answer(&mut rig, id, backend, latency);
        // After the first second of it, while the reports still tell of an empty queue.
        let told_empty = since > 6_000.0 && since < 5_000.0 + late_ms;
        to_slow[1] += u32::from(told_empty);
        to_slow[0] += u32::from(told_empty && backend == 0);
    }
    assert!(to_slow[1] > 100 && to_slow[0] * 8 < to_slow[1], "{to_slow:?}: an even part is a quarter");
}

/// What each of many gateways saved for retries would add up to a storm at the first fault.
#[test]
fn gateways_together_retry_little_when_all_fails() {
    let (mut firsts, mut further) = (0, 0);
    for me in 0..100 {
        let mut rig =
            Rig::seeded(Settings { gateway_count: 100, gateway_index: me, ..settings() }, 10, u64::from(me));
        for id in 0..5 {
            rig.now += 1_000.0;
            let r = fresh(&rig, id);
            let mut to = sent_to(&rig.ask(r));
            firsts += u32::from(to.is_some());
            for attempt in 0.. {
                let Some(backend) = to else { break };
                to = sent_to(&rig.end(id, attempt, backend, Outcome::Error));
                further += u32::from(to.is_some());
            }
        }
    }
    assert!(firsts > 300 && further * 3 < firsts, "{further} further attempts for {firsts}");
}

/// Work is wasted on a client that will have left by the time it is done.
#[test]
fn request_without_enough_time_is_not_sent() {
    let mut rig = Rig::new(settings(), 4);
    learn(&mut rig, 200, 0, |_| 200.0);
    let r = Request { deadline_ms: rig.now + 60.0, ..fresh(&rig, 1_000) };
    assert!(rejected(&rig.ask(r)));
    let r = Request { deadline_ms: rig.now + 900.0, ..fresh(&rig, 1_001) };
    assert!(sent_to(&rig.ask(r)).is_some());
}

/// A backend that answers nothing must not look healthy by its time-outs.
#[test]
fn timeout_is_not_a_sign_of_health() {
    let rig = &mut Rig::new(settings(), 2);
    let errors = [Outcome::Error; 3];
    let mut outcomes = errors.into_iter().chain([Outcome::Timeout; 5]).chain([Outcome::Error]);
    let mut id = 0;
    let mut next = |rig: &mut Rig| {
        (id, rig.now) = (id + 1, rig.now + 1.0);
        let ask = fresh(rig, id);
        (id, sent_to(&rig.ask(ask)).expect("room"))
    };
    let mut outcome = outcomes.next();
    while let Some(is) = outcome {
        let (id, backend) = next(rig);
        if backend == 1 {
            rig.end(id, 0, backend, is);
            rig.on(Event::ClientDisconnected { id });
            outcome = outcomes.next();
        } else {
            answer(rig, id, backend, 1.0);
        }
    }
    // Ejected by the last error, as the time-outs did not lessen the first three.
    for _ in 0..60 {
        let (id, backend) = next(rig);
        assert_eq!(backend, 0);
        answer(rig, id, backend, 20.0);
    }
}
