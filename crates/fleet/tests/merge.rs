//! Orders and snapshots in any sequence, and repeated, converge to the same state.

use std::collections::BTreeMap;

use fleet::*;
use proptest::prelude::*;

fn order(seq: u64, subject: u8, change: u8) -> Order {
    let subject = match subject % 5 {
        0 => Subject::Backend("s-1".parse().expect("a name")),
        1 => Subject::Backend("s-2".parse().expect("a name")),
        2 => Subject::Group(3),
        3 => Subject::Type("m2".parse().expect("a name")),
        _ => Subject::Gateway("n1".parse().expect("a name")),
    };
    let change = match (change % 4, &subject) {
        (0 | 1, _) => Change::Drain,
        (2, Subject::Backend(_)) => Change::Weight(0.5 + f64::from(change % 16) / 2.0),
        _ => Change::Undrain,
    };
    let revision = Revision { term: 1 + seq / 10, seq };
    Order { id: format!("o-{seq}").parse().expect("an id"), revision, subject, change }
}

/// Orders as one writer makes them: revisions that grow.
fn log() -> impl Strategy<Value = Vec<Order>> {
    prop::collection::vec((any::<u8>(), any::<u8>()), 1..24)
        .prop_map(|all| (1..).zip(all).map(|(seq, (s, c))| order(seq, s, c)).collect())
}

/// What the last order on each aspect says, worked out without the code under test.
fn truth(orders: &[Order]) -> BTreeMap<(String, bool), Change> {
    let weight = |o: &Order| matches!(o.change, Change::Weight(_));
    orders.iter().map(|o| ((o.subject.to_string(), weight(o)), o.change)).collect()
}

fn held(state: &DesiredState) -> BTreeMap<(String, bool), Change> {
    let change = |value| match value {
        Value::Drained(true) => Change::Drain,
        Value::Drained(false) => Change::Undrain,
        Value::Weight(w) => Change::Weight(w),
    };
    let weight = |r: &Register| matches!(r.value, Value::Weight(_));
    state.registers().map(|r| ((r.subject.to_string(), weight(r)), change(r.value))).collect()
}

fn no_effect(changes: &BTreeMap<(String, bool), Change>) -> BTreeMap<(String, bool), Change> {
    let neutral = |c: &Change| *c == Change::Undrain || *c == Change::Weight(1.0);
    changes.iter().filter(|(_, c)| !neutral(c)).map(|(k, c)| (k.clone(), *c)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn permuted_and_repeated_orders_converge(
        log in log(),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..48),
        shuffle in any::<u64>(),
    ) {
        let mut order: Vec<&Order> = log.iter().chain(picks.iter().map(|i| i.get(&log))).collect();
        let mut x = shuffle | 1;
        for i in (1..order.len()).rev() {
            x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            order.swap(i, (x >> 33) as usize % (i + 1));
        }
        let mut state = DesiredState::default();
        for o in &order { drop(state.apply(o)); }
        prop_assert_eq!(held(&state), truth(&log));
    }

    /// The writer settles its log here and there; a gateway gets some orders, in any order, and a snapshot
    /// or two at any moment. Once it has the last one, it holds what the writer holds.
    #[test]
    fn snapshots_and_orders_in_any_sequence_converge(
        log in log(),
        settle in any::<prop::sample::Index>(),
        stream in prop::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 0..40),
    ) {
        let (mut writer, mut snapshots) = (DesiredState::default(), Vec::new());
        for (i, order) in log.iter().enumerate() {
            writer.apply(order);
            if i == settle.index(log.len()) {
                writer.compact();
            }
            snapshots.push(writer.snapshot());
        }
        let mut gateway = DesiredState::default();
        for (whole, at) in stream {
            if whole {
                gateway.adopt(at.get(&snapshots));
            } else {
                gateway.apply(at.get(&log));
            }
        }
        gateway.adopt(snapshots.last().expect("one"));
        prop_assert_eq!(no_effect(&held(&gateway)), no_effect(&truth(&log)));
        prop_assert_eq!(no_effect(&held(&writer)), no_effect(&truth(&log)));
        // And nothing old changes it any more.
        let before = gateway.snapshot();
        for order in &log {
            gateway.apply(order);
        }
        for snapshot in &snapshots {
            gateway.adopt(snapshot);
        }
        prop_assert_eq!(gateway.snapshot().registers, before.registers);
    }

    #[test]
    fn adopt_is_idempotent_and_commutative(a in log(), cut in any::<prop::sample::Index>()) {
        let cut = cut.index(a.len());
        let state = |orders: &[Order], settled: bool| {
            let mut s = DesiredState::default();
            for o in orders { drop(s.apply(o)); }
            if settled { s.compact(); }
            s
        };
        let (mut one, mut two) = (state(&a[..=cut], true), state(&a, false));
        let (first, second) = (one.snapshot(), two.snapshot());
        one.adopt(&second);
        two.adopt(&first);
        prop_assert_eq!(one.snapshot(), two.snapshot());
        prop_assert!(!one.adopt(&two.snapshot()), "a second time changed something");
    }

    #[test]
    fn name_is_parsed_unchanged_or_rejected(text in ".{0,300}") {
        match text.parse::<Name>() {
            Ok(name) => prop_assert_eq!(name.as_str(), text.as_str()),
            Err(e) => prop_assert!(e.to_string().len() < 80, "{}", e),
        }
    }
}
