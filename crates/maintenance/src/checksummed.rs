//! Encoding of state that processes of a gateway exchange: magic bytes, version, checksum, and the state in
//! postcard format. A reader gets the complete state or an error, never a part.

use std::fmt;

use serde::{de::DeserializeOwned, Serialize};

/// First bytes of every encoded state.
const MAGIC: [u8; 4] = *b"slkm";
/// Version of the encoding. Other versions are rejected because fields are decoded by position.
const VERSION: u16 = 1;
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u16>() + blake3::OUT_LEN;

/// Why bytes cannot be decoded, or a state cannot be encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes are not an encoded state.
    BadMagic,
    /// The encoding has this version, which is not supported.
    UnsupportedVersion(u16),
    /// The bytes are truncated or the checksum does not match.
    Corrupted,
    /// The bytes do not decode to the expected type, or a state cannot be encoded.
    InvalidState,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::BadMagic => f.write_str("not a state of a gateway"),
            DecodeError::UnsupportedVersion(version) => {
                write!(f, "a state of version {version}; {VERSION} is read")
            }
            DecodeError::Corrupted => f.write_str("cut short or garbled"),
            DecodeError::InvalidState => f.write_str("another state"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// Encodes a state. The checksum covers `kind`, so that a state of one kind can't be decoded as another.
///
/// # Errors
/// Returns [`DecodeError::InvalidState`] if the state cannot be encoded.
pub fn encode<T: Serialize>(kind: &str, state: &T) -> Result<Vec<u8>, DecodeError> {
    let body = postcard::to_allocvec(state).map_err(|_| DecodeError::InvalidState)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(checksum(kind, &body).as_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a state encoded by [`encode`].
///
/// # Errors
/// Returns an error if the bytes are not an encoded state, have another version or kind, or were changed.
pub fn decode<T: DeserializeOwned>(kind: &str, bytes: &[u8]) -> Result<T, DecodeError> {
    let (magic, rest) = bytes.split_first_chunk::<{ MAGIC.len() }>().ok_or(DecodeError::BadMagic)?;
    if *magic != MAGIC {
        return Err(DecodeError::BadMagic);
    }
    let (version, rest) = rest.split_first_chunk::<{ size_of::<u16>() }>().ok_or(DecodeError::Corrupted)?;
    let version = u16::from_le_bytes(*version);
    if version != VERSION {
        return Err(DecodeError::UnsupportedVersion(version));
    }
    let (stored, body) = rest.split_first_chunk::<{ blake3::OUT_LEN }>().ok_or(DecodeError::Corrupted)?;
    if checksum(kind, body) != *stored {
        return Err(DecodeError::Corrupted);
    }
    postcard::from_bytes(body).map_err(|_| DecodeError::InvalidState)
}

fn checksum(kind: &str, body: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(kind.len() as u64).to_le_bytes());
    hasher.update(kind.as_bytes());
    hasher.update(body);
    hasher.finalize()
}
