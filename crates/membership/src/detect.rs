//! Who is there: SWIM by `foca`, with a clock and local health round it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PeriodicParams, PostcardCodec, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::lease::Believed;
use crate::wire::{Body, MAX_DATAGRAM_BYTES};

/// How often a member is probed, and how long it may take before others are asked to.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
const PROBE_RTT: Duration = Duration::from_millis(150);
/// Others that are asked.
const INDIRECT: usize = 3;
/// How long a suspect has to say that it is there.
const SUSPICION: Duration = Duration::from_millis(2_000);
/// News go to so many members so often.
const GOSSIP: (Duration, usize) = (Duration::from_millis(200), 2);
/// One that is gone is asked so often whether it is back.
const BACK: Duration = Duration::from_secs(10);
/// A member's view is compared with another's so often, ms, and so often while it differs; one that differs
/// is asked for its own so often at most.
const COMPARED: (u64, u64) = (1_000, 200);
const ASKED: u64 = 100;
/// What an own message may take of a datagram: version, fleet and checksum need the rest.
const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - 32;
/// Numbers that are asked at once by one that joins.
const JOIN: usize = 3;
/// A number that was never heard counts as gone this long after the own start, ms.
const NEVER_HEARD_MS: u64 = 10_000;
/// The worst local health, and how late a timer has to be, ms, to be taken for a sign of it.
const HEALTH_WORST: u32 = 8;
const LATE_MS: u64 = 500;
/// Changes that are kept until they are asked for.
const MAX_PENDING_CHANGES: usize = 1_024;

/// A member as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Node {
    /// Its number in the fleet, from 0. A number is one member, whatever its life.
    pub number: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u32,
    /// New with each start of its process, and greater than those before.
    pub life: u64,
    /// How often it was called gone in this life, and came back.
    pub back: u32,
}

impl Identity for Node {
    type Addr = u32;

