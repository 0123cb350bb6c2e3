//! What members send, and when, with given seeds: recorded traces. Random draws and events keep their order.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use membership::detect::{Detector, MemberChange, Node, Packet};
use membership::lease::{LeaseCoordinator, LeaseTerms, Member, MembershipView, Message, Output, SLOT_UNITS};
use membership::wire::{decode, encode, FleetId, Payload};

const FLEET: &str = "trace";
/// One way of a message, and the step of the clock, ms.
const STEP_MS: u64 = 10;
/// More members than a slot has grantors, so that grantors are drawn.
const MEMBERS: u32 = 12;

fn recorded(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

/// The bytes of a body, as short as a trace can have them.
fn mark(body: &Payload) -> String {
    let bytes = encode(FleetId::from_name(FLEET), body).expect("short");
    format!("{} {}", bytes.len(), &blake3::hash(&bytes).to_hex()[..12])
}

fn member(number: u32) -> Member {
    Member { number, incarnation: 100 + u64::from(number) }
}

/// A lease message on its way.
struct Sent {
    to: u32,
    from: Member,
    incarnation: Option<u64>,
    message: Message,
}

/// Leases of a fleet of which the last two crash at 8 s: what the others send, and what each may use.
fn leases() -> String {
    let terms =
        LeaseTerms { members: MEMBERS, lease_ms: 3_000, max_drift_per_mille: 10, trust_refusals: true };
    let need = |i: u32| SLOT_UNITS * u64::from(2 + i * 5 % 7) / 4;
    let mut coordinators: Vec<Option<LeaseCoordinator>> =
        (0..MEMBERS).map(|i| Some(LeaseCoordinator::new(terms, member(i), 0, 7 + u64::from(i)))).collect();
    let mut way: BTreeMap<u64, Vec<Sent>> = BTreeMap::new();
    let (mut all, mut sent) = (String::new(), 0);
    for now in (0..20_000).step_by(STEP_MS as usize) {
        let crashed = now >= 8_000;
        if crashed {
            coordinators[MEMBERS as usize - 2..].fill_with(|| None);
        }
        let gone: Vec<u32> = if crashed { (MEMBERS - 2..MEMBERS).collect() } else { Vec::new() };
        let mut out = Vec::new();
        for Sent { to, from, incarnation, message } in way.remove(&now).unwrap_or_default() {
            if let Some(coordinator) = &mut coordinators[to as usize] {
                if incarnation.is_none_or(|incarnation| incarnation == member(to).incarnation) {
                    out.extend(coordinator.handle_message(now, from, message).into_iter().map(|o| (to, o)));
                }
            }
        }
        for i in 0..MEMBERS {
            let Some(coordinator) = &mut coordinators[i as usize] else { continue };
            let alive = (0..MEMBERS).filter(|n| *n != i && !gone.contains(n)).collect();
            let view = MembershipView { alive, gone: gone.clone() };
            out.extend(coordinator.tick(now, need(i), &view).into_iter().map(|o| (i, o)));
        }
        for (from, out) in out {
            match out {
                Output::Send { to, incarnation, message } => {
                    let body = Payload::Lease { from: member(from), incarnation, message };
                    sent += 1;
                    if now < 1_500 || (8_000..9_500).contains(&now) || now >= 18_500 {
                        writeln!(all, "{now} {from} -> {to} {}", mark(&body)).expect("a string takes all");
                    }
                    let from = member(from);
                    way.entry(now + STEP_MS).or_default().push(Sent { to, from, incarnation, message });
                }
                Output::Probe(owner) => {
                    writeln!(all, "{now} {from} probes {} {}", owner.number, owner.incarnation)
                        .expect("room");
                    if let Some(coordinator) = &mut coordinators[from as usize] {
                        coordinator.connection_refused(now, owner);
                    }
                }
            }
        }
        if now % 500 == 0 {
            for (i, coordinator) in coordinators.iter().enumerate() {
                let Some(coordinator) = coordinator else { continue };
                let part = coordinator.allocation(now);
                let numbers = (
                    part.units,
                    part.valid_until_ms,
                    part.units_after,
                    coordinator.slots_taken_over(now),
                    coordinator.next_tick_ms(),
                );
                writeln!(all, "{now} {i} has {numbers:?}").expect("a string takes all");
            }
        }
    }
    writeln!(all, "{sent} messages").expect("a string takes all");
    all
}

fn address(number: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16))
}

