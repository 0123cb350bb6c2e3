//! Applying single orders, the guard, and the health of gateways.

use fleet::*;

fn order(id: &str, seq: u64, subject: &str, change: Change) -> Order {
    let revision = Revision { term: 1, seq };
    Order {
        id: id.parse().expect("valid id"),
        revision,
        subject: subject.parse().expect("valid subject"),
        change,
    }
}

fn is_drained(state: &DesiredState, name: &str) -> bool {
    state.effective_state(name, 3, "m2").drained_by.is_some()
}

#[test]
fn repeated_id_returns_first_outcome_and_changes_nothing() {
    let mut state = DesiredState::default();
    assert_eq!(state.apply(&order("a", 1, "s-1", Change::Drain)), ApplyOutcome::Applied);
    assert_eq!(state.apply(&order("b", 2, "s-1", Change::Undrain)), ApplyOutcome::Applied);
    let before = state.snapshot();
    // Without the check of ids, the newer revision would drain the backend again.
    assert_eq!(state.apply(&order("a", 3, "s-1", Change::Drain)), ApplyOutcome::Applied);
    assert_eq!(state.snapshot(), before);
    assert!(!is_drained(&state, "s-1"));
}

#[test]
fn newer_undrain_supersedes_older_drain_even_when_settled() {
    for settled in [false, true] {
        let mut state = DesiredState::default();
        state.apply(&order("b", 2, "s-1", Change::Undrain));
        if settled {
            state.compact();
            assert_eq!(state.registers().count(), 0);
        }
        let late = state.apply(&order("a", 1, "s-1", Change::Drain));
        assert_eq!(late, ApplyOutcome::Superseded(Revision { term: 1, seq: 2 }));
        assert!(!is_drained(&state, "s-1"));
    }
}

#[test]
fn orders_on_other_subjects_do_not_supersede_each_other() {
    let mut state = DesiredState::default();
    state.apply(&order("b", 2, "s-2", Change::Drain));
    assert_eq!(state.apply(&order("a", 1, "s-1", Change::Drain)), ApplyOutcome::Applied);
    assert_eq!(state.apply(&order("c", 3, "s-1", Change::Weight(0.5))), ApplyOutcome::Applied);
    let effect = state.effective_state("s-1", 3, "m2");
    assert_eq!((effect.drained_by.expect("drained").as_str(), effect.weight), ("a", 0.5));
}

#[test]
fn newer_term_supersedes_all_sequences_of_older_term() {
    let mut state = DesiredState::default();
    state.apply(&order("a", 900, "s-1", Change::Drain));
    let mut newer = order("b", 1, "s-1", Change::Undrain);
    newer.revision.term = 2;
    assert_eq!(state.apply(&newer), ApplyOutcome::Applied);
    assert!(!is_drained(&state, "s-1"));
}

#[test]
fn drains_of_a_lost_log_stay_until_reversed() {
    let mut gateway = DesiredState::default();
    gateway.apply(&order("old", 7, "s-1", Change::Drain));
    let mut writer = DesiredState::since(Revision { term: 2, seq: 0 });
    let mut newer = order("new", 1, "s-2", Change::Undrain);
    newer.revision.term = 2;
    writer.apply(&newer);
    writer.compact();
    gateway.adopt(&writer.snapshot());
    assert!(is_drained(&gateway, "s-1"));
    let mut back = order("back", 2, "s-1", Change::Undrain);
    back.revision.term = 2;
    writer.apply(&back);
    gateway.adopt(&writer.snapshot());
    assert!(!is_drained(&gateway, "s-1"));
}

#[test]
fn backend_is_drained_while_any_subject_drains_it() {
    let mut state = DesiredState::default();
    state.apply(&order("a", 1, "s-1", Change::Drain));
    state.apply(&order("b", 2, "group/3", Change::Drain));
    state.apply(&order("c", 3, "type/m2", Change::Drain));
    state.apply(&order("d", 4, "group/3", Change::Undrain));
    assert!(is_drained(&state, "s-1") && is_drained(&state, "s-2"));
    state.apply(&order("e", 5, "type/m2", Change::Undrain));
    assert!(is_drained(&state, "s-1") && !is_drained(&state, "s-2"));
}

#[test]
fn order_beyond_the_register_limit_is_rejected() {
    let mut state = DesiredState::default();
    for i in 1..=MAX_REGISTERS as u64 {
        let o = order(&format!("o{i}"), i, &format!("s-{i}"), Change::Drain);
        assert_eq!(state.apply(&o), ApplyOutcome::Applied);
    }
    let one_more = state.apply(&order("x", 1 << 20, "s-0", Change::Drain));
    assert!(matches!(one_more, ApplyOutcome::Rejected(_)), "{one_more:?}");
    // Existing registers can still change.
    assert_eq!(state.apply(&order("y", 1 << 21, "s-1", Change::Undrain)), ApplyOutcome::Applied);
}

#[test]
fn invalid_subjects_weights_and_names_give_short_errors() {
    for text in ["group/x", "zone/a", "", "a b", "type/", "s\u{7}1", &"n".repeat(10 << 20)] {
        let error = text.parse::<Subject>().expect_err("invalid subject").to_string();
        assert!(error.len() < 120, "{error}");
    }
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 101.0] {
        let bad = order("a", 1, "s-1", Change::Weight(weight));
        assert!(bad.check().is_err(), "{weight}");
        assert!(matches!(DesiredState::default().apply(&bad), ApplyOutcome::Rejected(_)));
    }
    assert!(order("a", 1, "group/3", Change::Weight(0.5)).check().is_err());
}

