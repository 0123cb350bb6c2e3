//! What goes into a datagram between gateways, and what is dropped.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::lease::{Member, Message};

/// The longest datagram, bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The version that is spoken.
pub const VERSION: u8 = 1;
/// Bytes of the checksum at a datagram's end.
const CHECKSUM: usize = 8;

/// A fleet's name as datagrams bear it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet(u64);

impl Fleet {
    /// That of a name.
    #[must_use]
    pub fn named(name: &str) -> Fleet {
        Fleet(u64::from_le_bytes(digest(name.as_bytes())))
    }
}

/// What a datagram is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Who is there: a message of the detector.
    Gossip(Vec<u8>),
    /// The digest of the sender's view, to be compared.
    View {
        /// The sender's number.
        from: u32,
        /// Of who is there, in which life.
        digest: u64,
    },
    /// Parts of bounds.
    Lease {
        /// Who sends it.
        from: Member,
        /// Of an answer: the life that asked.
        life: Option<u64>,
        /// What.
        message: Message,
    },
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Dropped {
    /// Longer than [`MAX_DATAGRAM_BYTES`], or shorter than any can be.
    Length,
    /// Its checksum is wrong, or it can't be read though it is right.
    Garbled,
    /// Of an earlier version.
    Old,
    /// Of a later version.
    Future,
    /// Of another fleet.
    Foreign,
}

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Dropped::Length => "length",
            Dropped::Garbled => "garbled",
            Dropped::Old => "old",
            Dropped::Future => "future",
            Dropped::Foreign => "foreign",
        })
    }
}

fn digest(bytes: &[u8]) -> [u8; CHECKSUM] {
    let mut first = [0; CHECKSUM];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..CHECKSUM]);
    first
}

/// The datagram of a body: version, fleet, body, checksum. None if it would be too long.
#[must_use]
pub fn write(fleet: Fleet, body: &Body) -> Option<Vec<u8>> {
    // The version stands first and alone, so that it can be told whatever follows.
    let mut bytes = postcard::to_extend(&(fleet, body), vec![VERSION]).ok()?;
    bytes.extend(digest(&bytes));
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// The body of a datagram.
///
/// # Errors
/// Why it is dropped. Nothing of it is used then.
pub fn read(fleet: Fleet, datagram: &[u8]) -> Result<Body, Dropped> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(Dropped::Length);
    }
    let (bytes, checksum) = datagram.split_last_chunk::<CHECKSUM>().ok_or(Dropped::Length)?;
    // Danger: a bit that fell over on the way, taken for a newer life or a larger loan.
    if digest(bytes) != *checksum {
        return Err(Dropped::Garbled);
    }
    let (version, rest) = bytes.split_first().ok_or(Dropped::Length)?;
    if *version != VERSION {
        return Err(if *version < VERSION { Dropped::Old } else { Dropped::Future });
    }
    let (theirs, rest) = postcard::take_from_bytes::<Fleet>(rest).map_err(|_| Dropped::Garbled)?;
    if theirs != fleet {
        return Err(Dropped::Foreign);
    }
    match postcard::take_from_bytes::<Body>(rest) {
        Ok((body, [])) => Ok(body),
        _ => Err(Dropped::Garbled),
    }
}
