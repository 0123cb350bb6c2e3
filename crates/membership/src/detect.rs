//! Failure detection: which members are alive. Uses the SWIM implementation of `foca` and adds timers, local
//! health and the comparison of membership views.

mod config;
mod node;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use foca::{AccumulatingRuntime, Foca, OwnedNotification, PostcardCodec, Timer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::lease::MembershipView;
use crate::wire::Payload;

use config::{foca_config, PROBE_PERIOD};
pub use node::{MemberChange, Node, Packet, PacketError};

/// Period of the comparison of views, ms.
const COMPARE_PERIOD_MS: u64 = 1_000;
/// Time to the next comparison after views were found to differ, ms.
const COMPARE_PERIOD_WHILE_DIFFERENT_MS: u64 = 200;
/// Minimum time between two requests for another member's view, ms.
const VIEW_REQUEST_PERIOD_MS: u64 = 100;
/// Maximum number of members to which a joining member announces itself at a time.
const JOIN_FANOUT: usize = 3;
/// Time after the detector's start from which a member that was never heard from counts as gone, ms.
const NEVER_HEARD_TIMEOUT_MS: u64 = 10_000;
/// The worst local health.
const MAX_LOCAL_HEALTH: u32 = 8;
/// A timer that is late by more than this, ms, indicates that this process itself is slow.
const LATE_TIMER_MS: u64 = 500;
/// Time without such an indication after which local health improves by one, ms.
const HEALTH_RECOVERY_MS: u64 = 2 * PROBE_PERIOD.as_millis() as u64;
/// Maximum number of changes that are kept until they are taken. Further ones are dropped.
const MAX_PENDING_CHANGES: usize = 1_024;
/// Makes the detector's random numbers differ from those of `foca`, which has the same seed. ASCII for
/// "join".
const SEED_MASK: u64 = 0x6a6f_696e;

/// A member that is known from gossip.
#[derive(Clone, Debug)]
struct KnownNode {
    node: Node,
    is_alive: bool,
}

/// When a timer of `foca` is due; the sequence number orders timers that are due at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    due_ms: u64,
    sequence: u64,
}

/// Failure detector of one member.
///
/// A process that is slow or was suspended would consider all other members gone. So late timers, and other
/// members that consider this one gone, worsen its local health, which makes its probes wait longer
/// (Lifeguard: Dadgar, Phillips, Currey, 2018). Local health recovers over time.
pub struct Detector {
    foca: Foca<Node, PostcardCodec, ChaCha8Rng, foca::NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Node>,
    timers: BTreeMap<TimerKey, Timer<Node>>,
    last_timer_sequence: u64,
    member_count: u32,
    started_ms: u64,
    /// Known members by number.
    known: BTreeMap<u32, KnownNode>,
    local_health: u32,
    /// When local health last changed.
    health_changed_ms: u64,
    next_compare_ms: u64,
    /// No view is requested before this time.
    next_view_request_ms: u64,
    changes: Vec<MemberChange>,
    rng: ChaCha8Rng,
}

impl Detector {
    /// Returns a detector that starts at `now_ms` in a fleet of `member_count` members. Each member must have
    /// a different seed.
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

    /// Returns this member as it currently announces itself.
    #[must_use]
    pub fn identity(&self) -> &Node {
        self.foca.identity()
    }

    /// Announces this member to some of the others. The caller repeats it while [`Detector::is_alone`].
    ///
    /// `addresses` are those of all members, in the order of their numbers.
    pub fn join(&mut self, now_ms: u64, addresses: &[SocketAddr]) -> Vec<Packet> {
        let own_number = self.identity().number;
        for _ in 0..JOIN_FANOUT.min(addresses.len().saturating_sub(1)) {
            let number = self.rng.random_range(0..addresses.len() as u32);
            if number == own_number {
                continue;
            }
            let address = addresses[number as usize];
            let unknown = Node { number, address, zone: 0, incarnation: 0, rejoins: 0 };
            // Fails only if a packet cannot be encoded, which cannot happen here.
            let _ = self.foca.announce(unknown, &mut self.runtime);
        }
        self.drain_runtime(now_ms)
    }

