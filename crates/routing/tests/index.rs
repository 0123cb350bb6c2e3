//! The index agrees with a scan of all backends after random events.

use std::collections::{BTreeMap, BTreeSet};

use proptest::collection::vec;
use proptest::prelude::*;
use routing::{Attributes, Counts, Index, Indexed, ListState, Sampling, Scope, Subset, MIN_SUBSET_SIZE};

const WINDOW: f64 = 1_000.0;

#[derive(Clone, Debug)]
struct Record(Attributes);

impl Indexed for Record {
    fn attributes(&self) -> Attributes {
        self.0
    }
}

#[derive(Clone, Debug)]
enum Step {
    Insert(Attributes),
    Remove(u32),
    SetState(u32, ListState),
    SetEjected(u32, bool),
    Restart(u32, f64),
    WarmUp(u32, f64),
    SetShare(u32, f64),
    Move(u32, Option<u32>, Option<u32>),
    RecordWork(u32, f64),
    Advance(f64),
}

fn list_state() -> impl Strategy<Value = ListState> {
    prop_oneof![4 => Just(ListState::Ready), 1 => Just(ListState::Draining), 1 => Just(ListState::Removed)]
}

fn step() -> impl Strategy<Value = Step> {
    let id = || 0u32..60;
    let zone = || proptest::option::weighted(0.9, 0u32..3);
    let cell = || proptest::option::weighted(0.9, 0u32..5);
    let attributes = (id(), zone(), cell(), 0u32..2, list_state(), any::<bool>(), 0.0..20_000.0, 0.1..1.0);
    let insert = attributes.prop_map(|(id, zone, cell, instance_type, state, ejected, warm_from, share)| {
        Step::Insert(Attributes {
            id,
            key: u64::from(id),
            zone,
            cell,
            instance_type,
            state,
            ejected,
            warm_from,
            share,
        })
    });
    prop_oneof![
        6 => insert,
        1 => id().prop_map(Step::Remove),
        2 => (id(), list_state()).prop_map(|(id, s)| Step::SetState(id, s)),
        3 => (id(), any::<bool>()).prop_map(|(id, e)| Step::SetEjected(id, e)),
        1 => (id(), 0.0..5_000.0).prop_map(|(id, t)| Step::Restart(id, t)),
        1 => (id(), 0.0..5_000.0).prop_map(|(id, t)| Step::WarmUp(id, t)),
        1 => (id(), 0.1..1.0).prop_map(|(id, s)| Step::SetShare(id, s)),
        1 => (id(), zone(), cell()).prop_map(|(id, z, c)| Step::Move(id, z, c)),
        6 => (id(), 0.1..50.0).prop_map(|(id, w)| Step::RecordWork(id, w)),
        3 => (0.0..3_000.0).prop_map(Step::Advance),
    ]
}

/// Reference model: all backends in one map that is scanned for each query. Each entry has the attributes,
/// the work and the time of the last recorded work.
struct Scan {
    subset: Subset,
    all: BTreeMap<u32, (Attributes, f64, f64)>,
}

impl Scan {
    fn ready(&self) -> impl Iterator<Item = &(Attributes, f64, f64)> {
        self.all.values().filter(|b| b.0.state == ListState::Ready)
    }

    fn in_subset(&self, attributes: &Attributes) -> bool {
        let mut thresholds: Vec<f64> = self.ready().map(|b| self.subset.threshold(b.0.key)).collect();
        thresholds.sort_by(f64::total_cmp);
        let min_degree = thresholds.iter().take(MIN_SUBSET_SIZE).next_back().map_or(0.0, |t| t.next_up());
        let degree = self.subset.degree(self.ready().count()).max(min_degree);
        attributes.state == ListState::Ready && self.subset.threshold(attributes.key) < degree
    }

