//! A gateway of a run: its decisions, what it has heard of the list, and its connections.

use std::collections::HashMap;
use std::time::Duration;

use backoff::Backoff;
use gateway_policy::Policy;

use super::Scenario;

/// Pauses between calls to discovery, and the time that it is taken to need for one: as a gateway's.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1_000));
const EACH: Duration = Duration::from_millis(20);
const PAUSE_LIMIT: Duration = Duration::from_millis(3_000);
const START_LIMIT: Duration = Duration::from_millis(250);

/// An idle connection: since when, and in which incarnation of its backend it was opened.
type Idle = (f64, u32);

pub(super) struct Node {
    pub policy: Policy,
    pub up: bool,
    /// How often it was started; what an earlier one waited for is not this one's.
    pub incarnation: u32,
    /// When it started, as long as no call to discovery was answered.
    pub without_list_since: Option<f64>,
    /// Changes of the list that it has heard.
    pub list_position: usize,
    gateways: u32,
    backoff: Backoff,
    idle: HashMap<u32, Vec<Idle>>,
}

impl Node {
    pub fn new(core: Policy, shape: &Scenario, seed: u64) -> Node {
        Node {
            policy: core,
            up: true,
            incarnation: 0,
            without_list_since: None,
            list_position: 0,
            gateways: shape.gateways,
            backoff: Backoff::new(PAUSE.0, PAUSE.1, EACH, PAUSE_LIMIT, shape.gateways, seed),
            idle: HashMap::new(),
        }
    }

    /// It starts anew, with decisions that know nothing.
    pub fn start(&mut self, core: Policy, now: f64) {
        (self.policy, self.up, self.list_position) = (core, true, 0);
        self.incarnation += 1;
        self.without_list_since = Some(now);
        self.backoff.reset();
    }

    /// It is killed; gives the backends of its idle connections, with the lives that they were opened in.
    pub fn stop(&mut self) -> Vec<(u32, u32)> {
        self.up = false;
        self.incarnation += 1;
        let all = std::mem::take(&mut self.idle).into_iter();
        all.flat_map(|(backend, idle)| idle.into_iter().map(move |(_, incarnation)| (backend, incarnation)))
            .collect()
    }

    /// Time until its first call to discovery, ms.
    pub fn first_call(&mut self) -> f64 {
        self.backoff.initial_delay(EACH, START_LIMIT, self.gateways).as_secs_f64() * 1_000.0
    }

    /// Time until its next call after one that was turned away, ms.
    pub fn next_call(&mut self) -> f64 {
        self.backoff.next_delay().as_secs_f64() * 1_000.0
    }

    /// Takes a connection that is idle; those of an earlier incarnation of the backend are found closed.
    pub fn take_idle(&mut self, backend: u32, incarnation: u32) -> bool {
        let Some(idle) = self.idle.get_mut(&backend) else { return false };
        idle.retain(|(_, of)| *of == incarnation);
        idle.pop().is_some()
    }

    pub fn put_idle(&mut self, now: f64, backend: u32, incarnation: u32) {
        self.idle.entry(backend).or_default().push((now, incarnation));
    }

    /// Closes those that were idle since then; gives how many of this incarnation.
    pub fn close_idle(&mut self, since: f64, backend: u32, incarnation: u32) -> u32 {
        let Some(idle) = self.idle.get_mut(&backend) else { return 0 };
        let old = idle.iter().filter(|(at, of)| *at <= since && *of == incarnation).count();
        idle.retain(|(at, of)| *at > since && *of == incarnation);
        old as u32
    }
}

/// Calls of all gateways to discovery.
#[derive(Default)]
pub(super) struct DiscoveryCalls {
    all: u64,
    rejected: u64,
    peak: u64,
    /// When those of the last 100 ms came, and of the last second those that were answered.
    recent: std::collections::VecDeque<f64>,
    answered: std::collections::VecDeque<f64>,
}

impl DiscoveryCalls {
    /// Takes a call; whether it is answered.
    pub fn try_answer(&mut self, now: f64, per_s: f64) -> bool {
        let since = |calls: &mut std::collections::VecDeque<f64>, ms: f64| {
            while calls.front().is_some_and(|at| now - at >= ms) {
                calls.pop_front();
            }
            calls.len() as u64
        };
        self.all += 1;
        self.recent.push_back(now);
        self.peak = self.peak.max(since(&mut self.recent, 100.0));
        let answers = (since(&mut self.answered, 1_000.0) as f64) < per_s;
        if answers {
            self.answered.push_back(now);
        } else {
            self.rejected += 1;
        }
        answers
    }

    /// All, those turned away, and the most in any 100 ms.
    pub fn counts(&self) -> (u64, u64, u64) {
        (self.all, self.rejected, self.peak)
    }
}
