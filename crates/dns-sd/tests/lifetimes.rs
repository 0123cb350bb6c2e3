//! Lifetimes over random sequences of events: a question has at most one query in flight, and each followed
//! question is queried again in time.

mod support;

use std::collections::BTreeSet;

use dns_sd::{
    Answer, Cache, CacheLimits, CacheSize, CacheState, CachedAnswer, NegativeAnswer, QueryType, RecordData,
};
use proptest::prelude::*;
use support::{name, question, Harness};

fn questions() -> Vec<dns_sd::Question> {
    (0..12).map(|i| question(name(&format!("h{i}.example.org.")), QueryType::A)).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u32),
    Answer(usize, u32),
    NegativeAnswer(usize, u32),
    Fail(usize),
    Follow(u16),
    Confirm(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u32..200_000).prop_map(Step::Advance),
        (0usize..12, prop_oneof![Just(0), 1u32..500, Just(u32::MAX)]).prop_map(|(q, t)| Step::Answer(q, t)),
        (0usize..12, 0u32..500).prop_map(|(q, t)| Step::NegativeAnswer(q, t)),
        (0usize..12).prop_map(Step::Fail),
        any::<u16>().prop_map(Step::Follow),
        (0usize..12).prop_map(Step::Confirm),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

    #[test]
    fn question_has_at_most_one_query_and_falls_due(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let limits = CacheLimits { max_queries_in_flight: 5, ..CacheLimits::default() };
        let (all, mut cache, mut now) = (questions(), Cache::new(limits, 3), 0.0);
        let mut followed: BTreeSet<_> = all.iter().cloned().collect();
        let mut in_flight = BTreeSet::new();
        cache.follow(now, &followed);
        for step in steps {
            match step {
                Step::Advance(ms) => now += f64::from(ms),
                Step::Answer(q, ttl_s) => {
                    let records = vec![RecordData::Address([127, 0, 0, 1].into())];
                    cache.record_answer(now, &all[q], Answer::Records { records, ttl_s });
                    in_flight.remove(&all[q]);
                    if followed.contains(&all[q]) {
                        let state = cache.get(now, &all[q]);
                        prop_assert!(matches!(state, CacheState::Fresh(CachedAnswer::Records(_))));
                        let end = now + f64::from(ttl_s) * 1_000.0;
                        let end = end.clamp(now + limits.min_ttl_ms, now + limits.max_ttl_ms);
                        prop_assert!(matches!(cache.get(end - 1.0, &all[q]), CacheState::Fresh(_)));
                        let stale = matches!(cache.get(end, &all[q]), CacheState::Stale { .. });
                        prop_assert!(stale);
                        let stale_end = end + limits.max_stale_ms;
                        prop_assert!(matches!(cache.get(stale_end, &all[q]), CacheState::Unknown));
                    }
                }
                Step::NegativeAnswer(q, ttl_s) => {
                    let kind = NegativeAnswer::NoSuchName;
                    cache.record_answer(now, &all[q], Answer::Negative { kind, ttl_s });
                    in_flight.remove(&all[q]);
                    let end = now + limits.max_negative_ttl_ms;
                    prop_assert!(matches!(cache.get(end, &all[q]), CacheState::Unknown));
                }
                Step::Fail(q) => {
                    cache.record_failure(now, &all[q], "no answer");
                    in_flight.remove(&all[q]);
                }
                Step::Follow(mask) => {
                    followed = (0..12).filter(|i| mask >> i & 1 == 1).map(|i| all[i].clone()).collect();
                    cache.follow(now, &followed);
                    in_flight.retain(|q| followed.contains(q));
                }
                Step::Confirm(q) => cache.request_confirmation(now, &all[q]),
            }
            for due in cache.take_due(now) {
                prop_assert!(followed.contains(&due.question));
                prop_assert!(in_flight.insert(due.question), "a query is in flight already");
            }
            prop_assert!(in_flight.len() <= limits.max_queries_in_flight);
            prop_assert_eq!(cache.size(), CacheSize { followed: followed.len(), in_flight: in_flight.len() });
            // A question without a query in flight is due within the maximum TTL.
            if in_flight.len() < followed.len() && in_flight.len() < limits.max_queries_in_flight {
                prop_assert!(cache.next_due_ms().is_some_and(|due_ms| due_ms <= now + limits.max_ttl_ms));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, failure_persistence: None, ..Default::default() })]

    #[test]
    fn unanswered_queries_remove_nothing(
        periods in prop::collection::vec((any::<bool>(), 1u32..300_000), 1..8),
    ) {
        let mut harness = Harness::new(CacheLimits::default(), 0.2);
        for port in 0..3 {
            harness.add_instance(&format!("t{port}"), port, 9_000 + port, &["zone=room"]);
        }
        harness.settle();
        for (fails, ms) in periods {
            harness.resolver_error = fails.then_some("no answer");
            let changes = harness.advance(f64::from(ms));
            prop_assert!(changes.is_empty(), "{changes:?}");
            prop_assert_eq!(harness.names().len(), 3);
        }
    }
}

#[test]
fn ttl_of_zero_is_raised_and_refreshes_are_spread() {
    let mut cache = Cache::new(CacheLimits { max_queries_in_flight: 2_000, ..CacheLimits::default() }, 9);
    let all: BTreeSet<_> =
        (0..1_000).map(|i| question(name(&format!("h{i}.example.org.")), QueryType::A)).collect();
    cache.follow(0.0, &all);
    for due in cache.take_due(0.0) {
        let records = vec![RecordData::Address([127, 0, 0, 1].into())];
        cache.record_answer(0.0, &due.question, Answer::Records { records, ttl_s: 100 });
    }
    // Refreshes are due after 80 s less up to a quarter of it.
    let due_by = |cache: &mut Cache, at: f64| cache.take_due(at).len();
    assert_eq!(due_by(&mut cache, 59_999.0), 0);
    let counts = [65_000.0, 70_000.0, 75_000.0, 80_000.0].map(|at| due_by(&mut cache, at));
    assert_eq!(counts.iter().sum::<usize>(), 1_000);
    assert!(counts.iter().all(|n| (200..300).contains(n)), "{counts:?}");
    let first = all.first().expect("at least one question").clone();
    let records = vec![RecordData::Address([127, 0, 0, 1].into())];
    cache.record_answer(80_000.0, &first, Answer::Records { records, ttl_s: 0 });
    assert!(cache.take_due(80_599.0).is_empty());
    assert_eq!(cache.take_due(80_800.0).len(), 1);
}
