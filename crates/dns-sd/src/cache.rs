//! Cache of answers with their lifetimes and refresh schedule. Records may be served stale (RFC 8767).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::answer::{Answer, NegativeAnswer, Question, RecordData};

/// Fraction of an answer's lifetime after which it is refreshed, before jitter. It leaves time for one or two
/// retries before the lifetime ends.
const REFRESH_FRACTION: f64 = 0.8;
/// Maximum fraction of a delay that jitter subtracts. Without jitter, thousands of records that one answer
/// named would stay synchronized and be queried in the same millisecond each time.
const JITTER_FRACTION: f64 = 0.25;
/// Maximum length of a stored failure reason, characters.
const MAX_REASON_CHARS: usize = 200;

/// Limits on lifetimes, backoff and queries in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheLimits {
    /// Minimum lifetime of an answer, ms. A TTL of 0 must not lead to continuous queries.
    pub min_ttl_ms: f64,
    /// Maximum lifetime of records, ms.
    pub max_ttl_ms: f64,
    /// Maximum lifetime of a negative answer, ms (RFC 2308 recommends at most 3 hours).
    pub max_negative_ttl_ms: f64,
    /// How long records are served stale after their lifetime while queries fail, ms (RFC 8767 suggests 1 to
    /// 3 days). After that they are unknown, which removes no instance from the list.
    pub max_stale_ms: f64,
    /// Backoff after the first failure, ms. It doubles with each consecutive failure.
    pub min_retry_ms: f64,
    /// Maximum backoff, ms.
    pub max_retry_ms: f64,
    /// Maximum number of queries in flight.
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
    /// An authoritative server states that there are none.
    Negative(NegativeAnswer),
}

/// Cache lookup result for a question.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheState {
    /// An answer within its lifetime.
    Fresh(CachedAnswer),
    /// Records whose lifetime has ended without a newer answer.
    Stale {
        /// The last answer.
        answer: CachedAnswer,
        /// When its lifetime ended, ms of the caller's clock.
        since_ms: f64,
    },
    /// There is no answer, or the last one is too old to be served stale.
    Unknown,
}

impl CacheState {
    /// Returns the answer, fresh or stale.
    #[must_use]
    pub fn answer(&self) -> Option<&CachedAnswer> {
        match self {
            CacheState::Fresh(answer) | CacheState::Stale { answer, .. } => Some(answer),
            CacheState::Unknown => None,
        }
    }

    /// Returns when the answer became stale, ms of the caller's clock; `None` if it is not stale.
    #[must_use]
    pub fn stale_since_ms(&self) -> Option<f64> {
        match self {
            CacheState::Stale { since_ms, .. } => Some(*since_ms),
            CacheState::Fresh(_) | CacheState::Unknown => None,
        }
    }
}

/// A query that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueQuery {
    /// The question.
    pub question: Question,
    /// Whether the last answer needs confirmation: other resolvers are asked before the one that gave it.
    pub needs_confirmation: bool,
}

/// A question whose queries are failing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailingQuery<'a> {
    /// The question.
    pub question: &'a Question,
    /// When its queries began to fail, ms of the caller's clock.
    pub since_ms: f64,
    /// Reason of the last failure.
    pub reason: &'a str,
}

/// A followed question and the remaining lifetime of its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FollowedQuery<'a> {
    /// The question.
    pub question: &'a Question,
    /// Remaining lifetime, ms: negative if it has ended, `None` if there is no answer.
    pub remaining_ms: Option<f64>,
}

/// Size of a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheSize {
    /// Number of followed questions.
    pub followed: usize,
    /// Number of queries in flight.
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
    /// When the next query is due, ms.
    next_query_ms: f64,
    in_flight: bool,
    failure: Option<Failure>,
    backoff_ms: f64,
    /// Number of answers received.
    answer_count: u64,
    needs_confirmation: bool,
}

/// Entry of the timer queue, ordered by time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerEntry {
    /// Due time by [`time_bits`].
    time_bits: u64,
    question: Question,
}

impl TimerEntry {
    fn new(at_ms: f64, question: &Question) -> TimerEntry {
        TimerEntry { time_bits: time_bits(at_ms), question: question.clone() }
    }
}

/// Maps a time to bits with the same order. A negative time counts as 0.
fn time_bits(at_ms: f64) -> u64 {
    at_ms.max(0.0).to_bits()
}

/// Cache of the answers to the followed questions.
#[derive(Debug)]
pub struct Cache {
    limits: CacheLimits,
    entries: BTreeMap<Question, Entry>,
    /// Questions by the time of their next query, without those in flight.
    timer_queue: BTreeSet<TimerEntry>,
    in_flight: usize,
    jitter_state: u64,
}

impl Cache {
    /// Creates a cache that follows no questions. `seed` is for jitter.
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

    /// Sets the followed questions. New ones are due at once, those followed before keep their answers, and
    /// all others are forgotten.
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

    /// Takes the queries that are due, up to the limit of queries in flight. The caller has to end each with
    /// [`Cache::record_answer`] or [`Cache::record_failure`].
    pub fn take_due(&mut self, now_ms: f64) -> Vec<DueQuery> {
        let now_bits = time_bits(now_ms);
        let mut due = Vec::new();
        while self.in_flight < self.limits.max_queries_in_flight
            && self.timer_queue.first().is_some_and(|timer| timer.time_bits <= now_bits)
        {
            let Some(TimerEntry { question, .. }) = self.timer_queue.pop_first() else { break };
            let Some(entry) = self.entries.get_mut(&question) else { continue };
            entry.in_flight = true;
            self.in_flight += 1;
            due.push(DueQuery { question, needs_confirmation: entry.needs_confirmation });
        }
        due
    }

