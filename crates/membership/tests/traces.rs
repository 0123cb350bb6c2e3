//! Compares what members send, and when, for given seeds, with recorded traces. The order of events and of
//! random draws must not change.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use membership::detect::{Detector, MemberChange, Node, Packet};
use membership::lease::{LeaseCoordinator, LeaseTerms, Member, MembershipView, Message, Output, SLOT_UNITS};
use membership::wire::{decode, encode, FleetId, Payload};

const FLEET: &str = "trace";
/// Delay of a message, and step of the clock, ms.
const STEP_MS: u64 = 10;
/// More members than a slot has grantors, so that the grantors are drawn at random.
const MEMBERS: u32 = 12;

fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

/// Returns the length and a short digest of a payload's datagram.
fn summary(payload: &Payload) -> String {
    let bytes = encode(FleetId::from_name(FLEET), payload).expect("payload fits");
    format!("{} {}", bytes.len(), &blake3::hash(&bytes).to_hex()[..12])
}

fn member(number: u32) -> Member {
    Member { number, incarnation: 100 + u64::from(number) }
}

/// A lease message in transit.
struct Sent {
    to: u32,
    from: Member,
    incarnation: Option<u64>,
    message: Message,
}

/// Traces the leases of a fleet whose last two members crash at 8 s: what the others send, and what each may
/// use.
fn leases() -> String {
    let terms =
        LeaseTerms { members: MEMBERS, lease_ms: 3_000, max_drift_per_mille: 10, trust_refusals: true };
    let need = |i: u32| SLOT_UNITS * u64::from(2 + i * 5 % 7) / 4;
    let mut coordinators: Vec<Option<LeaseCoordinator>> =
        (0..MEMBERS).map(|i| Some(LeaseCoordinator::new(terms, member(i), 0, 7 + u64::from(i)))).collect();
    let mut in_transit: BTreeMap<u64, Vec<Sent>> = BTreeMap::new();
    let (mut trace, mut sent) = (String::new(), 0);
    for now in (0..20_000).step_by(STEP_MS as usize) {
        let crashed = now >= 8_000;
        if crashed {
            coordinators[MEMBERS as usize - 2..].fill_with(|| None);
        }
        let gone: Vec<u32> = if crashed { (MEMBERS - 2..MEMBERS).collect() } else { Vec::new() };
        let mut outputs = Vec::new();
        for Sent { to, from, incarnation, message } in in_transit.remove(&now).unwrap_or_default() {
            if let Some(coordinator) = &mut coordinators[to as usize] {
                if incarnation.is_none_or(|incarnation| incarnation == member(to).incarnation) {
                    outputs
                        .extend(coordinator.handle_message(now, from, message).into_iter().map(|o| (to, o)));
                }
            }
        }
        for i in 0..MEMBERS {
            let Some(coordinator) = &mut coordinators[i as usize] else { continue };
            let alive = (0..MEMBERS).filter(|n| *n != i && !gone.contains(n)).collect();
            let view = MembershipView { alive, gone: gone.clone() };
            outputs.extend(coordinator.tick(now, need(i), &view).into_iter().map(|o| (i, o)));
        }
        for (from, output) in outputs {
            match output {
                Output::Send { to, incarnation, message } => {
                    let payload = Payload::Lease { from: member(from), incarnation, message };
                    sent += 1;
                    if now < 1_500 || (8_000..9_500).contains(&now) || now >= 18_500 {
                        writeln!(trace, "{now} {from} -> {to} {}", summary(&payload))
                            .expect("writing to a string succeeds");
                    }
                    let from = member(from);
                    in_transit.entry(now + STEP_MS).or_default().push(Sent {
                        to,
                        from,
                        incarnation,
                        message,
                    });
                }
                Output::Probe(owner) => {
                    writeln!(trace, "{now} {from} probes {} {}", owner.number, owner.incarnation)
                        .expect("writing to a string succeeds");
                    if let Some(coordinator) = &mut coordinators[from as usize] {
                        coordinator.connection_refused(now, owner);
                    }
                }
            }
        }
        if now % 500 == 0 {
            for (i, coordinator) in coordinators.iter().enumerate() {
                let Some(coordinator) = coordinator else { continue };
                let allocation = coordinator.allocation(now);
                let numbers = (
                    allocation.units,
                    allocation.valid_until_ms,
                    allocation.units_after,
                    coordinator.slots_taken_over(now),
                    coordinator.next_tick_ms(),
                );
                writeln!(trace, "{now} {i} has {numbers:?}").expect("writing to a string succeeds");
            }
        }
    }
    writeln!(trace, "{sent} messages").expect("writing to a string succeeds");
    trace
}

