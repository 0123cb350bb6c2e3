//! Leases of fleets of 3 to 300 members in simulated time: the sum of the allocations under faults, and how
//! much of the bound is in use.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use membership::lease::{LeaseCoordinator, LeaseTerms, Member, MembershipView, Message, Output, SLOT_UNITS};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// True time between two samples of the sum, ms.
const SAMPLE_MS: u64 = 40;
/// Time after which a change of a member appears in the views of the others, ms.
const DETECTED_MS: u64 = 4_000;

/// A fault or a recovery.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The first members, this many thousandths of the fleet, crash. Their clients move to the others.
    Crash(u32),
    /// Crashed members restart.
    Start,
    /// The processes of the first members, this many thousandths of the fleet, are suspended.
    Suspend(u32),
    /// Suspended members resume.
    Resume,
    /// The first members, this many thousandths of the fleet, are partitioned from the others.
    Partition(u32),
    /// Like `Partition`, but the first members still receive messages from the others.
    OneWayPartition(u32),
    /// All partitions end.
    Heal,
}

#[derive(Clone, Debug)]
struct Scenario {
    members: u32,
    seed: u64,
    /// Fraction of the messages that are lost.
    loss_rate: f64,
    /// Fraction of the messages that are delivered twice.
    duplicate_rate: f64,
    /// Maximum delay of a message, ms.
    delay_ms: u64,
    /// Spread of the needs: 1 gives every member the same need, and larger values more uneven ones.
    need_spread: f64,
    /// Sum of all needs, as a multiple of the bound.
    load: f64,
    faults: Vec<(u64, Fault)>,
    duration_ms: u64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            members: 30,
            seed: 1,
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            delay_ms: 5,
            need_spread: 2.0,
            load: 1.0,
            faults: Vec::new(),
            duration_ms: 30_000,
        }
    }
}

struct Node {
    coordinator: Option<LeaseCoordinator>,
    incarnation: u64,
    suspended: bool,
    need: u64,
    /// The member's clock: its origin, and its rate in thousandths of true time.
    origin: u64,
    rate: u64,
    /// Whether the member is on the side of a partition that has the first members.
    first_side: bool,
    /// When the member's state or connectivity last changed, ms.
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
    Connected,
    Partition,
    OneWayPartition,
}

