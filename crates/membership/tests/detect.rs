//! Failure detection in simulated time: crashes, packet loss, partitions, suspended processes, and hundreds
//! of members that join at once.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use membership::detect::{Detector, MemberChange, Node, Packet};
use membership::wire::{decode, encode, FleetId, Payload};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Maximum delay of a packet, ms.
const MAX_DELAY_MS: u64 = 10;

fn address(number: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16))
}

/// An event: its time, a sequence number that makes it unique, the member, and the packet; none for a tick.
type QueuedEvent = Reverse<(u64, u64, u32, Option<Vec<u8>>)>;

struct Member {
    detector: Option<Detector>,
    incarnation: u64,
    suspended: bool,
    /// Side of the partition that the member is on.
    first_side: bool,
    /// Packets that arrived while the member was suspended.
    queued_packets: Vec<Vec<u8>>,
    bytes: u64,
    packets: u64,
}

struct Simulation {
    now: u64,
    members: Vec<Member>,
    queue: BinaryHeap<QueuedEvent>,
    sequence: u64,
    rng: ChaCha8Rng,
    loss_rate: f64,
    partitioned: bool,
    /// When each member last considered each other member gone, by observer and observed member.
    downs: BTreeMap<(u32, u32), u64>,
    /// How often a member that was alive was considered gone.
    false_downs: usize,
}

impl Simulation {
    fn new(members: u32, loss_rate: f64, seed: u64) -> Simulation {
        println!("seed {seed}");
        let member = |_| Member {
            detector: None,
            incarnation: 0,
            suspended: false,
            first_side: false,
            queued_packets: Vec::new(),
            bytes: 0,
            packets: 0,
        };
        let mut simulation = Simulation {
            now: 0,
            members: (0..members).map(member).collect(),
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_rate,
            partitioned: false,
            downs: BTreeMap::new(),
            false_downs: 0,
        };
        (0..members).for_each(|i| simulation.start(i));
        simulation
    }

    fn push(&mut self, at: u64, to: u32, packet: Option<Vec<u8>>) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, to, packet)));
    }

    fn start(&mut self, i: u32) {
        let (count, seed) = (self.members.len() as u32, self.rng.random());
        let member = &mut self.members[i as usize];
        member.incarnation += 1;
        let node =
            Node { number: i, address: address(i), zone: 0, incarnation: member.incarnation, rejoins: 0 };
        member.detector = Some(Detector::new(node, count, self.now, seed));
        self.push(self.now, i, None);
    }

    fn send_all(&mut self, from: u32, outputs: Vec<Packet>) {
        for Packet { to, payload, address: at } in outputs {
            assert_eq!(at, address(to));
            let bytes = encode(FleetId::from_name("f"), &payload).expect("payload fits");
            let member = &mut self.members[from as usize];
            (member.bytes, member.packets) = (member.bytes + bytes.len() as u64, member.packets + 1);
            let is_partitioned = self.partitioned
                && self.members[from as usize].first_side != self.members[to as usize].first_side;
            if !is_partitioned && self.rng.random::<f64>() >= self.loss_rate {
                let delay_ms = 1 + self.rng.random_range(0..MAX_DELAY_MS);
                self.push(self.now + delay_ms, to, Some(bytes));
            }
        }
    }

    /// Runs the simulation until `end`.
    fn run_until(&mut self, end: u64) {
        let addresses: Vec<SocketAddr> = (0..self.members.len() as u32).map(address).collect();
        while let Some(Reverse((at, _, i, packet))) = self.queue.pop() {
            if at > end {
                self.push(at, i, packet);
                break;
            }
            self.now = at;
            let member = &mut self.members[i as usize];
            if member.suspended {
                member.queued_packets.extend(packet);
                continue;
            }
            let Some(detector) = &mut member.detector else { continue };
            let is_tick = packet.is_none();
            let payload =
                packet.map(|packet| decode(FleetId::from_name("f"), &packet).expect("a valid datagram"));
            let mut outputs = match payload {
                Some(Payload::Gossip(packet)) => detector.handle_packet(at, &packet).unwrap_or_default(),
                Some(Payload::View { from, digest }) => detector.handle_digest(at, from, digest),
                Some(Payload::Lease { .. }) => unreachable!("no lease message is sent"),
                None if detector.is_alone() => detector.join(at, &addresses),
                None => Vec::new(),
            };
            outputs.extend(detector.tick(at));
            let next = detector.next_tick_ms().min(at + 500).max(at + 1);
            for change in detector.take_changes() {
                if let MemberChange::Down(node) = change {
                    let other = &self.members[node.number as usize];
                    let is_alive =
                        other.detector.is_some() && !other.suspended && other.incarnation == node.incarnation;
                    self.false_downs += usize::from(is_alive && !self.partitioned);
                    self.downs.insert((i, node.number), at);
                }
            }
            self.send_all(i, outputs);
            if is_tick {
                self.push(next, i, None);
            }
        }
        self.now = end;
    }

    fn detector(&self, i: u32) -> &Detector {
        self.members[i as usize].detector.as_ref().expect("the member is running")
    }

    /// Returns the number of different views of the live members.
    fn count_views(&self) -> usize {
        let all = self.members.iter().filter(|m| !m.suspended).filter_map(|m| m.detector.as_ref());
        all.map(Detector::digest).collect::<std::collections::BTreeSet<_>>().len()
    }

    /// Runs until all live members have the same view, for at most `limit_ms`. Returns the time that it took,
    /// ms.
    fn run_until_views_agree(&mut self, limit_ms: u64) -> u64 {
        let started_ms = self.now;
        while self.count_views() != 1 {
            assert!(self.now - started_ms < limit_ms, "{} views after {limit_ms} ms", self.count_views());
            self.run_until(self.now + 50);
        }
        self.now - started_ms
    }

    fn resume(&mut self, i: u32) {
        self.members[i as usize].suspended = false;
        for packet in std::mem::take(&mut self.members[i as usize].queued_packets) {
            self.push(self.now, i, Some(packet));
        }
        self.push(self.now, i, None);
    }
}

