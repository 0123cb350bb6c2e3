//! A ledger of usage: each record counts once, in exactly one batch.
//!
//! Records of a source may arrive late, repeatedly and in any order; gateway, incarnation and sequence number
//! identify them. Each source reports the time up to which it has sent all records, and the watermark is the
//! minimum of these times. A period closes when the watermark has passed its end. A source that is silent for
//! too long no longer holds the watermark back. A record of a closed period becomes an adjustment in a later
//! batch; a batch never changes after it was issued.

use std::collections::BTreeMap;

use crate::record::{Record, Source, Units};
use crate::sequences::{SequenceRange, SequenceSet};

/// Maximum number of sources.
pub const MAX_SOURCES: usize = 100_000;
/// Maximum number of ranges of sequence numbers after a gap that are stored for a source.
pub const MAX_GAPS: usize = 10_000;
/// Upper bound of sequence numbers (exclusive), so that arithmetic on external numbers cannot overflow.
const SEQUENCE_LIMIT: u64 = 1 << 53;

/// Settings of a [`Ledger`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Length of a period, ms, above 0. Periods begin at multiples of it in Unix time.
    pub period_ms: u64,
    /// A source that has not reported for longer than this, ms, no longer keeps periods open.
    pub max_silence_ms: u64,
}

/// Key by which usage is summed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageKey {
    /// Begin of the period, Unix time in ms.
    pub period_ms: u64,
    /// The customer.
    pub customer: u64,
    /// Name of the plan.
    pub plan: Box<str>,
    /// Version of the plan.
    pub version: u32,
    /// Class of the requests.
    pub class: u16,
}

/// Sum of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Number of records.
    pub records: u64,
    /// Units of the records.
    pub units: Units,
}

impl Totals {
    fn add(&mut self, record: &Record) {
        self.records += 1;
        self.units = self.units + record.units;
    }
}

/// A line of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchLine {
    /// Key of the records.
    pub key: UsageKey,
    /// Sum of the records.
    pub totals: Totals,
    /// Whether the line is added to a period that was closed in an earlier batch.
    pub is_adjustment: bool,
}

/// Usage that is issued together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number of the batch, from 1, without gaps.
    pub number: u64,
    /// All periods up to this time are closed, Unix time in ms.
    pub until_ms: u64,
    /// Adjustments, then the other lines, each ordered by key.
    pub lines: Vec<BatchLine>,
    /// Number of records that sources reported as lost since the last batch; their usage is unknown.
    pub lost: u64,
}

/// Outcome of [`Ledger::record`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The record counts in its period.
    Counted,
    /// The record counts as an adjustment, as its period is closed.
    CountedLate,
    /// The record was counted, or reported as lost, before.
    Duplicate,
    /// The sequence number is out of range.
    InvalidSequence,
    /// There are too many sources or gaps; the record has to be sent again later.
    NoRoom,
}

/// State of a source.
#[derive(Clone, Debug, Default)]
struct SourceState {
    /// Sequence numbers of records that were counted or reported as lost.
    counted: SequenceSet,
    /// The source has sent all records up to this time, Unix time in ms.
    sent_upto_ms: u64,
    /// Time of its last report, Unix time in ms.
    last_report_ms: u64,
    has_ended: bool,
}

/// Counts each usage record once and issues batches of closed periods.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    sources: BTreeMap<Source, SourceState>,
    open: BTreeMap<UsageKey, Totals>,
    adjustments: BTreeMap<UsageKey, Totals>,
    /// All periods up to this time are closed, Unix time in ms.
    closed_until_ms: u64,
    last_batch: u64,
    /// Number of records reported as lost since the last batch.
    lost: u64,
}