    fn counts(&self, now: f64, of: impl Fn(&Attributes) -> bool) -> Counts {
        let ready = || self.ready().filter(|b| of(&b.0));
        let draining = self.all.values().filter(|b| b.0.state == ListState::Draining && of(&b.0)).count();
        let ejected = ready().filter(|b| b.0.ejected).count();
        let warming_up = ready().filter(|b| b.0.warm_from > now).count();
        Counts { ready: ready().count(), draining, ejected, warming_up }
    }

    fn decayed(now: f64, b: &(Attributes, f64, f64)) -> f64 {
        b.1 * (-(now - b.2) / WINDOW).exp()
    }

    fn mean_warm_work(&self, now: f64) -> f64 {
        let warm = || self.ready().filter(|b| b.0.warm_from <= now && self.in_subset(&b.0));
        let shares: f64 = warm().map(|b| b.0.share).sum();
        let sum: f64 = warm().map(|b| Scan::decayed(now, b)).sum();
        if shares > 0.0 {
            sum / shares
        } else {
            0.0
        }
    }
}

fn check_agreement(index: &Index<Record>, scan: &Scan, now: f64) -> Result<(), TestCaseError> {
    prop_assert_eq!(index.counts(Scope::Fleet), scan.counts(now, |_| true));
    let subset = scan.counts(now, |f| scan.in_subset(f));
    prop_assert_eq!(index.counts(Scope::Subset), Counts { draining: 0, ..subset });
    for key in 0..5 {
        prop_assert_eq!(index.counts(Scope::Zone(key)), scan.counts(now, |f| f.zone == Some(key)));
        prop_assert_eq!(index.counts(Scope::Cell(key)), scan.counts(now, |f| f.cell == Some(key)));
        prop_assert_eq!(index.instance_type_counts(key), scan.counts(now, |f| f.instance_type == key));
    }
    let (indexed, scanned) = (index.mean_warm_work(now), scan.mean_warm_work(now));
    prop_assert!((indexed - scanned).abs() <= 1e-6 * (1.0 + scanned), "{} against {}", indexed, scanned);
    for (id, b) in &scan.all {
        let slot = index.find(*id).expect("known");
        prop_assert_eq!(index.get(slot).0, b.0);
        prop_assert_eq!(index.is_in_subset(slot), scan.in_subset(&b.0));
        prop_assert!((index.recent_work(slot, now) - Scan::decayed(now, b)).abs() < 1e-6);
    }
    prop_assert_eq!(index.slots().count(), scan.all.len());
    Ok(())
}

