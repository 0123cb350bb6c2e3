//! Segments on the disk.

use std::collections::VecDeque;
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use usage::{begin, scan, Chain, End, Header, Record, Source, Writer, FORMAT};

/// How a segment's file is named: its number, so that names sort as numbers do.
const SUFFIX: &str = ".use";

/// When what was written is made to reach the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fsync {
    /// With each record. A kill of the machine loses none.
    Each,
    /// With each such number of records, and with each full segment. A kill of the machine loses as many.
    Every(u32),
    /// With full segments alone. A kill of the process loses none; one of the machine what the system held.
    Segments,
}

/// How much is kept, and how surely.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// A segment is full at so many bytes.
    pub segment_bytes: u64,
    /// All segments together: a record beyond is dropped. The newest goes, so that what is kept has no hole.
    pub total_bytes: u64,
    /// When it reaches the disk.
    pub fsync: Fsync,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Appended {
    /// It is in the spool.
    Kept,
    /// There is no room: by the policy, or on the disk.
    Dropped,
}

/// What is wrong with the spool on the disk, found at the start. No record that can be read is removed for
/// it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The last segment ended within a frame, after so many sound records: a write that was cut off. It goes
    /// on from there.
    Cut(PathBuf, usize),
    /// A segment is not what was written, from the record after so many on.
    Spoilt(PathBuf, usize),
    /// A segment does not follow on the one before: that one was cut, replaced by an older one, or is
    /// missing.
    Chain(PathBuf),
    /// Not even its header can be read. It is renamed, to `.spoilt`, and no part of the spool any more.
    Unreadable(PathBuf),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Cut(path, n) => {
                write!(f, "{}: cut off after {n} records; it goes on there", path.display())
            }
            Fault::Spoilt(path, n) => write!(f, "{}: spoilt after {n} records", path.display()),
            Fault::Chain(path) => write!(f, "{}: does not follow on the segment before", path.display()),
            Fault::Unreadable(path) => {
                write!(f, "{}: no header that can be read; renamed to .spoilt", path.display())
            }
        }
    }
}

/// Records of one source that were not acknowledged, oldest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// Who recorded them.
    pub source: Source,
    /// The segment that they are in.
    pub segment: u64,
    /// The records.
    pub records: Vec<Record>,
    /// Runs of sequence numbers, first and last, that no segment holds before or between these: dropped for
    /// want of room, or spoilt. They are lost for good.
    pub lost: Vec<(u64, u64)>,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    path: PathBuf,
    bytes: u64,
    /// The last sequence number in it; 0 if it has none.
    last: u64,
    source: Source,
}

/// A spool that is open.
#[derive(Debug)]
pub struct Spool {
    folder: PathBuf,
    policy: Policy,
    source: Source,
    segments: VecDeque<Segment>,
    open: Option<(File, Writer)>,
    /// The chain that the last segment ended in.
    chain: Chain,
    next: u64,
    bytes: u64,
    unsynced: u32,
    sequence: u64,
    dropped: u64,
}

