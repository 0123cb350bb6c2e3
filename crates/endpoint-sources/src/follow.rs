//! Follows a DNS-SD source: sends the queries that are due, brings the list up to date and hands it on.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use dns_sd::{
    Cache, CacheLimits, CacheState, CachedAnswer, Catalogue, DroppedInstance, Endpoint, FailingQuery,
    FollowedQuery, Name, Question, Status,
};
use fleet::wire::{DroppedEndpoint, EndpointListStatus, EndpointStatus, RecordStatus, UnansweredQuery};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

use crate::resolver::{QueryAnswer, QueryFailure, Resolver};
use crate::table::{EndpointTable, ListedEndpoint, ListedStatus};

/// The least time between two readings of the list: thousands of answers may come at once, and each reading
/// walks over all of them.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(20);
/// The next reading begins at the earliest after this many times the cost of the last one.
const READ_COST_FACTOR: u32 = 10;
/// The list is read this often even if there was no answer, for the ages of its records.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// The most records that are reported: a tool's line has a limit.
const MAX_REPORTED_RECORDS: usize = 10_000;
/// The most failing queries that are reported.
const MAX_REPORTED_FAILURES: usize = 100;
/// The most dropped instances that are reported.
const MAX_REPORTED_DROPPED: usize = 1_000;
/// How long an instance whose records are not all known may hold up the first list.
const MAX_FIRST_WAIT: Duration = Duration::from_secs(10);

/// Which services are followed, and how.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Services, such as `_till._tcp.ub-room.example.org`.
    pub services: Vec<Name>,
    /// Limits of lifetimes and queries.
    pub cache_limits: CacheLimits,
    /// The part of the list that may leave by one answer, 0 to 1.
    pub max_shrink: f64,
    /// Seed for jitter.
    pub seed: u64,
}

/// A request for the status of the list.
#[derive(Debug)]
pub struct StatusRequest {
    /// Whether each record is wanted too.
    pub include_records: bool,
    /// Where the response goes.
    pub response: oneshot::Sender<EndpointListStatus>,
}

/// A query that has ended.
struct EndedQuery {
    question: Question,
    result: Result<QueryAnswer, QueryFailure>,
}

/// What is not known of the list.
#[derive(Clone, Copy, Debug, Default)]
struct Unknowns {
    /// Instances of which some record is not known.
    instances: usize,
    /// Services that are not known.
    services: usize,
}

/// A source that is followed.
pub struct Follower {
    resolver: Arc<Resolver>,
    cache: Cache,
    catalogue: Catalogue,
    started: Instant,
    queries_sent: u64,
    queries: JoinSet<EndedQuery>,
    /// When the list is to be read next.
    next_read: Instant,
    /// What the last reading cost.
    read_cost: Duration,
    /// Whether the list is known.
    is_known: bool,
    /// Failing queries at the last reading.
    failing: usize,
    /// Instances that awaited confirmation at the last reading.
    awaiting_confirmation: usize,
    /// Dropped instances of the last reading.
    dropped: Vec<DroppedInstance>,
    unknowns: Unknowns,
}