    /// Returns when the next query is due, ms; `None` if there is none or the limit of queries in flight is
    /// reached.
    #[must_use]
    pub fn next_due_ms(&self) -> Option<f64> {
        if self.in_flight >= self.limits.max_queries_in_flight {
            return None;
        }
        self.timer_queue.first().map(|timer| f64::from_bits(timer.time_bits))
    }

    /// Makes a question due at once, to be asked of another resolver. Ignored while its query is in flight or
    /// its queries are failing, as those keep their backoff.
    pub fn request_confirmation(&mut self, now_ms: f64, question: &Question) {
        let Some(entry) = self.entries.get_mut(question) else { return };
        if entry.in_flight || entry.failure.is_some() {
            return;
        }
        entry.needs_confirmation = true;
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

    /// Subtracts up to [`JITTER_FRACTION`] of a delay at random, by SplitMix64 (Steele, Lea and Flood, 2014).
    fn with_jitter(&mut self, time_ms: f64) -> f64 {
        self.jitter_state = self.jitter_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.jitter_state;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^= x >> 31;
        time_ms * (1.0 - JITTER_FRACTION * (x >> 11) as f64 / (1u64 << 53) as f64)
    }

    /// Marks the query of a question as ended and returns its entry.
    fn end_query(&mut self, question: &Question) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(question)?;
        if entry.in_flight {
            entry.in_flight = false;
            self.in_flight -= 1;
        }
        Some(entry)
    }

    /// Stores the answer to a query. A truncated one counts as a failure, as the caller has to repeat the
    /// query over TCP. Returns whether the answer differs from the previous one.
    pub fn record_answer(&mut self, now_ms: f64, question: &Question, answer: Answer) -> bool {
        let limits = self.limits;
        let (answer, ttl_s, max_ttl_ms) = match answer {
            Answer::Records { records, ttl_s } => {
                (CachedAnswer::Records(records.into()), ttl_s, limits.max_ttl_ms)
            }
            Answer::Negative { kind, ttl_s } => {
                (CachedAnswer::Negative(kind), ttl_s, limits.max_negative_ttl_ms)
            }
            Answer::Truncated => {
                self.record_failure(now_ms, question, "truncated");
                return false;
            }
        };
        let max_ttl_ms = max_ttl_ms.max(limits.min_ttl_ms);
        let ttl_ms = (f64::from(ttl_s) * 1_000.0).clamp(limits.min_ttl_ms, max_ttl_ms);
        let refresh_ms = self.with_jitter(ttl_ms * REFRESH_FRACTION);
        let Some(entry) = self.end_query(question) else { return false };
        let changed = entry.answer.as_ref() != Some(&answer);
        entry.answer = Some(answer);
        entry.fresh_until_ms = now_ms + ttl_ms;
        entry.failure = None;
        entry.backoff_ms = 0.0;
        entry.needs_confirmation = false;
        entry.answer_count += 1;
        self.schedule(question, now_ms + refresh_ms);
        changed
    }

    /// Records that a query failed: it timed out, or the answer was malformed or an error response.
    pub fn record_failure(&mut self, now_ms: f64, question: &Question, reason: &str) {
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

    /// Looks up the answer to a question.
    ///
    /// A negative answer is never served stale: after its lifetime it could hide records that exist by now.
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
                CacheState::Stale { answer: answer.clone(), since_ms: entry.fresh_until_ms }
            }
            CachedAnswer::Records(_) | CachedAnswer::Negative(_) => CacheState::Unknown,
        }
    }

    /// Returns whether there is no usable answer to a question although there was time for one: the last one
    /// is too old, or the queries fail.
    #[must_use]
    pub fn is_unanswered(&self, now_ms: f64, question: &Question) -> bool {
        let Some(entry) = self.entries.get(question) else { return false };
        let was_asked = entry.answer.is_some() || entry.failure.is_some();
        was_asked && self.get(now_ms, question) == CacheState::Unknown
    }

    /// Returns the number of answers received for a question; 0 if it is not followed.
    #[must_use]
    pub fn answer_count(&self, question: &Question) -> u64 {
        self.entries.get(question).map_or(0, |entry| entry.answer_count)
    }

    /// Returns the questions whose queries are failing, in order.
    pub fn failing_queries(&self) -> impl Iterator<Item = FailingQuery<'_>> {
        self.entries.iter().filter_map(|(question, entry)| {
            let failure = entry.failure.as_ref()?;
            Some(FailingQuery { question, since_ms: failure.since_ms, reason: &failure.reason })
        })
    }

    /// Returns all followed questions, in order.
    pub fn followed_queries(&self, now_ms: f64) -> impl Iterator<Item = FollowedQuery<'_>> {
        self.entries.iter().map(move |(question, entry)| {
            let remaining_ms = entry.answer.as_ref().map(|_| entry.fresh_until_ms - now_ms);
            FollowedQuery { question, remaining_ms }
        })
    }

    /// Returns the number of followed questions and of queries in flight.
    #[must_use]
    pub fn size(&self) -> CacheSize {
        CacheSize { followed: self.entries.len(), in_flight: self.in_flight }
    }
}
