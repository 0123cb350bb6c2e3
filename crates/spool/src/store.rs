//! The segments of a spool.

use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use usage::{scan, HashChain, Record, ScanEnd, SegmentHeader, SegmentWriter, SequenceRange, Source, FORMAT};

use crate::fault::SpoolFault;

/// A segment's file is named by its number, with leading zeros, and this.
const SUFFIX: &str = ".use";
/// Extension of a file that is left out, as its header is not valid.
const UNREADABLE_EXTENSION: &str = "spoilt";

/// When records are flushed to the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FsyncPolicy {
    /// With each record. A crash of the machine loses none.
    EveryRecord,
    /// With each such number of records, and with each full segment. A crash of the machine loses as many.
    EveryRecords(u32),
    /// With each full segment. A kill of the process loses none, a crash of the machine what was not flushed.
    EverySegment,
}

/// How much is retained, and how surely.
#[derive(Clone, Copy, Debug)]
pub struct SpoolLimits {
    /// A segment is full at this size, bytes.
    pub segment_bytes: u64,
    /// Limit of all segments together, bytes. Beyond it the newest records are dropped, so that those
    /// retained have no gap.
    pub total_bytes: u64,
    /// When records are flushed to the disk.
    pub fsync: FsyncPolicy,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It is in the spool.
    Stored,
    /// There was no room for it, by the limits or on the disk.
    Dropped,
}

/// Unacknowledged records of one segment, oldest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsentRecords {
    /// Who recorded them.
    pub source: Source,
    /// Number of the segment.
    pub segment: u64,
    /// The records.
    pub records: Vec<Record>,
    /// Sequence numbers before or between them that no segment has: they were dropped or are corrupt, and
    /// lost for good.
    pub lost: Vec<SequenceRange>,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    path: PathBuf,
    bytes: u64,
    /// The last sequence number in it; 0 if it has none.
    last_sequence: u64,
    source: Source,
}

/// The segment that records are appended to.
#[derive(Debug)]
struct OpenSegment {
    file: File,
    writer: SegmentWriter,
}

/// A file with the name of a segment.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SegmentFile {
    number: u64,
    path: PathBuf,
}

/// An open spool.
#[derive(Debug)]
pub struct Spool {
    directory: PathBuf,
    limits: SpoolLimits,
    source: Source,
    segments: VecDeque<Segment>,
    open: Option<OpenSegment>,
    /// The chain at the end of the last segment.
    chain: HashChain,
    next_number: u64,
    bytes: u64,
    /// Records that were not flushed yet.
    unflushed: u32,
    last_sequence: u64,
    dropped: u64,
}

impl Spool {
    /// Opens the spool in a directory for a new incarnation of a gateway, with what earlier ones left. A
    /// truncated frame at the end is removed; all other faults are reported and left.
    ///
    /// # Errors
    /// The directory or a segment cannot be read, created or written.
    pub fn open(
        directory: &Path,
        limits: SpoolLimits,
        source: Source,
    ) -> io::Result<(Spool, Vec<SpoolFault>)> {
        fs::create_dir_all(directory)?;
        let mut spool = Spool {
            directory: directory.to_path_buf(),
            limits,
            source,
            segments: VecDeque::new(),
            open: None,
            chain: HashChain::default(),
            next_number: 1,
            bytes: 0,
            unflushed: 0,
            last_sequence: 0,
            dropped: 0,
        };
        let mut faults = Vec::new();
        let files = segment_files(directory)?;
        let count = files.len();
        for (i, file) in files.into_iter().enumerate() {
            let is_newest = i + 1 == count;
            spool.load(file, is_newest, &mut faults)?;
        }
        Ok((spool, faults))
    }

