//! Failure detection: which members are alive. SWIM as `foca` implements it, with timers, local health and a
//! comparison of views around it.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{
    AccumulatingRuntime, Config, Foca, Identity, OwnedNotification, PeriodicParams, PostcardCodec, Timer,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::lease::MembershipView;
use crate::wire::{Payload, MAX_DATAGRAM_BYTES};

/// Time between two probes of a member.
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// How long a probe may go unanswered before other members are asked to probe.
const PROBE_RTT: Duration = Duration::from_millis(150);
/// Members that are asked to probe another one.
const INDIRECT_PROBES: usize = 3;
/// How long a suspect has to refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time between two rounds of gossip.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Members that a round of gossip goes to.
const GOSSIP_FANOUT: usize = 2;
/// Time between two announcements to a member that is alive.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(30);
/// Time between two announcements to a member that is gone: it may be back.
const ANNOUNCE_TO_GONE_PERIOD: Duration = Duration::from_secs(10);
/// Time between two comparisons of views, ms.
const COMPARE_PERIOD_MS: u64 = 1_000;
/// Time between two comparisons after views were found to differ, ms.
const COMPARE_PERIOD_WHILE_DIFFERENT_MS: u64 = 200;
/// The least time between two requests for another member's view, ms.
const VIEW_REQUEST_PERIOD_MS: u64 = 100;
/// The longest packet of `foca`, bytes: version, fleet and checksum of a datagram need the rest.
const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - 32;
/// Members that a joining one announces itself to at a time.
const JOIN_FANOUT: usize = 3;
/// A member that was never heard from counts as gone this long after the detector's start, ms.
const NEVER_HEARD_TIMEOUT_MS: u64 = 10_000;
/// The worst local health.
const MAX_LOCAL_HEALTH: u32 = 8;
/// A timer that is later than this, ms, is a sign that this process itself is slow.
const LATE_TIMER_MS: u64 = 500;
/// Local health gets better by one after this time without a sign, ms.
const HEALTH_RECOVERY_MS: u64 = 2 * PROBE_PERIOD.as_millis() as u64;
/// Changes that are retained until they are taken.
const MAX_PENDING_CHANGES: usize = 1_024;
/// Makes the draws of the detector differ from those of `foca`, which has the same seed ("join").
const SEED_MASK: u64 = 0x6a6f_696e;

/// A member as the others know it. The order of the fields is the wire form.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Node {
    /// Its number in the fleet, from 0. A number is one member, whatever its incarnation.
    pub number: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u32,
    /// Grows with each start of its process.
    pub incarnation: u64,
    /// How often it rejoined in this incarnation after others had taken it for gone.
    pub rejoins: u32,
}

impl Identity for Node {
    type Addr = u32;

    fn renew(&self) -> Option<Node> {
        Some(Node { rejoins: self.rejoins.wrapping_add(1), ..self.clone() })
    }

    fn addr(&self) -> u32 {
        self.number
    }

    fn win_addr_conflict(&self, other: &Node) -> bool {
        (self.incarnation, self.rejoins) > (other.incarnation, other.rejoins)
    }
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A member is alive.
    Up(Node),
    /// A member is gone: it left or does not answer.
    Down(Node),
    /// Another incarnation of a member took the place of an earlier one.
    Restarted {
        /// The earlier incarnation.
        old: Node,
        /// The present one.
        new: Node,
    },
    /// Others took this member for gone, and it rejoined.
    Rejoined,
    /// No other member is alive any more.
    Alone,
}

/// A packet to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Number of the receiver.
    pub to: u32,
    /// The receiver's address, as other members told it.
    pub address: SocketAddr,
    /// What is sent.
    pub payload: Payload,
}

/// A packet that cannot be used, with the reason of `foca`.
#[derive(Debug)]
pub struct PacketError(foca::Error);

impl fmt::Display for PacketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for PacketError {}

/// A member that was heard of.
#[derive(Clone, Debug)]
struct KnownNode {
    node: Node,
    is_alive: bool,
}

/// When a timer of `foca` is due; the sequence number tells timers of one moment apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_ms: u64,
    sequence: u64,
}

/// What one member believes of the others.
///
/// A process that is itself slow or was stopped would take all others for gone. So a timer that is late, or
/// others that take this one for gone, worsen its local health, by which its probes wait longer (Lifeguard:
/// Dadgar, Phillips, Currey, 2018). Local health recovers with time.
pub struct Detector {
    foca: Foca<Node, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Node>,
    timers: BTreeMap<TimerKey, Timer<Node>>,
    last_timer_sequence: u64,
    member_count: u32,
    started_ms: u64,
    /// By number.
    known: BTreeMap<u32, KnownNode>,
    local_health: u32,
    /// When local health changed last.
    health_changed_ms: u64,
    next_compare_ms: u64,
    /// No view is requested before.
    next_view_request_ms: u64,
    changes: Vec<MemberChange>,
    rng: ChaCha8Rng,
}