impl Ledger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(settings: Settings) -> Ledger {
        let settings = Settings { period_ms: settings.period_ms.max(1), ..settings };
        Ledger {
            settings,
            sources: BTreeMap::new(),
            open: BTreeMap::new(),
            adjustments: BTreeMap::new(),
            closed_until_ms: 0,
            last_batch: 0,
            lost: 0,
        }
    }

    /// Returns the state of a source and adds it if it is new; `None` if there are [`MAX_SOURCES`] already.
    fn source_mut(&mut self, source: &Source) -> Option<&mut SourceState> {
        if !self.sources.contains_key(source) {
            if self.sources.len() >= MAX_SOURCES {
                return None;
            }
            self.sources.insert(source.clone(), SourceState::default());
        }
        self.sources.get_mut(source)
    }

    /// Counts a record, unless its sequence number was counted or reported as lost before.
    pub fn record(&mut self, source: &Source, record: &Record) -> RecordOutcome {
        let Some(state) = self.source_mut(source) else { return RecordOutcome::NoRoom };
        let sequence = record.sequence;
        if !(1..SEQUENCE_LIMIT).contains(&sequence) {
            return RecordOutcome::InvalidSequence;
        }
        if state.counted.contains(sequence) {
            return RecordOutcome::Duplicate;
        }
        if !state.counted.insert(SequenceRange { first: sequence, last: sequence }, MAX_GAPS) {
            return RecordOutcome::NoRoom;
        }
        let key = self.key_of(record);
        if key.period_ms < self.closed_until_ms {
            self.adjustments.entry(key).or_default().add(record);
            RecordOutcome::CountedLate
        } else {
            self.open.entry(key).or_default().add(record);
            RecordOutcome::Counted
        }
    }

    fn key_of(&self, record: &Record) -> UsageKey {
        UsageKey {
            period_ms: record.at_ms - record.at_ms % self.settings.period_ms,
            customer: record.customer,
            plan: record.plan.clone(),
            version: record.version,
            class: record.class,
        }
    }

    /// Handles the report of a source that it lost these records for good: it dropped them, or its disk
    /// failed. Records that were counted stay counted. Returns `false` if there is no room to store the whole
    /// range.
    pub fn record_lost(&mut self, source: &Source, lost: SequenceRange) -> bool {
        let Some(state) = self.source_mut(source) else { return false };
        let valid = SequenceRange { first: lost.first.max(1), last: lost.last.min(SEQUENCE_LIMIT - 1) };
        let (mut newly_lost, mut all_stored) = (0, true);
        for range in state.counted.missing(valid) {
            all_stored = all_stored && state.counted.insert(range, MAX_GAPS);
            if all_stored {
                newly_lost += range.count();
            }
        }
        self.lost += newly_lost;
        all_stored
    }

    /// Handles the report of a source, at `now_ms`, that it has sent all records up to `sent_upto_ms`, both
    /// Unix time in ms. Reports with earlier times than before have no effect, as the source's clock may have
    /// stepped back. Returns `false` if there is no room for another source.
    pub fn report_progress(&mut self, now_ms: u64, source: &Source, sent_upto_ms: u64) -> bool {
        let Some(state) = self.source_mut(source) else { return false };
        state.sent_upto_ms = state.sent_upto_ms.max(sent_upto_ms);
        state.last_report_ms = state.last_report_ms.max(now_ms);
        true
    }

    /// Marks a source as ended with all records sent: it no longer keeps periods open. Records that still
    /// arrive from it are counted as before.
    pub fn source_ended(&mut self, source: &Source) {
        if let Some(state) = self.sources.get_mut(source) {
            state.has_ended = true;
        }
    }

    /// Returns the sequence number up to which all records are counted or lost, so that the source need not
    /// retain them.
    #[must_use]
    pub fn counted_upto(&self, source: &Source) -> u64 {
        self.sources.get(source).map_or(0, |state| state.counted.contiguous_upto())
    }

    /// Returns the time up to which all sources that still report have sent all records, Unix time in ms;
    /// `None` if there is no such source.
    #[must_use]
    pub fn watermark(&self, now_ms: u64) -> Option<u64> {
        let min_report_ms = now_ms.saturating_sub(self.settings.max_silence_ms);
        let is_reporting = |state: &&SourceState| !state.has_ended && state.last_report_ms >= min_report_ms;
        self.sources.values().filter(is_reporting).map(|state| state.sent_upto_ms).min()
    }

    /// Closes the periods that the watermark has passed. Returns `None` if there is nothing to issue.
    pub fn close_periods(&mut self, now_ms: u64) -> Option<Batch> {
        let watermark_ms = self.watermark(now_ms)?;
        let period_begin_ms = watermark_ms - watermark_ms % self.settings.period_ms;
        self.closed_until_ms = self.closed_until_ms.max(period_begin_ms);
        let closed = self.take_closed();
        let adjustments = std::mem::take(&mut self.adjustments);
        let lost = std::mem::take(&mut self.lost);
        if closed.is_empty() && adjustments.is_empty() && lost == 0 {
            return None;
        }
        let line =
            |is_adjustment| move |(key, totals): (UsageKey, Totals)| BatchLine { key, totals, is_adjustment };
        let lines = adjustments.into_iter().map(line(true)).chain(closed.into_iter().map(line(false)));
        self.last_batch += 1;
        Some(Batch { number: self.last_batch, until_ms: self.closed_until_ms, lines: lines.collect(), lost })
    }

    /// Removes and returns the totals of periods before `closed_until_ms`.
    fn take_closed(&mut self) -> BTreeMap<UsageKey, Totals> {
        let first_open =
            UsageKey { period_ms: self.closed_until_ms, customer: 0, plan: "".into(), version: 0, class: 0 };
        let still_open = self.open.split_off(&first_open);
        std::mem::replace(&mut self.open, still_open)
    }
}