    /// Loads a segment of an earlier incarnation.
    fn load(&mut self, file: SegmentFile, is_newest: bool, faults: &mut Vec<SpoolFault>) -> io::Result<()> {
        let SegmentFile { number, path } = file;
        let bytes = fs::read(&path)?;
        let scanned = scan(&bytes);
        self.next_number = number + 1;
        let Some(header) = scanned.header else {
            fs::rename(&path, path.with_extension(UNREADABLE_EXTENSION))?;
            faults.push(SpoolFault::Unreadable { path });
            return Ok(());
        };
        // The chain of the first segment may begin anywhere: those before were acknowledged.
        let follows = self.segments.is_empty() || header.previous == self.chain;
        if header.number != number || !follows {
            faults.push(SpoolFault::BrokenChain { path: path.clone() });
        }
        let mut length = bytes.len() as u64;
        let records = scanned.records.len();
        match scanned.end {
            ScanEnd::Complete => {}
            ScanEnd::Truncated if is_newest => {
                faults.push(SpoolFault::Truncated { path: path.clone(), records });
                length = scanned.valid_bytes as u64;
                truncate(&path, length)?;
            }
            ScanEnd::Truncated | ScanEnd::Corrupt => {
                faults.push(SpoolFault::Corrupt { path: path.clone(), records });
            }
        }
        self.chain = scanned.chain;
        self.bytes += length;
        let last_sequence = scanned.records.last().map_or(0, |record| record.sequence);
        self.segments.push_back(Segment {
            number,
            path,
            bytes: length,
            last_sequence,
            source: header.source,
        });
        Ok(())
    }

    /// The last sequence number that was given, dropped records included.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Records that this incarnation dropped for want of room.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Size of all segments, bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Appends a record with the next sequence number. A dropped record takes a number too, so that its loss
    /// shows in the sequence.
    ///
    /// # Errors
    /// The disk failed other than for want of room: the record may be stored or not.
    pub fn append(&mut self, mut record: Record) -> io::Result<AppendOutcome> {
        self.last_sequence += 1;
        record.sequence = self.last_sequence;
        let outcome = match self.write(&record) {
            Err(error) if is_disk_full(&error) => AppendOutcome::Dropped,
            written => written?,
        };
        if outcome == AppendOutcome::Dropped {
            self.dropped += 1;
        }
        Ok(outcome)
    }

    fn write(&mut self, record: &Record) -> io::Result<AppendOutcome> {
        if self.bytes >= self.limits.total_bytes || !self.ensure_open_segment()? {
            return Ok(AppendOutcome::Dropped);
        }
        let Some(OpenSegment { file, writer }) = &mut self.open else { return Ok(AppendOutcome::Dropped) };
        let chain_before = writer.chain();
        let Some(bytes) = writer.record(record) else { return Ok(AppendOutcome::Dropped) };
        let segment = self.segments.back_mut().ok_or_else(|| io::Error::other("no segment"))?;
        if let Err(error) = file.write_all(&bytes) {
            // No frame may follow half a frame.
            *writer = SegmentWriter::resume(chain_before);
            file.set_len(segment.bytes)?;
            file.seek(SeekFrom::Start(segment.bytes))?;
            return Err(error);
        }
        segment.bytes += bytes.len() as u64;
        segment.last_sequence = record.sequence;
        self.bytes += bytes.len() as u64;
        self.chain = writer.chain();
        let is_full = segment.bytes >= self.limits.segment_bytes;
        self.flush_if_due(is_full)?;
        if is_full {
            self.open = None;
        }
        Ok(AppendOutcome::Stored)
    }

    /// Counts a record that was written, and flushes if it is time for it.
    fn flush_if_due(&mut self, segment_is_full: bool) -> io::Result<()> {
        self.unflushed += 1;
        let is_due = match self.limits.fsync {
            FsyncPolicy::EveryRecord => true,
            FsyncPolicy::EveryRecords(records) => segment_is_full || self.unflushed >= records,
            FsyncPolicy::EverySegment => segment_is_full,
        };
        if let Some(open) = self.open.as_ref().filter(|_| is_due) {
            open.file.sync_data()?;
            self.unflushed = 0;
        }
        Ok(())
    }

