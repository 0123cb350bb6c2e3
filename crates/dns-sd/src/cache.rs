//! Lifetimes of answers: until when each holds, when its question is asked again, and what is served stale
//! (RFC 8767).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::answer::{Answer, NegativeAnswer, Question, RecordData};

/// Part of its lifetime after which an answer is refreshed, before jitter: early enough for the resolver to
/// be asked once or twice more before it ends.
const REFRESH_PART: f64 = 0.8;
/// Up to this part of a time is taken off by chance. Without it, thousands of records of one answer would be
/// asked for in the same millisecond for good.
const JITTER_PART: f64 = 0.25;
/// The longest reason of a failure that is retained, characters.
const MAX_REASON_CHARS: usize = 200;

/// Limits of times, all in ms, and of queries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheLimits {
    /// The shortest lifetime of an answer: a TTL of 0 must not lead to queries without a pause.
    pub min_ttl_ms: f64,
    /// The longest lifetime of records.
    pub max_ttl_ms: f64,
    /// The longest lifetime of a negative answer (RFC 2308 asks for 3 hours at most).
    pub max_negative_ttl_ms: f64,
    /// How long after its lifetime a record is still served while no answer can be had (RFC 8767 proposes 1
    /// to 3 days). After that it is unknown, which removes nothing from a list.
    pub max_stale_ms: f64,
    /// The first backoff after a failure. It doubles with each failure in a row.
    pub min_retry_ms: f64,
    /// The longest backoff.
    pub max_retry_ms: f64,
    /// The most queries in flight.
    pub max_queries_in_flight: usize,
}

impl Default for CacheLimits {
    fn default() -> Self {
        CacheLimits {
            min_ttl_ms: 1_000.0,
            max_ttl_ms: 3_600_000.0,
            max_negative_ttl_ms: 300_000.0,
            max_stale_ms: 86_400_000.0,
            min_retry_ms: 500.0,
            max_retry_ms: 30_000.0,
            max_queries_in_flight: 64,
        }
    }
}

/// A cached answer.
#[derive(Clone, Debug, PartialEq)]
pub enum CachedAnswer {
    /// Records, shared with the cache; not empty.
    Records(Arc<[RecordData]>),
    /// An authority says that there are none.
    None(NegativeAnswer),
}

/// What the cache says of a question now.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheState {
    /// An answer within its lifetime.
    Fresh(CachedAnswer),
    /// The last answer, whose lifetime has ended while no other can be had.
    Stale {
        /// The answer.
        known: CachedAnswer,
        /// When its lifetime ended, ms of the caller's clock.
        since: f64,
    },
    /// There was no answer, or none for so long that the last one counts no more.
    Unknown,
}

impl CacheState {
    /// The answer, fresh or stale.
    #[must_use]
    pub fn known(&self) -> Option<&CachedAnswer> {
        match self {
            CacheState::Fresh(known) | CacheState::Stale { known, .. } => Some(known),
            CacheState::Unknown => None,
        }
    }

    /// Since when the answer is stale, ms of the caller's clock; none if it is not.
    #[must_use]
    pub fn stale_since(&self) -> Option<f64> {
        match self {
            CacheState::Stale { since, .. } => Some(*since),
            CacheState::Fresh(_) | CacheState::Unknown => None,
        }
    }
}

/// A query that is to be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueQuery {
    /// The question.
    pub question: Question,
    /// Whether its last answer is doubted: another resolver is to be asked before the one that gave it.
    pub doubted: bool,
}

/// A question without an answer at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailingQuery<'a> {
    /// The question.
    pub question: &'a Question,
    /// When its queries began to fail, ms of the caller's clock.
    pub since_ms: f64,
    /// Why the last one failed.
    pub reason: &'a str,
}

/// A followed question, and how long its answer holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowedQuery<'a> {
    /// The question.
    pub question: &'a Question,
    /// Lifetime that is left, ms: negative if the answer is stale, none if there is no answer.
    pub remaining_ms: Option<f64>,
}

/// How many questions a cache follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheSize {
    /// Questions that are followed.
    pub followed: usize,
    /// Those of them whose queries are in flight.
    pub in_flight: usize,
}

#[derive(Debug)]
struct Failure {
    since_ms: f64,
    reason: String,
}

#[derive(Debug, Default)]
struct Entry {
    answer: Option<CachedAnswer>,
    /// When the lifetime of the answer ends, ms.
    fresh_until_ms: f64,
    /// When the question is asked next, ms.
    next_query_ms: f64,
    in_flight: bool,
    failure: Option<Failure>,
    backoff_ms: f64,
    /// How many answers there were.
    answer_count: u64,
    doubted: bool,
}