    fn renew(&self) -> Option<Node> {
        Some(Node { back: self.back.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> u32 {
        self.number
    }

    fn win_addr_conflict(&self, other: &Node) -> bool {
        (self.life, self.back) > (other.life, other.back)
    }
}

/// Something that changed in what is believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member is there.
    Up(Node),
    /// A member is gone: it left, or does not answer.
    Down(Node),
    /// Another life of a member took the place of one.
    Anew(Node, Node),
    /// Others called this one gone, and it came back.
    Back,
    /// No other is there any more.
    Alone,
}

/// A packet for another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// To the member of this number.
    pub to: u32,
    /// Where it listens, as the others told.
    pub address: SocketAddr,
    /// What is sent.
    pub body: Body,
}

/// What one member believes of the others.
///
/// Danger: one that is itself slow or stopped, and calls all others gone. A timer that comes late, and
/// others that call it gone, worsen its local health, by which its probes wait longer (Lifeguard: Dadgar,
/// Phillips, Currey, 2018); calm betters it.
pub struct Detector {
    foca: Foca<Node, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Node>,
    /// What is due at which moment; the second number tells timers of one moment apart.
    timers: BTreeMap<(u64, u64), Timer<Node>>,
    number: u64,
    members: u32,
    begun_ms: u64,
    /// Numbers that were heard of, with their last known node, and whether they are there.
    heard: BTreeMap<u32, (Node, bool)>,
    health: u32,
    /// When local health was last looked at.
    health_ms: u64,
    /// When views are compared next, and another's is asked for at the earliest.
    compare_ms: u64,
    ask_ms: u64,
    changes: Vec<Change>,
    dice: ChaCha8Rng,
}

impl Detector {
    /// One of so many numbers that starts at `now_ms`; `seed` is its own.
    #[must_use]
    pub fn new(me: Node, members: u32, now_ms: u64, seed: u64) -> Detector {
        let members = members.max(1);
        let size = NonZeroU32::new(members).unwrap_or(NonZeroU32::MIN);
        let most = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
        let params =
            |(frequency, n): (Duration, usize)| Some(PeriodicParams { frequency, num_members: most(n) });
        let config = Config {
            probe_period: PROBE_PERIOD,
            probe_rtt: PROBE_RTT,
            num_indirect_probes: most(INDIRECT),
            suspect_to_down_after: SUSPICION,
            max_packet_size: most(MAX_PACKET_BYTES),
            periodic_announce: params((Duration::from_secs(30), 1)),
            periodic_announce_to_down_members: params((BACK, 1)),
            periodic_gossip: params(GOSSIP),
            ..Config::new_lan(size)
        };
        Detector {
            foca: Foca::new(me, config, ChaCha8Rng::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            number: 0,
            members,
            begun_ms: now_ms,
            heard: BTreeMap::new(),
            health: 0,
            health_ms: now_ms,
            compare_ms: now_ms,
            ask_ms: now_ms,
            changes: Vec::new(),
            dice: ChaCha8Rng::seed_from_u64(seed ^ 0x6a6f_696e),
        }
    }

    /// Who this one is now.
    #[must_use]
    pub fn me(&self) -> &Node {
        self.foca.identity()
    }

    /// Asks some of the others to take this one in. To be called again while [`Detector::alone`].
    /// `addresses` are those of all numbers, in order.
    pub fn join(&mut self, now_ms: u64, addresses: &[SocketAddr]) -> Vec<Packet> {
        let me = self.me().number;
        for _ in 0..JOIN.min(addresses.len().saturating_sub(1)) {
            let number = self.dice.random_range(0..addresses.len() as u32);
            if number != me {
                let address = addresses[number as usize];
                let unknown = Node { number, address, zone: 0, life: 0, back: 0 };
                // Fails only where a packet can't be written, which is none of these.
                let _ = self.foca.announce(unknown, &mut self.runtime);
            }
        }
        self.drain(now_ms)
    }

    /// Whether it knows nobody who is there.
    #[must_use]
    pub fn alone(&self) -> bool {
        self.foca.num_members() == 0
    }

    /// A packet of another member. Gives what follows from it.
    ///
    /// # Errors
    /// The text says why it can't be used; nothing of it was.
    pub fn heard(&mut self, now_ms: u64, packet: &[u8]) -> Result<Vec<Packet>, String> {
        match self.foca.handle_data(packet, &mut self.runtime) {
            Ok(()) => Ok(self.drain(now_ms)),
            Err(e) => {
                // What was queued before it failed is still due.
                let _ = self.drain(now_ms);
                Err(e.to_string())
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Packet> {
        let mut out = Vec::new();
        while let Some(entry) = self.timers.first_entry().filter(|timer| timer.key().0 <= now_ms) {
            let ((due_ms, _), timer) = entry.remove_entry();
            if now_ms.saturating_sub(due_ms) > LATE_MS {
                self.ails(now_ms);
            }
            // A timer of an earlier state of it is passed over with an error.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            out.extend(self.drain(now_ms));
        }
        if now_ms >= self.compare_ms {
            self.compare_ms = now_ms + COMPARED.0;
            out.extend(self.compare());
        }
        if self.health > 0 && now_ms.saturating_sub(self.health_ms) > 2 * PROBE_PERIOD.as_millis() as u64 {
            (self.health, self.health_ms) = (self.health - 1, now_ms);
        }
        out
    }

    /// Its view's digest for another member. Danger: news that were lost on every way, and two views that
    /// differ for good.
    fn compare(&mut self) -> Option<Packet> {
        let there = self.nodes().count();
        let chosen = self.dice.random_range(0..there.max(1));
        let Node { number, address, .. } = *self.nodes().nth(chosen)?;
        let body = Body::View { from: self.me().number, digest: self.digest() };
        Some(Packet { to: number, address, body })
    }

    /// Another's view has this digest. Where it differs, it is asked whom it knows.
    pub fn compared(&mut self, now_ms: u64, from: u32, digest: u64) -> Vec<Packet> {
        let known = self.heard.get(&from).filter(|(_, there)| *there).map(|(node, _)| node.clone());
        let Some(node) = known.filter(|_| now_ms >= self.ask_ms && digest != self.digest()) else {
            return Vec::new();
        };
        self.ask_ms = now_ms + ASKED;
        self.compare_ms = self.compare_ms.min(now_ms + COMPARED.1);
        // Fails only where a packet can't be written, which is none of these.
        let _ = self.foca.announce(node, &mut self.runtime);
        self.drain(now_ms)
    }

    /// When [`Detector::tick`] is due.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.timers
            .first_key_value()
            .map_or(self.compare_ms, |((due_ms, _), _)| (*due_ms).min(self.compare_ms))
    }

    /// Tells some of the others that it goes.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Packet> {
        // Fails only where nothing can be written.
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain(now_ms)
    }

    /// Local health: 0 is well, each more makes probes wait one time longer.
    #[must_use]
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Who is believed to be there, and who gone.
    #[must_use]
    pub fn believed(&self, now_ms: u64) -> Believed {
        let mut believed = Believed::default();
        let me = self.me().number;
        let begun = now_ms.saturating_sub(self.begun_ms) >= NEVER_HEARD_MS;
        for number in (0..self.members).filter(|number| *number != me) {
            match self.heard.get(&number) {
                Some((_, true)) => believed.alive.push(number),
                Some((_, false)) => believed.gone.push(number),
                None if begun => believed.gone.push(number),
                None => {}
            }
        }
        believed
    }

    /// The members that are there, this one not among them.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.heard.values().filter(|(_, there)| *there).map(|(node, _)| node)
    }

    /// A number that tells two views apart: of who is there, in which life. Views that agree have the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let me = self.me();
        let mut all: Vec<(u32, u64)> = self.nodes().map(|node| (node.number, node.life)).collect();
        all.push((me.number, me.life));
        all.sort_unstable();
        let bytes: Vec<u8> = all
            .iter()
            .flat_map(|(n, life)| [u64::from(*n).to_le_bytes(), life.to_le_bytes()].concat())
            .collect();
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_le_bytes(first)
    }