impl Detector {
    /// A detector of a fleet of so many members that starts at `now_ms`. Each member has a seed of its own.
    #[must_use]
    pub fn new(identity: Node, member_count: u32, now_ms: u64, seed: u64) -> Detector {
        let member_count = member_count.max(1);
        let config = foca_config(member_count);
        Detector {
            foca: Foca::new(identity, config, ChaCha8Rng::seed_from_u64(seed), PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            last_timer_sequence: 0,
            member_count,
            started_ms: now_ms,
            known: BTreeMap::new(),
            local_health: 0,
            health_changed_ms: now_ms,
            next_compare_ms: now_ms,
            next_view_request_ms: now_ms,
            changes: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK),
        }
    }

    /// This member as it announces itself now.
    #[must_use]
    pub fn identity(&self) -> &Node {
        self.foca.identity()
    }

    /// Announces this member to some of the others. To be repeated while [`Detector::is_alone`].
    ///
    /// `addresses` are those of all numbers, in order.
    pub fn join(&mut self, now_ms: u64, addresses: &[SocketAddr]) -> Vec<Packet> {
        let own_number = self.identity().number;
        for _ in 0..JOIN_FANOUT.min(addresses.len().saturating_sub(1)) {
            let number = self.rng.random_range(0..addresses.len() as u32);
            if number == own_number {
                continue;
            }
            let address = addresses[number as usize];
            let unknown = Node { number, address, zone: 0, incarnation: 0, rejoins: 0 };
            // Fails only where a packet cannot be encoded, and this one can.
            let _ = self.foca.announce(unknown, &mut self.runtime);
        }
        self.drain_runtime(now_ms)
    }

