//! Segments that were cut, spoilt or replaced.

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

/// A segment of so many records, and the bytes at which each frame ends.
fn segment(records: u64) -> (Vec<u8>, Vec<usize>, HashChain) {
    let (mut writer, mut bytes) = SegmentWriter::begin(&header(1, HashChain::default())).expect("short");
    let mut ends = vec![bytes.len()];
    for sequence in 1..=records {
        bytes.extend(writer.record(&record(sequence)).expect("short"));
        ends.push(bytes.len());
    }
    (bytes, ends, writer.chain())
}

#[test]
fn scans_what_was_written_and_resumes() {
    let (mut bytes, _, chain) = segment(5);
    let found = scan(&bytes);
    assert_eq!((found.end, found.valid_bytes, found.chain), (ScanEnd::Complete, bytes.len(), chain));
    assert_eq!(found.header, Some(header(1, HashChain::default())));
    assert_eq!(found.records, (1..=5).map(record).collect::<Vec<_>>());
    bytes.extend(SegmentWriter::resume(found.chain).record(&record(6)).expect("short"));
    assert_eq!(scan(&bytes).records.len(), 6);
    // Some 40 bytes a record.
    assert!(bytes.len() < 6 * 50 + 100, "{} bytes", bytes.len());
}

/// A write that was cut anywhere: what was whole before it is kept, and nothing is made up.
#[test]
fn cut_segment_gives_its_complete_records() {
    let (bytes, ends, _) = segment(6);
    for cut in 0..bytes.len() {
        let found = scan(&bytes[..cut]);
        let whole = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(found.records.len() + usize::from(found.header.is_some()), whole, "cut at {cut}");
        assert_eq!(found.valid_bytes, if whole == 0 { 0 } else { ends[whole - 1] });
        let wanted = if cut == found.valid_bytes { ScanEnd::Complete } else { ScanEnd::Truncated };
        assert_eq!(found.end, wanted, "cut at {cut}");
    }
}

/// A bit that flipped on the disk, counted as use.
#[test]
fn flipped_bit_ends_the_scan_before_its_frame() {
    let (bytes, ends, _) = segment(4);
    for bit in 0..bytes.len() * 8 {
        let mut odd = bytes.clone();
        odd[bit / 8] ^= 1 << (bit % 8);
        let found = scan(&odd);
        let sound = ends.iter().filter(|end| **end <= bit / 8).count();
        assert_ne!(found.end, ScanEnd::Complete, "bit {bit}");
        assert_eq!(found.records.len() + usize::from(found.header.is_some()), sound, "bit {bit}");
    }
}

#[test]
fn detects_missing_repeated_and_swapped_frames() {
    let (bytes, ends, _) = segment(4);
    let frame = |n: usize| &bytes[ends[n]..ends[n + 1]];
    let (head, rest) = (&bytes[..ends[0]], [frame(0), frame(1), frame(2), frame(3)]);
    for order in [vec![0, 2, 3], vec![0, 0, 1], vec![1, 0, 2, 3], vec![1, 2, 3]] {
        let odd: Vec<u8> = head.iter().copied().chain(order.iter().flat_map(|n| rest[*n].to_vec())).collect();
        assert_eq!(scan(&odd).end, ScanEnd::Corrupt, "{order:?}");
    }
}

/// A segment replaced by an older one of itself: it is sound, and the next one tells.
#[test]
fn replaced_segment_breaks_the_chain_of_the_next() {
    let (bytes, ends, chain) = segment(4);
    let (_, next) = SegmentWriter::begin(&header(2, chain)).expect("short");
    let older = scan(&bytes[..ends[2]]);
    assert_eq!(older.end, ScanEnd::Complete);
    let previous = scan(&next).header.expect("read").previous;
    assert_ne!(older.chain, previous);
    assert_eq!(scan(&bytes).chain, previous);
}
