//! Configuration of `foca`.

use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::wire::MAX_DATAGRAM_BYTES;

/// Time between two probes of a member.
pub(super) const PROBE_PERIOD: Duration = Duration::from_millis(500);
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
/// The longest packet of `foca`, bytes: version, fleet and checksum of a datagram need the rest.
const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - 32;

/// The configuration for a fleet of so many members.
pub(super) fn foca_config(member_count: u32) -> Config {
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
