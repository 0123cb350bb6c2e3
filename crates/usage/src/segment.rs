//! Segments of records: frames with length, check and a hash chain.
//!
//! ```text
//!  frame  = length (4 bytes, little-endian) | body | check (8 bytes)
//!  chain  = BLAKE3(chain before | length | body); check = its first 8 bytes
//!  segment = frame of the header, frames of records
//!  header  = names the chain that the segment before ended in
//! ```
//!
//! A segment that was cut, has a flipped bit, lost or gained a frame, or stands in for another one shows in
//! its checks, or in the `previous` of the next.

use serde::{Deserialize, Serialize};

use crate::record::{Record, Source};

/// The format that is written, and the only one that is read.
pub const FORMAT: u16 = 1;
/// The longest body of a frame, bytes.
pub const MAX_FRAME_BYTES: usize = 1024;
const LENGTH: usize = 4;
const CHECK: usize = 8;

/// The state of a chain: the BLAKE3 hash of all frames up to here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain([u8; 32]);

impl Chain {
    fn then(&self, body: &[u8]) -> Chain {
        let mut hash = blake3::Hasher::new();
        hash.update(&self.0).update(&(body.len() as u32).to_le_bytes()).update(body);
        Chain(*hash.finalize().as_bytes())
    }

    fn check(&self) -> &[u8] {
        &self.0[..CHECK]
    }
}

/// What a segment begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// [`FORMAT`].
    pub format: u16,
    /// The segment's number; the first is 1.
    pub number: u64,
    /// Who recorded.
    pub source: Source,
    /// The chain that the segment before ended in.
    pub previous: Chain,
}

/// Writes frames of one segment.
#[derive(Debug)]
pub struct Writer {
    chain: Chain,
}

/// Begins a segment: its writer, and the bytes of its header. None if the header is too long to be one.
#[must_use]
pub fn begin(header: &Header) -> Option<(Writer, Vec<u8>)> {
    let mut writer = Writer { chain: Chain::default() };
    let bytes = writer.frame(&postcard::to_allocvec(header).ok()?)?;
    Some((writer, bytes))
}

impl Writer {
    /// Goes on with a segment that was scanned.
    #[must_use]
    pub fn after(chain: Chain) -> Writer {
        Writer { chain }
    }

    /// The chain so far.
    #[must_use]
    pub fn chain(&self) -> Chain {
        self.chain
    }

    fn frame(&mut self, body: &[u8]) -> Option<Vec<u8>> {
        if body.len() > MAX_FRAME_BYTES {
            return None;
        }
        self.chain = self.chain.then(body);
        let mut bytes = Vec::with_capacity(LENGTH + body.len() + CHECK);
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(self.chain.check());
        Some(bytes)
    }

    /// The bytes of a record's frame; none if its plan's name is too long to be one, and then nothing is
    /// changed.
    #[must_use]
    pub fn record(&mut self, record: &Record) -> Option<Vec<u8>> {
        self.frame(&postcard::to_allocvec(record).ok()?)
    }
}

/// How the reading of a segment ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With its last byte.
    Whole,
    /// Within a frame: the write of it was cut off, if this is the last segment.
    Cut,
    /// At a frame that is not what was written.
    Spoilt,
}

/// What a segment holds.
#[derive(Clone, Debug)]
pub struct Scan {
    /// None if not even that can be read.
    pub header: Option<Header>,
    /// Records up to the end, in order.
    pub records: Vec<Record>,
    /// Bytes up to there.
    pub good: usize,
    /// The chain there.
    pub chain: Chain,
    /// How it ended.
    pub end: End,
}

/// Reads a segment up to the first byte that is not sound.
#[must_use]
pub fn scan(bytes: &[u8]) -> Scan {
    let mut found =
        Scan { header: None, records: Vec::new(), good: 0, chain: Chain::default(), end: End::Whole };
    while found.good < bytes.len() {
        match frame(&bytes[found.good..], &found.chain) {
            Ok((body, chain)) => {
                let sound = if found.header.is_none() {
                    found.header = postcard::from_bytes(body).ok().filter(|h: &Header| h.format == FORMAT);
                    found.header.is_some()
                } else {
                    let read: Option<Record> = postcard::from_bytes(body).ok();
                    let next = read.filter(|r| found.records.last().is_none_or(|l| l.sequence < r.sequence));
                    let sound = next.is_some();
                    found.records.extend(next);
                    sound
                };
                if !sound {
                    found.end = End::Spoilt;
                    return found;
                }
                found.good += LENGTH + body.len() + CHECK;
                found.chain = chain;
            }
            Err(end) => {
                found.end = end;
                return found;
            }
        }
    }
    found
}

fn frame<'a>(bytes: &'a [u8], before: &Chain) -> Result<(&'a [u8], Chain), End> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH>().ok_or(End::Cut)?;
    let length = u32::from_le_bytes(*length) as usize;
    // Danger: a length with a flipped bit, taken for a frame that goes on past the end.
    if length > MAX_FRAME_BYTES {
        return Err(End::Spoilt);
    }
    let body = rest.get(..length).ok_or(End::Cut)?;
    let check = rest.get(length..length + CHECK).ok_or(End::Cut)?;
    let chain = before.then(body);
    if chain.check() == check {
        Ok((body, chain))
    } else {
        Err(End::Spoilt)
    }
}