/// A question that is to be asked, by its time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    /// Bits of the time, which sort as it does.
    time_bits: u64,
    question: Question,
}

impl TimerEntry {
    fn new(at_ms: f64, question: &Question) -> TimerEntry {
        TimerEntry { time_bits: time_bits(at_ms), question: question.clone() }
    }
}

/// Bits that sort as times do, which are not negative.
fn time_bits(at_ms: f64) -> u64 {
    at_ms.max(0.0).to_bits()
}

/// Answers to the questions that are followed.
#[derive(Debug)]
pub struct Cache {
    limits: CacheLimits,
    entries: BTreeMap<Question, Entry>,
    /// Questions that are to be asked; none of them is in flight.
    timer_queue: BTreeSet<TimerEntry>,
    in_flight: usize,
    jitter_state: u64,
}

impl Cache {
    /// A cache that follows nothing. The seed is for jitter.
    #[must_use]
    pub fn new(limits: CacheLimits, seed: u64) -> Cache {
        Cache {
            limits,
            entries: BTreeMap::new(),
            timer_queue: BTreeSet::new(),
            in_flight: 0,
            jitter_state: seed,
        }
    }

    /// Follows these questions from now on and no others. New ones are due at once; answers to the others
    /// stay.
    pub fn follow(&mut self, now_ms: f64, followed: &BTreeSet<Question>) {
        let unfollowed: Vec<Question> =
            self.entries.keys().filter(|question| !followed.contains(*question)).cloned().collect();
        for question in unfollowed {
            if let Some(entry) = self.entries.remove(&question) {
                self.in_flight -= usize::from(entry.in_flight);
                self.timer_queue.remove(&TimerEntry::new(entry.next_query_ms, &question));
            }
        }
        for question in followed {
            if !self.entries.contains_key(question) {
                let entry = Entry { next_query_ms: now_ms, ..Entry::default() };
                self.entries.insert(question.clone(), entry);
                self.timer_queue.insert(TimerEntry::new(now_ms, question));
            }
        }
    }

    /// Takes the queries that are due, as many as may be in flight. [`Cache::answered`] or [`Cache::failed`]
    /// has to follow for each.
    pub fn due(&mut self, now_ms: f64) -> Vec<DueQuery> {
        let now_bits = time_bits(now_ms);
        let mut due = Vec::new();
        while self.in_flight < self.limits.max_queries_in_flight
            && self.timer_queue.first().is_some_and(|item| item.time_bits <= now_bits)
        {
            let Some(TimerEntry { question, .. }) = self.timer_queue.pop_first() else { break };
            let Some(entry) = self.entries.get_mut(&question) else { continue };
            entry.in_flight = true;
            self.in_flight += 1;
            due.push(DueQuery { question, doubted: entry.doubted });
        }
        due
    }

    /// When the next query is due, ms; none if there is none or as many as may be are in flight.
    #[must_use]
    pub fn next(&self) -> Option<f64> {
        if self.in_flight >= self.limits.max_queries_in_flight {
            return None;
        }
        self.timer_queue.first().map(|item| f64::from_bits(item.time_bits))
    }

    /// Has a question asked again at once, of another resolver. Ignored if its query is in flight or its
    /// queries fail: these keep to their backoff.
    pub fn doubt(&mut self, now_ms: f64, question: &Question) {
        let Some(entry) = self.entries.get_mut(question) else { return };
        if entry.in_flight || entry.failure.is_some() {
            return;
        }
        entry.doubted = true;
        if entry.next_query_ms > now_ms {
            self.schedule(question, now_ms);
        }
    }

    fn schedule(&mut self, question: &Question, at_ms: f64) {
        let Some(entry) = self.entries.get_mut(question) else { return };
        self.timer_queue.remove(&TimerEntry::new(entry.next_query_ms, question));
        entry.next_query_ms = at_ms;
        self.timer_queue.insert(TimerEntry::new(at_ms, question));
    }

    /// A time less up to [`JITTER_PART`] of it, by SplitMix64 (Steele, Lea and Flood, 2014).
    fn with_jitter(&mut self, time_ms: f64) -> f64 {
        self.jitter_state = self.jitter_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.jitter_state;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
        time_ms * (1.0 - JITTER_PART * (x >> 11) as f64 / (1u64 << 53) as f64)
    }

