//! Members as the detector knows them, and what it tells of them.

use std::fmt;
use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

use crate::wire::Payload;

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
pub struct PacketError(pub(super) foca::Error);

impl fmt::Display for PacketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for PacketError {}
