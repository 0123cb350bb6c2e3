//! Lifetimes: what was answered to each question, until when it holds, when it is asked again, and what is
//! served stale (RFC 8767).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::answer::{Answer, NegativeAnswer, Question, RecordData};

/// Part of its life after which a record is asked for again, before jitter: so that it does not run out while
/// the resolver is asked once or twice more.
const REFRESH: f64 = 0.8;
/// Jitter: up to this part of the time is taken off. Danger: thousands of records of one answer, asked again
/// in the same millisecond for good.
const JITTER: f64 = 0.25;

/// Bounds of times. All in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheLimits {
    /// The least life of what was answered. Danger: a TTL of 0, and a resolver that is asked without a pause.
    pub min_ttl_ms: f64,
    /// The most.
    pub max_ttl_ms: f64,
    /// The most for "there is none" (RFC 2308 asks for 3 hours at most).
    pub max_negative_ttl_ms: f64,
    /// How long after its life a record is still served while no answer can be had (RFC 8767 proposes 1 to 3
    /// days). After that it is unknown, which removes nobody from a list.
    pub max_stale_ms: f64,
    /// The first pause after a question went unanswered; it doubles.
    pub min_retry_ms: f64,
    /// The longest.
    pub max_retry_ms: f64,
    /// The most questions that are out at once.
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

/// What is known of a question.
#[derive(Clone, Debug, PartialEq)]
pub enum CachedAnswer {
    /// Records, shared with the cache; not empty.
    Records(Arc<[RecordData]>),
    /// An authority says that there are none.
    None(NegativeAnswer),
}

/// What may be said of a question now.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheState {
    /// An answer that holds.
    Fresh(CachedAnswer),
    /// The last answer, whose life is over while no other can be had.
    Stale {
        /// The answer.
        known: CachedAnswer,
        /// Since when, ms of the caller's clock.
        since: f64,
    },
    /// No answer so far, or none for so long that the last says nothing any more.
    Unknown,
}

impl CacheState {
    /// What is known, fresh or stale.
    #[must_use]
    pub fn known(&self) -> Option<&CachedAnswer> {
        match self {
            CacheState::Fresh(known) | CacheState::Stale { known, .. } => Some(known),
            CacheState::Unknown => None,
        }
    }
}

/// A question that is to be asked now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueQuery {
    /// The question.
    pub question: Question,
    /// Its last answer is doubted: another resolver is to be asked before the one that gave it.
    pub doubted: bool,
}

#[derive(Debug, Default)]
struct Entry {
    known: Option<CachedAnswer>,
    /// When the life of `known` is over.
    until: f64,
    /// When it is to be asked next.
    ask_at: f64,
    /// It is being asked: one question for all who wait.
    out: bool,
    /// Since when every question went unanswered, and why the last did.
    failing: Option<(f64, String)>,
    pause: f64,
    /// Answers so far.
    answers: u64,
    doubted: bool,
}

/// Answers to the questions that are followed.
#[derive(Debug)]
pub struct Cache {
    bounds: CacheLimits,
    entries: BTreeMap<Question, Entry>,
    /// Those to be asked, by time; none of them is out.
    agenda: BTreeSet<(u64, Question)>,
    out: usize,
    dice: u64,
}

/// Times are not negative, so their bits sort as they do.
fn rank(at: f64) -> u64 {
    at.max(0.0).to_bits()
}

impl Cache {
    /// A cache that follows nothing. The seed is for jitter.
    #[must_use]
    pub fn new(bounds: CacheLimits, seed: u64) -> Cache {
        Cache { bounds, entries: BTreeMap::new(), agenda: BTreeSet::new(), out: 0, dice: seed }
    }

    /// Follows these questions from now on, and no others. What is new is due at once; what is known of the
    /// others stays.
    pub fn follow(&mut self, now: f64, wanted: &BTreeSet<Question>) {
        let gone: Vec<Question> = self.entries.keys().filter(|q| !wanted.contains(*q)).cloned().collect();
        for question in gone {
            if let Some(entry) = self.entries.remove(&question) {
                self.out -= usize::from(entry.out);
                self.agenda.remove(&(rank(entry.ask_at), question));
            }
        }
        for question in wanted {
            if !self.entries.contains_key(question) {
                let entry = Entry { ask_at: now, ..Entry::default() };
                self.entries.insert(question.clone(), entry);
                self.agenda.insert((rank(now), question.clone()));
            }
        }
    }

    /// Takes the questions that are to be asked now, at most as many as may be out. Each of them has to be
    /// told back by [`Cache::answered`] or [`Cache::failed`].
    pub fn due(&mut self, now: f64) -> Vec<DueQuery> {
        let mut due = Vec::new();
        while self.out < self.bounds.max_queries_in_flight {
            match self.agenda.first() {
                Some((at, _)) if *at <= rank(now) => {}
                _ => break,
            }
            let Some((_, question)) = self.agenda.pop_first() else { break };
            let Some(entry) = self.entries.get_mut(&question) else { continue };
            entry.out = true;
            self.out += 1;
            due.push(DueQuery { question, doubted: entry.doubted });
        }
        due
    }