impl Follower {
    /// A follower that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, resolver: Resolver) -> Follower {
        Follower {
            cache: Cache::new(settings.cache_limits, settings.seed),
            catalogue: Catalogue::new(settings.services, settings.max_shrink),
            resolver: Arc::new(resolver),
            started: Instant::now(),
            queries_sent: 0,
            queries: JoinSet::new(),
            next_read: Instant::now(),
            read_cost: Duration::ZERO,
            is_known: false,
            failing: 0,
            awaiting_confirmation: 0,
            dropped: Vec::new(),
            unknowns: Unknowns::default(),
        }
    }

    fn now_ms(&self) -> f64 {
        millis(self.started.elapsed())
    }

    /// Goes on by one event: an answer, or a time that has come. Returns the list if it was read and is to be
    /// served. `say` takes a line for each change and alarm. Cancelling loses no answer.
    pub async fn step(&mut self, say: &mut impl FnMut(String)) -> Option<BTreeMap<String, ListedEndpoint>> {
        self.send_due_queries();
        let wake = self.next_wake();
        tokio::select! {
            Some(joined) = self.queries.join_next(), if !self.queries.is_empty() => {
                // A query's task does not panic, and is cancelled only with the follower.
                if let Ok(ended) = joined {
                    self.take(ended);
                }
                return None;
            }
            () = sleep_until(wake) => {}
        }
        if Instant::now() < self.next_read {
            return None;
        }
        self.read(say)
    }

    fn send_due_queries(&mut self) {
        for due in self.cache.due(self.now_ms()) {
            self.queries_sent += 1;
            let resolver = Arc::clone(&self.resolver);
            self.queries.spawn(async move {
                let result = resolver.query(&due.question, due.doubted).await;
                EndedQuery { question: due.question, result }
            });
        }
    }

    fn next_wake(&self) -> Instant {
        let Some(next_query_ms) = self.cache.next() else { return self.next_read };
        let next_query = self.started + Duration::from_secs_f64(next_query_ms.max(0.0) / 1_000.0);
        next_query.min(self.next_read)
    }

    fn take(&mut self, ended: EndedQuery) {
        let now_ms = self.now_ms();
        let changed = match ended.result {
            Ok(answered) => self.cache.answered(now_ms, &ended.question, answered.answer),
            Err(failure) => {
                self.cache.failed(now_ms, &ended.question, &failure.to_string());
                false
            }
        };
        if changed || self.awaiting_confirmation > 0 || !self.is_known {
            let soon = Instant::now() + MIN_READ_INTERVAL.max(self.read_cost * READ_COST_FACTOR);
            self.next_read = self.next_read.min(soon);
        }
    }

    fn read(&mut self, say: &mut impl FnMut(String)) -> Option<BTreeMap<String, ListedEndpoint>> {
        let begun = Instant::now();
        let now_ms = self.now_ms();
        let update = self.catalogue.read(now_ms, &self.cache);
        self.cache.follow(now_ms, &update.followed);
        for question in &update.confirm {
            self.cache.doubt(now_ms, question);
        }
        for change in &update.changes {
            say(change.to_string());
        }
        self.report_failing(now_ms, say);
        self.report_awaiting_confirmation(update.awaiting_confirmation, say);
        self.dropped = update.dropped;
        self.unknowns = Unknowns { instances: update.pending, services: update.unknown };
        if !self.is_known && self.may_be_served(now_ms) {
            self.is_known = true;
            say(format!("the list is known: {} instances", self.catalogue.list().count()));
        }
        self.read_cost = begun.elapsed();
        self.next_read = Instant::now() + READ_INTERVAL.max(self.read_cost * READ_COST_FACTOR);
        self.is_known.then(|| self.catalogue.list().map(to_listed).collect())
    }

    /// Whether the list is complete; an instance whose records are not all known is waited for only so long.
    fn may_be_served(&self, now_ms: f64) -> bool {
        let waited_enough = now_ms > millis(MAX_FIRST_WAIT);
        self.unknowns.services == 0 && (self.unknowns.instances == 0 || waited_enough)
    }

    /// Says when queries begin to fail, and when none does any more.
    fn report_failing(&mut self, now_ms: f64, say: &mut impl FnMut(String)) {
        let failing = self.cache.failing().count();
        if self.failing == 0 && failing > 0 {
            let longest = self.cache.failing().min_by(|a, b| a.since_ms.total_cmp(&b.since_ms));
            if let Some(FailingQuery { question, since_ms, reason }) = longest {
                let since_s = (now_ms - since_ms) / 1_000.0;
                say(format!("ALARM {failing} questions unanswered, {question} for {since_s:.1} s: {reason}"));
            }
        } else if self.failing > 0 && failing == 0 {
            say("all questions are answered again".to_string());
        }
        self.failing = failing;
    }

    /// Says when instances begin to await confirmation, and when none does any more.
    fn report_awaiting_confirmation(&mut self, awaiting: usize, say: &mut impl FnMut(String)) {
        if self.awaiting_confirmation == 0 && awaiting > 0 {
            say(format!(
                "ALARM {awaiting} instances would leave at once; held until a second answer says so"
            ));
        } else if self.awaiting_confirmation > 0 && awaiting == 0 {
            say("no instance is held any more".to_string());
        }
        self.awaiting_confirmation = awaiting;
    }

    /// The status of the list, with the records that are followed if they are wanted.
    #[must_use]
    pub fn status(&self, include_records: bool) -> EndpointListStatus {
        let now_ms = self.now_ms();
        let max_records = if include_records { MAX_REPORTED_RECORDS } else { 0 };
        let followed = self.cache.followed(now_ms).take(max_records);
        EndpointListStatus {
            list: self.catalogue.list().map(|(name, e)| endpoint_status(now_ms, name, e)).collect(),
            dropped: self.dropped.iter().take(MAX_REPORTED_DROPPED).map(dropped_endpoint).collect(),
            unanswered: self.unanswered(now_ms),
            awaiting_confirmation: self.awaiting_confirmation,
            pending: self.unknowns.instances,
            unknown: self.unknowns.services,
            queries_sent: self.queries_sent,
            known: self.is_known,
            records: followed.map(|followed| self.record_status(now_ms, followed)).collect(),
        }
    }

    /// The failing queries, those that fail longest first.
    fn unanswered(&self, now_ms: f64) -> Vec<UnansweredQuery> {
        let unanswered = |failing: FailingQuery<'_>| UnansweredQuery {
            question: failing.question.to_string(),
            for_ms: now_ms - failing.since_ms,
            reason: failing.reason.to_string(),
        };
        let mut all: Vec<UnansweredQuery> = self.cache.failing().map(unanswered).collect();
        all.sort_by(|a, b| b.for_ms.total_cmp(&a.for_ms));
        all.truncate(MAX_REPORTED_FAILURES);
        all
    }

    fn record_status(&self, now_ms: f64, followed: FollowedQuery<'_>) -> RecordStatus {
        let state = self.cache.get(now_ms, followed.question);
        RecordStatus {
            question: followed.question.to_string(),
            records: state.known().map(|answer| match answer {
                CachedAnswer::Records(records) => records.len(),
                CachedAnswer::None(_) => 0,
            }),
            ttl_ms: followed.remaining_ms,
        }
    }

    /// Whether no query is in flight and each followed question was answered or has failed.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let now_ms = self.now_ms();
        let failing: HashSet<&Question> = self.cache.failing().map(|failing| failing.question).collect();
        let has_ended = |question: &Question| {
            self.cache.get(now_ms, question) != CacheState::Unknown || failing.contains(question)
        };
        self.queries.is_empty()
            && self.cache.size().followed > 0
            && self.cache.followed(now_ms).all(|followed| has_ended(followed.question))
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

