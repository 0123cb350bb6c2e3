//! Fleets of 3 to 300 members in simulated time: the sum of their allocations under faults, and how much of
//! the bound is in use.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use membership::lease::{LeaseCoordinator, LeaseTerms, Member, MembershipView, Message, Output, SLOT_UNITS};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// True time between two samples of the sum, ms.
const SAMPLE_MS: u64 = 40;
/// Time after which a change of a member is in the views of the others, ms.
const DETECTED_MS: u64 = 4_000;

/// A fault or a recovery.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The first members, as many thousandths of the fleet, crash; their clients move to the others.
    Crash(u32),
    /// Crashed members restart.
    Start,
    /// The first members, as many thousandths of the fleet, are stopped.
    Stop(u32),
    /// Stopped members go on.
    GoOn,
    /// The first members, as many thousandths of the fleet, are partitioned from the others.
    Partition(u32),
    /// The same, but they still receive from the others.
    OneWayPartition(u32),
    /// All partitions end.
    Heal,
}

#[derive(Clone, Debug)]
struct Shape {
    members: u32,
    seed: u64,
    /// The part of the messages that is lost, and that is delivered twice.
    lost: f64,
    twice: f64,
    /// The longest delay of a message, ms.
    delay_ms: u64,
    /// Needs are drawn from 0 to so many times the mean.
    uneven: f64,
    /// Sum of all needs, as a multiple of the bound.
    load: f64,
    faults: Vec<(u64, Fault)>,
    duration_ms: u64,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            members: 30,
            seed: 1,
            lost: 0.0,
            twice: 0.0,
            delay_ms: 5,
            uneven: 2.0,
            load: 1.0,
            faults: Vec::new(),
            duration_ms: 30_000,
        }
    }
}