    /// When the next question is due, if one is and may be asked.
    #[must_use]
    pub fn next(&self) -> Option<f64> {
        let first = self.agenda.first().filter(|_| self.out < self.bounds.max_queries_in_flight);
        first.map(|(at, _)| f64::from_bits(*at))
    }

    /// Has a question asked again at once, of another resolver, if it is not being asked. Danger: one that
    /// goes unanswered, asked without its pause.
    pub fn doubt(&mut self, now: f64, question: &Question) {
        let Some(entry) = self.entries.get_mut(question).filter(|e| !e.out && e.failing.is_none()) else {
            return;
        };
        entry.doubted = true;
        if entry.ask_at > now {
            self.plan(question, now);
        }
    }

    fn plan(&mut self, question: &Question, at: f64) {
        let Some(entry) = self.entries.get_mut(question) else { return };
        self.agenda.remove(&(rank(entry.ask_at), question.clone()));
        entry.ask_at = at;
        self.agenda.insert((rank(at), question.clone()));
    }

    /// Between `1 - JITTER` and 1 of a time.
    fn jittered(&mut self, time: f64) -> f64 {
        // SplitMix64 (Steele, Lea and Flood, 2014).
        self.dice = self.dice.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.dice;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        time * (1.0 - JITTER * ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64)
    }

    fn back(&mut self, question: &Question) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(question)?;
        if entry.out {
            entry.out = false;
            self.out -= 1;
        }
        Some(entry)
    }

    /// Takes an answer in. A truncated one is none: it is to be asked again over TCP by whoever asked. Tells
    /// whether what is known is another by it.
    pub fn answered(&mut self, now: f64, question: &Question, answer: Answer) -> bool {
        let b = self.bounds;
        let (known, ttl_s, most) = match answer {
            Answer::Records { records, ttl_s } => {
                (CachedAnswer::Records(records.into()), ttl_s, b.max_ttl_ms)
            }
            Answer::None { why, ttl_s } => (CachedAnswer::None(why), ttl_s, b.max_negative_ttl_ms),
            Answer::Truncated => {
                self.failed(now, question, "truncated");
                return false;
            }
        };
        let life = (f64::from(ttl_s) * 1_000.0).clamp(b.min_ttl_ms, most.max(b.min_ttl_ms));
        let pause = self.jittered(life * REFRESH);
        let Some(entry) = self.back(question) else { return false };
        let other = entry.known.as_ref() != Some(&known);
        (entry.known, entry.until, entry.failing, entry.pause) = (Some(known), now + life, None, 0.0);
        entry.doubted = false;
        entry.answers += 1;
        self.plan(question, now + pause);
        other
    }

    /// Notes that a question went unanswered: nothing, garbage, or word of a failure came.
    pub fn failed(&mut self, now: f64, question: &Question, why: &str) {
        let b = self.bounds;
        let Some(entry) = self.back(question) else { return };
        let since = entry.failing.take().map_or(now, |(since, _)| since);
        entry.failing = Some((since, why.chars().take(200).collect()));
        entry.pause = (entry.pause * 2.0).clamp(b.min_retry_ms, b.max_retry_ms);
        let pause = entry.pause;
        let pause = self.jittered(pause);
        self.plan(question, now + pause);
    }

    /// What may be said of a question.
    #[must_use]
    pub fn get(&self, now: f64, question: &Question) -> CacheState {
        let Some(entry) = self.entries.get(question) else { return CacheState::Unknown };
        match &entry.known {
            None => CacheState::Unknown,
            Some(known) if now < entry.until => CacheState::Fresh(known.clone()),
            // Danger: "there is none" that outlives its time, and holds back what is there by now. It is not
            // served stale: nobody is taken off a list by it, and nobody kept off.
            Some(CachedAnswer::None(_)) => CacheState::Unknown,
            Some(known) if now < entry.until + self.bounds.max_stale_ms => {
                CacheState::Stale { known: known.clone(), since: entry.until }
            }
            Some(_) => CacheState::Unknown,
        }
    }

    /// Answers to a question so far; 0 where it is not followed.
    #[must_use]
    pub fn answers(&self, question: &Question) -> u64 {
        self.entries.get(question).map_or(0, |e| e.answers)
    }

    /// The questions that go unanswered: since when, and why the last did.
    pub fn failing(&self) -> impl Iterator<Item = (&Question, f64, &str)> {
        self.entries.iter().filter_map(|(q, e)| e.failing.as_ref().map(|(at, why)| (q, *at, why.as_str())))
    }

    /// All questions, with the life that is left of what is known, ms: below 0 where it is stale.
    pub fn lives(&self, now: f64) -> impl Iterator<Item = (&Question, Option<f64>)> {
        self.entries.iter().map(move |(q, e)| (q, e.known.as_ref().map(|_| e.until - now)))
    }

    /// How many questions are followed, and how many are out.
    #[must_use]
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.out)
    }
}