    /// Whether no other member is known to be alive.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.foca.num_members() == 0
    }

    /// Handles a packet of another member. Returns the packets that follow from it.
    ///
    /// # Errors
    /// The packet cannot be used; nothing of it was.
    pub fn handle_packet(&mut self, now_ms: u64, packet: &[u8]) -> Result<Vec<Packet>, PacketError> {
        let handled = self.foca.handle_data(packet, &mut self.runtime);
        // Timers that were queued before a failure are still due.
        let packets = self.drain_runtime(now_ms);
        handled.map(|()| packets).map_err(PacketError)
    }

    /// Does what is due: timers, the comparison of views, the recovery of local health.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Packet> {
        let mut packets = Vec::new();
        while let Some(timer) = self.take_due_timer(now_ms) {
            // A timer of an earlier state of `foca` is skipped with an error.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            packets.extend(self.drain_runtime(now_ms));
        }
        if now_ms >= self.next_compare_ms {
            self.next_compare_ms = now_ms + COMPARE_PERIOD_MS;
            packets.extend(self.send_digest());
        }
        if self.local_health > 0 && now_ms.saturating_sub(self.health_changed_ms) > HEALTH_RECOVERY_MS {
            self.local_health -= 1;
            self.health_changed_ms = now_ms;
        }
        packets
    }

    fn take_due_timer(&mut self, now_ms: u64) -> Option<Timer<Node>> {
        let entry = self.timers.first_entry().filter(|entry| entry.key().due_ms <= now_ms)?;
        let (key, timer) = entry.remove_entry();
        if now_ms.saturating_sub(key.due_ms) > LATE_TIMER_MS {
            self.worsen_local_health(now_ms);
        }
        Some(timer)
    }

    /// Sends the digest of this view to a member drawn by chance. Without it two views could differ for good
    /// once all gossip of a change was lost.
    fn send_digest(&mut self) -> Option<Packet> {
        let alive = self.alive_nodes().count();
        let chosen = self.rng.random_range(0..alive.max(1));
        let Node { number, address, .. } = *self.alive_nodes().nth(chosen)?;
        let payload = Payload::View { from: self.identity().number, digest: self.digest() };
        Some(Packet { to: number, address, payload })
    }

    /// Handles the digest of another member's view. If it differs, that member is asked whom it knows.
    pub fn handle_digest(&mut self, now_ms: u64, from: u32, digest: u64) -> Vec<Packet> {
        let Some(sender) = self.known.get(&from).filter(|known| known.is_alive) else { return Vec::new() };
        if now_ms < self.next_view_request_ms || digest == self.digest() {
            return Vec::new();
        }
        let sender = sender.node.clone();
        self.next_view_request_ms = now_ms + VIEW_REQUEST_PERIOD_MS;
        self.next_compare_ms = self.next_compare_ms.min(now_ms + COMPARE_PERIOD_WHILE_DIFFERENT_MS);
        // Fails only where a packet cannot be encoded, and this one can.
        let _ = self.foca.announce(sender, &mut self.runtime);
        self.drain_runtime(now_ms)
    }

    /// When [`Detector::tick`] is due, ms.
    #[must_use]
    pub fn next_tick_ms(&self) -> u64 {
        match self.timers.first_key_value() {
            Some((key, _)) => key.due_ms.min(self.next_compare_ms),
            None => self.next_compare_ms,
        }
    }

    /// Tells some of the others that this member leaves.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Packet> {
        // Fails only where nothing can be encoded.
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now_ms)
    }

    /// Local health, 0 to 8: 0 is healthy, and with each more probes wait one time longer.
    #[must_use]
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// Which of the other members are believed to be alive or gone.
    #[must_use]
    pub fn view(&self, now_ms: u64) -> MembershipView {
        let mut view = MembershipView::default();
        let own_number = self.identity().number;
        let waited_for_all = now_ms.saturating_sub(self.started_ms) >= NEVER_HEARD_TIMEOUT_MS;
        for number in (0..self.member_count).filter(|number| *number != own_number) {
            match self.known.get(&number) {
                Some(known) if known.is_alive => view.alive.push(number),
                Some(_) => view.gone.push(number),
                None if waited_for_all => view.gone.push(number),
                None => {}
            }
        }
        view
    }

    /// The members that are alive, without this one, in the order of their numbers.
    pub fn alive_nodes(&self) -> impl Iterator<Item = &Node> {
        self.known.values().filter(|known| known.is_alive).map(|known| &known.node)
    }

    /// Digest of the members that are alive and their incarnations, this one's included. Views that agree
    /// have the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let others = self.alive_nodes();
        let mut members: Vec<(u32, u64)> =
            others.chain([self.identity()]).map(|node| (node.number, node.incarnation)).collect();
        members.sort_unstable();
        let mut hasher = blake3::Hasher::new();
        for (number, incarnation) in members {
            hasher.update(&u64::from(number).to_le_bytes());
            hasher.update(&incarnation.to_le_bytes());
        }
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<u64>()]);
        u64::from_le_bytes(first)
    }

    /// Takes the changes since the last call, oldest first.
    pub fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    fn worsen_local_health(&mut self, now_ms: u64) {
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        self.health_changed_ms = now_ms;
    }

    fn push_change(&mut self, change: MemberChange) {
        if self.changes.len() < MAX_PENDING_CHANGES {
            self.changes.push(change);
        }
    }

    /// Takes what `foca` wants done. Returns the packets to be sent.
    fn drain_runtime(&mut self, now_ms: u64) -> Vec<Packet> {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.schedule(now_ms, after, timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            self.handle_notification(now_ms, notification);
        }
        let mut packets = Vec::new();
        while let Some((to, bytes)) = self.runtime.to_send() {
            let payload = Payload::Gossip(bytes.to_vec());
            packets.push(Packet { to: to.number, address: to.address, payload });
        }
        packets
    }

    /// A member in bad local health waits longer for answers, and before it takes a suspect for gone.
    fn schedule(&mut self, now_ms: u64, after: Duration, timer: Timer<Node>) {
        let factor = match timer {
            Timer::SendIndirectProbe { .. }
            | Timer::ProbeRandomMember(_)
            | Timer::ChangeSuspectToDown { .. } => 1 + self.local_health,
            _ => 1,
        };
        self.last_timer_sequence += 1;
        let due_ms = now_ms + (after * factor).as_millis() as u64;
        self.timers.insert(TimerKey { due_ms, sequence: self.last_timer_sequence }, timer);
    }

    fn handle_notification(&mut self, now_ms: u64, notification: OwnedNotification<Node>) {
        match notification {
            OwnedNotification::MemberUp(node) => {
                self.remember(&node, true);
                self.push_change(MemberChange::Up(node));
            }
            OwnedNotification::MemberDown(node) => {
                self.remember(&node, false);
                self.push_change(MemberChange::Down(node));
            }
            OwnedNotification::Rename(old, new) => {
                let is_alive = self.known.get(&new.number).is_some_and(|known| known.is_alive);
                self.remember(&new, is_alive);
                if old.incarnation != new.incarnation {
                    self.push_change(MemberChange::Restarted { old, new });
                }
            }
            OwnedNotification::Rejoin(_) | OwnedNotification::Defunct => {
                self.worsen_local_health(now_ms);
                self.push_change(MemberChange::Rejoined);
            }
            OwnedNotification::Idle => self.push_change(MemberChange::Alone),
            OwnedNotification::Active => {}
        }
    }

    fn remember(&mut self, node: &Node, is_alive: bool) {
        self.known.insert(node.number, KnownNode { node: node.clone(), is_alive });
    }
}

fn foca_config(member_count: u32) -> Config {
    let cluster_size = NonZeroU32::new(member_count).unwrap_or(NonZeroU32::MIN);
    let at_least_one = |n: usize| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    let periodic = |frequency: Duration, members: usize| {
        Some(PeriodicParams { frequency, num_members: at_least_one(members) })
    };
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_RTT,
        num_indirect_probes: at_least_one(INDIRECT_PROBES),
        suspect_to_down_after: SUSPICION_TIMEOUT,
        max_packet_size: at_least_one(MAX_PACKET_BYTES),
        periodic_announce: periodic(ANNOUNCE_PERIOD, 1),
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_GONE_PERIOD, 1),
        periodic_gossip: periodic(GOSSIP_PERIOD, GOSSIP_FANOUT),
        ..Config::new_lan(cluster_size)
    }
}