fn dropped_endpoint(dropped: &DroppedInstance) -> DroppedEndpoint {
    DroppedEndpoint { instance: dropped.instance.to_utf8(), reason: dropped.reason.to_string() }
}

fn endpoint_status(now_ms: f64, name: &str, endpoint: &Endpoint) -> EndpointStatus {
    let metadata = &endpoint.metadata;
    EndpointStatus {
        name: name.to_string(),
        address: endpoint.address.to_string(),
        priority: endpoint.priority,
        weight: endpoint.weight,
        zone: metadata.zone.clone(),
        kind: metadata.instance_type.clone(),
        group: metadata.group,
        serving: metadata.status == Status::Serving,
        since_ms: metadata.since_ms,
        stale_ms: endpoint.stale_since.map(|since_ms| now_ms - since_ms),
    }
}

fn to_listed((name, endpoint): (&str, &Endpoint)) -> (String, ListedEndpoint) {
    let metadata = &endpoint.metadata;
    let listed = ListedEndpoint {
        name: name.to_string(),
        address: endpoint.address,
        zone: metadata.zone.clone(),
        instance_type: metadata.instance_type.clone(),
        group: metadata.group,
        status: match metadata.status {
            Status::Serving => ListedStatus::Serving,
            Status::Draining => ListedStatus::Draining,
        },
        weight: f64::from(endpoint.weight),
        priority: endpoint.priority,
        since_ms: metadata.since_ms,
    };
    (name.to_string(), listed)
}

/// Follows a source for good, keeps the table up to date, and responds to status requests. Cancelling ends
/// it; the table stays.
pub async fn follow(
    settings: Settings,
    resolver: Resolver,
    table: watch::Sender<Arc<EndpointTable>>,
    mut requests: mpsc::Receiver<StatusRequest>,
    mut say: impl FnMut(String),
) {
    let mut follower = Follower::new(settings, resolver);
    loop {
        let list = tokio::select! {
            list = follower.step(&mut say) => list,
            Some(StatusRequest { include_records, response }) = requests.recv() => {
                // Fails only where nobody waits for it any more.
                let _ = response.send(follower.status(include_records));
                None
            }
        };
        if let Some(list) = list {
            publish(&table, list);
        }
    }
}

/// Readers are woken only by a list that differs.
fn publish(table: &watch::Sender<Arc<EndpointTable>>, list: BTreeMap<String, ListedEndpoint>) {
    table.send_if_modified(|current| {
        if !current.differs(&list) {
            return false;
        }
        // A copy, as a reader may hold the present one.
        let mut next = EndpointTable::clone(current);
        next.replace(list);
        *current = Arc::new(next);
        true
    });
}
