//! Property tests: replicas converge whatever the sequence and repetition of orders and snapshots.

use std::collections::BTreeMap;

use fleet::*;
use proptest::prelude::*;

fn order(seq: u64, subject: u8, change: u8) -> Order {
    let subject = match subject % 5 {
        0 => Subject::Backend("s-1".parse().expect("valid name")),
        1 => Subject::Backend("s-2".parse().expect("valid name")),
        2 => Subject::Group(3),
        3 => Subject::Type("m2".parse().expect("valid name")),
        _ => Subject::Gateway("n1".parse().expect("valid name")),
    };
    let change = match (change % 4, &subject) {
        (0 | 1, _) => Change::Drain,
        (2, Subject::Backend(_)) => Change::Weight(0.5 + f64::from(change % 16) / 2.0),
        _ => Change::Undrain,
    };
    let revision = Revision { term: 1 + seq / 10, seq };
    Order { id: format!("o-{seq}").parse().expect("valid id"), revision, subject, change }
}

/// Generates the log of one writer: orders with increasing revisions.
fn any_log() -> impl Strategy<Value = Vec<Order>> {
    prop::collection::vec((any::<u8>(), any::<u8>()), 1..24)
        .prop_map(|all| (1..).zip(all).map(|(seq, (s, c))| order(seq, s, c)).collect())
}

/// The last change per subject and aspect, computed without the code under test.
fn expected_changes(orders: &[Order]) -> BTreeMap<(String, bool), Change> {
    let is_weight = |o: &Order| matches!(o.change, Change::Weight(_));
    orders.iter().map(|o| ((o.subject.to_string(), is_weight(o)), o.change)).collect()
}

/// The change per subject and aspect that a state holds.
fn changes_in(state: &DesiredState) -> BTreeMap<(String, bool), Change> {
    let change = |value| match value {
        Value::Drained(true) => Change::Drain,
        Value::Drained(false) => Change::Undrain,
        Value::Weight(w) => Change::Weight(w),
    };
    let is_weight = |r: &Register| matches!(r.value, Value::Weight(_));
    state.registers().map(|r| ((r.subject.to_string(), is_weight(r)), change(r.value))).collect()
}

/// Removes changes that have the same effect as no order.
fn without_neutral(changes: &BTreeMap<(String, bool), Change>) -> BTreeMap<(String, bool), Change> {
    let is_neutral = |c: &Change| *c == Change::Undrain || *c == Change::Weight(1.0);
    changes.iter().filter(|(_, c)| !is_neutral(c)).map(|(k, c)| (k.clone(), *c)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn permuted_and_repeated_orders_converge(
        log in any_log(),
        picks in prop::collection::vec(any::<prop::sample::Index>(), 0..48),
        shuffle in any::<u64>(),
    ) {
        let mut sequence: Vec<&Order> = log.iter().chain(picks.iter().map(|i| i.get(&log))).collect();
        let mut x = shuffle | 1;
        for i in (1..sequence.len()).rev() {
            x = x.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            sequence.swap(i, (x >> 33) as usize % (i + 1));
        }
        let mut state = DesiredState::default();
        for o in &sequence { drop(state.apply(o)); }
        prop_assert_eq!(changes_in(&state), expected_changes(&log));
    }

    /// The writer compacts its state at some point; a gateway receives any orders and snapshots of it in any
    /// sequence. After the last snapshot it has to hold what the writer holds, and earlier messages that
    /// arrive again must not change it.
    #[test]
    fn snapshots_and_orders_in_any_sequence_converge(
        log in any_log(),
        compact_at in any::<prop::sample::Index>(),
        messages in prop::collection::vec((any::<bool>(), any::<prop::sample::Index>()), 0..40),
    ) {
        let (mut writer, mut snapshots) = (DesiredState::default(), Vec::new());
        for (i, order) in log.iter().enumerate() {
            writer.apply(order);
            if i == compact_at.index(log.len()) {
                writer.compact();
            }
            snapshots.push(writer.snapshot());
        }
        let mut gateway = DesiredState::default();
        for (is_snapshot, index) in messages {
            if is_snapshot {
                gateway.adopt(index.get(&snapshots));
            } else {
                gateway.apply(index.get(&log));
            }
        }
        gateway.adopt(snapshots.last().expect("at least one snapshot"));
        prop_assert_eq!(without_neutral(&changes_in(&gateway)), without_neutral(&expected_changes(&log)));
        prop_assert_eq!(without_neutral(&changes_in(&writer)), without_neutral(&expected_changes(&log)));
        // Earlier messages that arrive again change nothing.
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
    fn adopt_is_idempotent_and_commutative(log in any_log(), cut in any::<prop::sample::Index>()) {
        let cut = cut.index(log.len());
        let state = |orders: &[Order], compacted: bool| {
            let mut s = DesiredState::default();
            for o in orders { drop(s.apply(o)); }
            if compacted { s.compact(); }
            s
        };
        let (mut one, mut two) = (state(&log[..=cut], true), state(&log, false));
        let (first, second) = (one.snapshot(), two.snapshot());
        one.adopt(&second);
        two.adopt(&first);
        prop_assert_eq!(one.snapshot(), two.snapshot());
        prop_assert!(!one.adopt(&two.snapshot()), "adopting the same snapshot again changed the state");
    }

    #[test]
    fn name_is_parsed_unchanged_or_rejected(text in ".{0,300}") {
        match text.parse::<Name>() {
            Ok(name) => prop_assert_eq!(name.as_str(), text.as_str()),
            Err(e) => prop_assert!(e.to_string().len() < 80, "{}", e),
        }
    }
}
