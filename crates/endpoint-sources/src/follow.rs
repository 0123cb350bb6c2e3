//! A DNS-SD source: asks what falls due, reads the list anew, and hands it on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use dns_sd::{
    Cache, CacheLimits, CacheState, CachedAnswer, Catalogue, DroppedInstance, Endpoint, Name, Question,
    Status,
};
use fleet::wire::{DroppedEndpoint, EndpointListStatus, EndpointStatus, RecordStatus, UnansweredQuery};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

use crate::resolver::{self, QueryAnswer, Resolver};
use crate::table::{EndpointTable, ListedEndpoint};

/// The least time between two readings of the list, and how many times the last one's cost it is. Danger:
/// thousands of answers, each followed by a walk over all of them.
const READ_AGAIN: (Duration, u32) = (Duration::from_millis(20), 10);
/// The list is read so often even if nothing was answered: ages are told by it.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Of these, so many at most are told: a tool's line has an end.
const MAX_REPORTED_RECORDS: usize = 10_000;
const MAX_REPORTED_FAILURES: usize = 100;
const MAX_REPORTED_DROPPED: usize = 1_000;
/// How long an instance whose records are not all known may hold up the first list.
const MAX_FIRST_WAIT: Duration = Duration::from_secs(10);

/// What is followed, and how.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Services, such as `_till._tcp.ub-room.example.org`.
    pub services: Vec<Name>,
    /// Bounds of lifetimes.
    pub bounds: CacheLimits,
    /// The part of the list that may leave by one answer, 0 to 1.
    pub shrink_most: f64,
    /// For jitter.
    pub seed: u64,
}

/// Somebody who wants to know how the list stands, with each record or without.
#[derive(Debug)]
pub struct StatusRequest {
    /// Whether records are wanted.
    pub records: bool,
    /// Where the answer goes.
    pub answer: oneshot::Sender<EndpointListStatus>,
}

/// A source that is followed.
pub struct Follower {
    resolver: Arc<Resolver>,
    cache: Cache,
    catalogue: Catalogue,
    begun: Instant,
    asked: u64,
    asking: JoinSet<(Question, Result<QueryAnswer, resolver::QueryFailure>)>,
    /// When the list is to be read next, and what the last reading took.
    read_at: Instant,
    cost: Duration,
    ready: bool,
    failing: usize,
    held: usize,
    /// Of the last reading.
    dropped: Vec<DroppedInstance>,
    pending: (usize, usize),
}

