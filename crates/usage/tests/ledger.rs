//! The ledger counts each record once, also if records arrive late, repeatedly or out of order.

use proptest::prelude::*;
use usage::{Batch, Ledger, Record, RecordOutcome, SequenceRange, Settings, Source, Units};

const SETTINGS: Settings = Settings { period_ms: 1_000, max_silence_ms: 10_000 };

fn source(gateway: &str, incarnation: u64) -> Source {
    Source { gateway: gateway.into(), incarnation }
}

fn range(first: u64, last: u64) -> SequenceRange {
    SequenceRange { first, last }
}

fn record(sequence: u64, at_ms: u64, thousandths: i64) -> Record {
    let units = Units::from_f64(thousandths as f64 / 1000.0).expect("fits");
    Record { sequence, at_ms, customer: sequence % 3, plan: "p".into(), version: 1, class: 0, units }
}

fn sums(batches: &[Batch]) -> (u64, i64) {
    let lines = batches.iter().flat_map(|b| &b.lines);
    lines.fold((0, 0), |(n, units), l| (n + l.totals.records, units + l.totals.units.thousandths()))
}

#[test]
fn period_closes_once_all_sources_have_sent_it() {
    let mut ledger = Ledger::new(SETTINGS);
    let (a, b) = (source("n0", 1), source("n1", 1));
    assert_eq!(ledger.record(&a, &record(1, 100, 1_500)), RecordOutcome::Counted);
    assert_eq!(ledger.record(&b, &record(1, 900, 2_000)), RecordOutcome::Counted);
    assert!(ledger.close_periods(5_000).is_none(), "no source has reported progress");
    ledger.report_progress(5_000, &a, 4_000);
    ledger.report_progress(5_000, &b, 999);
    assert!(ledger.close_periods(5_000).is_none());
    ledger.report_progress(5_100, &b, 1_000);
    let first = ledger.close_periods(5_100).expect("a batch of the first second");
    assert_eq!((first.number, first.until_ms, sums(std::slice::from_ref(&first))), (1, 1_000, (2, 3_500)));
    // A late record of a closed period is an adjustment in the next batch, once.
    assert_eq!(ledger.record(&b, &record(2, 950, 500)), RecordOutcome::CountedLate);
    assert_eq!(ledger.record(&b, &record(2, 950, 500)), RecordOutcome::Duplicate);
    let second = ledger.close_periods(5_200).expect("a batch with an adjustment");
    assert!(second.lines[0].is_adjustment && second.lines.len() == 1 && second.number == 2);
    assert!(ledger.close_periods(5_200).is_none());
}

#[test]
fn silent_source_holds_no_period_open() {
    let mut ledger = Ledger::new(SETTINGS);
    let (a, silent) = (source("n0", 1), source("n1", 1));
    ledger.report_progress(1_000, &silent, 500);
    ledger.record(&a, &record(1, 100, 1_000));
    ledger.report_progress(10_000, &a, 9_000);
    assert_eq!(ledger.watermark(10_000), Some(500));
    ledger.report_progress(11_001, &a, 11_000);
    assert_eq!(ledger.watermark(11_001), Some(11_000));
    assert!(ledger.close_periods(11_001).is_some());
    assert_eq!(ledger.record(&silent, &record(1, 400, 1_000)), RecordOutcome::CountedLate);
    // An ended incarnation keeps no period open either, and the next one starts from sequence number 1.
    ledger.report_progress(12_000, &silent, 600);
    ledger.source_ended(&silent);
    assert_eq!(ledger.watermark(12_000), Some(11_000));
    assert_eq!(ledger.record(&source("n1", 2), &record(1, 12_000, 1_000)), RecordOutcome::Counted);
}

#[test]
fn lost_records_are_counted_once_and_close_gaps() {
    let mut ledger = Ledger::new(SETTINGS);
    let a = source("n0", 1);
    for sequence in [1, 2, 6, 9] {
        ledger.record(&a, &record(sequence, 100, 1_000));
    }
    assert_eq!(ledger.counted_upto(&a), 2);
    // Of 3 to 8 all but 6 are lost; the repeated report changes nothing.
    assert!(ledger.record_lost(&a, range(1, 8)) && ledger.record_lost(&a, range(3, 8)));
    assert_eq!(ledger.counted_upto(&a), 9);
    assert_eq!(ledger.record(&a, &record(4, 100, 1_000)), RecordOutcome::Duplicate);
    for invalid in [0, 1 << 53, u64::MAX] {
        assert_eq!(ledger.record(&a, &record(invalid, 100, 1_000)), RecordOutcome::InvalidSequence);
    }
    assert!(ledger.record_lost(&a, range(0, 0)) && ledger.record_lost(&a, range(9, 3)));
    ledger.report_progress(2_000, &a, 2_000);
    let batch = ledger.close_periods(2_000).expect("a batch");
    assert_eq!((batch.lost, sums(std::slice::from_ref(&batch))), (5, (4, 4_000)));
}

#[test]
fn clock_step_back_does_not_reopen_periods() {
    let mut ledger = Ledger::new(SETTINGS);
    let a = source("n0", 1);
    ledger.report_progress(5_000, &a, 5_000);
    ledger.report_progress(4_000, &a, 3_000);
    assert_eq!(ledger.watermark(5_000), Some(5_000));
    assert!(ledger.close_periods(5_000).is_none());
    assert_eq!(ledger.record(&a, &record(1, 3_000, 1_000)), RecordOutcome::CountedLate);
}

proptest! {
    /// Records of three incarnations arrive in any order and any number of times, with batches in between.
    /// The batches contain each record once with exact units, and `counted_upto` only covers counted records.
    #[test]
    fn each_record_is_in_one_batch(
        sent in proptest::collection::vec((0usize..3, 1u64..30), 1..300), closes in 1usize..20,
    ) {
        let sources = [source("n0", 1), source("n0", 2), source("n1", 1)];
        let mut ledger = Ledger::new(SETTINGS);
        let (mut batches, mut unique) = (Vec::new(), std::collections::BTreeSet::new());
        for (i, (index, sequence)) in sent.iter().enumerate() {
            let now = i as u64 * 100;
            let is_duplicate = !unique.insert((*index, *sequence));
            let record = record(*sequence, sequence * 137 % 5_000, *sequence as i64 * 333);
            let outcome = ledger.record(&sources[*index], &record);
            prop_assert_eq!(outcome == RecordOutcome::Duplicate, is_duplicate);
            let upto = ledger.counted_upto(&sources[*index]);
            prop_assert!((1..=upto).all(|s| unique.contains(&(*index, s))));
            prop_assert!(!unique.contains(&(*index, upto + 1)));
            if i % closes == 0 {
                for source in &sources { ledger.report_progress(now, source, now); }
                batches.extend(ledger.close_periods(now));
            }
        }
        let end = 1_000_000;
        for source in &sources { ledger.report_progress(end, source, end); }
        batches.extend(ledger.close_periods(end));
        let units = unique.iter().map(|(_, s)| *s as i64 * 333).sum::<i64>();
        prop_assert_eq!(sums(&batches), (unique.len() as u64, units));
        prop_assert!(batches.iter().zip(1..).all(|(b, n)| b.number == n));
        prop_assert!(batches.windows(2).all(|w| w[0].until_ms <= w[1].until_ms));
    }
}