struct Node {
    coordinator: Option<LeaseCoordinator>,
    incarnation: u64,
    stopped: bool,
    need: u64,
    /// Its clock: an origin, and thousandths of true time.
    origin: u64,
    rate: u64,
    /// Which side of a partition it is on, and when anything of it changed.
    side: bool,
    changed_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(u32, u64),
    Deliver { from: Member, to: u32, incarnation: Option<u64>, message: Message },
    Probed { by: u32, by_incarnation: u64, owner: Member },
    Sample,
    Fault(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Links {
    Whole,
    Partition,
    OneWayPartition,
}

struct World {
    shape: Shape,
    terms: LeaseTerms,
    now: u64,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    rng: ChaCha8Rng,
    links: Links,
    /// The part of what they could have that is in use at each sample: of all that are up, of the side that
    /// is cut off; and the same by even parts.
    served: Vec<(u64, f64, f64, f64)>,
    /// Factor of the needs of live members, as the others are gone.
    more: f64,
    most: u64,
    messages: u64,
}

impl World {
    fn new(shape: Shape) -> World {
        println!("seed {}", shape.seed);
        let terms = LeaseTerms {
            members: shape.members,
            lease_ms: 3_000,
            max_drift_per_mille: 10,
            trust_refusals: true,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(shape.seed);
        let mean = SLOT_UNITS as f64 * shape.load;
        // A law with many small and few large ones, of the given width.
        let mut needs: Vec<f64> = (0..shape.members)
            .map(|_| 1.0 + (shape.uneven - 1.0) * rng.random::<f64>().powi(2) * 3.0)
            .collect();
        let sum: f64 = needs.iter().sum();
        for need in &mut needs {
            *need *= mean * f64::from(shape.members) / sum;
        }
        let nodes = needs.into_iter().map(|need| Node {
            coordinator: None,
            incarnation: 0,
            stopped: false,
            need: need as u64,
            origin: rng.random_range(0..1 << 40),
            rate: rng.random_range(991..=1_009),
            side: false,
            changed_ms: 0,
        });
        let nodes = nodes.collect();
        let (queue, served) = (BinaryHeap::new(), Vec::new());
        let mut world = World {
            shape,
            terms,
            now: 0,
            nodes,
            queue,
            number: 0,
            rng,
            links: Links::Whole,
            served,
            more: 1.0,
            most: 0,
            messages: 0,
        };
        (0..world.shape.members).for_each(|i| world.start(i));
        world.at(SAMPLE_MS, Event::Sample);
        for i in 0..world.shape.faults.len() {
            world.at(world.shape.faults[i].0, Event::Fault(i));
        }
        world
    }

    fn at(&mut self, after: u64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse((self.now + after, self.number, event)));
    }

    fn clock(&self, i: u32) -> u64 {
        let node = &self.nodes[i as usize];
        node.origin + self.now * node.rate / 1_000
    }

    fn start(&mut self, i: u32) {
        let (clock, seed) = (self.clock(i), self.rng.random());
        let node = &mut self.nodes[i as usize];
        (node.incarnation, node.stopped) = (node.incarnation + 1, false);
        node.coordinator = Some(LeaseCoordinator::new(
            self.terms,
            Member { number: i, incarnation: node.incarnation },
            clock,
            seed,
        ));
        let incarnation = node.incarnation;
        self.at(0, Event::Tick(i, incarnation));
    }

    fn first(&self, thousandths: u32) -> std::ops::Range<u32> {
        0..self.shape.members * thousandths / 1_000
    }

    fn fault(&mut self, fault: Fault) {
        self.apply_fault(fault);
        // Clients of crashed members move to the others.
        let needs: f64 = self.nodes.iter().map(|node| node.need as f64).sum();
        let up: f64 = self.nodes.iter().filter(|n| n.coordinator.is_some()).map(|n| n.need as f64).sum();
        self.more = if up > 0.0 { needs / up } else { 1.0 };
    }

    fn apply_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Crash(part) => {
                for i in self.first(part) {
                    (self.nodes[i as usize].coordinator, self.nodes[i as usize].changed_ms) = (None, now);
                }
            }
            Fault::Start => {
                let gone: Vec<u32> = (0..self.shape.members)
                    .filter(|i| self.nodes[*i as usize].coordinator.is_none())
                    .collect();
                for i in gone.into_iter() {
                    self.nodes[i as usize].changed_ms = now;
                    self.start(i);
                }
            }
            Fault::Stop(part) => self.first(part).for_each(|i| {
                let node = &mut self.nodes[i as usize];
                (node.stopped, node.changed_ms) = (true, now);
            }),
            Fault::GoOn => {
                let stopped: Vec<u32> =
                    (0..self.shape.members).filter(|i| self.nodes[*i as usize].stopped).collect();
                for i in stopped {
                    (self.nodes[i as usize].stopped, self.nodes[i as usize].changed_ms) = (false, now);
                    let incarnation = self.nodes[i as usize].incarnation;
                    self.at(0, Event::Tick(i, incarnation));
                }
            }
            Fault::Partition(part) | Fault::OneWayPartition(part) => {
                self.first(part).for_each(|i| self.nodes[i as usize].side = true);
                self.links = if matches!(fault, Fault::Partition(_)) {
                    Links::Partition
                } else {
                    Links::OneWayPartition
                };
                self.nodes.iter_mut().for_each(|node| node.changed_ms = now);
            }
            Fault::Heal => {
                self.links = Links::Whole;
                self.nodes.iter_mut().for_each(|node| (node.side, node.changed_ms) = (false, now));
            }
        }
    }

    /// Whether a message from one member reaches another.
    fn passes(&self, from: u32, to: u32) -> bool {
        let (from, to) = (self.nodes[from as usize].side, self.nodes[to as usize].side);
        from == to || self.links == Links::Whole || self.links == Links::OneWayPartition && to
    }

