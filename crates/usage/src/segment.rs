//! Segments of records: frames with length, checksum and a hash chain.
//!
//! ```text
//!  frame    = length (4 bytes, little-endian) | body | checksum (8 bytes)
//!  chain    = BLAKE3(chain before | length | body); checksum = its first 8 bytes
//!  segment  = frame of the header, frames of records
//!  header   = names the chain at the end of the segment before
//! ```
//!
//! A segment that was cut short, has a flipped bit, lost or gained a frame, or was replaced shows in its
//! checksums or in the `previous` of the next one.

use serde::{Deserialize, Serialize};

use crate::record::{Record, Source};

/// The format that is written, and the only one that is read.
pub const FORMAT: u16 = 1;
/// The longest body of a frame, bytes.
pub const MAX_FRAME_BYTES: usize = 1024;
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;

/// The BLAKE3 hash of all frames so far.
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

/// The first frame of a segment. The order of the fields is the stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentHeader {
    /// [`FORMAT`].
    pub format: u16,
    /// Number of the segment; the first is 1.
    pub number: u64,
    /// Who records.
    pub source: Source,
    /// The chain at the end of the segment before.
    pub previous: HashChain,
}

/// Encodes the frames of one segment.
#[derive(Debug)]
pub struct SegmentWriter {
    chain: HashChain,
}

impl SegmentWriter {
    /// Begins a segment. Returns its writer and the bytes of its header; none if the header is too long for a
    /// frame.
    #[must_use]
    pub fn begin(header: &SegmentHeader) -> Option<(SegmentWriter, Vec<u8>)> {
        let mut writer = SegmentWriter { chain: HashChain::default() };
        let bytes = writer.frame(&postcard::to_allocvec(header).ok()?)?;
        Some((writer, bytes))
    }

    /// Continues a segment after that chain.
    #[must_use]
    pub fn resume(chain: HashChain) -> SegmentWriter {
        SegmentWriter { chain }
    }

    /// The chain so far.
    #[must_use]
    pub fn chain(&self) -> HashChain {
        self.chain
    }

    /// The bytes of a record's frame; none, with nothing changed, if it is too long for a frame.
    #[must_use]
    pub fn record(&mut self, record: &Record) -> Option<Vec<u8>> {
        self.frame(&postcard::to_allocvec(record).ok()?)
    }

    fn frame(&mut self, body: &[u8]) -> Option<Vec<u8>> {
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

/// Where the valid part of a segment ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanEnd {
    /// With its last byte.
    Complete,
    /// Within a frame: the write of it was cut short, if this is the last segment.
    Truncated,
    /// At a frame that is not what was written.
    Corrupt,
}

/// The valid part of a segment.
#[derive(Clone, Debug)]
pub struct ScannedSegment {
    /// The header; none if it is not valid.
    pub header: Option<SegmentHeader>,
    /// The records, in order.
    pub records: Vec<Record>,
    /// Length of the valid part, bytes.
    pub valid_bytes: usize,
    /// The chain at its end.
    pub chain: HashChain,
    /// Why it ends there.
    pub end: ScanEnd,
}

impl ScannedSegment {
    /// Takes the body of the next frame. Returns whether it is valid.
    fn take(&mut self, body: &[u8]) -> bool {
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

/// Reads a segment up to the first byte that is not valid.
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
        if !segment.take(frame.body) {
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
    /// The chain after the frame.
    chain: HashChain,
}

fn read_frame<'a>(bytes: &'a [u8], before: &HashChain) -> Result<Frame<'a>, ScanEnd> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_BYTES>().ok_or(ScanEnd::Truncated)?;
    let length = u32::from_le_bytes(*length) as usize;
    // A length with a flipped bit must not pass for a frame that goes on past the end.
    if length > MAX_FRAME_BYTES {
        return Err(ScanEnd::Corrupt);
    }
    let body = rest.get(..length).ok_or(ScanEnd::Truncated)?;
    let checksum = rest.get(length..length + CHECKSUM_BYTES).ok_or(ScanEnd::Truncated)?;
    let chain = before.after(body);
    if chain.checksum() != checksum {
        return Err(ScanEnd::Corrupt);
    }
    Ok(Frame { body, chain })
}
