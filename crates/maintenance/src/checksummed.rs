//! The form of a state that goes from one process of a gateway to the next: magic, version, checksum and
//! postcard. A reader gets the whole state or an error, never a part.

use std::fmt;

use serde::{de::DeserializeOwned, Serialize};

/// The first bytes of every file.
const MAGIC: [u8; 4] = *b"slkm";
/// The version of the form. Others are rejected: fields are read by their order.
const VERSION: u16 = 1;
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u16>() + blake3::OUT_LEN;

/// Why bytes cannot be decoded, or a state cannot be encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes are something else.
    Foreign,
    /// They are of this version of the form, which is not [`VERSION`].
    Version(u16),
    /// The checksum is wrong: they were cut short or changed.
    Garbled,
    /// They hold a state of another shape; or a state cannot be encoded.
    Shape,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Foreign => f.write_str("not a state of a gateway"),
            DecodeError::Version(version) => write!(f, "a state of version {version}; {VERSION} is read"),
            DecodeError::Garbled => f.write_str("cut short or garbled"),
            DecodeError::Shape => f.write_str("another state"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a state. `kind` enters the checksum, so that a state of one kind is not read as another.
///
/// # Errors
/// [`DecodeError::Shape`] if the state cannot be encoded.
pub fn encode<T: Serialize>(kind: &str, state: &T) -> Result<Vec<u8>, DecodeError> {
    let body = postcard::to_allocvec(state).map_err(|_| DecodeError::Shape)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(checksum(kind, &body).as_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// [`DecodeError`] for bytes of something else, of another version or kind, or changed since.
pub fn decode<T: DeserializeOwned>(kind: &str, bytes: &[u8]) -> Result<T, DecodeError> {
    let (magic, rest) = bytes.split_first_chunk::<{ MAGIC.len() }>().ok_or(DecodeError::Foreign)?;
    if *magic != MAGIC {
        return Err(DecodeError::Foreign);
    }
    let (version, rest) = rest.split_first_chunk::<{ size_of::<u16>() }>().ok_or(DecodeError::Garbled)?;
    let version = u16::from_le_bytes(*version);
    if version != VERSION {
        return Err(DecodeError::Version(version));
    }
    let (stored, body) = rest.split_first_chunk::<{ blake3::OUT_LEN }>().ok_or(DecodeError::Garbled)?;
    if checksum(kind, body) != *stored {
        return Err(DecodeError::Garbled);
    }
    postcard::from_bytes(body).map_err(|_| DecodeError::Shape)
}

fn checksum(kind: &str, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(kind.len() as u64).to_le_bytes());
    hasher.update(kind.as_bytes());
    hasher.update(body);
    hasher.finalize()
}