    fn view(&self, by: u32) -> MembershipView {
        let mut view = MembershipView::default();
        for other in (0..self.shape.members).filter(|other| *other != by) {
            let node = &self.nodes[other as usize];
            let there = node.coordinator.is_some() && !node.stopped && self.passes(other, by);
            // A recent change is not known yet.
            let known = self.now - node.changed_ms >= DETECTED_MS;
            if there == known || !known && self.now < DETECTED_MS {
                view.alive.push(other);
            } else if known {
                view.gone.push(other);
            }
        }
        view
    }

    fn send_all(&mut self, from: Member, out: Vec<Output>) {
        for out in out {
            let way = |rng: &mut ChaCha8Rng, most: u64| 1 + rng.random_range(0..=most);
            match out {
                Output::Send { to, incarnation, message } => {
                    self.messages += 1;
                    let times = 1 + u64::from(self.rng.random::<f64>() < self.shape.twice);
                    for _ in 0..times {
                        if self.rng.random::<f64>() >= self.shape.lost {
                            let after = way(&mut self.rng, self.shape.delay_ms);
                            self.at(after, Event::Deliver { from, to, incarnation, message });
                        }
                    }
                }
                Output::Probe(owner) => {
                    // Refused if the process has ended and its machine responds.
                    let refused = self.nodes[owner.number as usize].coordinator.is_none();
                    if refused
                        && self.passes(from.number, owner.number)
                        && self.passes(owner.number, from.number)
                    {
                        let after = way(&mut self.rng, self.shape.delay_ms);
                        self.at(
                            after,
                            Event::Probed { by: from.number, by_incarnation: from.incarnation, owner },
                        );
                    }
                }
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(i, incarnation) => {
                if self.nodes[i as usize].incarnation != incarnation || self.nodes[i as usize].stopped {
                    return;
                }
                let (clock, view) = (self.clock(i), self.view(i));
                let node = &mut self.nodes[i as usize];
                let Some(coordinator) = &mut node.coordinator else { return };
                let out = coordinator.tick(clock, (node.need as f64 * self.more) as u64, &view);
                let after = coordinator.next_tick_ms().saturating_sub(clock).max(1);
                self.send_all(Member { number: i, incarnation }, out);
                self.at(after, Event::Tick(i, incarnation));
            }
            Event::Deliver { from, to, incarnation, message } => {
                if !self.passes(from.number, to) {
                    return;
                }
                // Messages to a stopped member are read when it goes on.
                if self.nodes[to as usize].stopped {
                    return self.at(50, event);
                }
                let clock = self.clock(to);
                let node = &mut self.nodes[to as usize];
                let Some(coordinator) = &mut node.coordinator else { return };
                if incarnation.is_some_and(|incarnation| incarnation != node.incarnation) {
                    return;
                }
                let out = coordinator.handle_message(clock, from, message);
                let member = Member { number: to, incarnation: node.incarnation };
                self.send_all(member, out);
            }
            Event::Probed { by, by_incarnation, owner } => {
                let clock = self.clock(by);
                let node = &mut self.nodes[by as usize];
                if let Some(coordinator) =
                    node.coordinator.as_mut().filter(|_| node.incarnation == by_incarnation && !node.stopped)
                {
                    coordinator.connection_refused(clock, owner);
                }
            }
            Event::Sample => {
                self.sample();
                self.at(SAMPLE_MS, Event::Sample);
            }
            Event::Fault(i) => self.fault(self.shape.faults[i].1),
        }
    }

    fn sample(&mut self) {
        let bound = u64::from(self.shape.members) * SLOT_UNITS;
        let needs: f64 = self.nodes.iter().map(|node| node.need as f64).sum();
        let (mut sum, mut used, mut even) = (0, [0.0, 0.0], [0.0, 0.0]);
        for i in 0..self.shape.members {
            let clock = self.clock(i);
            let node = &self.nodes[i as usize];
            let Some(coordinator) = &node.coordinator else { continue };
            // A stopped member looks at its clock when it goes on, and uses nothing before.
            let part = coordinator.allocation(clock).units;
            sum += part;
            let need = node.need as f64 * self.more;
            used[usize::from(node.side)] += need.min(part as f64);
            even[usize::from(node.side)] += need.min(SLOT_UNITS as f64);
        }
        self.most = self.most.max(sum);
        assert!(sum <= bound, "{sum} of {bound} at {} ms, seed {}", self.now, self.shape.seed);
        let side: f64 = self.nodes.iter().filter(|n| n.side).map(|n| n.need as f64).sum();
        let ideal = needs.min(bound as f64);
        let of_side = if side > 0.0 { used[1] / (side * ideal / needs) } else { 1.0 };
        self.served.push((self.now, (used[0] + used[1]) / ideal, of_side, (even[0] + even[1]) / ideal));
    }

    fn run(mut self) -> World {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > self.shape.duration_ms {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        self
    }

    /// Means over a span of time: of all, of the partitioned side, with even shares.
    fn mean(&self, from_ms: u64, to_ms: u64) -> (f64, f64, f64) {
        let stretch: Vec<_> = self.served.iter().filter(|s| (from_ms..to_ms).contains(&s.0)).collect();
        let mean = |of: fn(&(u64, f64, f64, f64)) -> f64| {
            stretch.iter().map(|s| of(s)).sum::<f64>() / stretch.len() as f64
        };
        (mean(|s| s.1), mean(|s| s.2), mean(|s| s.3))
    }
}

#[test]
fn uses_stated_parts_of_the_bound_when_whole_a_third_down_or_partitioned() {
    for (members, seed) in [(30, 1), (30, 2), (300, 3)] {
        let shape = Shape { members, seed, ..Shape::default() };
        let whole = World::new(shape.clone()).run();
        let (all, _, even) = whole.mean(15_000, 30_000);
        let per_s = whole.messages as f64 / 30.0 / f64::from(members);
        println!("{members} whole: {all:.3}, even parts {even:.3}, {per_s:.1} messages a second each");
        assert!(all >= 0.95 && even < 0.9 && per_s < 25.0);
        let down = World::new(Shape {
            faults: vec![(10_000, Fault::Crash(333))],
            duration_ms: 45_000,
            ..shape.clone()
        })
        .run();
        let (third, _, even) = down.mean(25_000, 45_000);
        println!("{members} a third down: {third:.3}, even parts {even:.3}");
        assert!(third >= 0.85 && even < 0.7);
        let cut = World::new(Shape {
            faults: vec![(10_000, Fault::Partition(400)), (40_000, Fault::Heal)],
            duration_ms: 60_000,
            ..shape
        })
        .run();
        let (both, side, _) = cut.mean(20_000, 40_000);
        let (healed, ..) = cut.mean(50_000, 60_000);
        println!("{members} cut: {both:.3}, the smaller half {side:.3}, healed {healed:.3}");
        assert!(side >= 0.7 && healed >= 0.95);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    /// The sum stays within the bound.
    #[test]
    fn never_exceeds_the_bound_under_any_faults(
        seed in any::<u64>(),
        members in 3u32..24,
        lost in 0.0..0.4f64,
        twice in 0.0..0.3f64,
        delay_ms in prop_oneof![Just(2u64), Just(200), Just(2_500), Just(8_000)],
        kinds in prop::collection::vec((1_000u64..60_000, 0usize..7, 100u32..900), 0..10),
    ) {
        let fault = |kind, part| match kind {
            0 => Fault::Crash(part),
            1 => Fault::Start,
            2 => Fault::Stop(part),
            3 => Fault::GoOn,
            4 => Fault::Partition(part),
            5 => Fault::OneWayPartition(part),
            _ => Fault::Heal,
        };
        let faults = kinds.into_iter().map(|(at, kind, part)| (at, fault(kind, part))).collect();
        let (load, duration_ms) = (1.5, 60_000);
        let plain = Shape::default();
        let shape = Shape { members, seed, lost, twice, delay_ms, load, faults, duration_ms, ..plain };
        let world = World::new(shape).run();
        prop_assert!(world.most > 0 || lost > 0.0 || delay_ms > 2_000);
    }
}
