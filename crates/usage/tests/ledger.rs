//! A ledger that counts each record once, whatever comes late, again or out of order.

use proptest::prelude::*;
use usage::{Batch, Ledger, Record, RecordOutcome, SequenceRange, Settings, Source, Units};

const SETTINGS: Settings = Settings { period_ms: 1_000, max_silence_ms: 10_000 };

fn source(gateway: &str, life: u64) -> Source {
    Source { gateway: gateway.into(), incarnation: life }
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
    assert!(ledger.close_periods(5_000).is_none(), "nobody has told all of anything");
    ledger.report_progress(5_000, &a, 4_000);
    ledger.report_progress(5_000, &b, 999);
    assert!(ledger.close_periods(5_000).is_none());
    ledger.report_progress(5_100, &b, 1_000);
    let first = ledger.close_periods(5_100).expect("the first second");
    assert_eq!((first.number, first.until_ms, sums(std::slice::from_ref(&first))), (1, 1_000, (2, 3_500)));
    // Late for a period that went out: on top, in the next, and never twice.
    assert_eq!(ledger.record(&b, &record(2, 950, 500)), RecordOutcome::CountedLate);
    assert_eq!(ledger.record(&b, &record(2, 950, 500)), RecordOutcome::Duplicate);
    let second = ledger.close_periods(5_200).expect("an adjustment");
    assert!(second.lines[0].is_adjustment && second.lines.len() == 1 && second.number == 2);
    assert!(ledger.close_periods(5_200).is_none());
}

#[test]
fn silent_source_holds_no_period_open() {
    let mut ledger = Ledger::new(SETTINGS);
    let (a, gone) = (source("n0", 1), source("n1", 1));
    ledger.report_progress(1_000, &gone, 500);
    ledger.record(&a, &record(1, 100, 1_000));
    ledger.report_progress(10_000, &a, 9_000);
    assert_eq!(ledger.watermark(10_000), Some(500));
    ledger.report_progress(11_001, &a, 11_000);
    assert_eq!(ledger.watermark(11_001), Some(11_000));
    assert!(ledger.close_periods(11_001).is_some());
    assert_eq!(ledger.record(&gone, &record(1, 400, 1_000)), RecordOutcome::CountedLate);
    // A life that ended holds nothing open either, and its next life starts anew from 1.
    ledger.report_progress(12_000, &gone, 600);
    ledger.source_ended(&gone);
    assert_eq!(ledger.watermark(12_000), Some(11_000));
    assert_eq!(ledger.record(&source("n1", 2), &record(1, 12_000, 1_000)), RecordOutcome::Counted);
}

#[test]
fn lost_records_are_counted_once_and_hold_nothing_up() {
    let mut ledger = Ledger::new(SETTINGS);
    let a = source("n0", 1);
    for sequence in [1, 2, 6, 9] {
        ledger.record(&a, &record(sequence, 100, 1_000));
    }
    assert_eq!(ledger.counted_upto(&a), 2);
    // 3 to 8 but for 6, which came; and again.
    assert!(ledger.record_lost(&a, range(1, 8)) && ledger.record_lost(&a, range(3, 8)));
    assert_eq!(ledger.counted_upto(&a), 9);
    assert_eq!(ledger.record(&a, &record(4, 100, 1_000)), RecordOutcome::Duplicate);
    for odd in [0, 1 << 53, u64::MAX] {
        assert_eq!(ledger.record(&a, &record(odd, 100, 1_000)), RecordOutcome::InvalidSequence);
    }
    assert!(ledger.record_lost(&a, range(0, 0)) && ledger.record_lost(&a, range(9, 3)));
    ledger.report_progress(2_000, &a, 2_000);
    let batch = ledger.close_periods(2_000).expect("a second");
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
    /// Records of three lives, in any order and any number of times, with closes in between: what goes out is
    /// each of them once, to the thousandth, and what the source need not keep is only what was counted.
    #[test]
    fn each_record_goes_out_once(
        sent in proptest::collection::vec((0usize..3, 1u64..30), 1..300), closes in 1usize..20,
    ) {
        let lives = [source("n0", 1), source("n0", 2), source("n1", 1)];
        let mut ledger = Ledger::new(SETTINGS);
        let (mut batches, mut unique) = (Vec::new(), std::collections::BTreeSet::new());
        for (i, (life, sequence)) in sent.iter().enumerate() {
            let now = i as u64 * 100;
            let again = !unique.insert((*life, *sequence));
            let made = record(*sequence, sequence * 137 % 5_000, *sequence as i64 * 333);
            let taken = ledger.record(&lives[*life], &made);
            prop_assert_eq!(taken == RecordOutcome::Duplicate, again);
            let upto = ledger.counted_upto(&lives[*life]);
            prop_assert!((1..=upto).all(|s| unique.contains(&(*life, s))));
            prop_assert!(!unique.contains(&(*life, upto + 1)));
            if i % closes == 0 {
                for life in &lives { ledger.report_progress(now, life, now); }
                batches.extend(ledger.close_periods(now));
            }
        }
        let end = 1_000_000;
        for life in &lives { ledger.report_progress(end, life, end); }
        batches.extend(ledger.close_periods(end));
        let units = unique.iter().map(|(_, s)| *s as i64 * 333).sum::<i64>();
        prop_assert_eq!(sums(&batches), (unique.len() as u64, units));
        prop_assert!(batches.iter().zip(1..).all(|(b, n)| b.number == n));
        prop_assert!(batches.windows(2).all(|w| w[0].until_ms <= w[1].until_ms));
    }
}