impl Spool {
    /// Opens the spool in a folder for a new life of a gateway, and finds what earlier lives left there. A
    /// cut frame at the end is taken off; all else that is wrong is told and left.
    ///
    /// # Errors
    /// The folder or a segment can't be read, made or written.
    pub fn open(folder: &Path, policy: Policy, source: Source) -> io::Result<(Spool, Vec<Fault>)> {
        fs::create_dir_all(folder)?;
        let mut named: Vec<(u64, PathBuf)> = Vec::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            let stem = path.file_name().and_then(|n| n.to_str()).and_then(|n| n.strip_suffix(SUFFIX));
            if let Some(number) = stem.and_then(|stem| stem.parse().ok()) {
                named.push((number, path));
            }
        }
        named.sort_unstable();
        let mut spool = Spool {
            folder: folder.to_path_buf(),
            policy,
            source,
            segments: VecDeque::new(),
            open: None,
            chain: Chain::default(),
            next: 1,
            bytes: 0,
            unsynced: 0,
            sequence: 0,
            dropped: 0,
        };
        let (mut faults, many) = (Vec::new(), named.len());
        for (i, (number, path)) in named.into_iter().enumerate() {
            spool.found(number, path, i + 1 == many, &mut faults)?;
        }
        Ok((spool, faults))
    }

    fn found(&mut self, number: u64, path: PathBuf, newest: bool, faults: &mut Vec<Fault>) -> io::Result<()> {
        let bytes = fs::read(&path)?;
        let found = scan(&bytes);
        self.next = number + 1;
        let mut length = bytes.len() as u64;
        let Some(header) = found.header else {
            fs::rename(&path, path.with_extension("spoilt"))?;
            faults.push(Fault::Unreadable(path));
            return Ok(());
        };
        // The chain of a first segment that is there may begin anywhere: those before were acknowledged.
        if header.number != number || (!self.segments.is_empty() && header.previous != self.chain) {
            faults.push(Fault::Chain(path.clone()));
        }
        match found.end {
            End::Whole => {}
            End::Cut if newest => {
                faults.push(Fault::Cut(path.clone(), found.records.len()));
                length = found.good as u64;
                let file = OpenOptions::new().write(true).open(&path)?;
                file.set_len(length)?;
                file.sync_all()?;
            }
            End::Cut | End::Spoilt => faults.push(Fault::Spoilt(path.clone(), found.records.len())),
        }
        self.chain = found.chain;
        self.bytes += length;
        let last = found.records.last().map_or(0, |r| r.sequence);
        let source = header.source;
        self.segments.push_back(Segment { number, path, bytes: length, last, source });
        Ok(())
    }

    /// The last sequence number that was given, dropped ones too.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Records that were dropped in this life for want of room.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Bytes of all segments.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Gives a record the next sequence number and appends it. A dropped one has its number too, so that
    /// whoever counts sees that one is missing.
    ///
    /// # Errors
    /// The disk failed otherwise than for want of room: the record may be there or not.
    pub fn append(&mut self, mut record: Record) -> io::Result<Appended> {
        self.sequence += 1;
        record.sequence = self.sequence;
        match self.write(&record) {
            Ok(true) => Ok(Appended::Kept),
            Ok(false) => {
                self.dropped += 1;
                Ok(Appended::Dropped)
            }
            Err(e) if full(&e) => {
                self.dropped += 1;
                Ok(Appended::Dropped)
            }
            Err(e) => Err(e),
        }
    }

    fn write(&mut self, record: &Record) -> io::Result<bool> {
        if self.bytes >= self.policy.total_bytes {
            return Ok(false);
        }
        if self.open.is_none() && !self.begin()? {
            return Ok(false);
        }
        let Some((file, writer)) = &mut self.open else { return Ok(false) };
        let before = writer.chain();
        let Some(bytes) = writer.record(record) else { return Ok(false) };
        let segment = self.segments.back_mut().ok_or_else(|| io::Error::other("no segment"))?;
        if let Err(e) = file.write_all(&bytes) {
            // Danger: half a frame, and the next one behind it.
            *writer = Writer::after(before);
            file.set_len(segment.bytes)?;
            file.seek(SeekFrom::Start(segment.bytes))?;
            return Err(e);
        }
        segment.bytes += bytes.len() as u64;
        segment.last = record.sequence;
        self.bytes += bytes.len() as u64;
        self.chain = writer.chain();
        self.unsynced += 1;
        let is_full = segment.bytes >= self.policy.segment_bytes;
        let sync = match self.policy.fsync {
            Fsync::Each => true,
            Fsync::Every(n) => is_full || self.unsynced >= n,
            Fsync::Segments => is_full,
        };
        if sync {
            file.sync_data()?;
            self.unsynced = 0;
        }
        if is_full {
            self.open = None;
        }
        Ok(true)
    }

    /// Begins a segment; `false` if its header can't be one.
    fn begin(&mut self) -> io::Result<bool> {
        let (number, source) = (self.next, self.source.clone());
        let header = Header { format: FORMAT, number, source: source.clone(), previous: self.chain };
        let Some((writer, bytes)) = begin(&header) else { return Ok(false) };
        let path = self.folder.join(format!("{number:020}{SUFFIX}"));
        // Danger: a segment of another owner of the same folder, written over.
        let mut file = OpenOptions::new().write(true).create_new(true).open(&path)?;
        let written = file.write_all(&bytes).and_then(|()| file.sync_all());
        if let Err(e) = written.and_then(|()| File::open(&self.folder)?.sync_all()) {
            drop(file);
            fs::remove_file(&path)?;
            return Err(e);
        }
        let length = bytes.len() as u64;
        self.segments.push_back(Segment { number, path, bytes: length, last: 0, source });
        self.next += 1;
        self.bytes += length;
        self.chain = writer.chain();
        self.open = Some((file, writer));
        Ok(true)
    }

    /// The oldest segment's records that were not acknowledged beyond `upto` of its source; none where all
    /// is.
    ///
    /// # Errors
    /// A segment can't be read.
    pub fn unsent(&self, upto: impl Fn(&Source) -> u64) -> io::Result<Option<Found>> {
        for segment in &self.segments {
            let (source, counted) = (segment.source.clone(), upto(&segment.source));
            if segment.last > counted {
                let mut records = scan(&fs::read(&segment.path)?).records;
                records.retain(|r| r.sequence > counted);
                let before = std::iter::once(counted).chain(records.iter().map(|r| r.sequence));
                let gaps = before.zip(&records).filter(|(before, r)| *before + 1 < r.sequence);
                let lost = gaps.map(|(before, r)| (before + 1, r.sequence - 1)).collect();
                return Ok(Some(Found { source, segment: segment.number, records, lost }));
            }
        }
        Ok(None)
    }

    /// All records of each source up to here are counted elsewhere: segments with no others are removed,
    /// oldest first and none out of turn, so that the rest is a chain. The one that is written to stays.
    ///
    /// # Errors
    /// A segment can't be removed; it is offered again.
    pub fn acknowledge(&mut self, upto: impl Fn(&Source) -> u64) -> io::Result<()> {
        while let Some(first) = self.segments.front() {
            let written = self.open.is_some() && self.segments.len() == 1;
            if written || first.last > upto(&first.source) {
                return Ok(());
            }
            fs::remove_file(&first.path)?;
            self.bytes -= first.bytes;
            self.segments.pop_front();
        }
        Ok(())
    }
}

fn full(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
    )
}