    /// Begins a segment if none is open. Returns `false` if its header is too long for a frame.
    fn ensure_open_segment(&mut self) -> io::Result<bool> {
        if self.open.is_some() {
            return Ok(true);
        }
        let number = self.next_number;
        let source = self.source.clone();
        let header = SegmentHeader { format: FORMAT, number, source: source.clone(), previous: self.chain };
        let Some((writer, header_bytes)) = SegmentWriter::begin(&header) else { return Ok(false) };
        let path = self.directory.join(format!("{number:020}{SUFFIX}"));
        let file = self.create_segment_file(&path, &header_bytes)?;
        let bytes = header_bytes.len() as u64;
        self.segments.push_back(Segment { number, path, bytes, last_sequence: 0, source });
        self.next_number += 1;
        self.bytes += bytes;
        self.chain = writer.chain();
        self.open = Some(OpenSegment { file, writer });
        Ok(true)
    }

    /// Creates a file with the header of a segment; a file of another owner of the directory is never
    /// overwritten.
    fn create_segment_file(&self, path: &Path, header: &[u8]) -> io::Result<File> {
        let mut file = OpenOptions::new().write(true).create_new(true).open(path)?;
        let written = file.write_all(header).and_then(|()| file.sync_all());
        if let Err(error) = written.and_then(|()| File::open(&self.directory)?.sync_all()) {
            drop(file);
            fs::remove_file(path)?;
            return Err(error);
        }
        Ok(file)
    }

    /// The unacknowledged records of the oldest segment that has some; none if there are none.
    /// `acknowledged_upto` tells the last sequence number of each source that is acknowledged.
    ///
    /// # Errors
    /// A segment cannot be read.
    pub fn unsent(&self, acknowledged_upto: impl Fn(&Source) -> u64) -> io::Result<Option<UnsentRecords>> {
        for segment in &self.segments {
            let acknowledged = acknowledged_upto(&segment.source);
            if segment.last_sequence > acknowledged {
                let mut records = scan(&fs::read(&segment.path)?).records;
                records.retain(|record| record.sequence > acknowledged);
                return Ok(Some(UnsentRecords {
                    source: segment.source.clone(),
                    segment: segment.number,
                    lost: gaps(acknowledged, &records),
                    records,
                }));
            }
        }
        Ok(None)
    }

    /// Removes segments whose records are all acknowledged, oldest first and without a gap, so that the
    /// others are a chain. The open one stays.
    ///
    /// # Errors
    /// A segment cannot be removed; it is offered again.
    pub fn acknowledge(&mut self, acknowledged_upto: impl Fn(&Source) -> u64) -> io::Result<()> {
        while let Some(oldest) = self.segments.front() {
            let is_open = self.open.is_some() && self.segments.len() == 1;
            if is_open || oldest.last_sequence > acknowledged_upto(&oldest.source) {
                return Ok(());
            }
            fs::remove_file(&oldest.path)?;
            self.bytes -= oldest.bytes;
            self.segments.pop_front();
        }
        Ok(())
    }
}

/// The files in a directory that are named as segments, in the order of their numbers.
fn segment_files(directory: &Path) -> io::Result<Vec<SegmentFile>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number = name.and_then(|name| name.strip_suffix(SUFFIX)).and_then(|stem| stem.parse().ok());
        if let Some(number) = number {
            files.push(SegmentFile { number, path });
        }
    }
    files.sort_unstable();
    Ok(files)
}

fn truncate(path: &Path, length: u64) -> io::Result<()> {
    let file = OpenOptions::new().write(true).open(path)?;
    file.set_len(length)?;
    file.sync_all()
}

/// Sequence numbers after `acknowledged` that are missing before or between the records.
fn gaps(acknowledged: u64, records: &[Record]) -> Vec<SequenceRange> {
    let before = std::iter::once(acknowledged).chain(records.iter().map(|record| record.sequence));
    let gap = |(before, record): (u64, &Record)| {
        let gap = SequenceRange { first: before + 1, last: record.sequence - 1 };
        (gap.first <= gap.last).then_some(gap)
    };
    before.zip(records).filter_map(gap).collect()
}

fn is_disk_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
    )
}
