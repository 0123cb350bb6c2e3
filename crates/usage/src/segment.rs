//! Format of segments: frames of records with length, checksum and a hash chain.
//!
//! ```text
//!  frame    = length (4 bytes, little-endian) | body | checksum (8 bytes)
//!  chain    = BLAKE3(previous chain | length | body); checksum = its first 8 bytes
//!  segment  = frame of the header, frames of records
//!  header   = contains the chain at the end of the previous segment
//! ```
//!
//! A segment that was truncated, has a flipped bit, lost or gained a frame, or was replaced is detected by
//! its checksums or by `previous` in the next segment.

use serde::{Deserialize, Serialize};

use crate::record::{Record, Source};

/// Version of the format that is written, and the only one that is read.
pub const FORMAT: u16 = 1;
/// Maximum length of the body of a frame, bytes.
pub const MAX_FRAME_BYTES: usize = 1024;
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;

/// BLAKE3 hash of all frames so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HashChain([u8; 32]);

impl HashChain {
    fn after(&self, body: &[u8]) -> HashChain {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(&(body.len() as u32).to_le_bytes());
        hasher.update(body);
        HashChain(*hasher.finalize().as_bytes())
    }

    fn checksum(&self) -> &[u8] {
        &self.0[..CHECKSUM_BYTES]
    }
}

/// The first frame of a segment. The order of the fields defines the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// Version of the format, [`FORMAT`].
    pub format: u16,
    /// Number of the segment; the first is 1.
    pub number: u64,
    /// Source of the records.
    pub source: Source,
    /// Chain at the end of the previous segment.
    pub previous: HashChain,
}

/// Encodes the frames of one segment.
#[derive(Debug)]
pub struct SegmentWriter {
    chain: HashChain,
}

impl SegmentWriter {
    /// Begins a segment. Returns its writer and the encoded header, or `None` if the header is too long for a
    /// frame.
    #[must_use]
    pub fn begin(header: &SegmentHeader) -> Option<(SegmentWriter, Vec<u8>)> {
        let mut writer = SegmentWriter { chain: HashChain::default() };
        let bytes = writer.encode_frame(&postcard::to_allocvec(header).ok()?)?;
        Some((writer, bytes))
    }

    /// Creates a writer that continues a segment whose last frame has the chain `chain`.
    #[must_use]
    pub fn resume(chain: HashChain) -> SegmentWriter {
        SegmentWriter { chain }
    }

    /// Returns the chain after the last frame.
    #[must_use]
    pub fn chain(&self) -> HashChain {
        self.chain
    }

    /// Encodes the frame of a record. Returns `None` without changing the chain if the record is too long for
    /// a frame.
    #[must_use]
    pub fn record(&mut self, record: &Record) -> Option<Vec<u8>> {
        self.encode_frame(&postcard::to_allocvec(record).ok()?)
    }

    fn encode_frame(&mut self, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() > MAX_FRAME_BYTES {
            return None;
        }
        self.chain = self.chain.after(body);
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len() + CHECKSUM_BYTES);
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(self.chain.checksum());
        Some(bytes)
    }
}

/// How the valid part of a segment ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanEnd {
    /// At the end of the segment.
    Complete,
    /// Within a frame. In the last segment the cause is an interrupted write.
    Truncated,
    /// At a corrupt frame.
    Corrupt,
}

/// The valid part of a segment.
#[derive(Clone, Debug)]
pub struct ScannedSegment {
    /// The header; `None` if it is invalid.
    pub header: Option<SegmentHeader>,
    /// The records, in order.
    pub records: Vec<Record>,
    /// Length of the valid part, bytes.
    pub valid_bytes: usize,
    /// Chain at the end of the valid part.
    pub chain: HashChain,
    /// How the valid part ends.
    pub end: ScanEnd,
}

impl ScannedSegment {
    /// Adds the body of the next frame. Returns whether it is valid.
    fn add_frame(&mut self, body: &[u8]) -> bool {
        if self.header.is_none() {
            let header: Option<SegmentHeader> = postcard::from_bytes(body).ok();
            self.header = header.filter(|header| header.format == FORMAT);
            return self.header.is_some();
        }
        let Ok(record) = postcard::from_bytes::<Record>(body) else { return false };
        if self.records.last().is_some_and(|last| last.sequence >= record.sequence) {
            return false;
        }
        self.records.push(record);
        true
    }
}

/// Reads a segment up to the first invalid frame.
#[must_use]
pub fn scan(bytes: &[u8]) -> ScannedSegment {
    let mut segment = ScannedSegment {
        header: None,
        records: Vec::new(),
        valid_bytes: 0,
        chain: HashChain::default(),
        end: ScanEnd::Complete,
    };
    while segment.valid_bytes < bytes.len() {
        let frame = match read_frame(&bytes[segment.valid_bytes..], &segment.chain) {
            Ok(frame) => frame,
            Err(end) => {
                segment.end = end;
                return segment;
            }
        };
        if !segment.add_frame(frame.body) {
            segment.end = ScanEnd::Corrupt;
            return segment;
        }
        segment.valid_bytes += LENGTH_BYTES + frame.body.len() + CHECKSUM_BYTES;
        segment.chain = frame.chain;
    }
    segment
}

struct Frame<'a> {
    body: &'a [u8],
    /// Chain after the frame.
    chain: HashChain,
}

fn read_frame<'a>(bytes: &'a [u8], previous: &HashChain) -> Result<Frame<'a>, ScanEnd> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>().ok_or(ScanEnd::Truncated)?;
    let length = u32::from_le_bytes(*length) as usize;
    // A length with a flipped bit must not be taken for a frame that is truncated by the end of the segment.
    if length > MAX_FRAME_BYTES {
        return Err(ScanEnd::Corrupt);
    }
    let body = rest.get(..length).ok_or(ScanEnd::Truncated)?;
    let checksum = rest.get(length..length + CHECKSUM_BYTES).ok_or(ScanEnd::Truncated)?;
    let chain = previous.after(body);
    if chain.checksum() != checksum {
        return Err(ScanEnd::Corrupt);
    }
    Ok(Frame { body, chain })
}