fn address(number: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16))
}

/// Traces detectors that join each other. One of them leaves at 6 s, and one crashes at 7 s.
fn detectors() -> String {
    let count = 5;
    let addresses: Vec<SocketAddr> = (0..count).map(address).collect();
    let node = |number: u32| Node { number, address: address(number), zone: 0, incarnation: 100, rejoins: 0 };
    let mut detectors_by_number: Vec<Option<Detector>> =
        (0..count).map(|i| Some(Detector::new(node(i), count, 0, 40 + u64::from(i)))).collect();
    let mut in_transit: BTreeMap<u64, Vec<(u32, Vec<u8>)>> = BTreeMap::new();
    let mut trace = String::new();
    for now in (0..25_000).step_by(STEP_MS as usize) {
        let mut outputs: Vec<(u32, Packet)> = Vec::new();
        for (to, bytes) in in_transit.remove(&now).unwrap_or_default() {
            let Some(detector) = &mut detectors_by_number[to as usize] else { continue };
            let packets = match decode(FleetId::from_name(FLEET), &bytes).expect("a valid datagram") {
                Payload::Gossip(packet) => detector.handle_packet(now, &packet).unwrap_or_default(),
                Payload::View { from, digest } => detector.handle_digest(now, from, digest),
                Payload::Lease { .. } => Vec::new(),
            };
            outputs.extend(packets.into_iter().map(|packet| (to, packet)));
        }
        for i in 0..count {
            let Some(detector) = &mut detectors_by_number[i as usize] else { continue };
            let mut packets = Vec::new();
            if detector.is_alone() && now % 1_000 == 0 {
                packets.extend(detector.join(now, &addresses));
            }
            packets.extend(detector.tick(now));
            if i == 1 && now == 6_000 {
                packets.extend(detector.leave(now));
            }
            for change in detector.take_changes() {
                writeln!(trace, "{now} {i} {}", change_text(&change)).expect("writing to a string succeeds");
            }
            outputs.extend(packets.into_iter().map(|packet| (i, packet)));
        }
        if now == 6_000 {
            detectors_by_number[1] = None;
        }
        if now == 7_000 {
            detectors_by_number[2] = None;
        }
        for (from, Packet { to, address: at, payload }) in outputs {
            assert_eq!(at, address(to));
            if now < 2_000 || (6_000..9_000).contains(&now) || now >= 24_000 {
                writeln!(trace, "{now} {from} -> {to} {}", summary(&payload))
                    .expect("writing to a string succeeds");
            }
            let bytes = encode(FleetId::from_name(FLEET), &payload).expect("payload fits");
            in_transit.entry(now + STEP_MS).or_default().push((to, bytes));
        }
        if now % 1_000 == 0 {
            for (i, detector) in detectors_by_number.iter().enumerate() {
                let Some(detector) = detector else { continue };
                let view = detector.view(now);
                let numbers = (detector.local_health(), detector.digest(), detector.next_tick_ms());
                writeln!(trace, "{now} {i} knows {:?} {:?} {numbers:?}", view.alive, view.gone)
                    .expect("writing to a string succeeds");
            }
        }
    }
    trace
}

fn change_text(change: &MemberChange) -> String {
    let node = |n: &Node| format!("{} {} {}", n.number, n.incarnation, n.rejoins);
    match change {
        MemberChange::Up(n) => format!("up {}", node(n)),
        MemberChange::Down(n) => format!("down {}", node(n)),
        MemberChange::Restarted { old, new } => format!("anew {} {}", node(old), node(new)),
        MemberChange::Rejoined => "back".to_string(),
        MemberChange::Alone => "alone".to_string(),
    }
}

#[test]
fn leases_match_the_recorded_trace() {
    assert!(
        leases() == std::fs::read_to_string(recorded("leases.txt")).expect("a recorded trace"),
        "the trace differs"
    );
}

#[test]
fn detectors_match_the_recorded_trace() {
    let wanted = std::fs::read_to_string(recorded("detectors.txt")).expect("a recorded trace");
    assert!(detectors() == wanted, "the trace differs");
}
