//! A rig in simulated time: many gateways, each with the decision module as it is, before a large fleet of
//! backends, by a seed. The same seed gives the same run on every machine.
//!
//! ```text
//!  arrivals ──▶ a gateway's decisions ──▶ backends: slots, a queue, warmth, troubles
//!     (seed)      whole, or subset                │
//!       └──────▶ ideal: sees all true states ─────┘──▶ Report: served in time, p50, p99, waste, spread
//! ```

mod attempts;
mod backend;
mod connections;
mod event;
mod fleet_events;
mod measurements;
mod node;
mod requests;
mod settings;
mod simulation;

pub use simulation::run;

use gateway_policy::interface::SlowStart;
use hdrhistogram::Histogram;

use crate::platform::{INITIAL_CAPACITY, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_MS, WARM_UP_MS};

/// Who chooses the backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// The decision module, which looks at every backend for every request.
    FullScan,
    /// The decision module with a subset for each gateway and a few choices.
    Subset,
    /// One that sees the true state of all backends and makes no mistake. It bounds what can be had.
    Ideal,
}

/// What goes wrong with a part of the backends, between two times.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Begins then, ms.
    pub from_ms: f64,
    /// Ends then, ms.
    pub to_ms: f64,
    /// Whom it befalls.
    pub target: FaultTarget,
    /// What it is.
    pub kind: FaultKind,
}

/// Whom a trouble befalls.
#[derive(Clone, Copy, Debug)]
pub enum FaultTarget {
    /// Each with this chance.
    Fraction(f64),
    /// Those of a zone.
    Zone(u32),
    /// Those of a cell.
    Cell(u32),
}

/// What a trouble is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Requests take so many times longer.
    Slow(f64),
    /// This part of the requests fails at once.
    Failing(f64),
    /// Nothing connects.
    Dead,
    /// The same, and it begins anew and cold when that ends.
    Lost,
    /// Work stands still for so long, ms, once in each such time, ms; each backend at a moment of its own.
    Pausing {
        /// How long it stands still.
        still_ms: f64,
        /// From one time to the next.
        every_ms: f64,
    },
}

/// Gateways that are killed and come back with nothing but the list of the run's start.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// The first is killed then, ms.
    pub from_ms: f64,
    /// The last is killed so much later, ms; the others evenly between.
    pub over_ms: f64,
    /// So many.
    pub gateways: u32,
    /// Each comes back after this, ms.
    pub down_ms: f64,
}

/// Backends that leave for good, each with a new, cold one in its place that starts as it leaves.
#[derive(Clone, Copy, Debug)]
pub struct Replace {
    /// The first leaves the list then, ms.
    pub from_ms: f64,
    /// The last so much later, ms; the others evenly between.
    pub over_ms: f64,
    /// So many, spread over zones and cells.
    pub backends: u32,
    /// Each stops so long after it left the list, ms.
    pub grace_ms: f64,
}

/// Discovery with a bound on its calls.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// Calls that it answers a second; those beyond are turned away.
    pub calls_per_s: f64,
    /// Whoever watches is told of a change within this, ms, each at a moment of its own.
    pub max_delay_ms: f64,
}

/// Connections between gateways and backends, one request at a time on each.
#[derive(Clone, Copy, Debug)]
pub struct Connections {
    /// Work of a handshake at the backend, ms.
    pub handshake_ms: f64,
    /// So many at most at a backend; one more is refused.
    pub max_per_backend: u32,
    /// An idle one is closed after this, ms.
    pub idle_ms: f64,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Gateways, each with as many requests as any other.
    pub gateways: u32,
    /// Backends at the start.
    pub backends: u32,
    /// Zones, each with as many backends as any other; gateways too.
    pub zones: u32,
    /// Backends of a cell, which drop each other's repeats.
    pub cell: u32,
    /// Requests that a backend works on at once.
    pub slots: u32,
    /// Requests that may wait there.
    pub queue_length: usize,
    /// Mean time of a request on a warm backend, ms.
    pub service_time_ms: f64,
    /// Aim and deadline of all classes, in mean requests.
    pub aim: (f64, f64),
    /// What a backend that starts can do, and how much it bears.
    pub slow_start: SlowStart,
    /// Requests that come, as a part of what all warm backends can do.
    pub load: f64,
    /// How long requests come, ms.
    pub duration_ms: f64,
    /// Backends that start, cold, all at once, and when, ms.
    pub cold: (u32, f64),
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// Gateways that are killed.
    pub restarts: Vec<Restart>,
    /// Backends that are replaced.
    pub replacements: Vec<Replace>,
    /// How the list comes; without it every gateway knows each change at once.
    pub discovery: Option<Discovery>,
    /// What connections cost; without it nothing.
    pub connections: Option<Connections>,
    /// Who chooses.
    pub chooser: Chooser,
    /// Chance of everything.
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            gateways: 20,
            backends: 1_000,
            zones: 3,
            cell: 10,
            slots: 2,
            queue_length: 16,
            service_time_ms: 20.0,
            aim: (10.0, 40.0),
            slow_start: SlowStart {
                initial_capacity: INITIAL_CAPACITY,
                warm_up_ms: WARM_UP_MS,
                overload_multiple: OVERLOAD_MULTIPLE,
                overload_window_ms: OVERLOAD_WINDOW_MS,
            },
            load: 0.6,
            duration_ms: 4_000.0,
            cold: (0, 0.0),
            faults: Vec::new(),
            restarts: Vec::new(),
            replacements: Vec::new(),
            discovery: None,
            connections: None,
            chooser: Chooser::Subset,
            seed: 1,
        }
    }
}

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that came.
    pub requests: u64,
    /// Served within the aim.
    pub in_time: u64,
    /// Served at all.
    pub served: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Without any answer, or with two. It must be 0.
    pub wrongly_answered: u64,
    /// Open at a gateway as it was killed.
    pub interrupted: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts that reached no backend that would have them.
    pub never_executed: u64,
    /// Keyed requests that ran in more than one cell. It must be 0.
    pub repeated_across_cells: u64,
    /// Attempts to a backend that was tried before, while another was listed ready. It must be 0.
    pub repeated_at_backend: u64,
    /// Work done for nobody, as a part of all work.
    pub wasted: f64,
    /// Latencies of what was served, us.
    pub latencies: Histogram<u64>,
    /// Work that each backend without a trouble was sent, over their mean: the greatest, and the deviation.
    pub spread: (f64, f64),
    /// The most of the rule on cold backends that one used in any of its windows; above 1 it falls.
    pub max_slow_start_use: f64,
    /// The same of windows of which over two thirds came from gateways that had been told of the start; the
    /// rule is broken above 1.
    pub max_notified_slow_start_use: f64,
    /// The least work that a cold backend was sent, over the mean of the warm ones in that time.
    pub min_slow_start_work: f64,
    /// Connections that were opened, and those refused as a backend had no more.
    pub connects: (u64, u64),
    /// The most connections that a backend had at once.
    pub peak_connections: u32,
    /// Calls to discovery: all, those turned away, and the most in any 100 ms.
    pub calls: (u64, u64, u64),
    /// The longest that a gateway was without an answer of discovery after its start, ms.
    pub max_ms_without_list: f64,
}

impl Report {
    /// Part of the requests that was served in time.
    #[must_use]
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Attempts for each request that was sent on.
    #[must_use]
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / (self.requests - self.rejected).max(1) as f64
    }

    /// A quantile, from 0 to 1, of the latency of what was served, ms.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}