    /// What changed since it was last asked.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    fn ails(&mut self, now_ms: u64) {
        (self.health, self.health_ms) = ((self.health + 1).min(HEALTH_WORST), now_ms);
    }

    fn change(&mut self, change: Change) {
        if self.changes.len() < MAX_PENDING_CHANGES {
            self.changes.push(change);
        }
    }

    /// Takes what the state machine wants done.
    fn drain(&mut self, now_ms: u64) -> Vec<Packet> {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            // One that ails waits longer for answers, and before it calls a suspect gone.
            let longer = match timer {
                Timer::SendIndirectProbe { .. }
                | Timer::ProbeRandomMember(_)
                | Timer::ChangeSuspectToDown { .. } => 1 + self.health,
                _ => 1,
            };
            self.number += 1;
            let due_ms = now_ms + (after * longer).as_millis() as u64;
            self.timers.insert((due_ms, self.number), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            match told {
                OwnedNotification::MemberUp(node) => {
                    self.heard.insert(node.number, (node.clone(), true));
                    self.change(Change::Up(node));
                }
                OwnedNotification::MemberDown(node) => {
                    self.heard.insert(node.number, (node.clone(), false));
                    self.change(Change::Down(node));
                }
                OwnedNotification::Rename(old, new) => {
                    let there = self.heard.get(&new.number).is_some_and(|(_, there)| *there);
                    self.heard.insert(new.number, (new.clone(), there));
                    if old.life != new.life {
                        self.change(Change::Anew(old, new));
                    }
                }
                OwnedNotification::Rejoin(_) | OwnedNotification::Defunct => {
                    self.ails(now_ms);
                    self.change(Change::Back);
                }
                OwnedNotification::Idle => self.change(Change::Alone),
                OwnedNotification::Active => {}
            }
        }
        let mut out = Vec::new();
        while let Some((to, bytes)) = self.runtime.to_send() {
            out.push(Packet { to: to.number, address: to.address, body: Body::Gossip(bytes.to_vec()) });
        }
        out
    }
}
