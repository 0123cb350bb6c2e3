//! The decision logic of the gateway, one module per decision. Settings, events and actions are the plain
//! types of `src/interface`; `docs/design.md` says which decisions come from the design and which were added
//! to it.
//!
//! How a request passes through the modules:
//!
//! ```text
//!  request ─▶ arrival ─▶ admission: quota, ceiling ─▶ load_shedding ───▶ attempts: send, hedge, retry
//!                          │        ▲                    │                    │           ▲
//!                          ▼        │                    ▼                    ▼           │
//!                     counter_calls ┘            endpoint_selection   attempt_results ────┘
//!                                                        │
//!                                                        ▼
//!                                              final_answer: reject, fail
//! ```
//!
//! | module | responsibility |
//! | --- | --- |
//! | `quota` | a customer's token bucket, ceiling and demand, and how counter totals update them |
//! | `call_throttle` | the rate of counter calls |
//! | `endpoint_list`, `backend` | the known backends and the state kept for each |
//! | `outlier_ejection` | which backends are ejected until a probe succeeds |
//! | `latency`, `fleet_load` | expected latency by class; slowness and load of the fleet |
//! | `repeat_safety` | whether another attempt or a rejection is safe; no other module decides this |
//! | `retry_budget` | how many retries and hedges are allowed |
//! | `handover` | state passed from one process of a gateway to its successor |

mod admission;
mod arrival;
mod attempt_results;
mod attempts;
mod backend;
mod call_throttle;
mod counter_calls;
mod endpoint_list;
mod endpoint_selection;
mod final_answer;
mod fleet_load;
mod handover;
mod latency;
mod load_shedding;
mod outlier_ejection;
mod quota;
mod random;
mod ratio;
mod repeat_safety;
mod request;
mod retry_budget;
mod timers;

use std::collections::HashMap;

use bounded_cache::BoundedCache;
use routing::{Index, Sampling, Subset};

use self::attempt_results::AttemptResult;
use self::backend::Backend;
use self::call_throttle::CallThrottle;
use self::counter_calls::CounterCallsInFlight;
use self::fleet_load::FleetLoad;
use self::latency::{LatencyEstimates, LongestTimes};
use self::random::Random;
use self::request::OpenRequest;
use self::retry_budget::RetryBudget;
use self::timers::TimerKind;
use crate::interface::{Action, Event, Settings, SettingsError};

pub(crate) use self::quota::CustomerQuota;

/// Makes the decisions of one gateway.
#[derive(Debug)]
pub struct Policy {
    pub(crate) settings: Settings,
    /// Time at which this incarnation started, ms.
    started_at: f64,
    random: Random,
    requests: HashMap<u64, OpenRequest>,
    pub(crate) customers: BoundedCache<CustomerQuota>,
    counter_calls: CounterCallsInFlight,
    call_throttle: CallThrottle,
    pub(crate) backends: Index<Backend>,
    /// Number of updates of the endpoint list.
    list_version: u64,
    /// Scratch buffer for the slots of drawn candidates, kept to reuse its allocation.
    drawn_slots: Vec<usize>,
    longest: LongestTimes,
    latency: LatencyEstimates,
    fleet: FleetLoad,
    retry_budget: RetryBudget,
    /// Number of processes that currently serve as this gateway.
    process_count: f64,
}

impl Policy {
    /// Creates the policy of a gateway that starts at `now` with no prior knowledge.
    ///
    /// # Errors
    /// Returns a [`SettingsError`] if the settings are invalid.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let routing = &settings.routing;
        let subset = Subset::new(
            settings.gateway_index,
            settings.gateway_count,
            routing.subset_size,
            routing.coverage,
        );
        let sampling = Sampling { scan_all_up_to: routing.scan_all_up_to, choices: routing.choices };
        Ok(Policy {
            started_at: now,
            random: Random::new(seed),
            requests: HashMap::new(),
            customers: BoundedCache::new(settings.max_customers),
            counter_calls: CounterCallsInFlight::default(),
            call_throttle: CallThrottle::new(now),
            backends: Index::new(subset, sampling, settings.slow_start.overload_window_ms),
            list_version: 0,
            drawn_slots: Vec::new(),
            longest: LongestTimes::from_settings(&settings),
            latency: LatencyEstimates::new(&settings.classes),
            fleet: FleetLoad::new(now, latency::assumed_fleet_work_ms(&settings.classes)),
            retry_budget: RetryBudget::new(),
            process_count: 1.0,
            settings,
        })
    }

    /// Replaces the classes, limits and slow-start settings. A class that keeps its index and its rules keeps
    /// its latency estimates. For every other class, `old_index` maps its new index to the index that the
    /// class of the same name had before, whose estimates it inherits. Open requests keep their class and
    /// their maximum number of attempts.
    pub fn update_settings(&mut self, settings: Settings, old_index: impl Fn(usize) -> Option<usize>) {
        self.latency.change_classes(&self.settings.classes, &settings.classes, old_index);
        self.longest = LongestTimes::from_settings(&settings);
        self.settings = settings;
    }

    /// Returns whether any open request belongs to the class at index `class`.
    #[must_use]
    pub fn has_request_of_class(&self, class: usize) -> bool {
        self.requests.values().any(|open| open.request.class == class)
    }

    /// Returns the request that a timer token belongs to, if any. The timer may be skipped once that request
    /// has its final answer and no attempt in flight.
    #[must_use]
    pub fn request_of_timer(token: u64) -> Option<u64> {
        let (kind, request) = TimerKind::from_token(token);
        (kind != TimerKind::PollEndpoints).then_some(request)
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: f64, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { scope, endpoints } => {
                self.update_endpoints(now, scope, endpoints, actions);
            }
            Event::Request(request) => self.request_arrived(now, request, actions),
            Event::AttemptEnded {
                id,
                attempt,
                backend,
                outcome,
                latency_ms,
                answered,
                metered_use,
                actual_units,
                load,
            } => {
                self.record_load(now, backend, load);
                self.attempt_finished(
                    now,
                    &AttemptResult { id, attempt, outcome, latency_ms, actual_units, metered_use },
                );
                self.forget_if_removed(now, backend);
                self.continue_request(now, id, answered, actions);
            }
            Event::ProcessLost { id, attempt } => self.process_lost(id, attempt),
            Event::StreamStarted { id, attempt, backend } => {
                self.stream_started(now, id, attempt, backend, actions);
            }
            Event::ClientDisconnected { id } => self.finish_request(id, actions),
            Event::ProbeEnded { backend, outcome, load } => {
                self.record_load(now, backend, load);
                self.probe_finished(now, backend, outcome);
            }
            Event::CounterReplied { key, outcome, total } => {
                self.counter_call_finished(now, key, outcome, total, actions);
            }
            Event::PeerMessage { .. } => {}
            Event::TimerExpired { token } => self.timer_fired(now, token, actions),
        }
    }

    fn timer_fired(&mut self, now: f64, token: u64, actions: &mut Vec<Action>) {
        let (kind, id) = TimerKind::from_token(token);
        match kind {
            TimerKind::Deadline => self.reject_or_fail(id, actions),
            TimerKind::Hedge => self.hedge_timer_fired(now, id, actions),
            TimerKind::CounterWait => self.counter_wait_timer_fired(now, id, actions),
            TimerKind::PollEndpoints => actions.push(Action::PollEndpoints),
        }
    }
}
