//! Members as the detector knows them, and the changes and packets that it reports.

use std::fmt;
use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

use crate::wire::Payload;

/// A member as the others know it. The order of the fields defines the wire format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Node {
    /// Number of the member in the fleet, from 0, the same for all its incarnations.
    pub number: u32,
    /// Address on which the member listens.
    pub address: SocketAddr,
    /// Zone of the member.
    pub zone: u32,
    /// Increases with each start of the member's process.
    pub incarnation: u64,
    /// Number of times that this incarnation rejoined after others had considered it gone.
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

/// A change of the membership view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// A member is alive.
    Up(Node),
    /// A member is gone: it left or does not respond.
    Down(Node),
    /// A new incarnation of a member replaced an earlier one.
    Restarted {
        /// The earlier incarnation.
        old: Node,
        /// The current incarnation.
        new: Node,
    },
    /// Others considered this member gone, and it rejoined.
    Rejoined,
    /// No other member is alive.
    Alone,
}

/// A packet to another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Packet {
    /// Number of the receiver.
    pub to: u32,
    /// Address of the receiver, as known from gossip.
    pub address: SocketAddr,
    /// Payload of the datagram.
    pub payload: Payload,
}

/// Error of a packet that cannot be used, as reported by `foca`.
#[derive(Debug)]
pub struct PacketError(pub(super) foca::Error);

impl fmt::Display for PacketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for PacketError {}
