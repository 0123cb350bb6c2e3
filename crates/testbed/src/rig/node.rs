//! A simulated gateway: its policy, its knowledge of the list, and its idle connections.

use std::collections::HashMap;
use std::time::Duration;

use backoff::Backoff;
use gateway_policy::Policy;

use super::Scenario;

/// Initial and maximum delay after a rejected call to discovery. This and the next three constants have the
/// values that a gateway uses.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1_000));
/// Assumed time of a discovery call.
const TIME_PER_CALL: Duration = Duration::from_millis(20);
/// Upper limit of the delay, which grows with the size of the fleet.
const DELAY_LIMIT: Duration = Duration::from_millis(3_000);
/// Upper limit of the delay before the first call.
const MAX_INITIAL_DELAY: Duration = Duration::from_millis(250);

/// An idle connection: the time since which it is idle, ms, and the incarnation of its backend at its
/// opening.
type Idle = (f64, u32);

pub(super) struct Node {
    pub policy: Policy,
    pub up: bool,
    /// Incremented at each start and kill; events for an earlier incarnation are ignored.
    pub incarnation: u32,
    /// Time of its restart, until discovery has answered a call.
    pub without_list_since: Option<f64>,
    /// Number of changes of the list that it has received.
    pub list_position: usize,
    gateways: u32,
    backoff: Backoff,
    idle: HashMap<u32, Vec<Idle>>,
}

impl Node {
    pub fn new(policy: Policy, scenario: &Scenario, seed: u64) -> Node {
        Node {
            policy,
            up: true,
            incarnation: 0,
            without_list_since: None,
            list_position: 0,
            gateways: scenario.gateways,
            backoff: Backoff::new(
                RETRY_DELAYS.0,
                RETRY_DELAYS.1,
                TIME_PER_CALL,
                DELAY_LIMIT,
                scenario.gateways,
                seed,
            ),
            idle: HashMap::new(),
        }
    }

    /// Restarts it with a new policy.
    pub fn start(&mut self, policy: Policy, now: f64) {
        (self.policy, self.up, self.list_position) = (policy, true, 0);
        self.incarnation += 1;
        self.without_list_since = Some(now);
        self.backoff.reset();
    }

    /// Kills it and returns the backend and backend incarnation of each idle connection.
    pub fn stop(&mut self) -> Vec<(u32, u32)> {
        self.up = false;
        self.incarnation += 1;
        let all = std::mem::take(&mut self.idle).into_iter();
        all.flat_map(|(backend, idle)| idle.into_iter().map(move |(_, incarnation)| (backend, incarnation)))
            .collect()
    }

    /// Returns the time until its first call to discovery, ms.
    pub fn first_call(&mut self) -> f64 {
        self.backoff.initial_delay(TIME_PER_CALL, MAX_INITIAL_DELAY, self.gateways).as_secs_f64() * 1_000.0
    }

    /// Returns the time until its next call after a rejected one, ms.
    pub fn next_call(&mut self) -> f64 {
        self.backoff.next_delay().as_secs_f64() * 1_000.0
    }

    /// Takes an idle connection; those to an earlier incarnation of the backend are closed and discarded.
    pub fn take_idle(&mut self, backend: u32, incarnation: u32) -> bool {
        let Some(idle) = self.idle.get_mut(&backend) else { return false };
        idle.retain(|(_, opened_in)| *opened_in == incarnation);
        idle.pop().is_some()
    }

    pub fn put_idle(&mut self, now: f64, backend: u32, incarnation: u32) {
        self.idle.entry(backend).or_default().push((now, incarnation));
    }

    /// Closes connections idle since `since` or longer; returns how many were to this incarnation of the
    /// backend.
    pub fn close_idle(&mut self, since: f64, backend: u32, incarnation: u32) -> u32 {
        let Some(idle) = self.idle.get_mut(&backend) else { return 0 };
        let expired = idle.iter().filter(|(at, opened_in)| *at <= since && *opened_in == incarnation).count();
        idle.retain(|(at, opened_in)| *at > since && *opened_in == incarnation);
        expired as u32
    }
}

/// Rate limit and counts of all gateways' calls to discovery.
#[derive(Default)]
pub(super) struct DiscoveryCalls {
    total: u64,
    rejected: u64,
    peak: u64,
    /// Times of all calls of the last 100 ms.
    recent: std::collections::VecDeque<f64>,
    /// Times of the answered calls of the last second.
    answered: std::collections::VecDeque<f64>,
}

impl DiscoveryCalls {
    /// Records a call and returns whether it is answered.
    pub fn try_answer(&mut self, now: f64, per_s: f64) -> bool {
        let count_within = |calls: &mut std::collections::VecDeque<f64>, ms: f64| {
            while calls.front().is_some_and(|at| now - at >= ms) {
                calls.pop_front();
            }
            calls.len() as u64
        };
        self.total += 1;
        self.recent.push_back(now);
        self.peak = self.peak.max(count_within(&mut self.recent, 100.0));
        let answers = (count_within(&mut self.answered, 1_000.0) as f64) < per_s;
        if answers {
            self.answered.push_back(now);
        } else {
            self.rejected += 1;
        }
        answers
    }

    /// Returns the numbers of all calls, of the rejected ones, and the maximum in any 100 ms.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.total, self.rejected, self.peak)
    }
}
