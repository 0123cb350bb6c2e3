//! The spool and its segments.

use std::collections::VecDeque;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use usage::{scan, HashChain, Record, ScanEnd, SegmentHeader, SegmentWriter, SequenceRange, Source, FORMAT};

use crate::fault::SpoolFault;

/// Suffix of segment files; the number of the segment with leading zeros precedes it.
const SEGMENT_SUFFIX: &str = ".use";
/// Extension of segment files that are ignored because their header is invalid.
const UNREADABLE_EXTENSION: &str = "spoilt";

/// Policy for flushing records to the disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FsyncPolicy {
    /// After each record. A crash of the machine loses no record.
    EveryRecord,
    /// After this many records and after each full segment. A crash of the machine loses at most this many
    /// records.
    EveryRecords(u32),
    /// After each full segment. A crash of the machine loses the records that were not flushed; a kill of the
    /// process loses none.
    EverySegment,
}

/// Size limits and flush policy of a spool.
#[derive(Clone, Copy, Debug)]
pub struct SpoolLimits {
    /// Size at which a segment is full, bytes.
    pub segment_bytes: u64,
    /// Size limit of all segments together, bytes. Beyond it new records are dropped, so that the retained
    /// ones have no gap.
    pub total_bytes: u64,
    /// Policy for flushing records to the disk.
    pub fsync: FsyncPolicy,
}

/// Outcome of [`Spool::append`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the spool.
    Stored,
    /// The record was dropped: the spool is at its size limit, the disk is full, or the record or the header
    /// of its segment is too long for a frame.
    Dropped,
}

/// Unacknowledged records of one segment, oldest first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsentRecords {
    /// Source of the records.
    pub source: Source,
    /// Number of the segment.
    pub segment: u64,
    /// The records.
    pub records: Vec<Record>,
    /// Missing sequence numbers before or between the records: these records were dropped or are corrupt, and
    /// are lost for good.
    pub lost: Vec<SequenceRange>,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    path: PathBuf,
    bytes: u64,
    /// Last sequence number in the segment; 0 if it has no records.
    last_sequence: u64,
    source: Source,
}

/// The segment that records are appended to.
#[derive(Debug)]
struct OpenSegment {
    file: File,
    writer: SegmentWriter,
}

/// A file whose name is that of a segment.
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
    /// Chain at the end of the last segment.
    chain: HashChain,
    next_number: u64,
    bytes: u64,
    /// Number of records that are not flushed yet.
    unflushed: u32,
    last_sequence: u64,
    dropped: u64,
}

impl Spool {
    /// Opens the spool in a directory for a new incarnation of a gateway, with the segments that earlier ones
    /// left. A truncated frame at the end of the last segment is removed, and a segment with an invalid
    /// header is renamed; other faults are only reported.
    ///
    /// # Errors
    /// An error if the directory or a segment cannot be read, created or written.
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
        // The first segment may continue any chain, as the segments before it may have been acknowledged and
        // removed.
        let continues_chain = self.segments.is_empty() || header.previous == self.chain;
        if header.number != number || !continues_chain {
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

    /// Returns the last sequence number that was assigned, including those of dropped records.
    #[must_use]
    pub fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Returns the number of records that this incarnation dropped, see [`AppendOutcome::Dropped`].
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the size of all segments, bytes.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Appends a record with the next sequence number. A dropped record also uses up a number, so that the
    /// gap shows the loss.
    ///
    /// # Errors
    /// An error of the disk other than lack of space; the record may or may not be stored.
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
        let segment = self.segments.back_mut().ok_or_else(|| io::Error::other("the spool has no segment"))?;
        if let Err(error) = file.write_all(&bytes) {
            // Removes a partially written frame, as no frame may follow it.
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

    /// Counts a written record and flushes the segment if the policy requires it.
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

    /// Begins a segment if none is open. Returns `false` if the header is too long for a frame.
    fn ensure_open_segment(&mut self) -> io::Result<bool> {
        if self.open.is_some() {
            return Ok(true);
        }
        let number = self.next_number;
        let source = self.source.clone();
        let header = SegmentHeader { format: FORMAT, number, source: source.clone(), previous: self.chain };
        let Some((writer, header_bytes)) = SegmentWriter::begin(&header) else { return Ok(false) };
        let path = self.directory.join(format!("{number:020}{SEGMENT_SUFFIX}"));
        let file = self.create_segment_file(&path, &header_bytes)?;
        let bytes = header_bytes.len() as u64;
        self.segments.push_back(Segment { number, path, bytes, last_sequence: 0, source });
        self.next_number += 1;
        self.bytes += bytes;
        self.chain = writer.chain();
        self.open = Some(OpenSegment { file, writer });
        Ok(true)
    }

    /// Creates the file of a segment with its header. Fails if the file exists, so that a file of another
    /// process in the directory is never overwritten.
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

    /// Returns the unacknowledged records of the oldest segment that has any, or `None`. `acknowledged_upto`
    /// returns the last acknowledged sequence number of a source.
    ///
    /// # Errors
    /// An error if a segment cannot be read.
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

    /// Removes the oldest segments up to the first one with unacknowledged records, so that the remaining
    /// ones form a chain. The open segment is kept.
    ///
    /// # Errors
    /// An error if a segment cannot be removed; the next call tries again.
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

/// Returns the files in a directory that have the name of a segment, ordered by number.
fn segment_files(directory: &Path) -> io::Result<Vec<SegmentFile>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        let name = path.file_name().and_then(|name| name.to_str());
        let number =
            name.and_then(|name| name.strip_suffix(SEGMENT_SUFFIX)).and_then(|stem| stem.parse().ok());
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

/// Returns the sequence numbers after `acknowledged` that are missing before or between the records.
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