    /// The entry of a question whose query has ended.
    fn end_query(&mut self, question: &Question) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(question)?;
        if entry.in_flight {
            entry.in_flight = false;
            self.in_flight -= 1;
        }
        Some(entry)
    }

    /// Takes an answer. A truncated one counts as a failure: whoever asked is to ask again over TCP. Returns
    /// whether the answer differs from the last one.
    pub fn answered(&mut self, now_ms: f64, question: &Question, answer: Answer) -> bool {
        let limits = self.limits;
        let (answer, ttl_s, max_ttl_ms) = match answer {
            Answer::Records { records, ttl_s } => {
                (CachedAnswer::Records(records.into()), ttl_s, limits.max_ttl_ms)
            }
            Answer::None { why, ttl_s } => (CachedAnswer::None(why), ttl_s, limits.max_negative_ttl_ms),
            Answer::Truncated => {
                self.failed(now_ms, question, "truncated");
                return false;
            }
        };
        let max_ttl_ms = max_ttl_ms.max(limits.min_ttl_ms);
        let ttl_ms = (f64::from(ttl_s) * 1_000.0).clamp(limits.min_ttl_ms, max_ttl_ms);
        let refresh_ms = self.with_jitter(ttl_ms * REFRESH_PART);
        let Some(entry) = self.end_query(question) else { return false };
        let changed = entry.answer.as_ref() != Some(&answer);
        entry.answer = Some(answer);
        entry.fresh_until_ms = now_ms + ttl_ms;
        entry.failure = None;
        entry.backoff_ms = 0.0;
        entry.doubted = false;
        entry.answer_count += 1;
        self.schedule(question, now_ms + refresh_ms);
        changed
    }

    /// Notes that a query failed: there was no answer in time, garbage, or word of a failure.
    pub fn failed(&mut self, now_ms: f64, question: &Question, reason: &str) {
        let limits = self.limits;
        let Some(entry) = self.end_query(question) else { return };
        let since_ms = entry.failure.take().map_or(now_ms, |failure| failure.since_ms);
        let reason = reason.chars().take(MAX_REASON_CHARS).collect();
        entry.failure = Some(Failure { since_ms, reason });
        entry.backoff_ms = (entry.backoff_ms * 2.0).clamp(limits.min_retry_ms, limits.max_retry_ms);
        let backoff_ms = entry.backoff_ms;
        let retry_ms = now_ms + self.with_jitter(backoff_ms);
        self.schedule(question, retry_ms);
    }

    /// What may be said of a question.
    ///
    /// A negative answer is never stale: beyond its lifetime it would keep off what is there by now.
    #[must_use]
    pub fn get(&self, now_ms: f64, question: &Question) -> CacheState {
        let Some(entry) = self.entries.get(question) else { return CacheState::Unknown };
        let Some(answer) = &entry.answer else { return CacheState::Unknown };
        if now_ms < entry.fresh_until_ms {
            return CacheState::Fresh(answer.clone());
        }
        let may_be_stale = now_ms < entry.fresh_until_ms + self.limits.max_stale_ms;
        match answer {
            CachedAnswer::Records(_) if may_be_stale => {
                CacheState::Stale { known: answer.clone(), since: entry.fresh_until_ms }
            }
            CachedAnswer::Records(_) | CachedAnswer::None(_) => CacheState::Unknown,
        }
    }

    /// How many answers to a question there were; 0 if it is not followed.
    #[must_use]
    pub fn answers(&self, question: &Question) -> u64 {
        self.entries.get(question).map_or(0, |entry| entry.answer_count)
    }

    /// The questions whose queries fail, in order.
    pub fn failing(&self) -> impl Iterator<Item = FailingQuery<'_>> {
        self.entries.iter().filter_map(|(question, entry)| {
            let failure = entry.failure.as_ref()?;
            Some(FailingQuery { question, since_ms: failure.since_ms, reason: &failure.reason })
        })
    }

    /// All questions that are followed, in order.
    pub fn followed(&self, now_ms: f64) -> impl Iterator<Item = FollowedQuery<'_>> {
        self.entries.iter().map(move |(question, entry)| {
            let remaining_ms = entry.answer.as_ref().map(|_| entry.fresh_until_ms - now_ms);
            FollowedQuery { question, remaining_ms }
        })
    }

    /// How many questions are followed and in flight.
    #[must_use]
    pub fn size(&self) -> CacheSize {
        CacheSize { followed: self.entries.len(), in_flight: self.in_flight }
    }
}
