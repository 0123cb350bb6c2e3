//! A ledger of use: each record counts once, in exactly one batch.
//!
//! Records of a source may come late, again, and in any order; they are known by gateway, life and sequence.
//! A period closes when the watermark has passed its end: each source says up to when it has told all, and
//! the watermark is the least of these. A source that is silent for too long no longer holds it back. What
//! comes for a period that has gone out is an adjustment in a later batch, never a change of the one that
//! went out.

use std::collections::BTreeMap;

use crate::record::{Record, Source, Units};

/// Sources that may be known at once.
pub const MAX_SOURCES: usize = 100_000;
/// Runs of sequence numbers beyond a gap that are remembered of a source.
pub const MAX_GAPS: usize = 10_000;
/// Sequence numbers are below this. Danger: arithmetic on numbers from outside that ends the program.
const MAX_SEQUENCE: u64 = 1 << 53;

/// How periods are cut and closed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Length of a period, ms, above 0. Periods begin at multiples of it, Unix time.
    pub period_ms: u64,
    /// A source that was not heard for so long, ms, holds no period open.
    pub silent_most_ms: u64,
}

/// What is counted apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Begin of the period, Unix ms.
    pub period_ms: u64,
    /// Whose use.
    pub customer: u64,
    /// Under which plan.
    pub plan: Box<str>,
    /// In which version.
    pub version: u32,
    /// In which class.
    pub class: u16,
}

/// Sums of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// How many.
    pub records: u64,
    /// Their units.
    pub units: Units,
}

/// A line of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// What it counts.
    pub key: Key,
    /// The sums.
    pub totals: Totals,
    /// Its period went out in an earlier batch: this comes on top.
    pub adjustment: bool,
}

/// What goes out at once; never changed afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// From 1, none left out.
    pub number: u64,
    /// Ends of the periods that it closes, Unix ms: all up to here.
    pub until_ms: u64,
    /// Its lines, in the order of their keys, adjustments first.
    pub lines: Vec<Line>,
    /// Records since the last batch that sources say are lost for good: use that nobody can count.
    pub lost: u64,
}

/// What came of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It counts in its period.
    New,
    /// It counts as an adjustment, as its period went out.
    Late,
    /// It was counted before.
    Again,
    /// Its sequence number is one that no source gives.
    Odd,
    /// There are more gaps or sources than may be; it is to be sent again later.
    NoRoom,
}

/// Sequence numbers of a source that were seen.
#[derive(Clone, Debug, Default)]
struct Seen {
    /// All up to here.
    upto: u64,
    /// Runs beyond: first and last, not touching.
    beyond: BTreeMap<u64, u64>,
    /// It has told all up to this time.
    told_ms: u64,
    heard_ms: u64,
    gone: bool,
}

impl Seen {
    fn has(&self, sequence: u64) -> bool {
        let run = self.beyond.range(..=sequence).next_back();
        sequence <= self.upto || run.is_some_and(|(_, last)| sequence <= *last)
    }

    /// Notes a run of which none was seen; `false` if there is no room for another gap.
    fn note(&mut self, first: u64, last: u64) -> bool {
        let before = self.beyond.range(..first).next_back().map(|(f, l)| (*f, *l));
        let before = before.filter(|(_, end)| *end + 1 == first);
        let next = last.saturating_add(1);
        let after = self.beyond.get(&next).copied();
        let touches = before.is_some() || after.is_some() || first == self.upto + 1;
        if !touches && self.beyond.len() >= MAX_GAPS {
            return false;
        }
        if after.is_some() {
            self.beyond.remove(&next);
        }
        let last = after.unwrap_or(last);
        if first == self.upto + 1 {
            self.upto = last;
        } else {
            self.beyond.insert(before.map_or(first, |(begin, _)| begin), last);
        }
        true
    }

    /// The runs of a span that were not seen.
    fn missing(&self, first: u64, last: u64) -> Vec<(u64, u64)> {
        let (mut from, mut all) = (first.max(self.upto + 1), Vec::new());
        let begins = self.beyond.range(..=from).next_back().map_or(from, |(begin, _)| *begin);
        for (begin, end) in self.beyond.range(begins..=last.max(begins)) {
            if *begin > from && from <= last {
                all.push((from, (*begin - 1).min(last)));
            }
            from = from.max(end.saturating_add(1));
        }
        if from <= last {
            all.push((from, last));
        }
        all
    }
}

