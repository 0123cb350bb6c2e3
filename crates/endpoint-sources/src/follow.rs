//! Follows a DNS-SD source: sends the queries that are due, updates the list and publishes it.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dns_sd::{
    Cache, CacheLimits, CacheState, CachedAnswer, Catalogue, DroppedInstance, Endpoint, FailingQuery,
    FollowedQuery, Name, Question,
};
use fleet::wire::{EndpointListStatus, EndpointStatus, RecordStatus, UnansweredQuery};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

use crate::entries::{dropped_endpoint, endpoint_status, listed_endpoint};
use crate::resolver::{QueryAnswer, QueryFailure, Resolver};
use crate::table::{EndpointTable, ListedEndpoint};
use crate::unknown_values::UnknownValueLog;

/// Minimum time between two updates of the list. Thousands of answers may arrive at once, and each update
/// reads all of them.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(20);
/// The next update starts no earlier than this multiple of the duration of the last one.
const UPDATE_COST_FACTOR: u32 = 10;
/// Interval of updates without new answers, which account for records that become stale.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of records in a status: the lines of the tool protocol have a length limit.
const MAX_REPORTED_RECORDS: usize = 10_000;
/// Maximum number of failing queries in a status.
const MAX_REPORTED_FAILURES: usize = 100;
/// Maximum number of dropped instances in a status.
const MAX_REPORTED_DROPPED: usize = 1_000;
/// Maximum time for which instances with unknown records delay the first list.
const MAX_FIRST_WAIT: Duration = Duration::from_secs(10);

/// Settings of a [`Follower`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Services, such as `_till._tcp.ub-room.example.org`.
    pub services: Vec<Name>,
    /// Limits on lifetimes and queries.
    pub cache_limits: CacheLimits,
    /// Fraction of the list that may be removed at once without a second answer, 0 to 1.
    pub max_shrink: f64,
    /// Seed for jitter.
    pub seed: u64,
}

/// A request for the status of the list.
#[derive(Debug)]
pub struct StatusRequest {
    /// Whether the status includes each followed record.
    pub include_records: bool,
    /// Receives the status.
    pub response: oneshot::Sender<EndpointListStatus>,
}

/// A query that has ended, with its result.
struct EndedQuery {
    question: Question,
    result: Result<QueryAnswer, QueryFailure>,
}

/// Counts of unknown records.
#[derive(Clone, Copy, Debug, Default)]
struct Unknowns {
    /// Instances with an unknown record.
    instances: usize,
    /// Services whose instances are unknown.
    services: usize,
}

/// Follows a DNS-SD source and maintains its endpoint list.
pub struct Follower {
    resolver: Arc<Resolver>,
    cache: Cache,
    catalogue: Catalogue,
    started: Instant,
    /// Unix time of `started`, ms.
    started_unix_ms: f64,
    queries_sent: u64,
    queries: JoinSet<EndedQuery>,
    /// When the list is updated next.
    next_update: Instant,
    /// Duration of the last update.
    update_cost: Duration,
    /// Since when the list is known, so that it may be served, ms; `None` if it is not.
    known_since_ms: Option<f64>,
    unknown_values: UnknownValueLog,
    /// Number of failing queries at the last update.
    failing: usize,
    /// Number of instances that awaited confirmation at the last update.
    awaiting_confirmation: usize,
    /// Instances that the last update dropped.
    dropped: Vec<DroppedInstance>,
    unknowns: Unknowns,
}

