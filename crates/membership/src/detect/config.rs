//! Configuration of `foca`.

use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::wire::MAX_DATAGRAM_BYTES;

/// Time between two probes that a member sends.
pub(super) const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Time without a response to a probe after which other members are asked to probe.
const PROBE_RTT: Duration = Duration::from_millis(150);
/// Number of members that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Time that a suspect has to refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time between two rounds of gossip.
const GOSSIP_PERIOD: Duration = Duration::from_millis(200);
/// Number of members that receive a round of gossip.
const GOSSIP_FANOUT: usize = 2;
/// Time between two announcements to a live member.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(30);
/// Time between two announcements to a gone member, which may have returned.
const ANNOUNCE_TO_GONE_PERIOD: Duration = Duration::from_secs(10);
/// Maximum length of a packet of `foca`, bytes. The remaining bytes of a datagram hold the version, the fleet
/// and the checksum.
const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - 32;

/// Returns the configuration for a fleet of `member_count` members.
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
