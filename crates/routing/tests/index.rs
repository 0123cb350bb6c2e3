//! The index against a scan of all backends, under random events.

use std::collections::{BTreeMap, BTreeSet};

use proptest::collection::vec;
use proptest::prelude::*;
use routing::{Counts, Facts, Filed, From, Index, Listing, Reach, Subset, MIN_SUBSET_SIZE};

const WINDOW: f64 = 1_000.0;

#[derive(Clone, Debug)]
struct Record(Facts);

impl Filed for Record {
    fn facts(&self) -> Facts {
        self.0
    }
}

#[derive(Clone, Debug)]
enum Step {
    Insert(Facts),
    Remove(u32),
    Listing(u32, Listing),
    Eject(u32, bool),
    Restart(u32, f64),
    Cool(u32, f64),
    Share(u32, f64),
    Move(u32, u32, u32),
    Push(u32, f64),
    Wait(f64),
}

fn listing() -> impl Strategy<Value = Listing> {
    prop_oneof![4 => Just(Listing::Ready), 1 => Just(Listing::Draining), 1 => Just(Listing::Gone)]
}

fn step() -> impl Strategy<Value = Step> {
    let id = || 0u32..60;
    let facts = (id(), 0u32..3, 0u32..5, 0u32..2, listing(), any::<bool>(), 0.0..20_000.0, 0.1..1.0);
    let insert = facts.prop_map(|(id, zone, cell, kind, listing, ejected, warm_from, share)| {
        Step::Insert(Facts { id, key: u64::from(id), zone, cell, kind, listing, ejected, warm_from, share })
    });
    prop_oneof![
        6 => insert,
        1 => id().prop_map(Step::Remove),
        2 => (id(), listing()).prop_map(|(id, l)| Step::Listing(id, l)),
        3 => (id(), any::<bool>()).prop_map(|(id, e)| Step::Eject(id, e)),
        1 => (id(), 0.0..5_000.0).prop_map(|(id, t)| Step::Restart(id, t)),
        1 => (id(), 0.0..5_000.0).prop_map(|(id, t)| Step::Cool(id, t)),
        1 => (id(), 0.1..1.0).prop_map(|(id, s)| Step::Share(id, s)),
        1 => (id(), 0u32..3, 0u32..5).prop_map(|(id, z, c)| Step::Move(id, z, c)),
        6 => (id(), 0.1..50.0).prop_map(|(id, w)| Step::Push(id, w)),
        3 => (0.0..3_000.0).prop_map(Step::Wait),
    ]
}

/// What the index must agree with: everything in one map, looked at whole each time.
struct Scan {
    subset: Subset,
    all: BTreeMap<u32, (Facts, f64, f64)>,
}

impl Scan {
    fn ready(&self) -> impl Iterator<Item = &(Facts, f64, f64)> {
        self.all.values().filter(|b| b.0.listing == Listing::Ready)
    }

    fn home(&self, facts: &Facts) -> bool {
        let mut own: Vec<f64> = self.ready().map(|b| self.subset.threshold(b.0.key)).collect();
        own.sort_by(f64::total_cmp);
        let least = own.iter().take(MIN_SUBSET_SIZE).next_back().map_or(0.0, |t| t.next_up());
        let degree = self.subset.degree(self.ready().count()).max(least);
        facts.listing == Listing::Ready && self.subset.threshold(facts.key) < degree
    }

    fn counts(&self, now: f64, of: impl Fn(&Facts) -> bool) -> Counts {
        let ready = || self.ready().filter(|b| of(&b.0));
        let draining = self.all.values().filter(|b| b.0.listing == Listing::Draining && of(&b.0)).count();
        let ejected = ready().filter(|b| b.0.ejected).count();
        let cold = ready().filter(|b| b.0.warm_from > now).count();
        Counts { ready: ready().count(), draining, ejected, cold }
    }

    fn faded(now: f64, b: &(Facts, f64, f64)) -> f64 {
        b.1 * (-(now - b.2) / WINDOW).exp()
    }

    fn warm_push(&self, now: f64) -> f64 {
        let warm = || self.ready().filter(|b| b.0.warm_from <= now && self.home(&b.0));
        let shares: f64 = warm().map(|b| b.0.share).sum();
        let sum: f64 = warm().map(|b| Scan::faded(now, b)).sum();
        if shares > 0.0 {
            sum / shares
        } else {
            0.0
        }
    }
}

fn agree(index: &Index<Record>, scan: &Scan, now: f64) -> Result<(), TestCaseError> {
    prop_assert_eq!(index.counts(From::Fleet), scan.counts(now, |_| true));
    let home = scan.counts(now, |f| scan.home(f));
    prop_assert_eq!(index.counts(From::Home), Counts { draining: 0, ..home });
    for key in 0..5 {
        prop_assert_eq!(index.counts(From::Zone(key)), scan.counts(now, |f| f.zone == key));
        prop_assert_eq!(index.counts(From::Cell(key)), scan.counts(now, |f| f.cell == key));
        prop_assert_eq!(index.kind(key), scan.counts(now, |f| f.kind == key));
    }
    let (sum, naive) = (index.warm_push(now), scan.warm_push(now));
    prop_assert!((sum - naive).abs() <= 1e-6 * (1.0 + naive), "push {} against {}", sum, naive);
    for (id, b) in &scan.all {
        let place = index.find(*id).expect("known");
        prop_assert_eq!(index.get(place).0, b.0);
        prop_assert_eq!(index.is_home(place), scan.home(&b.0));
        prop_assert!((index.pushed(place, now) - Scan::faded(now, b)).abs() < 1e-6);
    }
    prop_assert_eq!(index.places().count(), scan.all.len());
    Ok(())
}