impl Follower {
    /// Creates a follower with an empty, unknown list.
    #[must_use]
    pub fn new(settings: Settings, resolver: Resolver) -> Follower {
        Follower {
            cache: Cache::new(settings.cache_limits, settings.seed),
            catalogue: Catalogue::new(settings.services, settings.max_shrink),
            resolver: Arc::new(resolver),
            started: Instant::now(),
            started_unix_ms: millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()),
            queries_sent: 0,
            queries: JoinSet::new(),
            next_update: Instant::now(),
            update_cost: Duration::ZERO,
            known_since_ms: None,
            unknown_values: UnknownValueLog::default(),
            failing: 0,
            awaiting_confirmation: 0,
            dropped: Vec::new(),
            unknowns: Unknowns::default(),
        }
    }

    fn now_ms(&self) -> f64 {
        millis(self.started.elapsed())
    }

    /// Waits for and handles one event: the end of a query, or a timer. Returns the list if it was updated
    /// and may be served. `log` receives a line for each change and alarm. This method is cancel safe.
    pub async fn step(&mut self, log: &mut impl FnMut(String)) -> Option<BTreeMap<String, ListedEndpoint>> {
        self.send_due_queries();
        let wake = self.next_wake();
        tokio::select! {
            Some(joined) = self.queries.join_next(), if !self.queries.is_empty() => {
                // A query's task neither panics nor is cancelled before the follower is dropped.
                if let Ok(ended) = joined {
                    self.handle_ended_query(ended);
                }
                return None;
            }
            () = sleep_until(wake) => {}
        }
        if Instant::now() < self.next_update {
            return None;
        }
        self.update_list(log)
    }

    fn send_due_queries(&mut self) {
        for due in self.cache.take_due(self.now_ms()) {
            self.queries_sent += 1;
            let resolver = Arc::clone(&self.resolver);
            self.queries.spawn(async move {
                let result = resolver.query(&due.question, due.needs_confirmation).await;
                EndedQuery { question: due.question, result }
            });
        }
    }

    fn next_wake(&self) -> Instant {
        let Some(next_query_ms) = self.cache.next_due_ms() else { return self.next_update };
        let next_query = self.started + Duration::from_secs_f64(next_query_ms.max(0.0) / 1_000.0);
        next_query.min(self.next_update)
    }

    fn handle_ended_query(&mut self, ended: EndedQuery) {
        let now_ms = self.now_ms();
        let changed = match ended.result {
            Ok(answer) => self.cache.record_answer(now_ms, &ended.question, answer.answer),
            Err(failure) => {
                self.cache.record_failure(now_ms, &ended.question, &failure.to_string());
                false
            }
        };
        if changed || self.awaiting_confirmation > 0 || !self.is_known() {
            let soon = Instant::now() + MIN_UPDATE_INTERVAL.max(self.update_cost * UPDATE_COST_FACTOR);
            self.next_update = self.next_update.min(soon);
        }
    }

    fn update_list(&mut self, log: &mut impl FnMut(String)) -> Option<BTreeMap<String, ListedEndpoint>> {
        let start = Instant::now();
        let now_ms = self.now_ms();
        let update = self.catalogue.update(now_ms, &self.cache);
        self.cache.follow(now_ms, &update.followed);
        for question in &update.to_confirm {
            self.cache.request_confirmation(now_ms, question);
        }
        for change in &update.changes {
            log(change.to_string());
        }
        self.report_failing(now_ms, log);
        self.report_awaiting_confirmation(update.awaiting_confirmation, log);
        self.dropped = update.dropped;
        self.unknowns = Unknowns { instances: update.pending_instances, services: update.unknown_services };
        self.unknown_values.update(self.catalogue.list(), log);
        if !self.is_known() && self.may_be_served(now_ms) {
            self.known_since_ms = Some(now_ms);
            log(format!("the list is known: {} instances", self.catalogue.list().count()));
        }
        self.update_cost = start.elapsed();
        self.next_update = Instant::now() + UPDATE_INTERVAL.max(self.update_cost * UPDATE_COST_FACTOR);
        self.is_known().then(|| self.listed_endpoints())
    }

    fn is_known(&self) -> bool {
        self.known_since_ms.is_some()
    }

    fn listed_endpoints(&self) -> BTreeMap<String, ListedEndpoint> {
        let listed = |(name, endpoint): (&str, &Endpoint)| {
            (name.to_string(), listed_endpoint(name, endpoint, self.start_time_ms(endpoint)))
        };
        self.catalogue.list().map(listed).collect()
    }

    /// Returns the start time of an instance, Unix time in ms; 0 for long ago. An instance of unknown start
    /// time that joins a known list may have started just now; one of the first list is taken for older, as
    /// all of them together could not serve the load while they warm up.
    fn start_time_ms(&self, endpoint: &Endpoint) -> f64 {
        let joined_later = self.known_since_ms.is_some_and(|known| endpoint.listed_since_ms > known);
        match endpoint.metadata.since_ms {
            Some(since_ms) => since_ms,
            None if joined_later => (self.started_unix_ms + endpoint.listed_since_ms).floor(),
            None => 0.0,
        }
    }

    /// Returns whether the list is complete. Instances with unknown records delay it for at most
    /// [`MAX_FIRST_WAIT`], but an empty list until one of them is known: gateways would remove all backends.
    fn may_be_served(&self, now_ms: f64) -> bool {
        let waited_enough = now_ms > millis(MAX_FIRST_WAIT) && self.catalogue.list().next().is_some();
        self.unknowns.services == 0 && (self.unknowns.instances == 0 || waited_enough)
    }

    /// Logs when queries begin to fail, and when no query fails any more.
    fn report_failing(&mut self, now_ms: f64, log: &mut impl FnMut(String)) {
        let failing = self.cache.failing_queries().count();
        if self.failing == 0 && failing > 0 {
            let longest_failing =
                self.cache.failing_queries().min_by(|a, b| a.since_ms.total_cmp(&b.since_ms));
            if let Some(FailingQuery { question, since_ms, reason }) = longest_failing {
                let since_s = (now_ms - since_ms) / 1_000.0;
                log(format!("ALARM {failing} questions unanswered, {question} for {since_s:.1} s: {reason}"));
            }
        } else if self.failing > 0 && failing == 0 {
            log("all questions are answered again".to_string());
        }
        self.failing = failing;
    }

    /// Logs when removals begin to await confirmation, and when none does any more.
    fn report_awaiting_confirmation(&mut self, awaiting: usize, log: &mut impl FnMut(String)) {
        if self.awaiting_confirmation == 0 && awaiting > 0 {
            log(format!(
                "ALARM {awaiting} instances would leave at once; held until a second answer says so"
            ));
        } else if self.awaiting_confirmation > 0 && awaiting == 0 {
            log("no instance is held any more".to_string());
        }
        self.awaiting_confirmation = awaiting;
    }

    /// Returns the status of the list, with the followed records if `include_records` is set.
    #[must_use]
    pub fn status(&self, include_records: bool) -> EndpointListStatus {
        let now_ms = self.now_ms();
        let max_records = if include_records { MAX_REPORTED_RECORDS } else { 0 };
        let followed = self.cache.followed_queries(now_ms).take(max_records);
        EndpointListStatus {
            list: self.endpoint_statuses(now_ms),
            dropped: self.dropped.iter().take(MAX_REPORTED_DROPPED).map(dropped_endpoint).collect(),
            unanswered: self.unanswered(now_ms),
            awaiting_confirmation: self.awaiting_confirmation,
            pending: self.unknowns.instances,
            unknown: self.unknowns.services,
            queries_sent: self.queries_sent,
            known: self.is_known(),
            records: followed.map(|followed| self.record_status(now_ms, followed)).collect(),
        }
    }

    fn endpoint_statuses(&self, now_ms: f64) -> Vec<EndpointStatus> {
        let status = |(name, endpoint): (&str, &Endpoint)| {
            endpoint_status(now_ms, name, endpoint, self.start_time_ms(endpoint))
        };
        self.catalogue.list().map(status).collect()
    }

    /// Returns the failing queries, those that have been failing longest first.
    fn unanswered(&self, now_ms: f64) -> Vec<UnansweredQuery> {
        let unanswered = |failing: FailingQuery<'_>| UnansweredQuery {
            question: failing.question.to_string(),
            for_ms: now_ms - failing.since_ms,
            reason: failing.reason.to_string(),
        };
        let mut all: Vec<UnansweredQuery> = self.cache.failing_queries().map(unanswered).collect();
        all.sort_by(|a, b| b.for_ms.total_cmp(&a.for_ms));
        all.truncate(MAX_REPORTED_FAILURES);
        all
    }

    fn record_status(&self, now_ms: f64, followed: FollowedQuery<'_>) -> RecordStatus {
        let state = self.cache.get(now_ms, followed.question);
        RecordStatus {
            question: followed.question.to_string(),
            records: state.answer().map(|answer| match answer {
                CachedAnswer::Records(records) => records.len(),
                CachedAnswer::Negative(_) => 0,
            }),
            ttl_ms: followed.remaining_ms,
        }
    }

    /// Returns whether no query is in flight and each followed question was answered or is failing.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let now_ms = self.now_ms();
        let failing: HashSet<&Question> =
            self.cache.failing_queries().map(|failing| failing.question).collect();
        let has_ended = |question: &Question| {
            self.cache.get(now_ms, question) != CacheState::Unknown || failing.contains(question)
        };
        self.queries.is_empty()
            && self.cache.size().followed > 0
            && self.cache.followed_queries(now_ms).all(|followed| has_ended(followed.question))
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Follows a source, keeps the table up to date and responds to status requests. It runs until it is
/// cancelled; the table then keeps its last list.
pub async fn follow(
    settings: Settings,
    resolver: Resolver,
    table: watch::Sender<Arc<EndpointTable>>,
    mut requests: mpsc::Receiver<StatusRequest>,
    mut log: impl FnMut(String),
) {
    let mut follower = Follower::new(settings, resolver);
    loop {
        let list = tokio::select! {
            list = follower.step(&mut log) => list,
            Some(StatusRequest { include_records, response }) = requests.recv() => {
                // Sending fails only if the requester no longer waits.
                let _ = response.send(follower.status(include_records));
                None
            }
        };
        if let Some(list) = list {
            publish(&table, list);
        }
    }
}

/// Publishes a list if it differs from the current one, so that readers are woken only by changes.
fn publish(table: &watch::Sender<Arc<EndpointTable>>, list: BTreeMap<String, ListedEndpoint>) {
    table.send_if_modified(|current| {
        if !current.differs(&list) {
            return false;
        }
        // Readers may hold a reference to the current table, so a copy is changed.
        let mut next = EndpointTable::clone(current);
        next.replace(list);
        *current = Arc::new(next);
        true
    });
}
