//! A gateway of a run: its decisions, what it has heard of the list, and its connections.

use std::collections::HashMap;
use std::time::Duration;

use backoff::Backoff;
use gateway_policy::Policy;

use super::Shape;

/// Pauses between calls to discovery, and the time that it is taken to need for one: as a gateway's.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(1_000));
const EACH: Duration = Duration::from_millis(20);
const PAUSE_LIMIT: Duration = Duration::from_millis(3_000);
const START_LIMIT: Duration = Duration::from_millis(250);

/// An idle connection: since when, and in which life of its backend it was opened.
type Idle = (f64, u32);

pub(super) struct Node {
    pub core: Policy,
    pub up: bool,
    /// How often it was started; what an earlier one waited for is not this one's.
    pub boot: u32,
    /// When it started, as long as no call to discovery was answered.
    pub unlisted: Option<f64>,
    /// Changes of the list that it has heard.
    pub heard: usize,
    gateways: u32,
    pauses: Backoff,
    idle: HashMap<u32, Vec<Idle>>,
}

impl Node {
    pub fn new(core: Policy, shape: &Shape, seed: u64) -> Node {
        Node {
            core,
            up: true,
            boot: 0,
            unlisted: None,
            heard: 0,
            gateways: shape.gateways,
            pauses: Backoff::new(PAUSE.0, PAUSE.1, EACH, PAUSE_LIMIT, shape.gateways, seed),
            idle: HashMap::new(),
        }
    }

    /// It starts anew, with decisions that know nothing.
    pub fn begin(&mut self, core: Policy, now: f64) {
        (self.core, self.up, self.heard) = (core, true, 0);
        self.boot += 1;
        self.unlisted = Some(now);
        self.pauses.reset();
    }

    /// It is killed; gives the backends of its idle connections, with the lives that they were opened in.
    pub fn end(&mut self) -> Vec<(u32, u32)> {
        self.up = false;
        self.boot += 1;
        let all = std::mem::take(&mut self.idle).into_iter();
        all.flat_map(|(backend, idle)| idle.into_iter().map(move |(_, life)| (backend, life))).collect()
    }

    /// Time until its first call to discovery, ms.
    pub fn first_call(&mut self) -> f64 {
        self.pauses.initial_delay(EACH, START_LIMIT, self.gateways).as_secs_f64() * 1_000.0
    }

    /// Time until its next call after one that was turned away, ms.
    pub fn next_call(&mut self) -> f64 {
        self.pauses.next_delay().as_secs_f64() * 1_000.0
    }

    /// Takes a connection that is idle; those of an earlier life of the backend are found closed.
    pub fn take_idle(&mut self, backend: u32, life: u32) -> bool {
        let Some(idle) = self.idle.get_mut(&backend) else { return false };
        idle.retain(|(_, of)| *of == life);
        idle.pop().is_some()
    }

    pub fn put_idle(&mut self, now: f64, backend: u32, life: u32) {
        self.idle.entry(backend).or_default().push((now, life));
    }

    /// Closes those that were idle since then; gives how many of this life.
    pub fn close_idle(&mut self, since: f64, backend: u32, life: u32) -> u32 {
        let Some(idle) = self.idle.get_mut(&backend) else { return 0 };
        let old = idle.iter().filter(|(at, of)| *at <= since && *of == life).count();
        idle.retain(|(at, of)| *at > since && *of == life);
        old as u32
    }
}

/// Calls of all gateways to discovery.
#[derive(Default)]
pub(super) struct Calls {
    all: u64,
    turned_away: u64,
    most: u64,
    /// When those of the last 100 ms came, and of the last second those that were answered.
    lately: std::collections::VecDeque<f64>,
    answered: std::collections::VecDeque<f64>,
}

impl Calls {
    /// Takes a call; whether it is answered.
    pub fn take(&mut self, now: f64, per_s: f64) -> bool {
        let since = |calls: &mut std::collections::VecDeque<f64>, ms: f64| {
            while calls.front().is_some_and(|at| now - at >= ms) {
                calls.pop_front();
            }
            calls.len() as u64
        };
        self.all += 1;
        self.lately.push_back(now);
        self.most = self.most.max(since(&mut self.lately, 100.0));
        let answers = (since(&mut self.answered, 1_000.0) as f64) < per_s;
        if answers {
            self.answered.push_back(now);
        } else {
            self.turned_away += 1;
        }
        answers
    }

    /// All, those turned away, and the most in any 100 ms.
    pub fn told(&self) -> (u64, u64, u64) {
        (self.all, self.turned_away, self.most)
    }
}