    /// Whether no other member is known to be alive.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.foca.num_members() == 0
    }

    /// Handles a packet from another member. Returns the packets to send in response.
    ///
    /// # Errors
    /// The packet cannot be used; no part of it was.
    pub fn handle_packet(&mut self, now_ms: u64, packet: &[u8]) -> Result<Vec<Packet>, PacketError> {
        let handled = self.foca.handle_data(packet, &mut self.runtime);
        // Timers that were set before the error still have to run.
        let packets = self.drain_runtime(now_ms);
        handled.map(|()| packets).map_err(PacketError)
    }

    /// Runs what is due: timers, the comparison of views, and the recovery of local health.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Packet> {
        let mut packets = Vec::new();
        while let Some(timer) = self.take_due_timer(now_ms) {
            // `foca` skips an outdated timer and returns an error.
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

    /// Sends the digest of this member's view to a random member. Without it, two views could differ
    /// permanently if all gossip about a change was lost.
    fn send_digest(&mut self) -> Option<Packet> {
        let alive = self.alive_nodes().count();
        let chosen = self.rng.random_range(0..alive.max(1));
        let Node { number, address, .. } = *self.alive_nodes().nth(chosen)?;
        let payload = Payload::View { from: self.identity().number, digest: self.digest() };
        Some(Packet { to: number, address, payload })
    }

    /// Handles the digest of another member's view. If it differs from this member's, that member's view is
    /// requested.
    pub fn handle_digest(&mut self, now_ms: u64, from: u32, digest: u64) -> Vec<Packet> {
        let Some(sender) = self.known.get(&from).filter(|known| known.is_alive) else { return Vec::new() };
        if now_ms < self.next_view_request_ms || digest == self.digest() {
            return Vec::new();
        }
        let sender = sender.node.clone();
        self.next_view_request_ms = now_ms + VIEW_REQUEST_PERIOD_MS;
        self.next_compare_ms = self.next_compare_ms.min(now_ms + COMPARE_PERIOD_WHILE_DIFFERENT_MS);
        // Fails only if a packet cannot be encoded, which cannot happen here.
        let _ = self.foca.announce(sender, &mut self.runtime);
        self.drain_runtime(now_ms)
    }

    /// Returns when [`Detector::tick`] is due, ms.
    #[must_use]
    pub fn next_tick_ms(&self) -> u64 {
        match self.timers.first_key_value() {
            Some((key, _)) => key.due_ms.min(self.next_compare_ms),
            None => self.next_compare_ms,
        }
    }

    /// Announces to some of the other members that this one leaves.
    pub fn leave(&mut self, now_ms: u64) -> Vec<Packet> {
        // Fails only if a packet cannot be encoded.
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now_ms)
    }

    /// Returns the local health, 0 to 8. 0 is healthy; at `n`, probes wait `n + 1` times as long.
    #[must_use]
    pub fn local_health(&self) -> u32 {
        self.local_health
    }

    /// Returns which of the other members are believed to be alive or gone.
    #[must_use]
    pub fn view(&self, now_ms: u64) -> MembershipView {
        let mut view = MembershipView::default();
        let own_number = self.identity().number;
        let never_heard_are_gone = now_ms.saturating_sub(self.started_ms) >= NEVER_HEARD_TIMEOUT_MS;
        for number in (0..self.member_count).filter(|number| *number != own_number) {
            match self.known.get(&number) {
                Some(known) if known.is_alive => view.alive.push(number),
                Some(_) => view.gone.push(number),
                None if never_heard_are_gone => view.gone.push(number),
                None => {}
            }
        }
        view
    }

    /// Returns the other members that are alive, in the order of their numbers.
    pub fn alive_nodes(&self) -> impl Iterator<Item = &Node> {
        self.known.values().filter(|known| known.is_alive).map(|known| &known.node)
    }

    /// Returns a digest of the live members and their incarnations, including this member. Equal views have
    /// the same digest.
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

    /// Returns the changes since the last call, oldest first, and removes them.
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

    /// Applies the timers and notifications that `foca` has queued. Returns the packets to send.
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

    /// Schedules a timer of `foca`. A member in bad local health waits longer for responses, and before it
    /// considers a suspect gone.
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
                self.set_known(&node, true);
                self.push_change(MemberChange::Up(node));
            }
            OwnedNotification::MemberDown(node) => {
                self.set_known(&node, false);
                self.push_change(MemberChange::Down(node));
            }
            OwnedNotification::Rename(old, new) => {
                let is_alive = self.known.get(&new.number).is_some_and(|known| known.is_alive);
                self.set_known(&new, is_alive);
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

    fn set_known(&mut self, node: &Node, is_alive: bool) {
        self.known.insert(node.number, KnownNode { node: node.clone(), is_alive });
    }
}
