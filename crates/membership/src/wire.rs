//! Encoding of the datagrams between gateways: version, fleet, payload, checksum.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::lease::{Member, Message};

/// Maximum length of a datagram, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Version of the datagram format.
pub const VERSION: u8 = 1;
/// Length of the checksum at the end of a datagram, bytes.
const CHECKSUM_BYTES: usize = 8;

/// Identity of a fleet in datagrams: a digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetId(u64);

impl FleetId {
    /// Returns the identity of the fleet with that name.
    #[must_use]
    pub fn from_name(name: &str) -> FleetId {
        FleetId(u64::from_le_bytes(checksum(name.as_bytes())))
    }
}

/// Payload of a datagram. The order of the variants and of their fields defines the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// A message of the failure detector.
    Gossip(Vec<u8>),
    /// Digest of the sender's membership view, which the receiver compares with its own.
    View {
        /// Number of the sender.
        from: u32,
        /// Digest of the live members and their incarnations.
        digest: u64,
    },
    /// A lease message.
    Lease {
        /// The sender.
        from: Member,
        /// For a response, the incarnation that sent the request.
        incarnation: Option<u64>,
        /// The message.
        message: Message,
    },
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropReason {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`], or too short.
    BadLength,
    /// The checksum is wrong, or the payload cannot be decoded.
    Corrupt,
    /// The datagram has an older version.
    OlderVersion,
    /// The datagram has a newer version.
    NewerVersion,
    /// The datagram belongs to another fleet.
    OtherFleet,
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DropReason::BadLength => "length",
            DropReason::Corrupt => "garbled",
            DropReason::OlderVersion => "old",
            DropReason::NewerVersion => "future",
            DropReason::OtherFleet => "foreign",
        })
    }
}

impl std::error::Error for DropReason {}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut first = [0; CHECKSUM_BYTES];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..CHECKSUM_BYTES]);
    first
}

/// Encodes a payload as a datagram. `None` if it would be longer than [`MAX_DATAGRAM_BYTES`].
#[must_use]
pub fn encode(fleet: FleetId, payload: &Payload) -> Option<Vec<u8>> {
    // The version is the first byte in every format, so that other versions can recognise it.
    let mut bytes = postcard::to_extend(&(fleet, payload), vec![VERSION]).ok()?;
    bytes.extend(checksum(&bytes));
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes the payload of a datagram.
///
/// # Errors
/// Returns the reason to drop the datagram. No part of a dropped datagram may be used.
pub fn decode(fleet: FleetId, datagram: &[u8]) -> Result<Payload, DropReason> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::BadLength);
    }
    let (bytes, expected) = datagram.split_last_chunk::<CHECKSUM_BYTES>().ok_or(DropReason::BadLength)?;
    // Without a checksum, a flipped bit could turn into a later incarnation or a larger loan.
    if checksum(bytes) != *expected {
        return Err(DropReason::Corrupt);
    }
    let (version, rest) = bytes.split_first().ok_or(DropReason::BadLength)?;
    if *version < VERSION {
        return Err(DropReason::OlderVersion);
    }
    if *version > VERSION {
        return Err(DropReason::NewerVersion);
    }
    let (sender_fleet, rest) = postcard::take_from_bytes::<FleetId>(rest).map_err(|_| DropReason::Corrupt)?;
    if sender_fleet != fleet {
        return Err(DropReason::OtherFleet);
    }
    match postcard::take_from_bytes::<Payload>(rest) {
        Ok((payload, [])) => Ok(payload),
        _ => Err(DropReason::Corrupt),
    }
}
