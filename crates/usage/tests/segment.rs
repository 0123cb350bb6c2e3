//! Segments that are truncated, corrupt or replaced.

use usage::{scan, HashChain, Record, ScanEnd, SegmentHeader, SegmentWriter, Source, Units, FORMAT};

fn record(sequence: u64) -> Record {
    Record {
        sequence,
        at_ms: 1_800_000_000_000 + sequence,
        customer: 0xb4d6_5521,
        plan: "standard".into(),
        version: 2,
        class: 1,
        units: Units::from_f64(2.5).expect("fits"),
    }
}

fn header(number: u64, previous: HashChain) -> SegmentHeader {
    SegmentHeader {
        format: FORMAT,
        number,
        source: Source { gateway: "n3".into(), incarnation: 7 },
        previous,
    }
}

/// Returns a segment with this many records, the offsets at which its frames end, and its chain.
fn segment(records: u64) -> (Vec<u8>, Vec<usize>, HashChain) {
    let (mut writer, mut bytes) =
        SegmentWriter::begin(&header(1, HashChain::default())).expect("fits a frame");
    let mut ends = vec![bytes.len()];
    for sequence in 1..=records {
        bytes.extend(writer.record(&record(sequence)).expect("fits a frame"));
        ends.push(bytes.len());
    }
    (bytes, ends, writer.chain())
}

#[test]
fn scans_written_segments_and_resumes_them() {
    let (mut bytes, _, chain) = segment(5);
    let scanned = scan(&bytes);
    assert_eq!((scanned.end, scanned.valid_bytes, scanned.chain), (ScanEnd::Complete, bytes.len(), chain));
    assert_eq!(scanned.header, Some(header(1, HashChain::default())));
    assert_eq!(scanned.records, (1..=5).map(record).collect::<Vec<_>>());
    bytes.extend(SegmentWriter::resume(scanned.chain).record(&record(6)).expect("fits a frame"));
    assert_eq!(scan(&bytes).records.len(), 6);
    // About 40 bytes per record.
    assert!(bytes.len() < 6 * 50 + 100, "{} bytes", bytes.len());
}

/// After a write that was interrupted at any byte, exactly the complete frames before it are read.
#[test]
fn truncated_segment_yields_its_complete_records() {
    let (bytes, ends, _) = segment(6);
    for cut in 0..bytes.len() {
        let scanned = scan(&bytes[..cut]);
        let complete = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(scanned.records.len() + usize::from(scanned.header.is_some()), complete, "cut at {cut}");
        assert_eq!(scanned.valid_bytes, if complete == 0 { 0 } else { ends[complete - 1] });
        let expected = if cut == scanned.valid_bytes { ScanEnd::Complete } else { ScanEnd::Truncated };
        assert_eq!(scanned.end, expected, "cut at {cut}");
    }
}

/// Guards against records with a bit flipped on the disk being counted as usage.
#[test]
fn flipped_bit_ends_the_scan_before_its_frame() {
    let (bytes, ends, _) = segment(4);
    for bit in 0..bytes.len() * 8 {
        let mut corrupt = bytes.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        let scanned = scan(&corrupt);
        let valid_frames = ends.iter().filter(|end| **end <= bit / 8).count();
        assert_ne!(scanned.end, ScanEnd::Complete, "bit {bit}");
        assert_eq!(scanned.records.len() + usize::from(scanned.header.is_some()), valid_frames, "bit {bit}");
    }
}

#[test]
fn detects_missing_repeated_and_swapped_frames() {
    let (bytes, ends, _) = segment(4);
    let frame = |n: usize| &bytes[ends[n]..ends[n + 1]];
    let (header, frames) = (&bytes[..ends[0]], [frame(0), frame(1), frame(2), frame(3)]);
    for order in [vec![0, 2, 3], vec![0, 0, 1], vec![1, 0, 2, 3], vec![1, 2, 3]] {
        let corrupt: Vec<u8> =
            header.iter().copied().chain(order.iter().flat_map(|n| frames[*n].to_vec())).collect();
        assert_eq!(scan(&corrupt).end, ScanEnd::Corrupt, "{order:?}");
    }
}

/// A segment that was replaced by an older version of itself is valid; only the header of the next one
/// reveals the replacement.
#[test]
fn replaced_segment_breaks_the_chain_of_the_next() {
    let (bytes, ends, chain) = segment(4);
    let (_, next) = SegmentWriter::begin(&header(2, chain)).expect("fits a frame");
    let older = scan(&bytes[..ends[2]]);
    assert_eq!(older.end, ScanEnd::Complete);
    let previous = scan(&next).header.expect("read").previous;
    assert_ne!(older.chain, previous);
    assert_eq!(scan(&bytes).chain, previous);
}