struct Simulation {
    scenario: Scenario,
    terms: LeaseTerms,
    now: u64,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: ChaCha8Rng,
    links: Links,
    /// For each sample its time, ms, and the units in use as a fraction of what could be used: by all live
    /// members, by the first side of a partition, and by all if the bound were divided into equal shares.
    utilization: Vec<(u64, f64, f64, f64)>,
    /// Factor on the needs of live members, to which the clients of crashed members have moved.
    need_factor: f64,
    max_sum: u64,
    messages: u64,
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        println!("seed {}", scenario.seed);
        let terms = LeaseTerms {
            members: scenario.members,
            lease_ms: 3_000,
            max_drift_per_mille: 10,
            trust_refusals: true,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mean = SLOT_UNITS as f64 * scenario.load;
        // A distribution with many small and few large needs.
        let mut needs: Vec<f64> = (0..scenario.members)
            .map(|_| 1.0 + (scenario.need_spread - 1.0) * rng.random::<f64>().powi(2) * 3.0)
            .collect();
        let sum: f64 = needs.iter().sum();
        for need in &mut needs {
            *need *= mean * f64::from(scenario.members) / sum;
        }
        let nodes = needs.into_iter().map(|need| Node {
            coordinator: None,
            incarnation: 0,
            suspended: false,
            need: need as u64,
            origin: rng.random_range(0..1 << 40),
            rate: rng.random_range(991..=1_009),
            first_side: false,
            changed_ms: 0,
        });
        let nodes = nodes.collect();
        let (queue, utilization) = (BinaryHeap::new(), Vec::new());
        let mut simulation = Simulation {
            scenario,
            terms,
            now: 0,
            nodes,
            queue,
            sequence: 0,
            rng,
            links: Links::Connected,
            utilization,
            need_factor: 1.0,
            max_sum: 0,
            messages: 0,
        };
        (0..simulation.scenario.members).for_each(|i| simulation.start(i));
        simulation.schedule(SAMPLE_MS, Event::Sample);
        for i in 0..simulation.scenario.faults.len() {
            simulation.schedule(simulation.scenario.faults[i].0, Event::Fault(i));
        }
        simulation
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn clock(&self, i: u32) -> u64 {
        let node = &self.nodes[i as usize];
        node.origin + self.now * node.rate / 1_000
    }

    fn start(&mut self, i: u32) {
        let (clock, seed) = (self.clock(i), self.rng.random());
        let node = &mut self.nodes[i as usize];
        (node.incarnation, node.suspended) = (node.incarnation + 1, false);
        node.coordinator = Some(LeaseCoordinator::new(
            self.terms,
            Member { number: i, incarnation: node.incarnation },
            clock,
            seed,
        ));
        let incarnation = node.incarnation;
        self.schedule(0, Event::Tick(i, incarnation));
    }

    fn first_members(&self, thousandths: u32) -> std::ops::Range<u32> {
        0..self.scenario.members * thousandths / 1_000
    }

    fn fault(&mut self, fault: Fault) {
        self.apply_fault(fault);
        // Clients of crashed members move to the others.
        let needs: f64 = self.nodes.iter().map(|node| node.need as f64).sum();
        let up: f64 = self.nodes.iter().filter(|n| n.coordinator.is_some()).map(|n| n.need as f64).sum();
        self.need_factor = if up > 0.0 { needs / up } else { 1.0 };
    }

    fn apply_fault(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Crash(part) => {
                for i in self.first_members(part) {
                    (self.nodes[i as usize].coordinator, self.nodes[i as usize].changed_ms) = (None, now);
                }
            }
            Fault::Start => {
                let gone: Vec<u32> = (0..self.scenario.members)
                    .filter(|i| self.nodes[*i as usize].coordinator.is_none())
                    .collect();
                for i in gone.into_iter() {
                    self.nodes[i as usize].changed_ms = now;
                    self.start(i);
                }
            }
            Fault::Suspend(part) => self.first_members(part).for_each(|i| {
                let node = &mut self.nodes[i as usize];
                (node.suspended, node.changed_ms) = (true, now);
            }),
            Fault::Resume => {
                let suspended: Vec<u32> =
                    (0..self.scenario.members).filter(|i| self.nodes[*i as usize].suspended).collect();
                for i in suspended {
                    (self.nodes[i as usize].suspended, self.nodes[i as usize].changed_ms) = (false, now);
                    let incarnation = self.nodes[i as usize].incarnation;
                    self.schedule(0, Event::Tick(i, incarnation));
                }
            }
            Fault::Partition(part) | Fault::OneWayPartition(part) => {
                self.first_members(part).for_each(|i| self.nodes[i as usize].first_side = true);
                self.links = if matches!(fault, Fault::Partition(_)) {
                    Links::Partition
                } else {
                    Links::OneWayPartition
                };
                self.nodes.iter_mut().for_each(|node| node.changed_ms = now);
            }
            Fault::Heal => {
                self.links = Links::Connected;
                self.nodes.iter_mut().for_each(|node| (node.first_side, node.changed_ms) = (false, now));
            }
        }
    }

    /// Whether the network delivers a message from one member to another.
    fn delivers(&self, from: u32, to: u32) -> bool {
        let (from, to) = (self.nodes[from as usize].first_side, self.nodes[to as usize].first_side);
        from == to || self.links == Links::Connected || self.links == Links::OneWayPartition && to
    }

    fn view(&self, by: u32) -> MembershipView {
        let mut view = MembershipView::default();
        for other in (0..self.scenario.members).filter(|other| *other != by) {
            let node = &self.nodes[other as usize];
            let reachable = node.coordinator.is_some() && !node.suspended && self.delivers(other, by);
            // A recent change is not detected yet.
            let is_detected = self.now - node.changed_ms >= DETECTED_MS;
            if reachable == is_detected || !is_detected && self.now < DETECTED_MS {
                view.alive.push(other);
            } else if is_detected {
                view.gone.push(other);
            }
        }
        view
    }