#[test]
fn hundreds_join_at_once_and_all_detect_a_crash() {
    for (members, seed) in [(10, 1), (100, 2), (300, 3)] {
        let mut simulation = Simulation::new(members, 0.0, seed);
        let joined = simulation.run_until_views_agree(10_000);
        assert_eq!(simulation.detector(0).view(simulation.now).alive.len(), members as usize - 1);
        simulation.run_until(simulation.now + 10_000);
        let started_ms = simulation.now;
        let (bytes, packets): (u64, u64) =
            simulation.members.iter().fold((0, 0), |(b, p), m| (b + m.bytes, p + m.packets));
        simulation.run_until(simulation.now + 10_000);
        let rate = |before: u64, of: fn(&Member) -> u64| {
            let now: u64 = simulation.members.iter().map(of).sum();
            (now - before) as f64 / 10.0 / f64::from(members)
        };
        let (bytes, packets) = (rate(bytes, |m| m.bytes), rate(packets, |m| m.packets));
        simulation.members[7].detector = None;
        let crashed = simulation.now;
        simulation.run_until(crashed + 12_000);
        let mut detected_ms: Vec<u64> =
            (0..members).filter(|i| *i != 7).map(|i| simulation.downs[&(i, 7)] - crashed).collect();
        detected_ms.sort_unstable();
        let (first, last) = (detected_ms[0], detected_ms[detected_ms.len() - 1]);
        let p99_ms = detected_ms[detected_ms.len() * 99 / 100];
        println!(
            "{members}: joined in {joined} ms; {bytes:.0} B, {packets:.1} packets per second each in steady \
             state; a crash detected by the first after {first}, by 99 of 100 after {p99_ms}, by all after \
             {last} ms"
        );
        assert!(started_ms > 0 && bytes < 2_000.0);
        assert!(p99_ms <= 6_500, "{p99_ms} ms");
        assert_eq!(simulation.count_views(), 1);
        assert_eq!(simulation.false_downs, 0);
    }
}

#[test]
fn packet_loss_causes_no_lasting_suspicion() {
    for (loss_rate, seed) in [(0.05, 4), (0.2, 5)] {
        let mut simulation = Simulation::new(60, loss_rate, seed);
        simulation.run_until_views_agree(20_000);
        simulation.run_until(simulation.now + 120_000);
        println!("loss {loss_rate}: {} false detections in 120 s among 60", simulation.false_downs);
        assert!(loss_rate > 0.1 || simulation.false_downs == 0, "{}", simulation.false_downs);
        simulation.run_until_views_agree(60_000);
    }
}

#[test]
fn views_recover_after_a_partition_and_a_suspension() {
    let mut simulation = Simulation::new(60, 0.01, 6);
    simulation.run_until_views_agree(10_000);
    (0..20).for_each(|i| simulation.members[i as usize].first_side = true);
    simulation.partitioned = true;
    simulation.run_until(simulation.now + 30_000);
    assert_eq!(simulation.detector(0).view(simulation.now).alive.len(), 19);
    assert_eq!(simulation.detector(30).view(simulation.now).alive.len(), 39);
    simulation.partitioned = false;
    let agreed_after_ms = simulation.run_until_views_agree(90_000);
    println!("views agree {agreed_after_ms} ms after a partition of a third");
    // A member that is suspended for 30 s is considered gone and rejoins by itself.
    simulation.members[3].suspended = true;
    simulation.run_until(simulation.now + 30_000);
    assert!(simulation.detector(30).view(simulation.now).gone.contains(&3));
    simulation.resume(3);
    let rejoined_after_ms = simulation.run_until_views_agree(60_000);
    println!("a member that was suspended for 30 s has rejoined after {rejoined_after_ms} ms");
    assert!(simulation.detector(3).local_health() > 0, "late timers did not worsen its local health");
}