/// The ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    sources: BTreeMap<Source, Seen>,
    open: BTreeMap<Key, Totals>,
    late: BTreeMap<Key, Totals>,
    /// Ends of all periods that went out.
    closed_ms: u64,
    batches: u64,
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
            late: BTreeMap::new(),
            closed_ms: 0,
            batches: 0,
            lost: 0,
        }
    }

    fn source(&mut self, source: &Source) -> Option<&mut Seen> {
        if !self.sources.contains_key(source) {
            if self.sources.len() >= MAX_SOURCES {
                return None;
            }
            self.sources.insert(source.clone(), Seen::default());
        }
        self.sources.get_mut(source)
    }

    /// Takes in a record.
    pub fn take(&mut self, source: &Source, record: &Record) -> Taken {
        let (period, closed) = (self.settings.period_ms, self.closed_ms);
        let Some(seen) = self.source(source) else { return Taken::NoRoom };
        if !(1..MAX_SEQUENCE).contains(&record.sequence) {
            return Taken::Odd;
        }
        if seen.has(record.sequence) {
            return Taken::Again;
        }
        if !seen.note(record.sequence, record.sequence) {
            return Taken::NoRoom;
        }
        let period_ms = record.at_ms - record.at_ms % period;
        let late = period_ms < closed;
        let (customer, plan) = (record.customer, record.plan.clone());
        let key = Key { period_ms, customer, plan, version: record.version, class: record.class };
        let totals = if late { &mut self.late } else { &mut self.open }.entry(key).or_default();
        totals.records += 1;
        totals.units = totals.units + record.units;
        if late {
            Taken::Late
        } else {
            Taken::New
        }
    }

    /// A source says that these records, from the first to the last, are lost for good: it dropped them, or
    /// its disk spoilt them. Those that were counted before stay counted. `false` if there is no room to note
    /// it.
    pub fn lose(&mut self, source: &Source, first: u64, last: u64) -> bool {
        let Some(seen) = self.source(source) else { return false };
        let (mut lost, mut noted) = (0, true);
        for (first, last) in seen.missing(first.max(1), last.min(MAX_SEQUENCE - 1)) {
            noted = noted && seen.note(first, last);
            lost += if noted { last - first + 1 } else { 0 };
        }
        self.lost += lost;
        noted
    }

    /// A source says, at `now_ms`, that it has told all that it recorded up to `told_ms`. `false` if there is
    /// no room for another source. Danger: a clock that went back. What was said before stands.
    pub fn told(&mut self, now_ms: u64, source: &Source, told_ms: u64) -> bool {
        let Some(seen) = self.source(source) else { return false };
        seen.told_ms = seen.told_ms.max(told_ms);
        seen.heard_ms = seen.heard_ms.max(now_ms);
        true
    }

    /// A life has ended and told all: it holds nothing open any more. What it may still send is known as
    /// before.
    pub fn ended(&mut self, source: &Source) {
        self.sources.get_mut(source).into_iter().for_each(|seen| seen.gone = true);
    }

    /// All sequence numbers up to here are counted: what the source need not keep.
    #[must_use]
    pub fn counted_upto(&self, source: &Source) -> u64 {
        self.sources.get(source).map_or(0, |seen| seen.upto)
    }

    /// Up to when all sources that are heard have told all; none while there is no such source.
    #[must_use]
    pub fn watermark(&self, now_ms: u64) -> Option<u64> {
        let since = now_ms.saturating_sub(self.settings.silent_most_ms);
        let heard = self.sources.values().filter(|seen| !seen.gone && seen.heard_ms >= since);
        heard.map(|seen| seen.told_ms).min()
    }

    /// Closes the periods that the watermark has passed; none if there are none, or nothing to go out.
    pub fn close(&mut self, now_ms: u64) -> Option<Batch> {
        let watermark = self.watermark(now_ms)?;
        let until_ms = (watermark - watermark % self.settings.period_ms).max(self.closed_ms);
        let first_open = Key { period_ms: until_ms, customer: 0, plan: "".into(), version: 0, class: 0 };
        let stay = self.open.split_off(&first_open);
        let closes = std::mem::replace(&mut self.open, stay);
        let late = std::mem::take(&mut self.late);
        self.closed_ms = until_ms;
        let lost = std::mem::take(&mut self.lost);
        if closes.is_empty() && late.is_empty() && lost == 0 {
            return None;
        }
        let line = |adjustment| move |(key, totals): (Key, Totals)| Line { key, totals, adjustment };
        let lines = late.into_iter().map(line(true)).chain(closes.into_iter().map(line(false))).collect();
        self.batches += 1;
        Some(Batch { number: self.batches, until_ms, lines, lost })
    }
}
