//! A ledger of usage: each record counts once, in exactly one batch.
//!
//! Records of a source may come late, repeatedly and in any order; they are known by gateway, incarnation and
//! sequence number. A period closes when the watermark has passed its end: each source reports up to when it
//! has sent everything, and the watermark is the least of these. A source that is silent for too long no
//! longer holds it back. A record of a closed period is an adjustment in a later batch; a batch never changes
//! once it went out.

use std::collections::BTreeMap;

use crate::record::{Record, Source, Units};
use crate::sequences::{SequenceRange, SequenceSet};

/// The most sources that are known.
pub const MAX_SOURCES: usize = 100_000;
/// The most ranges of sequence numbers beyond a gap that are remembered of a source.
pub const MAX_GAPS: usize = 10_000;
/// Sequence numbers are below this: arithmetic on numbers from outside must not overflow.
const SEQUENCE_LIMIT: u64 = 1 << 53;

/// Length of periods, and when they close.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Length of a period, ms, above 0. Periods begin at multiples of it in Unix time.
    pub period_ms: u64,
    /// A source that was not heard from for this long, ms, holds no period open.
    pub max_silence_ms: u64,
}

/// What is counted separately.
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

/// Sums of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// How many records.
    pub records: u64,
    /// Their units.
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
    /// What it counts.
    pub key: UsageKey,
    /// The sums.
    pub totals: Totals,
    /// Whether its period went out in an earlier batch and this is added to it.
    pub is_adjustment: bool,
}

/// Usage that goes out at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// From 1, without gaps.
    pub number: u64,
    /// All periods up to here are closed, Unix time in ms.
    pub until_ms: u64,
    /// Adjustments, then the others, each in the order of their keys.
    pub lines: Vec<BatchLine>,
    /// Records that sources reported as lost since the last batch: usage that nobody can count.
    pub lost: u64,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// It counts in its period.
    Counted,
    /// It counts as an adjustment, as its period is closed.
    CountedLate,
    /// It was counted before.
    Duplicate,
    /// No source gives such a sequence number.
    InvalidSequence,
    /// There are too many sources or gaps; it is to be sent again later.
    NoRoom,
}

/// What is known of a source.
#[derive(Clone, Debug, Default)]
struct SourceState {
    counted: SequenceSet,
    /// It has sent everything up to this time, Unix time in ms.
    sent_upto_ms: u64,
    /// When it reported last, Unix time in ms.
    last_report_ms: u64,
    has_ended: bool,
}

/// The ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    sources: BTreeMap<Source, SourceState>,
    open: BTreeMap<UsageKey, Totals>,
    adjustments: BTreeMap<UsageKey, Totals>,
    /// All periods up to here are closed, Unix time in ms.
    closed_until_ms: u64,
    last_batch: u64,
    /// Records that were lost since the last batch.
    lost: u64,
}

impl Ledger {
    /// An empty ledger.
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

    /// The state of a source, which is added if it is new; none if there are [`MAX_SOURCES`] already.
    fn source_mut(&mut self, source: &Source) -> Option<&mut SourceState> {
        if !self.sources.contains_key(source) {
            if self.sources.len() >= MAX_SOURCES {
                return None;
            }
            self.sources.insert(source.clone(), SourceState::default());
        }
        self.sources.get_mut(source)
    }

    /// Counts a record unless it was counted before.
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

    /// A source reports that these records are lost for good: it dropped them, or its disk failed. Those that
    /// were counted stay counted. Returns `false` if there is no room to note all of it.
    pub fn record_lost(&mut self, source: &Source, lost: SequenceRange) -> bool {
        let Some(state) = self.source_mut(source) else { return false };
        let valid = SequenceRange { first: lost.first.max(1), last: lost.last.min(SEQUENCE_LIMIT - 1) };
        let (mut newly_lost, mut all_noted) = (0, true);
        for range in state.counted.missing(valid) {
            all_noted = all_noted && state.counted.insert(range, MAX_GAPS);
            if all_noted {
                newly_lost += range.count();
            }
        }
        self.lost += newly_lost;
        all_noted
    }

    /// A source reports, at `now_ms`, that it has sent everything up to `sent_upto_ms`, both Unix time. What
    /// it reported before stands, also if its clock went back. Returns `false` if there is no room for
    /// another source.
    pub fn report_progress(&mut self, now_ms: u64, source: &Source, sent_upto_ms: u64) -> bool {
        let Some(state) = self.source_mut(source) else { return false };
        state.sent_upto_ms = state.sent_upto_ms.max(sent_upto_ms);
        state.last_report_ms = state.last_report_ms.max(now_ms);
        true
    }

    /// A source has ended and sent everything: it holds no period open any more. Records that still come from
    /// it are counted as before.
    pub fn source_ended(&mut self, source: &Source) {
        if let Some(state) = self.sources.get_mut(source) {
            state.has_ended = true;
        }
    }

    /// All sequence numbers up to here are counted or lost, so that the source need not retain them.
    #[must_use]
    pub fn counted_upto(&self, source: &Source) -> u64 {
        self.sources.get(source).map_or(0, |state| state.counted.contiguous_upto())
    }

    /// Up to when all sources that are heard from have sent everything, Unix time in ms; none if there is no
    /// such source.
    #[must_use]
    pub fn watermark(&self, now_ms: u64) -> Option<u64> {
        let heard_since_ms = now_ms.saturating_sub(self.settings.max_silence_ms);
        let counts = |state: &&SourceState| !state.has_ended && state.last_report_ms >= heard_since_ms;
        self.sources.values().filter(counts).map(|state| state.sent_upto_ms).min()
    }

    /// Closes the periods that the watermark has passed. None if nothing is to go out.
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

    /// Takes the totals of periods before `closed_until_ms`.
    fn take_closed(&mut self) -> BTreeMap<UsageKey, Totals> {
        let first_open =
            UsageKey { period_ms: self.closed_until_ms, customer: 0, plan: "".into(), version: 0, class: 0 };
        let still_open = self.open.split_off(&first_open);
        std::mem::replace(&mut self.open, still_open)
    }
}