#[test]
fn detects_restarted_and_leaving_members() {
    let mut simulation = Simulation::new(30, 0.0, 8);
    simulation.run_until_views_agree(10_000);
    simulation.members[5].detector = None;
    simulation.start(5);
    simulation.run_until(simulation.now + 5_000);
    simulation.run_until_views_agree(10_000);
    assert!((0..30)
        .filter(|i| *i != 5)
        .all(|i| simulation.detector(i).alive_nodes().any(|n| n.number == 5 && n.incarnation == 2)));
    let left = simulation.now;
    let outputs = simulation.members[9].detector.as_mut().expect("the member is running").leave(left);
    simulation.send_all(9, outputs);
    simulation.members[9].detector = None;
    simulation.run_until(left + 4_000);
    let knows = |i: &u32| simulation.detector(*i).view(simulation.now).gone.contains(&9);
    assert!((0..30).filter(|i| *i != 9).all(|i| knows(&i)), "a member did not learn that 9 left");
}

#[test]
fn member_never_heard_from_is_gone_after_timeout() {
    let node = Node { number: 1, address: address(1), zone: 0, incarnation: 1, rejoins: 0 };
    let detector = Detector::new(node, 3, 1_000, 1);
    assert_eq!(detector.view(1_500).gone, []);
    assert_eq!(detector.view(11_000).gone, [0, 2]);
}

/// A member that was suspended must not consider all others gone when it resumes.
#[test]
fn late_timers_worsen_local_health_until_it_recovers() {
    let mut simulation = Simulation::new(3, 0.0, 9);
    simulation.run_until_views_agree(10_000);
    assert_eq!(simulation.detector(1).local_health(), 0);
    simulation.members[1].suspended = true;
    simulation.run_until(simulation.now + 1_500);
    simulation.resume(1);
    simulation.run_until(simulation.now + 50);
    assert!(simulation.detector(1).local_health() > 0);
    simulation.run_until(simulation.now + 30_000);
    assert_eq!((simulation.detector(1).local_health(), simulation.false_downs), (0, 0));
}

#[test]
#[ignore = "a measurement: DETECT_SEEDS crashes of 300, and an hour at a loss of 0.05"]
fn measure() {
    let seeds: u64 = std::env::var("DETECT_SEEDS").map_or(10, |s| s.parse().expect("a number"));
    let (mut firsts, mut all) = (Vec::new(), Vec::new());
    let mut simulation = Simulation::new(300, 0.0, 11);
    simulation.run_until_views_agree(20_000);
    for i in 0..seeds {
        let moment = simulation.now + 1_000 + simulation.rng.random_range(0..1_000);
        simulation.run_until(moment);
        let victim = (i * 7 % 300) as u32;
        simulation.members[victim as usize].detector = None;
        let crashed = simulation.now;
        simulation.run_until(crashed + 15_000);
        let detected_ms: Vec<u64> = (0..300)
            .filter(|j| simulation.members[*j as usize].detector.is_some())
            .filter_map(|j| simulation.downs.get(&(j, victim)).filter(|at| **at >= crashed))
            .map(|at| at - crashed)
            .collect();
        firsts.push(*detected_ms.iter().min().expect("some member detected the crash"));
        all.extend(detected_ms);
        simulation.start(victim);
        simulation.run_until(simulation.now + 5_000);
    }
    firsts.sort_unstable();
    all.sort_unstable();
    let at = |v: &[u64], p: usize| v[(v.len() - 1) * p / 100];
    println!(
        "first detected after {} (median), {} (99 of 100); by each {} (median), {} (99 of 100), {} (last)",
        at(&firsts, 50),
        at(&firsts, 99),
        at(&all, 50),
        at(&all, 99),
        at(&all, 100)
    );
    let mut simulation = Simulation::new(300, 0.05, 12);
    simulation.run_until_views_agree(60_000);
    let (b, p) = simulation.members.iter().fold((0, 0), |(b, p), m| (b + m.bytes, p + m.packets));
    let duration_s: u64 = std::env::var("DETECT_S").map_or(600, |s| s.parse().expect("a number"));
    simulation.run_until(simulation.now + duration_s * 1_000);
    let (b2, p2) = simulation.members.iter().fold((0, 0), |(b, p), m| (b + m.bytes, p + m.packets));
    println!(
        "{} false detections in {duration_s} s among 300 at a loss of 0.05; {} B, {:.1} packets per \
         second each",
        simulation.false_downs,
        (b2 - b) / duration_s / 300,
        (p2 - p) as f64 / duration_s as f64 / 300.0
    );
}
