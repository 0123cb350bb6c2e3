//! The form of a state that goes from one process of a gateway to the next: what it is, a version, a checksum
//! and postcard. Whoever reads it gets the whole state or a reason, never a part.

use std::fmt;

use serde::{de::DeserializeOwned, Serialize};

/// What every file begins with.
const MAGIC: [u8; 4] = *b"slkm";
/// The version of the form. Another is refused: fields are read by their order.
const VERSION: u16 = 1;
const HEAD: usize = MAGIC.len() + size_of::<u16>() + blake3::OUT_LEN;

/// Why bytes can't be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// They are of something else.
    Foreign,
    /// They are of this version of the form, which is not the one that is read.
    Version(u16),
    /// The checksum does not fit: cut short or garbled.
    Garbled,
    /// They can't be written down, or hold another state.
    Shape,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Foreign => f.write_str("not a state of a gateway"),
            DecodeError::Version(v) => write!(f, "a state of version {v}; {VERSION} is read"),
            DecodeError::Garbled => f.write_str("cut short or garbled"),
            DecodeError::Shape => f.write_str("another state"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Seals a state of a kind, so that one kind is not read for another.
///
/// # Errors
/// [`Unsealed::Shape`] if it can't be written down.
pub fn encode<T: Serialize>(kind: &str, state: &T) -> Result<Vec<u8>, DecodeError> {
    let body = postcard::to_allocvec(state).map_err(|_| DecodeError::Shape)?;
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(sum(kind, &body).as_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Opens what [`seal`] made.
///
/// # Errors
/// [`Unsealed`] for bytes of anything else, of another version, of another kind, or spoilt on the way.
pub fn decode<T: DeserializeOwned>(kind: &str, bytes: &[u8]) -> Result<T, DecodeError> {
    let (magic, rest) = bytes.split_first_chunk::<4>().ok_or(DecodeError::Foreign)?;
    if *magic != MAGIC {
        return Err(DecodeError::Foreign);
    }
    let (version, rest) = rest.split_first_chunk::<2>().ok_or(DecodeError::Garbled)?;
    let version = u16::from_le_bytes(*version);
    if version != VERSION {
        return Err(DecodeError::Version(version));
    }
    let (told, body) = rest.split_first_chunk::<{ blake3::OUT_LEN }>().ok_or(DecodeError::Garbled)?;
    if sum(kind, body) != *told {
        return Err(DecodeError::Garbled);
    }
    postcard::from_bytes(body).map_err(|_| DecodeError::Shape)
}

fn sum(kind: &str, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(kind.len() as u64).to_le_bytes());
    hasher.update(kind.as_bytes());
    hasher.update(body);
    hasher.finalize()
}