fn drawn(index: &Index<Record>, from: From, ejected: bool, seed: u32) -> Vec<u32> {
    let (mut x, mut into) = (seed, Vec::new());
    let mut dice = || {
        x = x.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(x >> 8) / f64::from(1u32 << 24)
    };
    index.draw(from, ejected, &mut dice, &mut into);
    into.iter().map(|place| index.get(*place).0.id).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn every_sum_is_that_of_a_scan_after_each_event(
        steps in vec(step(), 1..200),
        (me, gateways, size) in (0u32..6, 6u32..9, 1u32..40),
        seed in any::<u32>(),
    ) {
        let subset = Subset::new(me, gateways, size, 2);
        let reach = Reach { whole: 12, choices: 5 };
        let (mut index, mut now) = (Index::new(subset, reach, WINDOW), 0.0);
        let mut scan = Scan { subset, all: BTreeMap::new() };
        for step in steps {
            match step {
                Step::Insert(facts) => if index.find(facts.id).is_none() {
                    index.insert(now, Record(facts));
                    scan.all.insert(facts.id, (facts, 0.0, now));
                },
                Step::Remove(id) => if let Some(place) = index.find(id) {
                    index.remove(now, place);
                    scan.all.remove(&id);
                    prop_assert_eq!(index.find(id), None);
                },
                Step::Wait(ms) => {
                    now += ms;
                    index.advance(now);
                }
                Step::Push(id, work) => if let Some(place) = index.find(id) {
                    index.push(place, now, work);
                    let b = scan.all.get_mut(&id).expect("known");
                    (b.1, b.2) = (Scan::faded(now, b) + work, now);
                },
                Step::Restart(id, ms) => if let Some(place) = index.find(id) {
                    let facts = Facts { warm_from: now + ms, ..index.get(place).0 };
                    index.renew(now, place, Record(facts));
                    scan.all.insert(id, (facts, 0.0, now));
                },
                Step::Listing(id, _) | Step::Eject(id, _) | Step::Cool(id, _) | Step::Share(id, _)
                | Step::Move(id, ..) => if let Some(place) = index.find(id) {
                    let change = |f: &mut Facts| match step {
                        Step::Listing(_, listing) => f.listing = listing,
                        Step::Eject(_, ejected) => f.ejected = ejected,
                        Step::Cool(_, ms) => f.warm_from = now + ms,
                        Step::Share(_, share) => f.share = share,
                        Step::Move(_, zone, cell) => (f.zone, f.cell) = (zone, cell),
                        _ => {}
                    };
                    index.update(now, place, |r| change(&mut r.0));
                    change(&mut scan.all.get_mut(&id).expect("known").0);
                },
            }
            agree(&index, &scan, now)?;
            for from in [From::Fleet, From::Home, From::Zone(1), From::Cell(2)] {
                for ejected in [false, true] {
                    let took = drawn(&index, from, ejected, seed);
                    let set: BTreeSet<u32> = took.iter().copied().collect();
                    prop_assert_eq!(set.len(), took.len(), "drawn twice");
                    let may = |f: &Facts| match from {
                        From::Fleet => true,
                        From::Home => scan.home(f),
                        From::Zone(zone) => f.zone == zone,
                        From::Cell(cell) => f.cell == cell,
                    };
                    let ready = scan.ready().filter(|b| may(&b.0) && (ejected || !b.0.ejected));
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

fn fleet(backends: u32, reach: Reach) -> Index<Record> {
    let mut index = Index::new(Subset::new(0, 1, 64, 1), reach, WINDOW);
    for id in 0..backends {
        let (listing, ejected, warm_from, share) = (Listing::Ready, false, 0.0, 1.0);
        index.insert(
            0.0,
            Record(Facts { id, key: 0, zone: 0, cell: 0, kind: 0, listing, ejected, warm_from, share }),
        );
    }
    index
}

#[test]
fn each_backend_is_drawn_as_often_as_any_other() {
    let index = fleet(100, Reach { whole: 16, choices: 4 });
    let mut got = vec![0u32; 100];
    for seed in 0..50_000u32 {
        let seed = seed.wrapping_mul(2_654_435_761);
        drawn(&index, From::Fleet, false, seed).into_iter().for_each(|id| got[id as usize] += 1);
    }
    // 2,000 each on the mean; a fifth is more than four deviations.
    assert!(got.iter().all(|n| (1_600..2_400).contains(n)), "{got:?}");
}

#[test]
fn a_backend_is_watched_once_at_the_earliest_time() {
    let mut index = fleet(3, Reach { whole: 16, choices: 4 });
    index.watch(0, 50.0);
    index.watch(1, 40.0);
    index.watch(0, 30.0);
    index.watch(2, 20.0);
    index.remove(10.0, 2);
    assert_eq!(index.due(29.0), None);
    assert_eq!(index.due(60.0), Some(0));
    assert_eq!(index.due(60.0), Some(1));
    assert_eq!(index.due(60.0), None);
}