impl Follower {
    /// One that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, resolver: Resolver) -> Follower {
        Follower {
            cache: Cache::new(settings.bounds, settings.seed),
            catalogue: Catalogue::new(settings.services, settings.shrink_most),
            resolver: Arc::new(resolver),
            begun: Instant::now(),
            asked: 0,
            asking: JoinSet::new(),
            read_at: Instant::now(),
            cost: Duration::ZERO,
            ready: false,
            failing: 0,
            held: 0,
            dropped: Vec::new(),
            pending: (0, 0),
        }
    }

    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1_000.0
    }

    /// Goes on by one event: an answer, or a time that has come. Gives the list if it was read and is to be
    /// served. `say` takes a line for each change and alarm. Cancelling loses no answer.
    pub async fn step(&mut self, say: &mut impl FnMut(String)) -> Option<BTreeMap<String, ListedEndpoint>> {
        let now = self.now();
        for due in self.cache.due(now) {
            self.asked += 1;
            let resolver = Arc::clone(&self.resolver);
            self.asking.spawn(async move {
                let answered = resolver.query(&due.question, due.doubted).await;
                (due.question, answered)
            });
        }
        let next = self.cache.next().map(|at| self.begun + Duration::from_secs_f64(at.max(0.0) / 1_000.0));
        let wake = next.map_or(self.read_at, |next| next.min(self.read_at));
        tokio::select! {
            Some(joined) = self.asking.join_next(), if !self.asking.is_empty() => {
                // A task that asks does not panic, and is not cancelled but with this.
                if let Ok((question, answered)) = joined {
                    self.take(&question, answered);
                }
                return None;
            }
            () = sleep_until(wake) => {}
        }
        if Instant::now() < self.read_at {
            return None;
        }
        self.read(say)
    }

    fn take(&mut self, question: &Question, answered: Result<QueryAnswer, resolver::QueryFailure>) {
        let now = self.now();
        let changed = match answered {
            Ok(answered) => self.cache.answered(now, question, answered.answer),
            Err(unanswered) => {
                self.cache.failed(now, question, &unanswered.to_string());
                false
            }
        };
        if changed || self.held > 0 || !self.ready {
            let soon = Instant::now() + READ_AGAIN.0.max(self.cost * READ_AGAIN.1);
            self.read_at = self.read_at.min(soon);
        }
    }

    fn read(&mut self, say: &mut impl FnMut(String)) -> Option<BTreeMap<String, ListedEndpoint>> {
        let (begun, now) = (Instant::now(), self.now());
        let reading = self.catalogue.read(now, &self.cache);
        self.cache.follow(now, &reading.wanted);
        reading.confirm.iter().for_each(|question| self.cache.doubt(now, question));
        reading.changes.iter().for_each(|change| say(change.to_string()));
        self.alarms(now, reading.held, say);
        (self.dropped, self.pending) = (reading.dropped, (reading.pending, reading.unknown));
        let (pending, unknown) = self.pending;
        let whole = unknown == 0 && (pending == 0 || now > MAX_FIRST_WAIT.as_secs_f64() * 1_000.0);
        if whole && !self.ready {
            self.ready = true;
            say(format!("the list is known: {} instances", self.catalogue.list().count()));
        }
        self.cost = begun.elapsed();
        self.read_at = Instant::now() + READ_TIMEOUT.max(self.cost * READ_AGAIN.1);
        self.ready.then(|| self.catalogue.list().map(line).collect())
    }

    /// Says what began to fail or to be held, and what no longer does.
    fn alarms(&mut self, now: f64, held: usize, say: &mut impl FnMut(String)) {
        let failing = self.cache.failing().count();
        match (self.failing, failing) {
            (0, n) if n > 0 => {
                if let Some((question, since, why)) = self.cache.failing().min_by(|a, b| a.1.total_cmp(&b.1))
                {
                    let since = (now - since) / 1_000.0;
                    say(format!("ALARM {n} questions unanswered, {question} for {since:.1} s: {why}"));
                }
            }
            (n, 0) if n > 0 => say("all questions are answered again".to_string()),
            _ => {}
        }
        match (self.held, held) {
            (0, n) if n > 0 => {
                say(format!("ALARM {n} instances would leave at once; held until a second answer says so"));
            }
            (n, 0) if n > 0 => say("no instance is held any more".to_string()),
            _ => {}
        }
        (self.failing, self.held) = (failing, held);
    }

    /// How the list stands, with the records that are followed if they are wanted,
    /// [`MAX_REPORTED_RECORDS`] at most.
    #[must_use]
    pub fn report(&self, records: bool) -> EndpointListStatus {
        let now = self.now();
        let record = |(question, life_ms): (&Question, Option<f64>)| RecordStatus {
            question: question.to_string(),
            records: self.cache.get(now, question).known().map(|known| match known {
                CachedAnswer::Records(records) => records.len(),
                CachedAnswer::None(_) => 0,
            }),
            ttl_ms: life_ms,
        };
        let unanswered = |(question, since, why): (&Question, f64, &str)| UnansweredQuery {
            question: question.to_string(),
            for_ms: now - since,
            reason: why.to_string(),
        };
        let mut failing: Vec<UnansweredQuery> = self.cache.failing().map(unanswered).collect();
        failing.sort_by(|a, b| b.for_ms.total_cmp(&a.for_ms));
        failing.truncate(MAX_REPORTED_FAILURES);
        let dropped = self.dropped.iter().take(MAX_REPORTED_DROPPED);
        let (pending, unknown) = self.pending;
        EndpointListStatus {
            list: self.catalogue.list().map(|(name, e)| listed(now, name, e)).collect(),
            dropped: dropped
                .map(|d| DroppedEndpoint { instance: d.instance.to_utf8(), reason: d.why.clone() })
                .collect(),
            unanswered: failing,
            awaiting_confirmation: self.held,
            pending,
            unknown,
            queries_sent: self.asked,
            known: self.ready,
            records: self
                .cache
                .lives(now)
                .map(record)
                .take(if records { MAX_REPORTED_RECORDS } else { 0 })
                .collect(),
        }
    }

    /// Whether nothing is being asked and every question was answered or failed once.
    #[must_use]
    pub fn settled(&self) -> bool {
        let now = self.now();
        let failing: Vec<&Question> = self.cache.failing().map(|(q, ..)| q).collect();
        let told = |q: &Question| self.cache.get(now, q) != CacheState::Unknown || failing.contains(&q);
        self.asking.is_empty() && self.cache.size().0 > 0 && self.cache.lives(now).all(|(q, _)| told(q))
    }
}

fn listed(now: f64, name: &str, endpoint: &Endpoint) -> EndpointStatus {
    let traits = &endpoint.traits;
    EndpointStatus {
        name: name.to_string(),
        address: endpoint.address.to_string(),
        priority: endpoint.priority,
        weight: endpoint.weight,
        zone: traits.zone.clone(),
        kind: traits.kind.clone(),
        group: traits.group,
        serving: traits.status == Status::Serving,
        since_ms: traits.since_ms,
        stale_ms: endpoint.stale_since.map(|since| now - since),
    }
}

fn line((name, endpoint): (&str, &Endpoint)) -> (String, ListedEndpoint) {
    let status = match endpoint.traits.status {
        Status::Serving => "SERVING",
        Status::Draining => "DRAINING",
    };
    let line = ListedEndpoint {
        name: name.to_string(),
        address: endpoint.address,
        zone: endpoint.traits.zone.clone(),
        kind: endpoint.traits.kind.clone(),
        group: endpoint.traits.group,
        status,
        weight: f64::from(endpoint.weight),
        priority: endpoint.priority,
        since_ms: endpoint.traits.since_ms,
    };
    (name.to_string(), line)
}

/// Follows a source for good, keeps the table at what it says, and answers whoever asks. Cancelling ends it;
/// the table stays.
pub async fn follow(
    settings: Settings,
    resolver: Resolver,
    table: watch::Sender<Arc<EndpointTable>>,
    mut asks: mpsc::Receiver<StatusRequest>,
    mut say: impl FnMut(String),
) {
    let mut following = Follower::new(settings, resolver);
    loop {
        let list = tokio::select! {
            list = following.step(&mut say) => list,
            Some(StatusRequest { records, answer }) = asks.recv() => {
                // Fails only where nobody waits for it any more.
                let _ = answer.send(following.report(records));
                None
            }
        };
        let Some(list) = list else { continue };
        table.send_if_modified(|now| {
            let changes = now.differs(&list);
            if changes {
                // A copy, as a reader may hold the old one.
                let mut next = EndpointTable::clone(now);
                next.replace(list);
                *now = Arc::new(next);
            }
            changes
        });
    }
}
