//! A simulation of many gateways, each with the real policy, in front of a large fleet of backends, in
//! simulated time. The same seed gives the same run on every machine.
//!
//! ```text
//!  arrivals ──▶ a gateway's policy ──▶ backends: slots, a queue, warm-up, faults
//!     (seed)      full scan or subset             │
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

/// The algorithm that chooses the backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// The policy, considering every backend for every request.
    FullScan,
    /// The policy with a subset of the backends per gateway and a few candidates per request.
    Subset,
    /// Chooses by the true state of all backends, as an upper bound on the result.
    Ideal,
}

/// A fault of some of the backends for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Time of its beginning, ms.
    pub from_ms: f64,
    /// Time of its end, ms.
    pub to_ms: f64,
    /// The affected backends.
    pub target: FaultTarget,
    /// The kind of fault.
    pub kind: FaultKind,
}

/// The backends that a fault affects.
#[derive(Clone, Copy, Debug)]
pub enum FaultTarget {
    /// Each backend with this probability.
    Fraction(f64),
    /// The backends of a zone.
    Zone(u32),
    /// The backends of a cell.
    Cell(u32),
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Multiplies the service time by this factor.
    Slow(f64),
    /// This fraction of the requests fails immediately.
    Failing(f64),
    /// All connection attempts fail.
    Dead,
    /// Like `Dead`, and the backend restarts cold when the fault ends.
    Lost,
    /// Work pauses periodically, at a different phase on each backend.
    Pausing {
        /// Length of a pause, ms.
        pause_ms: f64,
        /// Time from the start of one pause to the start of the next, ms.
        period_ms: f64,
    },
}

/// Gateways that are killed and restart with the endpoint list of the run's start as their only state.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// Time of the first kill, ms.
    pub from_ms: f64,
    /// Time over which the kills are evenly spread, ms.
    pub over_ms: f64,
    /// Number of gateways killed.
    pub gateways: u32,
    /// Time from a gateway's kill to its restart, ms.
    pub down_ms: f64,
}

/// Backends that are removed, each replaced by a new, cold one that starts at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Replace {
    /// Time of the first removal from the list, ms.
    pub from_ms: f64,
    /// Time over which the removals are evenly spread, ms.
    pub over_ms: f64,
    /// Number of backends replaced, spread over zones and cells.
    pub backends: u32,
    /// Time from a backend's removal from the list to its stop, ms.
    pub grace_ms: f64,
}

/// A discovery service with a limited call rate.
#[derive(Clone, Copy, Debug)]
pub struct Discovery {
    /// Calls answered per second; further ones are rejected.
    pub calls_per_s: f64,
    /// Maximum delay of a change to a watching gateway, ms; the delay of each is random.
    pub max_delay_ms: f64,
}

/// Cost and limits of connections between gateways and backends, which carry one request at a time.
#[derive(Clone, Copy, Debug)]
pub struct Connections {
    /// Work for a handshake at the backend, ms.
    pub handshake_ms: f64,
    /// Maximum number of connections at a backend; further ones are refused.
    pub max_per_backend: u32,
    /// Idle timeout, ms.
    pub idle_ms: f64,
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of gateways; requests are spread evenly over them.
    pub gateways: u32,
    /// Number of backends at the start.
    pub backends: u32,
    /// Number of zones, over which backends and gateways are spread evenly.
    pub zones: u32,
    /// Number of backends per cell; the backends of a cell share their deduplication.
    pub cell: u32,
    /// Number of requests that a backend runs at once.
    pub slots: u32,
    /// Number of requests that may wait at a backend.
    pub queue_length: usize,
    /// Mean service time of a request on a warm backend, ms.
    pub service_time_ms: f64,
    /// Latency objective and deadline of all classes, as multiples of `service_time_ms`.
    pub objective_and_deadline: (f64, f64),
    /// Initial capacity, warm-up time and overload limit of a backend that starts.
    pub slow_start: SlowStart,
    /// Request rate, as a fraction of the capacity of all warm backends.
    pub load: f64,
    /// Time over which requests arrive, ms.
    pub duration_ms: f64,
    /// Number of additional backends that start cold, all at once, and the time of their start, ms.
    pub cold: (u32, f64),
    /// Faults of backends.
    pub faults: Vec<Fault>,
    /// Restarts of gateways.
    pub restarts: Vec<Restart>,
    /// Replacements of backends.
    pub replacements: Vec<Replace>,
    /// The discovery service; without one every gateway learns each change immediately.
    pub discovery: Option<Discovery>,
    /// Connection costs and limits; without them connections are free and unlimited.
    pub connections: Option<Connections>,
    /// The algorithm that chooses the backends.
    pub chooser: Chooser,
    /// Seed of all randomness.
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
            objective_and_deadline: (10.0, 40.0),
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

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests served within the latency objective.
    pub in_time: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests without exactly one answer. Must be 0.
    pub wrongly_answered: u64,
    /// Requests that were unanswered when their gateway was killed.
    pub interrupted: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts whose outcome shows that no backend ran them.
    pub never_executed: u64,
    /// Keyed requests that ran in more than one cell. Must be 0.
    pub repeated_across_cells: u64,
    /// Attempts to a backend to which an earlier attempt of the same request was sent. Each one is counted,
    /// whether or not another backend was ready.
    pub repeated_at_backend: u64,
    /// Fraction of the backends' work, 0 to 1, that led to no answer to a client.
    pub wasted: f64,
    /// Latencies of served requests, us.
    pub latencies: Histogram<u64>,
    /// Maximum and standard deviation, relative to the mean, of the work sent to each backend that was warm
    /// and without a fault for the whole run.
    pub spread: (f64, f64),
    /// Maximum use of the slow-start limit by any warming backend in any overload window; above 1 the backend
    /// fails.
    pub max_slow_start_use: f64,
    /// Like `max_slow_start_use`, but only over windows in which more than two thirds of the work came from
    /// gateways that knew of the start; above 1 the slow-start rule is violated.
    pub max_notified_slow_start_use: f64,
    /// Minimum over the cold backends of the work sent to one, relative to the mean work sent to a warm
    /// backend in the same time.
    pub min_slow_start_work: f64,
    /// Connections opened, and connections refused because a backend had reached its limit.
    pub connects: (u64, u64),
    /// Maximum number of connections at one backend.
    pub peak_connections: u32,
    /// Calls to discovery: all, those rejected, and the maximum in any 100 ms.
    pub calls: (u64, u64, u64),
    /// Maximum time from a gateway's restart to its first answer from discovery, ms.
    pub max_ms_without_list: f64,
}

impl Report {
    /// Returns the fraction of the requests that was served in time.
    #[must_use]
    pub fn in_time_fraction(&self) -> f64 {
        self.in_time as f64 / self.requests.max(1) as f64
    }

    /// Returns the number of attempts per request that was not rejected.
    #[must_use]
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / (self.requests - self.rejected).max(1) as f64
    }

    /// Returns a quantile, from 0 to 1, of the latency of served requests, ms.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1000.0
    }
}
