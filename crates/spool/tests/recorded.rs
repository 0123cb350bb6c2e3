//! Pins the segment format of released versions: recorded files are read completely, and the same records
//! produce the same bytes.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use spool::{AppendOutcome, FsyncPolicy, Spool, SpoolLimits};
use usage::{scan, Record, ScanEnd, Source, Units, FORMAT};

const LIMITS: SpoolLimits =
    SpoolLimits { segment_bytes: 220, total_bytes: 1 << 20, fsync: FsyncPolicy::EverySegment };

fn recorded_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/segments")
}

fn sources() -> [Source; 2] {
    [
        Source { gateway: "n0".into(), incarnation: 7 },
        Source { gateway: "gateway-ub-room-1".into(), incarnation: 18_446_744_073_709_551_615 },
    ]
}

/// Records with the minimum and the maximum value of each field.
fn records() -> Vec<Record> {
    let record = |at_ms, customer, plan: &str, version, class, units: f64| Record {
        sequence: 0,
        at_ms,
        customer,
        plan: plan.into(),
        version,
        class,
        units: Units::from_f64(units).expect("fits"),
    };
    vec![
        record(1_800_000_000_000, 0xb4d6_5521, "standard", 2, 1, 2.5),
        record(0, 0, "", 0, 0, 0.0),
        record(u64::MAX, u64::MAX, "größe", u32::MAX, u16::MAX, 8_999_999_999_999.5),
        record(1_800_000_000_001, (1 << 33) - 1, &"p".repeat(64), 1, 255, -0.001),
        record(127, 128, "a", 127, 128, -8_999_999_999_999.5),
        record(1_800_000_000_002, 1, "standard", 3, 2, 0.0004),
        record(1_800_000_000_003, 2, "standard", 3, 2, 1e9),
    ]
}

/// Writes all records for each of two sources to one directory.
fn write_segments(directory: &Path) {
    for source in sources() {
        let (mut spool, faults) = Spool::open(directory, LIMITS, source).expect("opened");
        assert_eq!(faults, []);
        for record in records() {
            assert_eq!(spool.append(record).expect("no I/O error"), AppendOutcome::Stored);
        }
    }
}

fn files(directory: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(directory).expect("read").map(|entry| entry.expect("an entry").path());
    let name = |path: &Path| path.file_name().and_then(|n| n.to_str()).expect("a name").to_string();
    entries.map(|path| (name(&path), fs::read(&path).expect("a file"))).collect()
}

#[test]
fn reads_every_record_of_recorded_segments() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    for (name, bytes) in files(&recorded_directory()) {
        fs::write(directory.path().join(name), bytes).expect("no I/O error");
    }
    let new = Source { gateway: "n0".into(), incarnation: 8 };
    let (mut spool, faults) = Spool::open(directory.path(), LIMITS, new).expect("opened");
    assert_eq!(faults, []);
    let mut read: BTreeMap<Source, Vec<Record>> = BTreeMap::new();
    let upto = |read: &BTreeMap<Source, Vec<Record>>, source: &Source| {
        read.get(source).and_then(|records| records.last()).map_or(0, |record| record.sequence)
    };
    while let Some(unsent) = spool.unsent(|source| upto(&read, source)).expect("no I/O error") {
        assert_eq!(unsent.lost, []);
        read.entry(unsent.source).or_default().extend(unsent.records);
    }
    let numbered = |(record, sequence): (Record, u64)| Record { sequence, ..record };
    let all: Vec<Record> = records().into_iter().zip(1..).map(numbered).collect();
    for source in sources() {
        assert_eq!(read.get(&source), Some(&all), "{source:?}");
    }
    spool.acknowledge(|source| upto(&read, source)).expect("no I/O error");
    assert_eq!((spool.bytes(), files(directory.path()).len()), (0, 0));
}

#[test]
fn writes_the_recorded_bytes() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    write_segments(directory.path());
    let (written, recorded) = (files(directory.path()), files(&recorded_directory()));
    assert_eq!(written.keys().collect::<Vec<_>>(), recorded.keys().collect::<Vec<_>>());
    assert_eq!(written, recorded);
}

#[test]
fn recorded_segments_have_chained_numbered_headers() {
    let mut previous = None;
    for (number, (name, bytes)) in (1..).zip(files(&recorded_directory())) {
        assert_eq!(name, format!("{number:020}.use"));
        let scanned = scan(&bytes);
        let header = scanned.header.expect("a header");
        assert_eq!((scanned.end, scanned.valid_bytes), (ScanEnd::Complete, bytes.len()));
        assert_eq!((FORMAT, header.format, header.number), (1, 1, number));
        assert_eq!(header.previous, previous.unwrap_or_default());
        previous = Some(scanned.chain);
    }
    assert!(previous.is_some());
}
