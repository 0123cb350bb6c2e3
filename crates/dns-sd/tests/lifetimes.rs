//! Lifetimes over random days: nothing is asked twice at once, nothing is forgotten, nothing waits for good.

mod support;

use std::collections::BTreeSet;

use dns_sd::{
    Answer, Cache, CacheLimits, CacheSize, CacheState, CachedAnswer, NegativeAnswer, QueryType, RecordData,
};
use proptest::prelude::*;
use support::{name, of, World};

fn questions() -> Vec<dns_sd::Question> {
    (0..12).map(|i| of(name(&format!("h{i}.example.org.")), QueryType::A)).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u32),
    Answer(usize, u32),
    None(usize, u32),
    Fail(usize),
    Follow(u16),
    Doubt(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u32..200_000).prop_map(Step::Pass),
        (0usize..12, prop_oneof![Just(0), 1u32..500, Just(u32::MAX)]).prop_map(|(q, t)| Step::Answer(q, t)),
        (0usize..12, 0u32..500).prop_map(|(q, t)| Step::None(q, t)),
        (0usize..12).prop_map(Step::Fail),
        any::<u16>().prop_map(Step::Follow),
        (0usize..12).prop_map(Step::Doubt),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

    #[test]
    fn every_question_has_one_query_in_flight_and_falls_due(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let bounds = CacheLimits { max_queries_in_flight: 5, ..CacheLimits::default() };
        let (all, mut cache, mut now) = (questions(), Cache::new(bounds, 3), 0.0);
        let mut followed: BTreeSet<_> = all.iter().cloned().collect();
        let mut out = BTreeSet::new();
        cache.follow(now, &followed);
        for step in steps {
            match step {
                Step::Pass(ms) => now += f64::from(ms),
                Step::Answer(q, ttl_s) => {
                    let records = vec![RecordData::Address([127, 0, 0, 1].into())];
                    cache.answered(now, &all[q], Answer::Records { records, ttl_s });
                    out.remove(&all[q]);
                    if followed.contains(&all[q]) {
                        let state = cache.get(now, &all[q]);
                    prop_assert!(matches!(state, CacheState::Fresh(CachedAnswer::Records(_))));
                        let end = now + f64::from(ttl_s) * 1_000.0;
                        let end = end.clamp(now + bounds.min_ttl_ms, now + bounds.max_ttl_ms);
                        prop_assert!(matches!(cache.get(end - 1.0, &all[q]), CacheState::Fresh(_)));
                        let stale = matches!(cache.get(end, &all[q]), CacheState::Stale { .. });
                        prop_assert!(stale);
                        let over = end + bounds.max_stale_ms;
                        prop_assert!(matches!(cache.get(over, &all[q]), CacheState::Unknown));
                    }
                }
                Step::None(q, ttl_s) => {
                    cache.answered(now, &all[q], Answer::None { why: NegativeAnswer::NoSuchName, ttl_s });
                    out.remove(&all[q]);
                    let end = now + bounds.max_negative_ttl_ms;
                    prop_assert!(matches!(cache.get(end, &all[q]), CacheState::Unknown));
                }
                Step::Fail(q) => {
                    cache.failed(now, &all[q], "no answer");
                    out.remove(&all[q]);
                }
                Step::Follow(mask) => {
                    followed = (0..12).filter(|i| mask >> i & 1 == 1).map(|i| all[i].clone()).collect();
                    cache.follow(now, &followed);
                    out.retain(|q| followed.contains(q));
                }
                Step::Doubt(q) => cache.doubt(now, &all[q]),
            }
            for due in cache.due(now) {
                prop_assert!(followed.contains(&due.question));
                prop_assert!(out.insert(due.question), "asked while it is being asked");
            }
            prop_assert!(out.len() <= bounds.max_queries_in_flight);
            prop_assert_eq!(cache.size(), CacheSize { followed: followed.len(), in_flight: out.len() });
            // What is not out falls due before the longest life is over.
            if out.len() < followed.len() && out.len() < bounds.max_queries_in_flight {
                prop_assert!(cache.next().is_some_and(|at| at <= now + bounds.max_ttl_ms));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, failure_persistence: None, ..Default::default() })]

    #[test]
    fn unanswered_queries_remove_nothing(
        days in prop::collection::vec((any::<bool>(), 1u32..300_000), 1..8),
    ) {
        let mut world = World::new(CacheLimits::default(), 0.2);
        for port in 0..3 {
            world.put(&format!("t{port}"), port, 9_000 + port, &["zone=room"]);
        }
        world.settle();
        for (broken, ms) in days {
            world.broken = broken.then_some("no answer");
            let changes = world.pass(f64::from(ms));
            prop_assert!(changes.is_empty(), "{changes:?}");
            prop_assert_eq!(world.names().len(), 3);
        }
    }
}

#[test]
fn limits_zero_ttl_and_spreads_refreshes() {
    let mut cache = Cache::new(CacheLimits { max_queries_in_flight: 2_000, ..CacheLimits::default() }, 9);
    let all: BTreeSet<_> =
        (0..1_000).map(|i| of(name(&format!("h{i}.example.org.")), QueryType::A)).collect();
    cache.follow(0.0, &all);
    for due in cache.due(0.0) {
        let records = vec![RecordData::Address([127, 0, 0, 1].into())];
        cache.answered(0.0, &due.question, Answer::Records { records, ttl_s: 100 });
    }
    // 80 s, less up to a quarter.
    let by = |cache: &mut Cache, at: f64| cache.due(at).len();
    assert_eq!(by(&mut cache, 59_999.0), 0);
    let parts = [65_000.0, 70_000.0, 75_000.0, 80_000.0].map(|at| by(&mut cache, at));
    assert_eq!(parts.iter().sum::<usize>(), 1_000);
    assert!(parts.iter().all(|n| (200..300).contains(n)), "{parts:?}");
    let one = all.first().expect("some").clone();
    let records = vec![RecordData::Address([127, 0, 0, 1].into())];
    cache.answered(80_000.0, &one, Answer::Records { records, ttl_s: 0 });
    assert!(cache.due(80_599.0).is_empty());
    assert_eq!(cache.due(80_800.0).len(), 1);
}