fn drawn(index: &Index<Record>, scope: Scope, ejected: bool, seed: u32) -> Vec<u32> {
    let (mut x, mut candidates) = (seed, Vec::new());
    let mut random = || {
        x = x.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(x >> 8) / f64::from(1u32 << 24)
    };
    index.draw(scope, ejected, &mut random, &mut candidates);
    candidates.iter().map(|slot| index.get(*slot).0.id).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn sums_and_draws_match_a_full_scan(
        steps in vec(step(), 1..200),
        (gateway, gateways, size) in (0u32..6, 6u32..9, 1u32..40),
        seed in any::<u32>(),
    ) {
        let subset = Subset::new(gateway, gateways, size, 2);
        let sampling = Sampling { scan_all_up_to: 12, choices: 5 };
        let (mut index, mut now) = (Index::new(subset, sampling, WINDOW), 0.0);
        let mut scan = Scan { subset, all: BTreeMap::new() };
        for step in steps {
            match step {
                Step::Insert(attributes) => if index.find(attributes.id).is_none() {
                    index.insert(now, Record(attributes));
                    scan.all.insert(attributes.id, (attributes, 0.0, now));
                },
                Step::Remove(id) => if let Some(slot) = index.find(id) {
                    index.remove(now, slot);
                    scan.all.remove(&id);
                    prop_assert_eq!(index.find(id), None);
                },
                Step::Advance(ms) => {
                    now += ms;
                    index.advance(now);
                }
                Step::RecordWork(id, work) => if let Some(slot) = index.find(id) {
                    index.record_work(slot, now, work);
                    let b = scan.all.get_mut(&id).expect("known");
                    (b.1, b.2) = (Scan::decayed(now, b) + work, now);
                },
                Step::Restart(id, ms) => if let Some(slot) = index.find(id) {
                    let attributes = Attributes { warm_from: now + ms, ..index.get(slot).0 };
                    index.renew(now, slot, Record(attributes));
                    scan.all.insert(id, (attributes, 0.0, now));
                },
                Step::SetState(id, _) | Step::SetEjected(id, _) | Step::WarmUp(id, _) | Step::SetShare(id, _)
                | Step::Move(id, ..) => if let Some(slot) = index.find(id) {
                    let change = |f: &mut Attributes| match step {
                        Step::SetState(_, state) => f.state = state,
                        Step::SetEjected(_, ejected) => f.ejected = ejected,
                        Step::WarmUp(_, ms) => f.warm_from = now + ms,
                        Step::SetShare(_, share) => f.share = share,
                        Step::Move(_, zone, cell) => (f.zone, f.cell) = (zone, cell),
                        _ => {}
                    };
                    index.update(now, slot, |r| change(&mut r.0));
                    change(&mut scan.all.get_mut(&id).expect("known").0);
                },
            }
            check_agreement(&index, &scan, now)?;
            for scope in [Scope::Fleet, Scope::Subset, Scope::Zone(1), Scope::Cell(2)] {
                for ejected in [false, true] {
                    let drawn = drawn(&index, scope, ejected, seed);
                    let set: BTreeSet<u32> = drawn.iter().copied().collect();
                    prop_assert_eq!(set.len(), drawn.len(), "drawn twice");
                    let in_scope = |f: &Attributes| match scope {
                        Scope::Fleet => true,
                        Scope::Subset => scan.in_subset(f),
                        Scope::Zone(zone) => f.zone == Some(zone),
                        Scope::Cell(cell) => f.cell == Some(cell),
                    };
                    let ready = scan.ready().filter(|b| in_scope(&b.0) && (ejected || !b.0.ejected));
                    let all: BTreeSet<u32> = ready.map(|b| b.0.id).collect();
                    prop_assert!(set.is_subset(&all));
                    if all.len() <= 12 {
                        prop_assert_eq!(set, all);
                    } else {
                        prop_assert!((1..=5).contains(&set.len()));
                    }
                }
            }
        }
    }
}

fn fleet(backends: u32, sampling: Sampling) -> Index<Record> {
    let mut index = Index::new(Subset::new(0, 1, 64, 1), sampling, WINDOW);
    for id in 0..backends {
        let (state, ejected, warm_from, share) = (ListState::Ready, false, 0.0, 1.0);
        index.insert(
            0.0,
            Record(Attributes {
                id,
                key: 0,
                zone: Some(0),
                cell: Some(0),
                instance_type: 0,
                state,
                ejected,
                warm_from,
                share,
            }),
        );
    }
    index
}

#[test]
fn random_draws_are_uniform() {
    let index = fleet(100, Sampling { scan_all_up_to: 16, choices: 4 });
    let mut counts = vec![0u32; 100];
    for seed in 0..50_000u32 {
        let seed = seed.wrapping_mul(2_654_435_761);
        for id in drawn(&index, Scope::Fleet, false, seed).into_iter() {
            counts[id as usize] += 1;
        }
    }
    // 2,000 each on average; a fifth of that is more than four standard deviations.
    assert!(counts.iter().all(|n| (1_600..2_400).contains(n)), "{counts:?}");
}

#[test]
fn check_is_due_once_at_its_earliest_time() {
    let mut index = fleet(3, Sampling { scan_all_up_to: 16, choices: 4 });
    index.check_at(0, 50.0);
    index.check_at(1, 40.0);
    index.check_at(0, 30.0);
    index.check_at(2, 20.0);
    index.remove(10.0, 2);
    assert_eq!(index.next_due(29.0), None);
    assert_eq!(index.next_due(60.0), Some(0));
    assert_eq!(index.next_due(60.0), Some(1));
    assert_eq!(index.next_due(60.0), None);
}