    fn send_all(&mut self, from: Member, outputs: Vec<Output>) {
        for output in outputs {
            let delay = |rng: &mut ChaCha8Rng, max_ms: u64| 1 + rng.random_range(0..=max_ms);
            match output {
                Output::Send { to, incarnation, message } => {
                    self.messages += 1;
                    let times = 1 + u64::from(self.rng.random::<f64>() < self.scenario.duplicate_rate);
                    for _ in 0..times {
                        if self.rng.random::<f64>() >= self.scenario.loss_rate {
                            let after = delay(&mut self.rng, self.scenario.delay_ms);
                            self.schedule(after, Event::Deliver { from, to, incarnation, message });
                        }
                    }
                }
                Output::Probe(owner) => {
                    // The connection is refused if the process has ended and its machine is reachable.
                    let refused = self.nodes[owner.number as usize].coordinator.is_none();
                    if refused
                        && self.delivers(from.number, owner.number)
                        && self.delivers(owner.number, from.number)
                    {
                        let after = delay(&mut self.rng, self.scenario.delay_ms);
                        self.schedule(
                            after,
                            Event::Probed { by: from.number, by_incarnation: from.incarnation, owner },
                        );
                    }
                }
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(i, incarnation) => {
                if self.nodes[i as usize].incarnation != incarnation || self.nodes[i as usize].suspended {
                    return;
                }
                let (clock, view) = (self.clock(i), self.view(i));
                let node = &mut self.nodes[i as usize];
                let Some(coordinator) = &mut node.coordinator else { return };
                let outputs = coordinator.tick(clock, (node.need as f64 * self.need_factor) as u64, &view);
                let after = coordinator.next_tick_ms().saturating_sub(clock).max(1);
                self.send_all(Member { number: i, incarnation }, outputs);
                self.schedule(after, Event::Tick(i, incarnation));
            }
            Event::Deliver { from, to, incarnation, message } => {
                if !self.delivers(from.number, to) {
                    return;
                }
                // A suspended member reads its messages when it resumes.
                if self.nodes[to as usize].suspended {
                    return self.schedule(50, event);
                }
                let clock = self.clock(to);
                let node = &mut self.nodes[to as usize];
                let Some(coordinator) = &mut node.coordinator else { return };
                if incarnation.is_some_and(|incarnation| incarnation != node.incarnation) {
                    return;
                }
                let outputs = coordinator.handle_message(clock, from, message);
                let member = Member { number: to, incarnation: node.incarnation };
                self.send_all(member, outputs);
            }
            Event::Probed { by, by_incarnation, owner } => {
                let clock = self.clock(by);
                let node = &mut self.nodes[by as usize];
                if let Some(coordinator) = node
                    .coordinator
                    .as_mut()
                    .filter(|_| node.incarnation == by_incarnation && !node.suspended)
                {
                    coordinator.connection_refused(clock, owner);
                }
            }
            Event::Sample => {
                self.sample();
                self.schedule(SAMPLE_MS, Event::Sample);
            }
            Event::Fault(i) => self.fault(self.scenario.faults[i].1),
        }
    }

    fn sample(&mut self) {
        let bound = u64::from(self.scenario.members) * SLOT_UNITS;
        let needs: f64 = self.nodes.iter().map(|node| node.need as f64).sum();
        let (mut sum, mut used, mut equal_shares) = (0, [0.0, 0.0], [0.0, 0.0]);
        for i in 0..self.scenario.members {
            let clock = self.clock(i);
            let node = &self.nodes[i as usize];
            let Some(coordinator) = &node.coordinator else { continue };
            // A suspended member uses no units, and checks its clock when it resumes.
            let allocation = coordinator.allocation(clock).units;
            sum += allocation;
            let need = node.need as f64 * self.need_factor;
            used[usize::from(node.first_side)] += need.min(allocation as f64);
            equal_shares[usize::from(node.first_side)] += need.min(SLOT_UNITS as f64);
        }
        self.max_sum = self.max_sum.max(sum);
        assert!(sum <= bound, "{sum} of {bound} at {} ms, seed {}", self.now, self.scenario.seed);
        let first_side: f64 = self.nodes.iter().filter(|n| n.first_side).map(|n| n.need as f64).sum();
        let ideal = needs.min(bound as f64);
        let of_first_side = if first_side > 0.0 { used[1] / (first_side * ideal / needs) } else { 1.0 };
        self.utilization.push((
            self.now,
            (used[0] + used[1]) / ideal,
            of_first_side,
            (equal_shares[0] + equal_shares[1]) / ideal,
        ));
    }

    fn run(mut self) -> Simulation {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > self.scenario.duration_ms {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        self
    }

    /// Returns the means of the utilization over a time span: of all members, of the first side of a
    /// partition, and with equal shares.
    fn mean(&self, from_ms: u64, to_ms: u64) -> (f64, f64, f64) {
        let samples: Vec<_> = self.utilization.iter().filter(|s| (from_ms..to_ms).contains(&s.0)).collect();
        let mean = |of: fn(&(u64, f64, f64, f64)) -> f64| {
            samples.iter().map(|s| of(s)).sum::<f64>() / samples.len() as f64
        };
        (mean(|s| s.1), mean(|s| s.2), mean(|s| s.3))
    }
}

#[test]
fn most_of_the_bound_is_used_despite_faults() {
    for (members, seed) in [(30, 1), (30, 2), (300, 3)] {
        let scenario = Scenario { members, seed, ..Scenario::default() };
        let healthy = Simulation::new(scenario.clone()).run();
        let (all, _, equal_shares) = healthy.mean(15_000, 30_000);
        let per_s = healthy.messages as f64 / 30.0 / f64::from(members);
        println!(
            "{members} healthy: {all:.3}, equal shares {equal_shares:.3}, {per_s:.1} messages per second each"
        );
        assert!(all >= 0.95 && equal_shares < 0.9 && per_s < 25.0);
        let third_down = Simulation::new(Scenario {
            faults: vec![(10_000, Fault::Crash(333))],
            duration_ms: 45_000,
            ..scenario.clone()
        })
        .run();
        let (third, _, equal_shares) = third_down.mean(25_000, 45_000);
        println!("{members} a third down: {third:.3}, equal shares {equal_shares:.3}");
        assert!(third >= 0.85 && equal_shares < 0.7);
        let partitioned = Simulation::new(Scenario {
            faults: vec![(10_000, Fault::Partition(400)), (40_000, Fault::Heal)],
            duration_ms: 60_000,
            ..scenario
        })
        .run();
        let (both, first_side, _) = partitioned.mean(20_000, 40_000);
        let (healed, ..) = partitioned.mean(50_000, 60_000);
        println!("{members} partitioned: {both:.3}, the smaller side {first_side:.3}, healed {healed:.3}");
        assert!(first_side >= 0.7 && healed >= 0.95);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, failure_persistence: None, ..ProptestConfig::default() })]