/// Detectors that find each other, of which one leaves at 6 s and one is silent from 7 s on.
fn detectors() -> String {
    let count = 5;
    let addresses: Vec<SocketAddr> = (0..count).map(address).collect();
    let node = |number: u32| Node { number, address: address(number), zone: 0, incarnation: 100, rejoins: 0 };
    let mut all_detectors: Vec<Option<Detector>> =
        (0..count).map(|i| Some(Detector::new(node(i), count, 0, 40 + u64::from(i)))).collect();
    let mut way: BTreeMap<u64, Vec<(u32, Vec<u8>)>> = BTreeMap::new();
    let mut all = String::new();
    for now in (0..25_000).step_by(STEP_MS as usize) {
        let mut out: Vec<(u32, Packet)> = Vec::new();
        for (to, bytes) in way.remove(&now).unwrap_or_default() {
            let Some(detector) = &mut all_detectors[to as usize] else { continue };
            let packets = match decode(FleetId::from_name(FLEET), &bytes).expect("whole") {
                Payload::Gossip(packet) => detector.handle_packet(now, &packet).unwrap_or_default(),
                Payload::View { from, digest } => detector.handle_digest(now, from, digest),
                Payload::Lease { .. } => Vec::new(),
            };
            out.extend(packets.into_iter().map(|packet| (to, packet)));
        }
        for i in 0..count {
            let Some(detector) = &mut all_detectors[i as usize] else { continue };
            let mut packets = Vec::new();
            if detector.is_alone() && now % 1_000 == 0 {
                packets.extend(detector.join(now, &addresses));
            }
            packets.extend(detector.tick(now));
            if i == 1 && now == 6_000 {
                packets.extend(detector.leave(now));
            }
            for change in detector.take_changes() {
                writeln!(all, "{now} {i} {}", words(&change)).expect("a string takes all");
            }
            out.extend(packets.into_iter().map(|packet| (i, packet)));
        }
        if now == 6_000 {
            all_detectors[1] = None;
        }
        if now == 7_000 {
            all_detectors[2] = None;
        }
        for (from, Packet { to, address: at, payload: body }) in out {
            assert_eq!(at, address(to));
            if now < 2_000 || (6_000..9_000).contains(&now) || now >= 24_000 {
                writeln!(all, "{now} {from} -> {to} {}", mark(&body)).expect("a string takes all");
            }
            let bytes = encode(FleetId::from_name(FLEET), &body).expect("short");
            way.entry(now + STEP_MS).or_default().push((to, bytes));
        }
        if now % 1_000 == 0 {
            for (i, detector) in all_detectors.iter().enumerate() {
                let Some(detector) = detector else { continue };
                let view = detector.view(now);
                let numbers = (detector.local_health(), detector.digest(), detector.next_tick_ms());
                writeln!(all, "{now} {i} knows {:?} {:?} {numbers:?}", view.alive, view.gone)
                    .expect("a string takes all");
            }
        }
    }
    all
}

fn words(change: &MemberChange) -> String {
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
fn leases_send_the_recorded_trace() {
    assert!(leases() == std::fs::read_to_string(recorded("leases.txt")).expect("recorded"), "another trace");
}

#[test]
fn detectors_send_the_recorded_trace() {
    let wanted = std::fs::read_to_string(recorded("detectors.txt")).expect("recorded");
    assert!(detectors() == wanted, "another trace");
}