/// Serving backends, assigned to the cells in turn.
fn backends(n: u32, groups: u32) -> Vec<Backend> {
    let backend =
        |i: u32| Backend { name: format!("s-{i}"), group: i % groups, kind: "m".to_string(), serving: true };
    (0..n).map(backend).collect()
}

/// Runs the guard with a minimum of half of the fleet.
fn guard_half(
    state: &DesiredState,
    order: &Order,
    backends: &[Backend],
    gateways: &[&str],
) -> Result<GuardCounts, TooFewReady> {
    guard(state, order, backends.iter(), gateways.iter().copied(), 0.5)
}

#[test]
fn guard_rejects_drain_that_leaves_too_few_ready() {
    let (mut state, mut backends) = (DesiredState::default(), backends(8, 2));
    backends[7].serving = false;
    state.apply(&order("a", 1, "s-0", Change::Drain));
    let rejected = guard_half(&state, &order("b", 2, "group/0", Change::Drain), &backends, &[]);
    let rejected = rejected.expect_err("three of seven would stay ready");
    assert_eq!((rejected.counts.serving, rejected.counts.ready, rejected.counts.ready_after), (7, 6, 3));
    assert_eq!(rejected.minimum, 4);
    assert!(rejected.to_string().contains("3 of 7 backends"), "{rejected}");
    // A drain of a single backend is allowed, as are a drain without effect and an undrain.
    assert!(guard_half(&state, &order("c", 2, "s-2", Change::Drain), &backends, &[]).is_ok());
    (1..7).for_each(|i| {
        state.apply(&order(&format!("d{i}"), 2 + i, &format!("s-{i}"), Change::Drain));
    });
    assert!(guard_half(&state, &order("e", 20, "s-3", Change::Drain), &backends, &[]).is_ok());
    assert!(guard_half(&state, &order("f", 20, "s-3", Change::Undrain), &backends, &[]).is_ok());
}

/// The guard computes its counts without applying the order; they have to match the state after it.
#[test]
fn guard_counts_match_the_state_after_the_order() {
    let (mut state, backends) = (DesiredState::default(), backends(12, 3));
    let subjects = ["s-0", "s-4", "group/1", "group/2", "type/m", "s-7", "none"];
    let mut seed = 7u64;
    for seq in 1..400 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let subject = subjects[(seed >> 33) as usize % subjects.len()];
        let change = if (seed >> 50).is_multiple_of(2) { Change::Drain } else { Change::Undrain };
        let order = order(&format!("o{seq}"), seq, subject, change);
        let ready = |state: &DesiredState| {
            let drained =
                |b: &&Backend| state.effective_state(&b.name, b.group, &b.kind).drained_by.is_some();
            backends.iter().filter(|b| !drained(b)).count() as u32
        };
        let counts = guard(&state, &order, backends.iter(), std::iter::empty(), 0.0)
            .expect("a minimum of 0 rejects nothing");
        assert_eq!(counts.ready, ready(&state));
        state.apply(&order);
        assert_eq!(counts.ready_after, ready(&state), "{subject} {change}");
    }
}

#[test]
fn guard_counts_gateways_for_order_on_gateway() {
    let mut state = DesiredState::default();
    let names = ["n0", "n1", "n2"];
    let first = order("a", 1, "gateway/n0", Change::Drain);
    assert_eq!(guard_half(&state, &first, &[], &names).expect("two stay ready").ready_after, 2);
    state.apply(&first);
    let rejected = guard_half(&state, &order("b", 2, "gateway/n1", Change::Drain), &[], &names);
    assert_eq!(rejected.expect_err("one would stay ready").counted, "gateways");
}

#[test]
fn silent_or_unreachable_gateway_is_never_ok() {
    let (mut gateway, newest) = (GatewayRecord::default(), Revision { term: 1, seq: 5 });
    let reachable = |applied_revision| Observation::Reachable { incarnation: 7, applied_revision };
    assert_eq!(gateway.health(0.0, newest, 2_000.0), Health::Unknown);
    gateway.observe(0.0, reachable(Revision { term: 1, seq: 4 }));
    assert_eq!(gateway.health(10.0, newest, 2_000.0), Health::Behind);
    gateway.observe(20.0, reachable(newest));
    assert_eq!(gateway.health(30.0, newest, 2_000.0), Health::Ok);
    assert!(matches!(gateway.health(2_021.0, newest, 2_000.0), Health::Unreachable { .. }));
    gateway.observe(40.0, Observation::Unreachable("connection refused".to_string()));
    gateway.observe(90.0, Observation::Unreachable("no answer".to_string()));
    assert_eq!(gateway.unreachable_since_ms(), Some(40.0));
    let health = gateway.health(91.0, newest, 2_000.0);
    assert!(matches!(health, Health::Unreachable { reason } if reason == "no answer"));
    assert!(
        gateway
            .observe(100.0, Observation::Reachable { incarnation: 8, applied_revision: Revision::default() }),
        "a new incarnation is a restart"
    );
    assert_eq!((gateway.restarts, gateway.health(101.0, newest, 2_000.0)), (1, Health::Behind));
}