    /// The sum of the allocations stays within the bound for any faults, losses and delays.
    #[test]
    fn allocations_stay_within_the_bound_under_any_faults(
        seed in any::<u64>(),
        members in 3u32..24,
        loss_rate in 0.0..0.4f64,
        duplicate_rate in 0.0..0.3f64,
        delay_ms in prop_oneof![Just(2u64), Just(200), Just(2_500), Just(8_000)],
        kinds in prop::collection::vec((1_000u64..60_000, 0usize..7, 100u32..900), 0..10),
    ) {
        let fault = |kind, part| match kind {
            0 => Fault::Crash(part),
            1 => Fault::Start,
            2 => Fault::Suspend(part),
            3 => Fault::Resume,
            4 => Fault::Partition(part),
            5 => Fault::OneWayPartition(part),
            _ => Fault::Heal,
        };
        let faults = kinds.into_iter().map(|(at, kind, part)| (at, fault(kind, part))).collect();
        let (load, duration_ms) = (1.5, 60_000);
        let defaults = Scenario::default();
        let scenario = Scenario {
            members,
            seed,
            loss_rate,
            duplicate_rate,
            delay_ms,
            load,
            faults,
            duration_ms,
            ..defaults
        };
        let simulation = Simulation::new(scenario).run();
        prop_assert!(simulation.max_sum > 0 || loss_rate > 0.0 || delay_ms > 2_000);
    }
}
