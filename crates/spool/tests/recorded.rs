//! Segments as released versions wrote them: recorded files are read whole, and the same records give
//! the same bytes again.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use spool::{AppendOutcome, FsyncPolicy, Spool, SpoolLimits};
use usage::{scan, Record, ScanEnd, Source, Units, FORMAT};

const POLICY: SpoolLimits =
    SpoolLimits { segment_bytes: 220, total_bytes: 1 << 20, fsync: FsyncPolicy::EverySegment };

fn data() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/segments")
}

fn sources() -> [Source; 2] {
    [
        Source { gateway: "n0".into(), incarnation: 7 },
        Source { gateway: "gateway-ub-room-1".into(), incarnation: 18_446_744_073_709_551_615 },
    ]
}

/// Records with the least and the greatest value of each field.
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

/// Two starts of gateways in one folder, each with all records.
fn write(folder: &Path) {
    for source in sources() {
        let (mut spool, faults) = Spool::open(folder, POLICY, source).expect("a folder");
        assert_eq!(faults, []);
        for record in records() {
            assert_eq!(spool.append(record).expect("disk"), AppendOutcome::Stored);
        }
    }
}

fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let name = |path: &Path| path.file_name().and_then(|n| n.to_str()).expect("a name").to_string();
    entries.map(|path| (name(&path), fs::read(&path).expect("a file"))).collect()
}

#[test]
fn reads_every_record_of_recorded_segments() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, bytes) in files(&data()) {
        fs::write(folder.path().join(name), bytes).expect("disk");
    }
    let new = Source { gateway: "n0".into(), incarnation: 8 };
    let (mut spool, faults) = Spool::open(folder.path(), POLICY, new).expect("a folder");
    assert_eq!(faults, []);
    let mut read: BTreeMap<Source, Vec<Record>> = BTreeMap::new();
    let upto = |read: &BTreeMap<Source, Vec<Record>>, source: &Source| {
        read.get(source).and_then(|records| records.last()).map_or(0, |record| record.sequence)
    };
    while let Some(found) = spool.unsent(|source| upto(&read, source)).expect("disk") {
        assert_eq!(found.lost, []);
        read.entry(found.source).or_default().extend(found.records);
    }
    let numbered = |(record, sequence): (Record, u64)| Record { sequence, ..record };
    let all: Vec<Record> = records().into_iter().zip(1..).map(numbered).collect();
    for source in sources() {
        assert_eq!(read.get(&source), Some(&all), "{source:?}");
    }
    spool.acknowledge(|source| upto(&read, source)).expect("disk");
    assert_eq!((spool.bytes(), files(folder.path()).len()), (0, 0));
}

#[test]
fn writes_the_recorded_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    write(folder.path());
    let (written, recorded) = (files(folder.path()), files(&data()));
    assert_eq!(written.keys().collect::<Vec<_>>(), recorded.keys().collect::<Vec<_>>());
    assert_eq!(written, recorded);
}

#[test]
fn recorded_segments_are_a_chain_of_numbered_headers() {
    let mut previous = None;
    for (number, (name, bytes)) in (1..).zip(files(&data())) {
        assert_eq!(name, format!("{number:020}.use"));
        let found = scan(&bytes);
        let header = found.header.expect("a header");
        assert_eq!((found.end, found.valid_bytes), (ScanEnd::Complete, bytes.len()));
        assert_eq!((FORMAT, header.format, header.number), (1, 1, number));
        assert_eq!(header.previous, previous.unwrap_or_default());
        previous = Some(found.chain);
    }
    assert!(previous.is_some());
}
